"""One attempt: sends a request to one endpoint and ends with exactly one result."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.address import Address
from loadbalancer.node.http.body import Body
from loadbalancer.node.http.client_connection import ClientConnection
from loadbalancer.node.http.response import Response
from loadbalancer.node.upstream.endpoint import PooledEndpoint

log = logging.getLogger("loadbalancer")

UPLOAD_CHECKS = 20  # in the time after which an upload whose endpoint receives nothing is ended
MIN_TIMER_S = 0.001  # less may be too little to advance the loop time
STREAM_IDLE_TIMEOUT_S = 10.0  # a streamed body without progress for this time is abandoned
REJECTION_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)
REJECTION_HEADER, REJECTION_VALUE = b"srv-declined", b"1"  # marks a response as a rejection


class ConnectionSource(Protocol):
    """Interface of the connection pool, as attempts use it."""

    malformed_responses: int
    connect_timeout_s: float
    on_sent: Callable[[], None]

    def acquire_idle(self, endpoint: PooledEndpoint) -> ClientConnection | None:
        """Remove a usable idle connection from the pool and return it, or return None."""

    def release(self, endpoint: PooledEndpoint, connection: ClientConnection) -> None:
        """Return a connection to the pool."""

    def ensure_capacity(self) -> bool:
        """Free capacity if needed; return whether a connection may be opened."""
        ...

    def track_opening(self, task: asyncio.Task[None]) -> None:
        """Count the connection that this task opens towards the limit."""

    async def open_connection(self, address: Address) -> ClientConnection:
        """Open a connection."""
        ...


def classify_response(response: Response) -> AttemptResult:
    """Return the attempt result for an endpoint's response."""
    if response.status == HTTPStatus.OK:
        return AttemptResult.OK
    rejected = response.headers.get(REJECTION_HEADER) == REJECTION_VALUE
    if rejected and response.status in REJECTION_STATUSES:
        return AttemptResult.REJECTED
    return AttemptResult.ERROR


