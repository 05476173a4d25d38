"""What the node does by the clock: its beat, and a line of figures in the log."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Sequence

from loadbalancer.node.balancer_driver import Driver
from loadbalancer.node.listener.server import Server
from loadbalancer.node.request_registry import Jobs
from loadbalancer.node.upstream.pool import Pool

log = logging.getLogger("loadbalancer")

STATS_S = 5.0
BEAT_S = 0.1


class PeriodicTasks:
    """Calls `each_beat` ten times a second, and logs what `counts` has gathered since the last line."""

    def __init__(
        self,
        name: str,
        each_beat: Sequence[Callable[[], None]],
        counts: Counter[str],
        jobs: Jobs,
        server: Server,
        pool: Pool,
        driver: Driver,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._name = name
        self._each_beat = each_beat
        self._counts = counts
        self._jobs = jobs
        self._server = server
        self._pool = pool
        self._driver = driver
        self._lag = 0.0  # the longest that the loop was late in this stretch
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def start(self) -> None:
        self.tick(self._loop.time())
        self._stats()

    def close(self) -> None:
        for timer in self._timers.values():
            timer.cancel()

    def tick(self, due: float) -> None:
        """One beat, which was due at this time of the loop."""
        now = self._loop.time()
        self._lag = max(self._lag, now - due)
        for act in self._each_beat:
            act()
        self._timers["beat"] = self._loop.call_at(now + BEAT_S, self.tick, now + BEAT_S)

    def _stats(self) -> None:
        """One line of figures every few seconds."""
        if self._server.expired:
            self._counts["no request in time"] += self._server.expired
            self._server.expired = 0
        if self._pool.unreadable:
            self._counts["unreadable answers"] += self._pool.unreadable
            self._pool.unreadable = 0
        figures = ", ".join(f"{name} {count}" for name, count in sorted(self._counts.items()))
        log.info(
            "%s: %s; open %d, callers %d, upstream %d, loop late %.0f ms; module: %s",
            self._name,
            figures,
            self._jobs.open,
            len(self._server.connections),
            self._pool.size,
            self._lag * 1000.0,
            self._driver.balancer.summary(),
        )
        self._counts.clear()
        self._lag = 0.0
        self._timers["stats"] = self._loop.call_later(STATS_S, self._stats)
