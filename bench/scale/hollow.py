"""A hollow node: the program's own control plane without clients, servers and balancer.

Its agent's code runs in the same process. Everything that is used of the program under test is imported here,
so that only this module changes when the program's modules are renamed.
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
from loadbalancer.node.control import control_plane as control_plane_module
from loadbalancer.node.control.registry_client import RegistryClient
from loadbalancer.node.http.service_client import ReceivedResponse
from loadbalancer.node.http.service_server import HttpRequest
from loadbalancer.node.memory_budget import MemoryBudget
from loadbalancer.registry.agent import RegistryFollower, SourceList
from loadbalancer.registry.settings import AgentSettings
from tests.support.loopback import config_document

ONE_GROUP = "all"  # the name of the one group, if quotas are not by service
LATE_FRACTION = 0.25  # of the lease term: a renewal that took longer counts as late
MAX_CACHED = 128  # connections cached to and from siblings, as in a real node
# Connections cached in a group of over MAX_CACHED nodes, where each is closed before it would be used again.
MAX_CACHED_LARGE_GROUP = 16
LIST_CONFIRMED_MS = 2_000.0
OBSERVATION_PERIOD_S = 1.0  # period of simulated observations of servers, which requests make in a real node


class NodeMeasurements:
    """Measurements of all nodes of a process since the last collection."""

    def __init__(self) -> None:
        self.renewals, self.enrolments, self.changes = Times(), Times(), Times()
        self.by_agent = Times()  # the renewals that went through an agent process
        self.renewed = self.late = self.unknown = self.yielded = 0
        self.failed_calls: dict[str, int] = {}
        self.changes_seen: dict[str, int] = {}

    def count_failure(self, path: str, reason: str) -> None:
        key = f"{path} {reason}"
        self.failed_calls[key] = self.failed_calls.get(key, 0) + 1

    def count_change(self, uid: str) -> None:
        written_ns = int(uid.rpartition("-")[2])
        self.changes.add((time.monotonic_ns() - written_ns) / 1e6)
        self.changes_seen[uid] = self.changes_seen.get(uid, 0) + 1


class InProcessAgent(RegistryFollower):
    """The agent's code, called by its node without a socket."""

    def __init__(self, spec: HollowSpec, instances: list[int], measurements: NodeMeasurements) -> None:
        settings = AgentSettings(
            listen=("127.0.0.1", spec.port), registries=tuple(("127.0.0.1", port) for port in instances)
        )
        quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
        super().__init__(settings, structlog.wrap_logger(None, wrapper_class=quiet))
        self.measurements = measurements

    def _apply(self, received: SourceList) -> None:
        before, was_filled = set(self.cache.entries), self.cache.filled
        super()._apply(received)
        for uid in self.cache.entries.keys() - before:
            if was_filled and uid.startswith(CHANGE):
                self.measurements.count_change(uid)

    async def call(self, method: str, target: str, body: bytes, timeout_ms: float) -> ReceivedResponse:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        async with asyncio.timeout(timeout_ms / 1000.0):
            response = await self.handle(HttpRequest(method, url.path, query, {}, body))
        return ReceivedResponse(response.status, response.headers, response.body)


