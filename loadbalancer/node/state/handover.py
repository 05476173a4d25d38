"""State that two processes of a node exchange during an upgrade, by one file each in a shared directory."""

from __future__ import annotations

import contextlib
import math
import os
from pathlib import Path
from typing import NamedTuple

import orjson

from loadbalancer.balancing.events import LearnedState
from loadbalancer.node.failure_log import FailureLog, one_line
from loadbalancer.node.state.atomic_file import replace_shared_file
from loadbalancer.node.state.learned_codec import (
    decode_learned,
    encode_learned,
    mapping_of,
    number_in,
    numbers_in,
)

FOLDER_NAME = "orchidledge-handover"
FILE_PREFIX = "process-"
FRESHNESS_MS = 1000.0  # a process whose file has not changed for this time has ended or hangs
RETENTION_MS = 60_000.0  # a file older than this is removed, unless it still changes
MAX_FILE_BYTES = 256 * 1024


class SiblingReport(NamedTuple):
    """Report of the other live processes of this node."""

    learned: LearnedState | None  # that of the process that wrote last; None if there is no other process
    in_flight: dict[str, float]  # load in flight by endpoint, summed over the processes


class _HandoverRecord(NamedTuple):
    """Contents of one process's file."""

    written_ms: float  # Unix time
    in_flight: dict[str, float]
    learned: LearnedState


class _Sighting(NamedTuple):
    """When this process last saw another process's file change, in ms of its own clock."""

    written_ms: float  # in the file, by the other process's clock
    seen_ms: float  # when the file was read first with this time
    changed_ms: float  # the same, or -inf if the file may have been left behind by an ended process


class HandoverFiles:
    """Writes this process's file and reads the files of the other processes.

    The clocks of two processes differ if the wall clock has stepped between their starts. Whether a process
    is alive is therefore told by changes of its file; the time in it counts only when it is read first.
    """

    def __init__(self, folder: Path, process: int) -> None:
        self._folder = folder
        self._name = f"{FILE_PREFIX}{process}"
        self._sightings: dict[Path, _Sighting] = {}
        self._failures = FailureLog()

    def write(self, now_ms: float, learned: LearnedState, in_flight: dict[str, float]) -> None:
        """Replace this process's file; the first of consecutive failures is logged."""
        fields = {"at_ms": now_ms, "learned": encode_learned(learned), "held": in_flight}
        try:
            replace_shared_file(
                self._folder / self._name, self._folder / f"draft-{self._name}", orjson.dumps(fields)
            )
        except OSError as error:
            self._failures.failure("handover file not written: %s", one_line(error))

    def read_siblings(self, now_ms: float) -> SiblingReport:
        """Return the report of the other live processes; remove files that are older than RETENTION_MS."""
        newest: LearnedState | None = None
        newest_ms = -math.inf
        in_flight: dict[str, float] = {}
        previous, self._sightings = self._sightings, {}
        for path in self._sibling_files():
            record = self._read(path)
            if record is None:
                continue
            sighting = _sight(previous.get(path), record.written_ms, now_ms)
            self._sightings[path] = sighting
            unchanged_ms = now_ms - sighting.seen_ms
            if record.written_ms < now_ms - RETENTION_MS and unchanged_ms > FRESHNESS_MS:
                with contextlib.suppress(OSError):
                    path.unlink()
            if now_ms - sighting.changed_ms > FRESHNESS_MS:
                continue
            for endpoint, load in record.in_flight.items():
                in_flight[endpoint] = in_flight.get(endpoint, 0.0) + load
            if record.written_ms > newest_ms:
                newest, newest_ms = record.learned, record.written_ms
        return SiblingReport(newest, in_flight)

    @property
    def has_siblings(self) -> bool:
        """Whether the last `read_siblings` has found files of other processes, which may have ended."""
        return bool(self._sightings)

    def close(self) -> None:
        """Remove this process's file."""
        with contextlib.suppress(OSError):
            (self._folder / self._name).unlink()

    def _sibling_files(self) -> list[Path]:
        try:
            names = os.listdir(self._folder)
        except FileNotFoundError:
            return []  # this is the first process
        except OSError as error:
            self._failures.failure("handover folder not read: %s", one_line(error))
            return []
        return [self._folder / name for name in names if name.startswith(FILE_PREFIX) and name != self._name]

    def _read(self, path: Path) -> _HandoverRecord | None:
        """Return a file's contents, or None if it can't be used or its process has just removed it."""
        try:
            with path.open("rb") as opened:
                return _decode_record(opened.read(MAX_FILE_BYTES))
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            self._failures.failure("handover file %s ignored: %s", path.name, one_line(error))
            return None


def _sight(previous: _Sighting | None, written_ms: float, now_ms: float) -> _Sighting:
    """Return when a file that is read at `now_ms` has changed."""
    if previous is None:
        recent = abs(now_ms - written_ms) <= FRESHNESS_MS
        return _Sighting(written_ms, now_ms, min(written_ms, now_ms) if recent else -math.inf)
    if written_ms != previous.written_ms:
        return _Sighting(written_ms, now_ms, now_ms)
    return previous


def _decode_record(data: bytes) -> _HandoverRecord:
    """Return the contents of a file; raise ValueError if they are malformed."""
    fields = mapping_of(orjson.loads(data), "handover")
    return _HandoverRecord(
        written_ms=number_in(fields, "at_ms"),
        in_flight=numbers_in(fields, "held"),
        learned=decode_learned(fields.get("learned")),
    )
