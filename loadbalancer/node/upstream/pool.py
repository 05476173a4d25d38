"""The servers' side: pooled connections to each server, and attempts that end with exactly one result."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.address import Address
from loadbalancer.node.http.body import Body
from loadbalancer.node.http.client_connection import ClientConnection, Response

log = logging.getLogger("loadbalancer")

STREAM_IDLE_TIMEOUT_S = 10.0  # a long answer of which nothing has come for so long will not be finished
IDLE_TIMEOUT_RATIO = 0.5  # of the time after which a server closes an idle connection: ours goes well before
REUSE_DELAY_S = (
    0.008  # a connection carries no other request so soon after an answer: a second one may come late
)


def classify_response(response: Response) -> AttemptResult:
    """The outcome that a server's whole answer stands for."""
    if response.status == 200:
        return AttemptResult.OK
    if response.status in (503, 504) and response.headers.get(b"srv-declined") == b"1":
        return AttemptResult.REJECTED
    return AttemptResult.ERROR


@dataclass(slots=True, eq=False)
class PooledEndpoint:
    address: Address
    launched_ms: float | None
    idle: list[ClientConnection] = field(default_factory=list)  # newest last
    waiting: set[Attempt] = field(default_factory=set)  # attempts whose connection is not up yet


class Attempt:
    """One request on its way to one server."""

    def __init__(
        self,
        pool: ConnectionPool,
        encode_request: Callable[[float], bytes],
        timeout_s: float,
        on_result: Callable[[AttemptResult, Response | None], None],
        body: Body | None = None,
        chunked: bool = False,
        is_awaited: Callable[[], bool] = lambda: True,
        written_by: float = math.inf,
    ) -> None:
        self._pool = pool
        self._is_awaited = is_awaited  # whether anybody still waits for its answer
        self._chunked = chunked
        self._body = body  # what follows those bytes, if it is long
        self._timeout_s = timeout_s
        # Guard: of a long request that its server stops taking the last byte may have come and wait unread,
        # and its caller waits for no longer than this from then on.
        self._upload_timeout_s = min(STREAM_IDLE_TIMEOUT_S, timeout_s)
        self._encode_request = encode_request  # the bytes to send, given the seconds left to wait
        self._on_result = on_result
        self._ended = False
        self._endpoint: PooledEndpoint | None = None
        self._connection: ClientConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        loop = asyncio.get_running_loop()
        self._deadline = loop.time() + timeout_s
        self._written_by = written_by  # the loop's time by which its last byte has left, or never will
        bounded = written_by < math.inf
        self._write_timer = loop.call_at(written_by, self.withdraw) if bounded else None
        if body is None or body.ended:
            self._timer = loop.call_at(self._deadline, self._time_out)
        else:
            self._timer = loop.call_later(self._upload_timeout_s, self._watch_upload)

    def start_timeout(self, limit_s: float) -> None:
        """The request's last byte has come: its client waits for so long from now."""
        if not self._ended:
            self._timer.cancel()
            loop = asyncio.get_running_loop()
            self._deadline = loop.time() + min(self._timeout_s, limit_s)
            self._timer = loop.call_at(self._deadline, self._time_out)

    def cancel(self) -> None:
        self._finish(AttemptResult.CANCELLED)

    def withdraw(self, result: AttemptResult = AttemptResult.CONNECT_FAILED) -> None:
        """Give up, unless it has been written whole and may run by now."""
        if self._connection is None or not self._connection.written:
            self._finish(result)

    # ----------------------------------------------------------- for the connection

    def on_request_sent(self) -> None:
        self._pool.on_sent()

    def on_response(self, response: Response) -> None:
        connection, self._connection = self._connection, None
        if connection is not None and self._endpoint is not None:
            self._pool.release(self._endpoint, connection)
        if self._ended:  # it had begun before, and that was its result
            self._timer.cancel()
        else:
            self._finish(classify_response(response), response)

    def on_stream_begun(self, response: Response) -> None:
        # The first bytes of a long answer are what counts; from here on the connection alone is at stake.
        self._ended = True
        self._timer.cancel()
        self._watch_stream()
        self._on_result(classify_response(response), response)

    def on_connection_lost(self, written: bool) -> None:
        connection, self._connection = self._connection, None
        if connection is not None and connection.malformed:
            self._pool.malformed_responses += 1
        if self._ended and connection is not None:
            self._timer.cancel()
            connection.fail_stream()
        self._finish(AttemptResult.RESET if written else AttemptResult.CONNECT_FAILED)

    # -------------------------------------------------------------------- inside

    def start(self, server: PooledEndpoint) -> None:
        self._endpoint = server
        loop = asyncio.get_running_loop()
        # Told later, as every result is, so that the action that asked for the attempt is over by then.
        if not self._may_write():
            loop.call_soon(self.withdraw, AttemptResult.ABANDONED)
        elif (connection := self._pool.acquire_idle(server)) is not None:
            self._write(connection)
        elif self._pool.ensure_capacity():
            server.waiting.add(self)
            self._connect_task = asyncio.create_task(self._open(server))
            self._pool.track_opening(self._connect_task)
        else:
            loop.call_soon(self.withdraw)

    def _may_write(self) -> bool:
        """Whether its first byte may go now. Asked in the turn of the loop that would write it: at once on a
        connection that is kept, and once more when a new one has come up. By then its caller may have gone,
        its request have its answer, its time be over, a repeat no longer be harmless, or its server have left
        the list (Pool.remove ends it)."""
        coming = self._body is not None and not self._body.ended
        now = asyncio.get_running_loop().time()
        in_time = (coming or now < self._deadline) and now < self._written_by
        held = self._body is None or self._body.replayable  # from its first byte on
        return not self._ended and in_time and held and self._is_awaited()

    async def _open(self, server: PooledEndpoint) -> None:
        try:
            async with asyncio.timeout(self._pool.connect_timeout_s):
                connection = await self._pool.open_connection(server.address)
        except Exception as error:
            # Guard: of any other fault than a refusal or a time-out nobody was told, as of no valid address.
            if not isinstance(error, OSError):  # as a time-out is one
                log.exception("no connection to %s", server.address)
            self._connect_task = None
            self.withdraw()
            return
        self._connect_task = None
        server.waiting.discard(self)
        if not connection.usable:
            # Guard: a request written after a server's end would be a reset, though it can't have run.
            connection.abort()
            self.withdraw()
        elif self._may_write():
            self._write(connection)
        else:
            self._pool.release(server, connection)
            self.withdraw(AttemptResult.ABANDONED)

    def _write(self, connection: ClientConnection) -> None:
        self._connection = connection
        now = asyncio.get_running_loop().time()
        coming = self._body is not None and not self._body.ended
        left = self._timeout_s if coming else self._deadline - now
        connection.upload_progress_at = now
        connection.start(self._encode_request(left), self, self._body, self._chunked)

    def _watch_upload(self) -> None:
        """Give up on a server that takes nothing of a long request; its caller is watched elsewhere."""
        loop = asyncio.get_running_loop()
        connection, due = self._connection, loop.time() + self._upload_timeout_s
        if connection is not None and self._body is not None and self._body.paused:
            due = connection.upload_progress_at + self._upload_timeout_s
        if due <= loop.time():
            self._finish(AttemptResult.CONNECT_FAILED)
        else:
            self._timer = loop.call_at(due, self._watch_upload)

    def _watch_stream(self) -> None:
        """Give a long answer up once its server has sent nothing for too long, though it might have."""
        connection = self._connection
        if connection is None:
            return
        loop = asyncio.get_running_loop()
        due = (loop.time() if connection.stream_paused else connection.last_data_at) + STREAM_IDLE_TIMEOUT_S
        if due <= loop.time():
            connection.abandon()
        else:
            self._timer = loop.call_at(due, self._watch_stream)

    def _time_out(self) -> None:
        # Guard: what has not been written whole has never run, and a refusal may then say so.
        sent = self._connection is not None and self._connection.written
        self._finish(AttemptResult.TIMEOUT if sent else AttemptResult.CONNECT_FAILED)

    def _finish(self, result: AttemptResult, response: Response | None = None) -> None:
        if self._ended:
            return
        self._ended = True
        self._timer.cancel()
        if self._write_timer is not None:
            self._write_timer.cancel()
        if self._endpoint is not None:
            self._endpoint.waiting.discard(self)
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._connection is not None:  # closing is how an attempt is given up
            self._connection.abort()
        self._on_result(result, response)