class TimedAgentClient(RegistryClient):
    """The node's client of its agent, in this process or its own; times calls and counts failed ones."""

    def __init__(self, address: Callable[[], Any], node: HollowNode) -> None:
        super().__init__(address)
        self._node = node

    async def post(self, path: str, body: Any, timeout_ms: float) -> ReceivedResponse:
        sent = time.monotonic()
        try:
            response = await self._post(path, body, timeout_ms)
        except (OSError, TimeoutError) as failure:
            self._count_failure(path, type(failure).__name__)
            raise
        if response.status != 200:
            self._count_failure(path, str(response.status))
        elif path in ("enrol", "renew"):
            self._count_success((time.monotonic() - sent) * 1000.0)
        return response

    async def _post(self, path: str, body: Any, timeout_ms: float) -> ReceivedResponse:
        agent = self._address()
        if not isinstance(agent, InProcessAgent):
            return await super().post(path, body, timeout_ms)
        return await agent.call("POST", f"/fleet/{path}", orjson.dumps(body), timeout_ms)

    async def get(self, target: str, timeout_ms: float) -> ReceivedResponse:
        agent = self._address()
        if not isinstance(agent, InProcessAgent):
            return await super().get(target, timeout_ms)
        return await agent.call("GET", f"/fleet/{target}", b"", timeout_ms)

    def _count_success(self, ms: float) -> None:
        measurements = self._node.measurements
        measurements.renewals.add(ms)
        if self._node.agent is None:
            measurements.by_agent.add(ms)
        measurements.renewed += 1
        measurements.late += ms > LATE_FRACTION * self._node.ttl_ms

    def _count_failure(self, path: str, reason: str) -> None:
        measurements = self._node.measurements
        measurements.count_failure(path, reason)
        measurements.late += path == "renew"
        measurements.unknown += (path, reason) == ("renew", "404")


class HollowNode:
    """One hollow node; after it has ended, `start` begins a new incarnation as a restarted process does."""

    def __init__(self, spec: HollowSpec, setup: Setup, measurements: NodeMeasurements) -> None:
        self.spec, self._setup, self.measurements = spec, setup, measurements
        self.group = spec.service if setup.scoped else ONE_GROUP
        self.lock = asyncio.Lock()  # locked while it starts or ends
        self.control_plane: Any = None
        self.agent: InProcessAgent | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._started = 0.0
        self._had_quota = False

    async def start(self) -> None:
        self._started = time.monotonic()
        if self.spec.agent_port is None:
            self.agent = InProcessAgent(self.spec, self._setup.instances, self.measurements)
            self._tasks.append(asyncio.create_task(self.agent.follow()))
        self.control_plane = self._make_control_plane()
        self._time_enrolment()
        if self._setup.probes:
            await self.control_plane.start()
        else:
            self.control_plane.route_activator.start()
            self.control_plane.freshness.start()
            self.control_plane.lease_client.start()
        self._tasks.append(asyncio.create_task(self._observe_servers()))

    def _make_control_plane(self) -> Any:
        """Return the control plane as node/node.py builds it, with fakes for the rest of the node."""
        config = _config(self.spec, self._setup)
        agent_address: Any = (
            self.agent if self.agent is not None else ("127.0.0.1", self.spec.agent_port or 0)
        )
        watcher = SimpleNamespace(address=agent_address)
        clock = Clock(asyncio.get_running_loop())
        servers = _Servers(clock, self._setup.servers[self.spec.service])
        driver = SimpleNamespace(
            handle_event=lambda event: None, before_event=[], balancer=_fake_balancer(config)
        )

        def agent(address: Callable[[], Any]) -> TimedAgentClient:
            return TimedAgentClient(address, self)

        control_plane_module.RegistryClient = agent  # type: ignore[attr-defined, assignment]
        return control_plane_module.ControlPlane(
            config,
            clock,
            servers,
            watcher,
            driver,
            MemoryBudget(config.memory_mb),  # type: ignore[arg-type]
        )

    def _time_enrolment(self) -> None:
        """Record the time to the first response to enrolment, before the lease client handles it."""
        lease = self.control_plane.lease_client
        original = lease.on_lease_response

        def on_first_response(now: float, response: Any) -> None:
            self.measurements.enrolments.add((time.monotonic() - self._started) * 1000.0)
            lease.on_lease_response = original
            original(now, response)

        lease.on_lease_response = on_first_response

    async def _observe_servers(self) -> None:
        """Record observations of servers, so that probes carry as much data as with real requests."""
        freshness_table = self.control_plane.freshness.table
        while True:
            now = self.control_plane.clock.now_ms()
            for uid in self._setup.servers[self.spec.service]:
                freshness_table.record_outcome(now, uid, AttemptResult.OK)
            await asyncio.sleep(OBSERVATION_PERIOD_S)

    async def leave(self) -> None:
        """Shut down gracefully."""
        control_plane, self.control_plane = self.control_plane, None
        if control_plane is None:
            return
        control_plane.begin_drain()
        await control_plane.stop()
        self._end(control_plane)

    def fail(self) -> None:
        """End without notice, as when the machine fails."""
        control_plane, self.control_plane = self.control_plane, None
        if control_plane is not None:
            self._end(control_plane)

    def _end(self, control_plane: Any) -> None:
        control_plane.close()
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        self.agent, self._had_quota = None, False

    def quota(self) -> float:
        """Return the quota in force at this node, and count if it fell to 0."""
        if self.control_plane is None:
            return 0.0
        quota = float(
            self.control_plane.lease_client.member_lease.quota_in_force(self.control_plane.clock.now_ms())
        )
        if self._had_quota and quota <= 0.0:
            self.measurements.yielded += 1
        self._had_quota = quota > 0.0
        return quota

    def measure_into(self, measurements: NodeMeasurements) -> None:
        self.measurements = measurements
        if self.agent is not None:
            self.agent.measurements = measurements

    def probe_counts(self) -> tuple[int, int]:
        """Return the probes sent and received since the node's start."""
        if self.control_plane is None:
            return 0, 0
        return probes(self.control_plane)

    def verdicts(self) -> list[str]:
        """Return the failure detector's verdict on each sibling."""
        if self.control_plane is None:
            return []
        return [
            verdict.value
            for verdict in self.control_plane.group.verdicts(self.control_plane.clock.now_ms()).values()
        ]

    @property
    def ttl_ms(self) -> float:
        return (
            float(self.control_plane.lease_client.member_lease.ttl_ms)
            if self.control_plane is not None
            else math.inf
        )

    @property
    def enrolled(self) -> bool:
        return (
            self.control_plane is not None
            and self.control_plane.lease_client.member_lease.incarnation is not None
        )

    @property
    def attached(self) -> bool:
        return self.enrolled and bool(
            self.control_plane.lease_client.member_lease.is_attached(self.control_plane.clock.now_ms())
        )

    @property
    def elector(self) -> bool:
        return self.enrolled and bool(self.control_plane.lease_client.member_lease.elector)

    @property
    def has_list(self) -> bool:
        return self.agent is not None and self.agent.cache.filled


