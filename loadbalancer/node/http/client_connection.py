"""An HTTP/1.1 client connection to a server: one exchange at a time, and no request is ever sent twice."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import httptools

from loadbalancer.node.http.body import HIGH_WATER_BYTES, MAX_BODY_BYTES, Body
from loadbalancer.node.http.message_limits import MAX_FIELDS, MAX_HEAD_BYTES
from loadbalancer.node.http.read_buffer import READ_BYTES, BoundedReadProtocol
from loadbalancer.node.http.receive_progress import ReceiveProgress
from loadbalancer.node.http.response import Exchange, Response
from loadbalancer.node.http.socket_buffer import delivery, readable
from loadbalancer.node.http.turn_parser import MalformedMessageError, TurnParser
from loadbalancer.node.http.turn_scheduler import TurnScheduler

MAX_BUFFERED_BYTES = HIGH_WATER_BYTES  # default size limit of a buffered response body
LAST_CHUNK = b"0\r\n\r\n"
OK_STATUS = HTTPStatus.OK.value  # a plain integer, as each response is compared with it


def encode_chunk(data: bytes) -> bytes:
    """Encode the bytes as one chunk of the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class _Upload:
    """The sink of a request body; writes it to the connection to the server."""

    def __init__(self, connection: ClientConnection, body: Body, chunked: bool) -> None:
        self.body = body
        self._connection = connection
        self._chunked = chunked

    def write(self, data: bytes) -> None:
        """Write the next bytes, as one chunk if the transfer coding is chunked."""
        self._connection.write(encode_chunk(data) if self._chunked else data)

    def end(self) -> None:
        """Write the last chunk if the transfer coding is chunked, and finish the request."""
        if self._chunked:
            self._connection.write(LAST_CHUNK)
        self._connection.finish_request()

    def fail(self) -> None:
        """End the connection, as the rest of the request body will not arrive."""
        self._connection.abandon()


