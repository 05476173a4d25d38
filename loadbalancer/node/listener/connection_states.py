"""The states of a caller's connection, and the one place that says when it may be closed."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from loadbalancer.node.http.socket_buffer import ended, readable
from loadbalancer.node.listener.flow_control import LingeringClose, WriteControl
from loadbalancer.node.listener.inbound_request import InboundRequest, response_head
from loadbalancer.node.listener.request_parser import ReceiveState, RequestParser


class ConnectionOwner(Protocol):
    """What a caller's connection asks of the server that has accepted it."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop: ...

    @property
    def draining(self) -> bool:
        """Whether answers end their connections."""
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
        """Takes a request that is to be answered."""
        ...

    def opened(self, connection: ClosableConnection) -> None:
        """It takes requests from now on."""

    def closed(self, connection: ClosableConnection) -> None:
        """It is gone."""


class ConnectionState(Enum):
    """The node's side of a connection; the parser has the caller's, as requests may come meanwhile."""

    IDLE = "no request is being answered"
    SEND_RESPONSE = "one is, or is due to be, and nothing of its answer has been written"
    SEND_BODY = "a long answer is being passed on"
    MUST_CLOSE = "the sending has ended; what still comes is read and dropped for a moment"
    CLOSED = "nothing goes either way"


class ClosableConnection(asyncio.Protocol):
    """Who ends a caller's connection asks here: `idle` (between requests), `_last` (with an answer), `expire`
    (requests overdue), `sweep` (what nobody reads or waits for), `turn_away`, `cut_short` (room for others).

    Each request takes it from IDLE to SEND_RESPONSE and back, some by way of SEND_BODY; from any of these it
    comes to MUST_CLOSE with the last answer, and to CLOSED.
    """

    def __init__(self, listener: ConnectionOwner) -> None:
        self._listener = listener
        self._transport: asyncio.Transport
        self._parser: RequestParser
        self._write_control: WriteControl
        self.state = ConnectionState.IDLE
        self._queue: deque[InboundRequest] = (
            deque()
        )  # those handed on or due to be, the first of them being answered
        self._linger: LingeringClose | None = None  # in MUST_CLOSE
        self.opened_at = 0.0  # by the loop's clock
        self.last_activity_at = 0.0  # the loop's time of the last byte either way

    @property
    def _first(self) -> InboundRequest | None:
        return self._queue[0] if self._queue else None

    @property
    def idle(self) -> bool:
        """Between requests: nothing of one has been read, and all that was answered has left."""
        between = self.state is ConnectionState.IDLE and self._parser.state is ReceiveState.IDLE
        return between and not self._write_control.unsent

    def close_if_idle(self) -> bool:
        """Close between requests, but not with one waiting in the kernel. What comes after this look is left
        unread, so its caller sends it again on a new connection."""
        if not self.idle or self._transport.is_closing() or readable(self._transport):
            return False
        self._abort()
        return True

    @property
    def disconnected(self) -> bool:
        """Whether the caller has gone, also where the event loop has not delivered its end yet: while reading
        is paused, or later in the same turn."""
        return self._transport.is_closing() or ended(self._transport)

    def close_if_disconnected(self) -> bool:
        """Whether the caller has gone; what it asked for is then over."""
        left = self.disconnected
        if left and self.state is ConnectionState.SEND_RESPONSE and not self._transport.is_closing():
            self._fail(400)
        return left

    def sweep(self, now: float) -> None:
        """End what nobody reads or waits for any more by now."""
        lingered = self._linger is not None and self._linger.is_over(now, self._write_control.unsent)
        if lingered or self._write_control.stalled(now):
            self._abort()
        # Guard: nothing is read while a request waits its turn or its body is held, so an end went unseen.
        elif self.state is ConnectionState.SEND_RESPONSE and not self._transport.is_reading():
            self.close_if_disconnected()

    def expire(self, now: float) -> bool:
        """End a connection on which a request is overdue by now; whether that was so."""
        coming = self._parser.request
        receives = self.state is ConnectionState.IDLE or (
            self.state is ConnectionState.SEND_RESPONSE and self._first is coming
        )
        if not receives or not self._transport.is_reading() or now < self._parser.deadline():
            return False
        if coming is not None:
            self._fail(408)
            return True
        # Guard: judged by the connection's start, as line ends before a request look like traffic for ever.
        return self._parser.is_first and self.close_if_idle()

    def _closes_after(self, call: InboundRequest) -> bool:
        """Whether the connection ends with the answer to this call: not if anything was read behind it."""
        close = call.receiving or not call.keep_alive or self._listener.draining or self._listener.over_limit
        return close and len(self._queue) == 1 and self._parser.request in (None, call)

    def _fail(self, status: int) -> None:
        """Answer what can't be read as a request or won't be served, and end the connection."""
        if self.state is ConnectionState.SEND_BODY:
            self._abort()  # an answer has begun before its request's end
        else:
            self._transport.write(response_head(status, 0, True, 0.0))
            self._linger_and_close()
            self._drop_requests()

    def _drop_requests(self) -> None:
        """Nothing that has come is to be answered any more."""
        calls, self._queue = self._queue, deque()
        for call in calls:
            call.answered = True
            if call.on_disconnected is not None:
                call.on_disconnected()
        self._parser.discard()

    @property
    def is_closing(self) -> bool:
        """Whether it takes no more requests."""
        return (
            self.state in (ConnectionState.MUST_CLOSE, ConnectionState.CLOSED) or self._transport.is_closing()
        )

    def reject_partial_request(self) -> bool:
        """Refuse a request that has come in part, and end the connection; whether there was one."""
        if (
            self.state is not ConnectionState.IDLE
            or self._parser.request is None
            or self._transport.is_closing()
        ):
            return False
        self._fail(503)
        return True

    def close_lingering(self) -> bool:
        """Close it now if its last answer has left and only its end is awaited; whether that was so."""
        if (
            self.state is not ConnectionState.MUST_CLOSE
            or self._transport.is_closing()
            or self._write_control.unsent
        ):
            return False
        if readable(self._transport):
            return False  # a close over these bytes would reset the answer away
        self._abort()
        return True

    def _linger_and_close(self) -> None:
        """The last answer has been written."""
        self.state = ConnectionState.MUST_CLOSE
        self._linger = LingeringClose(self._listener.loop.time())
        self._transport.resume_reading()
        try:
            self._transport.write_eof()
        except OSError:  # Guard: the caller has left, and its reset came on the answer just written
            self._abort()

    def _abort(self) -> None:
        self.state = ConnectionState.CLOSED
        self._transport.abort()
