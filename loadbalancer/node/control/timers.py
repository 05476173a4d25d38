"""The fleet's clock of a node, and timers and tasks that end with it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from loadbalancer.node.clock import Clock

log = logging.getLogger("loadbalancer")


class MembershipClock:
    """The node's clock in ms, off by what tests set: everything between siblings and the service stands in
    it."""

    def __init__(self, clock: Clock, offset_ms: float = 0.0) -> None:
        self._clock, self._offset_ms = clock, offset_ms

    def now_ms(self) -> float:
        return self._clock.ms() + self._offset_ms

    def to_node_ms(self, ms: float) -> float:
        """This moment by the decision module's clock."""
        return ms - self._offset_ms

    def from_node_ms(self, ms: float) -> float:
        """This moment of the decision module's clock by this one."""
        return ms + self._offset_ms

    def loop_time(self, ms: float) -> float:
        return self._clock.loop_time(ms - self._offset_ms)


class RestartableTimer:
    """One timer: `at` puts it forward or back, and no earlier one of it remains."""

    def __init__(self, act: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._act = act
        self._timer: asyncio.TimerHandle | None = None

    def schedule(self, loop_time: float) -> None:
        self.cancel()
        self._timer = self._loop.call_at(loop_time, self._act)

    def cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


class BackgroundTasks:
    """Tasks under way; one that fails by a fault says so in one line and harms no other."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("fleet: a call failed by a fault: %r", error)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
