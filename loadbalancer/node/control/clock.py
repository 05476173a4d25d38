"""The clock of the control plane."""

from __future__ import annotations

from loadbalancer.node.clock import Clock


class MembershipClock:
    """The node's clock plus a constant offset in ms, which is non-zero only in tests.

    Every time that this node sends to siblings or the list service is a reading of this clock. The balancer
    uses the node's clock; `to_node_ms` and `from_node_ms` convert between the two.
    """

    def __init__(self, clock: Clock, offset_ms: float = 0.0) -> None:
        self._clock, self._offset_ms = clock, offset_ms

    def now_ms(self) -> float:
        """Return the current time in ms; it never goes back."""
        return self._clock.unix_ms() + self._offset_ms

    def to_node_ms(self, ms: float) -> float:
        """Convert a time of this clock to the node's clock."""
        return ms - self._offset_ms

    def from_node_ms(self, ms: float) -> float:
        """Convert a time of the node's clock to this clock."""
        return ms + self._offset_ms

    def to_loop_time(self, ms: float) -> float:
        """Convert a time of this clock to the event loop's clock, in s."""
        return self._clock.to_loop_time(ms - self._offset_ms)
