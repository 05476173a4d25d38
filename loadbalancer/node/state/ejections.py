"""Ejections by an operator, each stored as a small file in a directory shared by the processes of a node."""

from __future__ import annotations

import contextlib
import logging
import os
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import quote, unquote

import orjson

from loadbalancer.node.failure_log import FailureLog, one_line
from loadbalancer.node.state.atomic_file import replace_shared_file

log = logging.getLogger("loadbalancer")

FOLDER_NAME = "orchidledge-maintenance"
FILE_PREFIX = "server-"  # of ejection files; other files in the directory are ignored
RETENTION_MS = 600_000.0  # how long an ended ejection is retained; longer than any slow start
MAX_FILE_BYTES = 1024
# Field of `Ejection` by the key in an ejection's file.
EJECTION_FIELDS = {"out_ms": "ejected_ms", "back_ms": "restored_ms"}


@dataclass(slots=True, frozen=True)
class Ejection:
    """Times when an operator ejected and restored an endpoint, in Unix ms."""

    ejected_ms: float
    restored_ms: float | None = None  # None while the ejection is in force

    @property
    def in_force(self) -> bool:
        """Whether the endpoint has not been restored yet."""
        return self.restored_ms is None


class EjectionStore:
    """Ejections of this node, made in this process or read from files that other processes have written.

    Without a folder they are held in memory only.
    """

    def __init__(self, folder: Path | None) -> None:
        self._folder = folder
        self._ejections: dict[str, Ejection] = {}  # by the endpoint's name
        self._last_read: dict[str, tuple[int, int]] = {}  # inode and modification time (ns), by file name
        self._failures = FailureLog()

    def get(self, name: str) -> Ejection | None:
        """Return the last ejection of an endpoint, in force or ended, or None if none is retained."""
        return self._ejections.get(name)

    def is_ejected(self, name: str) -> bool:
        """Return whether an ejection of this endpoint is in force."""
        ejection = self._ejections.get(name)
        return ejection is not None and ejection.in_force

    def eject(self, name: str, now_ms: float) -> bool:
        """Eject an endpoint in this process at once; return whether it was stored for other processes.

        If the endpoint is already ejected, the time of that ejection does not change.
        """
        ejection = self._ejections[name] if self.is_ejected(name) else Ejection(now_ms)
        self._ejections[name] = ejection
        return self._write(name, ejection)

    def restore(self, name: str, now_ms: float) -> bool:
        """End an endpoint's ejection; return False, with the ejection still in force, if storing fails."""
        if not self.is_ejected(name):
            return True
        ended = Ejection(self._ejections[name].ejected_ms, now_ms)
        if not self._write(name, ended):
            return False
        self._ejections[name] = ended
        return True

    def read_changes(self, now_ms: float) -> list[str]:
        """Read the files of other processes; return the endpoints whose ejection has changed."""
        if self._folder is None:
            return []
        try:
            with os.scandir(self._folder) as entries:
                stats = {entry.name: entry.stat() for entry in entries if entry.name.startswith(FILE_PREFIX)}
        except FileNotFoundError:
            return []  # nothing has been ejected yet
        except OSError as error:
            self._failures.failure("ejections not read, known ejections remain in force: %s", one_line(error))
            return []
        self._failures.success()
        names = [self._read_changed(file, stat) for file, stat in stats.items()]
        self._remove_expired(now_ms)
        return [name for name in names if name is not None]

    def _read_changed(self, file: str, stat: os.stat_result) -> str | None:
        """Return the file's endpoint if its ejection differs from the one known in this process."""
        version = stat.st_ino, stat.st_mtime_ns
        if self._last_read.get(file) == version:
            return None
        self._last_read[file] = version
        name, ejection = unquote(file.removeprefix(FILE_PREFIX)), self._read(file, stat.st_mtime * 1000.0)
        if ejection is None or ejection == self._ejections.get(name):
            return None
        self._ejections[name] = ejection
        return name

    def _write(self, name: str, ejection: Ejection) -> bool:
        if self._folder is None:
            return True  # in memory only: not shared with other processes or kept across a restart
        data = orjson.dumps({key: getattr(ejection, field) for key, field in EJECTION_FIELDS.items()})
        try:
            replace_shared_file(self._folder / _file_name(name), self._folder / f"draft-{os.getpid()}", data)
        except OSError as error:
            self._failures.failure("ejection of %s not written: %s", name, one_line(error))
            return False
        return True

    def _read(self, file: str, written_ms: float) -> Ejection | None:
        """Return the ejection in a file, or None if the file has just been removed.

        A file that can't be read counts as an ejection in force: an operator has drained the endpoint, and
        requests sent to it could be lost.
        """
        assert self._folder is not None
        try:
            with (self._folder / file).open("rb") as opened:
                return _decode(opened.read(MAX_FILE_BYTES))
        except FileNotFoundError:
            return None
        except (OSError, ValueError, KeyError, TypeError) as error:
            log.error(
                "ejection file %s can't be read, its endpoint stays ejected until it is restored: %s",
                file,
                one_line(error),
            )
            return Ejection(written_ms)

    def _remove_expired(self, now_ms: float) -> None:
        """Remove ejections that ended more than RETENTION_MS ago, with their files."""
        assert self._folder is not None
        for name, ejection in list(self._ejections.items()):
            if ejection.restored_ms is not None and ejection.restored_ms < now_ms - RETENTION_MS:
                del self._ejections[name]
                file = _file_name(name)
                self._last_read.pop(file, None)
                with contextlib.suppress(OSError):  # a file that remains is read and dropped again
                    (self._folder / file).unlink()


def _file_name(name: str) -> str:
    return FILE_PREFIX + quote(name, safe="")


def _decode(data: bytes) -> Ejection:
    fields = orjson.loads(data)
    ejected_ms, restored_ms = float(fields["out_ms"]), fields["back_ms"]
    return Ejection(ejected_ms, None if restored_ms is None else float(restored_ms))
