"""A caller's connection: its requests as they come, and the one answer to each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loadbalancer.node.http.body import HIGH_WATER, Body
from loadbalancer.node.listener.call import Call, LongAnswer, head
from loadbalancer.node.listener.connection_states import ClosableConnection, ConnectionOwner, State
from loadbalancer.node.listener.flow_control import Reading, Writing
from loadbalancer.node.listener.request_parser import RequestParser

READY_PATH = b"/up"


class ServerConnection(ClosableConnection):
    """One caller's connection; requests that come at once are answered in turn."""

    def __init__(self, server: ConnectionOwner) -> None:
        super().__init__(server)
        self._reading: Reading
        self._answer: LongAnswer | None = None  # in SEND_BODY

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
            self._requests.feed(data, now, self._reading.arrival(now))
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
            self._answer.heard_at = self._server.loop.time()
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
        if self._answer is not None:
            self._answer.heard_at = self._server.loop.time()
        self._transport.write(data)

    def cut_off(self, call: Call, silent_s: float) -> bool:
        """End a long answer of which nothing has come for so long, though its caller would take it; whether
        that was so. Its server is given up with the connection."""
        answer = self._answer
        if answer is None or answer.call is not call or answer.rest.held:
            return False
        silent = self._server.loop.time() - answer.heard_at >= silent_s
        if silent:
            self._abort()
        return silent

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
