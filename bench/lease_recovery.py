"""How soon members have a lease again after they were wrong about service time.

    python bench/lease_recovery.py [--runs 200 --seed 1 --members 5]

Each run draws a fault and its size: an older answer in place of a newer, the leader's or a member's clock
set, a leader that continues service time from its log, a process stopped in the middle of a call, a wrong
estimate. Clocks are injected (tests/support/lease_world.py). Prints one JSON line: times from the fault's end
in terms of the lease, and how many members had none within the limit.
"""

from __future__ import annotations

import argparse
import json
import logging
import math
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import structlog

sys.path.insert(0, str(Path(__file__).parents[1]))

from loadbalancer.registry.service_clock import ServiceClock
from tests.support.lease_world import TTL_MS, LeasedMember, LeaseWorld, pause, run
from tests.support.lease_world_faults import OlderAnswer, StoppedInCall, believe_wrongly

LIMIT_TERMS = 12.0

Fault = Callable[[LeaseWorld, Random], Awaitable[list[LeasedMember]]]  # returns the members that it befell


async def older_answer(world: LeaseWorld, rng: Random) -> list[LeasedMember]:
    member = rng.choice(world.members)
    await OlderAnswer(member, rng.uniform(0.2, 10.0) * TTL_MS).injected.wait()
    return [member]


async def leader_clock_set(world: LeaseWorld, rng: Random) -> list[LeasedMember]:
    world.service.clocks.offset_ms += rng.uniform(-3.0, 0.9) * TTL_MS
    return world.members


async def member_clock_set(world: LeaseWorld, rng: Random) -> list[LeasedMember]:
    member = rng.choice(world.members)
    member.clock.set_by(rng.uniform(0.1, 5.0) * TTL_MS)
    member.client._tick()
    return [member]


async def service_time_lost(world: LeaseWorld, rng: Random) -> list[LeasedMember]:
    world.service.lead(ServiceClock())
    while not world.service.leads():
        await pause(1.0)
    return world.members


async def stopped_in_call(world: LeaseWorld, rng: Random) -> list[LeasedMember]:
    member = rng.choice(world.members)
    await StoppedInCall(member, rng.uniform(0.1, 5.0) * TTL_MS).going_on.wait()
    return [member]


async def wrong_estimate(world: LeaseWorld, rng: Random) -> list[LeasedMember]:
    await world.until_no_call_is_in_flight()
    off_ms = rng.uniform(-10.0, 10.0) * TTL_MS
    for member in world.members:
        believe_wrongly(member, world, off_ms)
    return world.members


FAULTS: tuple[Fault, ...] = (
    older_answer, leader_clock_set, member_clock_set, service_time_lost, stopped_in_call, wrong_estimate,
)  # fmt: skip


def times_of(fault: Fault, members: int, seed: int) -> list[float]:
    """The terms from the fault's end to a lease of each member that it befell."""
    times: list[float] = []

    async def main() -> None:
        rng = Random(seed)
        world = LeaseWorld(Path(folder), members, seed)
        await world.until_settled()
        await pause(rng.uniform(0.0, TTL_MS))
        befallen = await fault(world, rng)
        times.extend(await world.times_to_lease_ms(befallen, LIMIT_TERMS * TTL_MS))
        world.close()

    with tempfile.TemporaryDirectory() as folder:
        run(main())
    return [time_ms / TTL_MS for time_ms in times]


def percentile(times: list[float], part: float) -> float:
    return round(sorted(times)[min(len(times) - 1, math.ceil(part * len(times)) - 1)], 3)


def main() -> None:
    parser = argparse.ArgumentParser()
    for name, default in (("runs", 200), ("seed", 1), ("members", 5)):
        parser.add_argument(f"--{name}", type=int, default=default)
    asked = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    logging.getLogger("loadbalancer").setLevel(logging.CRITICAL)
    by_fault: dict[str, list[float]] = {}
    for at in range(asked.runs):
        fault = FAULTS[at % len(FAULTS)]
        by_fault.setdefault(fault.__name__, []).extend(times_of(fault, asked.members, asked.seed + at))
    by_fault["all"] = [time for times in by_fault.values() for time in times]
    rows = {
        name: {
            "members": len(times),
            "p50": percentile(times, 0.5),
            "p99": percentile(times, 0.99),
            "max": round(max(times), 3),
            "none": sum(time >= LIMIT_TERMS for time in times),
        }
        for name, times in by_fault.items()
    }
    print(json.dumps({"runs": asked.runs, "seed": asked.seed, "terms": rows}))


if __name__ == "__main__":
    main()
