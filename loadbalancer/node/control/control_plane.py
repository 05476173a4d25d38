"""Assembles the control plane of a node and passes facts between its cores."""

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
    Connectivity,
    DetectorConfig,
    FailureDetector,
    LeaseStatus,
    MemberLease,
    ReachabilityChanged,
    Sibling,
    SiblingReport,
    Verdict,
    ViewReceived,
    connectivity,
    verdict,
)
from loadbalancer.membership.messages import LeaseAnswer, Member
from loadbalancer.node.admin.messages import AdminResponse, AdminRoutes
from loadbalancer.node.balancer_driver import BalancerDriver
from loadbalancer.node.clock import Clock
from loadbalancer.node.config import NodeConfig
from loadbalancer.node.control import member_status
from loadbalancer.node.control.clock import MembershipClock
from loadbalancer.node.control.freshness_tracker import FreshnessTracker
from loadbalancer.node.control.lease_client import REGISTRY_PEER, LeaseClient
from loadbalancer.node.control.member_status import MembersStatus, RoutesStatus, SiblingStatus
from loadbalancer.node.control.operator_requests import forward_request
from loadbalancer.node.control.probe_transport import ProbeTransport
from loadbalancer.node.control.registry_client import RegistryClient
from loadbalancer.node.control.route_activation import RouteActivator
from loadbalancer.node.control.route_store import RouteStore
from loadbalancer.node.discovery.watcher import EndpointListWatcher
from loadbalancer.node.endpoint_list import EndpointList
from loadbalancer.routing import RouteParticipant
from loadbalancer.staleness import ClockOffsets

log = logging.getLogger("loadbalancer")

SIBLING_ACK_TIMEOUT_MS: Final = 3_000.0  # a detached node that no sibling acked for so long is isolated
NONCE_BYTES: Final = 8  # tells one start of a process from another
SEED_BYTES: Final = 8
QUOTA_DECIMALS: Final = 6  # of the metric
DELAY_DECIMALS: Final = 3  # of the metric, in ms


