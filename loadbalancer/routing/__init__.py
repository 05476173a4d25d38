"""Route versions, which all nodes switch to at the same time by two-phase activation.

The package is pure: it takes events and times and returns events and actions.

- `parse_table`, `find_objections`, `RouteTable` (route_table.py): a version's TOML, and the reasons why a
  node can't apply it.
- `ActivationCoordinator`, `ActivationOutcome` (coordinator.py, version_record.py): the coordinator, which is
  replicated.
- `RouteParticipant` (participant.py) and its actions (actions.py): a node's part in an activation.

Invariant: two nodes whose participation is `following` run the same version, except within the clock bound
around a version's activation time. This holds even if messages are lost, late or duplicated and processes are
paused or restarted. It depends on four rules:

1. A node votes yes only after it has checked the text and synced it to disk; every member with a live lease
   votes.
2. The activation time is the log's time at the decision + lease term + clock bound. A renewal sent late
   enough to keep a lease alive at that time comes after the decision in the log, so its response announces
   the decision.
3. A node whose lease has expired by its local clock runs version 0 from then on. It follows again only once
   its disk has the version in force and any decided version, as announced by a response under its new lease.
4. An outcome in the log is final, and a number identifies one activation of one text.
"""

from loadbalancer.routing.actions import Action, Apply, CastVote, Delete, Fetch, Store
from loadbalancer.routing.coordinator import ActivationCoordinator
from loadbalancer.routing.participant import RouteParticipant
from loadbalancer.routing.route_table import NEUTRAL, RouteTable, find_objections, parse_table
from loadbalancer.routing.version_record import ActivationOutcome

__all__ = [
    "NEUTRAL",
    "Action",
    "ActivationCoordinator",
    "ActivationOutcome",
    "Apply",
    "CastVote",
    "Delete",
    "Fetch",
    "RouteParticipant",
    "RouteTable",
    "Store",
    "find_objections",
    "parse_table",
]
