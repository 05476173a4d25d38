"""HTTP/1.1 for programs that talk to each other: a small server over httptools, and a client call.

The server reads one request at a time on a connection and answers it in order, as PROTOCOL's
discovery wire wants; a request it can't read gets 400 and a close.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from urllib.parse import parse_qs, urlsplit

import httptools

from loadbalancer.node.address import Address

MAX_BODY = 4 * 1024 * 1024
MAX_HEAD = 64 * 1024
IDLE_S = 75.0  # a connection with no whole request for so long is closed: longer than any watch waits
QUEUED = 8  # requests read ahead on one connection before reading pauses
MAX_ANSWER = 64 * 1024 * 1024  # a whole list of 10,000 targets is some 2 MB
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict"}
REASONS |= {413: "Content Too Large", 500: "Internal Server Error", 503: "Service Unavailable"}


@dataclass(slots=True)
class HttpRequest:
    """A request as a handler gets it; `query` holds the first value of each name."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class HttpResponse:
    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    def encode(self, close: bool) -> bytes:
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
    """What peers may take of a server. Of connections over the most, the oldest is closed."""

    body: int = MAX_BODY  # bytes of one request's body
    idle_s: float = IDLE_S  # a connection with no whole request for so long is closed
    connections: int = 10_000


class _Connection(asyncio.Protocol):
    def __init__(self, handler: Handler, limits: ServerLimits, visits: dict[_Connection, None]) -> None:
        self._handler = handler
        self._limits = limits
        self._visits = visits  # of the same server, the oldest first
        self._size = 0  # bytes since the last whole request
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._queue: asyncio.Queue[HttpRequest | None] = asyncio.Queue()
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._task = asyncio.create_task(self._serve())
        self._visits[self] = None
        if len(self._visits) > self._limits.connections:  # Guard: peers must not use up the descriptors
            next(iter(self._visits)).abort()

    def abort(self) -> None:
        self._visits.pop(self, None)
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > self._limits.body + MAX_HEAD:  # Guard: a head without end must not grow memory
            self._queue.put_nowait(None)
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError):
            self._queue.put_nowait(None)

    def connection_lost(self, exc: Exception | None) -> None:
        self._visits.pop(self, None)
        if self._task is not None:
            self._task.cancel()

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > self._limits.body:
            raise ValueError("body too large")

    def on_message_complete(self) -> None:
        url = urlsplit(self._url.decode("latin-1"))
        fields = parse_qs(url.query, keep_blank_values=True)
        query = {name: values[0] for name, values in fields.items()}
        method = self._parser.get_method().decode("latin-1")
        self._queue.put_nowait(HttpRequest(method, url.path, query, self._headers, bytes(self._body)))
        self._url, self._headers, self._body, self._size = b"", {}, bytearray(), 0
        if self._queue.qsize() >= QUEUED and self._transport is not None:
            self._transport.pause_reading()  # Guard: a peer that pipelines without end must not grow memory

    async def _serve(self) -> None:
        assert self._transport is not None
        while True:
            try:
                async with asyncio.timeout(self._limits.idle_s):
                    call = await self._queue.get()
            except TimeoutError:
                self._transport.close()
                return
            if self._queue.qsize() < QUEUED:
                self._transport.resume_reading()
            if call is None:
                self._transport.write(HttpResponse(400, b'{"error":"unreadable request"}').encode(close=True))
                self._transport.close()
                return
            answer = await self._handler(call)
            if self._transport.is_closing():
                return
            self._transport.write(answer.encode(close=False))


async def serve(address: Address, handler: Handler, limits: ServerLimits | None = None) -> asyncio.Server:
    """Listen at the address (port 0: one the system picks) and answer with the handler."""
    loop = asyncio.get_running_loop()
    within, visits = limits or ServerLimits(), dict[_Connection, None]()
    return await loop.create_server(
        lambda: _Connection(handler, within, visits), *address, reuse_address=True
    )


@dataclass(slots=True)
class ReceivedResponse:
    status: int
    headers: dict[str, str]
    body: bytes


Headers = Mapping[str, str]
NO_HEADERS: Headers = MappingProxyType({})


