"""A hollow node: the program's own control path (net/fleet and the cores under it) without callers, servers
and balancer, and its agent's code beside it in the same process.

All that is taken from the program under test is imported here, so that a name which has moved is mended here.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson
import structlog

from bench.scale.histograms import Times
from bench.scale.hollow_names import CHANGE
from bench.scale.messages import HollowSpec, Setup
from loadbalancer.balancing import Balancer
from loadbalancer.endpoints import AttemptResult, Endpoint
from loadbalancer.node.clock import Clock
from loadbalancer.node.config import NodeConfig, parse_config
from loadbalancer.node.control import control_plane as fleet_part
from loadbalancer.node.control.registry_client import RegistryClient
from loadbalancer.node.http import service_http as web
from loadbalancer.registry.agent import RegistryFollower, SourceList
from loadbalancer.registry.settings import AgentSettings
from tests.support.loopback import config_document

ALL = "all"  # the group where shares are not by service
LATE = 0.25  # of the term: a renewal that took longer counts as late
KEPT_MOST = 128  # connections kept to siblings and from them, as a real node has
KEPT_LARGE = 16  # in a group of over KEPT_MOST each is dialled anew anyhow before its turn comes again
LIST_CONFIRMED_MS = 2_000.0
SEEN_EVERY_S = 1.0  # own facts on servers are made anew, as calls would make them


class Figures:
    """What the nodes of a process measure together, since the last `take`."""

    def __init__(self) -> None:
        self.renewals, self.enrolments, self.changes = Times(), Times(), Times()
        self.by_agent = Times()  # of the renewals, those through an agent process
        self.renewed = self.late = self.unknown = self.yielded = 0
        self.refused: dict[str, int] = {}
        self.changes_seen: dict[str, int] = {}

    def refuse(self, path: str, why: str) -> None:
        key = f"{path} {why}"
        self.refused[key] = self.refused.get(key, 0) + 1

    def saw_change(self, uid: str) -> None:
        written_ns = int(uid.rpartition("-")[2])
        self.changes.add((time.monotonic_ns() - written_ns) / 1e6)
        self.changes_seen[uid] = self.changes_seen.get(uid, 0) + 1


class InnerAgent(RegistryFollower):
    """The agent's code, called without a socket between it and its node."""

    def __init__(self, spec: HollowSpec, instances: list[int], figures: Figures) -> None:
        settings = AgentSettings(
            listen=("127.0.0.1", spec.port), registries=tuple(("127.0.0.1", port) for port in instances)
        )
        quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
        super().__init__(settings, structlog.wrap_logger(None, wrapper_class=quiet))
        self.figures = figures

    def _apply(self, received: SourceList) -> None:
        before, follows = set(self.cache.entries), self.cache.filled
        super()._apply(received)
        for uid in self.cache.entries.keys() - before:
            if follows and uid.startswith(CHANGE):
                self.figures.saw_change(uid)

    async def call(self, method: str, target: str, body: bytes, timeout_ms: float) -> web.ReceivedResponse:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        async with asyncio.timeout(timeout_ms / 1000.0):
            answer = await self.handle(web.HttpRequest(method, url.path, query, {}, body))
        return web.ReceivedResponse(answer.status, answer.headers, answer.body)


class MeasuredAgent(RegistryClient):
    """The node's side of its agent: inner or a real process; each call is timed and what fails is counted."""

    def __init__(self, address: Callable[[], Any], node: HollowNode) -> None:
        super().__init__(address)
        self._node = node

    async def post(self, path: str, body: Any, timeout_ms: float) -> web.ReceivedResponse:
        sent = time.monotonic()
        try:
            reply = await self._post(path, body, timeout_ms)
        except (OSError, TimeoutError) as failure:
            self._failed(path, type(failure).__name__)
            raise
        if reply.status != 200:
            self._failed(path, str(reply.status))
        elif path in ("enrol", "renew"):
            self._timed((time.monotonic() - sent) * 1000.0)
        return reply

    async def _post(self, path: str, body: Any, timeout_ms: float) -> web.ReceivedResponse:
        agent = self._address()
        if not isinstance(agent, InnerAgent):
            return await super().post(path, body, timeout_ms)
        return await agent.call("POST", f"/fleet/{path}", orjson.dumps(body), timeout_ms)

    async def get(self, target: str, timeout_ms: float) -> web.ReceivedResponse:
        agent = self._address()
        if not isinstance(agent, InnerAgent):
            return await super().get(target, timeout_ms)
        return await agent.call("GET", f"/fleet/{target}", b"", timeout_ms)

    def _timed(self, ms: float) -> None:
        figures = self._node.figures
        figures.renewals.add(ms)
        if self._node.agent is None:
            figures.by_agent.add(ms)
        figures.renewed += 1
        figures.late += ms > LATE * self._node.ttl_ms

    def _failed(self, path: str, why: str) -> None:
        figures = self._node.figures
        figures.refuse(path, why)
        figures.late += path == "renew"
        figures.unknown += (path, why) == ("renew", "404")


