"""A fleet of real processes for bench/fleet.py: list service, agents, nodes, faults between them, servers."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import datetime
from itertools import count
from pathlib import Path
from typing import Any

import orjson

from bench.figures import quantile
from loadbalancer.node.http.service_http import send_request
from tests.support.faults import LoopThread, Net, Post
from tests.support.invariant_sampler import Sample
from tests.support.node_processes import Node
from tests.support.ports import free_port
from tests.support.registry_processes import Registry, ask, until
from tests.support.stub_servers import StubServerPool

LIMIT_S = 180.0  # for anything that has to come about: the machine may be slow
AT_ONCE = 12  # processes started together
PER_AGENT = 25

Figures = dict[str, Any]


def spread(values: Sequence[float], digits: int = 1) -> Figures:
    """p50, p99 and max of what was measured, and how many there were."""
    if not values:
        return {"samples": 0}
    figures = {"p50": quantile(values, 0.5), "p99": quantile(values, 0.99), "max": max(values)}
    return {key: round(value, digits) for key, value in figures.items()} | {"samples": len(values)}


def cpu_ms(pid: int) -> float:
    """What the process's threads have run on a core so far, by the scheduler's count: finer than the kernel's
    tick of 10 ms, in which a node's control work of seconds would be a few steps."""
    total = 0.0
    for task in Path(f"/proc/{pid}/task").iterdir():
        with suppress(FileNotFoundError, ProcessLookupError):
            total += int((task / "schedstat").read_text().split()[0])
    return total / 1e6


class Tail:
    """A node's log, read on from where it was last read."""

    def __init__(self, path: Path) -> None:
        self._path, self._at = path, 0

    def read(self) -> list[tuple[float, str]]:
        """The new whole lines that have a time: (s since 1970, to 1 ms; the line)."""
        with suppress(FileNotFoundError), self._path.open("rb") as log:
            log.seek(self._at)
            data = log.read()
            whole = data[: data.rfind(b"\n") + 1]
            self._at += len(whole)
            return [line for text in whole.decode().splitlines() if (line := _stamped(text)) is not None]
        return []


def _stamped(text: str) -> tuple[float, str] | None:
    with suppress(ValueError):
        return datetime.strptime(text[:23], "%Y-%m-%d %H:%M:%S,%f").timestamp(), text[24:]
    return None


@dataclass(frozen=True)
class Plan:
    """What a World is made of; `members` is False for the program without the part."""

    nodes: int
    ttl_ms: int = 1_500
    bound_ms: int = 250
    prepare_ms: int = 10_000
    zones: int = 1
    clocks_ms: Sequence[float] = (0.0,)  # of the nodes in turn
    relayed: bool = False  # a relay on every link between nodes, a post between a node and its agent
    members: bool = True
    servers: int = 2
    latency_ms: float = 2.0
    room: int | None = None
    models: Sequence[str] = ("m1", "m2")  # of the servers in turn
    pool: type[StubServerPool] = StubServerPool
    settings: dict[str, Any] = field(default_factory=dict)
    member_settings: dict[str, Any] = field(default_factory=dict)  # further keys of `members`
    seed: int = 1


