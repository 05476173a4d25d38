"""HTTP/1.1 for programs that talk to each other: a small server over httptools, and a client call.

The server reads one request at a time on a connection and answers it in order, as PROTOCOL's
discovery wire wants; a request it can't read gets 400 and a close.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from urllib.parse import parse_qs, urlsplit

import httptools

from orchidledge.net.upstream import Address

MAX_BODY = 4 * 1024 * 1024
MAX_HEAD = 64 * 1024
IDLE_S = 75.0  # a connection with no whole request for so long is closed: longer than any watch waits
QUEUED = 8  # requests read ahead on one connection before reading pauses
MAX_ANSWER = 64 * 1024 * 1024  # a whole list of 10,000 targets is some 2 MB
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict"}
REASONS |= {413: "Content Too Large", 500: "Internal Server Error", 503: "Service Unavailable"}


@dataclass(slots=True)
class Call:
    """A request as a handler gets it; `query` holds the first value of each name."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Answer:
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


Handler = Callable[[Call], Awaitable[Answer]]


@dataclass(slots=True, frozen=True)
class Limits:
    """What peers may take of a server. Of connections over the most, the oldest is closed."""

    body: int = MAX_BODY  # bytes of one request's body
    idle_s: float = IDLE_S  # a connection with no whole request for so long is closed
    connections: int = 10_000


class _Connection(asyncio.Protocol):
    def __init__(self, handler: Handler, limits: Limits, visits: dict[_Connection, None]) -> None:
        self._handler = handler
        self._limits = limits
        self._visits = visits  # of the same server, the oldest first
        self._size = 0  # bytes since the last whole request
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._queue: asyncio.Queue[Call | None] = asyncio.Queue()
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
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        method = self._parser.get_method().decode("latin-1")
        self._queue.put_nowait(Call(method, url.path, query, self._headers, bytes(self._body)))
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
                self._transport.write(Answer(400, b'{"error":"unreadable request"}').encode(close=True))
                self._transport.close()
                return
            answer = await self._handler(call)
            if self._transport.is_closing():
                return
            self._transport.write(answer.encode(close=False))


async def serve(address: Address, handler: Handler, limits: Limits | None = None) -> asyncio.Server:
    """Listen at the address (port 0: one the system picks) and answer with the handler."""
    loop = asyncio.get_running_loop()
    within, visits = limits or Limits(), dict[_Connection, None]()
    return await loop.create_server(
        lambda: _Connection(handler, within, visits), *address, reuse_address=True
    )


@dataclass(slots=True)
class Reply:
    status: int
    headers: dict[str, str]
    body: bytes


Headers = Mapping[str, str]
NONE: Headers = MappingProxyType({})


async def call(
    address: Address,
    method: str,
    target: str,
    body: bytes = b"",
    timeout_s: float = 5.0,
    headers: Headers = NONE,
) -> Reply:
    """One request on a connection of its own; OSError or TimeoutError when it can't be had."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            return await _exchange(
                reader, writer, address, method, target, body, {**headers, "Connection": "close"}
            )
        finally:
            writer.close()


class Client:
    """Calls on connections that are kept from one to the next, at most KEPT idle ones to an address.

    A kept connection may have been closed by the other side meanwhile, so a call may be said twice.
    """

    KEPT = 16

    def __init__(self) -> None:
        self._idle: dict[Address, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}

    async def call(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = 5.0,
        headers: Headers = NONE,
    ) -> Reply:
        """As `call`."""
        async with asyncio.timeout(timeout_s):
            idle = self._idle.setdefault(address, [])
            while idle:
                reader, writer = idle.pop()
                if reader.at_eof():
                    writer.close()
                    continue
                try:
                    return await self._on(reader, writer, address, method, target, body, headers)
                except ConnectionError:
                    break  # on a new one, then
            reader, writer = await asyncio.open_connection(*address)
            return await self._on(reader, writer, address, method, target, body, headers)

    async def _on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        address: Address,
        method: str,
        target: str,
        body: bytes,
        headers: Headers,
    ) -> Reply:
        keep = False
        try:
            reply = await _exchange(reader, writer, address, method, target, body, headers)
            keep = reply.headers.get("connection", "").lower() != "close"
            return reply
        finally:
            idle = self._idle[address]
            if keep and len(idle) < self.KEPT:
                idle.append((reader, writer))
            else:
                writer.close()


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    address: Address,
    method: str,
    target: str,
    body: bytes,
    headers: Headers,
) -> Reply:
    try:
        head = f"{method} {target} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        status_line = await reader.readline()
        parts = status_line.split(b" ", 2)
        if len(parts) < 2 or not parts[1].isdigit():
            raise ConnectionError(f"no HTTP status line: {status_line[:60]!r}")
        said: dict[str, str] = {}
        while (line := await reader.readline()) not in (b"\r\n", b"\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            said[name.strip().lower()] = value.strip()
        size = int(said.get("content-length", "0"))
        if size > MAX_ANSWER:
            raise ConnectionError(f"an answer of {size} bytes")
        return Reply(int(parts[1]), said, await reader.readexactly(size))
    except (ValueError, asyncio.IncompleteReadError) as error:
        raise ConnectionError(str(error)) from error
