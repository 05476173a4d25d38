"""State that two processes of a node exchange during an upgrade: a file of each in a directory they share."""

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
    """What the other live processes of this node report."""

    learned: LearnedState | None  # by the process that wrote last; None without another process
    in_flight: dict[str, float]  # load at each endpoint, summed over the processes


class _HandoverRecord(NamedTuple):
    """The contents of one process's file."""

    written_ms: float  # Unix time
    in_flight: dict[str, float]
    learned: LearnedState


class HandoverFiles:
    """Writes this process's file and reads those of the others."""

    def __init__(self, folder: Path, process: int) -> None:
        self._folder = folder
        self._name = f"{FILE_PREFIX}{process}"
        self._failures = FailureLog()

    def write(self, now_ms: float, learned: LearnedState, in_flight: dict[str, float]) -> None:
        """Replace this process's file; the first failure to do so is logged."""
        row = {"at_ms": now_ms, "learned": encode_learned(learned), "held": in_flight}
        try:
            replace_shared_file(
                self._folder / self._name, self._folder / f"draft-{self._name}", orjson.dumps(row)
            )
        except OSError as error:
            self._failures.failure("handover file not written: %s", one_line(error))

    def read_siblings(self, now_ms: float) -> SiblingReport:
        """Return what the other processes that still write report; files of long ended ones are removed."""
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
        """One file's contents; None if it is malformed, or gone because its process has just ended."""
        try:
            with path.open("rb") as opened:
                return _decode_record(opened.read(MAX_FILE_BYTES))
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            self._failures.failure("handover file %s ignored: %s", path.name, one_line(error))
            return None


def _decode_record(data: bytes) -> _HandoverRecord:
    """Raises ValueError on any file that is malformed."""
    row = mapping_of(orjson.loads(data), "handover")
    return _HandoverRecord(
        written_ms=number_in(row, "at_ms"),
        in_flight=numbers_in(row, "held"),
        learned=decode_learned(row.get("learned")),
    )