class HollowNode:
    """One node; `start` again after an end, as a process that is started anew."""

    def __init__(self, spec: HollowSpec, setup: Setup, figures: Figures) -> None:
        self.spec, self._setup, self.figures = spec, setup, figures
        self.group = spec.service if setup.scoped else ALL
        self.turn = asyncio.Lock()  # held while it starts or ends
        self.part: Any = None
        self.agent: InnerAgent | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._began = 0.0
        self._had_share = False

    async def start(self) -> None:
        self._began = time.monotonic()
        if self.spec.agent_port is None:
            self.agent = InnerAgent(self.spec, self._setup.instances, self.figures)
            self._tasks.append(asyncio.create_task(self.agent.follow()))
        self.part = self._make_part()
        self._time_enrolment()
        if self._setup.probes:
            await self.part.start()
        else:
            self.part.route_activator.start()
            self.part.freshness.start()
            self.part.lease_client.start()
        self._tasks.append(asyncio.create_task(self._see_servers()))

    def _make_part(self) -> Any:
        """The fleet's part as node/node.py makes it, with stand-ins for the rest of the node."""
        config = _config(self.spec, self._setup)
        where: Any = self.agent if self.agent is not None else ("127.0.0.1", self.spec.agent_port or 0)
        watcher = SimpleNamespace(address=where)
        clock = Clock(asyncio.get_running_loop())
        servers = _Servers(clock, self._setup.servers[self.spec.service])
        driver = SimpleNamespace(handle_event=lambda event: None, before_event=[], balancer=_balancer(config))

        def agent(address: Callable[[], Any]) -> MeasuredAgent:
            return MeasuredAgent(address, self)

        fleet_part.RegistryClient = agent  # type: ignore[attr-defined, assignment]
        return fleet_part.ControlPlane(config, clock, servers, watcher, driver)  # type: ignore[arg-type]

    def _time_enrolment(self) -> None:
        """Note when the first answer comes, ahead of what the part does with it."""
        lease = self.part.lease_client
        carry_on = lease.on_answer

        def first(now: float, answer: Any) -> None:
            self.figures.enrolments.add((time.monotonic() - self._began) * 1000.0)
            lease.on_answer = carry_on
            carry_on(now, answer)

        lease.on_answer = first

    async def _see_servers(self) -> None:
        """Facts on servers go out with the probes' payloads, as many as calls would make."""
        view = self.part.freshness.table
        while True:
            now = self.part.clock.now_ms()
            for uid in self._setup.servers[self.spec.service]:
                view.record_outcome(now, uid, AttemptResult.OK)
            await asyncio.sleep(SEEN_EVERY_S)

    async def leave(self) -> None:
        part, self.part = self.part, None
        if part is None:
            return
        part.begin_drain()
        await part.stop()
        self._end(part)

    def vanish(self) -> None:
        part, self.part = self.part, None
        if part is not None:
            self._end(part)

    def _end(self, part: Any) -> None:
        part.close()
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        self.agent, self._had_share = None, False

    def taking(self) -> float:
        """The share that this node takes now."""
        if self.part is None:
            return 0.0
        share = float(self.part.lease_client.member_lease.quota_in_force(self.part.clock.now_ms()))
        if self._had_share and share <= 0.0:
            self.figures.yielded += 1
        self._had_share = share > 0.0
        return share

    def measure_into(self, figures: Figures) -> None:
        self.figures = figures
        if self.agent is not None:
            self.agent.figures = figures

    def part_probes(self) -> tuple[int, int]:
        """Sent and taken since the node's start."""
        if self.part is None:
            return 0, 0
        return probes(self.part)

    def verdicts(self) -> list[str]:
        """What this node makes of each sibling."""
        if self.part is None:
            return []
        return [verdict.value for verdict in self.part.group.verdicts(self.part.clock.now_ms()).values()]

    @property
    def ttl_ms(self) -> float:
        return float(self.part.lease_client.member_lease.ttl_ms) if self.part is not None else math.inf

    @property
    def enrolled(self) -> bool:
        return self.part is not None and self.part.lease_client.member_lease.incarnation is not None

    @property
    def attached(self) -> bool:
        return self.enrolled and bool(
            self.part.lease_client.member_lease.is_attached(self.part.clock.now_ms())
        )

    @property
    def elector(self) -> bool:
        return self.enrolled and bool(self.part.lease_client.member_lease.elector)

    @property
    def has_list(self) -> bool:
        return self.agent is not None and self.agent.cache.filled


class _Servers:
    """The server list as the view reads it: the servers of the node's own service."""

    def __init__(self, clock: Clock, uids: list[str]) -> None:
        self._clock = clock
        self.endpoints = {uid: (Endpoint(uid), ("127.0.0.1", 9)) for uid in uids}
        self.revision = self.service_revision = 1

    @property
    def confirmed_ms(self) -> float:
        return self._clock.unix_ms() // LIST_CONFIRMED_MS * LIST_CONFIRMED_MS


def probes(part: Any) -> tuple[int, int]:
    """Sent and taken; earlier releases name their shell otherwise."""
    if hasattr(part, "probe_transport"):
        return part.probe_transport.probes_sent, part.probe_transport.probes_received
    return part.hearing.asks, part.hearing.asked


_seeds = itertools.count(1)


def _config(spec: HollowSpec, setup: Setup) -> NodeConfig:
    group = len(setup.servers[spec.service]) if setup.scoped else len(setup.regions)
    kept = KEPT_MOST if group <= KEPT_MOST else KEPT_LARGE
    members: dict[str, Any] = {"listen": f"127.0.0.1:{spec.port}", "zone": spec.zone}
    if setup.probe_period_ms is not None:
        members["ask_every_ms"] = setup.probe_period_ms
    if setup.scoped:
        members["service"] = spec.service
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 8 * kept}
    row = config_document("127.0.0.1:9", name=spec.name, members=members, limits=limits)
    return parse_config(orjson.dumps(row))


def _balancer(config: NodeConfig) -> Any:
    """Its period is the real module's; it has no calls."""
    real = Balancer(config.settings, next(_seeds), 0.0)
    return SimpleNamespace(period_ms=real.period_ms, pool=lambda: (0.0, 0, 0.0))