class Attempt:
    """Sends a request to an endpoint and receives the response.

    `encode_request` returns the bytes to send, given the remaining timeout (s). A streamed `body` is sent
    after them. `is_awaited` returns whether the client still waits for the response. `written_by` is the loop
    time (s) by which the last byte must have been written. `on_result` is called once; for a streamed
    response it is called when the stream starts.
    """

    def __init__(
        self,
        pool: ConnectionSource,
        encode_request: Callable[[float], bytes],
        timeout_s: float,
        on_result: Callable[[AttemptResult, Response | None], None],
        body: Body | None = None,
        chunked: bool = False,
        is_awaited: Callable[[], bool] = lambda: True,
        written_by: float = math.inf,
    ) -> None:
        self._pool = pool
        self._is_awaited = is_awaited
        self._chunked = chunked
        self._body = body
        self._timeout_s = timeout_s
        # While an endpoint reads nothing of a streamed body, the request's last byte may already have arrived
        # and wait unread. The client timeout starts at that byte, so it limits the wait for the endpoint.
        self._upload_timeout_s = min(STREAM_IDLE_TIMEOUT_S, timeout_s)
        self._encode_request = encode_request
        self._on_result = on_result
        self._ended = False
        self._endpoint: PooledEndpoint | None = None
        self._connection: ClientConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        loop = self._loop = asyncio.get_running_loop()
        self._deadline = loop.time() + timeout_s
        self._written_by = written_by
        bounded = written_by < math.inf
        self._write_timer = loop.call_at(written_by, self.withdraw) if bounded else None
        if body is None or body.ended:
            self._timer = loop.call_at(self._deadline, self._on_timeout)
        else:
            self._timer = loop.call_later(self._upload_timeout_s / UPLOAD_CHECKS, self._watch_upload)

    def start(self, endpoint: PooledEndpoint) -> None:
        """Write the request to an idle connection, or open a connection.

        Results are reported in a later loop iteration, after the action that started the attempt has ended.
        """
        self._endpoint = endpoint
        loop = self._loop
        if not self._may_write():
            loop.call_soon(self.withdraw, AttemptResult.ABANDONED)
        elif (connection := self._pool.acquire_idle(endpoint)) is not None:
            self._write(connection)
        elif self._pool.ensure_capacity():
            endpoint.waiting.add(self)
            self._connect_task = asyncio.create_task(self._open(endpoint))
            self._pool.track_opening(self._connect_task)
        else:
            loop.call_soon(self.withdraw)

    def start_timeout(self, limit_s: float) -> None:
        """Start the timeout, at most `limit_s`, as the request's last byte has been received."""
        if not self._ended:
            self._timer.cancel()
            loop = self._loop
            self._deadline = loop.time() + min(self._timeout_s, limit_s)
            self._timer = loop.call_at(self._deadline, self._on_timeout)

    def cancel(self) -> None:
        """End the attempt, even if it has been written."""
        self._finish(AttemptResult.CANCELLED)

    def withdraw(self, result: AttemptResult = AttemptResult.CONNECT_FAILED) -> None:
        """End the attempt, unless it has been written completely and may therefore be executed."""
        if self._connection is None or not self._connection.written:
            self._finish(result)

    # ---------------------------------------------------------------- Exchange

    def on_request_sent(self) -> None:
        """Report that the request has been written completely."""
        self._pool.on_sent()

    def on_response(self, response: Response) -> None:
        """Return the connection to the pool, and end the attempt with the response's result."""
        connection, self._connection = self._connection, None
        if connection is not None and self._endpoint is not None:
            self._pool.release(self._endpoint, connection)
        if self._ended:  # ended when its streamed response started
            self._timer.cancel()
        else:
            self._finish(classify_response(response), response)

    def on_stream_started(self, response: Response) -> None:
        """Report the result of a streamed response; from now on only the connection is supervised."""
        self._ended = True
        self._timer.cancel()
        self._watch_stream()
        self._on_result(classify_response(response), response)

    def on_connection_lost(self, written: bool) -> None:
        """End the attempt, or the streamed response that it has started."""
        connection, self._connection = self._connection, None
        if connection is not None and connection.malformed:
            self._pool.malformed_responses += 1
        if self._ended and connection is not None:
            self._timer.cancel()
            connection.fail_stream()
        self._finish(AttemptResult.RESET if written else AttemptResult.CONNECT_FAILED)

    # ---------------------------------------------------------------- internals

    def _may_write(self) -> bool:
        """Whether the first byte may be written in this loop iteration.

        Checked immediately before writing: at the start for an idle connection, and again once a new
        connection is open. By then the client may have disconnected, the request may have been answered, its
        deadline may have passed, or a retry may no longer be safe. Removal of the endpoint from the list ends
        the attempt separately (`remove_endpoint`).
        """
        receiving = self._body is not None and not self._body.ended
        now = self._loop.time()
        in_time = (receiving or now < self._deadline) and now < self._written_by
        replayable = self._body is None or self._body.replayable
        return not self._ended and in_time and replayable and self._is_awaited()

    async def _open(self, endpoint: PooledEndpoint) -> None:
        try:
            async with asyncio.timeout(self._pool.connect_timeout_s):
                connection = await self._pool.open_connection(endpoint.address)
        except Exception as error:
            # A refused connection or a timeout (OSError) is an expected result. Any other error, such as an
            # invalid address, is reported nowhere else.
            if not isinstance(error, OSError):
                log.exception("failed to connect to %s", endpoint.address)
            self._connect_task = None
            self.withdraw()
            return
        self._connect_task = None
        endpoint.waiting.discard(self)
        if not connection.usable:
            # A request written to a connection that the endpoint has closed would be reset and counted as
            # possibly executed, although it can't have been.
            connection.abort()
            self.withdraw()
        elif self._may_write():
            self._write(connection)
        else:
            self._pool.release(endpoint, connection)
            self.withdraw(AttemptResult.ABANDONED)

    def _write(self, connection: ClientConnection) -> None:
        self._connection = connection
        now = self._loop.time()
        receiving = self._body is not None and not self._body.ended
        remaining_s = self._timeout_s if receiving else self._deadline - now
        connection.start(self._encode_request(remaining_s), self, self._body, self._chunked)

    def _watch_upload(self) -> None:
        """End the attempt if the endpoint stops receiving the body; the listener supervises the client."""
        now, silent_s = self._loop.time(), 0.0
        if self._connection is not None and self._body is not None and self._body.paused:
            silent_s = self._connection.upload_silent_s(now)
        remaining_s = self._upload_timeout_s - silent_s
        if remaining_s < MIN_TIMER_S:
            self._finish(AttemptResult.CONNECT_FAILED)
            return
        check_s = min(remaining_s, self._upload_timeout_s / UPLOAD_CHECKS)
        self._timer = self._loop.call_at(now + check_s, self._watch_upload)

    def _watch_stream(self) -> None:
        """Abandon a streamed response if the endpoint sends nothing while the client is ready to receive."""
        connection = self._connection
        if connection is None:
            return
        loop = self._loop
        due = (loop.time() if connection.stream_paused else connection.last_data_at) + STREAM_IDLE_TIMEOUT_S
        if due <= loop.time():
            connection.abandon()
        else:
            self._timer = loop.call_at(due, self._watch_stream)

    def _on_timeout(self) -> None:
        # A request that was not written completely can't have been executed, so it is safe to retry it.
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
        if self._connection is not None:  # HTTP/1.1 has no other way to cancel a request
            self._connection.abort()
        self._on_result(result, response)