class ConnectionPool:
    """Connections to all servers, at most `limit` of them, the newest idle one used first."""

    def __init__(
        self,
        limit: int,
        server_idle_s: float,
        connect_timeout_s: float,
        on_sent: Callable[[], None] = lambda: None,
    ) -> None:
        self.max_connections = limit
        self.connect_timeout_s = connect_timeout_s
        self.on_sent = on_sent  # told of each attempt written whole
        self.malformed_responses = 0  # answers that were lost as they could not be read
        self._idle_s = server_idle_s * IDLE_TIMEOUT_RATIO
        self._endpoints: dict[str, PooledEndpoint] = {}
        self._connections: set[ClientConnection] = set()
        self._opening: set[asyncio.Task[None]] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def connection_count(self) -> int:
        # Guard: what is being given up goes before what is begun now; counted, it left no room for a repeat.
        return len(self._connections) + sum(not task.cancelling() for task in self._opening)

    def set_endpoint(self, name: str, endpoint: Address, launched_ms: float | None = None) -> None:
        """Name a server, its new endpoint or its latest start."""
        # Guard: a machine that vanished and is back resets what is written to connections from before.
        known = self._endpoints.get(name)
        if known is None or (known.address, known.launched_ms) != (endpoint, launched_ms):
            self.remove_endpoint(name)
            self._endpoints[name] = PooledEndpoint(endpoint, launched_ms)

    def remove_endpoint(self, name: str) -> None:
        """Nothing new goes to this server: what waits for a connection to it is given up unsent."""
        # Guard: an attempt that waits to connect as the drain is told could send its first byte too late.
        server = self._endpoints.pop(name, None)
        if server is None:
            return
        for connection in server.idle:
            connection.abort()
        server.idle.clear()
        for attempt in list(server.waiting):
            attempt.withdraw()

    def start_attempt(
        self,
        name: str,
        request: Callable[[float], bytes],
        timeout_s: float,
        on_result: Callable[[AttemptResult, Response | None], None],
        body: Body | None = None,
        chunked: bool = False,
        wanted: Callable[[], bool] = lambda: True,
        written_by: float = math.inf,
    ) -> Attempt | None:
        """Start an attempt; None if no such server is named."""
        server = self._endpoints.get(name)
        if server is None:
            return None
        attempt = Attempt(self, request, timeout_s, on_result, body, chunked, wanted, written_by)
        attempt.start(server)
        return attempt

    def keep_no_idle(self) -> None:
        """Keep no idle connection from now on: another process of this node needs its own, and both together
        may hold no more than one."""
        self._idle_s = 0.0
        for server in self._endpoints.values():
            for connection in server.idle:
                connection.abort()
            server.idle.clear()

    def close(self) -> None:
        for name in list(self._endpoints):
            self.remove_endpoint(name)
        for connection in list(self._connections):
            connection.abort()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    # -------------------------------------------------------------- for attempts

    def acquire_idle(self, server: PooledEndpoint) -> ClientConnection | None:
        now = asyncio.get_running_loop().time()
        # Guard: a second answer that came some milliseconds after the first passed for the next request's.
        # One that comes while a connection settles ends it.
        settled = sum(now - connection.idle_since >= REUSE_DELAY_S for connection in server.idle)
        while settled:
            settled -= 1
            connection = server.idle.pop(settled)
            if now - connection.idle_since < self._idle_s and connection.usable:
                return connection
            connection.abort()
        return None

    def release(self, server: PooledEndpoint, connection: ClientConnection) -> None:
        if self._idle_s <= 0.0 or not connection.usable or server not in self._endpoints.values():
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        server.idle.append(connection)
        if self._sweep_timer is None:
            self._sweep_timer = asyncio.get_running_loop().call_later(self._idle_s / 4, self._sweep)

    def ensure_capacity(self) -> bool:
        """Whether one more connection may be opened; closes the one idle for longest if need be."""
        while self.connection_count >= self.max_connections:
            idle = [(server.idle[0].idle_since, server) for server in self._endpoints.values() if server.idle]
            if not idle:
                return False
            _, server = min(idle, key=lambda pair: pair[0])
            server.idle.pop(0).abort()  # one that had ended by itself makes no room
        return True

    def track_opening(self, task: asyncio.Task[None]) -> None:
        # Guard: counted from its start, as several sends of one turn of the loop would all see the same room.
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def open_connection(self, endpoint: Address) -> ClientConnection:
        task = asyncio.current_task()
        assert task is not None
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection(self._connections.discard, streams=True), *endpoint
            )
        finally:
            # Guard: counted once from here on; the task is over only in the loop's next turn.
            self._opening.discard(task)
        self._connections.add(connection)
        return connection

    def _sweep(self) -> None:
        """Close what has been idle too long."""
        loop = asyncio.get_running_loop()
        self._sweep_timer = None
        oldest_kept = loop.time() - self._idle_s
        for server in self._endpoints.values():
            while server.idle and server.idle[0].idle_since < oldest_kept:
                server.idle.pop(0).abort()
        if any(server.idle for server in self._endpoints.values()):
            self._sweep_timer = loop.call_later(self._idle_s / 4, self._sweep)
