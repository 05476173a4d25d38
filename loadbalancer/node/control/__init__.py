"""The node's control plane: group membership, the lease, gossip and route activation (docs/fleet.md).

A node has a control plane only if its configuration has a `members` section. The packages `membership`,
`staleness` and `routing` make the decisions; this package provides their sockets, timers and files, and
orders their events: all parts process a response of the list service in the same turn of the event loop, and
the balancer is notified of quota, confidence and route versions through typed events only.
"""

from loadbalancer.node.control.control_plane import ControlPlane

__all__ = ["ControlPlane"]
