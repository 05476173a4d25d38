"""One client connection: receives requests and sends exactly one response to each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from loadbalancer.node.http.body import Body
from loadbalancer.node.http.socket_buffer import unread_bytes
from loadbalancer.node.listener.connection_states import ClosableConnection, ConnectionOwner, ConnectionState
from loadbalancer.node.listener.flow_control import LINGER_S, ReadControl, WriteControl
from loadbalancer.node.listener.inbound_request import InboundRequest
from loadbalancer.node.listener.request_parser import RequestParser
from loadbalancer.node.listener.stream_progress import MIN_SILENCE_S, StreamProgress
from loadbalancer.node.listener.streamed_response import StreamedResponse, response_head

READINESS_PATH = b"/up"
EXPECTED_CONTINUE = b"100-continue"


class ServerConnection(ClosableConnection):
    """One client connection; responses to pipelined requests are sent in request order."""

    def __init__(self, listener: ConnectionOwner) -> None:
        super().__init__(listener)
        self._read_control: ReadControl
        self._stream: StreamedResponse | None = None  # set in state SEND_BODY

    # -------------------------------------------------------- asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with its listener and start reading."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.opened_at = self.last_activity_at = self._listener.loop.time()
        self._parser = RequestParser(
            lambda: InboundRequest(self, Body(self._read_control, self._memory.buffer_bytes)),
            self._on_head,
            self._on_request_received,
            self.opened_at,
        )
        self._read_control = ReadControl(self._listener.loop, transport, self._on_body_resumed)
        self._write_control = WriteControl(transport, self._memory.buffer_bytes)
        self._listener.opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse requests and act on them."""
        now = self._listener.loop.time()
        if self._linger is not None:  # discard the data; unread data would turn the close into a reset
            self._linger.on_data(now)
        elif self.state is not ConnectionState.CLOSED:
            if self._upload_is_over():
                return
            if self._parser.request is None:
                self.last_activity_at = now
            self._parser.feed(data, now, self._read_control.earliest_arrival(now))
            if self._linger is None:  # parsing may end the connection; later requests are not served
                self._advance_within_budget()

    def _upload_is_over(self) -> bool:
        """End a request that is forwarded while it is received if its client has left; return whether it has.

        Checked before each part, so that the last one, which would let the server begin, isn't sent.
        """
        request = self._parser.request
        uploading = self.state is ConnectionState.SEND_RESPONSE and request is not None and request.dispatched
        return uploading and self.close_if_disconnected()

    def eof_received(self) -> bool:
        """Treat the client as disconnected: a full close can't be distinguished from a half-close.

        A half-closed client that still reads receives an error response, or the remainder of a response that
        is already being streamed, as that starts no new work.
        """
        if self.state is ConnectionState.SEND_BODY and self._parser.request is None:
            return True
        received = self._queue or self._parser.request is not None or self._parser.has_unparsed
        if self._linger is None and received:
            self._fail(HTTPStatus.BAD_REQUEST)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End all requests of the connection."""
        self.state = ConnectionState.CLOSED
        self._listener.closed(self)
        if self._stream is not None:
            self._stream.on_client_lost()
        self._stream = None
        self._drop_requests()
        self._release_memory()
        self._parser.close()
        self._read_control.close()

    def pause_writing(self) -> None:
        """Pause the streamed response, as the write buffer is full."""
        self._write_control.full = True
        if self._stream is not None:
            self._stream.body.pause()

    def resume_writing(self) -> None:
        """Resume the streamed response, or continue with the next request."""
        self._write_control.full = False
        if self._stream is not None:
            self._stream.progress.on_client_ready(self._listener.loop.time())
            self._stream.body.resume()
        else:
            self._parser.restart_timeout(self._listener.loop.time())
            self._listener.loop.call_soon(self._advance_queue)

    # ---------------------------------------------------------------- requests

    def _on_head(self, request: InboundRequest) -> None:
        expects_continue = request.headers.get(b"expect", b"").lower() == EXPECTED_CONTINUE
        if expects_continue and self.state is ConnectionState.IDLE and not self._queue:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _on_request_received(self, request: InboundRequest) -> None:
        self._read_control.resume()  # a body whose size equals the high-water mark has paused reading
        if self._first is not request:
            self._queue.append(request)
        elif request.on_received is not None:
            request.on_received()

    def _advance(self) -> None:
        """Act on the parsed data: dispatch the first request, continue reading, or respond with an error."""
        partial, error_status = self._parser.request, self._parser.error_status
        if partial is not None and not self._queue and partial.body.size >= partial.body.high_water_bytes:
            partial.received_at = self._listener.loop.time()  # replaced when its last byte arrives
            self._queue.append(partial)  # dispatched while its body is still being received
        if self._queue and self.state is ConnectionState.IDLE:
            self.state = ConnectionState.SEND_RESPONSE
        first = self._first
        if error_status and first in (None, partial):
            if error_status == HTTPStatus.SERVICE_UNAVAILABLE:
                self._listener.on_memory_denied()
            else:
                self._listener.on_malformed_request()
            self._fail(error_status)
            return
        # Most clients send one request at a time; further pipelined requests stay in the kernel's buffer.
        unparsed = self._parser.has_unparsed
        pipelined = first is not None and (len(self._queue) > 1 or partial not in (None, first))
        # While the client doesn't read, no further response is started, so that responses don't accumulate.
        blocked = self._write_control.full and (first is None or not first.dispatched)
        self._read_control.set_backlogged(pipelined or blocked or unparsed)
        if unparsed and first in (None, partial):
            self._listener.parse_later(self)
        if first is not None and not first.dispatched and not blocked:
            self._dispatch(first)

    def parse_unparsed(self) -> None:
        """Parse the bytes that the last turn has left, unless they belong behind a request in progress."""
        parser = self._parser
        if self.is_closing or not parser.has_unparsed or self._read_control.body_paused:
            return
        if self._first not in (None, parser.request):
            return
        if self.state is ConnectionState.IDLE and self.disconnected:
            self._fail(HTTPStatus.BAD_REQUEST)
            return
        if self._upload_is_over():
            return
        parser.resume(self._listener.loop.time())
        if self._linger is None:
            self._advance_within_budget()

    def _advance_within_budget(self) -> None:
        """Act on the parsed data, or reject what doesn't fit into the memory budget.

        Requests behind the one in progress have not been dispatched. They get one 503 after its response.
        """
        if not self._reserve_received():
            while len(self._queue) > 1 or (self._queue and not self._queue[0].dispatched):
                self._queue.pop()
            if self._parser.request is not self._first or self._first is None:
                self._parser.reject(HTTPStatus.SERVICE_UNAVAILABLE)
            self._reserve_received()
        self._advance()

    def _on_body_resumed(self, paused_s: float) -> None:
        self._parser.extend_deadline(paused_s)
        if self._parser.has_unparsed:
            self._listener.parse_later(self)

    def _dispatch(self, request: InboundRequest) -> None:
        request.dispatched = True
        if self._receiving_bytes:
            self._reserve_received()
        if request.receiving:
            self._read_control.restart_arrival()
        if request.target.partition(b"?")[0] == READINESS_PATH:
            ready = self._listener.accepts_clients
            request.respond(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self._listener.on_request(request)

    def _advance_queue(self) -> None:
        """Process the next request, unless the client has disconnected while it was queued."""
        queued = self.state is ConnectionState.SEND_RESPONSE
        if self.state is ConnectionState.IDLE or (queued and not self.close_if_disconnected()):
            self._advance()

    # ---------------------------------------------------------------- RequestConnection

    def respond(self, request: InboundRequest, status: int, body: bytes, retry_after_ms: float) -> None:
        """Write the response if the client is still connected."""
        if not self._can_respond(request):
            return
        close = self._closes_after(request)
        self._transport.write(response_head(status, len(body), close, retry_after_ms) + body)
        self._finish_request(close)

    def _can_respond(self, request: InboundRequest) -> bool:
        current = self.state is ConnectionState.SEND_RESPONSE and self._first is request
        return current and not self._transport.is_closing()

    def begin_stream(
        self,
        request: InboundRequest,
        content_length: int | None,
        body: Body,
        on_end: Callable[[bool], None],
    ) -> None:
        """Write a 200 response with a streamed body; call `on_end` with whether the body was completed."""
        if not self._can_respond(request):
            body.discard()
            on_end(False)
            return
        self.state = ConnectionState.SEND_BODY
        close = self._closes_after(request)
        progress = StreamProgress(self._listener.loop.time())
        self._stream = StreamedResponse(self, request, body, content_length, close, on_end, progress)
        self._transport.write(self._stream.head())
        if self._stream.ends_with_connection:
            # A response that ends with its connection can only be marked as incomplete by a reset, also if
            # this process exits.
            self._write_control.set_reset(True)
        body.attach(self._stream)

    def write(self, data: bytes) -> None:
        """Write the next bytes of the streamed response."""
        if self._stream is not None:
            self._stream.progress.on_data(self._listener.loop.time())
        self._transport.write(data)

    def abort_if_hanging(self, request: InboundRequest) -> float | None:
        """Abort the streamed response if its server hangs, or return the loop time (s) of the next check.

        While the client doesn't read, the server can't send. Closing the connection also ends the attempt.
        """
        stream, now = self._stream, self._listener.loop.time()
        if stream is None or stream.request is not request or stream.body.paused:
            return now + MIN_SILENCE_S
        hanging_at = stream.progress.hanging_at
        if now < hanging_at:
            return hanging_at
        self._abort()
        return None

    def is_delivering(self, now: float) -> bool:
        """Whether a response makes progress at loop time `now` (s): its server sends, and its client reads.

        While the client doesn't read, the server can't send. After the response the client gets the time of
        a lingering close.
        """
        stream = self._stream
        if stream is None and not self._write_control.unsent:
            return now - self.last_activity_at < LINGER_S
        client_receives = self._write_control.receives(now)
        server_hangs = stream is not None and not stream.body.paused and stream.progress.is_silent(now)
        return client_receives and not server_hangs

    def earliest_end(self, now: float) -> float:
        """Return the earliest loop time (s) at which the client may have sent the last byte of the request
        that is being received; `now` if it can't have."""
        unread_since = self._read_control.unread_since(now)
        return min(now, self._parser.earliest_end(now, unread_since, unread_bytes(self._transport)))

    def finish_stream(self, close: bool) -> None:
        """Finish a streamed response that has been written completely, and continue with the next request."""
        self._stream = None
        if self.state is ConnectionState.SEND_BODY and not self._transport.is_closing():
            self._write_control.set_reset(False)
            last = len(self._queue) == 1 and not self._parser.has_unparsed
            self._finish_request(close or (last and self.disconnected))

    def abort_stream(self) -> None:
        """Reset the connection, so that the client detects that the streamed response is incomplete."""
        self._stream = None
        self._abort()

    def _finish_request(self, close: bool) -> None:
        """Remove the first request, as its response is written; process the next one or close."""
        self._queue.popleft()
        self._count_unsent()
        self.last_activity_at = self._listener.loop.time()
        self._parser.restart_timeout(self.last_activity_at)
        self.state = ConnectionState.SEND_RESPONSE if self._queue else ConnectionState.IDLE
        if close:
            self._linger_and_close()
            # A request that is still being received has its response; the rest of it is discarded.
            self._parser.discard()
            self._reserve_received()
        elif self._queue:
            self._listener.loop.call_soon(self._advance_queue)
        else:
            self._advance()
