"""States of a client connection, and the rules for when the node may close it."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus
from typing import Protocol

from loadbalancer.node.http.read_buffer import BoundedReadProtocol
from loadbalancer.node.http.socket_buffer import ended, readable
from loadbalancer.node.listener.flow_control import LingeringClose, WriteControl
from loadbalancer.node.listener.inbound_request import InboundRequest
from loadbalancer.node.listener.request_parser import ReceiveState, RequestParser
from loadbalancer.node.listener.streamed_response import response_head
from loadbalancer.node.memory_budget import BASIC_REQUEST_BYTES, MemoryBudget


class ConnectionOwner(Protocol):
    """Interface of the listener that accepted a connection, as the connection uses it."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop."""
        ...

    @property
    def memory(self) -> MemoryBudget:
        """The node's memory budget."""
        ...

    @property
    def draining(self) -> bool:
        """Whether each response closes its connection."""
        ...

    @property
    def over_limit(self) -> bool:
        """Whether the connections that accept requests exceed the limit."""
        ...

    @property
    def accepts_clients(self) -> bool:
        """Whether the readiness check reports that new connections are accepted."""
        ...

    @property
    def on_request(self) -> Callable[[InboundRequest], None]:
        """Callback that processes a dispatched request."""
        ...

    def on_malformed_request(self) -> None:
        """Count a connection that ends because the received data was invalid."""

    def parse_later(self, connection: ClosableConnection) -> None:
        """Call the connection's `parse_unparsed` in a later iteration of the event loop."""

    def on_memory_denied(self) -> None:
        """Count a connection that ends because its requests don't fit into the memory budget."""

    def on_stalled(self) -> None:
        """Count a connection that is closed because the client reads nothing."""

    def opened(self, connection: ClosableConnection) -> None:
        """Add a new connection, which accepts requests from now on."""

    def closed(self, connection: ClosableConnection) -> None:
        """Remove a closed connection."""


class ConnectionState(Enum):
    """The sending side of a connection.

    `ReceiveState` is the receiving side; it is separate because requests may arrive while responses are sent.
    """

    IDLE = "no request is in progress"
    SEND_RESPONSE = "a request is in progress or queued, and no byte of its response has been written"
    SEND_BODY = "a response is being streamed"
    MUST_CLOSE = "the last response has been written; further data is discarded during the lingering close"
    CLOSED = "nothing is read or written"


