"""The node's clock: monotonic Unix time."""

from __future__ import annotations

import asyncio
import time


class Clock:
    """Monotonic Unix time in ms: the event loop's clock plus its offset to Unix time, read once at start."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._time = loop.time
        self._unix_offset_s = time.time() - loop.time()

    def unix_ms(self, loop_time_s: float | None = None) -> float:
        """Return the Unix time in ms at `loop_time_s` of the event loop's clock; by default, now."""
        return ((self._time() if loop_time_s is None else loop_time_s) + self._unix_offset_s) * 1000.0

    def step_ms(self) -> float:
        """Return by how many ms the wall clock is ahead of this clock; it has stepped since the start."""
        return time.time() * 1000.0 - self.unix_ms()

    def to_loop_time(self, unix_ms: float) -> float:
        """Return the event loop's time in s for a Unix time in ms."""
        return unix_ms / 1000.0 - self._unix_offset_s
