"""Measures how soon members hold a lease again after a fault made them wrong about service time.

    python bench/lease_recovery.py [--runs 200 --seed 1 --members 5]

Each run has one of these faults, with a random size: an old response in place of the current one, a step of
the leader's or a member's clock, a new leader that knows service time from the log only, a process paused in
the middle of a call, a wrong estimate of service time. Time is simulated
(tests/support/lease_simulation.py). The program prints one JSON line: the times from the end of the fault to
the next lease, in lease terms, and the number of members (`none`) that got no lease within the limit.
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
from tests.support.lease_faults import OlderResponse, PausedDuringCall, set_wrong_estimate
from tests.support.lease_simulation import TTL_MS, LeasedMember, LeaseSimulation, run, sleep_ms

LIMIT_TERMS = 12.0

Fault = Callable[[LeaseSimulation, Random], Awaitable[list[LeasedMember]]]  # returns the affected members


# The names of these functions are keys of the printed JSON.


async def older_answer(simulation: LeaseSimulation, rng: Random) -> list[LeasedMember]:
    """Replace the response to a member's renewal by an older one."""
    member = rng.choice(simulation.members)
    await OlderResponse(member, rng.uniform(0.2, 10.0) * TTL_MS).injected.wait()
    return [member]


async def leader_clock_set(simulation: LeaseSimulation, rng: Random) -> list[LeasedMember]:
    """Step the leader's clock, forward or back."""
    simulation.service.clocks.offset_ms += rng.uniform(-3.0, 0.9) * TTL_MS
    return simulation.members


async def member_clock_set(simulation: LeaseSimulation, rng: Random) -> list[LeasedMember]:
    """Step a member's clock forward."""
    member = rng.choice(simulation.members)
    member.clock.step(rng.uniform(0.1, 5.0) * TTL_MS)
    member.client._tick()
    return [member]


async def service_time_lost(simulation: LeaseSimulation, rng: Random) -> list[LeasedMember]:
    """Replace the leader by one that knows service time from the log only."""
    simulation.service.start_leader(ServiceClock())
    while not simulation.service.is_leading():
        await sleep_ms(1.0)
    return simulation.members


async def stopped_in_call(simulation: LeaseSimulation, rng: Random) -> list[LeasedMember]:
    """Pause a member's process between a response and its handling."""
    member = rng.choice(simulation.members)
    await PausedDuringCall(member, rng.uniform(0.1, 5.0) * TTL_MS).resumed.wait()
    return [member]


async def wrong_estimate(simulation: LeaseSimulation, rng: Random) -> list[LeasedMember]:
    """Give all members the same wrong estimate of service time."""
    await simulation.wait_until_no_call_in_flight()
    error_ms = rng.uniform(-10.0, 10.0) * TTL_MS
    for member in simulation.members:
        set_wrong_estimate(member, simulation, error_ms)
    return simulation.members


FAULTS: tuple[Fault, ...] = (
    older_answer, leader_clock_set, member_clock_set, service_time_lost, stopped_in_call, wrong_estimate,
)  # fmt: skip


def recovery_terms(fault: Fault, members: int, seed: int) -> list[float]:
    """Return for each affected member the lease terms from the end of the fault to its next lease."""
    times: list[float] = []

    async def main() -> None:
        rng = Random(seed)
        simulation = LeaseSimulation(Path(folder), members, seed)
        await simulation.wait_until_settled()
        await sleep_ms(rng.uniform(0.0, TTL_MS))
        affected = await fault(simulation, rng)
        times.extend(await simulation.times_to_lease_ms(affected, LIMIT_TERMS * TTL_MS))
        simulation.close()

    with tempfile.TemporaryDirectory() as folder:
        run(main())
    return [time_ms / TTL_MS for time_ms in times]


def percentile(times: list[float], fraction: float) -> float:
    """Return the smallest time that at least this fraction (0 to 1) of the times doesn't exceed."""
    return round(sorted(times)[min(len(times) - 1, math.ceil(fraction * len(times)) - 1)], 3)


def main() -> None:
    """Run the faults in turn and print the recovery times by fault."""
    parser = argparse.ArgumentParser()
    for name, default in (("runs", 200), ("seed", 1), ("members", 5)):
        parser.add_argument(f"--{name}", type=int, default=default)
    arguments = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    logging.getLogger("loadbalancer").setLevel(logging.CRITICAL)
    by_fault: dict[str, list[float]] = {}
    for number in range(arguments.runs):
        fault = FAULTS[number % len(FAULTS)]
        by_fault.setdefault(fault.__name__, []).extend(
            recovery_terms(fault, arguments.members, arguments.seed + number)
        )
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
    print(json.dumps({"runs": arguments.runs, "seed": arguments.seed, "terms": rows}))


if __name__ == "__main__":
    main()
