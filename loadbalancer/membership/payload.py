"""Messages between members: MessagePack, decoded with strict checks of type, range and length.

All structs are arrays on the wire. Fields that a later version appends are ignored.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

MAX_PAYLOAD_BYTES = 65536
MAX_VIEW_BYTES = 16384
MAX_UPDATES = 64
MAX_ACCUSERS = 8
MAX_QUOTA_REPORTS = 512  # per payload; a larger group sends a random sample
MAX_COUNT = 1 << 40
MAX_TIME_MS = 1e15

Incarnation = Annotated[int, Meta(ge=0, le=1 << 53)]
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Time = Annotated[float, Meta(ge=0.0, le=MAX_TIME_MS)]  # the range excludes NaN


class MemberStatus(IntEnum):
    """Status of a member in an update; at the same refutation count the higher value wins."""

    ALIVE = 0
    SUSPECT = 1  # probes time out
    REFUSED = 2  # suspected because its machine refused the connection
    FAILED = 3


class ProbeResult(IntEnum):
    """The outcome of a probe that a helper made on behalf of another member."""

    INCONCLUSIVE = 0  # no evidence: the helper was paused or busy, or does not know the target
    ACKED = 1
    TIMED_OUT = 2
    REFUSED = 3


class QuotaStatus(IntEnum):
    """Status of a node's own quota: granted by its lease, held without a lease, or given up."""

    ATTACHED = 0
    HOLDING = 1
    YIELDED = 2


class MemberUpdate(Struct, array_like=True, frozen=True, gc=False):
    """A membership update, disseminated by gossip."""

    incarnation: Incarnation
    count: Count  # refutation count, raised only by this incarnation itself
    status: MemberStatus
    accusers: Annotated[tuple[Incarnation, ...], Meta(max_length=MAX_ACCUSERS)] = ()


class QuotaReport(Struct, array_like=True, frozen=True, gc=False):
    """A member's report of its own quota status, made at a service time."""

    incarnation: Incarnation
    status: QuotaStatus
    service_ms: Time


class Message(Struct, array_like=True, frozen=True):
    """A probe, a call for an indirect probe, or an ack, with piggybacked gossip."""

    sender: Incarnation
    count: Count  # the sender's refutation count
    sent_at_ms: Annotated[float, Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)]  # the sender's clock, ms
    target: Incarnation = 0  # the member to probe, in the call for an indirect probe
    result: ProbeResult = ProbeResult.INCONCLUSIVE  # outcome, in the ack of an indirect probe
    updates: Annotated[tuple[MemberUpdate, ...], Meta(max_length=MAX_UPDATES)] = ()
    quota_reports: Annotated[tuple[QuotaReport, ...], Meta(max_length=MAX_QUOTA_REPORTS)] = ()
    view: Annotated[bytes, Meta(max_length=MAX_VIEW_BYTES)] = b""


_decoder = msgspec.msgpack.Decoder(Message)
encode = msgspec.msgpack.Encoder().encode


def decode(payload: bytes) -> Message | None:
    """Decode a message; None if it is malformed."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        return None
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
