"""The node's periodic work: short tasks every tick, and a statistics line in the log."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Sequence

from loadbalancer.node.balancer_driver import BalancerDriver
from loadbalancer.node.listener.listener import Listener
from loadbalancer.node.request_registry import RequestRegistry
from loadbalancer.node.upstream.pool import ConnectionPool

log = logging.getLogger("loadbalancer")

STATISTICS_INTERVAL_S = 5.0
TICK_INTERVAL_S = 0.1


class PeriodicTasks:
    """Calls `tasks` every tick, and logs `event_counts` and gauges once per statistics interval."""

    def __init__(
        self,
        name: str,
        tasks: Sequence[Callable[[], None]],
        event_counts: Counter[str],
        request_registry: RequestRegistry,
        listener: Listener,
        pool: ConnectionPool,
        driver: BalancerDriver,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._name = name
        self._tasks = tasks
        self._event_counts = event_counts  # since the last statistics line
        self._request_registry = request_registry
        self._listener = listener
        self._pool = pool
        self._driver = driver
        self._max_lag_s = 0.0  # longest delay of a tick since the last statistics line
        self._tick_timer: asyncio.TimerHandle | None = None
        self._statistics_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Run the first tick and log the first statistics line; both repeat from now on."""
        self.tick(self._loop.time())
        self._log_statistics()

    def close(self) -> None:
        """Cancel both timers."""
        for timer in (self._tick_timer, self._statistics_timer):
            if timer is not None:
                timer.cancel()

    def tick(self, due: float) -> None:
        """Run the tasks of the tick that was due at `due` (loop time, s), and schedule the next tick."""
        now = self._loop.time()
        self._max_lag_s = max(self._max_lag_s, now - due)
        for task in self._tasks:
            task()
        next_due = now + TICK_INTERVAL_S
        self._tick_timer = self._loop.call_at(next_due, self.tick, next_due)

    def _log_statistics(self) -> None:
        self._collect_counts()
        log.info(
            "%s: %s; open requests %d, client connections %d, upstream connections %d, loop lag %.0f ms;"
            " balancer: %s",
            self._name,
            ", ".join(f"{name} {count}" for name, count in sorted(self._event_counts.items())),
            self._request_registry.unanswered,
            len(self._listener.connections),
            self._pool.connection_count,
            self._max_lag_s * 1000.0,
            self._driver.balancer.summary(),
        )
        self._event_counts.clear()
        self._max_lag_s = 0.0
        self._statistics_timer = self._loop.call_later(STATISTICS_INTERVAL_S, self._log_statistics)

    def _collect_counts(self) -> None:
        """Move the counts of the listener and the pool into `event_counts`; a count of 0 gets no entry."""
        if self._listener.expired:
            self._event_counts["request timeouts"] += self._listener.expired
            self._listener.expired = 0
        if self._listener.malformed_requests:
            self._event_counts["malformed requests"] += self._listener.malformed_requests
            self._listener.malformed_requests = 0
        if self._pool.malformed_responses:
            self._event_counts["malformed responses"] += self._pool.malformed_responses
            self._pool.malformed_responses = 0
