"""An event loop on its own thread, to which a test's thread submits work."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")
RESULT_TIMEOUT_S = 10.0  # a loop that takes longer over one call is stuck, and the test should fail


class LoopThread:
    """An event loop that runs on a daemon thread until closed."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run the coroutine on the loop and return its result; raise TimeoutError after 10 s."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(RESULT_TIMEOUT_S)

    def call(self, work: Callable[[], T]) -> T:
        """Call work() on the loop, between its callbacks; return or raise what it does."""

        async def done() -> T:
            return work()

        return self.run(done())

    def close(self) -> None:
        """Cancel every task on the loop, then stop the loop and its thread."""

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
