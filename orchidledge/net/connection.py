"""A caller's connection: parses its requests and writes the one answer to each."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools

from orchidledge.net.body import HIGH_WATER, LONGEST, Body
from orchidledge.net.call import Call, LongAnswer, head
from orchidledge.net.http import MAX_BODY, MAX_HEAD, readable
from orchidledge.net.pending import ended

if TYPE_CHECKING:
    from orchidledge.net.server import Server

READY_PATH = b"/up"
LINGER_S = (
    1.0  # how long after a fatal answer, and after the last that a caller still sends, that is dropped,
)
LINGER_MOST_S = 5.0  # at the most
HEAD_S = (
    2.3  # how long a request's head may take, the first one from its connection's start (a slow one: 2 s),
)
PACE = 48_000.0  # how many bytes a second its body must bring from then on (a slow one: 64 kB/s),
BODY_S = 0.5  # after this long:


class ServerConnection(asyncio.Protocol):
    """One caller's connection. Requests that come at once are answered in turn."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._calls: deque[Call] = deque()  # those handed on or due to be, the first of them being answered
        self._partial: Call | None = None  # the one coming in; the only one of the others if its body is long
        self._paused_at: float | None = None  # the loop's time since when its body has had to wait
        self._size = 0  # of a body
        self._named = 0  # of the target, headers and trailers
        self._in_head = False
        self._head = 0  # bytes that have come of a head that is not whole
        self._answer: LongAnswer | None = None  # a long one under way
        self._fault = 0  # the status that ends this connection, once something was wrong on it
        self._closing = False  # the last answer has been written, or will be with what is in hand
        self.opened_at = 0.0  # by the loop's clock
        self.since = 0.0  # the loop's time of the last byte either way
        self._fresh = True  # no whole request has come yet
        self._head_at = 0.0  # the loop's time when a request's head was whole
        self._began = 0.0  # the loop's time of the connection's start, then of the first byte of a request

    @property
    def idle(self) -> bool:
        return not self._calls and self._partial is None and not self._closing

    def close_if_idle(self) -> bool:
        """Close between requests, but not with a request already waiting in the kernel."""
        if not self.idle or self._transport.is_closing() or readable(self._transport):
            return False
        self._transport.abort()
        return True

    def close_if_left(self) -> bool:
        """Whether the caller has gone, also where the event loop has not delivered its end yet: while reading
        is paused, or later in the same turn."""
        if not self._transport.is_closing() and ended(self._transport):
            self._transport.close()
        return self._transport.is_closing()

    def expire(self, now: float) -> bool:
        """End a connection on which a request is overdue by now; whether that was so."""
        waits = self._calls and self._calls[0] is not self._partial
        if self._closing or waits or self._paused_at is not None or self._answer or now < self._due():
            return False
        if self._partial is not None:
            self._fail(408)
            return True
        # Guard: judged by the connection's start, as line ends before a request look like traffic for ever.
        return self._fresh and self.close_if_idle()

    def _due(self) -> float:
        """When what has come of a request is too little."""
        due = self._began + HEAD_S
        if self._partial is None or self._in_head:
            return due
        # Guard: a limit on the whole request cut off callers that kept to their pace.
        return max(due, self._head_at + BODY_S + self._size / PACE)

    # ---------------------------------------------------------- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.opened_at = self.since = self._began = self._server.loop.time()
        self._server.opened(self)

    def data_received(self, data: bytes) -> None:
        if self._closing:
            self.since = self._server.loop.time()
            return  # read and dropped, so that the answer is not lost to a reset
        if self._partial is None:
            self.since = self._server.loop.time()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fault = self._fault or 400
        if self._in_head:  # Guard: the parser keeps a header back until it is whole
            self._head += len(data)
            if self._head > MAX_HEAD + MAX_BODY:  # a body before it may have come with its first part
                self._fault = self._fault or 400
        partial = self._partial
        if partial is not None and not self._calls and partial.body.size >= HIGH_WATER:
            partial.arrived = self._server.loop.time()  # for now
            self._calls.append(partial)  # too long to be held whole
        if self._fault and (not self._calls or self._calls[0] is partial is not None):
            self._fail(self._fault)
        elif self._calls:
            # A caller sends one request at a time; another is left in the kernel until its turn.
            if len(self._calls) > 1 or self._partial not in (None, self._calls[0]):
                self._transport.pause_reading()
            self._serve()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._closing = True
        self._server.closed(self)
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.lost()
        calls, self._calls = self._calls, deque()
        for call in calls:
            call.answered = True
            if call.on_gone is not None:
                call.on_gone()
        if self._partial is not None:
            self._partial.body.fail()

    # ------------------------------------------------- for want of descriptors or time

    @property
    def ending(self) -> bool:
        """Whether it takes no more requests: its last answer has been given, or it is closed."""
        return self._closing or self._transport.is_closing()

    def turn_away(self) -> bool:
        """Refuse a request that has come in part, and end the connection; whether there was one."""
        if self.ending or self._partial is None or self._calls:
            return False
        self._fail(503)
        return True

    def cut_short(self) -> bool:
        """Close it now if its last answer has left and only its end is awaited; whether that was so."""
        if not self._closing or self._transport.is_closing() or self._transport.get_write_buffer_size():
            return False
        if readable(self._transport):
            return False  # a close over these bytes would reset the answer away
        self._transport.abort()
        return True

    # ------------------------------------------------------ as the source of a body

    def pause(self) -> None:
        if self._paused_at is None:
            self._paused_at = self._server.loop.time()
            self._transport.pause_reading()

    def resume(self) -> None:
        if self._paused_at is not None:
            self._head_at += self._server.loop.time() - self._paused_at  # its pace could not be kept
            self._paused_at = None
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def abandoned(self) -> None:
        """The rest is read and dropped."""
        self.resume()

    # --------------------------------------------------------- httptools callbacks

    def on_message_begin(self) -> None:
        self._partial = Call(self, Body(self))
        if not self._fresh:
            self._began = self._server.loop.time()
        self._size = self._head = self._named = 0
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        self._grow_head(len(url))
        if self._partial is not None:
            self._partial.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._grow_head(len(name) + len(value))
        if self._partial is not None and self._in_head:  # a trailer must not pass for a header
            self._partial.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        self._in_head = False
        self._head_at = self._server.loop.time()
        if self._partial is None or self._fault:
            return
        call = self._partial
        call.target = origin_form(call.target)
        call.method = self._parser.get_method()
        call.version = self._parser.get_http_version()
        call.keep_alive = self._parser.should_keep_alive()
        length = call.headers.get(b"content-length", b"")
        call.length = int(length) if length.isdigit() else None
        if call.length is not None and call.length > LONGEST:
            self._fault = 413
        elif call.headers.get(b"expect", b"").lower() == b"100-continue" and not self._calls:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > LONGEST:
            self._fault = self._fault or 413
        if self._partial is not None and not self._fault:
            self._partial.body.put(body)

    def on_message_complete(self) -> None:
        call, self._partial = self._partial, None
        if call is None or self._fault:
            return
        self._fresh = False
        call.arrived = self._server.loop.time()
        call.coming = False
        call.body.end()
        self.resume()  # a body of just the high-water mark has stopped the reading
        if call not in self._calls:
            self._calls.append(call)
        elif call.on_whole is not None:
            call.on_whole()

    def _grow_head(self, size: int) -> None:
        self._named += size
        if self._named > MAX_HEAD:
            self._fault = self._fault or 400

    # -------------------------------------------------------------------- answers

    def _serve(self) -> None:
        """Hand the first whole request on, unless that has been done."""
        call = self._calls[0]
        if call.on_gone is None and not call.answered:
            call.on_gone = _nothing
            if call.target.partition(b"?")[0] == READY_PATH:
                call.answer(200 if self._server.takes_clients else 503)
            else:
                self._server.on_call(call)

    def answer(self, call: Call, status: int, body: bytes, retry_after_ms: float) -> None:
        if self._transport.is_closing() or not self._calls or self._calls[0] is not call:
            return
        close = self._last(call)
        self._transport.write(head(status, len(body), close, retry_after_ms) + body)
        self._go_on(close)

    def _last(self, call: Call) -> bool:
        """Whether the connection ends with the answer to this call."""
        close = call.coming or not call.keep_alive or self._server.draining or self._server.crowded
        return close and len(self._calls) == 1

    def _go_on(self, close: bool) -> None:
        """The first call has its answer: turn to the next, or end the connection."""
        self._calls.popleft()
        # What waited its turn to be read is due from now.
        self.since = self._began = self._head_at = self._server.loop.time()
        if close:
            self._end()
        elif self._calls:
            self._server.loop.call_soon(self._next)
        elif self._fault:
            self._fail(self._fault)
        else:
            self._transport.resume_reading()

    def begin(self, call: Call, length: int | None, rest: Body, on_end: Callable[[bool], None]) -> None:
        if self._transport.is_closing() or not self._calls or self._calls[0] is not call:
            rest.abandon()
            on_end(False)
            return
        close = self._last(call)
        # Guard: a caller of HTTP/1.0 knows no chunks; a length that is not known ends with its connection.
        chunked = length is None and call.version != "1.0"
        if length is None and not chunked:
            close = True
            self._transport.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
        else:
            self._transport.write(head(200, length, close, 0.0))
        self._answer = LongAnswer(self, call, rest, chunked, close, on_end)
        rest.attach(self._answer)

    def finish(self, close: bool) -> None:
        """The long answer has been written."""
        self._answer = None
        if not self._transport.is_closing() and self._calls:
            self._go_on(close)

    def break_off(self) -> None:
        """It can't be: the caller has to see that it is not whole."""
        self._answer = None
        self._transport.abort()

    def write(self, data: bytes) -> None:
        self._transport.write(data)

    def pause_writing(self) -> None:
        if self._answer is not None:
            self._answer.rest.hold()

    def resume_writing(self) -> None:
        if self._answer is not None:
            self._answer.rest.release()

    def _next(self) -> None:
        if self._calls and not self._closing:
            self._serve()

    def _fail(self, status: int) -> None:
        """Answer what can't be read as a request, and end the connection."""
        if self._answer is not None:  # an answer has begun before its request's end
            self._transport.abort()
            return
        partial, self._partial = self._partial, None
        if partial is not None and self._calls:  # it was handed on
            self._calls.clear()
            partial.answered = True
            if partial.on_gone is not None:
                partial.on_gone()
        if partial is not None:
            partial.body.fail()
        self._transport.write(head(status, 0, True, 0.0))
        self._end()

    def _end(self) -> None:
        """Close, reading on for a moment: closing over unread bytes would reset the answer away."""
        self._closing = True
        if not self._transport.is_closing():
            self._transport.resume_reading()
            if self._transport.can_write_eof():
                self._transport.write_eof()
            self._linger(self._server.loop.time() + LINGER_MOST_S)

    def _linger(self, until: float) -> None:
        """Read on for as long as a caller is still sending, within limits."""
        now = self._server.loop.time()
        due = min(self.since + LINGER_S, until)
        if due <= now:
            self._transport.abort()
        else:
            self._server.loop.call_at(due, self._linger, until)


def _nothing() -> None:
    """Stands for the interest of nobody in a caller's going away."""


def origin_form(target: bytes) -> bytes:
    """A target's path and query: servers are sent these, whichever form the caller chose."""
    scheme, _, rest = target.partition(b"://")
    if target.startswith(b"/") or scheme.lower() not in (b"http", b"https"):
        return target
    path = rest[len(re.split(rb"[/?]", rest, maxsplit=1)[0]) :]
    return path if path.startswith(b"/") else b"/" + path
