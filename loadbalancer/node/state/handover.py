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
FRESHNESS_MS = 1000.0  # a process whose file is older has ended or hangs
RETENTION_MS = 60_000.0  # a file older than this is removed
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


class HandoverFiles:
    """Writes this process's file and reads the files of the other processes."""

    def __init__(self, folder: Path, process: int) -> None:
        self._folder = folder
        self._name = f"{FILE_PREFIX}{process}"
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
        for path in self._sibling_files():
            record = self._read(path)
            if record is None:
                continue
            if record.written_ms < now_ms - RETENTION_MS:
                with contextlib.suppress(OSError):
                    path.unlink()
            if not now_ms - FRESHNESS_MS <= record.written_ms <= now_ms + FRESHNESS_MS:
                continue
            for endpoint, load in record.in_flight.items():
                in_flight[endpoint] = in_flight.get(endpoint, 0.0) + load
            if record.written_ms > newest_ms:
                newest, newest_ms = record.learned, record.written_ms
        return SiblingReport(newest, in_flight)

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


def _decode_record(data: bytes) -> _HandoverRecord:
    """Return the contents of a file; raise ValueError if they are malformed."""
    fields = mapping_of(orjson.loads(data), "handover")
    return _HandoverRecord(
        written_ms=number_in(fields, "at_ms"),
        in_flight=numbers_in(fields, "held"),
        learned=decode_learned(fields.get("learned")),
    )
