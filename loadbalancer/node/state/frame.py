"""Frame of stored files: a header with magic, digest and length, and a MessagePack map as body.

On disk: MAGIC (4 bytes), the xxh64 digest of the body (8 bytes) and the body's length in bytes (4 bytes), all
big-endian, followed by the body. The digest detects torn and corrupted files.
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
FORMAT_VERSION = 1  # incremented when the meaning of the body changes; files of another format are rejected

FrameBody = dict[str, Any]  # a decoded body; the reader validates its fields


def encode_frame(body: bytes) -> bytes:
    """Return a MessagePack body with its header."""
    return FRAME_HEADER.pack(MAGIC, xxhash.xxh64_intdigest(body), len(body)) + body


def decode_frame(data: bytes) -> FrameBody:
    """Return the body of a framed file; raise StateRejectedError with the violated rule."""
    body = _unpack(_verified_body(data))
    if not isinstance(body, dict):
        raise StateRejectedError(Rule.MALFORMED)
    if body.get("format") != FORMAT_VERSION:
        raise StateRejectedError(Rule.FORMAT)
    return body


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
        value: object = msgpack.unpackb(body, strict_map_key=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise StateRejectedError(Rule.MALFORMED) from error
    return value
