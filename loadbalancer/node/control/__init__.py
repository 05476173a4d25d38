"""The fleet's part of a node: the thin shell round the cores of members, view and routes (docs/fleet.md).

It exists only where the configuration names `members`. The cores decide; this package has the sockets,
timers, files and the order of things: what an answer of the list service says reaches every core in the
same turn of the loop, and the decision module hears of shares, marks and route versions as typed events
only.
"""

from loadbalancer.node.control.control_plane import ControlPlane

__all__ = ["ControlPlane"]
