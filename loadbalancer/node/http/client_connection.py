"""HTTP/1.1 for the node's outgoing calls: one connection, one exchange at a time, nothing sent twice."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import httptools

from loadbalancer.node.http.body import HIGH_WATER_BYTES, MAX_BODY_BYTES, Body
from loadbalancer.node.http.socket_buffer import readable

MAX_BUFFERED_BYTES = HIGH_WATER_BYTES  # of a body that is held whole
MAX_HEAD_BYTES = 16 * 1024
LAST_CHUNK = b"0\r\n\r\n"


@dataclass(slots=True)
class Response:
    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)  # by lower-case name
    body: bytearray = field(default_factory=bytearray)
    content_length: int | None = None  # as declared
    stream: Body | None = None  # of an answer too long to be held whole: it, as it comes

    def ends_with_connection(self, version: str) -> bool:
        """Whether the end of the connection is the end of this answer, by its head."""
        if self.status < 200 or self.headers.keys() & {b"content-length", b"transfer-encoding"}:
            return False
        # Guard: an answer of no length ends with its connection, but only a server that has said it will
        # close means that by an end; any other end is a break. HTTP/1.0 closes unless it says otherwise.
        said = self.headers.get(b"connection", b"").lower()
        return b"close" in said or (version == "1.0" and b"keep-alive" not in said)


class Exchange(Protocol):
    """What a connection tells of the one request that it carries: `sent` at most once, then its end once."""

    def on_request_sent(self) -> None:
        """Its last byte has left."""

    def on_stream_begun(self, response: Response) -> None:
        """An answer too long to be held whole has begun; its end is told by one of the others."""

    def on_response(self, response: Response) -> None: ...

    def on_connection_lost(self, written: bool) -> None:
        """The connection ended with no whole answer; `written`: its request's last byte had left."""


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class _Upload:
    """A request's body on its way to a server."""

    def __init__(self, connection: ClientConnection, body: Body, chunked: bool) -> None:
        self.body = body
        self._connection = connection
        self._chunked = chunked

    def write(self, data: bytes) -> None:
        self._connection.write(encode_chunk(data) if self._chunked else data)

    def end(self) -> None:
        if self._chunked:
            self._connection.write(LAST_CHUNK)
        self._connection.finish_request()

    def fail(self) -> None:
        self._connection.abandon()