class World:
    def __init__(self, folder: Path, plan: Plan) -> None:
        self.folder, self.plan = folder, plan
        self._texts = count(1)
        self._closing: list[Callable[[], None]] = []
        try:
            self._start()
        except BaseException:
            self.close()
            raise

    def _start(self) -> None:
        plan = self.plan
        service = {"ttl_ms": plan.ttl_ms, "clock_bound_ms": plan.bound_ms, "prepare_ms": plan.prepare_ms}
        self.registry = Registry(self.folder, ttl_ms=600_000, members=lambda index: service)
        self._closing.append(self.registry.stop)
        self.agents = [self.registry.agent() for _ in range(-(-plan.nodes // PER_AGENT))]
        self._closing += [agent.stop for agent in self.agents]
        self.pool = plan.pool(plan.servers, plan.latency_ms, plan.room)
        self._closing.append(self.pool.close)
        for at in range(plan.servers):
            model = plan.models[at % len(plan.models)]
            self.registry.put(f"s{at}", self.pool.port(at), az="a", model=model)
        self._listens = [free_port() for _ in range(plan.nodes)]
        self.net: Net | None = None
        self.posts: list[Post] = []
        if plan.relayed:
            self._relay()
        self.nodes = [self.node(at) for at in range(plan.nodes)]
        self._closing += [lambda node=node: _end(node) for node in self.nodes]  # type: ignore[misc]
        self.launch(self.nodes)

    def _relay(self) -> None:
        self.net = Net([("127.0.0.1", port) for port in self._listens], seed=self.plan.seed)
        self._closing.append(self.net.close)
        loops = LoopThread()
        self._closing.append(loops.close)
        for at in range(self.plan.nodes):
            relayed = {
                f"127.0.0.1:{port}": "{}:{}".format(*self.net.address(at, other))
                for other, port in enumerate(self._listens)
                if other != at
            }
            agent = ("127.0.0.1", self.agent(at).port)
            self.posts.append(Post(agent, lambda told, relayed=relayed: relayed.get(told, told), loops))  # type: ignore[misc]

    def agent(self, at: int) -> Any:
        return self.agents[at // PER_AGENT]

    def zone(self, at: int) -> int:
        return at * self.plan.zones // self.plan.nodes

    def of_zone(self, zone: int) -> list[int]:
        return [at for at in range(self.plan.nodes) if self.zone(at) == zone]

    def node(self, at: int, members: bool | None = None) -> Node:
        """Not started; without `members` as the plan says."""
        plan = self.plan
        row: dict[str, Any] = {"settings": {"registryMode": "push"} | plan.settings, "name": f"n{at}"}
        if plan.members if members is None else members:
            row["members"] = {
                "listen": f"127.0.0.1:{self._listens[at]}",
                "zone": f"z{self.zone(at)}",
                "routes": str(self.folder / f"routes-{at}"),
                "clock_offset_ms": plan.clocks_ms[at % len(plan.clocks_ms)],
            } | plan.member_settings
        discovery = self.posts[at].port if self.posts else self.agent(at).port
        return Node(self.folder, [], discovery, **row)

    def launch(self, nodes: Sequence[Node]) -> None:
        for at in range(0, len(nodes), AT_ONCE):
            batch = nodes[at : at + AT_ONCE]
            for node in batch:
                node.launch()
            for node in batch:
                until(lambda node=node: _up(node), LIMIT_S, f"{node.log.name} up")  # type: ignore[misc]

    def close(self) -> None:
        while self._closing:
            self._closing.pop()()

    def __enter__(self) -> World:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    # ------------------------------------------------------------------ what it says

    def status(self, at: int) -> dict[str, Any]:
        status, found = self.nodes[at].call_admin("/status/members")
        if status != 200:
            raise OSError(f"the door of n{at} answered {status}")
        return found  # type: ignore[no-any-return]

    def statuses(self, chosen: Iterable[int]) -> list[dict[str, Any]]:
        with ThreadPoolExecutor(16) as pool:
            return list(pool.map(self.status, chosen))

    def metrics(self, name: str) -> list[float]:
        with ThreadPoolExecutor(16) as pool:
            return list(pool.map(lambda node: node.metric(f"proxy.{name}"), self.nodes))

    def until_shared(self, chosen: Sequence[int] | None = None, heard: bool = True) -> None:
        """Until these (or all) are all that is enrolled, each has its part and hears others if `heard`."""
        chosen = range(len(self.nodes)) if chosen is None else chosen
        part = 1.0 / len(chosen)

        def shared() -> bool:
            return all(
                found["rows"] == len(chosen)
                and abs(found["share"] - part) < 1e-6
                and found["elector"]
                and (not heard or all(row["verdict"] == "present" for row in found["siblings"]))
                for found in self.statuses(chosen)
            )

        until(shared, LIMIT_S, f"a share of {part:.4f} at {len(chosen)} nodes")

    def warm(self) -> None:
        """Until no node has a blind route: a group of such alone is a reason to vote no.

        All nodes are sent requests, as each prefers some servers and hears of the others from siblings.
        """
        until(self._warmed, LIMIT_S, "a mark better than blind on every route")

    def _warmed(self) -> bool:
        with ThreadPoolExecutor(16) as pool:
            list(pool.map(self._send_some, self.nodes))
            time.sleep(0.5)
            return all(pool.map(self._sees_all, self.nodes))

    def _send_some(self, node: Node) -> None:
        for number in range(2 * self.plan.servers):
            name = f"warm-{node.port}-{number}-{time.monotonic_ns()}"
            asyncio.run(
                send_request(("127.0.0.1", node.port), "GET", f"/read/{name}", headers={"Req-Id": name})
            )

    def _sees_all(self, node: Node) -> bool:
        edges = node.call_admin("/status/routes")[1]["edges"]
        marks = [row["mark"] for row in edges if row["kind"] == "server"]
        return len(marks) == self.plan.servers and "blind" not in marks

    def rows(self) -> list[dict[str, Any]]:
        return ask(self.agents[0].port, "GET", "/fleet/members")[2]["members"]  # type: ignore[no-any-return]

    def routes(self) -> dict[str, Any]:
        return until(self._routes, LIMIT_S, "routes read")  # type: ignore[no-any-return]

    def _routes(self) -> dict[str, Any] | None:
        status, _, told = ask(self.agents[0].port, "GET", "/fleet/routes")
        return told if status == 200 else None

    # ------------------------------------------------------------------ routes

    def propose(self, weights: Sequence[float] = (1.0, 1.0)) -> int:
        """A version like no other so far: reads go to the models by these weights; 0 leaves one out."""
        groups = "".join(
            f'[[class.read.group]]\nmodel = "{model}"\nweight = {weight}\n'
            for model, weight in zip(self.plan.models, weights, strict=True)
            if weight
        )
        text = f"{groups}# {next(self._texts)}\n".encode()
        port = self.agents[0].port

        def said() -> int | None:
            reply = asyncio.run(send_request(("127.0.0.1", port), "PUT", "/fleet/routes", text))
            if reply.status == 400:
                raise AssertionError(reply.body)
            return int(orjson.loads(reply.body)["number"]) if reply.status == 200 else None

        return int(until(said, LIMIT_S, "a version proposed"))


def _up(node: Node) -> bool:
    return node.call_admin("/status/metrics")[0] == 200


def _end(node: Node) -> None:
    if node.process is not None and node.process.poll() is None:
        node.kill()


class Samples:
    """GET /status/members of every node each `every_s`, from one thread, until `stop`."""

    def __init__(self, nodes: Sequence[Node], every_s: float = 0.05) -> None:
        self.of: list[list[Sample]] = [[] for _ in nodes]
        self._loops = LoopThread()
        self._every_s, self._on = every_s, True
        self._loops.call(lambda: self._begin(nodes))

    def _begin(self, nodes: Sequence[Node]) -> None:
        self._tasks = [asyncio.create_task(self._read(at, node.admin_port)) for at, node in enumerate(nodes)]

    async def _read(self, at: int, door: int) -> None:
        while True:
            sent = time.monotonic()
            with suppress(OSError, TimeoutError, ValueError):
                reply = await send_request(("127.0.0.1", door), "GET", "/status/members", timeout_s=2.0)
                if reply.status == 200:
                    self.of[at].append(Sample(sent, time.monotonic(), orjson.loads(reply.body)))
            await asyncio.sleep(max(0.0, sent + self._every_s - time.monotonic()))

    def stop(self) -> None:
        self._loops.close()


def load_average() -> float:
    return round(os.getloadavg()[0], 1)
