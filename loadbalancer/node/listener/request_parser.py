"""The requests on a caller's connection, parsed as they come and held to their sizes and their pace."""

from __future__ import annotations

import re
from collections.abc import Callable
from enum import Enum

import httptools

from loadbalancer.node.http.body import MAX_BODY_BYTES
from loadbalancer.node.http.client_connection import MAX_BUFFERED_BYTES, MAX_HEAD_BYTES
from loadbalancer.node.listener.inbound_request import InboundRequest

HEAD_TIMEOUT_S = (
    2.3  # how long a request's head may take, the first one from its connection's start (a slow one: 2 s),
)
MIN_BODY_BYTES_PER_S = (
    48_000.0  # how many bytes a second its body must bring from then on (a slow one: 64 kB/s),
)
BODY_GRACE_S = 0.5  # after this long:


class ReceiveState(Enum):
    """The caller's side of a connection."""

    IDLE = "nothing of a request has come"
    HEAD = "a request's head is coming"
    BODY = "its body is"
    ERROR = "something was wrong; nothing more is parsed"


class RequestParser:
    """Parses what it is fed; `on_head` hears of a request whose head has come, `on_whole` of a whole one."""

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
        self.error_status = 0  # the status that answers what was wrong
        self.request: InboundRequest | None = None  # the request that is coming
        self.is_first = True  # no whole one has come yet
        self.size = 0  # of its body
        self.started_at = (
            now  # the loop's time of the connection's start, then of the first byte of a request
        )
        self.head_received_at = now  # the loop's time when its head was whole
        self._head_fields_size = 0  # bytes of the target, headers and trailers
        self._partial_head_size = 0  # bytes that have come of a head that is not whole

    def feed(self, data: bytes, now: float, arrival: float) -> None:
        """`arrival`: the earliest moment at which these bytes may have come; they are paced by `now`."""
        self._now, self._arrival = now, arrival
        if self.state is ReceiveState.ERROR:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(400)
        if self.state is ReceiveState.HEAD:  # Guard: the parser keeps a header back until it is whole
            self._partial_head_size += len(data)
            if (
                self._partial_head_size > MAX_HEAD_BYTES + MAX_BUFFERED_BYTES
            ):  # a body before it may have come with its first part
                self._fail(400)

    def deadline(self) -> float:
        """When what has come of a request is too little."""
        due = self.started_at + HEAD_TIMEOUT_S
        if self.state is not ReceiveState.BODY:
            return due
        # Guard: a limit on the whole request cut off callers that kept to their pace.
        return max(due, self.head_received_at + BODY_GRACE_S + self.size / MIN_BODY_BYTES_PER_S)

    def restart_timeout(self, now: float) -> None:
        """What waited its turn to be read is due from now."""
        self.started_at = self.head_received_at = now

    def extend_deadline(self, seconds: float) -> None:
        """For so long its pace could not be kept, as nothing was read."""
        self.head_received_at += seconds

    def discard(self) -> None:
        """Of the request that is coming no more is wanted."""
        call, self.request = self.request, None
        if call is not None:
            call.body.fail()

    def _fail(self, status: int) -> None:
        self.state = ReceiveState.ERROR
        self.error_status = self.error_status or status

    # --------------------------------------------------------- httptools callbacks

    def on_message_begin(self) -> None:
        if self.state is not ReceiveState.ERROR:
            self.state = ReceiveState.HEAD
            self.request = self._new_request()
            self.size = self._partial_head_size = self._head_fields_size = 0
            if not self.is_first:
                self.started_at = self._now

    def on_url(self, url: bytes) -> None:
        self._grow_head(len(url))
        if self.request is not None:
            self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._grow_head(len(name) + len(value))
        if (
            self.request is not None and self.state is ReceiveState.HEAD
        ):  # a trailer must not pass for a header
            self.request.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        call = self.request
        if call is None or self.state is ReceiveState.ERROR:
            return
        self.state = ReceiveState.BODY
        self.head_received_at = self._now
        call.target = origin_form(call.target)
        call.method = self._parser.get_method()
        call.version = self._parser.get_http_version()
        call.keep_alive = self._parser.should_keep_alive()
        length = call.headers.get(b"content-length", b"")
        call.content_length = int(length) if length.isdigit() else None
        if call.content_length is not None and call.content_length > MAX_BODY_BYTES:
            self._fail(413)
        else:
            self._on_head(call)

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > MAX_BODY_BYTES:
            self._fail(413)
        if self.request is not None and self.state is not ReceiveState.ERROR:
            self.request.body.feed(body)

    def on_message_complete(self) -> None:
        call = self.request
        if call is None or self.state is ReceiveState.ERROR:
            return
        self.state, self.request, self.is_first = ReceiveState.IDLE, None, False
        # Guard: what waited unread behind another request was given its whole time once more.
        call.received_at = self._arrival
        call.receiving = False
        call.body.end()
        self._on_received(call)

    def _grow_head(self, size: int) -> None:
        self._head_fields_size += size
        if self._head_fields_size > MAX_HEAD_BYTES:
            self._fail(400)


def origin_form(target: bytes) -> bytes:
    """A target's path and query: servers are sent these, whichever form the caller chose."""
    scheme, _, rest = target.partition(b"://")
    if target.startswith(b"/") or scheme.lower() not in (b"http", b"https"):
        return target
    path = rest[len(re.split(rb"[/?]", rest, maxsplit=1)[0]) :]
    return path if path.startswith(b"/") else b"/" + path
