"""The node's clock."""

from __future__ import annotations

import asyncio
import time


class Clock:
    """Unix time in milliseconds that never goes back: the event loop's clock, anchored to Unix time once."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._time = loop.time
        self._anchor_s = time.time() - loop.time()

    def unix_ms(self, loop_time_s: float | None = None) -> float:
        """Return the Unix time in ms, now or at a time of the event loop (s)."""
        return ((self._time() if loop_time_s is None else loop_time_s) + self._anchor_s) * 1000.0

    def to_loop_time(self, unix_ms: float) -> float:
        """Return the event loop's time (s) at a Unix time in ms."""
        return unix_ms / 1000.0 - self._anchor_s
