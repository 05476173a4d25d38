"""All processes of a control-path run: list service, hollow nodes, real agents and real nodes."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from random import Random
from typing import Any

import orjson
from msgspec import Struct

from bench.scale import limits
from bench.scale.children import Child, Children
from bench.scale.messages import HollowSpec, Setup
from bench.scale.platform import NodePlace, Platform
from bench.scale.program import Instances, Program, RealAgent, RealNode
from bench.scale.quotas import RealNodeQuota
from loadbalancer.node.http.service_client import send_request
from tests.support.ports import free_port

RAFT_LEADER = 2  # pysyncobj's number of the state
MAX_OBSERVED_SERVERS = 48  # maximum number of servers in a node's freshness report
MAX_CONCURRENT_PUTS = 40
POLL_PERIOD_S = 1.0  # period in which real nodes' quotas are read
FAILED_ZONE, PARTITIONED_REGION = "east-3", "west"
REGION_OF_INSTANCES = ("east", "east", "west")
# Sizes of the services whose nodes are real, as fractions of the largest service.
REAL_NODE_SERVICE_SIZES = (1.0, 0.3, 0.07, 0.07, 0.03, 0.02, 0.01, 0.5)


class Options(Struct, frozen=True):
    """Options of a control-path run."""

    factor: float
    seed: int
    checkout: Path | None
    ttl_ms: int
    probes: bool
    probe_period_ms: float | None
    real_nodes: int
    real_agents: int
    processes: int
    relayed: bool
    sample_s: float = 0.1


def pick_real(platform: Platform, count: int, rack: str) -> list[NodePlace]:
    """Return nodes of services of different sizes, outside the zone and the rack that will fail."""
    largest = platform.largest().nodes
    candidates = [node for node in platform.nodes if node.zone != FAILED_ZONE and node.rack != rack]
    size = {service.index: service.nodes for service in platform.services}
    chosen: list[NodePlace] = []
    for at in range(count):
        wanted = REAL_NODE_SERVICE_SIZES[at % len(REAL_NODE_SERVICE_SIZES)] * largest
        free = [node for node in candidates if node not in chosen]
        chosen.append(min(free, key=lambda node: (abs(size[node.service] - wanted), node.index)))
    return chosen


def pick_rack(platform: Platform) -> str:
    """Return a rack outside the zone that will fail."""
    return min(node.rack for node in platform.nodes if node.zone != FAILED_ZONE)


class World:
    """The processes of a run, started by `open` and stopped by `close`."""

    def __init__(self, platform: Platform, options: Options, folder: Path) -> None:
        self.platform, self.options = platform, options
        self.random = Random(f"run-{options.seed}")
        self.program = Program(options.checkout, folder)
        self.rack = pick_rack(platform)
        self.real_places = pick_real(platform, options.real_nodes, self.rack)
        self.real_quotas: list[RealNodeQuota] = []
        self.real_nodes: list[RealNode] = []
        self.agents: list[RealAgent] = []
        real = {place.index for place in self.real_places}
        self.hollow = [place for place in platform.nodes if place.index not in real]
        self.ports = {place.index: free_port() for place in platform.nodes}
        self.scoped = _is_scoped(self.program)
        self._poll: asyncio.Task[None] | None = None
        self.instances: Instances
        self.children: Children

    # -------------------------------------------------------------- start and stop

    def check_limits(self) -> None:
        options = self.options
        processes = 3 + options.processes + 2 * options.real_nodes + options.real_agents
        limits.check(limits.Plan(processes, len(self.hollow), len(self.platform.nodes)))

    async def open_service(self) -> None:
        """Start the list service only."""
        options = self.options
        self.instances = await asyncio.to_thread(
            Instances, self.program, options.ttl_ms, options.relayed, self.scoped
        )

    async def open(self) -> None:
        options = self.options
        await self.open_service()
        await self.put_all(self.platform.nodes)
        agents = min(options.real_agents, len(self.hollow))
        for at in range(agents):
            self.agents.append(RealAgent(self.program, f"agent-h{at}", self.instances.http))
        setups = self._setups()
        started = [Child.start(self.program, f"hollow{at}", setup) for at, setup in enumerate(setups)]
        self.children = Children(await asyncio.gather(*started))

    def _setups(self) -> list[Setup]:
        options = self.options
        specs = [self._spec(place, at) for at, place in enumerate(self.hollow)]
        servers = {
            service.name: [node.name for node in self.platform.nodes_of(service.index)][:MAX_OBSERVED_SERVERS]
            for service in self.platform.services
        }
        regions = {self.ports[place.index]: place.region for place in self.platform.nodes}
        regions |= dict(zip(self.instances.http, REGION_OF_INSTANCES, strict=True))
        return [
            Setup(
                nodes=specs[at :: options.processes],
                instances=self.instances.http,
                regions=regions,
                servers=servers,
                scoped=self.scoped,
                seed=options.seed,
                counts=str(self.program.counts(f"hollow{at}")),
                probes=options.probes,
                probe_period_ms=options.probe_period_ms,
                sample_s=options.sample_s,
            )
            for at in range(min(options.processes, len(specs)))
        ]

    def _spec(self, place: NodePlace, at: int) -> HollowSpec:
        return HollowSpec(
            index=place.index,
            name=place.name,
            service=self.platform.services[place.service].name,
            region=place.region,
            zone=place.zone,
            port=self.ports[place.index],
            agent_port=self.agents[at].port if at < len(self.agents) else None,
        )

    def launch_real_nodes(self) -> None:
        """Start the real nodes, each with its own agent."""
        for at, place in enumerate(self.real_places):
            agent = RealAgent(self.program, f"agent-{at}", self.instances.http)
            self.agents.append(agent)
            members: dict[str, Any] = {
                "listen": f"127.0.0.1:{self.ports[place.index]}",
                "zone": place.zone,
                "routes": str(self.program.folder / f"routes-{at}"),
            }
            if self.options.probe_period_ms is not None:
                members["ask_every_ms"] = self.options.probe_period_ms
            if self.scoped:
                members["service"] = self.platform.services[place.service].name
            node = RealNode(self.program, place.name, agent, members)
            node.launch()
            self.real_nodes.append(node)
            self.real_quotas.append(RealNodeQuota(self.group_of(place)))
        self._poll = asyncio.create_task(self._poll_quotas())

    async def _poll_quotas(self) -> None:
        while True:
            for node, quota in zip(self.real_nodes, self.real_quotas, strict=False):
                try:
                    found = await asyncio.to_thread(node.metric, "share")
                except (OSError, ValueError, IndexError):
                    found = 0.0
                quota.add(time.monotonic(), found)
            await asyncio.sleep(POLL_PERIOD_S)

    async def stop_real_nodes(self) -> None:
        if self._poll is not None:
            self._poll.cancel()
        nodes, self.real_nodes = self.real_nodes, []
        for node in nodes:
            await asyncio.to_thread(node.stop)

    async def close(self) -> None:
        await self.stop_real_nodes()
        if hasattr(self, "children"):
            await self.children.stop()
        for agent in self.agents:
            await asyncio.to_thread(agent.stop)
        if hasattr(self, "instances"):
            await asyncio.to_thread(self.instances.stop)

    # ------------------------------------------------------------ groups and roles

    def group_of(self, place: NodePlace) -> str:
        return self.platform.services[place.service].name if self.scoped else "all"

    @property
    def groups(self) -> set[str]:
        return {self.group_of(place) for place in self.platform.nodes}

    async def leader_name(self) -> str:
        """Return the process name of the current leader, or "" if there is none."""

        def find() -> str:
            for index in self.instances.live():
                with contextlib.suppress(OSError, ValueError, TypeError):
                    status = self.instances.status(index)
                    if status["raft"] == RAFT_LEADER and not status["stale"]:
                        return f"r{index}"
            return ""

        return await asyncio.to_thread(find)

    def indices(self, places: Iterable[NodePlace]) -> list[int]:
        """Return the indices of the hollow nodes among these."""
        hollow = {place.index for place in self.hollow}
        return [place.index for place in places if place.index in hollow]

    # ---------------------------------------------------------------- server list

    async def put_all(self, places: Iterable[NodePlace]) -> None:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_PUTS)

        async def put(place: NodePlace) -> None:
            async with semaphore:
                await self.put(place.name, place.zone)

        await asyncio.gather(*(put(place) for place in places))

    async def put(self, uid: str, zone: str = "") -> None:
        await self._write("PUT", uid, {"uid": uid, "endpoint": "127.0.0.1:9", "az": zone, "model": "m1"})

    async def remove(self, uid: str) -> None:
        await self._write("DELETE", uid, None)

    async def _write(self, method: str, uid: str, target: dict[str, Any] | None) -> None:
        """Retry at a random live instance until one commits the write."""
        body = b"" if target is None else orjson.dumps(target)
        while True:
            port = self.random.choice([self.instances.http[at] for at in self.instances.live()])
            try:
                response = await send_request(
                    ("127.0.0.1", port), method, f"/registry/targets/{uid}", body, 5.0
                )
            except (OSError, TimeoutError):
                continue
            if response.status == 200:
                return
            await asyncio.sleep(0.05)


def _is_scoped(program: Program) -> bool:
    """Whether the program under test divides quotas by service."""
    texts = [path.read_text() for path in (program.checkout / "loadbalancer").rglob("*.py")]
    settings = [text.partition("class MembershipSettings")[2] for text in texts]
    return any("\n    service: " in text for text in settings)


def make_folder() -> tempfile.TemporaryDirectory[str]:
    """Return a temporary folder for a run."""
    return tempfile.TemporaryDirectory(prefix="scale-")


def log_progress(text: str) -> None:
    """Print a line of progress to stderr."""
    print(f"[{time.strftime('%H:%M:%S')}] {text}", file=sys.stderr, flush=True)
