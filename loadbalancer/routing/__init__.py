"""Route versions, switched on all nodes at one moment. Pure: events and times in, events and actions out.

- `parse_table`, `find_objections`, `RouteTable` (route_table.py): a version's TOML, and why a node can't
  take it.
- `ActivationCoordinator`, `ActivationOutcome` (coordinator.py, version_record.py): the coordinator, which is
  replicated.
- `RouteParticipant` (participant.py) and its actions (actions.py): a node's part.

The invariant: no two nodes whose participation is `following` run different versions, but for the clock bound
around the activation time of a version, whatever messages are lost, late or repeated and whatever processes
are paused or restarted. It rests on four rules:

1. A node votes yes only once it has checked the text and synced it to disk; every member with a live lease
   votes.
2. The activation time is the log's time at the decision + lease term + clock bound. A renewal sent late
   enough to keep a lease alive at that time is behind the decision in the log, so its answer announces it.
3. A node whose lease has ended by its own clock runs version 0 from then on. It follows again only once its
   disk holds the version in force and a decided one, as an answer under its new lease announces them.
4. An outcome in the log is final, and a number stands for one activation of one text.
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
