"""The node's periodic work: short tasks every tick, and a statistics line in the log."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Sequence

from loadbalancer.node.balancer_driver import BalancerDriver
from loadbalancer.node.listener.listener import Listener
from loadbalancer.node.memory_budget import KIB
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
        self._reported: Counter[str] = Counter()  # counts since the start that a line has reported
        self._max_lag_s = 0.0  # longest delay of a tick since the last statistics line
        self._tick_timer: asyncio.TimerHandle | None = None
        self._statistics_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Run the first tick and log the first statistics line; both repeat from now on."""
        self.tick(self._loop.time())
        self._log_statistics()

    def remove_tasks(self) -> None:
        """Call the tasks no more; the statistics continue."""
        self._tasks = ()

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
            "%s: %s; open requests %d, client connections %d, upstream connections %d, memory held %d kB,"
            " loop lag %.0f ms;"
            " balancer: %s",
            self._name,
            ", ".join(f"{name} {count}" for name, count in sorted(self._event_counts.items())),
            self._request_registry.unanswered,
            len(self._listener.connections),
            self._pool.connection_count,
            self._listener.memory.requests.reserved_bytes // KIB,
            self._max_lag_s * 1000.0,
            self._driver.balancer.summary(),
        )
        self._event_counts.clear()
        self._max_lag_s = 0.0
        self._statistics_timer = self._loop.call_later(STATISTICS_INTERVAL_S, self._log_statistics)

    def _collect_counts(self) -> None:
        """Add what the listener, the pool and the memory budget have counted since the last line."""
        for name, total in self._totals().items():
            if total > self._reported[name]:
                self._event_counts[name] += total - self._reported[name]
                self._reported[name] = total

    def _totals(self) -> dict[str, int]:
        """Return the counts since the start of the process, by their names in the statistics line."""
        listener = self._listener
        denials = {f"memory denied to {pool.name}": pool.denials for pool in listener.memory.pools}
        return denials | {
            "request timeouts": listener.expired,
            "malformed requests": listener.malformed_requests,
            "malformed responses": self._pool.malformed_responses,
            "accepts failed": listener.accept_failures,
            "closed over limit": listener.closed_over_limit,
            "closed for memory": listener.memory_denials,
            "closed as stalled": listener.closed_stalled,
        }
