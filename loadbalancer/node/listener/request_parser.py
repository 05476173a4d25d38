"""Parses requests incrementally on a client connection, and limits their size and duration."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from http import HTTPStatus

from loadbalancer.node.http.body import MAX_BODY_BYTES
from loadbalancer.node.http.message_limits import (
    FIELD_BYTES,
    MAX_FIELDS,
    MAX_HEAD_BYTES,
    MIN_BODY_BYTES_PER_S,
)
from loadbalancer.node.http.request_parsing import RequestCallbacks, UpgradeIgnoringParser
from loadbalancer.node.http.turn_parser import MalformedMessageError, TurnParser
from loadbalancer.node.listener.inbound_request import InboundRequest
from loadbalancer.node.listener.request_target import origin_form

# A slow but legitimate client sends a head within 2 s and a body at 64 kB/s.
HEAD_TIMEOUT_S = 2.3  # limit for receiving a head; for the first request, it starts with the connection
BODY_GRACE_S = 0.5
MAX_BODY_PAUSE_S = 2.3  # between two parts of a body
MAX_IN_TRANSIT_BYTES = 4 * 1024 * 1024  # the largest send buffer that Linux gives a connection by default


class ReceiveState(Enum):
    """The receiving side of a connection."""

    IDLE = "no byte of a request has arrived"
    HEAD = "a request's head is being received"
    BODY = "a request's body is being received"
    ERROR = "the received data was invalid; nothing more is parsed"


class RequestParser(RequestCallbacks):
    """Parses received bytes; calls `on_head` after a request's head and `on_received` after its last byte.

    Each call parses at most one turn's work; the bytes behind it stay unparsed until `resume`.
    """

    def __init__(
        self,
        new_request: Callable[[], InboundRequest],
        on_head: Callable[[InboundRequest], None],
        on_received: Callable[[InboundRequest], None],
        now: float,
    ) -> None:
        self._new_request = new_request
        self._on_head = on_head
        self._on_received = on_received
        self._now = now
        self._arrival = now
        self._parser = UpgradeIgnoringParser(self)
        self._turns = TurnParser(self._parser.feed_data, self)
        self.state = ReceiveState.IDLE
        self.error_status = 0  # status of the response to invalid data; 0 if there was none
        self.request: InboundRequest | None = None  # the request that is being received
        self.is_first = True  # no request has been received completely yet
        self.size = 0  # bytes received of the request's body
        self.started_at = now  # loop time (s) at which the connection or request started
        # Loop time (s) from which on the rest of the body may be in the kernels' buffers.
        self._in_transit_since = now
        self.head_received_at = now  # loop time (s) of the head's end, plus body pauses
        self._head_fields_size = 0  # total size of the target, headers and trailers
        self._fields = 0  # number of headers and trailers
        self._last_data_at = now  # loop time (s) of the last bytes received, plus body pauses
        self.steps = 0  # callbacks since the connection was opened
        self.completed = 0  # requests received completely since then
        self._body_parts: list[bytes] = []  # of this turn

    @property
    def memory_bytes(self) -> int:
        """The memory of the bytes that are not parsed, and of the request that is being received.

        It is 0 if that request has been dispatched, as it is then part of an exchange.
        """
        request = self.request
        if request is None:
            return self._turns.memory_bytes
        return 0 if request.dispatched else self._turns.memory_bytes + request.memory_bytes

    @property
    def has_unparsed(self) -> bool:
        """Whether the last turn has left received bytes, which wait for `resume`."""
        return self._turns.has_unparsed

    def feed(self, data: bytes, now: float, arrival: float) -> None:
        """Parse bytes read at loop time `now` (s) that may have arrived as early as `arrival` (s)."""
        self._now, self._arrival, self._last_data_at = now, arrival, now
        try:
            self._turns.feed(data)
        except MalformedMessageError:
            self._fail(HTTPStatus.BAD_REQUEST)
        if self._body_parts:
            self._flush_body()

    def resume(self, now: float) -> None:
        """Parse unparsed bytes at loop time `now` (s), up to the limit of a turn."""
        self._now = now
        try:
            self._turns.resume()
        except MalformedMessageError:
            self._fail(HTTPStatus.BAD_REQUEST)
        if self._body_parts:
            self._flush_body()

    def _remainder_fits_in_transit(self, unread_bytes: int = 0) -> bool:
        """Whether the rest of the body is unknown, or short enough to have been sent completely.

        `unread_bytes` of it have arrived and wait in the kernel.
        """
        length = None if self.request is None else self.request.content_length
        return length is None or length - self.size - unread_bytes <= MAX_IN_TRANSIT_BYTES

    def _flush_body(self) -> None:
        """Pass on the parts of the body that this turn has received, as one."""
        parts, self._body_parts = self._body_parts, []
        if self.request is not None:
            self.request.body.feed(parts[0] if len(parts) == 1 else b"".join(parts))

    def earliest_end(self, now: float, unread_since: float, unread_bytes: int | None) -> float:
        """Return the earliest loop time (s) at which the client may have sent the last byte of the request.

        `unread_since`: the time since which bytes of this connection wait unread. `unread_bytes`: their
        number, if it is known at loop time `now` (s). The client can't have sent more than they and the send
        buffer of its kernel hold.
        """
        if unread_bytes is not None and not self._remainder_fits_in_transit(unread_bytes):
            self._in_transit_since = now
        return max(unread_since, self._in_transit_since)

    def deadline(self) -> float:
        """Return the loop time (s) at which the request is overdue if no more data arrives.

        A body has a minimum rate and a longest pause: a limit on the total time would end uploads that keep
        to that rate, and without the pause a client that has sent much could stop for as long.
        """
        head_deadline = self.started_at + HEAD_TIMEOUT_S
        if self.state is not ReceiveState.BODY:
            return head_deadline
        rate_deadline = self.head_received_at + BODY_GRACE_S + self.size / MIN_BODY_BYTES_PER_S
        pause_deadline = max(self._last_data_at, self.head_received_at) + MAX_BODY_PAUSE_S
        return max(head_deadline, min(rate_deadline, pause_deadline))

    def restart_timeout(self, now: float) -> None:
        """Restart the timeout at loop time `now` (s), as the time before it is not counted."""
        self.started_at = self.head_received_at = self._last_data_at = now

    def extend_deadline(self, seconds: float) -> None:
        """Extend the deadline by a period in which reading was paused."""
        self.head_received_at += seconds
        self._last_data_at += seconds

    def close(self) -> None:
        """Drop the references to the connection, so that both are freed without the garbage collector.

        No other method may be called afterwards; the parser has no state but ERROR.
        """
        self.discard()
        self.state = ReceiveState.ERROR
        self._turns.close()
        self._parser.close()
        del self._parser, self._new_request, self._on_head, self._on_received

    def reject(self, status: int) -> None:
        """Discard what has been received but the requests in progress, and parse nothing more."""
        self.discard()
        self._fail(status)

    def discard(self) -> None:
        """Discard the request that is being received."""
        self._turns.discard()
        self._body_parts = []
        request, self.request = self.request, None
        if request is not None:
            request.body.fail()

    def _fail(self, status: int) -> None:
        self.state = ReceiveState.ERROR
        self.error_status = self.error_status or status
        self._turns.stop()

    # -------------------------------------------------------------------- TurnMessage

    @property
    def between_messages(self) -> bool:
        """Whether no byte of a request has arrived."""
        return self.state is ReceiveState.IDLE

    @property
    def in_body(self) -> bool:
        """Whether a request's body is being received."""
        return self.state is ReceiveState.BODY

    @property
    def remaining_body(self) -> int | None:
        """The bytes left of a body with a Content-Length, else None."""
        length = None if self.request is None else self.request.content_length
        return length - self.size if length is not None and self.in_body else None

    # ---------------------------------------------------------------- RequestCallbacks

    def framing_header(self, name: bytes) -> bytes | None:
        """Return the value of this header of the request that is being received, or None."""
        return None if self.request is None else self.request.headers.get(name)

    def on_message_begin(self) -> None:
        """Start a request."""
        self.steps += 1
        if self.state is not ReceiveState.ERROR:
            self.state = ReceiveState.HEAD
            self.request = self._new_request()
            self.size = self._head_fields_size = self._fields = 0
            self._in_transit_since = self._arrival
            if not self.is_first:
                self.started_at = self._now

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self.steps += 1
        self._grow_head(len(url))
        if self.request is not None:
            self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; ignore a trailer."""
        self.steps += 1
        self._fields += 1
        self._grow_head(len(name) + len(value))
        if self._fields > MAX_FIELDS:
            self._fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if self.request is not None and self.state is ReceiveState.HEAD:
            self.request.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Complete the head; set status 413 if the declared body length exceeds the limit."""
        request = self.request
        if request is None or self.state is ReceiveState.ERROR:
            return
        self.state = ReceiveState.BODY
        self.head_received_at = self._now
        request.target = origin_form(request.target)
        request.method = self._parser.get_method()
        request.version = self._parser.get_http_version()
        request.keep_alive = self._parser.should_keep_alive()
        length = request.headers.get(b"content-length", b"")
        request.content_length = int(length) if length.isdigit() else None
        if request.content_length is not None and request.content_length > MAX_BODY_BYTES:
            self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        else:
            self._on_head(request)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; set status 413 if the body exceeds the limit."""
        self.steps += 1
        was_in_transit = self._remainder_fits_in_transit()
        self.size += len(body)
        if not was_in_transit and self._remainder_fits_in_transit():
            self._in_transit_since = self._now
        if self.size > MAX_BODY_BYTES:
            self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if self.request is not None and self.state is not ReceiveState.ERROR:
            self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """Complete the request."""
        self.steps += 1
        request = self.request
        if request is None or self.state is ReceiveState.ERROR:
            return
        self.completed += 1
        if self._body_parts:
            self._flush_body()
        self.state, self.request, self.is_first = ReceiveState.IDLE, None, False
        # The client timeout starts at the arrival, even if the bytes wait unread behind another request.
        request.received_at = max(self._arrival, self._in_transit_since)
        request.receiving = False
        request.body.end()
        self._on_received(request)

    def _grow_head(self, size: int) -> None:
        self._head_fields_size += size
        if self.request is not None:
            self.request.head_bytes += size + FIELD_BYTES
        if self._head_fields_size > MAX_HEAD_BYTES:
            self._fail(HTTPStatus.BAD_REQUEST)
