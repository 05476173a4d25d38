"""The node's control plane: membership in a fleet, its lease, gossip and route activation (docs/fleet.md).

It exists only where the configuration names `members`. The packages `membership`, `staleness` and `routing`
decide; this package has the sockets, timers and files, and the order of events: what an answer of the list
service states reaches every part in the same turn of the event loop, and the balancer learns of quota,
confidence and route versions through typed events only.
"""

from loadbalancer.node.control.control_plane import ControlPlane

__all__ = ["ControlPlane"]
