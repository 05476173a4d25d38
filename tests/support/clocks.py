"""Event loop with a simulated clock over real sockets, so that tests don't wait for timers."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

QUIET_S = 0.02  # real time without socket activity before the clock advances


class _Selector(selectors.DefaultSelector):
    def __init__(self, quiet_s: float) -> None:
        super().__init__()
        self.now, self._quiet_s = 0.0, quiet_s

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0 if timeout is not None and timeout <= 0 else self._quiet_s)
        if not ready and timeout is not None and timeout > 0:
            self.now += timeout
        return ready


def run(main: Coroutine[Any, Any, None], quiet_s: float = QUIET_S) -> None:
    """Like asyncio.run, with a clock that starts at 0 and jumps to the next timer when sockets are quiet."""
    selector = _Selector(quiet_s)
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now  # type: ignore[method-assign]
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(main)
