"""A timer that can be rescheduled."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class RestartableTimer:
    """Calls `callback` at one time at most; scheduling it again replaces the earlier time."""

    def __init__(self, callback: Callable[[], None]) -> None:
        """To be made on the running event loop."""
        self._loop = asyncio.get_running_loop()
        self._callback = callback
        self._timer: asyncio.TimerHandle | None = None

    def schedule(self, loop_time: float) -> None:
        """Call back at this time of the event loop, in s, and at no earlier one."""
        self.cancel()
        self._timer = self._loop.call_at(loop_time, self._callback)

    def cancel(self) -> None:
        """Do not call back any more."""
        if self._timer is not None:
            self._timer.cancel()
