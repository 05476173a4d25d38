"""The states of a client's connection, and all rules on when the node may close it."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus
from typing import Protocol

from loadbalancer.node.http.socket_buffer import ended, readable
from loadbalancer.node.listener.flow_control import LingeringClose, WriteControl
from loadbalancer.node.listener.inbound_request import InboundRequest
from loadbalancer.node.listener.request_parser import ReceiveState, RequestParser
from loadbalancer.node.listener.streamed_response import response_head


class ConnectionOwner(Protocol):
    """What a client's connection needs of the listener that has accepted it."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop."""
        ...

    @property
    def draining(self) -> bool:
        """Whether each response closes its connection."""
        ...

    @property
    def over_limit(self) -> bool:
        """Whether more connections take requests than may."""
        ...

    @property
    def accepts_clients(self) -> bool:
        """Whether new connections are welcome."""
        ...

    @property
    def on_request(self) -> Callable[[InboundRequest], None]:
        """Takes a request that is dispatched."""
        ...

    def opened(self, connection: ClosableConnection) -> None:
        """Count a connection that takes requests from now on."""

    def closed(self, connection: ClosableConnection) -> None:
        """Forget a connection."""


class ConnectionState(Enum):
    """The node's side of a connection; `ReceiveState` is the client's, as requests may come meanwhile."""

    IDLE = "no request is being answered"
    SEND_RESPONSE = "a request is being answered or queued, and nothing of its response has been written"
    SEND_BODY = "a response is being streamed"
    MUST_CLOSE = "the last response has been written; what still comes is read and dropped for a moment"
    CLOSED = "nothing is read or written"


class ClosableConnection(asyncio.Protocol):
    """The part of a client's connection that decides when it closes.

    It closes between requests (`close_if_idle`), with a response (`_closes_after`), when a request is overdue
    (`expire`), when nobody reads or waits any more (`sweep`), and to make place for other connections
    (`reject_partial_request`, `close_lingering`).

    A request takes it from IDLE to SEND_RESPONSE and back, some by way of SEND_BODY. From each of these it
    comes to MUST_CLOSE with the last response, and to CLOSED.
    """

    def __init__(self, listener: ConnectionOwner) -> None:
        self._listener = listener
        self._transport: asyncio.Transport
        self._parser: RequestParser
        self._write_control: WriteControl
        self.state = ConnectionState.IDLE
        self._queue: deque[InboundRequest] = deque()  # the first of them is being answered
        self._linger: LingeringClose | None = None  # in MUST_CLOSE
        self.opened_at = 0.0  # loop time (s)
        self.last_activity_at = 0.0  # loop time (s) of the last byte in either direction

    @property
    def _first(self) -> InboundRequest | None:
        return self._queue[0] if self._queue else None

    @property
    def idle(self) -> bool:
        """Whether no byte of a request has been read, and all responses have left."""
        between = self.state is ConnectionState.IDLE and self._parser.state is ReceiveState.IDLE
        return between and not self._write_control.unsent

    def close_if_idle(self) -> bool:
        """Close the connection if it is idle and the kernel holds no request; return whether it did.

        What comes after this check is left unread, so that its client sends it again on another connection.
        """
        if not self.idle or self._transport.is_closing() or readable(self._transport):
            return False
        self._abort()
        return True

    @property
    def disconnected(self) -> bool:
        """Whether the client has disconnected, also where the event loop has not delivered that yet: while
        reading is paused, or later in the same turn."""
        return self._transport.is_closing() or ended(self._transport)

    def close_if_disconnected(self) -> bool:
        """Whether the client has disconnected; its requests are over then."""
        disconnected = self.disconnected
        unanswered = self.state is ConnectionState.SEND_RESPONSE
        if disconnected and unanswered and not self._transport.is_closing():
            self._fail(HTTPStatus.BAD_REQUEST)
        return disconnected

    def sweep(self, now: float) -> None:
        """Close the connection if nobody reads or waits any more at this loop time (s)."""
        lingered = self._linger is not None and self._linger.is_over(now, self._write_control.unsent)
        if lingered or self._write_control.stalled(now):
            self._abort()
        # While nothing is read, the event loop doesn't deliver a disconnect.
        elif self.state is ConnectionState.SEND_RESPONSE and not self._transport.is_reading():
            self.close_if_disconnected()

    def expire(self, now: float) -> bool:
        """End the connection if a request on it is overdue at this loop time (s); return whether it was."""
        partial = self._parser.request
        answering_partial = self.state is ConnectionState.SEND_RESPONSE and self._first is partial
        receives = self.state is ConnectionState.IDLE or answering_partial
        if not receives or not self._transport.is_reading() or now < self._parser.deadline():
            return False
        if partial is not None:
            self._fail(HTTPStatus.REQUEST_TIMEOUT)
            return True
        # The first request is due from the connection's start, whatever line ends come before it.
        return self._parser.is_first and self.close_if_idle()

    def _closes_after(self, request: InboundRequest) -> bool:
        """Whether the connection closes with the response to this request; not if more has been read."""
        wanted = (
            request.receiving
            or not request.keep_alive
            or self._listener.draining
            or self._listener.over_limit
        )
        return wanted and len(self._queue) == 1 and self._parser.request in (None, request)

    def _fail(self, status: int) -> None:
        """Respond to what is no valid request or won't be served, and end the connection."""
        if self.state is ConnectionState.SEND_BODY:
            self._abort()  # a response has begun before its request's end
        else:
            self._transport.write(response_head(status, 0, True, 0.0))
            self._linger_and_close()
            self._drop_requests()

    def _drop_requests(self) -> None:
        """End all requests that have arrived, without responses."""
        requests, self._queue = self._queue, deque()
        for request in requests:
            request.answered = True
            if request.on_disconnected is not None:
                request.on_disconnected()
        self._parser.discard()

    @property
    def is_closing(self) -> bool:
        """Whether it takes no more requests."""
        ended_states = (ConnectionState.MUST_CLOSE, ConnectionState.CLOSED)
        return self.state in ended_states or self._transport.is_closing()

    def reject_partial_request(self) -> bool:
        """Respond 503 to a request that is being received, and end the connection; return whether there was
        one."""
        idle = self.state is ConnectionState.IDLE
        if not idle or self._parser.request is None or self._transport.is_closing():
            return False
        self._fail(HTTPStatus.SERVICE_UNAVAILABLE)
        return True

    def close_lingering(self) -> bool:
        """Close the connection if its last response has left; return whether that was so.

        With bytes unread in the kernel it stays open, as closing it would reset the response away.
        """
        lingering = self.state is ConnectionState.MUST_CLOSE
        if not lingering or self._transport.is_closing() or self._write_control.unsent:
            return False
        if readable(self._transport):
            return False
        self._abort()
        return True

    def _linger_and_close(self) -> None:
        """End the sending side, as the last response has been written."""
        self.state = ConnectionState.MUST_CLOSE
        self._linger = LingeringClose(self._listener.loop.time())
        self._transport.resume_reading()
        try:
            self._transport.write_eof()
        except OSError:  # the client has disconnected, and its reset has arrived meanwhile
            self._abort()

    def _abort(self) -> None:
        self.state = ConnectionState.CLOSED
        self._transport.abort()