class ClientConnection(asyncio.Protocol):
    """The calling end of a connection. `on_closed` is told when it is gone, or will be before
    whatever the loop is given from then on; perhaps more than once."""

    def __init__(
        self,
        on_closed: Callable[[ClientConnection], None],
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
        streams: bool = False,
    ) -> None:
        self._on_closed = on_closed
        self._max_buffered_bytes = max_buffered_bytes
        self._streams = streams  # a longer 200 is passed on as it comes
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._response = Response()
        self._body_size = 0
        self._in_head = False
        self._head_size = 0  # of head and trailers
        self._unparsed_bytes = 0  # bytes since the last of a body: a line that has not ended is in the parser
        self._complete = False
        self._ends_with_connection = False  # the answer's end is the connection's
        self._unusable = False
        self._written = True
        self._upload: _Upload | None = None  # a long request under way
        self.malformed = False  # what came is no answer as HTTP has it, or too long to be one
        self.idle_since = 0.0
        self.upload_progress_at = 0.0  # and since when it has yet to take more of a long request
        self.last_data_at = 0.0  # the loop's time of the last bytes

    # -------------------------------------------------------------- for the owner

    @property
    def usable(self) -> bool:
        """Whether a new request may go out on it."""
        # Guard: an end that has come but not been read yet would turn the request into a reset.
        transport = self._transport
        return (
            transport is not None
            and not self._unusable
            and self._exchange is None
            and not transport.is_closing()
            and not readable(transport)
        )

    @property
    def written(self) -> bool:
        """Whether the last byte of the current request has left."""
        return self._written

    def start(self, data: bytes, exchange: Exchange, body: Body | None = None, chunked: bool = False) -> None:
        """Send a request: these bytes, and a body that may still be coming."""
        assert self._transport is not None
        assert self._exchange is None
        self._exchange = exchange
        self._response, self._body_size, self._complete, self._ends_with_connection = (
            Response(),
            0,
            False,
            False,
        )
        self._written = False
        # Guard: known before the first write, as that may already be more than the kernel takes.
        upload = self._upload = _Upload(self, body, chunked) if body is not None else None
        self._transport.write(data)
        if upload is not None:
            upload.body.attach(upload)
        else:
            self.finish_request()

    def write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def finish_request(self) -> None:
        """All of the request has been given; it has left unless some of it is still in the buffer."""
        assert self._transport is not None
        self._upload = None
        # Guard: a write that fails at once empties the buffer and closes; nothing of it has left.
        if not self._transport.is_closing() and not self._transport.get_write_buffer_size():
            self.resume_writing()

    @property
    def stream_paused(self) -> bool:
        """Whether what still comes of the answer must wait for the one who takes it."""
        return self._response.stream is not None and self._response.stream.paused

    def fail_stream(self) -> None:
        """What still was to come of the answer won't."""
        if self._response.stream is not None:
            self._response.stream.fail()

    def abort(self) -> None:
        """Close at once, unsent bytes included. The exchange, if any, hears nothing."""
        self._exchange = None
        self._unusable = True
        upload, self._upload = self._upload, None
        if self._transport is not None:
            self._transport.abort()
        self._on_closed(self)
        if upload is not None:
            upload.body.detach(upload)

    # ---------------------------------------------------------- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # Guard: asyncio drops its buffer before connection_lost; with limits of 0 it tells when all has left.
        transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        if self._upload is not None:
            self.upload_progress_at = asyncio.get_running_loop().time()
            self._upload.body.pause()

    def resume_writing(self) -> None:
        if self._upload is not None:
            self.upload_progress_at = asyncio.get_running_loop().time()
            self._upload.body.resume()
            return
        self._written = True
        if self._exchange is not None:
            self._exchange.on_request_sent()

    def data_received(self, data: bytes) -> None:
        if self._exchange is None:  # nothing was asked: what follows would not belong to the next request
            self.abort()
            return
        self.last_data_at = asyncio.get_running_loop().time()
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._unusable = self.malformed = True
        if (
            self._unparsed_bytes > MAX_HEAD_BYTES + MAX_BUFFERED_BYTES
        ):  # Guard: the parser tells of a header once it is whole
            self._unusable = self.malformed = True
        self._process_received()

    def _process_received(self) -> None:
        """Pass on what has come, and end the exchange if that was the end of it."""
        if self._response.stream is not None or not self._unusable:  # nothing is begun that is known to break
            self._stream_body()
        if self._exchange is None:
            return
        if self._complete:
            exchange, self._exchange = self._exchange, None
            # A server that answers before it has the whole request leaves the rest on the connection.
            if not self._written:
                self._unusable = True
            if self._unusable:
                self.abort()
            if self._response.stream is not None:
                # Guard: its taker may have stopped the reading with the last bytes; nobody else would go on.
                self.resume()
                self._response.stream.end()
            exchange.on_response(self._response)
        elif self._unusable:
            self._end_exchange(self._written)

    def _stream_body(self) -> None:
        """Begin an answer that is too long to be held whole, and pass on what has come of it."""
        response = self._response
        if response.stream is None:
            long = max(response.content_length or 0, len(response.body)) > self._max_buffered_bytes
            if not (self._streams and long and response.body) or self._complete:
                return
            response.stream = Body(self)
            assert self._exchange is not None
            self._exchange.on_stream_begun(response)
        piece = bytes(response.body)
        response.body.clear()
        if piece:
            response.stream.feed(piece)

    # --------------------------------------------------- as the source of an answer

    def pause(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        self.last_data_at = asyncio.get_running_loop().time()  # it could not be heard before
        if self._transport is not None:
            self._transport.resume_reading()

    def abandon(self) -> None:
        self._end_exchange(self._written)

    def eof_received(self) -> bool:
        self._unusable = True
        if self._exchange is not None:
            # Guard: left to asyncio, what it still holds of the request would be written out first.
            self._complete = self._ends_with_connection
            self._process_received()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._end_exchange(self._written)

    def _end_exchange(self, written: bool) -> None:
        exchange = self._exchange
        self.abort()
        if exchange is not None:
            exchange.on_connection_lost(written)

    # --------------------------------------------------------- httptools callbacks

    def on_message_begin(self) -> None:
        if self._complete:
            self._unusable = True  # more than was asked for
        self._in_head, self._head_size, self._unparsed_bytes = not self._complete, 0, 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head_size += len(name) + len(value)
        if self._head_size > MAX_HEAD_BYTES:
            self._unusable = self.malformed = True
        if self._in_head:  # a trailer must not pass for a header
            self._response.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        self._body_size = 0
        if self._in_head:
            self._in_head = False
            self._response.status = self._parser.get_status_code()
            length = self._response.headers.get(b"content-length", b"")
            self._response.content_length = int(length) if length.isdigit() else None
            if self._streams and (self._response.content_length or 0) > MAX_BODY_BYTES:
                # Guard: passed on as it came, it could not be sent again once nothing more came of it.
                self._unusable = self.malformed = True
            self._ends_with_connection = self._response.ends_with_connection(self._parser.get_http_version())
            if self._response.status == 200 and not self._written:
                # Guard: a server begins once the last byte has come; this is another request's answer, late.
                self._unusable = True

    def on_body(self, body: bytes) -> None:
        self._unparsed_bytes = 0
        self._body_size += len(body)
        if self._streams and self._response.status != 200:
            # The text of an answer that is no 200 goes nowhere; of a long one the rest is not waited for.
            if self._body_size > MAX_BUFFERED_BYTES:
                self._complete = self._unusable = True
        elif self._body_size > (MAX_BODY_BYTES if self._streams else self._max_buffered_bytes):
            self._unusable = self.malformed = True
        elif not self._unusable:
            self._response.body += body

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if self._complete or self._unusable:
            return
        if status < 200:  # an interim answer: the real one follows
            self._response, self._body_size = Response(), 0
            return
        self._complete = True
        if not self._parser.should_keep_alive():
            self._unusable = True
