"""A timer that can be rescheduled."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class RestartableTimer:
    """Calls `callback` at the scheduled time; scheduling again replaces a time that is still pending."""

    def __init__(self, callback: Callable[[], None]) -> None:
        """Must be called on the running event loop."""
        self._loop = asyncio.get_running_loop()
        self._callback = callback
        self._timer: asyncio.TimerHandle | None = None

    def schedule(self, loop_time: float) -> None:
        """Schedule the callback for this time of the event loop, in s; replace an earlier schedule."""
        self.cancel()
        self._timer = self._loop.call_at(loop_time, self._callback)

    def cancel(self) -> None:
        """Cancel the scheduled callback, if any."""
        if self._timer is not None:
            self._timer.cancel()
