"""A fleet of processes on loopback for the benches: list service, agents, nodes, stub servers, relays."""

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
from loadbalancer.node.http.service_client import send_request
from tests.support.faults import AgentProxy, LoopThread, RelayNetwork
from tests.support.invariant_sampler import Sample
from tests.support.node_processes import Node
from tests.support.ports import free_port
from tests.support.registry_processes import Registry, http_request, until
from tests.support.stub_servers import StubServerPool

LIMIT_S = 180.0  # timeout of every wait for a condition; long because the machine may be slow
MAX_PARALLEL_STARTS = 12
NODES_PER_AGENT = 25

Result = dict[str, Any]  # one printed result of a benchmark


def spread(values: Sequence[float], digits: int = 1) -> Result:
    """Return the 50th and 99th percentile, the maximum and the number of the values."""
    if not values:
        return {"samples": 0}
    summary = {"p50": quantile(values, 0.5), "p99": quantile(values, 0.99), "max": max(values)}
    return {key: round(value, digits) for key, value in summary.items()} | {"samples": len(values)}


def cpu_ms(pid: int) -> float:
    """Return the CPU time in ms that the process has used, from the kernel scheduler's count.

    The process's CPU times have steps of 10 ms, which is too coarse: a node's control work of several seconds
    is only a few such steps.
    """
    total = 0.0
    for task in Path(f"/proc/{pid}/task").iterdir():
        with suppress(FileNotFoundError, ProcessLookupError):
            total += int((task / "schedstat").read_text().split()[0])
    return total / 1e6


class LogReader:
    """Reads a node's log; each read continues where the last one ended."""

    def __init__(self, path: Path) -> None:
        self._path, self._offset = path, 0

    def read(self) -> list[tuple[float, str]]:
        """Return new complete lines that begin with a time, as (Unix time in s to 1 ms, rest of the line)."""
        with suppress(FileNotFoundError), self._path.open("rb") as log:
            log.seek(self._offset)
            data = log.read()
            complete = data[: data.rfind(b"\n") + 1]
            self._offset += len(complete)
            return [
                line for text in complete.decode().splitlines() if (line := _parse_log_line(text)) is not None
            ]
        return []


def _parse_log_line(text: str) -> tuple[float, str] | None:
    """Return the time and the rest of a log line, or None if the line does not begin with a time."""
    with suppress(ValueError):
        return datetime.strptime(text[:23], "%Y-%m-%d %H:%M:%S,%f").timestamp(), text[24:]
    return None


@dataclass(frozen=True)
class Plan:
    """Size and settings of a `World`; `members` False: nodes run without a `members` configuration."""

    nodes: int
    ttl_ms: int = 1_500
    clock_bound_ms: int = 250
    prepare_ms: int = 10_000
    zones: int = 1
    clock_offsets_ms: Sequence[float] = (0.0,)  # assigned to the nodes in turn
    # Relays for fault injection: one on each link between two nodes, one between each node and its agent.
    relayed: bool = False
    members: bool = True
    servers: int = 2
    latency_ms: float = 2.0
    server_capacity: int | None = None  # requests in flight at a server, from which it responds 503
    models: Sequence[str] = ("m1", "m2")  # assigned to the servers in turn
    pool: type[StubServerPool] = StubServerPool
    settings: dict[str, Any] = field(default_factory=dict)
    # Further keys of the nodes' `members` configuration.
    member_settings: dict[str, Any] = field(default_factory=dict)
    seed: int = 1


