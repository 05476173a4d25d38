"""An event loop whose clock is the test's: real sockets, and no second spent in waiting."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

QUIET_S = 0.02  # of real time with nothing on any socket, before the clock moves on


class _Selector(selectors.DefaultSelector):
    now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0 if timeout is not None and timeout <= 0 else QUIET_S)
        if not ready and timeout is not None and timeout > 0:
            self.now += timeout
        return ready


def run(main: Coroutine[Any, Any, None]) -> None:
    """As asyncio.run, on a clock that starts at 0 and jumps to the next thing due once the sockets rest."""
    selector = _Selector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now  # type: ignore[method-assign]
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(main)
