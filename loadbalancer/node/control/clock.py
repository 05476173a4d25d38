"""The clock of the control plane."""

from __future__ import annotations

from loadbalancer.node.clock import Clock


class MembershipClock:
    """The node's clock plus a constant offset in ms, which only tests set.

    All times that siblings and the list service exchange are by this clock; `to_node_ms` and `from_node_ms`
    convert from and to the node's clock, by which the balancer works.
    """

    def __init__(self, clock: Clock, offset_ms: float = 0.0) -> None:
        self._clock, self._offset_ms = clock, offset_ms

    def now_ms(self) -> float:
        """The current time in ms; never goes back."""
        return self._clock.unix_ms() + self._offset_ms

    def to_node_ms(self, ms: float) -> float:
        """A time of this clock by the node's clock."""
        return ms - self._offset_ms

    def from_node_ms(self, ms: float) -> float:
        """A time of the node's clock by this clock."""
        return ms + self._offset_ms

    def to_loop_time(self, ms: float) -> float:
        """A time of this clock by the event loop's clock, in s."""
        return self._clock.to_loop_time(ms - self._offset_ms)
