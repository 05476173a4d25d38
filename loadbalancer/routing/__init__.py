"""Route versions, switched on all nodes at one moment. Pure: facts and times in, facts and actions out.

- `parse`, `check`, `RouteTable` (table.py): a version's TOML, and why a node can't take it.
- `Activations`, `Ruling` (activation.py): the list service's replicated part, which is the coordinator.
- `Follower` and its actions (follower.py): the node's part.

The rule they keep together: no two nodes whose stand is `following` run different versions, but for the
clock bound around the moment T of an activation, whatever is lost, late, repeated, stopped or restarted. It
rests on four others:

1. A yes is said only once the text is checked and on disk, synced; every row with a live lease is asked.
2. T = log_ms + ttl + bound: a renewal sent late enough to keep a lease alive at T stands behind the
   decision in the log, so its answer tells of it.
3. A node whose lease has ended by its own clock runs version 0 from that moment, and follows again only
   once it holds on its disk the version in force, and a decided one, as an answer under its new lease told
   them.
4. An outcome, once in the log, is final; a number stands for one activation of one text.
"""

from loadbalancer.routing.coordinator import ActivationCoordinator, ActivationOutcome
from loadbalancer.routing.participant import Action, Apply, CastVote, Delete, Fetch, RouteParticipant, Store
from loadbalancer.routing.route_table import NEUTRAL, RouteTable, find_objections, parse_table

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
