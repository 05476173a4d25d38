"""Claims of request ids that the processes of a node share during an upgrade, in append-only files.

Each process appends to files of its own and reads the others. A record has the key of an id, the time
of the monotonic clock, which all processes of a machine share, and whether the id is claimed or released. An
incomplete record at the end of a file is ignored: its process was killed, or is about to write the rest.
"""

from __future__ import annotations

import contextlib
import math
import os
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from struct import Struct

from loadbalancer.node.executed_ids import ExecutedIds
from loadbalancer.node.failure_log import FailureLog, one_line

FOLDER_NAME = "orchidledge-executed"
FILE_PREFIX = "claims-"
RECORD = Struct("<QdB")  # key, monotonic time (s), kind
CLAIM, RELEASE = 1, 0
MAX_FILE_BYTES = 60_000 * RECORD.size  # default
MAX_FILES = 3  # of one process; the oldest is removed once all of its records have expired
READ_BYTES = 4096 * RECORD.size


@dataclass(slots=True)
class _OwnFile:
    """A file of this process."""

    path: Path
    descriptor: int
    size: int = 0  # bytes of complete records
    expires_at: float = 0.0  # monotonic time (s) at which no claim in it counts any more


@dataclass(slots=True)
class _OtherFile:
    """A file of another process; its records up to `offset` have been read."""

    descriptor: int
    offset: int = 0
    last_record_at: float = math.inf  # monotonic time (s)


class ExecutedIdLog:
    """Writes this process's claims and reads those of the other processes of this node.

    If a claim can't be written, the first failure of a series is logged and the request is served: this
    process still knows the id.
    """

    def __init__(
        self, folder: Path, process: str, retention_s: float, max_file_bytes: int = MAX_FILE_BYTES
    ) -> None:
        """`process` begins with the process id and is unique among the processes that share the folder.

        It has at most MAX_FILES files of `max_file_bytes`, beside the records of requests in progress.
        """
        self._folder = folder
        self._prefix = f"{FILE_PREFIX}{process}-"
        self._retention_s = retention_s
        self._max_file_bytes = max_file_bytes
        self._own: deque[_OwnFile] = deque()  # the file that is written to is the last
        self._left: list[Path] = []  # files of this process that `close` has left
        self._others: dict[str, _OtherFile] = {}
        self._created = 0
        self._failures = FailureLog()

    def has_capacity(self, now: float) -> bool:
        """Whether another claim fits into the files of this process at loop time `now` (s)."""
        if len(self._own) < MAX_FILES or self._own[-1].size < self._max_file_bytes:
            return True
        self._remove_expired(now)
        return len(self._own) < MAX_FILES

    def claim(self, key: int, now: float, retention_s: float) -> None:
        """Append a claim, at loop time `now` (s), that counts for `retention_s`."""
        self._append(RECORD.pack(key, now, CLAIM), now, now + min(retention_s, self._retention_s))

    def release(self, key: int, now: float) -> None:
        """Append a release, at loop time `now` (s)."""
        self._append(RECORD.pack(key, now, RELEASE), now, now)

    def read(self, ids: ExecutedIds, now: float) -> None:
        """Pass the other processes' new claims and releases to `ids`, at loop time `now` (s)."""
        try:
            names = os.listdir(self._folder)
        except FileNotFoundError:
            return  # no process has claimed an id yet
        except OSError as error:
            self._failures.failure("claimed ids not read: %s", one_line(error))
            return
        for name in names:
            if name.startswith(FILE_PREFIX) and not name.startswith(self._prefix):
                self._read_file(name, ids, now)
        for name in self._others.keys() - set(names):
            os.close(self._others.pop(name).descriptor)

    def close(self) -> None:
        """Close all files; they stay for the other processes, until `remove_files` or this process's end."""
        for own in self._own:
            os.close(own.descriptor)
            self._left.append(own.path)
        for other in self._others.values():
            os.close(other.descriptor)
        self._own.clear()
        self._others.clear()

    def remove_files(self) -> None:
        """Remove the files of this process, which `close` has left; call it once all claims have expired.

        Other processes remove them only once this one has ended.
        """
        while self._left:
            with contextlib.suppress(OSError):
                self._left.pop().unlink()

    # ---------------------------------------------------------------- own files

    def _append(self, record: bytes, now: float, expires_at: float) -> None:
        try:
            file = self._writable_file(now)
            _write_fully(file.descriptor, record, file.size)
        except OSError as error:
            self._failures.failure("claimed id not written: %s", one_line(error))
            return
        file.size += len(record)
        file.expires_at = max(file.expires_at, expires_at)
        self._failures.success()

    def _writable_file(self, now: float) -> _OwnFile:
        """Return the file to append to; begin a new one and remove expired ones when the last is full.

        With MAX_FILES files the last one also gets the records of requests that are in progress.
        """
        if self._own and self._own[-1].size < self._max_file_bytes:
            return self._own[-1]
        self._remove_expired(now)
        if len(self._own) >= MAX_FILES:
            return self._own[-1]
        self._folder.mkdir(parents=True, exist_ok=True)
        path = self._folder / f"{self._prefix}{self._created}"
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        self._created += 1
        self._own.append(_OwnFile(path, descriptor))
        return self._own[-1]

    def _remove_expired(self, now: float) -> None:
        while self._own and now > self._own[0].expires_at:
            expired = self._own.popleft()
            os.close(expired.descriptor)
            with contextlib.suppress(OSError):
                expired.path.unlink()

    # ---------------------------------------------------------------- other files

    def _read_file(self, name: str, ids: ExecutedIds, now: float) -> None:
        try:
            file = self._others.get(name)
            if file is None:
                descriptor = os.open(self._folder / name, os.O_RDONLY | os.O_CLOEXEC)
                file = self._others[name] = _OtherFile(descriptor)
            while data := os.pread(file.descriptor, READ_BYTES, file.offset):
                complete = len(data) - len(data) % RECORD.size
                if not complete:
                    break
                file.offset += complete
                for key, at, kind in RECORD.iter_unpack(data[:complete]):
                    file.last_record_at = at
                    self._apply(ids, key, kind, now - at)
            if now - file.last_record_at > self._retention_s and not _is_running(name):
                (self._folder / name).unlink()
        except FileNotFoundError:
            return  # another process has removed it
        except OSError as error:
            self._failures.failure("claimed ids in %s not read: %s", name, one_line(error))

    def _apply(self, ids: ExecutedIds, key: int, kind: int, age_s: float) -> None:
        if kind == RELEASE:
            ids.discard(key)
        elif age_s <= self._retention_s:
            ids.add(key)


def _is_running(name: str) -> bool:
    """Whether the process that writes the file of this name is running."""
    try:
        os.kill(int(name.removeprefix(FILE_PREFIX).partition("-")[0]), 0)
    except (ProcessLookupError, ValueError):
        return False
    except OSError:
        return True  # it belongs to another user
    return True


def _write_fully(descriptor: int, data: bytes, offset: int) -> None:
    """Write at this offset, so that what a failed write has left is overwritten by the next record."""
    while data:
        written = os.pwrite(descriptor, data, offset)
        data, offset = data[written:], offset + written
