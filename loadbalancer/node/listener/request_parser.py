"""The requests on a caller's connection, parsed as they come and held to their sizes and their pace."""

from __future__ import annotations

import re
from collections.abc import Callable
from enum import Enum

import httptools

from loadbalancer.node.http.body import LONGEST
from loadbalancer.node.http.client_connection import MAX_BODY, MAX_HEAD
from loadbalancer.node.listener.call import Call

HEAD_S = (
    2.3  # how long a request's head may take, the first one from its connection's start (a slow one: 2 s),
)
PACE = 48_000.0  # how many bytes a second its body must bring from then on (a slow one: 64 kB/s),
BODY_S = 0.5  # after this long:


class Receiving(Enum):
    """The caller's side of a connection."""

    IDLE = "nothing of a request has come"
    HEAD = "a request's head is coming"
    BODY = "its body is"
    ERROR = "something was wrong; nothing more is parsed"


class RequestParser:
    """Parses what it is fed; `on_head` hears of a request whose head has come, `on_whole` of a whole one."""

    def __init__(
        self,
        new_call: Callable[[], Call],
        on_head: Callable[[Call], None],
        on_whole: Callable[[Call], None],
        now: float,
    ) -> None:
        self._new_call = new_call
        self._on_head = on_head
        self._on_whole = on_whole
        self._now = now
        self._arrival = now
        self._parser = httptools.HttpRequestParser(self)
        self.state = Receiving.IDLE
        self.fault = 0  # the status that answers what was wrong
        self.call: Call | None = None  # the request that is coming
        self.fresh = True  # no whole one has come yet
        self.size = 0  # of its body
        self.began = now  # the loop's time of the connection's start, then of the first byte of a request
        self.head_at = now  # the loop's time when its head was whole
        self._named = 0  # bytes of the target, headers and trailers
        self._head = 0  # bytes that have come of a head that is not whole

    def feed(self, data: bytes, now: float, arrival: float) -> None:
        """`arrival`: the earliest moment at which these bytes may have come; they are paced by `now`."""
        self._now, self._arrival = now, arrival
        if self.state is Receiving.ERROR:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(400)
        if self.state is Receiving.HEAD:  # Guard: the parser keeps a header back until it is whole
            self._head += len(data)
            if self._head > MAX_HEAD + MAX_BODY:  # a body before it may have come with its first part
                self._fail(400)

    def due(self) -> float:
        """When what has come of a request is too little."""
        due = self.began + HEAD_S
        if self.state is not Receiving.BODY:
            return due
        # Guard: a limit on the whole request cut off callers that kept to their pace.
        return max(due, self.head_at + BODY_S + self.size / PACE)

    def restart_clock(self, now: float) -> None:
        """What waited its turn to be read is due from now."""
        self.began = self.head_at = now

    def allow(self, seconds: float) -> None:
        """For so long its pace could not be kept, as nothing was read."""
        self.head_at += seconds

    def drop(self) -> None:
        """Of the request that is coming no more is wanted."""
        call, self.call = self.call, None
        if call is not None:
            call.body.fail()

    def _fail(self, status: int) -> None:
        self.state = Receiving.ERROR
        self.fault = self.fault or status

    # --------------------------------------------------------- httptools callbacks

    def on_message_begin(self) -> None:
        if self.state is not Receiving.ERROR:
            self.state = Receiving.HEAD
            self.call = self._new_call()
            self.size = self._head = self._named = 0
            if not self.fresh:
                self.began = self._now

    def on_url(self, url: bytes) -> None:
        self._grow_head(len(url))
        if self.call is not None:
            self.call.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._grow_head(len(name) + len(value))
        if self.call is not None and self.state is Receiving.HEAD:  # a trailer must not pass for a header
            self.call.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        call = self.call
        if call is None or self.state is Receiving.ERROR:
            return
        self.state = Receiving.BODY
        self.head_at = self._now
        call.target = origin_form(call.target)
        call.method = self._parser.get_method()
        call.version = self._parser.get_http_version()
        call.keep_alive = self._parser.should_keep_alive()
        length = call.headers.get(b"content-length", b"")
        call.length = int(length) if length.isdigit() else None
        if call.length is not None and call.length > LONGEST:
            self._fail(413)
        else:
            self._on_head(call)

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > LONGEST:
            self._fail(413)
        if self.call is not None and self.state is not Receiving.ERROR:
            self.call.body.put(body)

    def on_message_complete(self) -> None:
        call = self.call
        if call is None or self.state is Receiving.ERROR:
            return
        self.state, self.call, self.fresh = Receiving.IDLE, None, False
        # Guard: what waited unread behind another request was given its whole time once more.
        call.arrived = self._arrival
        call.coming = False
        call.body.end()
        self._on_whole(call)

    def _grow_head(self, size: int) -> None:
        self._named += size
        if self._named > MAX_HEAD:
            self._fail(400)


def origin_form(target: bytes) -> bytes:
    """A target's path and query: servers are sent these, whichever form the caller chose."""
    scheme, _, rest = target.partition(b"://")
    if target.startswith(b"/") or scheme.lower() not in (b"http", b"https"):
        return target
    path = rest[len(re.split(rb"[/?]", rest, maxsplit=1)[0]) :]
    return path if path.startswith(b"/") else b"/" + path