class _Line(asyncio.Protocol):
    """A connection to a server on which one request at a time is answered."""

    def __init__(self) -> None:
        self.keeps = False  # whether a further request may follow on it
        self.on_lost: Callable[[], None] = lambda: None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer: asyncio.Future[ReceivedResponse] | None = None
        self._headers: dict[str, str] = {}
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError) as error:
            self._fail(ConnectionError(f"no HTTP answer: {error}"))

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(ConnectionError(str(exc) if exc else "closed before the answer's end"))
        self.on_lost()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        size = int(self._headers.get("content-length", "0"))
        if size > MAX_ANSWER:
            raise ValueError(f"an answer of {size} bytes")

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > MAX_ANSWER:  # in chunks
            raise ValueError(f"an answer of over {MAX_ANSWER} bytes")

    def on_message_complete(self) -> None:
        self.keeps = self._parser.should_keep_alive()
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(
                ReceivedResponse(self._parser.get_status_code(), self._headers, bytes(self._body))
            )
        else:
            self.close()  # nobody has asked
        self._headers, self._body = {}, bytearray()

    def _fail(self, error: ConnectionError) -> None:
        self.close()
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)

    async def exchange(self, request: bytes) -> ReceivedResponse:
        """ConnectionError if it is closed before the answer's end. Whoever gives up closes it."""
        assert self._transport is not None
        if self._transport.is_closing():
            raise ConnectionError("closed")
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return await self._answer

    def close(self) -> None:
        self.keeps = False
        if self._transport is not None:
            self._transport.abort()


async def _dial(address: Address) -> _Line:
    return (await asyncio.get_running_loop().create_connection(_Line, *address))[1]


def _request(address: Address, method: str, target: str, body: bytes, headers: Headers) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = f"{method} {target} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n{lines}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def send_request(
    address: Address,
    method: str,
    target: str,
    body: bytes = b"",
    timeout_s: float = 5.0,
    headers: Headers = NO_HEADERS,
) -> ReceivedResponse:
    """One request on a connection of its own; OSError or TimeoutError when it can't be had."""
    async with asyncio.timeout(timeout_s):
        line = await _dial(address)
        try:
            return await line.exchange(
                _request(address, method, target, body, {**headers, "Connection": "close"})
            )
        finally:
            line.close()


class HttpClient:
    """Calls on connections that are kept from one to the next, at most `kept` idle ones, each for KEPT_S.

    A kept connection may have been closed by the other side meanwhile, so a call may be said twice.
    """

    KEPT_S = 60.0  # under IDLE_S, so that it is seldom the server who closes

    def __init__(self, kept: int = 128) -> None:
        self._kept = kept
        self._idle: dict[_Line, tuple[Address, float]] = {}  # since when, the longest first
        self._of: dict[Address, list[_Line]] = {}

    async def call(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = 5.0,
        headers: Headers = NO_HEADERS,
    ) -> ReceivedResponse:
        """As `call`."""
        request = _request(address, method, target, body, headers)
        async with asyncio.timeout(timeout_s):
            line = self._take(address)
            if line is not None:
                with contextlib.suppress(ConnectionError):  # on a new one, then
                    return await self._on(line, address, request)
            return await self._on(await _dial(address), address, request)

    async def _on(self, line: _Line, address: Address, request: bytes) -> ReceivedResponse:
        try:
            reply = await line.exchange(request)
        except BaseException:
            line.close()
            raise
        if line.keeps:
            self._keep(line, address)
        else:
            line.close()
        return reply

    def _keep(self, line: _Line, address: Address) -> None:
        now = asyncio.get_running_loop().time()
        self._idle[line] = address, now
        self._of.setdefault(address, []).append(line)
        line.on_lost = lambda: self._forget(line)
        while (oldest := next(iter(self._idle))) is not line:
            if len(self._idle) <= self._kept and now - self._idle[oldest][1] < self.KEPT_S:
                break
            self._forget(oldest)
            oldest.close()

    def _take(self, address: Address) -> _Line | None:
        lines = self._of.get(address)
        if not lines:
            return None
        line = lines[-1]  # the one used last: the others may come to be idle for long
        self._forget(line)
        return line

    def _forget(self, line: _Line) -> None:
        address, _ = self._idle.pop(line, (None, 0.0))
        if address is not None:
            lines = self._of[address]
            lines.remove(line)
            if not lines:
                del self._of[address]

    def close(self) -> None:
        """Close those that are idle."""
        for line in list(self._idle):
            self._forget(line)
            line.close()
