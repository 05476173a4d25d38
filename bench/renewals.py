"""Members renewing at three instances of the list service on loopback. Outside CI.

    python bench/renewals.py [--members 200 --seconds 20 --ttl-ms 5000 --group-size 7]

With a group size the members name services, so many members each; without, all are one group. Each member
renews every quarter of the term, on a new connection, at an instance of its own. Late is a renewal whose
answer came after a quarter of the term, or that failed. Prints one JSON line of figures; CPU is in percent of
a core, before the members come (`idle`) and while they renew.
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
from loadbalancer.node.http.service_http import send_request
from tests.support.registry_processes import Registry

SEED = 7


async def percent(pids: list[int], seconds: float) -> list[float]:
    before, began = [cpu_s(pid) for pid in pids], time.monotonic()
    await asyncio.sleep(seconds)
    passed = time.monotonic() - began
    return [round(100.0 * (cpu_s(pid) - was) / passed, 1) for pid, was in zip(pids, before, strict=True)]


async def post(port: int, path: str, body: dict[str, Any]) -> tuple[int, Any]:
    reply = await send_request(
        ("127.0.0.1", port), "POST", f"/fleet/{path}", orjson.dumps(body), timeout_s=5.0
    )
    return reply.status, orjson.loads(reply.body)


class Member:
    def __init__(self, number: int, port: int, ttl_ms: int, group_size: int) -> None:
        self.port, self.every_s, self.seq, self.told = port, ttl_ms / 4_000.0, 0, {}
        self.about = {"name": f"n{number}", "address": f"127.0.0.1:{1024 + number}", "start": f"s{number}"}
        if group_size:
            self.about["service"] = f"service-{number // group_size}"

    async def enrol(self, failures: list[str]) -> None:
        while not self.told:
            try:
                status, told = await post(self.port, "enrol", self.about)
            except (OSError, TimeoutError) as failure:
                status, told = 0, failure
            if status == 200:
                self.told = told
            else:
                failures.append(f"enrol: {status} {told}")
                await asyncio.sleep(0.2)

    async def renew(self, end: float, took: list[float], late: list[str]) -> None:
        while (sent := time.monotonic()) < end:
            self.seq += 1
            row = {"incarnation": self.told["incarnation"], "seq": self.seq, "answered": self.seq - 1}
            row |= {"acked": self.told["rev"], "using": self.told["share"], "sent": None, "delta": True}
            try:
                status, answer = await post(self.port, "renew", row)
            except (OSError, TimeoutError) as failure:
                status, answer = 0, failure
            passed = time.monotonic() - sent
            took.append(passed * 1000.0)
            if status != 200 or passed > self.every_s:
                late.append(f"renew: {status} after {passed:.2f} s: {answer if status != 200 else ''}")
            if status == 200:
                self.told = answer
            await asyncio.sleep(max(0.0, self.every_s - passed))


async def renewals(
    folder: Path, members: int, seconds: float, ttl_ms: int, group_size: int
) -> dict[str, Any]:
    settings: dict[str, Any] = {"ttl_ms": ttl_ms} | ({"groups": "true"} if group_size else {})
    fleet = Registry(folder, members=lambda index: settings)
    try:
        leader = fleet.leader()
        pids = [process.pid for process in fleet.processes if process is not None]
        idle = await percent(pids, 5.0)
        rng = random.Random(SEED)
        coming, steady, late_coming, late = list[float](), list[float](), list[str](), list[str]()
        fleet_of = [
            Member(number, fleet.http[rng.randrange(3)], ttl_ms, group_size) for number in range(members)
        ]
        begun = time.monotonic()

        async def come(one: Member) -> None:
            await asyncio.sleep(rng.uniform(0.0, ttl_ms / 1_000.0))
            await one.enrol(late_coming)
            await one.renew(begun + 4.0 * ttl_ms / 1_000.0, coming, late_coming)

        async def stay(one: Member) -> None:
            await asyncio.sleep(rng.uniform(0.0, one.every_s))
            await one.renew(begun + 4.0 * ttl_ms / 1_000.0 + seconds, steady, late)

        await asyncio.gather(*(come(one) for one in fleet_of))
        before = fleet.status(leader)
        tasks = [asyncio.create_task(stay(one)) for one in fleet_of]
        busy = await percent(pids, seconds)
        await asyncio.gather(*tasks)
        after = fleet.status(leader)
        return {
            "bench": "renewals",
            "members": members,
            "group_size": group_size,
            "ttl_ms": ttl_ms,
            "renewals": len(steady),
            "p50_ms": round(quantile(steady, 0.5), 1),
            "p99_ms": round(quantile(steady, 0.99), 1),
            "max_ms": round(max(steady), 1),
            "late": len(late),
            "coming_p99_ms": round(quantile(coming, 0.99), 1),
            "late_while_coming": len(late_coming),
            "electors": sum(one.told["elector"] for one in fleet_of),
            "share_sum_of_all": round(sum(one.told["share"] for one in fleet_of), 4),
            "elections": after["term"] - before["term"],
            "log_entries": after["applied"] - before["applied"],
            "leader_cpu_idle": idle[leader],
            "leader_cpu": busy[leader],
            "followers_cpu_idle": [idle[index] for index in range(3) if index != leader],
            "followers_cpu": [busy[index] for index in range(3) if index != leader],
            "first_late": (late + late_coming)[:3],
        }
    finally:
        fleet.stop()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--members", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--ttl-ms", type=int, default=5_000)
    parser.add_argument("--group-size", type=int, default=0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="renewals-bench-") as folder:
        figures = asyncio.run(
            renewals(
                Path(folder), arguments.members, arguments.seconds, arguments.ttl_ms, arguments.group_size
            )
        )
    figures["cores"] = os.cpu_count()
    figures["load_average"] = round(os.getloadavg()[0], 1)
    print(orjson.dumps(figures).decode())


if __name__ == "__main__":
    main()
