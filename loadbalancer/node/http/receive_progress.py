"""Distinguishes a peer that receives slowly from one that has stopped."""

from __future__ import annotations

from loadbalancer.node.http.socket_buffer import Delivery


class ReceiveProgress:
    """Measures for how long a peer has received nothing of what is outstanding.

    The write buffer alone doesn't tell: the kernel takes more only after a third of its buffer of up to 4 MiB
    has become free, for which a peer that reads 64 kB a second needs 20 s.
    """

    __slots__ = ("_acknowledged_bytes", "_since", "_unsent_bytes")

    def __init__(self) -> None:
        self._since: float | None = None  # loop time (s); None before the first observation
        self._acknowledged_bytes = 0
        self._unsent_bytes = 0

    def restart(self) -> None:
        """Start anew with the next observation."""
        self._since = None

    def silent_s(self, now: float, observed: Delivery) -> float:
        """Return for how long the peer has received nothing, as observed at loop time `now` (s)."""
        progress = (
            observed.acknowledged_bytes > self._acknowledged_bytes
            or observed.unsent_bytes < self._unsent_bytes
        )
        self._acknowledged_bytes, self._unsent_bytes = observed.acknowledged_bytes, observed.unsent_bytes
        if self._since is None or progress or not observed.outstanding:
            self._since = now
        return now - self._since
