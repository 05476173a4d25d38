"""Membership: which nodes there are, which have failed, and what quota each may use. Pure: times and events
in, actions out.

The rules, in the order in which they bind:

1. Two kinds of evidence are kept apart: a lease in the list service, and the failure detector, which probes
   other members. Only a lease grants quota; the failure detector never lets a quota grow.
2. An incarnation is given by the list service and belongs to one start of a process. Messages about one that
   the service has not listed are counted and ignored.
3. A member suspects another one once its direct and indirect probes had no ack. The suspect may refute by
   raising its own count; a suspicion that is not refuted within its timeout ends in `UNREACHABLE`. A later
   count wins over any suspicion of an earlier one, so a member that comes back is alive again.
4. A member that others reach while direct probes of it fail is `INDIRECT`: the link is at fault, not it.
5. A node that was itself paused suspects nobody for that time, and suspects more slowly after it.
6. A process's quota is granted by the list service's log out of what is free, and held past a lease only
   while a majority reports being cut off too (`QuotaLedger`, `LeaseClock`, `MemberLease`; docs/fleet.md).
7. The verdict on a member is read from the table `VERDICTS` alone.

Sources: Das, Gupta, Motivala, "SWIM", 2002; Dadgar, Phillips, Currey, "Lifeguard", 2017.
"""

from loadbalancer.membership.actions import (
    Ack,
    Action,
    DetectorConfig,
    IndirectProbe,
    Probe,
    ReachabilityChanged,
    Sibling,
    ViewReceived,
)
from loadbalancer.membership.failure_detector import FailureDetector
from loadbalancer.membership.lease_calls import QuotaLease, RegistryCall, SiblingReport
from loadbalancer.membership.lease_clock import LeaseClock
from loadbalancer.membership.member_lease import MemberLease
from loadbalancer.membership.member_record import MemberRecord, MemberState
from loadbalancer.membership.messages import LeaseGrant, Member
from loadbalancer.membership.payload import QuotaStatus
from loadbalancer.membership.quota_ledger import QuotaLedger
from loadbalancer.membership.verdict import (
    VERDICTS,
    Connectivity,
    LeaseStatus,
    Reachability,
    Verdict,
    connectivity,
    verdict,
)

__all__ = [
    "VERDICTS",
    "Ack",
    "Action",
    "Connectivity",
    "DetectorConfig",
    "FailureDetector",
    "IndirectProbe",
    "LeaseClock",
    "LeaseGrant",
    "LeaseStatus",
    "Member",
    "MemberLease",
    "MemberRecord",
    "MemberState",
    "Probe",
    "QuotaLease",
    "QuotaLedger",
    "QuotaStatus",
    "Reachability",
    "ReachabilityChanged",
    "RegistryCall",
    "Sibling",
    "SiblingReport",
    "Verdict",
    "ViewReceived",
    "connectivity",
    "verdict",
]
