"""Assembles the control plane of a node and passes facts between its parts."""

from __future__ import annotations

import logging
import os
import secrets
from collections.abc import Mapping
from http import HTTPStatus
from random import Random
from typing import Final

from loadbalancer.balancing.events import ConfidenceUpdate, QuotaGrant
from loadbalancer.endpoints import Confidence
from loadbalancer.membership import (
    DetectorConfig,
    FailureDetector,
    MemberLease,
    MemberState,
    ReachabilityChanged,
    Sibling,
    SiblingReport,
    ViewReceived,
)
from loadbalancer.membership.messages import LeaseResponse
from loadbalancer.node.admin.messages import AdminResponse, AdminRoutes
from loadbalancer.node.balancer_driver import BalancerDriver
from loadbalancer.node.clock import Clock
from loadbalancer.node.config import NodeConfig
from loadbalancer.node.control import status_bodies
from loadbalancer.node.control.clock import MembershipClock
from loadbalancer.node.control.freshness_tracker import FreshnessTracker
from loadbalancer.node.control.group_view import GroupView
from loadbalancer.node.control.lease_client import LeaseClient
from loadbalancer.node.control.operator_requests import forward_request
from loadbalancer.node.control.probe_transport import ProbeTransport
from loadbalancer.node.control.registry_client import RegistryClient
from loadbalancer.node.control.route_activation import RouteActivator
from loadbalancer.node.control.route_store import RouteStore
from loadbalancer.node.control.service_time import REGISTRY_PEER, ServiceTimeEstimate
from loadbalancer.node.control.status_bodies import MembersStatus, RoutesStatus
from loadbalancer.node.control.status_reporter import StatusReporter
from loadbalancer.node.discovery.watcher import EndpointListWatcher
from loadbalancer.node.endpoint_list import EndpointList
from loadbalancer.routing import RouteParticipant
from loadbalancer.staleness import ClockOffsets

log = logging.getLogger("loadbalancer")

NONCE_BYTES: Final = 8  # distinguishes one start of a process from another
SEED_BYTES: Final = 8


