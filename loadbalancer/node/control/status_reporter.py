"""Status bodies and metrics of the control plane, for operators."""

from __future__ import annotations

from collections import Counter
from typing import Final

from loadbalancer.membership import Verdict
from loadbalancer.node.control.clock import MembershipClock
from loadbalancer.node.control.freshness_tracker import FreshnessTracker
from loadbalancer.node.control.group_view import GroupView
from loadbalancer.node.control.lease_client import LeaseClient
from loadbalancer.node.control.probe_transport import ProbeTransport
from loadbalancer.node.control.route_activation import RouteActivator
from loadbalancer.node.control.status_bodies import MembersStatus, RoutesStatus

QUOTA_DECIMALS: Final = 6  # of the metric `share`
DELAY_DECIMALS: Final = 3  # of the metric `route_late_ms`


class StatusReporter:
    """Reads the state of the control plane's parts without changing it."""

    def __init__(
        self,
        name: str,
        service: str,
        clock: MembershipClock,
        lease_client: LeaseClient,
        probe_transport: ProbeTransport,
        route_activator: RouteActivator,
        freshness: FreshnessTracker,
        group: GroupView,
    ) -> None:
        """`name`: this node's name; `service`: the service whose nodes form its group, "" for all nodes."""
        self._name, self._service, self._clock = name, service, clock
        self._lease_client, self._probe_transport = lease_client, probe_transport
        self._route_activator, self._freshness, self._group = route_activator, freshness, group

    def members_status(self) -> MembersStatus:
        """Return the body of GET /status/members."""
        now, lease, detector = (
            self._clock.now_ms(),
            self._lease_client.member_lease,
            self._probe_transport.detector,
        )
        grant = lease.quota(now)
        return MembersStatus(
            name=self._name,
            service=self._service,
            incarnation=lease.incarnation,
            connectivity=self._group.connectivity(now),
            standing=lease.quota_status(now).name.lower(),
            quota=lease.quota_in_force(now),
            member_count=grant.members,
            elector=lease.elector,
            lease_ms=max(0.0, lease.lease_end_ms - now) if lease.incarnation is not None else 0.0,
            now_ms=now,
            service_ms=self._lease_client.service_ms(now),
            routes=self._route_activator.participant.status(now),
            health=detector.health,
            ignored=dict(detector.ignored),
            siblings=self._group.siblings(now),
        )

    def routes_status(self) -> RoutesStatus:
        """Return the body of GET /status/routes."""
        now = self._clock.now_ms()
        return RoutesStatus(
            connectivity=self._group.connectivity(now), edges=self._freshness.edge_statuses(now)
        )

    def metrics(self) -> str:
        """Return the control plane's lines of GET /status/metrics, each `proxy.NAME=VALUE`."""
        now = self._clock.now_ms()
        verdicts = Counter(self._group.verdicts(now).values())
        metrics: dict[str, float] = {f"members_{verdict.value}": verdicts[verdict] for verdict in Verdict}
        metrics |= {
            "members_asks": self._probe_transport.probes_sent,
            "members_asked": self._probe_transport.probes_received,
            "members_refused": self._probe_transport.rejected_calls,
            "members_ignored": self._probe_transport.detector.ignored.total(),
            "view_refused": self._freshness.rejected_reports,
            "lease_failures": self._lease_client.failures,
            "share": round(self._lease_client.member_lease.quota_in_force(now), QUOTA_DECIMALS),
            "route_version": self._route_activator.participant.running_version,
            "route_switches": self._route_activator.switches,
            "route_late_ms": round(self._route_activator.last_delay_ms, DELAY_DECIMALS),
        }
        return "".join(f"proxy.{name}={value}\n" for name, value in metrics.items())