class _Servers:
    """A fixed endpoint list for the freshness table: the servers of the node's own service."""

    def __init__(self, clock: Clock, uids: list[str]) -> None:
        self._clock = clock
        self.endpoints = {uid: (Endpoint(uid), ("127.0.0.1", 9)) for uid in uids}
        self.revision = self.service_revision = 1

    @property
    def confirmed_ms(self) -> float:
        return self._clock.unix_ms() // LIST_CONFIRMED_MS * LIST_CONFIRMED_MS


def probes(control_plane: Any) -> tuple[int, int]:
    """Return the probes sent and received; earlier releases have other names for both."""
    if hasattr(control_plane, "probe_transport"):
        return control_plane.probe_transport.probes_sent, control_plane.probe_transport.probes_received
    return control_plane.hearing.asks, control_plane.hearing.asked


_seeds = itertools.count(1)


def _config(spec: HollowSpec, setup: Setup) -> NodeConfig:
    group = len(setup.servers[spec.service]) if setup.scoped else len(setup.regions)
    max_cached = MAX_CACHED if group <= MAX_CACHED else MAX_CACHED_LARGE_GROUP
    members: dict[str, Any] = {"listen": f"127.0.0.1:{spec.port}", "zone": spec.zone}
    if setup.probe_period_ms is not None:
        members["ask_every_ms"] = setup.probe_period_ms
    if setup.scoped:
        members["service"] = spec.service
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 8 * max_cached}
    row = config_document("127.0.0.1:9", name=spec.name, members=members, limits=limits)
    return parse_config(orjson.dumps(row))


def _fake_balancer(config: NodeConfig) -> Any:
    """Return a fake balancer without requests that has the real module's period."""
    real = Balancer(config.settings, next(_seeds), 0.0)
    return SimpleNamespace(period_ms=real.period_ms, pool=lambda: (0.0, 0, 0.0))