class ControlPlane:
    """A component of the node (node/component.py) where the configuration names `members`.

    Its fields are the parts that it assembles: the lease, the probe transport, the route activation, the
    freshness of what the node knows, and its view of the group.
    """

    def __init__(
        self,
        config: NodeConfig,
        clock: Clock,
        servers: EndpointList,
        watcher: EndpointListWatcher,
        driver: BalancerDriver,
    ) -> None:
        """`config.membership` is present; the other arguments are the node's own components."""
        assert config.membership is not None
        self.settings = settings = config.membership
        self.clock = MembershipClock(clock, settings.clock_offset_ms)
        self.clock_offsets = ClockOffsets()
        self._name, self._servers, self._notify_balancer = config.name, servers, driver.handle_event
        self._granted: QuotaGrant | None = None  # the last one that the balancer was notified of
        self._client = RegistryClient(lambda: watcher.address)
        rng = Random(int.from_bytes(os.urandom(SEED_BYTES), "big"))  # the balancer's draws are its own
        self.lease_client = self._make_lease_client(rng)
        self.probe_transport = self._make_probe_transport(rng, config.membership_descriptors // 2)
        self.route_activator = self._make_route_activator(config)
        self.freshness = FreshnessTracker(
            settings, self.clock, self.clock_offsets, servers, driver, self._on_levels
        )
        self.group = GroupView(self.lease_client, self.probe_transport)
        self.freshness.connectivity = lambda: self.group.connectivity(self.clock.now_ms()).value
        self._status = StatusReporter(
            config.name,
            settings.service,
            self.clock,
            self.lease_client,
            self.probe_transport,
            self.route_activator,
            self.freshness,
            self.group,
        )
        driver.before_event.append(self.route_activator.run_if_due)

    def _make_lease_client(self, rng: Random) -> LeaseClient:
        settings, nonce = self.settings, secrets.token_hex(NONCE_BYTES)
        lease = MemberLease(self._name, settings.listen, settings.zone, nonce, rng, settings.service)
        client = LeaseClient(lease, self._client, self.clock, ServiceTimeEstimate(self.clock_offsets))
        client.on_answer = self._on_answer
        client.on_lease_lost = self._on_lease_lost
        client.on_quota_change = self._on_quota_change
        return client

    def _make_probe_transport(self, rng: Random, max_connections: int) -> ProbeTransport:
        config = DetectorConfig(
            period_ms=self.settings.probe_period_ms,
            urgent_period_ms=self.settings.urgent_probe_period_ms,
            probe_timeout_ms=self.settings.probe_timeout_ms,
        )
        transport = ProbeTransport(FailureDetector(0, rng, config), self.clock, max_connections)
        transport.before_tick = self._before_tick
        transport.on_report = self._on_report
        transport.on_change = self._on_reachability_change
        return transport

    def _make_route_activator(self, config: NodeConfig) -> RouteActivator:
        class_names = tuple(kind.name for kind in config.settings.classes)
        participant = RouteParticipant(class_names, self.settings.max_clock_uncertainty_ms)
        folder = self.settings.routes_path
        store = RouteStore(folder) if folder is not None else None
        return RouteActivator(participant, self._client, self.clock, store, self._notify_balancer)

    # ------------------------------------------------- as a component of the node

    async def start(self) -> None:
        """Start all parts; the node serves callers already.

        The node listens for probes before it enrols: that shows that no other process of this node is alive
        (membership/quota_ledger.py).
        """
        self.route_activator.start()
        self._on_quota_change()
        self.freshness.start()
        self.probe_transport.listen(self.settings.address, self.lease_client.start)

    def begin_drain(self) -> None:
        """Announce to the group that this node drains."""
        self.lease_client.begin_drain()

    async def stop(self) -> None:
        """Leave the group, after the last request has been answered."""
        await self.lease_client.leave()

    def close(self) -> None:
        """Release timers, sockets and files at once."""
        self.lease_client.close()
        self.probe_transport.close()
        self.route_activator.close()
        self.freshness.close()
        self._client.close()

    def metrics(self) -> str:
        """The lines of GET /status/metrics."""
        return self._status.metrics()

    def admin_routes(self) -> AdminRoutes:
        """The admin server's calls on the control plane."""
        return {
            (b"GET", b"/status/members"): lambda _: _ok(self._status.members_status()),
            (b"GET", b"/status/routes"): lambda _: _ok(self._status.routes_status()),
            (b"PUT", b"/routes/halt"): lambda body: self._forward("routes/halt", body),
            (b"PUT", b"/routes/rollback"): lambda body: self._forward("routes/rollback", body),
        }

    async def _forward(self, path: str, body: bytes) -> AdminResponse:
        return await forward_request(self._client, path, body)

    # ------------------------------------------------------------ between the parts

    def _on_answer(self, now: float, answer: LeaseResponse) -> None:
        """Pass what a lease answer states to all parts, in the same turn of the event loop."""
        lease = self.lease_client.member_lease
        detector = self.probe_transport.detector
        detector.set_incarnation(answer.incarnation)
        siblings = [
            Sibling(member.incarnation, member.name, member.address)
            for member in lease.members
            if member.state != MemberState.LEFT
        ]
        self.probe_transport.execute(detector.set_members(now, siblings))
        self.freshness.set_members(
            [sibling.incarnation for sibling in siblings if sibling.incarnation != answer.incarnation]
        )
        service_ms = self.lease_client.service_ms(now)
        if service_ms is not None:
            self.route_activator.on_lease_answer(now, lease.lease_end_ms, service_ms, answer)
        self.lease_client.set_revisions(answer.revision, int(answer.routes.get("rev", 0)))

    def _on_lease_lost(self, now: float) -> None:
        self.route_activator.execute(self.route_activator.participant.on_unregistered(now))

    def _on_quota_change(self) -> None:
        """Notify the balancer of the quota and its end, so that no timer here has to end it in time."""
        quota = self.lease_client.member_lease.quota(self.clock.now_ms())
        grant = QuotaGrant(quota.quota, quota.members, self.clock.to_node_ms(quota.until_ms))
        if grant != self._granted:
            self._granted = grant
            self._notify_balancer(grant)

    def _before_tick(self, now: float) -> None:
        """Set what the next probes state of this node, and use what siblings stated of themselves."""
        lease, detector = self.lease_client.member_lease, self.probe_transport.detector
        service_ms = self.lease_client.service_ms(now)
        if service_ms is not None and lease.incarnation is not None:
            detector.set_quota_status(now, lease.quota_status(now), max(0.0, service_ms[0]))
        if not lease.is_attached(now):
            lease.on_sibling_reports(now, self._sibling_statements(now))
            self._on_quota_change()
        detector.set_view(self.freshness.current_report(now))

    def _sibling_statements(self, now: float) -> dict[int, SiblingReport]:
        """What siblings stated of themselves, each at the earliest time it may have been by this clock."""
        statements = {}
        for incarnation, (standing, stated_at) in self.probe_transport.detector.quota_reports().items():
            local = self.clock_offsets.to_local(REGISTRY_PEER, now, stated_at)
            if local is not None:
                statements[incarnation] = SiblingReport(standing, local[0])
        return statements

    def _on_report(self, viewed: ViewReceived) -> None:
        """A sibling's report: its call's times sample the sibling's clock, before the report is used."""
        if viewed.probe_sent_ms is not None:
            self.clock_offsets.add_sample(
                viewed.incarnation,
                viewed.probe_sent_ms,
                viewed.sent_at_ms,
                viewed.sent_at_ms,
                viewed.received_ms,
            )
        self.freshness.receive_report(viewed)

    def _on_reachability_change(self, changed: ReachabilityChanged) -> None:
        log.info(
            "members: incarnation %d is %s, was %s", changed.incarnation, changed.new.value, changed.old.value
        )

    def _on_levels(self, levels: dict[str, Confidence]) -> None:
        """Notify the balancer of confidence levels that changed, and the participant of servers to avoid."""
        self._notify_balancer(ConfidenceUpdate(levels))
        now = self.clock.now_ms()
        listed = tuple(server for server, _ in self._servers.endpoints.values())
        unconfirmed = _unconfirmed(self.freshness.levels())
        self.route_activator.execute(self.route_activator.participant.set_endpoints(now, listed, unconfirmed))


def _unconfirmed(levels: Mapping[str, Confidence]) -> list[str]:
    """The servers without evidence, where others have better: as in the balancer, a table of low levels alone
    distinguishes no server from another."""
    if not any(level in (Confidence.HIGH, Confidence.MEDIUM) for level in levels.values()):
        return []
    return [server for server, level in levels.items() if level is Confidence.NONE]


def _ok(status: MembersStatus | RoutesStatus) -> AdminResponse:
    return AdminResponse(HTTPStatus.OK, status_bodies.encode(status))
