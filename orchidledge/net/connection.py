"""A caller's connection: what state it is in, when it may be closed, and the one answer to each request."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

from orchidledge.net.body import HIGH_WATER, Body
from orchidledge.net.call import Call, LongAnswer, head
from orchidledge.net.flow import Linger, Reading, Writing
from orchidledge.net.http import readable
from orchidledge.net.pending import ended
from orchidledge.net.request_parser import Receiving, RequestParser

if TYPE_CHECKING:
    from orchidledge.net.server import Server

READY_PATH = b"/up"


class State(Enum):
    """The node's side of a connection; the parser has the caller's, as requests may come meanwhile."""

    IDLE = "no request is being answered"
    SEND_RESPONSE = "one is, or is due to be, and nothing of its answer has been written"
    SEND_BODY = "a long answer is being passed on"
    MUST_CLOSE = "the sending has ended; what still comes is read and dropped for a moment"
    CLOSED = "nothing goes either way"


class ServerConnection(asyncio.Protocol):
    """One caller's connection; requests that come at once are answered in turn. Each goes from IDLE to
    SEND_RESPONSE and back, some by way of SEND_BODY; from any of these MUST_CLOSE is reached with the last
    answer, and CLOSED. Whoever closes goes by `idle`, `_last`, `sweep` or `expire`."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self.state = State.IDLE
        self._calls: deque[Call] = deque()  # those handed on or due to be, the first of them being answered
        self._answer: LongAnswer | None = None  # in SEND_BODY
        self._linger: Linger | None = None  # in MUST_CLOSE
        self.opened_at = 0.0  # by the loop's clock
        self.since = 0.0  # the loop's time of the last byte either way

    @property
    def _first(self) -> Call | None:
        return self._calls[0] if self._calls else None

    @property
    def idle(self) -> bool:
        """Between requests: nothing of one has been read, and all that was answered has left."""
        between = self.state is State.IDLE and self._requests.state is Receiving.IDLE
        return between and not self._writing.unsent

    def close_if_idle(self) -> bool:
        """Close between requests, but not with one waiting in the kernel. What comes after this look is left
        unread, so its caller sends it again on a new connection."""
        if not self.idle or self._transport.is_closing() or readable(self._transport):
            return False
        self._abort()
        return True

    @property
    def left(self) -> bool:
        """Whether the caller has gone, also where the event loop has not delivered its end yet: while reading
        is paused, or later in the same turn."""
        return self._transport.is_closing() or ended(self._transport)

    def close_if_left(self) -> bool:
        """Whether the caller has gone; what it asked for is then over."""
        left = self.left
        if left and self.state is State.SEND_RESPONSE and not self._transport.is_closing():
            self._fail(400)
        return left

    def sweep(self, now: float) -> None:
        """End what nobody reads or waits for any more by now."""
        lingered = self._linger is not None and self._linger.over(now, self._writing.unsent)
        if lingered or self._writing.stalled(now):
            self._abort()
        # Guard: nothing is read while a request waits its turn or its body is held, so an end went unseen.
        elif self.state is State.SEND_RESPONSE and not self._transport.is_reading():
            self.close_if_left()

    def expire(self, now: float) -> bool:
        """End a connection on which a request is overdue by now; whether that was so."""
        coming = self._requests.call
        receives = self.state is State.IDLE or (self.state is State.SEND_RESPONSE and self._first is coming)
        if not receives or not self._transport.is_reading() or now < self._requests.due():
            return False
        if coming is not None:
            self._fail(408)
            return True
        # Guard: judged by the connection's start, as line ends before a request look like traffic for ever.
        return self._requests.fresh and self.close_if_idle()

    def _last(self, call: Call) -> bool:
        """Whether the connection ends with the answer to this call: not if anything was read behind it."""
        close = call.coming or not call.keep_alive or self._server.draining or self._server.crowded
        return close and len(self._calls) == 1 and self._requests.call in (None, call)

    def _fail(self, status: int) -> None:
        """Answer what can't be read as a request or won't be served, and end the connection."""
        if self.state is State.SEND_BODY:
            self._abort()  # an answer has begun before its request's end
        else:
            self._transport.write(head(status, 0, True, 0.0))
            self._end()
            self._drop_calls()

    def _drop_calls(self) -> None:
        """Nothing that has come is to be answered any more."""
        calls, self._calls = self._calls, deque()
        for call in calls:
            call.answered = True
            if call.on_gone is not None:
                call.on_gone()
        self._requests.drop()

    @property
    def ending(self) -> bool:
        """Whether it takes no more requests."""
        return self.state in (State.MUST_CLOSE, State.CLOSED) or self._transport.is_closing()

    def turn_away(self) -> bool:
        """Refuse a request that has come in part, and end the connection; whether there was one."""
        if self.state is not State.IDLE or self._requests.call is None or self._transport.is_closing():
            return False
        self._fail(503)
        return True

    def cut_short(self) -> bool:
        """Close it now if its last answer has left and only its end is awaited; whether that was so."""
        if self.state is not State.MUST_CLOSE or self._transport.is_closing() or self._writing.unsent:
            return False
        if readable(self._transport):
            return False  # a close over these bytes would reset the answer away
        self._abort()
        return True

    def _end(self) -> None:
        """The last answer has been written."""
        self.state = State.MUST_CLOSE
        self._linger = Linger(self._server.loop.time())
        self._transport.resume_reading()
        try:
            self._transport.write_eof()
        except OSError:  # Guard: the caller has left, and its reset came on the answer just written
            self._abort()

    def _abort(self) -> None:
        self.state = State.CLOSED
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.opened_at = self.since = self._server.loop.time()
        self._requests = RequestParser(
            lambda: Call(self, Body(self._reading)), self._on_head, self._on_whole, self.opened_at
        )
        self._reading = Reading(self._server.loop, transport, self._requests.allow)
        self._writing = Writing(transport)
        self._server.opened(self)

    def data_received(self, data: bytes) -> None:
        now = self._server.loop.time()
        if self._linger is not None:  # read and dropped, so that the answer is not lost to a reset
            self._linger.heard(now)
        elif self.state is not State.CLOSED:
            if self._requests.call is None:
                self.since = now
            self._requests.feed(data, now)
            if self._linger is None:  # Guard: requests parsed behind the end were served
                self._advance()

    def eof_received(self) -> bool:
        """The caller has left: an end can't be told from a half-close. One that still reads gets a failure as
        its answer, or the rest of one that is being passed on, as nothing is begun for that."""
        if self.state is State.SEND_BODY and self._requests.call is None:
            return True
        if self._linger is None and (self._calls or self._requests.call is not None):
            self._fail(400)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.state = State.CLOSED
        self._server.closed(self)
        if self._answer is not None:
            self._answer.lost()
        self._answer = None
        self._drop_calls()

    def pause_writing(self) -> None:
        self._writing.full = True
        if self._answer is not None:
            self._answer.rest.hold()

    def resume_writing(self) -> None:
        self._writing.full = False
        if self._answer is not None:
            self._answer.rest.release()
        else:
            self._requests.restart_clock(self._server.loop.time())
            self._server.loop.call_soon(self._next)

    def _on_head(self, call: Call) -> None:
        expects = call.headers.get(b"expect", b"").lower() == b"100-continue"
        if expects and self.state is State.IDLE and not self._calls:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _on_whole(self, call: Call) -> None:
        self._reading.resume()  # a body of just the high-water mark has stopped the reading
        if self._first is not call:
            self._calls.append(call)
        elif call.on_whole is not None:
            call.on_whole()

    def _advance(self) -> None:
        """Act on what has been read: hand the first request on, or read on, or fail what is none."""
        coming, fault = self._requests.call, self._requests.fault
        if coming is not None and not self._calls and coming.body.size >= HIGH_WATER:
            coming.arrived = self._server.loop.time()  # for now
            self._calls.append(coming)  # too long to be held whole
        if self._calls and self.state is State.IDLE:
            self.state = State.SEND_RESPONSE
        first = self._first
        if fault and first in (None, coming):
            self._fail(fault)
            return
        # A caller sends one request at a time; another is left in the kernel until its turn.
        behind = first is not None and (len(self._calls) > 1 or coming not in (None, first))
        # Guard: answers piled up for a caller that asked on and on and read none.
        waits = self._writing.full and (first is None or not first.handed_on)
        self._reading.set_full(behind or waits)
        if first is not None and not first.handed_on and not waits:
            self._hand_on(first)

    def _hand_on(self, call: Call) -> None:
        call.handed_on = True
        if call.target.partition(b"?")[0] == READY_PATH:
            call.answer(200 if self._server.takes_clients else 503)
        else:
            self._server.on_call(call)

    def _next(self) -> None:
        # Guard: what waited its turn was begun for a caller that had left.
        if self.state is State.IDLE or (self.state is State.SEND_RESPONSE and not self.close_if_left()):
            self._advance()

    def answer(self, call: Call, status: int, body: bytes, retry_after_ms: float) -> None:
        if not self._awaits(call):
            return
        close = self._last(call)
        self._transport.write(head(status, len(body), close, retry_after_ms) + body)
        self._go_on(close)

    def _awaits(self, call: Call) -> bool:
        """Whether the answer to this call can still be written."""
        return self.state is State.SEND_RESPONSE and self._first is call and not self._transport.is_closing()

    def begin(self, call: Call, length: int | None, rest: Body, on_end: Callable[[bool], None]) -> None:
        if not self._awaits(call):
            rest.abandon()
            on_end(False)
            return
        self.state = State.SEND_BODY
        self._answer = LongAnswer(self, call, rest, length, self._last(call), on_end)
        self._transport.write(self._answer.head())
        if self._answer.to_the_end:
            # Guard: with an end for its mark, one that broke off, or whose process ended, passed for whole.
            self._writing.set_reset(True)
        rest.attach(self._answer)

    def write(self, data: bytes) -> None:
        self._transport.write(data)

    def finish(self, close: bool) -> None:
        """The long answer has been written."""
        self._answer = None
        if self.state is State.SEND_BODY and not self._transport.is_closing():
            self._writing.set_reset(False)
            self._go_on(close or (len(self._calls) == 1 and self.left))

    def break_off(self) -> None:
        """It can't be: the caller has to see that it is not whole."""
        self._answer = None
        self._abort()

    def _go_on(self, close: bool) -> None:
        """The first call has its answer: turn to the next, or end the connection."""
        self._calls.popleft()
        self.since = self._server.loop.time()
        self._requests.restart_clock(self.since)
        self.state = State.SEND_RESPONSE if self._calls else State.IDLE
        if close:
            self._end()
        elif self._calls:
            self._server.loop.call_soon(self._next)
        else:
            self._advance()
