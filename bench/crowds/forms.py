"""The bytes that a client of a crowd sends: a form of request, in the state in which the client keeps it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from itertools import count

HEAD_FIELDS = 3000  # short fields of a head or trailer; about 15 kB
BODY_BYTES = 60_000  # below the size from which a request is forwarded while it is received
CHUNKS = 12_000  # chunks of one byte
PIECE_BYTES = 997  # of a request that is sent in pieces


class Form(Enum):
    """What is large in a request."""

    HEAD = "head"
    TRAILER = "trailer"
    FIXED_BODY = "fixed body"
    CHUNKED_BODY = "chunked body"


class State(Enum):
    """The state in which a client keeps its connection."""

    UNFINISHED = "unfinished"  # most of a request is sent, its end is not
    QUEUED = "queued"  # complete requests behind one whose server is silent
    REJECTED = "rejected"  # invalid requests one after the other, at full speed
    STREAMING = "streaming"  # a long response that the client doesn't read
    LINGERING = "lingering"  # after an error response the client goes on sending
    RETURNING = "returning"  # the client leaves an unfinished request and connects again, without end


@dataclass(frozen=True)
class Plan:
    """What one client sends: `first`, and then `repeated` again and again if it isn't empty."""

    first: bytes
    repeated: bytes = b""
    pieces: bool = False  # whether it sends in pieces instead of all at once
    reads: bool = True  # whether it reads responses
    leaves: bool = False  # whether it closes the connection after `first` and connects again

    def parts(self) -> list[bytes]:
        """Return the parts of `first`."""
        if not self.pieces:
            return [self.first]
        return [self.first[at : at + PIECE_BYTES] for at in range(0, len(self.first), PIECE_BYTES)]


_ids = count()


def short_fields(number: int = HEAD_FIELDS) -> bytes:
    """Return fields with distinct names of up to three characters."""
    return b"".join(b"%x:\r\n" % index for index in range(number))


def request(form: Form, path: bytes, complete: bool = True) -> bytes:
    """Return one request of this form; without its end unless `complete`."""
    request_id = b"crowd-%x" % next(_ids)
    head = (
        b"POST " + path + b" HTTP/1.1\r\nHost: s\r\nReq-Deadline-Ms: 20000\r\nReq-Id: " + request_id + b"\r\n"
    )
    if form is Form.HEAD:
        fields = short_fields()
        return head + fields + (b"Content-Length: 0\r\n\r\n" if complete else b"")
    if form is Form.FIXED_BODY:
        body = bytes(BODY_BYTES if complete else BODY_BYTES - 1)
        return head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES + body
    head += b"Transfer-Encoding: chunked\r\n\r\n"
    if form is Form.TRAILER:
        return head + b"1\r\nx\r\n0\r\n" + short_fields() + (b"\r\n" if complete else b"")
    return head + b"1\r\nx\r\n" * CHUNKS + (b"0\r\n\r\n" if complete else b"")


def plan(form: Form, state: State, pieces: bool) -> Plan:
    """Return what a client of this form and state sends."""
    if state in (State.UNFINISHED, State.RETURNING):
        unfinished = request(form, b"/post/x", complete=False)
        return Plan(unfinished, pieces=pieces, leaves=state is State.RETURNING)
    if state is State.QUEUED:
        waiting = request(Form.FIXED_BODY, b"/post/hang").replace(b"%d" % BODY_BYTES, b"0", 1)
        waiting = waiting[: len(waiting) - BODY_BYTES]
        return Plan(waiting + b"".join(request(form, b"/post/x") for _ in range(3)), pieces=pieces)
    if state is State.REJECTED:
        return Plan(request(form, b"/nowhere/x"), request(form, b"/nowhere/x"), pieces, reads=False)
    if state is State.STREAMING:
        return Plan(request(form, b"/post/long"), pieces=pieces, reads=False)
    return Plan(b"GET / HTTP/9.9\r\n\r\n", request(form, b"/post/x"), pieces=pieces)
