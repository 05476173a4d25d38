"""The node's state file: what it has learned, the servers out by hand and the last list, kept across a crash.

On disk: MAGIC, an xxh64 digest of the body (8 bytes, big-endian), the body's length (4 bytes) and the body in
msgpack. Written whole, the way a power loss cannot tear: a temporary file beside it, fsync, rename over the
old one, fsync of the folder. One process writes a file at a time, the one holding its lock.

On start the file is verified by the rules in RULES; each that rejects the file or a part of it is named in
one log line. What is left reaches the module as `Restored`, which decides what of it to trust.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import logging
import math
import os
import struct
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgpack
import orjson
import xxhash

from loadbalancer.balancing.events import LearnedState
from loadbalancer.endpoints import Endpoint, EndpointStatus
from loadbalancer.node.address import Address
from loadbalancer.node.discovery.watcher import DiscoveryResponse, decode_response
from loadbalancer.node.state.handover import decode_learned, encode_learned

log = logging.getLogger("loadbalancer")

MAGIC = b"OLST"
FRAME_HEADER = struct.Struct(">4sQI")
FORMAT_VERSION = 1  # raised whenever the body changes its meaning; another format is not read
PROGRAM_VERSION = "0.1.0"
MAX_FILE_BYTES = 64 * 1024 * 1024
MAX_CLOCK_SKEW_MS = (
    1000.0  # a file written later than now by more than this was written before the clock went back
)
MAX_LIST_AGE_MS = 300_000.0  # a restored list older than this is not used: servers have come and gone since
WIRE_STATES = {EndpointStatus.UP: "Ready", EndpointStatus.DRAINING: "Terminating"}

RULES = {
    "missing": "no file: a cold start",
    "unreadable": "the file could not be read: a cold start",
    "torn": "shorter or longer than its header says: a cold start",
    "digest": "its digest does not match: a cold start",
    "malformed": "its body is not what this format holds: a cold start",
    "format": "of another format: a cold start",
    "another node": "written by another node: a cold start",
    "future": "written after now, so the clock has gone back: only servers out by hand are used",
    "list old": f"its list is older than {MAX_LIST_AGE_MS / 1000:.0f} s: the list is not used",
    "list behind": "its list is no newer than the one the node was given: that one is used",
}


@dataclass(slots=True)
class RestoredState:
    """What a verified file gives: all of it None or empty for a cold start; `age_ms` since it was written."""

    age_ms: float = math.inf
    learned: LearnedState | None = None
    ejected_since_ms: dict[str, float] = field(
        default_factory=dict
    )  # servers out by hand, and since when (Unix ms)
    endpoint_list: DiscoveryResponse | None = None
    violated_rules: list[str] = field(default_factory=list)  # the rules that rejected all or part of it


def encode_state(
    node: str, now_ms: float, learned: LearnedState, out: dict[str, float], listing: DiscoveryResponse
) -> bytes:
    """The file's bytes."""
    targets = [
        {
            "uid": server.name,
            "endpoint": "{}:{}".format(*listing.addresses[server.name]),
            "az": server.zone,
            "pod_group": server.cell,
            "state": WIRE_STATES[server.state],
            "boot_ms": server.launched_ms or 0,
        }
        for server in listing.endpoints
        if server.state in WIRE_STATES
    ]
    body: bytes = msgpack.packb(
        {
            "format": FORMAT_VERSION,
            "program": PROGRAM_VERSION,
            "node": node,
            "written_ms": now_ms,
            "learned": encode_learned(learned),
            "out": out,
            "list": {"rev": listing.revision, "all": True, "targets": targets},
        }
    )
    return encode_frame(body)


def encode_frame(body: bytes) -> bytes:
    """A body with its header: MAGIC, its xxh64 digest and its length."""
    return FRAME_HEADER.pack(MAGIC, xxhash.xxh64_intdigest(body), len(body)) + body


def rule_of(error: ValueError) -> str:
    """The rule a ValueError of `decode` or `verify` names; anything else a body says wrong is malformed."""
    return str(error) if str(error) in RULES else "malformed"


