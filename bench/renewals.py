"""Benchmark of lease renewals at three instances of the list service on loopback. CI does not run it.

    python bench/renewals.py [--members 200 --seconds 20 --ttl-ms 5000 --group-size 7]

With a group size, the members are divided into services of that size; without one, all are one group. Each
member renews its lease every quarter of the lease term, on a new connection, always at the same instance,
which is drawn at random. A renewal is late if it failed or took longer than a quarter of the term. The
program prints one JSON line. CPU is in percent of a core, before the members enrol (`idle`) and while they
renew. Names with `coming` are about the first four terms, in which the members enrol.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import orjson

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bench.figures import cpu_s, quantile
from loadbalancer.node.http.service_client import send_request
from tests.support.registry_processes import Registry

SEED = 7


async def cpu_percents(pids: list[int], seconds: float) -> list[float]:
    """Measure the processes' CPU use over `seconds`, in percent of a core."""
    used_before, start = [cpu_s(pid) for pid in pids], time.monotonic()
    await asyncio.sleep(seconds)
    span_s = time.monotonic() - start
    return [
        round(100.0 * (cpu_s(pid) - before) / span_s, 1)
        for pid, before in zip(pids, used_before, strict=True)
    ]


async def post(port: int, path: str, body: dict[str, Any]) -> tuple[int, Any]:
    """Call an instance and return the response's status and decoded body."""
    response = await send_request(
        ("127.0.0.1", port), "POST", f"/fleet/{path}", orjson.dumps(body), timeout_s=5.0
    )
    return response.status, orjson.loads(response.body)


class Member:
    """A member that enrols and renews its lease, without a node behind it."""

    def __init__(self, number: int, port: int, ttl_ms: int, group_size: int) -> None:
        self.port, self.renewal_period_s, self.seq, self.grant = port, ttl_ms / 4_000.0, 0, {}
        self.enrolment = {
            "name": f"n{number}",
            "address": f"127.0.0.1:{1024 + number}",
            "start": f"s{number}",
        }
        if group_size:
            self.enrolment["service"] = f"service-{number // group_size}"

    async def enrol(self, failures: list[str]) -> None:
        """Enrol, retrying until it succeeds; each failed try is added to `failures`."""
        while not self.grant:
            try:
                status, response = await post(self.port, "enrol", self.enrolment)
            except (OSError, TimeoutError) as failure:
                status, response = 0, failure
            if status == 200:
                self.grant = response
            else:
                failures.append(f"enrol: {status} {response}")
                await asyncio.sleep(0.2)

    async def renew(self, end: float, latencies_ms: list[float], late: list[str]) -> None:
        """Renew the lease until `end` (monotonic, s); add to `latencies_ms`, and to `late` if late."""
        while (sent := time.monotonic()) < end:
            self.seq += 1
            body = {"incarnation": self.grant["incarnation"], "seq": self.seq, "answered": self.seq - 1}
            body |= {"acked": self.grant["rev"], "using": self.grant["share"], "sent": None, "delta": True}
            try:
                status, response = await post(self.port, "renew", body)
            except (OSError, TimeoutError) as failure:
                status, response = 0, failure
            took_s = time.monotonic() - sent
            latencies_ms.append(took_s * 1000.0)
            if status != 200 or took_s > self.renewal_period_s:
                late.append(f"renew: {status} after {took_s:.2f} s: {response if status != 200 else ''}")
            if status == 200:
                self.grant = response
            await asyncio.sleep(max(0.0, self.renewal_period_s - took_s))


async def renewals(
    folder: Path, members: int, seconds: float, ttl_ms: int, group_size: int
) -> dict[str, Any]:
    """Run the benchmark: enrolment and renewals for four terms, then measured renewals for `seconds`."""
    settings: dict[str, Any] = {"ttl_ms": ttl_ms} | ({"groups": "true"} if group_size else {})
    registry = Registry(folder, members=lambda index: settings)
    try:
        leader = registry.leader()
        pids = [process.pid for process in registry.processes if process is not None]
        idle = await cpu_percents(pids, 5.0)
        rng = random.Random(SEED)
        coming_ms, steady_ms, late_coming, late = list[float](), list[float](), list[str](), list[str]()
        all_members = [
            Member(number, registry.http[rng.randrange(3)], ttl_ms, group_size) for number in range(members)
        ]
        start = time.monotonic()

        async def enrol_and_renew(member: Member) -> None:
            await asyncio.sleep(rng.uniform(0.0, ttl_ms / 1_000.0))
            await member.enrol(late_coming)
            await member.renew(start + 4.0 * ttl_ms / 1_000.0, coming_ms, late_coming)

        async def keep_renewing(member: Member) -> None:
            await asyncio.sleep(rng.uniform(0.0, member.renewal_period_s))
            await member.renew(start + 4.0 * ttl_ms / 1_000.0 + seconds, steady_ms, late)

        await asyncio.gather(*(enrol_and_renew(member) for member in all_members))
        before = registry.status(leader)
        tasks = [asyncio.create_task(keep_renewing(member)) for member in all_members]
        busy = await cpu_percents(pids, seconds)
        await asyncio.gather(*tasks)
        after = registry.status(leader)
        return {
            "bench": "renewals",
            "members": members,
            "group_size": group_size,
            "ttl_ms": ttl_ms,
            "renewals": len(steady_ms),
            "p50_ms": round(quantile(steady_ms, 0.5), 1),
            "p99_ms": round(quantile(steady_ms, 0.99), 1),
            "max_ms": round(max(steady_ms), 1),
            "late": len(late),
            "coming_p99_ms": round(quantile(coming_ms, 0.99), 1),
            "late_while_coming": len(late_coming),
            "electors": sum(member.grant["elector"] for member in all_members),
            "share_sum_of_all": round(sum(member.grant["share"] for member in all_members), 4),
            "elections": after["term"] - before["term"],
            "log_entries": after["applied"] - before["applied"],
            "leader_cpu_idle": idle[leader],
            "leader_cpu": busy[leader],
            "followers_cpu_idle": [idle[index] for index in range(3) if index != leader],
            "followers_cpu": [busy[index] for index in range(3) if index != leader],
            "first_late": (late + late_coming)[:3],
        }
    finally:
        registry.stop()


def main() -> None:
    """Run the benchmark with the options of the command line and print its result."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--members", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--ttl-ms", type=int, default=5_000)
    parser.add_argument("--group-size", type=int, default=0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="renewals-bench-") as folder:
        result = asyncio.run(
            renewals(
                Path(folder), arguments.members, arguments.seconds, arguments.ttl_ms, arguments.group_size
            )
        )
    result["cores"] = os.cpu_count()
    result["load_average"] = round(os.getloadavg()[0], 1)
    print(orjson.dumps(result).decode())


if __name__ == "__main__":
    main()
