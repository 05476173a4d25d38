"""A connection to the admin server; each carries one request."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from http import HTTPStatus
from typing import Protocol

import httptools

from loadbalancer.node.admin.messages import AdminResponse
from loadbalancer.node.http.read_buffer import BoundedReadProtocol
from loadbalancer.node.http.request_parsing import FRAMING_HEADERS, RequestCallbacks, UpgradeIgnoringParser

MAX_REQUEST_BYTES = 16 * 1024  # limit for head and body together
REQUEST_TIMEOUT_S = 5.0  # time within which the complete request must arrive
LINGER_S = 1.0  # how long input after the response is read and dropped before the connection is closed


class ConnectionOwner(Protocol):
    """The server that a connection belongs to."""

    loop: asyncio.AbstractEventLoop
    read_buffer: bytearray

    def connection_opened(self, connection: AdminConnection) -> None:
        """The connection has been accepted."""

    def connection_closed(self, connection: AdminConnection) -> None:
        """The connection has been closed."""

    def dispatch(self, method: bytes, target: bytes, body: bytes) -> AdminResponse | Awaitable[AdminResponse]:
        """Return the response to a request, or an awaitable of it."""
        ...


class AdminConnection(RequestCallbacks, BoundedReadProtocol):
    """Parses a request, sends the owner's response and closes the connection."""

    def __init__(self, owner: ConnectionOwner) -> None:
        BoundedReadProtocol.__init__(self, owner.read_buffer)
        self._owner = owner
        self._transport: asyncio.Transport
        self._parser = UpgradeIgnoringParser(self)
        self._framing: dict[bytes, bytes] = {}  # the framing headers of the request
        self._target = bytearray()
        self._body = bytearray()
        self._received_bytes = 0
        self._request_complete = False
        self._ignores_input = False  # set once the request is complete or rejected
        self._responded = False
        self._pending: asyncio.Future[AdminResponse] | None = None  # an awaited response
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for a request; respond with 408 after REQUEST_TIMEOUT_S."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        timeout = AdminResponse(HTTPStatus.REQUEST_TIMEOUT)
        self._timer = self._owner.loop.call_later(REQUEST_TIMEOUT_S, self._respond, timeout)
        self._owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse the data; respond once the request is complete or malformed.

        Later input is read and dropped: closing a connection with unread input resets it, and the client
        could lose the response.
        """
        if self._ignores_input:
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._request_complete:
                self._respond(AdminResponse(HTTPStatus.BAD_REQUEST))
                return
        if self._received_bytes > MAX_REQUEST_BYTES:
            self._respond(AdminResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE))
        elif self._request_complete:
            self._dispatch()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer and notify the owner."""
        self._ignores_input = True
        if self._timer is not None:
            self._timer.cancel()
        self._owner.connection_closed(self)

    def abort(self) -> None:
        """Close the connection immediately."""
        self._transport.abort()

    def _dispatch(self) -> None:
        method = self._parser.get_method()
        response = self._owner.dispatch(method, bytes(self._target), bytes(self._body))
        if isinstance(response, AdminResponse):
            self._respond(response)
        else:
            self._ignores_input = True
            self._pending = asyncio.ensure_future(response)
            self._pending.add_done_callback(lambda done: self._respond(done.result()))

    def _respond(self, response: AdminResponse) -> None:
        if self._responded or self._transport.is_closing():
            return
        self._ignores_input = self._responded = True
        self._transport.write(_head_of(response) + response.body)
        if self._timer is not None:
            self._timer.cancel()
        try:
            self._transport.write_eof()
        except OSError:  # the client has reset the connection
            self._transport.abort()
        else:
            self._timer = self._owner.loop.call_later(LINGER_S, self._transport.abort)

    # --------------------------------------------------------- RequestCallbacks

    def framing_header(self, name: bytes) -> bytes | None:
        """Return the value of this framing header of the request, or None."""
        return self._framing.get(name)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Respond to `Expect: 100-continue`, as the client waits for that before it sends the body."""
        lower_name = name.lower()
        if lower_name in FRAMING_HEADERS:
            self._framing[lower_name] = value
        if lower_name == b"expect" and value.lower() == b"100-continue":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; a second request on the connection is ignored."""
        if not self._request_complete:
            self._body += body

    def on_message_complete(self) -> None:
        """Note that the request is complete."""
        self._request_complete = True


def _head_of(response: AdminResponse) -> bytes:
    status = HTTPStatus(response.status)
    return (
        f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        f"Content-Type: text/plain; charset=utf-8\r\nContent-Length: {len(response.body)}\r\n"
        "Connection: close\r\n\r\n"
    ).encode()