def decode_frame(data: bytes) -> dict[str, Any]:
    """The body of a file; ValueError names the rule it breaks."""
    if len(data) < FRAME_HEADER.size:
        raise ValueError("torn")
    magic, digest, length = FRAME_HEADER.unpack_from(data)
    body = data[FRAME_HEADER.size :]
    if magic != MAGIC or length != len(body):
        raise ValueError("torn")
    if xxhash.xxh64_intdigest(body) != digest:
        raise ValueError("digest")
    try:
        row = msgpack.unpackb(body, strict_map_key=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise ValueError("malformed") from error
    if not isinstance(row, dict):
        raise ValueError("malformed")
    if row.get("format") != FORMAT_VERSION:
        raise ValueError("format")
    return row


def verify_state(data: bytes, node: str, now_ms: float, given_rev: int) -> RestoredState:
    """Apply RULES to a file's bytes for this node at this time, given the rev of the list it was told."""
    row = decode_frame(data)
    if row.get("node") != node:
        raise ValueError("another node")
    try:
        written = float(row["written_ms"])
        out = {str(name): float(since) for name, since in row["out"].items()}
        learned = decode_learned(row["learned"])
        listing = decode_response(row["list"])
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ValueError("malformed") from error
    found = RestoredState(now_ms - written, learned, out, listing)
    if not math.isfinite(written) or written > now_ms + MAX_CLOCK_SKEW_MS:
        return RestoredState(ejected_since_ms=out, violated_rules=["future"])
    if found.age_ms > MAX_LIST_AGE_MS:
        found.endpoint_list, found.violated_rules = None, ["list old"]
    elif listing.revision <= given_rev:
        found.endpoint_list, found.violated_rules = None, ["list behind"]
    return found


def read_state(path: Path, node: str, now_ms: float, given_rev: int) -> RestoredState:
    """The verified file, with one log line for what it gave or why it gave nothing or less."""
    try:
        with path.open("rb") as opened:
            data = opened.read(MAX_FILE_BYTES + 1)
        found = verify_state(data, node, now_ms, given_rev)
    except FileNotFoundError:
        found = RestoredState(violated_rules=["missing"])
    except OSError as error:
        log.error("state %s: %s", path, " ".join(str(error).split()))
        found = RestoredState(violated_rules=["unreadable"])
    except ValueError as error:
        found = RestoredState(violated_rules=[rule_of(error)])
    listed = 0 if found.endpoint_list is None else len(found.endpoint_list.endpoints)
    said = "; ".join(f"{rule}, {RULES[rule]}" for rule in found.violated_rules) or "verified"
    log.info(
        "state %s: %s; age %.0f ms, figures %s, %d out by hand, %d listed",
        path,
        said,
        found.age_ms,
        "yes" if found.learned is not None else "no",
        len(found.ejected_since_ms),
        listed,
    )
    return found


def describe_state(path: Path, node: str | None = None) -> tuple[str, bool]:
    """A file's verdict and body as JSON text, and whether it is whole; `node` checks its name as well."""
    try:
        row = decode_frame(path.read_bytes())
        if node is not None and row.get("node") != node:
            raise ValueError("another node")
    except OSError as error:
        return orjson.dumps({"verdict": "unreadable", "error": str(error)}).decode(), False
    except ValueError as error:
        rule = rule_of(error)
        return orjson.dumps({"verdict": rule, "rule": RULES[rule]}).decode(), False
    age = time.time() * 1000.0 - float(row.get("written_ms", 0.0))
    listed = row.get("list", {})
    summary = {"verdict": "whole", "age_ms": round(age), "listed": len(listed.get("targets", []))}
    return orjson.dumps({**summary, **row}, option=orjson.OPT_INDENT_2).decode(), True


def complete_list(listed: dict[str, tuple[Endpoint, Address]], revision: int) -> DiscoveryResponse:
    """The node's present list in the form that `encode` keeps."""
    servers = tuple(server for server, _ in listed.values())
    return DiscoveryResponse(
        revision, True, servers, {name: endpoint for name, (_, endpoint) in listed.items()}
    )


def write_atomically(path: Path, data: bytes) -> None:
    """Write whole or not at all: the rename is atomic, the fsyncs make it outlive a power loss."""
    draft = path.with_name(f"{path.name}.draft")
    with draft.open("wb") as opened:
        opened.write(data)
        opened.flush()
        os.fsync(opened.fileno())
    os.replace(draft, path)
    sync_directory(path.parent)


def sync_directory(path: Path) -> None:
    """Make a rename or a removal in this folder outlive a power loss."""
    folder = os.open(path, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class StateFile:
    """The writer of one node's file. Only the process that holds `FILE.lock` writes; another reads only."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.writes = self.failures = 0  # since the start
        self.last_write_bytes = 0  # of the last write
        self.last_write_s = 0.0  # time the last write took
        self._lock: int | None = None
        self._writing = threading.Lock()  # a write is under way in a worker thread
        self._busy = False
        self._failing = False
        self._lock_denied = False

    def acquire_lock(self) -> bool:
        """Whether this process may write; tried again at each call, as the other may have ended."""
        if self._lock is not None:
            return True
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            handle = os.open(self.path.with_name(f"{self.path.name}.lock"), os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            self._fail(error)
            return False
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(handle)
            if not self._lock_denied:
                log.warning("state %s: another process writes it; this one only reads it", self.path)
            self._lock_denied = True
            return False
        self._lock = handle
        if self._lock_denied:
            log.info("state %s: this process writes it from now on", self.path)
        return True

    async def write(self, make: Callable[[], bytes]) -> None:
        """Make the bytes and put them on disk in a worker thread, off the event loop; a write still under way
        makes this one wait for the next period. `make` must read only what the loop no longer changes."""
        if self._busy or not self.acquire_lock():
            return
        self._busy = True
        began = asyncio.get_running_loop().time()
        try:
            size = await asyncio.to_thread(self._make_and_put, make)
        except OSError as error:
            self._fail(error)
        else:
            self.writes += 1
            self.last_write_bytes, self.last_write_s = size, asyncio.get_running_loop().time() - began
            if self._failing:
                log.info("state %s: written again", self.path)
            self._failing = False
        finally:
            self._busy = False

    def _make_and_put(self, make: Callable[[], bytes]) -> int:
        with self._writing:
            if self._lock is None:
                raise OSError("closed before the write began")
            data = make()
            write_atomically(self.path, data)
            return len(data)

    def close(self) -> None:
        """Waits for a write under way, which may have outlived the task that asked for it: without the lock
        it would come on top of what the next process writes."""
        with self._writing:
            if self._lock is not None:
                with contextlib.suppress(OSError):
                    os.close(self._lock)  # which lets the lock go
                self._lock = None

    def _fail(self, error: OSError) -> None:
        self.failures += 1
        if not self._failing:  # once for each stretch of failures; the counter tells the rest
            log.error("state %s not written, service goes on: %s", self.path, " ".join(str(error).split()))
        self._failing = True
