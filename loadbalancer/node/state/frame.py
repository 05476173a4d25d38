"""The frame of stored files: a header with magic, digest and length, and a MessagePack map as body.

On disk: MAGIC (4 bytes), the body's xxh64 digest (8 bytes), the body's length in bytes (4 bytes), all
big-endian, then the body. The digest detects any torn or corrupted file.
"""

from __future__ import annotations

import struct
from typing import Any

import msgpack
import xxhash

from loadbalancer.node.state.errors import StateRejectedError
from loadbalancer.node.state.rules import Rule

MAGIC = b"OLST"
FRAME_HEADER = struct.Struct(">4sQI")
FORMAT_VERSION = 1  # raised whenever the body changes its meaning; another format is not read

FrameBody = dict[str, Any]  # a decoded body, whose fields its reader checks


def encode_frame(body: bytes) -> bytes:
    """Put the header before a body in MessagePack."""
    return FRAME_HEADER.pack(MAGIC, xxhash.xxh64_intdigest(body), len(body)) + body


def decode_frame(data: bytes) -> FrameBody:
    """Return the body of a framed file; raise StateRejectedError with the rule that it breaks."""
    row = _unpack(_verified_body(data))
    if not isinstance(row, dict):
        raise StateRejectedError(Rule.MALFORMED)
    if row.get("format") != FORMAT_VERSION:
        raise StateRejectedError(Rule.FORMAT)
    return row


def _verified_body(data: bytes) -> bytes:
    if len(data) < FRAME_HEADER.size:
        raise StateRejectedError(Rule.TORN)
    magic, digest, length = FRAME_HEADER.unpack_from(data)
    body = data[FRAME_HEADER.size :]
    if magic != MAGIC or length != len(body):
        raise StateRejectedError(Rule.TORN)
    if xxhash.xxh64_intdigest(body) != digest:
        raise StateRejectedError(Rule.DIGEST)
    return body


def _unpack(body: bytes) -> object:
    try:
        row: object = msgpack.unpackb(body, strict_map_key=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise StateRejectedError(Rule.MALFORMED) from error
    return row