class ClientConnection(BoundedReadProtocol):
    """The client's end of a connection, and the source of the response bodies that it streams.

    `on_closed` is called when the connection is closed, or as soon as it is certain to close before any
    callback that is scheduled later. It may be called more than once. With `streams`, a response with status
    200 and a body longer than `max_buffered_bytes` is streamed.
    """

    def __init__(
        self,
        on_closed: Callable[[ClientConnection], None],
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
        streams: bool = False,
        read_buffer: bytearray | None = None,
        scheduler: TurnScheduler | None = None,
    ) -> None:
        super().__init__(bytearray(READ_BYTES) if read_buffer is None else read_buffer)
        self._on_closed = on_closed
        self._max_buffered_bytes = max_buffered_bytes
        self._streams = streams
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._turns = TurnParser(self._parser.feed_data, self)
        self._scheduler = TurnScheduler() if scheduler is None else scheduler
        self._paused = False  # whether the sink of the streamed response has paused it
        self.steps = 0  # callbacks since the connection was opened
        self.completed = 0  # responses received completely since then
        self.between_messages = True  # whether no byte of a response has been received
        self.in_body = False  # whether a body is being received
        self._exchange: Exchange | None = None
        self._response = Response()
        self._body_size = 0  # bytes
        self._in_head = False
        self._head_size = 0  # bytes of head and trailers
        self._fields = 0  # number of headers and trailers
        self._complete = False
        self._ends_with_connection = False  # whether closing the connection completes the response
        self._unusable = False  # whether it can't carry another exchange
        self._written = True
        self._upload: _Upload | None = None  # while a request body is being sent
        self.malformed = False  # whether the received data is no valid response, or is too long
        self.idle_since = 0.0  # loop time (s), set by the pool
        self.upload_progress_at = 0.0  # loop time (s) when the upload was last paused or resumed
        self._upload_received = ReceiveProgress()  # by the server, while the upload is paused
        self.last_data_at = 0.0  # loop time (s) of the last bytes received

    # ---------------------------------------------------------------- for the owner

    @property
    def usable(self) -> bool:
        """Whether the connection can carry a request.

        Unread input in the kernel rules it out: if that is the server's close, the request would be reset.
        """
        transport = self._transport
        return (
            transport is not None
            and not self._unusable
            and self._exchange is None
            and not self._turns.has_unparsed
            and not transport.is_closing()
            and not readable(transport)
        )

    @property
    def written(self) -> bool:
        """Whether the last byte of the current request has been written to the socket."""
        return self._written

    def upload_silent_s(self, now: float) -> float:
        """Return for how long, at loop time `now` (s), the server has received nothing of a paused upload."""
        if self._transport is None:
            return 0.0
        silent_s = self._upload_received.silent_s(now, delivery(self._transport))
        return min(silent_s, now - self.upload_progress_at)

    def start(self, data: bytes, exchange: Exchange, body: Body | None = None, chunked: bool = False) -> None:
        """Send a request: these bytes, then the body, which may not have arrived completely yet."""
        assert self._transport is not None
        assert self._exchange is None
        self._exchange = exchange
        self._response = Response()
        self._body_size = 0
        self._complete = self._ends_with_connection = False
        self._written = False
        self.upload_progress_at = self._loop.time()
        self._upload_received.restart()
        # Set before the first write, which may already call `pause_writing`.
        upload = self._upload = _Upload(self, body, chunked) if body is not None else None
        self._transport.write(data)
        if upload is not None:
            upload.body.attach(upload)
        else:
            self.finish_request()

    def write(self, data: bytes) -> None:
        """Write a part of the request body."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def finish_request(self) -> None:
        """Note that the request has been passed on in full; it is sent once the write buffer is empty.

        A write that fails at once also empties the buffer, but closes the transport; nothing was sent then.
        """
        assert self._transport is not None
        self._upload = None
        if not self._transport.is_closing() and not self._transport.get_write_buffer_size():
            self.resume_writing()

    @property
    def stream_paused(self) -> bool:
        """Whether the streamed response is paused by its sink."""
        return self._response.stream is not None and self._response.stream.paused

    def fail_stream(self) -> None:
        """Mark the streamed response as failed: the rest will not arrive."""
        if self._response.stream is not None:
            self._response.stream.fail()

    def abort(self) -> None:
        """Close immediately and drop unsent bytes. The exchange, if any, gets no further callback."""
        self._exchange = None
        self._unusable = True
        self._turns.stop()
        self._scheduler.discard(self)
        upload, self._upload = self._upload, None
        if self._transport is not None:
            self._transport.abort()
        self._on_closed(self)
        if upload is not None:
            upload.body.detach(upload)

    # -------------------------------------------------------- asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its write buffer limits to 0.

        asyncio drops its write buffer before it calls `connection_lost`, so the buffer does not show there
        whether all bytes were written. With limits of 0, asyncio calls `resume_writing` once they are.
        """
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Pause the upload."""
        if self._upload is not None:
            self.upload_progress_at = self._loop.time()
            self._upload.body.pause()

    def resume_writing(self) -> None:
        """Resume the upload or, if there is none, note that the request has been sent."""
        if self._upload is not None:
            self.upload_progress_at = self._loop.time()
            self._upload.body.resume()
            return
        self._written = True
        if self._exchange is not None:
            self._exchange.on_request_sent()

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response.

        Data that arrives without a request ends the connection, as it could be taken for the response to the
        next request.
        """
        if self._exchange is None:
            self.abort()
            return
        self.last_data_at = self._loop.time()
        try:
            self._turns.feed(data)
        except MalformedMessageError:
            self._unusable = self.malformed = True
        self._end_turn()

    def parse_unparsed(self) -> None:
        """Parse the bytes that the last turn has left, unless the sink has paused the response."""
        if not self._paused:
            self._resume_turn()
            self._apply_pause()

    def _resume_turn(self) -> None:
        """Parse unparsed bytes for one turn."""
        try:
            self._turns.resume()
        except MalformedMessageError:
            self._unusable = self.malformed = True
        self._end_turn()

    def _end_turn(self) -> None:
        """Forward what has arrived once the read has been parsed or the response ends."""
        if self._turns.has_unparsed and not (self._complete or self._unusable):
            self._apply_pause()
            return
        if self._turns.has_unparsed:  # bytes behind the response
            self._unusable = True
        self._process_received()

    def _apply_pause(self) -> None:
        """Read only if neither the sink nor unparsed bytes have to be waited for."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._turns.has_unparsed:
            self._transport.pause_reading()
            if not self._paused:
                self._scheduler.add(self)
        elif self._paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _process_received(self) -> None:
        """Forward what has arrived, and end the exchange if the response is complete."""
        # A stream that is certain to fail is not begun.
        if self._response.stream is not None or not self._unusable:
            self._stream_body()
        if self._exchange is None:
            return
        if self._complete:
            exchange, self._exchange = self._exchange, None
            # The server responded before the request was complete. The rest of this request would be sent
            # before the next request.
            if not self._written:
                self._unusable = True
            if self._unusable:
                self.abort()
            # An idle connection doesn't hold its last response.
            response, self._response = self._response, Response()
            if response.stream is not None:
                # The sink may have paused reading at the last bytes and will not resume it.
                self.resume()
                response.stream.end()
            exchange.on_response(response)
        elif self._unusable:
            self._end_exchange(self._written)

    def _stream_body(self) -> None:
        """Begin to stream a response that is too long to buffer, and forward the bytes that have arrived."""
        response = self._response
        if response.stream is None:
            long = max(response.content_length or 0, len(response.body)) > self._max_buffered_bytes
            if not (self._streams and long and response.body) or self._complete:
                return
            response.stream = Body(self, self._max_buffered_bytes)
            assert self._exchange is not None
            self._exchange.on_stream_started(response)
        piece = bytes(response.body)
        response.body.clear()
        if piece:
            response.stream.feed(piece)

    def eof_received(self) -> bool:
        """End the exchange now; asyncio on its own would first write the rest of the request."""
        self._unusable = True
        if self._exchange is not None:
            self._complete = self._ends_with_connection
            self._process_received()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange, and drop the references that would need the garbage collector.

        What has been received before may be a complete response.
        """
        while self._turns.has_unparsed and self._exchange is not None:
            self._resume_turn()
        self._end_exchange(self._written)
        self._turns.close()
        del self._parser

    def _end_exchange(self, written: bool) -> None:
        exchange = self._exchange
        self.abort()
        if exchange is not None:
            exchange.on_connection_lost(written)

    # ---------------------------------------------------------------- Source

    def pause(self) -> None:
        """Stop reading the streamed response."""
        self._paused = True
        self._apply_pause()

    def resume(self) -> None:
        """Continue reading; the time since the last data restarts now."""
        self.last_data_at = self._loop.time()
        self._paused = False
        self._apply_pause()

    def abandon(self) -> None:
        """End the connection, as nothing will consume the rest of the body."""
        self._end_exchange(self._written)

    # -------------------------------------------------------------------- TurnMessage

    @property
    def remaining_body(self) -> int | None:
        """The bytes left of a body with a Content-Length, else None."""
        length = self._response.content_length
        return length - self._body_size if length is not None and self.in_body else None

    # ---------------------------------------------------------------- httptools callbacks

    def on_message_begin(self) -> None:
        """Begin a response; a second one to the same request makes the connection unusable."""
        self.steps += 1
        self.between_messages = False
        if self._complete:
            self._unusable = True
        self._in_head, self._head_size, self._fields = not self._complete, 0, 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped."""
        self.steps += 1
        self._head_size += len(name) + len(value)
        self._fields += 1
        if self._head_size > MAX_HEAD_BYTES or self._fields > MAX_FIELDS:
            self._unusable = self.malformed = True
        if self._in_head:
            self._response.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Evaluate the head of the response."""
        self._body_size = 0
        self.in_body = True
        if self._in_head:
            self._in_head = False
            response = self._response
            response.status = self._parser.get_status_code()
            length = response.headers.get(b"content-length", b"")
            response.content_length = int(length) if length.isdigit() else None
            if self._streams and (response.content_length or 0) > MAX_BODY_BYTES:
                # Rejected at its head, because a request can't be retried once its response is streamed.
                self._unusable = self.malformed = True
            self._ends_with_connection = response.ends_with_connection(self._parser.get_http_version())
            if response.status == OK_STATUS and not self._written:
                # A server needs the complete request to succeed; this is a late response to an earlier one.
                self._unusable = True

    def on_body(self, body: bytes) -> None:
        """Add a part of the body.

        With `streams`, the body of an error response is not forwarded, so the rest of a long one is not read.
        """
        self.steps += 1
        self._body_size += len(body)
        if self._streams and self._response.status != OK_STATUS:
            if self._body_size > self._max_buffered_bytes:
                self._complete = self._unusable = True
        elif self._body_size > (MAX_BODY_BYTES if self._streams else self._max_buffered_bytes):
            self._unusable = self.malformed = True
        elif not self._unusable:
            self._response.body += body

    def on_message_complete(self) -> None:
        """End the response; an interim response (1xx) is dropped, as the final one follows."""
        self.steps += 1
        self.in_body = False
        self.between_messages = True
        status = self._parser.get_status_code()
        if self._complete or self._unusable:
            return
        if status < OK_STATUS:
            self._response, self._body_size = Response(), 0
            return
        self._complete = True
        self.completed += 1
        if not self._parser.should_keep_alive():
            self._unusable = True
