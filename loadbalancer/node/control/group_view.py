"""This node's view of its group: its own connectivity and a verdict on each sibling."""

from __future__ import annotations

from typing import Final

from loadbalancer.membership import Connectivity, LeaseStatus, MemberState, Verdict, connectivity, verdict
from loadbalancer.membership.messages import Member
from loadbalancer.node.control.lease_client import LeaseClient
from loadbalancer.node.control.probe_transport import ProbeTransport
from loadbalancer.node.control.status_bodies import SiblingStatus

SIBLING_ACK_TIMEOUT_MS: Final = 3_000.0  # a detached node without a sibling's ack for this long is isolated


class GroupView:
    """Combines the member list and the leases with the reachability found by the failure detector."""

    def __init__(self, lease_client: LeaseClient, probe_transport: ProbeTransport) -> None:
        self._member_lease, self._detector = lease_client.member_lease, probe_transport.detector

    def connectivity(self, now: float) -> Connectivity:
        """Whether this node reaches the list service, only siblings, or neither."""
        renewed_at = now if self._member_lease.is_attached(now) else None
        acked_at = self._detector.last_ack_at
        return connectivity(now, self._member_lease.ttl_ms, renewed_at, acked_at, SIBLING_ACK_TIMEOUT_MS)

    def verdicts(self, now: float) -> dict[int, Verdict]:
        """Return the verdict on each sibling, by incarnation."""
        attached, reachability = self._member_lease.is_attached(now), self._detector.reachability()
        return {
            member.incarnation: verdict(
                _lease_status(member) if attached else LeaseStatus.UNKNOWN,
                reachability[member.incarnation],
                member.state in (MemberState.DRAINING, MemberState.LEFT),
            )
            for member in self._member_lease.members
            if member.incarnation in reachability
        }

    def siblings(self, now: float) -> list[SiblingStatus]:
        """Return the status of each sibling, in the order of the member list."""
        reachability, verdicts = self._detector.reachability(), self.verdicts(now)
        return [
            SiblingStatus(
                name=member.name,
                incarnation=member.incarnation,
                address=member.address,
                state=member.state,
                reachability=reachability[member.incarnation],
                verdict=verdicts[member.incarnation],
            )
            for member in self._member_lease.members
            if member.incarnation in verdicts
        ]


def _lease_status(member: Member) -> LeaseStatus:
    return LeaseStatus.EXPIRED if member.state == MemberState.EXPIRED else LeaseStatus.LIVE