class World:
    """A running fleet: three instances of the list service, agents, nodes and stub servers.

    It is a context manager that ends all processes on exit.
    """

    def __init__(self, folder: Path, plan: Plan) -> None:
        self.folder, self.plan = folder, plan
        self._table_numbers = count(1)
        self._closing: list[Callable[[], None]] = []
        try:
            self._start()
        except BaseException:
            self.close()
            raise

    def _start(self) -> None:
        plan = self.plan
        member_settings = {
            "ttl_ms": plan.ttl_ms,
            "clock_bound_ms": plan.clock_bound_ms,
            "prepare_ms": plan.prepare_ms,
        }
        self.registry = Registry(self.folder, ttl_ms=600_000, members=lambda index: member_settings)
        self._closing.append(self.registry.stop)
        self.agents = [self.registry.agent() for _ in range(-(-plan.nodes // NODES_PER_AGENT))]
        self._closing += [agent.stop for agent in self.agents]
        self.pool = plan.pool(plan.servers, plan.latency_ms, plan.server_capacity)
        self._closing.append(self.pool.close)
        for at in range(plan.servers):
            model = plan.models[at % len(plan.models)]
            self.registry.put(f"s{at}", self.pool.port(at), az="a", model=model)
        self._member_ports = [free_port() for _ in range(plan.nodes)]
        self.net: RelayNetwork | None = None
        self.agent_proxies: list[AgentProxy] = []
        if plan.relayed:
            self._start_relays()
        self.nodes = [self.make_node(at) for at in range(plan.nodes)]
        self._closing += [lambda node=node: _kill_if_running(node) for node in self.nodes]  # type: ignore[misc]
        self.launch(self.nodes)

    def _start_relays(self) -> None:
        self.net = RelayNetwork([("127.0.0.1", port) for port in self._member_ports], seed=self.plan.seed)
        self._closing.append(self.net.close)
        loops = LoopThread()
        self._closing.append(loops.close)
        for at in range(self.plan.nodes):
            relay_addresses = {
                f"127.0.0.1:{port}": "{}:{}".format(*self.net.address(at, other))
                for other, port in enumerate(self._member_ports)
                if other != at
            }
            agent = ("127.0.0.1", self.agent(at).port)
            # The agent's responses name siblings by address; the node gets the relays' addresses instead.
            self.agent_proxies.append(
                AgentProxy(agent, lambda address, relays=relay_addresses: relays.get(address, address), loops)  # type: ignore[misc]
            )

    def agent(self, at: int) -> Any:
        """Return the agent of node `at`."""
        return self.agents[at // NODES_PER_AGENT]

    def zone_of(self, at: int) -> int:
        """Return the zone of node `at`; zones are runs of consecutive nodes."""
        return at * self.plan.zones // self.plan.nodes

    def nodes_in_zone(self, zone: int) -> list[int]:
        """Return the indexes of the zone's nodes."""
        return [at for at in range(self.plan.nodes) if self.zone_of(at) == zone]

    def make_node(self, at: int, members: bool | None = None) -> Node:
        """Return a node that is not started, by default with or without `members` as the plan states."""
        plan = self.plan
        row: dict[str, Any] = {"settings": {"registryMode": "push"} | plan.settings, "name": f"n{at}"}
        if plan.members if members is None else members:
            row["members"] = {
                "listen": f"127.0.0.1:{self._member_ports[at]}",
                "zone": f"z{self.zone_of(at)}",
                "routes": str(self.folder / f"routes-{at}"),
                "clock_offset_ms": plan.clock_offsets_ms[at % len(plan.clock_offsets_ms)],
            } | plan.member_settings
        discovery = self.agent_proxies[at].port if self.agent_proxies else self.agent(at).port
        return Node(self.folder, [], discovery, **row)

    def launch(self, nodes: Sequence[Node]) -> None:
        """Start the nodes in batches and wait until each one responds."""
        for at in range(0, len(nodes), MAX_PARALLEL_STARTS):
            batch = nodes[at : at + MAX_PARALLEL_STARTS]
            for node in batch:
                node.launch()
            for node in batch:
                until(lambda node=node: _is_up(node), LIMIT_S, f"{node.log.name} up")  # type: ignore[misc]

    def close(self) -> None:
        """End all that was started, the last first."""
        while self._closing:
            self._closing.pop()()

    def __enter__(self) -> World:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    # ------------------------------------------------------------------ status

    def status(self, at: int) -> dict[str, Any]:
        """Return the GET /status/members response of node `at`; raise OSError unless it is a 200."""
        code, members = self.nodes[at].call_admin("/status/members")
        if code != 200:
            raise OSError(f"the admin server of n{at} responded {code}")
        return members  # type: ignore[no-any-return]

    def statuses(self, indexes: Iterable[int]) -> list[dict[str, Any]]:
        """Return the /status/members responses of these nodes, read concurrently."""
        with ThreadPoolExecutor(16) as pool:
            return list(pool.map(self.status, indexes))

    def metrics(self, name: str) -> list[float]:
        """Return the metric `proxy.NAME` of every node."""
        with ThreadPoolExecutor(16) as pool:
            return list(pool.map(lambda node: node.metric(f"proxy.{name}"), self.nodes))

    def wait_until_quotas_equal(
        self, indexes: Sequence[int] | None = None, siblings_present: bool = True
    ) -> None:
        """Wait until exactly these nodes (default: all) are enrolled as electors with equal quotas.

        `siblings_present`: also wait until each of them has the verdict `present` for all its siblings.
        """
        indexes = range(len(self.nodes)) if indexes is None else indexes
        quota = 1.0 / len(indexes)

        def equal() -> bool:
            return all(
                status["rows"] == len(indexes)
                and abs(status["share"] - quota) < 1e-6
                and status["elector"]
                and (not siblings_present or all(row["verdict"] == "present" for row in status["siblings"]))
                for status in self.statuses(indexes)
            )

        until(equal, LIMIT_S, f"a quota of {quota:.4f} at {len(indexes)} nodes")

    def warm_up(self) -> None:
        """Send requests through all nodes until no node has a route with confidence `blind`.

        A node rejects a route version that has a group with `blind` routes only. Requests go through every
        node, because a node prefers some servers and learns about the others from its siblings.
        """
        until(self._is_warmed_up, LIMIT_S, "a confidence better than blind on every route")

    def _is_warmed_up(self) -> bool:
        with ThreadPoolExecutor(16) as pool:
            list(pool.map(self._send_requests, self.nodes))
            time.sleep(0.5)
            return all(pool.map(self._knows_all_servers, self.nodes))

    def _send_requests(self, node: Node) -> None:
        for number in range(2 * self.plan.servers):
            name = f"warm-{node.port}-{number}-{time.monotonic_ns()}"
            asyncio.run(
                send_request(("127.0.0.1", node.port), "GET", f"/read/{name}", headers={"Req-Id": name})
            )

    def _knows_all_servers(self, node: Node) -> bool:
        edges = node.call_admin("/status/routes")[1]["edges"]
        levels = [row["mark"] for row in edges if row["kind"] == "server"]
        return len(levels) == self.plan.servers and "blind" not in levels

    def member_records(self) -> list[dict[str, Any]]:
        """Return the list service's records of all members, live or not."""
        return http_request(self.agents[0].port, "GET", "/fleet/members")[2]["members"]  # type: ignore[no-any-return]

    def routes(self) -> dict[str, Any]:
        """Return the list service's GET /fleet/routes response, retried until it is a 200."""
        return until(self._read_routes, LIMIT_S, "GET /fleet/routes")  # type: ignore[no-any-return]

    def _read_routes(self) -> dict[str, Any] | None:
        status, _, routes = http_request(self.agents[0].port, "GET", "/fleet/routes")
        return routes if status == 200 else None

    # ------------------------------------------------------------------ routes

    def propose(self, weights: Sequence[float] = (1.0, 1.0)) -> int:
        """Propose a route version and return its number.

        Read requests go to the models by these weights; a model of weight 0 gets none. A comment makes the
        text differ from that of every earlier version.
        """
        groups = "".join(
            f'[[class.read.group]]\nmodel = "{model}"\nweight = {weight}\n'
            for model, weight in zip(self.plan.models, weights, strict=True)
            if weight
        )
        text = f"{groups}# {next(self._table_numbers)}\n".encode()
        port = self.agents[0].port

        def proposed_number() -> int | None:
            response = asyncio.run(send_request(("127.0.0.1", port), "PUT", "/fleet/routes", text))
            if response.status == 400:
                raise AssertionError(response.body)
            return int(orjson.loads(response.body)["number"]) if response.status == 200 else None

        return int(until(proposed_number, LIMIT_S, "a version proposed"))


def _is_up(node: Node) -> bool:
    return node.call_admin("/status/metrics")[0] == 200


def _kill_if_running(node: Node) -> None:
    if node.process is not None and node.process.poll() is None:
        node.kill()


class MembersSampler:
    """Reads GET /status/members of every node every `period_s` on a thread until `stop`.

    `samples` has each node's samples, by the node's index.
    """

    def __init__(self, nodes: Sequence[Node], period_s: float = 0.05) -> None:
        self.samples: list[list[Sample]] = [[] for _ in nodes]
        self._loops = LoopThread()
        self._period_s, self._on = period_s, True
        self._loops.call(lambda: self._start(nodes))

    def _start(self, nodes: Sequence[Node]) -> None:
        self._tasks = [asyncio.create_task(self._read(at, node.admin_port)) for at, node in enumerate(nodes)]

    async def _read(self, at: int, operator_port: int) -> None:
        while True:
            sent = time.monotonic()
            with suppress(OSError, TimeoutError, ValueError):
                response = await send_request(
                    ("127.0.0.1", operator_port), "GET", "/status/members", timeout_s=2.0
                )
                if response.status == 200:
                    self.samples[at].append(Sample(sent, time.monotonic(), orjson.loads(response.body)))
            await asyncio.sleep(max(0.0, sent + self._period_s - time.monotonic()))

    def stop(self) -> None:
        """End the sampling; `samples` stays readable."""
        self._loops.close()


def load_average() -> float:
    """Return the machine's load average over the last minute."""
    return round(os.getloadavg()[0], 1)
