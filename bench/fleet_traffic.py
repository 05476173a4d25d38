"""Benchmarks of bench/fleet.py under load: loss of a zone, failures by confidence, cost of `members`."""

from __future__ import annotations

import asyncio
import http.client
import random
import statistics
import time
from bisect import bisect_right
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

from bench.figures import quantile
from bench.fleet_world import LIMIT_S, Plan, Result, World, cpu_ms, spread
from loadbalancer.endpoints import Confidence
from loadbalancer.node.http.service_client import send_request
from tests.support.faults import LoopThread
from tests.support.load import Load
from tests.support.loopback import Message
from tests.support.node_processes import Node
from tests.support.registry_processes import until
from tests.support.stub_servers import Behaviour, StubServerPool


def _read_category(latency_objective_ms: float) -> list[dict[str, object]]:
    return [
        {
            "name": "read",
            "aimMs": latency_objective_ms,
            "giveUpMs": 3 * latency_objective_ms,
            "credit": 12.0,
            "effect": "free",
        }
    ]


class PoissonLoad:
    """Sends `rate` requests per second as a Poisson process, each to a random node of `ports`.

    Requests don't wait for each other. `outcomes` has the time of sending (monotonic, s) and the status of
    each ended request; status 0 means that no response came.
    """

    def __init__(self, ports: Sequence[int], rate: float, seed: int) -> None:
        self.ports, self.outcomes = list(ports), list[tuple[float, int]]()
        self._rate, self._rng = rate, random.Random(seed)
        self._loops = LoopThread()
        self._loops.call(self._start)

    def _start(self) -> None:
        self._tasks = {asyncio.create_task(self._send_all())}

    async def _send_all(self) -> None:
        loop, number = asyncio.get_running_loop(), 0
        due = loop.time()
        while True:
            due += self._rng.expovariate(self._rate)
            await asyncio.sleep(max(0.0, due - loop.time()))
            number += 1
            task = asyncio.create_task(self._send(self._rng.choice(self.ports), f"p{number}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, port: int, name: str) -> None:
        sent = time.monotonic()
        try:
            response = await send_request(
                ("127.0.0.1", port), "GET", f"/read/{name}", b"", 10.0, {"Req-Id": name}
            )
            self.outcomes.append((sent, response.status))
        except (OSError, TimeoutError):
            self.outcomes.append((sent, 0))

    def statuses_between(self, start: float, end: float) -> Counter[int]:
        """Return the number of requests by status, of those sent from `start` until before `end`."""
        return Counter(status for sent, status in self.outcomes if start <= sent < end)

    def stop(self) -> None:
        """End the load at once, without waiting for requests in flight."""
        self._loops.close()


def zone(
    folder: Path,
    nodes: int,
    zones: int,
    servers: int,
    room: int,
    latency_ms: float,
    aim_ms: float,
    rate: float,
    seconds: float,
    ttl_ms: int,
    rounds: int,
    seed: int,
) -> Iterator[Result]:
    """Requests served after a zone's nodes are killed, with `members` and with a fixed `siblings` setting.

    Requests are sent as a Poisson process to the running nodes only. Requests rejected after the loss are
    rejected by the nodes' thresholds, because the servers have spare capacity (`room` is the capacity of a
    server; 0: unlimited). Only a part of a threshold depends on the number of siblings: the quota times 3 per
    server, and the minimum of 2. The remaining part is learned by each node from its own request rate.
    """
    served: dict[bool, list[float]] = {True: [], False: []}
    for at in range(rounds):
        for members in (True, False):
            settings = {"siblings": nodes, "categories": _read_category(aim_ms)}
            plan = Plan(
                nodes,
                ttl_ms=ttl_ms,
                zones=zones,
                members=members,
                servers=servers,
                latency_ms=latency_ms,
                server_capacity=room or None,
                settings=settings,
            )
            name = f"{at}-{members}"
            (folder / name).mkdir()
            with World(folder / name, plan) as world:
                found = _kill_zone(world, rate, seconds, seed + at)
            served[members].append(found["after"]["served_per_s"])
            yield {"figure": "zone", "members": members, "nodes": nodes, "rate": rate} | found
    ratios = [with_members / fixed for with_members, fixed in zip(served[True], served[False], strict=True)]
    yield {
        "figure": "zone",
        "served_by_members_over_siblings": round(statistics.median(ratios), 3),
        "each": [round(ratio, 3) for ratio in ratios],
        "goal": "at least 1.3",
        "met": statistics.median(ratios) >= 1.3,
    }


def _kill_zone(world: World, rate: float, seconds: float, seed: int) -> Result:
    """Kill a zone's nodes; return the requests served before, during lease expiry (`gap`) and after it."""
    plan, killed = world.plan, set(world.nodes_in_zone(world.plan.zones - 1))
    if plan.members:
        world.wait_until_quotas_equal()
        first = min(range(plan.nodes), key=lambda at: world.status(at)["incarnation"])
        if first in killed:  # of two halves of a group, the one with the first incarnation continues
            killed = set(world.nodes_in_zone(0))
    for node in world.nodes:
        until(lambda node=node: node.endpoint_count() == plan.servers, LIMIT_S, "the endpoint list")
    load = PoissonLoad([node.port for node in world.nodes], rate, seed)
    try:
        time.sleep(6.0 + seconds)
        killed_at = time.monotonic()
        load.ports = [node.port for at, node in enumerate(world.nodes) if at not in killed]
        for at in killed:
            world.nodes[at].kill()
        recovered_at = killed_at + plan.ttl_ms / 1000.0 + 2.0
        time.sleep(recovered_at + seconds - time.monotonic())
        end = time.monotonic()
        time.sleep(1.0)
        spans = {
            "before": (killed_at - seconds, killed_at),
            "gap": (killed_at, recovered_at),
            "after": (recovered_at, end),
        }
        return {
            name: _served(load.statuses_between(*span), span[1] - span[0]) for name, span in spans.items()
        }
    finally:
        load.stop()
        time.sleep(0.5)  # for requests in flight at servers to end


def _served(statuses: Counter[int], span_s: float) -> Result:
    """Return the rate and the ratio of requests with status 200, and the number of requests by status."""
    return {
        "served_per_s": round(statuses[200] / span_s, 1),
        "share": round(statuses[200] / max(1, statuses.total()), 3),
        "statuses": {str(status): count for status, count in sorted(statuses.items())},
    }


# ---------------------------------------------------------------------- failures by confidence

# A control period is 0.15 of the objective, so `sure` lasts for 0.48 s and `blind` begins after 7.7 s.
LATENCY_OBJECTIVE_MS = 200.0
# Time of arrival at the server (monotonic, s), server, request id, whether the attempt failed.
Attempt = tuple[float, str, str, bool]


class RecordingPool(StubServerPool):
    """Records each attempt; a 500, no response or one later than the latency objective is a failure."""

    def __init__(self, count: int, latency_ms: float = 0.0, capacity: int | None = None) -> None:
        self.attempts: list[Attempt] = []
        super().__init__(count, latency_ms, capacity)

    async def _respond(self, server: Any, message: Message) -> bytes | None:
        received = time.monotonic()
        response = await super()._respond(server, message)
        late = time.monotonic() - received > LATENCY_OBJECTIVE_MS / 1000.0
        failed = late or response is None or b" 500 " in response[:14]
        self.attempts.append((received, server.uid, message.headers["req-id"], failed))
        return response


class ConfidenceSampler:
    """Reads each node's confidence in its routes to the servers, 30 ms after each read."""

    def __init__(self, nodes: Sequence[Node]) -> None:
        self._read_at: list[list[float]] = [[] for _ in nodes]
        self._levels: list[list[dict[str, str]]] = [[] for _ in nodes]
        self._loops = LoopThread()
        self._loops.call(lambda: self._start(nodes))

    def _start(self, nodes: Sequence[Node]) -> None:
        self._tasks = [asyncio.create_task(self._read(at, node.admin_port)) for at, node in enumerate(nodes)]

    async def _read(self, at: int, operator_port: int) -> None:
        while True:
            with suppress(OSError, TimeoutError, ValueError):
                response = await send_request(
                    ("127.0.0.1", operator_port), "GET", "/status/routes", timeout_s=2.0
                )
                edges = orjson.loads(response.body)["edges"]
                self._levels[at].append({row["to"]: row["mark"] for row in edges if row["kind"] == "server"})
                self._read_at[at].append(time.monotonic())
            await asyncio.sleep(0.03)

    def level(self, at: int, server: str, moment: float) -> str | None:
        """Return node `at`'s confidence in the server as last read before the moment, or None if unknown."""
        index = bisect_right(self._read_at[at], moment) - 1
        return self._levels[at][index].get(server) if index >= 0 else None

    def stop(self) -> None:
        """End the sampling; what was read stays available."""
        self._loops.close()


def marks(
    folder: Path, nodes: int, servers: int, seconds: float, pause_ms: float, seed: int
) -> Iterator[Result]:
    """Ratio of failed attempts by the route's confidence at arrival, while servers fail, hang or are slow."""
    rng = random.Random(seed)
    settings = {"categories": _read_category(LATENCY_OBJECTIVE_MS)}
    plan = Plan(nodes, servers=servers, latency_ms=5.0, settings=settings, pool=RecordingPool)
    with World(folder, plan) as world:
        world.wait_until_quotas_equal()
        sampler = ConfidenceSampler(world.nodes)
        loads = [
            Load(node.port, f"m{at}-", 1, "read", pause_ms / 1000.0) for at, node in enumerate(world.nodes)
        ]
        faulty: set[int] = set()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            _change_a_server(world.pool, rng, faulty, servers)
            time.sleep(rng.uniform(0.5, 1.5))
        for at in range(servers):
            world.pool.set_behaviour(at, "respond")
        for load in loads:
            load.finish()
        sampler.stop()
        assert isinstance(world.pool, RecordingPool)
        # A request id begins with "m" and the index of its node.
        counts = Counter(
            (sampler.level(int(name[1:].split("-")[0]), server, received), failed)
            for received, server, name, failed in list(world.pool.attempts)
        )
    totals = {level: counts[level.value, True] + counts[level.value, False] for level in Confidence}
    ratios = [counts[level.value, True] / total for level, total in totals.items() if total >= 20]
    yield {
        "figure": "marks",
        "nodes": nodes,
        "servers": servers,
        "seconds": seconds,
        "calls": {level.value: total for level, total in totals.items()},
        "failed": {
            level.value: round(counts[level.value, True] / total, 4) if total else None
            for level, total in totals.items()
        },
        "goal": "rising from sure to blind",
        "met": len(ratios) > 2 and ratios == sorted(ratios),
    }


def _change_a_server(pool: StubServerPool, rng: random.Random, faulty: set[int], servers: int) -> None:
    """Repair a random faulty server or make another one faulty; at most about a third are faulty."""
    if faulty and (len(faulty) * 3 >= servers or rng.random() < 0.4):
        at = rng.choice(sorted(faulty))
        faulty.remove(at)
        pool.set_behaviour(at, "respond", latency_ms=5.0)
    else:
        at = rng.choice([at for at in range(servers) if at not in faulty])
        faulty.add(at)
        behaviour, latency_ms = rng.choice(FAULTS)
        pool.set_behaviour(at, behaviour, latency_ms=latency_ms)


FAULTS: tuple[tuple[Behaviour, float], ...] = (
    ("fail", 5.0),
    ("hang", 5.0),
    ("drop", 5.0),
    ("respond", 100.0),  # slow, but within the latency objective
    ("respond", 400.0),  # later than the latency objective, so it counts as failed
)


# ---------------------------------------------------------------------- cost of `members`


def cost_of_call(folder: Path, siblings: int, rounds: int, calls: int, seed: int) -> Iterator[Result]:
    """Latency and CPU time per request of a node with `members` (on) against a node without them (off).

    In each round both nodes get a series of requests, in random order, each series on one connection and one
    request after another. The CPU time is without what the node uses when idle; that is reported separately.
    """
    rng = random.Random(seed)
    with World(folder, Plan(siblings + 1, ttl_ms=5_000, servers=4, latency_ms=0.0)) as world:
        off = world.make_node(0, members=False)
        world.launch([off])
        try:
            world.wait_until_quotas_equal()
            world.warm_up()
            number = world.propose()
            until(
                lambda: all(
                    status["routes"]["version"] == number for status in world.statuses(range(siblings + 1))
                ),
                LIMIT_S,
                "the version in force at all nodes",
            )
            until(lambda: off.endpoint_count() == 4, LIMIT_S, "the endpoint list")
            yield _compare({"on": world.nodes[0], "off": off}, rng, rounds, calls)
        finally:
            off.kill()


def _compare(nodes: dict[str, Node], rng: random.Random, rounds: int, calls: int) -> Result:
    """Send `calls` requests per round to each node, `on` and `off`, and compare latency and CPU time."""
    pids = {kind: node.process.pid for kind, node in nodes.items() if node.process is not None}
    connections = {kind: http.client.HTTPConnection("127.0.0.1", node.port) for kind, node in nodes.items()}
    for kind in nodes:
        _send_requests(connections[kind], f"warm-{kind}", 300)
    cpu_before = {kind: cpu_ms(pid) for kind, pid in pids.items()}
    time.sleep(5.0)
    idle_ms_per_s = {kind: (cpu_ms(pid) - cpu_before[kind]) / 5.0 for kind, pid in pids.items()}
    latencies_ms: dict[str, list[float]] = {"on": [], "off": []}
    busy_ms = {"on": 0.0, "off": 0.0}
    ratios = []
    for at in range(rounds):
        medians = {}
        for kind in rng.sample(["on", "off"], 2):
            start, cpu_at_start = time.monotonic(), cpu_ms(pids[kind])
            times = _send_requests(connections[kind], f"{kind}-{at}", calls)
            busy_ms[kind] += (
                cpu_ms(pids[kind]) - cpu_at_start - idle_ms_per_s[kind] * (time.monotonic() - start)
            )
            latencies_ms[kind] += times
            medians[kind] = statistics.median(times)
        ratios.append(medians["on"] / medians["off"])
    for connection in connections.values():
        connection.close()
    cpu_ms_per_request = {kind: busy_ms[kind] / (rounds * calls) for kind in busy_ms}
    quarters = statistics.quantiles(ratios, n=4)
    latency_ratio, cpu_ratio = (
        statistics.median(ratios),
        cpu_ms_per_request["on"] / cpu_ms_per_request["off"],
    )
    return {
        "figure": "call",
        "rounds": rounds,
        "calls_a_round": calls,
        "on_ms": spread(latencies_ms["on"], 3),
        "off_ms": spread(latencies_ms["off"], 3),
        "p50_on_over_off_by_round": {
            "median": round(latency_ratio, 4),
            "quartiles": [round(q, 4) for q in quarters],
        },
        "p99_on_over_off": round(quantile(latencies_ms["on"], 0.99) / quantile(latencies_ms["off"], 0.99), 4),
        "cpu_ms_a_call": {kind: round(ms, 4) for kind, ms in cpu_ms_per_request.items()},
        "cpu_on_over_off": round(cpu_ratio, 4),
        "idle_cpu_percent": {kind: round(ms / 10.0, 2) for kind, ms in idle_ms_per_s.items()},
        "goal": "latency p50 and CPU within 3%",
        "met": latency_ratio <= 1.03 and cpu_ratio <= 1.03,
    }


def _send_requests(connection: http.client.HTTPConnection, prefix: str, count: int) -> list[float]:
    """Send `count` requests one after another on the connection and return their latencies in ms."""
    times = []
    for number in range(count):
        name = f"{prefix}-{number}"
        start = time.perf_counter()
        connection.request("GET", f"/read/{name}", headers={"Req-Id": name})
        response = connection.getresponse()
        response.read()
        times.append((time.perf_counter() - start) * 1000.0)
        assert response.status == 200, response.status
    return times
