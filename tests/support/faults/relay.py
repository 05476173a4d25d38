"""One relay between two programs, controlled from the test's thread."""

from __future__ import annotations

from tests.support.faults.link import Address, Direction, Link
from tests.support.faults.loops import LoopThread


class Relay:
    """A TCP relay between a client and a target that forwards, blocks, delays, loses or resets.

    The forward direction is from the client to the target. Each setting applies once its call has returned,
    to open connections and to new ones.
    """

    def __init__(self, target: Address, seed: object = 0, loops: LoopThread | None = None) -> None:
        self._owns_loops = loops is None
        self._loops = LoopThread() if loops is None else loops
        self._link = Link(target, seed)
        self.address = self._link.address
        self.target = target
        self._loops.call(lambda: self._link.set_accepting(True))

    @property
    def accepted(self) -> int:
        """Connections accepted so far."""
        return self._link.accepted

    @property
    def lost_calls(self) -> int:
        return self._link.lost_calls

    def set_blocked(self, blocked: bool = True, direction: Direction = "both") -> None:
        """Simulate an unreachable machine, or one direction of a link that fails.

        Connections stay open without any data or end of stream; new ones are accepted and get no response.
        Unblocking delivers all in order.
        """
        self._loops.call(lambda: self._link.set_blocked(blocked, direction))

    def delay(self, ms: float, jitter_ms: float = 0.0, direction: Direction = "both") -> None:
        """Delay each chunk by `ms`, and by up to `jitter_ms` more; order is preserved."""
        self._loops.call(lambda: self._link.delay(ms, jitter_ms, direction))

    def lose(self, probability: float) -> None:
        """Lose each new call (client bytes after a response) with this probability.

        Either the call itself or its response is lost, equally often. Its connection delivers nothing more
        until one side closes it.
        """
        self._loops.call(lambda: setattr(self._link, "loss", probability))

    def set_accepting(self, accepting: bool) -> None:
        """Accept connections, or stop accepting: clients time out, as with an overloaded machine."""
        self._loops.call(lambda: self._link.set_accepting(accepting))

    def reset(self) -> None:
        """Reset every connection at once, as when a process is killed."""
        self._loops.call(self._link.reset)

    def heal(self) -> None:
        """Remove all faults; lost calls stay lost."""
        self._loops.call(self._link.heal)

    def close(self) -> None:
        self._loops.call(self._link.close)
        if self._owns_loops:
            self._loops.close()
