"""A small HTTP/1.1 server for programs of the fleet, based on httptools.

It handles the requests of a connection one at a time and responds in order, as the discovery protocol
(PROTOCOL) requires. If it can't parse a request, it responds with status 400 and closes the connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import httptools

from loadbalancer.node.address import Address
from loadbalancer.node.http.request_parsing import RequestCallbacks, UpgradeIgnoringParser

MAX_REQUEST_BODY_BYTES = 4 * 1024 * 1024
MAX_HEAD_BYTES = 64 * 1024
SERVER_IDLE_TIMEOUT_S = 75.0  # longer than any watch poll
MAX_QUEUED_REQUESTS = 8  # pipelined requests on one connection before reading pauses
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict"}
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


class _Connection(RequestCallbacks, asyncio.Protocol):
    """A connection to the server. Its parsed requests are queued and handled one at a time."""

    def __init__(
        self, handler: Handler, limits: ServerLimits, open_connections: dict[_Connection, None]
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._open_connections = open_connections  # all connections of the server, oldest first
        self._size = 0  # bytes received since the last complete request
        self._parser = UpgradeIgnoringParser(self)
        self._transport: asyncio.Transport | None = None
        self._queue: asyncio.Queue[HttpRequest | None] = asyncio.Queue()
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to handle requests; close the oldest connection if there are more than the limit."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._task = asyncio.create_task(self._serve())
        self._open_connections[self] = None
        if len(self._open_connections) > self._limits.connections:  # bounds the descriptors in use
            next(iter(self._open_connections)).abort()

    def abort(self) -> None:
        """Close the connection immediately."""
        self._open_connections.pop(self, None)
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse the bytes; if they are malformed or too long, queue None, which ends the connection."""
        self._size += len(data)
        if self._size > self._limits.body + MAX_HEAD_BYTES:  # bounds the memory of an endless head
            self._queue.put_nowait(None)
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError):
            self._queue.put_nowait(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop handling requests, as the connection is closed."""
        self._open_connections.pop(self, None)
        if self._task is not None:
            self._task.cancel()

    def framing_header(self, name: bytes) -> bytes | None:
        """Return the value of this header of the request in progress, or None."""
        value = self._headers.get(name.decode("latin-1"))
        return None if value is None else value.encode("latin-1")

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its name in lower case."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; raise RequestTooLongError over the limit."""
        self._body += body
        if len(self._body) > self._limits.body:
            raise RequestTooLongError(self._limits.body)

    def on_message_complete(self) -> None:
        """Queue the complete request; pause reading if the queue is full."""
        url = urlsplit(self._url.decode("latin-1"))
        fields = parse_qs(url.query, keep_blank_values=True)
        query = {name: values[0] for name, values in fields.items()}
        method = self._parser.get_method().decode("latin-1")
        self._queue.put_nowait(HttpRequest(method, url.path, query, self._headers, bytes(self._body)))
        self._url, self._headers, self._body, self._size = b"", {}, bytearray(), 0
        if self._queue.qsize() >= MAX_QUEUED_REQUESTS and self._transport is not None:
            self._transport.pause_reading()  # bounds the memory for a client that pipelines without end

    async def _serve(self) -> None:
        assert self._transport is not None
        while True:
            try:
                async with asyncio.timeout(self._limits.idle_s):
                    request = await self._queue.get()
            except TimeoutError:
                self._transport.close()
                return
            if self._queue.qsize() < MAX_QUEUED_REQUESTS:
                self._transport.resume_reading()
            if request is None:
                self._transport.write(HttpResponse(400, b'{"error":"unreadable request"}').encode(close=True))
                self._transport.close()
                return
            response = await self._handler(request)
            if self._transport.is_closing():
                return
            self._transport.write(response.encode(close=False))


async def serve(address: Address, handler: Handler, limits: ServerLimits | None = None) -> asyncio.Server:
    """Listen at the address (port 0: any free port) and respond with the handler.

    Raise OSError if the address can't be used.
    """
    loop = asyncio.get_running_loop()
    server_limits, open_connections = limits or ServerLimits(), dict[_Connection, None]()
    return await loop.create_server(
        lambda: _Connection(handler, server_limits, open_connections), *address, reuse_address=True
    )
