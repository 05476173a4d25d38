"""Wire format of the freshness report: the `view` entry of members' probes, as MessagePack, decoded strictly.

Structs are encoded as arrays, so the order of their fields is the wire format; field names are not sent.
Times are in ms of the origin's clock.
"""

from __future__ import annotations

from typing import Annotated, Final, Literal

import msgspec

from loadbalancer.endpoints import AttemptResult
from loadbalancer.staleness.clock_offsets import MAX_TIMESTAMP_MS

FORMAT_VERSION: Final = 1
MAX_REPORT_BYTES: Final = 65_536  # larger than any report of `FreshnessTable.make_report`
MAX_NAME_CHARS: Final = 256  # in the name of a server or a pool
MAX_SERVERS: Final = 64  # per report
MAX_POOLS: Final = 8  # per report
MAX_SEQUENCE: Final = 2**53  # the largest integer that every double represents exactly
MAX_QUANTITY: Final = 1e12  # maximum load, number of requests or threshold
MAX_CURSOR: Final = 2**31

_ServerName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]
_PoolName = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
_Sequence = Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
_Timestamp = Annotated[float, msgspec.Meta(ge=-MAX_TIMESTAMP_MS, le=MAX_TIMESTAMP_MS)]
_Quantity = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_QUANTITY)]
_Cursor = Annotated[int, msgspec.Meta(ge=-MAX_CURSOR, le=MAX_CURSOR)]


class ServerObservation(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The origin's last observation of a server."""

    name: _ServerName
    version: _Sequence  # incremented with every observation of the origin
    attempted_at: _Timestamp  # time of the last outcome
    outcome: AttemptResult | None  # None: only load reports were received
    responded_at: _Timestamp | None  # when the server last sent any response
    load: _Quantity | None  # a ratio of the server's capacity
    load_at: _Timestamp | None


class PoolState(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """State of a pool at the origin: requests in flight, admission cursor and threshold."""

    pool: _PoolName
    measured_at: _Timestamp
    in_flight: _Quantity
    cursor: _Cursor
    threshold: _Quantity


class FreshnessReport(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One process's report on itself and on the servers it has observed."""

    version: Literal[1]
    sequence: _Sequence  # incremented with each report of the origin
    sent_at: _Timestamp
    list_revision: _Sequence  # revision of the origin's endpoint list
    list_confirmed_at: _Timestamp | None  # None: the origin has no list yet
    pools: Annotated[list[PoolState], msgspec.Meta(max_length=MAX_POOLS)]
    servers: Annotated[list[ServerObservation], msgspec.Meta(max_length=MAX_SERVERS)]


encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(FreshnessReport).decode


def decode(payload: object) -> FreshnessReport | None:
    """Return the report, or None if it is too long, not MessagePack, malformed or inconsistent."""
    if not isinstance(payload, bytes) or len(payload) > MAX_REPORT_BYTES:
        return None
    try:
        report = _decode(payload)
    except (ValueError, RecursionError):  # msgspec's errors, also for invalid UTF-8, are ValueErrors
        return None
    return report if _is_consistent(report) else None


def _is_consistent(report: FreshnessReport) -> bool:
    """Return whether no time is later than `sent_at` and every load has a time."""
    times = [report.list_confirmed_at, *(pool.measured_at for pool in report.pools)]
    for server in report.servers:
        times += (server.attempted_at, server.responded_at, server.load_at)
        if (server.load is None) != (server.load_at is None):
            return False
    return all(time is None or time <= report.sent_at for time in times)
