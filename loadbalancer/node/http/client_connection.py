"""HTTP/1.1 for the node's outgoing calls: one connection, one exchange at a time, nothing sent twice."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import httptools

from loadbalancer.node.http.body import HIGH_WATER, LONGEST, Body
from loadbalancer.node.http.socket_buffer import readable

MAX_BODY = HIGH_WATER  # of a body that is held whole
MAX_HEAD = 16 * 1024
LAST_CHUNK = b"0\r\n\r\n"


@dataclass(slots=True)
class Response:
    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)  # by lower-case name
    body: bytearray = field(default_factory=bytearray)
    length: int | None = None  # as declared
    rest: Body | None = None  # of an answer too long to be held whole: it, as it comes

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

    def sent(self) -> None:
        """Its last byte has left."""

    def begun(self, response: Response) -> None:
        """An answer too long to be held whole has begun; its end is told by one of the others."""

    def answered(self, response: Response) -> None: ...

    def lost(self, written: bool) -> None:
        """The connection ended with no whole answer; `written`: its request's last byte had left."""


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class _Upload:
    """A request's body on its way to a server."""

    def __init__(self, connection: ClientConnection, body: Body, chunked: bool) -> None:
        self.body = body
        self._connection = connection
        self._chunked = chunked

    def write(self, data: bytes) -> None:
        self._connection.write(chunk(data) if self._chunked else data)

    def end(self) -> None:
        if self._chunked:
            self._connection.write(LAST_CHUNK)
        self._connection.written_whole()

    def broken(self) -> None:
        self._connection.abandoned()


