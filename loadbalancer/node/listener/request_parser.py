"""Parses the requests on a client's connection as they come, and bounds their sizes and their time."""

from __future__ import annotations

import re
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus

import httptools

from loadbalancer.node.http.body import MAX_BODY_BYTES
from loadbalancer.node.http.client_connection import MAX_BUFFERED_BYTES, MAX_HEAD_BYTES
from loadbalancer.node.listener.inbound_request import InboundRequest

# A slow but legitimate client takes 2 s for a head and sends 64 kB/s of a body.
HEAD_TIMEOUT_S = 2.3  # for a request's head; for the first one from the connection's start
MIN_BODY_BYTES_PER_S = 48_000.0  # of a request's body, after the grace period
BODY_GRACE_S = 0.5

SCHEMES = (b"http", b"https")


class ReceiveState(Enum):
    """The client's side of a connection."""

    IDLE = "nothing of a request has arrived"
    HEAD = "a request's head is being received"
    BODY = "a request's body is being received"
    ERROR = "something was invalid; nothing more is parsed"


class RequestParser:
    """Parses what it is fed, and calls `on_head` with a request at the end of its head, `on_received` at its
    end. The other public methods are callbacks of httptools."""

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
        self._parser = httptools.HttpRequestParser(self)
        self.state = ReceiveState.IDLE
        self.error_status = 0  # of the response to what was invalid
        self.request: InboundRequest | None = None  # the one that is being received
        self.is_first = True  # no request has been received yet
        self.size = 0  # bytes of the request's body
        self.started_at = now  # loop time (s): the connection's or a request's start
        self.head_received_at = now  # loop time (s), with the time added for which a body was paused
        self._head_fields_size = 0  # bytes of the target, headers and trailers
        self._partial_head_size = 0  # bytes that have arrived of a head that is not complete

    def feed(self, data: bytes, now: float, arrival: float) -> None:
        """Parse these bytes, read at loop time `now` (s), which may have arrived as early as `arrival`."""
        self._now, self._arrival = now, arrival
        if self.state is ReceiveState.ERROR:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(HTTPStatus.BAD_REQUEST)
        # httptools reports a header only once it is complete, and holds any number of bytes until then. The
        # bound leaves room for a body that has arrived with the head's first part.
        if self.state is ReceiveState.HEAD:
            self._partial_head_size += len(data)
            if self._partial_head_size > MAX_HEAD_BYTES + MAX_BUFFERED_BYTES:
                self._fail(HTTPStatus.BAD_REQUEST)

    def deadline(self) -> float:
        """Return the loop time (s) at which what has arrived of a request is too little.

        A body is held to its rate alone: a bound on the whole time would end uploads that keep to it.
        """
        head_deadline = self.started_at + HEAD_TIMEOUT_S
        if self.state is not ReceiveState.BODY:
            return head_deadline
        return max(head_deadline, self.head_received_at + BODY_GRACE_S + self.size / MIN_BODY_BYTES_PER_S)

    def restart_timeout(self, now: float) -> None:
        """Count the time from this loop time (s) on, as what came before was not read."""
        self.started_at = self.head_received_at = now

    def extend_deadline(self, seconds: float) -> None:
        """Leave out a time in which nothing was read."""
        self.head_received_at += seconds

    def discard(self) -> None:
        """Drop the request that is being received."""
        request, self.request = self.request, None
        if request is not None:
            request.body.fail()

    def _fail(self, status: int) -> None:
        self.state = ReceiveState.ERROR
        self.error_status = self.error_status or status

    # ---------------------------------------------------------------- httptools callbacks

    def on_message_begin(self) -> None:
        """Begin a request."""
        if self.state is not ReceiveState.ERROR:
            self.state = ReceiveState.HEAD
            self.request = self._new_request()
            self.size = self._partial_head_size = self._head_fields_size = 0
            if not self.is_first:
                self.started_at = self._now

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        self._grow_head(len(url))
        if self.request is not None:
            self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; a trailer is dropped."""
        self._grow_head(len(name) + len(value))
        if self.request is not None and self.state is ReceiveState.HEAD:
            self.request.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Complete the head; respond 413 if the body is declared too long."""
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
        """Add a part of the body; respond 413 if it is too long."""
        self.size += len(body)
        if self.size > MAX_BODY_BYTES:
            self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if self.request is not None and self.state is not ReceiveState.ERROR:
            self.request.body.feed(body)

    def on_message_complete(self) -> None:
        """End the request."""
        request = self.request
        if request is None or self.state is ReceiveState.ERROR:
            return
        self.state, self.request, self.is_first = ReceiveState.IDLE, None, False
        # The client's time runs from the arrival, also while the bytes wait unread behind another request.
        request.received_at = self._arrival
        request.receiving = False
        request.body.end()
        self._on_received(request)

    def _grow_head(self, size: int) -> None:
        self._head_fields_size += size
        if self._head_fields_size > MAX_HEAD_BYTES:
            self._fail(HTTPStatus.BAD_REQUEST)


def origin_form(target: bytes) -> bytes:
    """Return a target's path and query, the form in which endpoints receive it (RFC 9112, section 3.2.1)."""
    scheme, _, rest = target.partition(b"://")
    if target.startswith(b"/") or scheme.lower() not in SCHEMES:
        return target
    path = rest[len(re.split(rb"[/?]", rest, maxsplit=1)[0]) :]
    return path if path.startswith(b"/") else b"/" + path
