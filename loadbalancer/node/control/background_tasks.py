"""Background tasks that are cancelled when their owner closes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger("loadbalancer")


class BackgroundTasks:
    """A set of running tasks; an exception in one is logged and does not affect the others."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine until it ends or `close` is called."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def close(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("control: background task failed: %r", error)
