"""A small HTTP/1.1 server for programs of the fleet, based on httptools.

It handles the requests of a connection one at a time and responds in order, as the discovery protocol
(PROTOCOL) requires. If it can't parse a request, it responds with status 400 and closes the connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

from loadbalancer.node.address import Address
from loadbalancer.node.http.message_limits import (
    FIELD_BYTES,
    MAX_FIELDS,
    MIN_BODY_BYTES_PER_S,
    TooManyFieldsError,
)
from loadbalancer.node.http.read_buffer import READ_BYTES, BoundedReadProtocol
from loadbalancer.node.http.receive_progress import ReceiveProgress
from loadbalancer.node.http.request_parsing import RequestCallbacks, UpgradeIgnoringParser
from loadbalancer.node.http.socket_buffer import delivery
from loadbalancer.node.http.turn_parser import MalformedMessageError, TurnParser
from loadbalancer.node.http.turn_scheduler import TurnScheduler
from loadbalancer.node.memory_budget import MemoryPool

MAX_REQUEST_BODY_BYTES = 4 * 1024 * 1024
MAX_HEAD_BYTES = 64 * 1024
SERVER_IDLE_TIMEOUT_S = 75.0  # longer than any watch poll
MAX_STALL_S = 5.0  # when the server ends: a client that receives nothing for so long is disconnected
COMPLETION_TIMEOUT_S = 60.0  # when the server ends, for all clients to receive their responses
COMPLETION_CHECK_INTERVAL_S = 0.1
MAX_QUEUED_REQUESTS = 8  # pipelined requests on one connection before reading pauses
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict"}
LAST_RESPONSES = {400: b'{"error":"unreadable request"}', 503: b'{"error":"not enough memory"}'}
REASONS |= {413: "Content Too Large", 500: "Internal Server Error", 503: "Service Unavailable"}


class RequestTooLongError(ValueError):
    """A request body is longer than the server's limit."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"the request body exceeds {limit} bytes")
        self.limit = limit


@dataclass(slots=True)
class HttpRequest:
    """A request as a handler gets it.

    `query` has the first value of each name; the names in `headers` are in lower case.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class HttpResponse:
    """A response as a handler returns it."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    def encode(self, close: bool) -> bytes:
        """Encode the response; `close` adds the header `Connection: close`."""
        head = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}"]
        headers = {"content-type": "application/json", **self.headers}
        head += [f"{name}: {value}" for name, value in headers.items()]
        head.append(f"Content-Length: {len(self.body)}")
        if close:
            head.append("Connection: close")
        return ("\r\n".join(head) + "\r\n\r\n").encode() + self.body


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


@dataclass(slots=True, frozen=True)
class ServerLimits:
    """Limits of the resources that clients can use at a server."""

    body: int = MAX_REQUEST_BODY_BYTES  # bytes of one request body
    idle_s: float = SERVER_IDLE_TIMEOUT_S  # a connection without a complete request for this long is closed
    connections: int = 10_000  # with more, the oldest is closed
    memory: MemoryPool | None = None  # for what the connections hold; a request that doesn't fit gets a 503


class _SharedState:
    """What the connections of one server share."""

    def __init__(self, handler: Handler, limits: ServerLimits) -> None:
        self.handler = handler
        self.limits = limits
        self.open_connections: dict[_Connection, None] = {}  # oldest first
        self.read_buffer = bytearray(READ_BYTES)
        self.turns = TurnScheduler()