class ControlPlane:
    """A component of the node (node/component.py) where the configuration names `members`.

    Its fields are the parts that it assembles: the lease, the probe transport, the route activation and the
    freshness of what the node knows.
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
        self._name, self._servers, self._tell = config.name, servers, driver.handle_event
        self._granted: QuotaGrant | None = None  # the last one that the balancer was notified of
        self._client = RegistryClient(lambda: watcher.address)
        rng = Random(int.from_bytes(os.urandom(SEED_BYTES), "big"))  # the balancer's draws are its own
        self.lease = self._make_lease(rng)
        self.probe_transport = self._make_probe_transport(rng, config.membership_descriptors // 2)
        self.route_activation = self._make_route_activation(config)
        self.freshness = FreshnessTracker(
            settings, self.clock, self.clock_offsets, servers, driver, self._on_levels
        )
        self.freshness.connectivity = lambda: self.connectivity(self.clock.now_ms()).value
        driver.before_event.append(self.route_activation.run_if_due)

    def _make_lease(self, rng: Random) -> LeaseClient:
        settings, start = self.settings, secrets.token_hex(NONCE_BYTES)
        core = MemberLease(self._name, settings.listen, settings.zone, start, rng, settings.service)
        lease = LeaseClient(core, self._client, self.clock, self.clock_offsets)
        lease.on_answer = self._on_answer
        lease.on_lease_lost = self._on_lease_lost
        lease.on_quota_change = self._on_quota_change
        return lease

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

    def _make_route_activation(self, config: NodeConfig) -> RouteActivator:
        class_names = tuple(kind.name for kind in config.settings.classes)
        core = RouteParticipant(class_names, self.settings.max_clock_uncertainty_ms)
        folder = self.settings.routes_path
        store = RouteStore(folder) if folder is not None else None
        return RouteActivator(core, self._client, self.clock, store, self._tell)

    # ------------------------------------------------- as a component of the node

    async def start(self) -> None:
        """Start all parts; the node serves callers already.

        The node listens for probes before it enrols: that shows that no other process of this node is alive
        (membership/quota_ledger.py).
        """
        self.route_activation.start()
        self._on_quota_change()
        self.freshness.start()
        self.probe_transport.listen(self.settings.address, self.lease.start)

    def begin_drain(self) -> None:
        """Announce to the group that this node drains."""
        self.lease.begin_drain()

    async def stop(self) -> None:
        """Leave the group, after the last request has been answered."""
        await self.lease.leave()

    def close(self) -> None:
        """Release timers, sockets and files at once."""
        self.lease.close()
        self.probe_transport.close()
        self.route_activation.close()
        self.freshness.close()
        self._client.close()

    def metrics(self) -> str:
        """The lines of GET /status/metrics."""
        now = self.clock.now_ms()
        metrics = member_status.count_verdicts(self.verdicts(now).values()) | {
            "members_asks": self.probe_transport.probes_sent,
            "members_asked": self.probe_transport.probes_received,
            "members_refused": self.probe_transport.rejected_calls,
            "members_ignored": self.probe_transport.core.ignored.total(),
            "view_refused": self.freshness.rejected_reports,
            "lease_failures": self.lease.failures,
            "share": round(self.lease.core.quota_in_force(now), QUOTA_DECIMALS),
            "route_version": self.route_activation.core.running_version,
            "route_switches": self.route_activation.switches,
            "route_late_ms": round(self.route_activation.last_delay_ms, DELAY_DECIMALS),
        }
        return member_status.format_metrics(metrics)

    def admin_calls(self) -> AdminRoutes:
        """The admin server's calls on the control plane."""
        return {
            (b"GET", b"/status/members"): lambda _: _ok(self.status()),
            (b"GET", b"/status/routes"): lambda _: _ok(self.routes_status()),
            (b"PUT", b"/routes/halt"): lambda body: self._forward("routes/halt", body),
            (b"PUT", b"/routes/rollback"): lambda body: self._forward("routes/rollback", body),
        }

    async def _forward(self, path: str, body: bytes) -> AdminResponse:
        return await forward_request(self._client, path, body)

    # ------------------------------------------------------------ between the cores

    def _on_answer(self, now: float, answer: LeaseAnswer) -> None:
        """Pass what a lease answer states to every core, in the same turn of the event loop."""
        core = self.lease.core
        detector = self.probe_transport.core
        detector.set_incarnation(answer.incarnation)
        siblings = [
            Sibling(member.incarnation, member.name, member.address)
            for member in core.members
            if member.state != "left"
        ]
        self.probe_transport.carry_out(detector.set_members(now, siblings))
        self.freshness.set_members(
            [sibling.incarnation for sibling in siblings if sibling.incarnation != answer.incarnation]
        )
        service_ms = self.lease.service_ms(now)
        if service_ms is not None:
            self.route_activation.on_lease_answer(now, core.lease_end_ms, service_ms, answer)
        self.lease.set_revisions(answer.revision, int(answer.routes.get("rev", 0)))

    def _on_lease_lost(self, now: float) -> None:
        self.route_activation.carry_out(self.route_activation.core.on_unregistered(now))

    def _on_quota_change(self) -> None:
        """Notify the balancer of the quota and its end, so that no timer here has to end it in time."""
        share = self.lease.core.quota(self.clock.now_ms())
        grant = QuotaGrant(share.quota, share.members, self.clock.to_node_ms(share.until_ms))
        if grant != self._granted:
            self._granted = grant
            self._tell(grant)

    def _before_tick(self, now: float) -> None:
        """Set what the next probes state of this node, and use what siblings stated of themselves."""
        core, detector = self.lease.core, self.probe_transport.core
        service_ms = self.lease.service_ms(now)
        if service_ms is not None and core.incarnation is not None:
            detector.set_quota_status(now, core.quota_status(now), max(0.0, service_ms[0]))
        if not core.is_attached(now):
            core.on_sibling_reports(now, self._sibling_statements(now))
            self._on_quota_change()
        detector.set_view(self.freshness.report(now))

    def _sibling_statements(self, now: float) -> dict[int, SiblingReport]:
        """What siblings stated of themselves, each at the earliest time it may have been by this clock."""
        statements = {}
        for incarnation, (standing, stated_at) in self.probe_transport.core.quota_reports().items():
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
        self._tell(ConfidenceUpdate(levels))
        now = self.clock.now_ms()
        listed = tuple(server for server, _ in self._servers.endpoints.values())
        unconfirmed = _unconfirmed(self.freshness.confidence())
        self.route_activation.carry_out(self.route_activation.core.set_endpoints(now, listed, unconfirmed))

    # --------------------------------------------------------------- for operators

    def connectivity(self, now: float) -> Connectivity:
        """What this node reaches: the list service, only siblings, or neither."""
        core = self.lease.core
        renewed_at = now if core.is_attached(now) else None
        acked_at = self.probe_transport.core.last_ack_at
        return connectivity(now, core.ttl_ms, renewed_at, acked_at, SIBLING_ACK_TIMEOUT_MS)

    def verdicts(self, now: float) -> dict[int, Verdict]:
        """The verdict on each sibling, by incarnation."""
        core = self.lease.core
        attached, reachability = core.is_attached(now), self.probe_transport.core.reachability()
        return {
            member.incarnation: verdict(
                _lease_status(member) if attached else LeaseStatus.UNKNOWN,
                reachability[member.incarnation],
                member.state in ("leaving", "left"),
            )
            for member in core.members
            if member.incarnation in reachability
        }

    def status(self) -> MembersStatus:
        """The body of GET /status/members."""
        now, core, detector = self.clock.now_ms(), self.lease.core, self.probe_transport.core
        share, service_ms = core.quota(now), self.lease.service_ms(now)
        siblings = self._sibling_statuses(now)
        return MembersStatus(
            name=self._name,
            service=self.settings.service,
            incarnation=core.incarnation,
            connectivity=self.connectivity(now),
            standing=core.quota_status(now).name.lower(),
            quota=core.quota_in_force(now),
            member_count=share.members,
            elector=core.elector,
            lease_ms=max(0.0, core.lease_end_ms - now) if core.incarnation is not None else 0.0,
            now_ms=now,
            service_ms=service_ms,
            routes=self.route_activation.core.status(now),
            health=detector.health,
            ignored=dict(detector.ignored),
            siblings=siblings,
        )

    def routes_status(self) -> RoutesStatus:
        """The body of GET /status/routes."""
        now = self.clock.now_ms()
        return RoutesStatus(connectivity=self.connectivity(now), edges=self.freshness.edges(now))

    def _sibling_statuses(self, now: float) -> list[SiblingStatus]:
        reachability, verdicts = self.probe_transport.core.reachability(), self.verdicts(now)
        return [
            SiblingStatus(
                name=member.name,
                incarnation=member.incarnation,
                address=member.address,
                state=member.state,
                reachability=reachability[member.incarnation],
                verdict=verdicts[member.incarnation],
            )
            for member in self.lease.core.members
            if member.incarnation in verdicts
        ]


def _lease_status(member: Member) -> LeaseStatus:
    return LeaseStatus.EXPIRED if member.state == "lapsed" else LeaseStatus.LIVE


def _unconfirmed(levels: Mapping[str, Confidence]) -> list[str]:
    """The servers without evidence, where others have better: as in the balancer, a table of low levels alone
    distinguishes no server from another."""
    if not any(level in (Confidence.HIGH, Confidence.MEDIUM) for level in levels.values()):
        return []
    return [server for server, level in levels.items() if level is Confidence.NONE]


def _ok(status: MembersStatus | RoutesStatus) -> AdminResponse:
    return AdminResponse(HTTPStatus.OK, member_status.encode(status))
