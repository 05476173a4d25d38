"""The operators' door: one call to a connection, parsed here, answered by the part of the node it is for."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

import httptools

from loadbalancer.node.address import Address

log = logging.getLogger("loadbalancer")

MAX_REQUEST_BYTES = 16 * 1024  # bytes of one call, head and body
MAX_CONNECTIONS = 16  # calls under way at once; of more, the oldest goes
REQUEST_TIMEOUT_S = 5.0  # how long a call may take to come in
LINGER_S = 1.0  # how long what a visitor still sends after its answer is read and dropped


@dataclass(slots=True, frozen=True)
class AdminResponse:
    status: int
    body: bytes = b""


def ok_or_unavailable(yes: bool) -> AdminResponse:
    return AdminResponse(200 if yes else 503)


# By method and path, each given the body; an answer that others have to give first may be awaited.
AdminRoutes = Mapping[tuple[bytes, bytes], Callable[[bytes], AdminResponse | Awaitable[AdminResponse]]]


class _AdminConnection(asyncio.Protocol):
    """One connection to the door, and the one call on it."""

    def __init__(self, door: AdminServer) -> None:
        self._door = door
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._target = bytearray()
        self._body = bytearray()
        self._size = 0
        self._whole = False
        self._over = False
        self._answered = False
        self._waits: asyncio.Future[AdminResponse] | None = None  # of a call that others have to answer first
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._timer = self._door.loop.call_later(REQUEST_TIMEOUT_S, self._answer, AdminResponse(408))
        self._door.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        if self._over:
            return  # read and dropped, so that the answer is not lost to a reset
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._whole:
                self._answer(AdminResponse(400))
                return
        if self._size > MAX_REQUEST_BYTES:
            self._answer(AdminResponse(413))
        elif self._whole:
            answer = self._door.dispatch(self._parser.get_method(), bytes(self._target), bytes(self._body))
            if isinstance(answer, AdminResponse):
                self._answer(answer)
            else:
                self._over = True
                self._waits = asyncio.ensure_future(answer)
                self._waits.add_done_callback(lambda done: self._answer(done.result()))

    def connection_lost(self, exc: Exception | None) -> None:
        self._over = True
        if self._timer is not None:
            self._timer.cancel()
        self._door.connection_closed(self)

    def abort(self) -> None:
        self._transport.abort()

    def _answer(self, answer: AdminResponse) -> None:
        if self._answered or self._transport.is_closing():
            return  # too late, or nobody waits for it any more
        self._over = self._answered = True
        head = (
            f"HTTP/1.1 {answer.status} {HTTPStatus(answer.status).phrase}\r\n"
            f"Content-Type: text/plain; charset=utf-8\r\nContent-Length: {len(answer.body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self._transport.write(head.encode() + answer.body)
        if self._timer is not None:
            self._timer.cancel()
        try:
            self._transport.write_eof()
        except OSError:  # Guard: the operator has left, and a reset came on the answer just written
            self._transport.abort()
        else:
            self._timer = self._door.loop.call_later(LINGER_S, self._transport.abort)

    # --------------------------------------------------------- httptools callbacks

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if not self._whole:
            self._body += body

    def on_message_complete(self) -> None:
        self._whole = True


class AdminServer:
    """Listens at the operators' address."""

    def __init__(self, calls: AdminRoutes) -> None:
        self.loop = asyncio.get_running_loop()
        self._routes = calls
        self._connections: dict[_AdminConnection, None] = {}  # in the order of their opening
        self._listener: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        assert self._listener is not None
        host, port = self._listener.sockets[0].getsockname()[:2]
        return host, port

    async def open(self, address: Address) -> None:
        self._listener = await self.loop.create_server(lambda: _AdminConnection(self), *address)

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        for visit in list(self._connections):
            visit.abort()

    # ---------------------------------------------------------------- for visits

    def connection_opened(self, visit: _AdminConnection) -> None:
        self._connections[visit] = None
        if (
            len(self._connections) > MAX_CONNECTIONS
        ):  # Guard: callers that finish no call must not keep others out
            next(iter(self._connections)).abort()

    def connection_closed(self, visit: _AdminConnection) -> None:
        self._connections.pop(visit, None)

    def dispatch(self, method: bytes, target: bytes, body: bytes) -> AdminResponse | Awaitable[AdminResponse]:
        """What the node says to a call, now or later; only calls that change something are worth a line."""
        path = target.partition(b"?")[0]
        method_of = self._routes.get((method, path))
        if method_of is None:
            return AdminResponse(405 if any(path == known for _, known in self._routes) else 404)
        try:
            answer = method_of(body)
        except Exception:
            answer = self._fault(path)
        if isinstance(answer, AdminResponse):
            return self._said(method, path, body, answer)
        return self._later(method, path, body, answer)

    async def _later(
        self, method: bytes, path: bytes, body: bytes, answer: Awaitable[AdminResponse]
    ) -> AdminResponse:
        try:
            return self._said(method, path, body, await answer)
        except Exception:
            return self._said(method, path, body, self._fault(path))

    def _fault(self, path: bytes) -> AdminResponse:
        # Guard: a fault behind one call is a no to its caller, and no end of the others.
        log.exception("operators' call %s failed", path.decode("latin-1"))
        return AdminResponse(500)

    def _said(self, method: bytes, path: bytes, body: bytes, answer: AdminResponse) -> AdminResponse:
        if method != b"GET":
            said = body[:80].decode("utf-8", "replace").strip()
            log.info("operators: %s %r: %d", path.decode("latin-1"), said, answer.status)
        return answer
