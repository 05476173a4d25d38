"""Who is there, who has failed, and what a node may do in doubt. Pure: times and facts in, actions out.

The rules, in the order in which they bind:

1. Two kinds of evidence are kept apart: a lease in the list service, and hearing (asking siblings directly).
   Only the lease moves shares. Hearing never lets a share grow.
2. An incarnation is given by the list service and belongs to one start of a process. What siblings say of one
   that the service has not named is counted and ignored.
3. A sibling is accused by one that asked it directly and through others, and was answered neither way. It may
   refute by raising its own count; an accusation that stands for its whole time ends in `unheard`. A later
   count wins over any accusation of an earlier one, so a sibling that comes back is heard again.
4. A sibling that others reach while its direct asks fail is `bridged`: the link is at fault, not the sibling.
5. A node that was itself late does not accuse for that time, and accuses more slowly after it.
6. What a process may take is granted by the list service's log out of what is free, and kept past a lease
   only while a majority says that it is cut off too (`Ledger`, `LeaseClock`, `Enrolment`; docs/fleet.md).
7. The verdict on a sibling is read from a table (`VERDICTS`), never worked out elsewhere.

Sources: Das, Gupta, Motivala, "SWIM", 2002; Dadgar, Phillips, Currey, "Lifeguard", 2017.
"""

from .actions import Action, Ask, AskThrough, Changed, Config, Reply, Sibling, Viewed
from .enrolment import Call, Enrolment, Share, Word
from .hearing import Hearing
from .leases import LeaseClock
from .ledger import Ledger, Row, State
from .messages import LeaseGrant, Member
from .payload import Standing
from .verdict import VERDICTS, Heard, Lease, Stand, Verdict, stand, verdict

__all__ = [
    "VERDICTS",
    "Action",
    "Ask",
    "AskThrough",
    "Call",
    "Changed",
    "Config",
    "Enrolment",
    "Heard",
    "Hearing",
    "Lease",
    "LeaseClock",
    "LeaseGrant",
    "Ledger",
    "Member",
    "Reply",
    "Row",
    "Share",
    "Sibling",
    "Stand",
    "Standing",
    "State",
    "Verdict",
    "Viewed",
    "Word",
    "stand",
    "verdict",
]
