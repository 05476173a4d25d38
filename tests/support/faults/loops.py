"""An event loop on a thread of its own, which a test's thread hands work to."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")
PATIENCE_S = 10.0  # a loop that takes longer over one piece of work is stuck, and the test should fail


class LoopThread:
    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """The coroutine's result, from the loop; TimeoutError where it takes over 10 s."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(PATIENCE_S)

    def call(self, work: Callable[[], T]) -> T:
        """work() done on the loop, between its callbacks; what it returned or raised."""

        async def done() -> T:
            return work()

        return self.run(done())

    def close(self) -> None:
        """End every task on the loop, then the loop and its thread."""

        async def end() -> None:
            tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run(end())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(5)
        if not self._thread.is_alive():
            self.loop.close()