class ClosableConnection(BoundedReadProtocol):
    """The part of a client connection that decides when the connection closes.

    It closes between requests (`close_if_idle`), with a response (`_closes_after`), when a request is overdue
    (`expire`), when the client has stopped reading or has disconnected (`sweep`), and to free capacity for
    other connections (`reject_partial_request`, `close_lingering`).

    Each request moves the connection from IDLE to SEND_RESPONSE and back; a streamed response passes through
    SEND_BODY. From any of these states, the last response leads to MUST_CLOSE, and an abort to CLOSED.
    """

    def __init__(self, listener: ConnectionOwner) -> None:
        super().__init__(listener.memory.read_buffer)
        self._memory = listener.memory
        self._receiving_bytes = 0  # reserved for requests that are being received or queued
        self._unsent_bytes = 0  # counted for responses that the client has not read
        self._listener = listener
        self._transport: asyncio.Transport
        self._parser: RequestParser
        self._write_control: WriteControl
        self.state = ConnectionState.IDLE
        self._queue: deque[InboundRequest] = deque()  # the first one is in progress
        self._linger: LingeringClose | None = None  # set in state MUST_CLOSE
        self.opened_at = 0.0  # loop time (s)
        self.last_activity_at = 0.0  # loop time (s) of the last byte in either direction

    @property
    def _first(self) -> InboundRequest | None:
        return self._queue[0] if self._queue else None

    def parse_unparsed(self) -> None:
        """Parse the bytes that the last turn has left."""
        raise NotImplementedError

    def is_delivering(self, now: float) -> bool:
        """Whether a response makes progress at loop time `now` (s)."""
        raise NotImplementedError

    def abort(self) -> None:
        """Close the connection immediately, whatever it carries."""
        self._abort()

    @property
    def age_s(self) -> float:
        """The time since the connection was accepted."""
        return self._listener.loop.time() - self.opened_at

    @property
    def idle(self) -> bool:
        """Whether no byte of a request has been read, and all responses have been sent."""
        between = self.state is ConnectionState.IDLE and self._parser.state is ReceiveState.IDLE
        return between and not self._parser.has_unparsed and not self._write_control.unsent

    def close_if_idle(self) -> bool:
        """Close the connection if it is idle and its socket has no unread data; return whether it was closed.

        Data that arrives after this check is left unread, so the client retries its request on another
        connection.
        """
        if not self.idle or self._transport.is_closing() or readable(self._transport):
            return False
        self._abort()
        return True

    @property
    def disconnected(self) -> bool:
        """Whether the client has disconnected, including a disconnect that the event loop has not delivered
        yet because reading is paused or the loop's current iteration has not ended."""
        return self._transport.is_closing() or ended(self._transport)

    def close_if_disconnected(self) -> bool:
        """Return whether the client has disconnected; if so, end its unanswered requests."""
        disconnected = self.disconnected
        unanswered = self.state is ConnectionState.SEND_RESPONSE
        if disconnected and unanswered and not self._transport.is_closing():
            self._fail(HTTPStatus.BAD_REQUEST)
        return disconnected

    def sweep(self, now: float) -> None:
        """Close the connection if the client has stopped reading or disconnected by loop time `now` (s)."""
        self._count_unsent()
        lingered = self._linger is not None and self._linger.is_over(now, self._write_control.unsent)
        stalled = self._write_control.stalled(now)
        if stalled and not lingered:
            self._listener.on_stalled()
        if lingered or stalled:
            self._abort()
        # While reading is paused, the event loop doesn't deliver a disconnect.
        elif self.state is ConnectionState.SEND_RESPONSE and not self._transport.is_reading():
            self.close_if_disconnected()

    def expire(self, now: float) -> bool:
        """End the connection if a request is overdue at loop time `now` (s); return whether it was ended."""
        partial = self._parser.request
        responding_to_partial = self.state is ConnectionState.SEND_RESPONSE and self._first is partial
        receives = self.state is ConnectionState.IDLE or responding_to_partial
        # While received bytes wait to be parsed, reading is paused but the client's timeout goes on.
        waits_for_client = self._transport.is_reading() or self._parser.has_unparsed
        if not receives or not waits_for_client or now < self._parser.deadline():
            return False
        if partial is not None:
            self._fail(HTTPStatus.REQUEST_TIMEOUT)
            return True
        # The first request's timeout starts with the connection, even if empty lines precede the request.
        return self._parser.is_first and self.close_if_idle()

    def _closes_after(self, request: InboundRequest) -> bool:
        """Whether the connection closes after this response; it doesn't if a later request has been read."""
        wanted = (
            request.receiving
            or not request.keep_alive
            or self._listener.draining
            or self._listener.over_limit
        )
        unparsed_request = request.keep_alive and not request.receiving and self._parser.has_unparsed
        last = len(self._queue) == 1 and self._parser.request in (None, request) and not unparsed_request
        return wanted and last

    def _fail(self, status: int) -> None:
        """Send an error response to a request that is invalid or won't be served, and end the connection."""
        if self.state is ConnectionState.SEND_BODY:
            self._abort()  # the response was started before the request was complete
        else:
            self._transport.write(response_head(status, 0, True, 0.0))
            self._linger_and_close()
            self._drop_requests()

    def _reserve_received(self) -> bool:
        """Update the memory reserved for received requests; return whether it fits into the budget.

        A dispatched request is part of an exchange, and a basic one is part of its connection.
        """
        size = self._parser.memory_bytes - BASIC_REQUEST_BYTES
        for request in self._queue:
            if not request.dispatched:
                size += request.memory_bytes
        if size < 0:
            size = 0
        growth = size - self._receiving_bytes
        if growth == 0:
            return True
        if growth > 0 and not self._memory.receiving.reserve(growth):
            return False
        if growth < 0:
            self._memory.receiving.add(growth)
        self._receiving_bytes = size
        return True

    def _count_unsent(self) -> None:
        """Update the memory counted for responses that the client has not read."""
        unsent = self._write_control.unsent
        if unsent != self._unsent_bytes:
            self._memory.unsent.add(unsent - self._unsent_bytes)
            self._unsent_bytes = unsent

    def _release_memory(self) -> None:
        """Return the connection's memory to the budget, as it has been closed."""
        self._memory.receiving.release(self._receiving_bytes)
        self._memory.unsent.release(self._unsent_bytes)
        self._receiving_bytes = self._unsent_bytes = 0

    def _drop_requests(self) -> None:
        """End all received requests without sending responses."""
        requests, self._queue = self._queue, deque()
        for request in requests:
            request.answered = True
            if request.on_disconnected is not None:
                request.on_disconnected()
        self._parser.discard()
        self._reserve_received()

    @property
    def is_closing(self) -> bool:
        """Whether the connection accepts no more requests."""
        ended_states = (ConnectionState.MUST_CLOSE, ConnectionState.CLOSED)
        return self.state in ended_states or self._transport.is_closing()

    def reject_partial_request(self) -> bool:
        """Respond with 503 if a request is being received, and end the connection; return whether a request
        was rejected."""
        idle = self.state is ConnectionState.IDLE
        if not idle or self._parser.request is None or self._transport.is_closing():
            return False
        self._fail(HTTPStatus.SERVICE_UNAVAILABLE)
        return True

    def close_lingering(self) -> bool:
        """Close the connection if its last response has been sent; return whether it was closed.

        It stays open while the kernel has unread bytes: closing it then would send a reset, and the client
        could lose the response.
        """
        lingering = self.state is ConnectionState.MUST_CLOSE
        if not lingering or self._transport.is_closing() or self._write_control.unsent:
            return False
        if readable(self._transport):
            return False
        self._abort()
        return True

    def close_lingering_sender(self) -> bool:
        """Close the connection if its client has gone on sending since its last response was sent.

        The close resets the connection. Used at capacity: such clients would keep out all others.
        """
        lingering = self._linger is not None and self._linger.has_lasted(self._listener.loop.time())
        if not lingering or self._transport.is_closing() or self._write_control.unsent:
            return False
        self._abort()
        return True

    def _linger_and_close(self) -> None:
        """Shut down the sending side after the last response, and start the lingering close."""
        self.state = ConnectionState.MUST_CLOSE
        self._linger = LingeringClose(self._listener.loop.time())
        self._transport.resume_reading()
        try:
            self._transport.write_eof()
        except OSError:  # the client's reset has arrived meanwhile
            self._abort()

    def _abort(self) -> None:
        self.state = ConnectionState.CLOSED
        self._transport.abort()
