"""Parses requests incrementally on a client connection, and limits their size and duration."""

from __future__ import annotations

import re
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus

import httptools

from loadbalancer.node.http.body import MAX_BODY_BYTES
from loadbalancer.node.http.client_connection import MAX_BUFFERED_BYTES, MAX_HEAD_BYTES
from loadbalancer.node.http.request_parsing import RequestCallbacks, UpgradeIgnoringParser
from loadbalancer.node.listener.inbound_request import InboundRequest

# A slow but legitimate client sends a head within 2 s and a body at 64 kB/s.
HEAD_TIMEOUT_S = 2.3  # limit for receiving a head; for the first request, it starts with the connection
MIN_BODY_BYTES_PER_S = 48_000.0  # min rate of a request body, after BODY_GRACE_S
BODY_GRACE_S = 0.5

SCHEMES = (b"http", b"https")


class ReceiveState(Enum):
    """The receiving side of a connection."""

    IDLE = "no byte of a request has arrived"
    HEAD = "a request's head is being received"
    BODY = "a request's body is being received"
    ERROR = "the received data was invalid; nothing more is parsed"


class RequestParser(RequestCallbacks):
    """Parses received bytes; calls `on_head` after a request's head and `on_received` after its last byte."""

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
        self.state = ReceiveState.IDLE
        self.error_status = 0  # status of the response to invalid data; 0 if there was none
        self.request: InboundRequest | None = None  # the request that is being received
        self.is_first = True  # no request has been received completely yet
        self.size = 0  # bytes received of the request's body
        self.started_at = now  # loop time (s) at which the connection or request started
        self.head_received_at = now  # loop time (s) of the head's end, plus body pauses
        self._head_fields_size = 0  # total size of the target, headers and trailers
        self._partial_head_size = 0  # bytes received of an incomplete head

    def feed(self, data: bytes, now: float, arrival: float) -> None:
        """Parse bytes read at loop time `now` (s) that may have arrived as early as `arrival` (s)."""
        self._now, self._arrival = now, arrival
        if self.state is ReceiveState.ERROR:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(HTTPStatus.BAD_REQUEST)
        # httptools reports a header only once it is complete, and buffers any number of bytes until then. The
        # limit allows for body bytes that arrived together with the first part of the head.
        if self.state is ReceiveState.HEAD:
            self._partial_head_size += len(data)
            if self._partial_head_size > MAX_HEAD_BYTES + MAX_BUFFERED_BYTES:
                self._fail(HTTPStatus.BAD_REQUEST)

    def deadline(self) -> float:
        """Return the loop time (s) at which the request is overdue if no more data arrives.

        A body has only a minimum rate: a limit on the total time would end uploads that keep to that rate.
        """
        head_deadline = self.started_at + HEAD_TIMEOUT_S
        if self.state is not ReceiveState.BODY:
            return head_deadline
        return max(head_deadline, self.head_received_at + BODY_GRACE_S + self.size / MIN_BODY_BYTES_PER_S)

    def restart_timeout(self, now: float) -> None:
        """Restart the timeout at loop time `now` (s), as the time before it is not counted."""
        self.started_at = self.head_received_at = now

    def extend_deadline(self, seconds: float) -> None:
        """Extend the deadline by a period in which reading was paused."""
        self.head_received_at += seconds

    def discard(self) -> None:
        """Discard the request that is being received."""
        request, self.request = self.request, None
        if request is not None:
            request.body.fail()

    def _fail(self, status: int) -> None:
        self.state = ReceiveState.ERROR
        self.error_status = self.error_status or status

    # ---------------------------------------------------------------- RequestCallbacks

    def framing_header(self, name: bytes) -> bytes | None:
        """Return the value of this header of the request that is being received, or None."""
        return None if self.request is None else self.request.headers.get(name)

    def on_message_begin(self) -> None:
        """Start a request."""
        if self.state is not ReceiveState.ERROR:
            self.state = ReceiveState.HEAD
            self.request = self._new_request()
            self.size = self._partial_head_size = self._head_fields_size = 0
            if not self.is_first:
                self.started_at = self._now

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._grow_head(len(url))
        if self.request is not None:
            self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; ignore a trailer."""
        self._grow_head(len(name) + len(value))
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
        self.size += len(body)
        if self.size > MAX_BODY_BYTES:
            self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if self.request is not None and self.state is not ReceiveState.ERROR:
            self.request.body.feed(body)

    def on_message_complete(self) -> None:
        """Complete the request."""
        request = self.request
        if request is None or self.state is ReceiveState.ERROR:
            return
        self.state, self.request, self.is_first = ReceiveState.IDLE, None, False
        # The client timeout starts at the arrival, even if the bytes wait unread behind another request.
        request.received_at = self._arrival
        request.receiving = False
        request.body.end()
        self._on_received(request)

    def _grow_head(self, size: int) -> None:
        self._head_fields_size += size
        if self._head_fields_size > MAX_HEAD_BYTES:
            self._fail(HTTPStatus.BAD_REQUEST)


def origin_form(target: bytes) -> bytes:
    """Return a target's path and query: the origin form that endpoints receive (RFC 9112, section 3.2.1)."""
    scheme, _, rest = target.partition(b"://")
    if target.startswith(b"/") or scheme.lower() not in SCHEMES:
        return target
    path = rest[len(re.split(rb"[/?]", rest, maxsplit=1)[0]) :]
    return path if path.startswith(b"/") else b"/" + path