class ClientConnection(asyncio.Protocol):
    """The calling end of a connection. `on_closed` is told when it is gone, or will be before
    whatever the loop is given from then on; perhaps more than once."""

    def __init__(
        self, on_closed: Callable[[ClientConnection], None], max_body: int = MAX_BODY, streams: bool = False
    ) -> None:
        self._on_closed = on_closed
        self._max_body = max_body
        self._streams = streams  # a longer 200 is passed on as it comes
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._response = Response()
        self._size = 0
        self._in_head = False
        self._head_size = 0  # of head and trailers
        self._kept_back = 0  # bytes since the last of a body: a line that has not ended is in the parser
        self._whole = False
        self._to_the_end = False  # the answer's end is the connection's
        self._spoilt = False
        self._written = True
        self._upload: _Upload | None = None  # a long request under way
        self.unreadable = False  # what came is no answer as HTTP has it, or too long to be one
        self.idle_since = 0.0
        self.taken_at = 0.0  # and since when it has yet to take more of a long request
        self.heard_at = 0.0  # the loop's time of the last bytes

    # -------------------------------------------------------------- for the owner

    @property
    def usable(self) -> bool:
        """Whether a new request may go out on it."""
        # Guard: an end that has come but not been read yet would turn the request into a reset.
        transport = self._transport
        return (
            transport is not None
            and not self._spoilt
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
        self._response, self._size, self._whole, self._to_the_end = Response(), 0, False, False
        self._written = False
        # Guard: known before the first write, as that may already be more than the kernel takes.
        upload = self._upload = _Upload(self, body, chunked) if body is not None else None
        self._transport.write(data)
        if upload is not None:
            upload.body.attach(upload)
        else:
            self.written_whole()

    def write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def written_whole(self) -> None:
        """All of the request has been given; it has left unless some of it is still in the buffer."""
        assert self._transport is not None
        self._upload = None
        # Guard: a write that fails at once empties the buffer and closes; nothing of it has left.
        if not self._transport.is_closing() and not self._transport.get_write_buffer_size():
            self.resume_writing()

    @property
    def held(self) -> bool:
        """Whether what still comes of the answer must wait for the one who takes it."""
        return self._response.rest is not None and self._response.rest.held

    def fail_rest(self) -> None:
        """What still was to come of the answer won't."""
        if self._response.rest is not None:
            self._response.rest.fail()

    def abort(self) -> None:
        """Close at once, unsent bytes included. The exchange, if any, hears nothing."""
        self._exchange = None
        self._spoilt = True
        upload, self._upload = self._upload, None
        if self._transport is not None:
            self._transport.abort()
        self._on_closed(self)
        if upload is not None:
            upload.body.leave(upload)

    # ---------------------------------------------------------- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # Guard: asyncio drops its buffer before connection_lost; with limits of 0 it tells when all has left.
        transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        if self._upload is not None:
            self.taken_at = asyncio.get_running_loop().time()
            self._upload.body.hold()

    def resume_writing(self) -> None:
        if self._upload is not None:
            self.taken_at = asyncio.get_running_loop().time()
            self._upload.body.release()
            return
        self._written = True
        if self._exchange is not None:
            self._exchange.sent()

    def data_received(self, data: bytes) -> None:
        if self._exchange is None:  # nothing was asked: what follows would not belong to the next request
            self.abort()
            return
        self.heard_at = asyncio.get_running_loop().time()
        self._kept_back += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._spoilt = self.unreadable = True
        if self._kept_back > MAX_HEAD + MAX_BODY:  # Guard: the parser tells of a header once it is whole
            self._spoilt = self.unreadable = True
        self._go_on()

    def _go_on(self) -> None:
        """Pass on what has come, and end the exchange if that was the end of it."""
        if self._response.rest is not None or not self._spoilt:  # nothing is begun that is known to break
            self._pass_on()
        if self._exchange is None:
            return
        if self._whole:
            exchange, self._exchange = self._exchange, None
            # A server that answers before it has the whole request leaves the rest on the connection.
            if not self._written:
                self._spoilt = True
            if self._spoilt:
                self.abort()
            if self._response.rest is not None:
                # Guard: its taker may have stopped the reading with the last bytes; nobody else would go on.
                self.resume()
                self._response.rest.end()
            exchange.answered(self._response)
        elif self._spoilt:
            self._lose(self._written)

    def _pass_on(self) -> None:
        """Begin an answer that is too long to be held whole, and pass on what has come of it."""
        response = self._response
        if response.rest is None:
            long = max(response.length or 0, len(response.body)) > self._max_body
            if not (self._streams and long and response.body) or self._whole:
                return
            response.rest = Body(self)
            assert self._exchange is not None
            self._exchange.begun(response)
        piece = bytes(response.body)
        response.body.clear()
        if piece:
            response.rest.put(piece)

    # --------------------------------------------------- as the source of an answer

    def pause(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        self.heard_at = asyncio.get_running_loop().time()  # it could not be heard before
        if self._transport is not None:
            self._transport.resume_reading()

    def abandoned(self) -> None:
        self._lose(self._written)

    def eof_received(self) -> bool:
        self._spoilt = True
        if self._exchange is not None:
            # Guard: left to asyncio, what it still holds of the request would be written out first.
            self._whole = self._to_the_end
            self._go_on()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._lose(self._written)

    def _lose(self, written: bool) -> None:
        exchange = self._exchange
        self.abort()
        if exchange is not None:
            exchange.lost(written)

    # --------------------------------------------------------- httptools callbacks

    def on_message_begin(self) -> None:
        if self._whole:
            self._spoilt = True  # more than was asked for
        self._in_head, self._head_size, self._kept_back = not self._whole, 0, 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head_size += len(name) + len(value)
        if self._head_size > MAX_HEAD:
            self._spoilt = self.unreadable = True
        if self._in_head:  # a trailer must not pass for a header
            self._response.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        self._size = 0
        if self._in_head:
            self._in_head = False
            self._response.status = self._parser.get_status_code()
            length = self._response.headers.get(b"content-length", b"")
            self._response.length = int(length) if length.isdigit() else None
            if self._streams and (self._response.length or 0) > LONGEST:
                # Guard: passed on as it came, it could not be sent again once nothing more came of it.
                self._spoilt = self.unreadable = True
            self._to_the_end = self._response.ends_with_connection(self._parser.get_http_version())
            if self._response.status == 200 and not self._written:
                # Guard: a server begins once the last byte has come; this is another request's answer, late.
                self._spoilt = True

    def on_body(self, body: bytes) -> None:
        self._kept_back = 0
        self._size += len(body)
        if self._streams and self._response.status != 200:
            # The text of an answer that is no 200 goes nowhere; of a long one the rest is not waited for.
            if self._size > MAX_BODY:
                self._whole = self._spoilt = True
        elif self._size > (LONGEST if self._streams else self._max_body):
            self._spoilt = self.unreadable = True
        elif not self._spoilt:
            self._response.body += body

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if self._whole or self._spoilt:
            return
        if status < 200:  # an interim answer: the real one follows
            self._response, self._size = Response(), 0
            return
        self._whole = True
        if not self._parser.should_keep_alive():
            self._spoilt = True
