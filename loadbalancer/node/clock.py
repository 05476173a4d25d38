"""The node's clock."""

from __future__ import annotations

import asyncio
import time


class Clock:
    """Unix time in milliseconds that never goes back: the event loop's clock, anchored to Unix time once."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._time = loop.time
        self._anchor_s = time.time() - loop.time()

    def unix_ms(self, at: float | None = None) -> float:
        """Return the Unix time in ms, now or at a time of the event loop (s)."""
        return ((self._time() if at is None else at) + self._anchor_s) * 1000.0

    def to_loop_time(self, ms: float) -> float:
        """Return the event loop's time (s) at a Unix time in ms."""
        return ms / 1000.0 - self._anchor_s