class _Connection(RequestCallbacks, BoundedReadProtocol):
    """A connection to the server. Its parsed requests are queued and handled one at a time.

    An int in the queue is the status of the last response, to a request that is not handled.
    """

    def __init__(self, shared: _SharedState) -> None:
        BoundedReadProtocol.__init__(self, shared.read_buffer)
        self._shared = shared
        self._limits = shared.limits
        self._size = 0  # bytes received since the last complete request
        self._fields = 0  # headers and trailers received since then
        self._reserved_bytes = 0
        self._ended = False  # whether the last response is queued
        self._parser = UpgradeIgnoringParser(self)
        self._turns = TurnParser(self._parser.feed_data, self)
        self.steps = 0
        self.completed = 0
        self.between_messages = True
        self.in_body = False
        self._transport: asyncio.Transport | None = None
        self._queue: asyncio.Queue[HttpRequest | int] = asyncio.Queue()
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._task: asyncio.Task[None] | None = None
        self._receive_progress = ReceiveProgress()
        self._received_bytes = 0  # since the connection was opened

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to handle requests; close the oldest connection if there are more than the limit."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._task = asyncio.create_task(self._serve())
        connections = self._shared.open_connections
        connections[self] = None
        if len(connections) > self._limits.connections:  # bounds the descriptors in use
            next(iter(connections)).abort()

    def is_delivering(self, now: float) -> bool:
        """Whether the client receives a response at loop time `now` (s); called at short intervals."""
        if self._transport is None or not self._transport.get_write_buffer_size():
            return False
        return self._receive_progress.silent_s(now, delivery(self._transport)) < MAX_STALL_S

    def abort(self) -> None:
        """Close the connection immediately."""
        self._shared.open_connections.pop(self, None)
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse the bytes; if they are malformed or too long, end the connection with a 400."""
        if self._ended:
            return
        self._received_bytes += len(data)
        self._size += len(data)
        if self._size > self._limits.body + MAX_HEAD_BYTES:  # bounds the memory of an endless head
            self._end(HTTPStatus.BAD_REQUEST)
            return
        self._take_turn(lambda: self._turns.feed(data))

    def parse_unparsed(self) -> None:
        """Parse the bytes that the last turn has left, unless enough requests are queued."""
        if self._queue.qsize() < MAX_QUEUED_REQUESTS:
            self._take_turn(self._turns.resume)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop handling requests, as the connection is closed."""
        self._shared.open_connections.pop(self, None)
        self._shared.turns.discard(self)
        if self._limits.memory is not None:
            self._limits.memory.release(self._reserved_bytes)
            self._reserved_bytes = 0
        self._turns.close()
        self._parser.close()
        if self._task is not None:
            self._task.cancel()

    def _take_turn(self, parse: Callable[[], None]) -> None:
        try:
            parse()
        except (MalformedMessageError, ValueError):
            self._end(HTTPStatus.BAD_REQUEST)
        if not self._reserve():
            self._end(HTTPStatus.SERVICE_UNAVAILABLE)
        self._continue()

    def _end(self, status: HTTPStatus) -> None:
        """Parse nothing more, and respond with this status after the requests that are queued."""
        self._turns.stop()
        self._body = bytearray()
        if not self._ended:
            self._ended = True
            self._queue.put_nowait(status)

    def _reserve(self) -> bool:
        """Update the memory that is reserved for the request in progress; return whether it fits."""
        if self._limits.memory is None:
            return True
        size = self._turns.memory_bytes + len(self._body) + self._fields * FIELD_BYTES
        growth = size - self._reserved_bytes
        if growth > 0 and not self._limits.memory.reserve(growth):
            return False
        if growth < 0:
            self._limits.memory.release(-growth)
        self._reserved_bytes = size
        return True

    def _continue(self) -> None:
        """Read more, or parse what has been read, unless enough requests are queued."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._queue.qsize() >= MAX_QUEUED_REQUESTS or self._turns.has_unparsed:
            self._transport.pause_reading()  # bounds the memory for a client that pipelines without end
        else:
            self._transport.resume_reading()
        if self._turns.has_unparsed and self._queue.qsize() < MAX_QUEUED_REQUESTS:
            self._shared.turns.add(self)

    @property
    def remaining_body(self) -> int | None:
        """The bytes left of a body with a Content-Length, else None."""
        length = self._headers.get("content-length", "")
        return int(length) - len(self._body) if self.in_body and length.isdigit() else None

    def framing_header(self, name: bytes) -> bytes | None:
        """Return the value of this header of the request in progress, or None."""
        value = self._headers.get(name.decode("latin-1"))
        return None if value is None else value.encode("latin-1")

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.steps += 1
        self.between_messages = False
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its name in lower case; raise TooManyFieldsError over the limit."""
        self.steps += 1
        self._fields += 1
        if self._fields > MAX_FIELDS:
            raise TooManyFieldsError
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Note that the body begins."""
        self.in_body = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; raise RequestTooLongError over the limit."""
        self.steps += 1
        self._body += body
        if len(self._body) > self._limits.body:
            raise RequestTooLongError(self._limits.body)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self.steps += 1
        self.completed += 1
        self.in_body, self.between_messages = False, True
        url = urlsplit(self._url.decode("latin-1"))
        fields = parse_qs(url.query, keep_blank_values=True)
        query = {name: values[0] for name, values in fields.items()}
        method = self._parser.get_method().decode("latin-1")
        self._queue.put_nowait(HttpRequest(method, url.path, query, self._headers, bytes(self._body)))
        self._url, self._headers, self._body = b"", {}, bytearray()
        self._size = self._fields = 0

    async def _next_request(self) -> HttpRequest | int | None:
        """Return the next request, or None if the client is idle or takes too long to send it."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + self._limits.idle_s + self._limits.body / MIN_BODY_BYTES_PER_S
        received_bytes = -1
        while received_bytes != self._received_bytes and loop.time() < give_up_at:
            received_bytes = self._received_bytes
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._limits.idle_s):
                    return await self._queue.get()
        return None

    async def _serve(self) -> None:
        assert self._transport is not None
        while True:
            request = await self._next_request()
            if request is None:
                self._transport.close()
                return
            if isinstance(request, int):
                self._transport.write(HttpResponse(request, LAST_RESPONSES[request]).encode(close=True))
                self._transport.close()
                return
            self._continue()
            response = await self._shared.handler(request)
            if self._transport.is_closing():
                return
            self._transport.write(response.encode(close=False))


class HttpServer:
    """A listening server and its open connections."""

    def __init__(self, server: asyncio.Server, shared: _SharedState) -> None:
        self._server = server
        self._shared = shared

    @property
    def sockets(self) -> Sequence[socket.socket]:
        """The listening sockets."""
        return self._server.sockets

    def close(self) -> None:
        """Stop listening; open connections continue."""
        self._server.close()

    def abort_connections(self) -> None:
        """Close all connections immediately."""
        for connection in list(self._shared.open_connections):
            connection.abort()

    async def complete_responses(self) -> None:
        """Close the connections, those on which a client still receives a response once it is complete.

        It waits `COMPLETION_TIMEOUT_S` in total, and `MAX_STALL_S` for a client that receives nothing.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + COMPLETION_TIMEOUT_S
        while self._shared.open_connections and loop.time() < deadline:
            for connection in list(self._shared.open_connections):
                if not connection.is_delivering(loop.time()):
                    connection.abort()
            await asyncio.sleep(COMPLETION_CHECK_INTERVAL_S)


async def serve(address: Address, handler: Handler, limits: ServerLimits | None = None) -> HttpServer:
    """Listen at the address (port 0: any free port) and respond with the handler.

    Raise OSError if the address can't be used.
    """
    loop = asyncio.get_running_loop()
    shared = _SharedState(handler, limits or ServerLimits())
    return HttpServer(
        await loop.create_server(lambda: _Connection(shared), *address, reuse_address=True), shared
    )
