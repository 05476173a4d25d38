"""The `view` entry of the members' calls: what one process tells of itself, as msgpack, strictly read."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from loadbalancer.endpoints import AttemptResult
from loadbalancer.staleness.clock_offsets import MAX_TIMESTAMP_MS

MAX_REPORT_BYTES = 65_536  # of one entry; the largest that `share` makes is under this
MAX_NAME_CHARS = 256  # characters of a server's or a pool's name
MAX_SERVERS = 64  # in one entry
MAX_POOLS = 8

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]
_Pool = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Time = Annotated[float, msgspec.Meta(ge=-MAX_TIMESTAMP_MS, le=MAX_TIMESTAMP_MS)]
_Figure = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]


class ServerObservation(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What the origin last saw of a server; times in ms on the origin's clock."""

    name: _Name
    version: _Count  # rises with every fact of the origin's
    attempted_at: _Time  # of the last outcome
    outcome: AttemptResult | None  # None: only reports have come
    answered_at: _Time | None  # when the server last answered anything
    load: _Figure | None
    load_at: _Time | None


class PoolState(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A pool at the origin: calls in flight, cursor and threshold."""

    pool: _Pool
    measured_at: _Time
    in_flight: _Figure
    cursor: Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31)]
    threshold: _Figure


class Report(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    version: Literal[1]
    sequence: _Count  # rises with each that the origin makes
    sent_at: _Time
    list_revision: _Count  # of the server list it holds,
    list_confirmed_at: _Time | None  # last confirmed then; None: it has none yet
    pools: Annotated[list[PoolState], msgspec.Meta(max_length=MAX_POOLS)]
    servers: Annotated[list[ServerObservation], msgspec.Meta(max_length=MAX_SERVERS)]


encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Report).decode


def decode(payload: object) -> Report | None:
    """The entry, or None where it is anything else: too long, not msgpack, of the wrong shape, absurd."""
    if not isinstance(payload, bytes) or len(payload) > MAX_REPORT_BYTES:
        return None
    try:
        share = _decode(payload)
    except (ValueError, RecursionError):  # msgspec's errors are ValueErrors, as is text that is not UTF-8
        return None
    return share if _is_consistent(share) else None


def _is_consistent(share: Report) -> bool:
    """No time is past the sending; a load has a time."""
    times = [share.list_confirmed_at, *(pool.measured_at for pool in share.pools)]
    for fact in share.servers:
        times += (fact.attempted_at, fact.answered_at, fact.load_at)
        if (fact.load is None) != (fact.load_at is None):
            return False
    return all(time is None or time <= share.sent_at for time in times)
