"""Membership of a group of nodes: the members, failure detection, and the quota that each member may use.

The package does no I/O and reads no clock: its classes receive times and events and return actions.

Rules, in order of precedence:

1. A lease from the list service and the failure detector (probes of other members) are separate evidence.
   Only a lease grants quota; the failure detector never increases a quota.
2. The list service assigns an incarnation to each start of a process. Messages about an incarnation that the
   service has not listed are counted and ignored.
3. A member suspects another one after its direct and indirect probes got no ack. The suspect refutes the
   suspicion by raising its refutation count; otherwise it becomes `UNREACHABLE` when the suspicion times out.
   A higher count overrides any suspicion with a lower one, so a member that comes back is alive again.
4. A member that others reach while direct probes of it fail is `INDIRECT`: the link has failed, not the
   member.
5. A node whose own process was paused suspects no member because of that time, and uses longer timeouts
   afterwards.
6. The list service's log grants quota only out of unallocated quota. A process keeps its quota after its
   lease has expired only while a majority of members reports that it is detached too (`QuotaLedger`,
   `LeaseClock`, `MemberLease`; docs/fleet.md).
7. The verdict on a member is looked up in the table `VERDICTS`.

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
