"""Figures of bench/fleet.py under load: a zone lost, calls by mark, and what all parts cost a call."""

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
from bench.fleet_world import LIMIT_S, Figures, Plan, World, cpu_ms, spread
from loadbalancer.endpoints import Confidence
from loadbalancer.node.http.service_http import send_request
from tests.support.faults import LoopThread
from tests.support.load import Load
from tests.support.loopback import Message
from tests.support.node_processes import Node
from tests.support.registry_processes import until
from tests.support.stub_servers import Behaviour, StubServerPool


def _read(aim_ms: float) -> list[dict[str, object]]:
    return [{"name": "read", "aimMs": aim_ms, "giveUpMs": 3 * aim_ms, "credit": 12.0, "effect": "free"}]


class Poisson:
    """Requests at `rate` a second to nodes drawn at random, none waiting for another: (sent s, status)."""

    def __init__(self, ports: Sequence[int], rate: float, seed: int) -> None:
        self.ports, self.ended = list(ports), list[tuple[float, int]]()
        self._rate, self._rng = rate, random.Random(seed)
        self._loops = LoopThread()
        self._loops.call(self._begin)

    def _begin(self) -> None:
        self._tasks = {asyncio.create_task(self._send())}

    async def _send(self) -> None:
        loop, number = asyncio.get_running_loop(), 0
        due = loop.time()
        while True:
            due += self._rng.expovariate(self._rate)
            await asyncio.sleep(max(0.0, due - loop.time()))
            number += 1
            task = asyncio.create_task(self._one(self._rng.choice(self.ports), f"p{number}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _one(self, port: int, name: str) -> None:
        sent = time.monotonic()
        try:
            reply = await send_request(
                ("127.0.0.1", port), "GET", f"/read/{name}", b"", 10.0, {"Req-Id": name}
            )
            self.ended.append((sent, reply.status))
        except (OSError, TimeoutError):
            self.ended.append((sent, 0))

    def between(self, start: float, end: float) -> Counter[int]:
        return Counter(status for sent, status in self.ended if start <= sent < end)

    def stop(self) -> None:
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
) -> Iterator[Figures]:
    """A zone's nodes killed under load: what the rest serve, with members against fixed `siblings`.

    Requests come as a Poisson process and go to the nodes that run: what is refused after the loss is
    refused by thresholds, as servers have room (`room` 0: all of it). Of a threshold only the share times 3
    a server (and the floor of 2) comes from the siblings; the other part each node learns from its own rate.
    """
    served: dict[bool, list[float]] = {True: [], False: []}
    for at in range(rounds):
        for members in (True, False):
            settings = {"siblings": nodes, "categories": _read(aim_ms)}
            plan = Plan(
                nodes,
                ttl_ms=ttl_ms,
                zones=zones,
                members=members,
                servers=servers,
                latency_ms=latency_ms,
                room=room or None,
                settings=settings,
            )
            name = f"{at}-{members}"
            (folder / name).mkdir()
            with World(folder / name, plan) as world:
                found = _zone_lost(world, rate, seconds, seed + at)
            served[members].append(found["after"]["served_per_s"])
            yield {"figure": "zone", "members": members, "nodes": nodes, "rate": rate} | found
    ratios = [one / other for one, other in zip(served[True], served[False], strict=True)]
    yield {
        "figure": "zone",
        "served_by_members_over_siblings": round(statistics.median(ratios), 3),
        "each": [round(ratio, 3) for ratio in ratios],
        "goal": "at least 1.3",
        "met": statistics.median(ratios) >= 1.3,
    }


def _zone_lost(world: World, rate: float, seconds: float, seed: int) -> Figures:
    plan, killed = world.plan, set(world.of_zone(world.plan.zones - 1))
    if plan.members:
        world.until_shared()
        first = min(range(plan.nodes), key=lambda at: world.status(at)["incarnation"])
        if first in killed:  # of two halves the one with the first incarnation goes on
            killed = set(world.of_zone(0))
    for node in world.nodes:
        until(lambda node=node: node.endpoint_count() == plan.servers, LIMIT_S, "the list")
    load = Poisson([node.port for node in world.nodes], rate, seed)
    try:
        time.sleep(6.0 + seconds)
        lost = time.monotonic()
        load.ports = [node.port for at, node in enumerate(world.nodes) if at not in killed]
        for at in killed:
            world.nodes[at].kill()
        again = lost + plan.ttl_ms / 1000.0 + 2.0
        time.sleep(again + seconds - time.monotonic())
        end = time.monotonic()
        time.sleep(1.0)
        spans = {"before": (lost - seconds, lost), "gap": (lost, again), "after": (again, end)}
        return {name: _served(load.between(*span), span[1] - span[0]) for name, span in spans.items()}
    finally:
        load.stop()
        time.sleep(0.5)  # calls under way at servers end


def _served(statuses: Counter[int], span_s: float) -> Figures:
    return {
        "served_per_s": round(statuses[200] / span_s, 1),
        "share": round(statuses[200] / max(1, statuses.total()), 3),
        "statuses": {str(status): count for status, count in sorted(statuses.items())},
    }


# ---------------------------------------------------------------------- calls by mark

MARKS_AIM_MS = 200.0  # a period is 0.15 of it: `sure` holds for 0.48 s, `blind` begins at 7.7 s
Noted = tuple[float, str, str, bool]  # when it came, at which server, the request's id, whether it failed


class NotingPool(StubServerPool):
    """Notes each call: failed are those answered 500, not at all, or after the class's aim."""

    def __init__(self, count: int, latency_ms: float = 0.0, capacity: int | None = None) -> None:
        self.noted: list[Noted] = []
        super().__init__(count, latency_ms, capacity)

    async def _respond(self, server: Any, message: Message) -> bytes | None:
        came = time.monotonic()
        answer = await super()._respond(server, message)
        late = time.monotonic() - came > MARKS_AIM_MS / 1000.0
        failed = late or answer is None or b" 500 " in answer[:14]
        self.noted.append((came, server.uid, message.headers["req-id"], failed))
        return answer


class MarkWatch:
    """The mark of each route at each node, read every 30 ms."""

    def __init__(self, nodes: Sequence[Node]) -> None:
        self._read_at: list[list[float]] = [[] for _ in nodes]
        self._marks: list[list[dict[str, str]]] = [[] for _ in nodes]
        self._loops = LoopThread()
        self._loops.call(lambda: self._begin(nodes))

    def _begin(self, nodes: Sequence[Node]) -> None:
        self._tasks = [asyncio.create_task(self._read(at, node.admin_port)) for at, node in enumerate(nodes)]

    async def _read(self, at: int, door: int) -> None:
        while True:
            with suppress(OSError, TimeoutError, ValueError):
                reply = await send_request(("127.0.0.1", door), "GET", "/status/routes", timeout_s=2.0)
                edges = orjson.loads(reply.body)["edges"]
                self._marks[at].append({row["to"]: row["mark"] for row in edges if row["kind"] == "server"})
                self._read_at[at].append(time.monotonic())
            await asyncio.sleep(0.03)

    def mark(self, at: int, server: str, moment: float) -> str | None:
        """As last read before the moment."""
        index = bisect_right(self._read_at[at], moment) - 1
        return self._marks[at][index].get(server) if index >= 0 else None

    def stop(self) -> None:
        self._loops.close()


def marks(
    folder: Path, nodes: int, servers: int, seconds: float, pause_ms: float, seed: int
) -> Iterator[Figures]:
    """Calls that failed, by the mark of their route as they began, while servers fail, hang and turn slow."""
    rng = random.Random(seed)
    settings = {"categories": _read(MARKS_AIM_MS)}
    plan = Plan(nodes, servers=servers, latency_ms=5.0, settings=settings, pool=NotingPool)
    with World(folder, plan) as world:
        world.until_shared()
        watch = MarkWatch(world.nodes)
        loads = [
            Load(node.port, f"m{at}-", 1, "read", pause_ms / 1000.0) for at, node in enumerate(world.nodes)
        ]
        bad: set[int] = set()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            _change(world.pool, rng, bad, servers)
            time.sleep(rng.uniform(0.5, 1.5))
        for at in range(servers):
            world.pool.set_behaviour(at, "respond")
        for load in loads:
            load.finish()
        watch.stop()
        assert isinstance(world.pool, NotingPool)
        counts = Counter(
            (watch.mark(int(name[1:].split("-")[0]), server, came), failed)
            for came, server, name, failed in list(world.pool.noted)
        )
    totals = {mark: counts[mark.value, True] + counts[mark.value, False] for mark in Confidence}
    shares = [counts[mark.value, True] / total for mark, total in totals.items() if total >= 20]
    yield {
        "figure": "marks",
        "nodes": nodes,
        "servers": servers,
        "seconds": seconds,
        "calls": {mark.value: total for mark, total in totals.items()},
        "failed": {
            mark.value: round(counts[mark.value, True] / total, 4) if total else None
            for mark, total in totals.items()
        },
        "goal": "rising from sure to blind",
        "met": len(shares) > 2 and shares == sorted(shares),
    }


def _change(pool: StubServerPool, rng: random.Random, bad: set[int], servers: int) -> None:
    """A server drawn turns bad where fewer than a third are, else one that is bad turns good."""
    if bad and (len(bad) * 3 >= servers or rng.random() < 0.4):
        at = rng.choice(sorted(bad))
        bad.remove(at)
        pool.set_behaviour(at, "respond", latency_ms=5.0)
    else:
        at = rng.choice([at for at in range(servers) if at not in bad])
        bad.add(at)
        conduct, latency_ms = rng.choice(FAULTS)
        pool.set_behaviour(at, conduct, latency_ms=latency_ms)


FAULTS: tuple[tuple[Behaviour, float], ...] = (
    ("fail", 5.0),
    ("hang", 5.0),
    ("drop", 5.0),
    ("respond", 100.0),  # slow, which is no failure
    ("respond", 400.0),  # too slow to count
)


# ---------------------------------------------------------------------- what a call costs


def cost_of_call(folder: Path, siblings: int, rounds: int, calls: int, seed: int) -> Iterator[Figures]:
    """Calls one after another on a kept connection through a node with all parts on and through one without,
    in turn, a few ms each; its CPU less what it uses unasked, and as it is."""
    rng = random.Random(seed)
    with World(folder, Plan(siblings + 1, ttl_ms=5_000, servers=4, latency_ms=0.0)) as world:
        off = world.node(0, members=False)
        world.launch([off])
        try:
            world.until_shared()
            world.warm()
            number = world.propose()
            until(
                lambda: all(
                    found["routes"]["version"] == number for found in world.statuses(range(siblings + 1))
                ),
                LIMIT_S,
                "the version in force",
            )
            until(lambda: off.endpoint_count() == 4, LIMIT_S, "the list")
            yield _compare({"on": world.nodes[0], "off": off}, rng, rounds, calls)
        finally:
            off.kill()


def _compare(nodes: dict[str, Node], rng: random.Random, rounds: int, calls: int) -> Figures:
    pids = {kind: node.process.pid for kind, node in nodes.items() if node.process is not None}
    connections = {kind: http.client.HTTPConnection("127.0.0.1", node.port) for kind, node in nodes.items()}
    for kind in nodes:
        _calls(connections[kind], f"warm-{kind}", 300)
    before = {kind: cpu_ms(pid) for kind, pid in pids.items()}
    time.sleep(5.0)
    idle = {kind: (cpu_ms(pid) - before[kind]) / 5.0 for kind, pid in pids.items()}  # ms a second
    took: dict[str, list[float]] = {"on": [], "off": []}
    used = {"on": 0.0, "off": 0.0}
    ratios = []
    for at in range(rounds):
        middles = {}
        for kind in rng.sample(["on", "off"], 2):
            began, spent = time.monotonic(), cpu_ms(pids[kind])
            times = _calls(connections[kind], f"{kind}-{at}", calls)
            used[kind] += cpu_ms(pids[kind]) - spent - idle[kind] * (time.monotonic() - began)
            took[kind] += times
            middles[kind] = statistics.median(times)
        ratios.append(middles["on"] / middles["off"])
    for connection in connections.values():
        connection.close()
    cpu = {kind: used[kind] / (rounds * calls) for kind in used}
    quarters = statistics.quantiles(ratios, n=4)
    ratio, of_cpu = statistics.median(ratios), cpu["on"] / cpu["off"]
    return {
        "figure": "call",
        "rounds": rounds,
        "calls_a_round": calls,
        "on_ms": spread(took["on"], 3),
        "off_ms": spread(took["off"], 3),
        "p50_on_over_off_by_round": {"median": round(ratio, 4), "quartiles": [round(q, 4) for q in quarters]},
        "p99_on_over_off": round(quantile(took["on"], 0.99) / quantile(took["off"], 0.99), 4),
        "cpu_ms_a_call": {kind: round(ms, 4) for kind, ms in cpu.items()},
        "cpu_on_over_off": round(of_cpu, 4),
        "idle_cpu_percent": {kind: round(ms / 10.0, 2) for kind, ms in idle.items()},
        "goal": "latency p50 and CPU within 3%",
        "met": ratio <= 1.03 and of_cpu <= 1.03,
    }


def _calls(connection: http.client.HTTPConnection, prefix: str, count: int) -> list[float]:
    times = []
    for number in range(count):
        name = f"{prefix}-{number}"
        began = time.perf_counter()
        connection.request("GET", f"/read/{name}", headers={"Req-Id": name})
        answer = connection.getresponse()
        answer.read()
        times.append((time.perf_counter() - began) * 1000.0)
        assert answer.status == 200, answer.status
    return times
