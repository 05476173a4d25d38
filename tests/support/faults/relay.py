"""One relay between two programs, set from the test's thread."""

from __future__ import annotations

from tests.support.faults.link import Address, Link, Ways
from tests.support.faults.loops import LoopThread


class Relay:
    """Stands where one program dials another and passes, holds, delays, loses or ends what goes through.

    `there` is the way from the dialler to the target, `back` the other one. Each setting holds once its
    call has returned, for connections there are and for new ones.
    """

    def __init__(self, target: Address, seed: object = 0, loops: LoopThread | None = None) -> None:
        self._own = loops is None
        self._loops = LoopThread() if loops is None else loops
        self._link = Link(target, seed)
        self.address = self._link.address
        self.target = target
        self._loops.call(lambda: self._link.accept(True))

    @property
    def opened(self) -> int:
        """Connections taken so far."""
        return self._link.opened

    @property
    def lost_calls(self) -> int:
        return self._link.lost_calls

    def set_silent(self, silent: bool = True, way: Ways = "both") -> None:
        """A vanished machine, or a cut in one way: connections stay open, nothing passes, ends neither, and
        new ones are taken and left silent. Passed on, in order, once it is silent no more."""
        self._loops.call(lambda: self._link.silence(silent, way))

    def delay(self, ms: float, jitter_ms: float = 0.0, way: Ways = "both") -> None:
        """Each piece so late, and up to jitter_ms more; order is kept."""
        self._loops.call(lambda: self._link.delay(ms, jitter_ms, way))

    def lose(self, chance: float) -> None:
        """Of the calls from now on (bytes there after an answer), lose each with this chance: itself or its
        answer, at even odds. Its connection says no more, until one side closes it."""
        self._loops.call(lambda: setattr(self._link, "loss", chance))

    def accept(self, taking: bool) -> None:
        """Stop taking connections, as a machine too busy to: dialling it times out. Or take them again."""
        self._loops.call(lambda: self._link.accept(taking))

    def reset(self) -> None:
        """End every connection at once, as a process that dies does."""
        self._loops.call(self._link.reset)

    def heal(self) -> None:
        """No fault any more; what was lost stays so."""
        self._loops.call(self._link.heal)

    def close(self) -> None:
        self._loops.call(self._link.close)
        if self._own:
            self._loops.close()
