"""A caller's connection: its requests as they come, and the one answer to each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loadbalancer.node.http.body import HIGH_WATER_BYTES, Body
from loadbalancer.node.listener.connection_states import ClosableConnection, ConnectionOwner, ConnectionState
from loadbalancer.node.listener.flow_control import ReadControl, WriteControl
from loadbalancer.node.listener.inbound_request import InboundRequest, StreamedResponse, response_head
from loadbalancer.node.listener.request_parser import RequestParser

READY_PATH = b"/up"


class ServerConnection(ClosableConnection):
    """One caller's connection; requests that come at once are answered in turn."""

    def __init__(self, listener: ConnectionOwner) -> None:
        super().__init__(listener)
        self._read_control: ReadControl
        self._stream: StreamedResponse | None = None  # in SEND_BODY

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.opened_at = self.last_activity_at = self._listener.loop.time()
        self._parser = RequestParser(
            lambda: InboundRequest(self, Body(self._read_control)),
            self._on_head,
            self._on_request_received,
            self.opened_at,
        )
        self._read_control = ReadControl(self._listener.loop, transport, self._parser.extend_deadline)
        self._write_control = WriteControl(transport)
        self._listener.opened(self)

    def data_received(self, data: bytes) -> None:
        now = self._listener.loop.time()
        if self._linger is not None:  # read and dropped, so that the answer is not lost to a reset
            self._linger.on_data(now)
        elif self.state is not ConnectionState.CLOSED:
            if self._parser.request is None:
                self.last_activity_at = now
            self._parser.feed(data, now, self._read_control.earliest_arrival(now))
            if self._linger is None:  # Guard: requests parsed behind the end were served
                self._advance()

    def eof_received(self) -> bool:
        """The caller has left: an end can't be told from a half-close. One that still reads gets a failure as
        its answer, or the rest of one that is being passed on, as nothing is begun for that."""
        if self.state is ConnectionState.SEND_BODY and self._parser.request is None:
            return True
        if self._linger is None and (self._queue or self._parser.request is not None):
            self._fail(400)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.state = ConnectionState.CLOSED
        self._listener.closed(self)
        if self._stream is not None:
            self._stream.on_client_lost()
        self._stream = None
        self._drop_requests()

    def pause_writing(self) -> None:
        self._write_control.full = True
        if self._stream is not None:
            self._stream.body.pause()

    def resume_writing(self) -> None:
        self._write_control.full = False
        if self._stream is not None:
            self._stream.last_data_at = self._listener.loop.time()
            self._stream.body.resume()
        else:
            self._parser.restart_timeout(self._listener.loop.time())
            self._listener.loop.call_soon(self._advance_queue)

    def _on_head(self, call: InboundRequest) -> None:
        expects = call.headers.get(b"expect", b"").lower() == b"100-continue"
        if expects and self.state is ConnectionState.IDLE and not self._queue:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _on_request_received(self, call: InboundRequest) -> None:
        self._read_control.resume()  # a body of just the high-water mark has stopped the reading
        if self._first is not call:
            self._queue.append(call)
        elif call.on_received is not None:
            call.on_received()

    def _advance(self) -> None:
        """Act on what has been read: hand the first request on, or read on, or fail what is none."""
        coming, fault = self._parser.request, self._parser.error_status
        if coming is not None and not self._queue and coming.body.size >= HIGH_WATER_BYTES:
            coming.received_at = self._listener.loop.time()  # for now
            self._queue.append(coming)  # too long to be held whole
        if self._queue and self.state is ConnectionState.IDLE:
            self.state = ConnectionState.SEND_RESPONSE
        first = self._first
        if fault and first in (None, coming):
            self._fail(fault)
            return
        # A caller sends one request at a time; another is left in the kernel until its turn.
        behind = first is not None and (len(self._queue) > 1 or coming not in (None, first))
        # Guard: answers piled up for a caller that asked on and on and read none.
        waits = self._write_control.full and (first is None or not first.dispatched)
        self._read_control.set_backlogged(behind or waits)
        if first is not None and not first.dispatched and not waits:
            self._dispatch(first)

    def _dispatch(self, call: InboundRequest) -> None:
        call.dispatched = True
        if call.target.partition(b"?")[0] == READY_PATH:
            call.respond(200 if self._listener.accepts_clients else 503)
        else:
            self._listener.on_request(call)

    def _advance_queue(self) -> None:
        # Guard: what waited its turn was begun for a caller that had left.
        if self.state is ConnectionState.IDLE or (
            self.state is ConnectionState.SEND_RESPONSE and not self.close_if_disconnected()
        ):
            self._advance()

    def respond(self, call: InboundRequest, status: int, body: bytes, retry_after_ms: float) -> None:
        if not self._can_respond(call):
            return
        close = self._closes_after(call)
        self._transport.write(response_head(status, len(body), close, retry_after_ms) + body)
        self._finish_request(close)

    def _can_respond(self, call: InboundRequest) -> bool:
        """Whether the answer to this call can still be written."""
        return (
            self.state is ConnectionState.SEND_RESPONSE
            and self._first is call
            and not self._transport.is_closing()
        )

    def begin_stream(
        self, call: InboundRequest, length: int | None, rest: Body, on_end: Callable[[bool], None]
    ) -> None:
        if not self._can_respond(call):
            rest.discard()
            on_end(False)
            return
        self.state = ConnectionState.SEND_BODY
        self._stream = StreamedResponse(self, call, rest, length, self._closes_after(call), on_end)
        self._transport.write(self._stream.head())
        if self._stream.ends_with_connection:
            # Guard: with an end for its mark, one that broke off, or whose process ended, passed for whole.
            self._write_control.set_reset(True)
        rest.attach(self._stream)

    def write(self, data: bytes) -> None:
        if self._stream is not None:
            self._stream.last_data_at = self._listener.loop.time()
        self._transport.write(data)

    def abort_if_silent(self, call: InboundRequest, silent_s: float) -> bool:
        """End a long answer of which nothing has come for so long, though its caller would take it; whether
        that was so. Its server is given up with the connection."""
        answer = self._stream
        if answer is None or answer.request is not call or answer.body.paused:
            return False
        silent = self._listener.loop.time() - answer.last_data_at >= silent_s
        if silent:
            self._abort()
        return silent

    def finish_stream(self, close: bool) -> None:
        """The long answer has been written."""
        self._stream = None
        if self.state is ConnectionState.SEND_BODY and not self._transport.is_closing():
            self._write_control.set_reset(False)
            self._finish_request(close or (len(self._queue) == 1 and self.disconnected))

    def abort_stream(self) -> None:
        """It can't be: the caller has to see that it is not whole."""
        self._stream = None
        self._abort()

    def _finish_request(self, close: bool) -> None:
        """The first call has its answer: turn to the next, or end the connection."""
        self._queue.popleft()
        self.last_activity_at = self._listener.loop.time()
        self._parser.restart_timeout(self.last_activity_at)
        self.state = ConnectionState.SEND_RESPONSE if self._queue else ConnectionState.IDLE
        if close:
            self._linger_and_close()
        elif self._queue:
            self._listener.loop.call_soon(self._advance_queue)
        else:
            self._advance()
