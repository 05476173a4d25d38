"""Assembles a node's control plane and passes events between its parts."""

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
from loadbalancer.node.memory_budget import MemoryBudget, MemoryPool
from loadbalancer.routing import RouteParticipant
from loadbalancer.staleness import ClockOffsets

log = logging.getLogger("loadbalancer")

NONCE_BYTES: Final = 8  # length of the start id, which distinguishes two starts of the same node
SEED_BYTES: Final = 8


class ControlPlane:
    """A component of the node (node/component.py), present if the configuration has a `members` section.

    Its attributes are the parts that it assembles: the lease client, the probe transport, the route
    activator, the freshness tracker and the view of the group.
    """

    def __init__(
        self,
        config: NodeConfig,
        clock: Clock,
        endpoint_list: EndpointList,
        watcher: EndpointListWatcher,
        driver: BalancerDriver,
        memory: MemoryBudget,
    ) -> None:
        """`config.membership` must not be None; the other arguments are components of the node."""
        assert config.membership is not None
        self.settings = settings = config.membership
        self.clock = MembershipClock(clock, settings.clock_offset_ms)
        self.clock_offsets = ClockOffsets()
        self._name, self._endpoint_list, self._notify_balancer = (
            config.name,
            endpoint_list,
            driver.handle_event,
        )
        self._last_grant: QuotaGrant | None = None  # the last one passed to the balancer
        self._client = RegistryClient(lambda: watcher.address)
        # Separate from the balancer's generator, so that the control plane does not change its sequence.
        rng = Random(int.from_bytes(os.urandom(SEED_BYTES), "big"))
        self.lease_client = self._make_lease_client(rng)
        self.probe_transport = self._make_probe_transport(
            rng, config.membership_descriptors // 2, memory.receiving
        )
        self.route_activator = self._make_route_activator(config)
        self.freshness = FreshnessTracker(
            settings, self.clock, self.clock_offsets, endpoint_list, driver, self._on_confidence_change
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
        client.on_lease_response = self._on_lease_response
        client.on_lease_lost = self._on_lease_lost
        client.on_quota_change = self._on_quota_change
        return client

    def _make_probe_transport(self, rng: Random, max_connections: int, memory: MemoryPool) -> ProbeTransport:
        config = DetectorConfig(
            period_ms=self.settings.probe_period_ms,
            urgent_period_ms=self.settings.urgent_probe_period_ms,
            probe_timeout_ms=self.settings.probe_timeout_ms,
        )
        transport = ProbeTransport(FailureDetector(0, rng, config), self.clock, max_connections, memory)
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
        """Start all parts; the node already serves clients.

        The node enrols only once it listens for probes: being able to bind the address shows that no other
        process of this node serves requests (membership/quota_ledger.py).
        """
        self.route_activator.start()
        self._on_quota_change()
        self.freshness.start()
        self.probe_transport.listen(self.settings.address, self.lease_client.start)

    def begin_drain(self) -> None:
        """Announce to the group that this node is draining."""
        self.lease_client.begin_drain()

    async def stop(self) -> None:
        """Leave the group and free the listen address; call this once no request is served any more.

        Another process of this node enrols as soon as it can listen, so this one must use no quota by then.
        """
        try:
            await self.lease_client.leave()
        finally:
            self._disconnect()

    def close(self) -> None:
        """Release timers, sockets and files immediately."""
        self._disconnect()
        self.route_activator.close()

    def _disconnect(self) -> None:
        self.lease_client.close()
        self.probe_transport.close()
        self.route_activator.cancel()
        self.freshness.close()
        self._client.close()

    def metrics(self) -> str:
        """Return the control plane's lines of GET /status/metrics."""
        return self._status.metrics()

    def admin_routes(self) -> AdminRoutes:
        """Return the admin server's handlers of the control plane, by method and path."""
        return {
            (b"GET", b"/status/members"): lambda _: _ok_response(self._status.members_status()),
            (b"GET", b"/status/routes"): lambda _: _ok_response(self._status.routes_status()),
            (b"PUT", b"/routes/halt"): lambda body: self._forward("routes/halt", body),
            (b"PUT", b"/routes/rollback"): lambda body: self._forward("routes/rollback", body),
        }

    async def _forward(self, path: str, body: bytes) -> AdminResponse:
        return await forward_request(self._client, path, body)

    # ------------------------------------------------------------ between the parts

    def _on_lease_response(self, now: float, response: LeaseResponse) -> None:
        """Pass the content of a lease response to all parts, in the same turn of the event loop."""
        lease = self.lease_client.member_lease
        detector = self.probe_transport.detector
        detector.set_incarnation(response.incarnation)
        siblings = [
            Sibling(member.incarnation, member.name, member.address)
            for member in lease.members
            if member.state != MemberState.LEFT
        ]
        self.probe_transport.execute(detector.set_members(now, siblings))
        self.freshness.set_members(
            [sibling.incarnation for sibling in siblings if sibling.incarnation != response.incarnation]
        )
        service_ms = self.lease_client.service_ms(now)
        if service_ms is not None:
            self.route_activator.on_lease_response(now, lease.lease_end_ms, service_ms, response)
        self.lease_client.set_revisions(response.revision, int(response.routes.get("rev", 0)))

    def _on_lease_lost(self, now: float) -> None:
        self.route_activator.execute(self.route_activator.participant.on_unregistered(now))

    def _on_quota_change(self) -> None:
        """Notify the balancer of the quota and its end; the balancer itself stops using it at that time."""
        quota = self.lease_client.member_lease.quota(self.clock.now_ms())
        grant = QuotaGrant(quota.quota, quota.members, self.clock.to_node_ms(quota.until_ms))
        if grant != self._last_grant:
            self._last_grant = grant
            self._notify_balancer(grant)

    def _before_tick(self, now: float) -> None:
        """Set the content of the next probes, and pass siblings' reports to a lease that is not attached."""
        lease, detector = self.lease_client.member_lease, self.probe_transport.detector
        service_ms = self.lease_client.service_ms(now)
        if service_ms is not None and lease.incarnation is not None:
            detector.set_quota_status(now, lease.quota_status(now), max(0.0, service_ms[0]))
        if not lease.is_attached(now):
            lease.on_sibling_reports(now, self._sibling_reports(now))
            self._on_quota_change()
        detector.set_view(self.freshness.current_report(now))

    def _sibling_reports(self, now: float) -> dict[int, SiblingReport]:
        """Return the siblings' quota reports, each with its earliest possible time by this node's clock."""
        reports = {}
        for incarnation, (quota_status, reported_at) in self.probe_transport.detector.quota_reports().items():
            local_interval = self.clock_offsets.to_local(REGISTRY_PEER, now, reported_at)
            if local_interval is not None:
                reports[incarnation] = SiblingReport(quota_status, local_interval[0])
        return reports

    def _on_report(self, report: ViewReceived) -> None:
        """Sample the sibling's clock from the times of the probe, then use the report that it carried."""
        if report.probe_sent_ms is not None:
            self.clock_offsets.add_sample(
                report.incarnation,
                report.probe_sent_ms,
                report.sent_at_ms,
                report.sent_at_ms,
                report.received_ms,
            )
        self.freshness.receive_report(report)

    def _on_reachability_change(self, changed: ReachabilityChanged) -> None:
        log.info(
            "members: incarnation %d is %s, was %s", changed.incarnation, changed.new.value, changed.old.value
        )

    def _on_confidence_change(self, levels: dict[str, Confidence]) -> None:
        """Notify the balancer of changed confidence levels and the participant of unconfirmed servers."""
        self._notify_balancer(ConfidenceUpdate(levels))
        now = self.clock.now_ms()
        listed = tuple(server for server, _ in self._endpoint_list.endpoints.values())
        unconfirmed = _unconfirmed(self.freshness.levels())
        self.route_activator.execute(self.route_activator.participant.set_endpoints(now, listed, unconfirmed))


def _unconfirmed(levels: Mapping[str, Confidence]) -> list[str]:
    """Return the servers with confidence NONE, or an empty list if no server has MEDIUM or HIGH.

    In that case the levels are low for all servers and, as in the balancer, do not distinguish them.
    """
    if not any(level in (Confidence.HIGH, Confidence.MEDIUM) for level in levels.values()):
        return []
    return [server for server, level in levels.items() if level is Confidence.NONE]


def _ok_response(status: MembersStatus | RoutesStatus) -> AdminResponse:
    return AdminResponse(HTTPStatus.OK, status_bodies.encode(status))
