"""The body of a call between siblings: MessagePack, decoded strictly by type, range and length.

All structs are arrays on the wire. A later version may append fields; this one ignores them.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

PAYLOAD_MOST = 65536  # bytes
VIEW_MOST = 16384  # bytes
RUMOURS_MOST = 64
ACCUSERS_MOST = 8
STATEMENTS_MOST = 512  # in one payload; a larger fleet sends a sample
COUNT_MOST = 1 << 40
TIME_MOST = 1e15  # ms

Incarnation = Annotated[int, Meta(ge=0, le=1 << 53)]
Count = Annotated[int, Meta(ge=0, le=COUNT_MOST)]
Time = Annotated[float, Meta(ge=0.0, le=TIME_MOST)]  # also bars NaN


class Told(IntEnum):
    """What a rumour says of an incarnation; at the same count the higher wins."""

    HEARD = 0
    SUSPECT = 1  # silent
    REFUSED = 2  # its machine refused the connection
    UNHEARD = 3


class Found(IntEnum):
    """What a helper found when it asked in another's place."""

    NOTHING = 0  # no evidence: it was itself late or busy, or does not know the target
    ANSWERED = 1
    SILENT = 2
    REFUSED = 3


class Standing(IntEnum):
    """What a node says of its own share: in force by its lease, held without one, or given up."""

    ATTACHED = 0
    HOLDING = 1
    YIELDED = 2


class Rumour(Struct, array_like=True, frozen=True, gc=False):
    incarnation: Incarnation
    count: Count  # the incarnation's own, which only it raises
    told: Told
    accusers: Annotated[tuple[Incarnation, ...], Meta(max_length=ACCUSERS_MOST)] = ()


class Statement(Struct, array_like=True, frozen=True, gc=False):
    incarnation: Incarnation
    standing: Standing
    s_ms: Time  # service time


class Message(Struct, array_like=True, frozen=True):
    sender: Incarnation
    count: Count  # the sender's own
    at: Annotated[float, Meta(ge=-TIME_MOST, le=TIME_MOST)]  # the sender's clock, ms
    target: Incarnation = 0  # of an indirect ask
    found: Found = Found.NOTHING  # in the answer to an indirect ask
    rumours: Annotated[tuple[Rumour, ...], Meta(max_length=RUMOURS_MOST)] = ()
    statements: Annotated[tuple[Statement, ...], Meta(max_length=STATEMENTS_MOST)] = ()
    view: Annotated[bytes, Meta(max_length=VIEW_MOST)] = b""


_decoder = msgspec.msgpack.Decoder(Message)
write = msgspec.msgpack.Encoder().encode


def read(payload: bytes) -> Message | None:
    """The message, or None for anything that is not one."""
    if len(payload) > PAYLOAD_MOST:
        return None
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
