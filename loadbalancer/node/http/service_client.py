"""HTTP/1.1 clients for the servers of the fleet's programs, based on httptools."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

import httptools

from loadbalancer.node.address import Address
from loadbalancer.node.http.message_limits import MAX_FIELDS, TooManyFieldsError
from loadbalancer.node.http.read_buffer import READ_BYTES, BoundedReadProtocol
from loadbalancer.node.http.turn_parser import MAX_SILENT_BYTES

CLIENT_IDLE_TIMEOUT_S = 60.0  # less than the server's, so that usually the client closes an idle connection
MAX_RESPONSE_BODY_BYTES = 64 * 1024 * 1024  # a complete list of 10,000 endpoints takes about 2 MB
MAX_PAUSE_S = 1.0  # between two parts of a response that takes longer than its timeout
DEFAULT_TIMEOUT_S = 5.0  # limit for a request and its response


class ResponseTooLongError(ValueError):
    """A response body is longer than MAX_RESPONSE_BODY_BYTES."""

    def __init__(self, size: int) -> None:
        super().__init__(f"a response body of {size} bytes or more exceeds {MAX_RESPONSE_BODY_BYTES}")
        self.size = size


class HeadTooLongError(ValueError):
    """A field of a response's head, a trailer or a chunk extension has no end."""

    def __init__(self) -> None:
        super().__init__(f"over {MAX_SILENT_BYTES} bytes of a response without a complete field")


class ExchangeError(ConnectionError):
    """A request got no response."""


class ConnectionLostError(ExchangeError):
    """The connection was closed before the end of the response."""

    def __init__(self, reason: object = None) -> None:
        super().__init__(str(reason) if reason else "closed before the end of the response")


class MalformedResponseError(ExchangeError):
    """The received data is not an HTTP response."""

    def __init__(self, reason: Exception) -> None:
        super().__init__(f"malformed HTTP response: {reason}")


@dataclass(slots=True)
class ReceivedResponse:
    """A response as a client receives it."""

    status: int
    headers: dict[str, str]  # keys in lower case
    body: bytes


Headers = Mapping[str, str]
NO_HEADERS: Headers = MappingProxyType({})


