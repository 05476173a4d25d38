"""The pool of connections to endpoints, with a limited number and idle time."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.address import Address
from loadbalancer.node.http.body import Body
from loadbalancer.node.http.client_connection import MAX_BUFFERED_BYTES, ClientConnection
from loadbalancer.node.http.read_buffer import READ_BYTES
from loadbalancer.node.http.response import Response
from loadbalancer.node.http.turn_scheduler import TurnScheduler
from loadbalancer.node.memory_budget import MemoryBudget
from loadbalancer.node.upstream.attempt import Attempt
from loadbalancer.node.upstream.endpoint import PooledEndpoint

# The pool closes an idle connection after this part of the endpoints' idle timeout, so that no request is
# written to a connection that its endpoint is closing.
IDLE_TIMEOUT_RATIO = 0.5
REUSE_DELAY_S = 0.008  # an unexpected second response within this time of the first ends the connection
SWEEPS_PER_IDLE_TIMEOUT = 4


class ConnectionPool:
    """Holds at most `limit` connections to all endpoints; reuses the most recently used idle one first.

    `endpoint_idle_s` is the time after which endpoints close idle connections. `on_sent` is called once per
    attempt, when its request has been written completely.
    """

    def __init__(
        self,
        limit: int,
        endpoint_idle_s: float,
        connect_timeout_s: float,
        on_sent: Callable[[], None] = lambda: None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.max_connections = limit if memory is None else min(limit, memory.max_upstream_connections)
        self.connect_timeout_s = connect_timeout_s
        self.on_sent = on_sent
        self._read_buffer = bytearray(READ_BYTES) if memory is None else memory.read_buffer
        self._max_buffered_bytes = MAX_BUFFERED_BYTES if memory is None else memory.buffer_bytes
        self.malformed_responses = 0  # number of attempts ended by a malformed response
        self._idle_timeout_s = endpoint_idle_s * IDLE_TIMEOUT_RATIO  # 0: idle connections are not retained
        self._endpoints: dict[str, PooledEndpoint] = {}
        self._connections: set[ClientConnection] = set()
        self._opening: set[asyncio.Task[None]] = set()
        self._turns = TurnScheduler()
        self._loop = asyncio.get_running_loop()
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def connection_count(self) -> int:
        """The number of connections that are open or being opened.

        One whose opening has been cancelled doesn't count: it is closed before a new connection is open.
        """
        return len(self._connections) + sum(not task.cancelling() for task in self._opening)

    def set_endpoint(self, name: str, address: Address, launched_ms: float | None = None) -> None:
        """Add an endpoint, or update its address or the start time (Unix ms) of its process.

        Connections to an earlier process are closed: a machine that failed and restarted would reset requests
        written to them.
        """
        known = self._endpoints.get(name)
        if known is None or (known.address, known.launched_ms) != (address, launched_ms):
            self.remove_endpoint(name)
            self._endpoints[name] = PooledEndpoint(address, launched_ms)

    def remove_endpoint(self, name: str) -> None:
        """Remove an endpoint: close its idle connections and end the attempts that wait for a connection."""
        endpoint = self._endpoints.pop(name, None)
        if endpoint is None:
            return
        endpoint.close_idle()
        for attempt in list(endpoint.waiting):
            attempt.withdraw()

    def start_attempt(
        self,
        name: str,
        encode_request: Callable[[float], bytes],
        timeout_s: float,
        on_result: Callable[[AttemptResult, Response | None], None],
        body: Body | None = None,
        chunked: bool = False,
        is_awaited: Callable[[], bool] = lambda: True,
        written_by: float = math.inf,
    ) -> Attempt | None:
        """Start an attempt (see `Attempt`) at the named endpoint; return None if it is unknown."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return None
        attempt = Attempt(self, encode_request, timeout_s, on_result, body, chunked, is_awaited, written_by)
        attempt.start(endpoint)
        return attempt

    def disable_keep_alive(self) -> None:
        """Close idle connections and retain none from now on.

        Used during a handover, when two processes share the descriptor limit of one process.
        """
        self._idle_timeout_s = 0.0
        for endpoint in self._endpoints.values():
            endpoint.close_idle()

    def close(self) -> None:
        """Remove all endpoints and close all connections; stop the idle sweep."""
        for name in list(self._endpoints):
            self.remove_endpoint(name)
        for connection in list(self._connections):
            connection.abort()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    # ---------------------------------------------------------------- for attempts

    def acquire_idle(self, endpoint: PooledEndpoint) -> ClientConnection | None:
        """Remove and return the most recently used idle connection that is usable and past its reuse delay.

        A second response within milliseconds of the first would be taken for the next request's response;
        during the reuse delay it ends the connection instead.
        """
        now = self._loop.time()
        reusable = sum(now - connection.idle_since >= REUSE_DELAY_S for connection in endpoint.idle)
        while reusable:
            reusable -= 1
            connection = endpoint.idle.pop(reusable)
            if now - connection.idle_since < self._idle_timeout_s and connection.usable:
                return connection
            connection.abort()
        return None

    def release(self, endpoint: PooledEndpoint, connection: ClientConnection) -> None:
        """Retain the connection as idle, or close it if it can't be reused."""
        if self._idle_timeout_s <= 0.0 or not connection.usable or endpoint not in self._endpoints.values():
            connection.abort()
            return
        connection.idle_since = self._loop.time()
        endpoint.idle.append(connection)
        if self._sweep_timer is None:
            self._schedule_sweep()

    def ensure_capacity(self) -> bool:
        """Close the longest idle connections if needed; return whether a connection may be opened."""
        while self.connection_count >= self.max_connections:
            idle = [
                (endpoint.idle[0].idle_since, endpoint)
                for endpoint in self._endpoints.values()
                if endpoint.idle
            ]
            if not idle:
                return False
            _, endpoint = min(idle, key=lambda pair: pair[0])
            endpoint.idle.pop(0).abort()  # frees nothing if the endpoint had already closed it
        return True

    def track_opening(self, task: asyncio.Task[None]) -> None:
        """Count a connection from the start of its task, so that attempts started in one loop iteration don't
        all use the same free capacity."""
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def open_connection(self, address: Address) -> ClientConnection:
        """Open a connection; raise OSError on failure."""
        task = asyncio.current_task()
        assert task is not None
        try:
            _, connection = await self._loop.create_connection(
                lambda: ClientConnection(
                    self._connections.discard,
                    self._max_buffered_bytes,
                    True,
                    self._read_buffer,
                    self._turns,
                ),
                *address,
            )
        finally:
            # The task itself ends in the next loop iteration; until then the connection would count twice.
            self._opening.discard(task)
        self._connections.add(connection)
        return connection

    # ---------------------------------------------------------------- idle connections

    def _schedule_sweep(self) -> None:
        delay_s = self._idle_timeout_s / SWEEPS_PER_IDLE_TIMEOUT
        self._sweep_timer = self._loop.call_later(delay_s, self._sweep)

    def _sweep(self) -> None:
        """Close connections that have been idle for the idle timeout."""
        self._sweep_timer = None
        idle_since_bound = self._loop.time() - self._idle_timeout_s
        for endpoint in self._endpoints.values():
            while endpoint.idle and endpoint.idle[0].idle_since < idle_since_bound:
                endpoint.idle.pop(0).abort()
        if any(endpoint.idle for endpoint in self._endpoints.values()):
            self._schedule_sweep()