class _ClientConnection(BoundedReadProtocol):
    """A connection to a server, for one request at a time."""

    def __init__(self) -> None:
        super().__init__(bytearray(READ_BYTES))
        self.on_data: Callable[[], None] = lambda: None  # called with each read
        self._silent_bytes = 0  # received since the last callback; httptools may buffer them
        self._fields = 0  # headers and trailers of the response
        self.reusable = False  # whether it can carry another request
        self.on_lost: Callable[[], None] = lambda: None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._response: asyncio.Future[ReceivedResponse] | None = None
        self._headers: dict[str, str] = {}
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, as the connection is established."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse the bytes; fail the exchange if they are no HTTP response."""
        self._silent_bytes += len(data)
        self.on_data()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError) as error:
            self._fail(MalformedResponseError(error))
        if self._silent_bytes > MAX_SILENT_BYTES + len(data):
            self._fail(MalformedResponseError(HeadTooLongError()))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange, if there is one, and call `on_lost`."""
        self._fail(ConnectionLostError(exc))
        self.on_lost()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its name in lower case (called by httptools)."""
        self._silent_bytes = 0
        self._fields += 1
        if self._fields > MAX_FIELDS:
            raise TooManyFieldsError
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Check the declared length (called by httptools); raise ResponseTooLongError over the limit."""
        size = int(self._headers.get("content-length", "0"))
        if size > MAX_RESPONSE_BODY_BYTES:
            raise ResponseTooLongError(size)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (called by httptools); raise ResponseTooLongError over the limit."""
        self._silent_bytes = 0
        self._body += body
        if len(self._body) > MAX_RESPONSE_BODY_BYTES:  # a chunked body, whose size is not declared
            raise ResponseTooLongError(len(self._body))

    def on_message_complete(self) -> None:
        """End the exchange with the complete response (called by httptools)."""
        self.reusable = self._parser.should_keep_alive()
        if self._response is not None and not self._response.done():
            self._response.set_result(
                ReceivedResponse(self._parser.get_status_code(), self._headers, bytes(self._body))
            )
        else:
            self.close()  # a response without a request
        self._headers, self._body = {}, bytearray()
        self._silent_bytes = self._fields = 0

    def _fail(self, error: ConnectionError) -> None:
        self.close()
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)

    async def exchange(self, request: bytes) -> ReceivedResponse:
        """Send a request and return the response; raise ExchangeError if there is none.

        After a cancellation the caller has to close the connection.
        """
        assert self._transport is not None
        if self._transport.is_closing():
            raise ConnectionLostError(reason="closed")
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return await self._response

    def close(self) -> None:
        """Close the connection immediately; it can't be reused."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()


async def _connect(address: Address) -> _ClientConnection:
    return (await asyncio.get_running_loop().create_connection(_ClientConnection, *address))[1]


def _request(address: Address, method: str, target: str, body: bytes, headers: Headers) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = f"{method} {target} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n{lines}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def send_request(
    address: Address,
    method: str,
    target: str,
    body: bytes = b"",
    timeout_s: float = DEFAULT_TIMEOUT_S,
    headers: Headers = NO_HEADERS,
    max_transfer_s: float = 0.0,
) -> ReceivedResponse:
    """Send a request on a new connection and return the response; raise OSError or TimeoutError.

    While the response arrives without a pause of MAX_PAUSE_S, it may take up to `max_transfer_s` longer.
    """
    loop = asyncio.get_running_loop()
    latest = loop.time() + timeout_s + max_transfer_s
    async with asyncio.timeout(timeout_s) as timeout:
        connection = await _connect(address)

        def extend() -> None:
            if not timeout.expired():
                timeout.reschedule(max(timeout.when() or 0.0, min(latest, loop.time() + MAX_PAUSE_S)))

        connection.on_data = extend
        try:
            return await connection.exchange(
                _request(address, method, target, body, {**headers, "Connection": "close"})
            )
        finally:
            connection.close()


class HttpClient:
    """Sends requests on reusable connections, of which it retains at most `max_idle` idle ones.

    The server may have closed an idle connection. A request that fails on one is sent again on a new
    connection, so it may reach the server twice.
    """

    IDLE_TIMEOUT_S = CLIENT_IDLE_TIMEOUT_S

    def __init__(self, max_idle: int = 128) -> None:
        self._max_idle = max_idle
        # Each with its address and the loop time (s) since which it has been idle, longest idle first.
        self._idle: dict[_ClientConnection, tuple[Address, float]] = {}
        self._by_address: dict[Address, list[_ClientConnection]] = {}

    async def send(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = DEFAULT_TIMEOUT_S,
        headers: Headers = NO_HEADERS,
    ) -> ReceivedResponse:
        """Send a request and return the response; raise OSError or TimeoutError."""
        request = _request(address, method, target, body, headers)
        async with asyncio.timeout(timeout_s):
            connection = self._take_idle(address)
            if connection is not None:
                # If the server has closed the connection, the request is sent again on a new one.
                with contextlib.suppress(ConnectionError):
                    return await self._exchange(connection, address, request)
            return await self._exchange(await _connect(address), address, request)

    async def _exchange(
        self, connection: _ClientConnection, address: Address, request: bytes
    ) -> ReceivedResponse:
        try:
            response = await connection.exchange(request)
        except BaseException:
            connection.close()
            raise
        if connection.reusable:
            self._retain(connection, address)
        else:
            connection.close()
        return response

    def _retain(self, connection: _ClientConnection, address: Address) -> None:
        now = asyncio.get_running_loop().time()
        self._idle[connection] = address, now
        self._by_address.setdefault(address, []).append(connection)
        connection.on_lost = lambda: self._remove_idle(connection)
        while (oldest := next(iter(self._idle))) is not connection:
            if len(self._idle) <= self._max_idle and now - self._idle[oldest][1] < self.IDLE_TIMEOUT_S:
                break
            self._remove_idle(oldest)
            oldest.close()

    def _take_idle(self, address: Address) -> _ClientConnection | None:
        connections = self._by_address.get(address)
        if not connections:
            return None
        connection = connections[-1]  # most recently used, so that surplus connections reach the idle timeout
        self._remove_idle(connection)
        return connection

    def _remove_idle(self, connection: _ClientConnection) -> None:
        address, _ = self._idle.pop(connection, (None, 0.0))
        if address is not None:
            connections = self._by_address[address]
            connections.remove(connection)
            if not connections:
                del self._by_address[address]

    def close(self) -> None:
        """Close the idle connections."""
        for connection in list(self._idle):
            self._remove_idle(connection)
            connection.close()
