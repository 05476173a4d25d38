"""Servers out by hand: one small file for each in a folder that two processes of a node share."""

from __future__ import annotations

import contextlib
import logging
import os
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import quote, unquote

import orjson

log = logging.getLogger("loadbalancer")

FOLDER_NAME = "orchidledge-maintenance"
FILE_PREFIX = "server-"  # of a ban's file; what else lies in the folder is not ours
RETENTION_MS = 600_000.0  # how long a server's return is remembered: far longer than any server is cold
MAX_FILE_BYTES = 1024
# The field of `Ejection` for each key of an ejection's file.
EJECTION_FIELDS = {"out_ms": "ejected_ms", "back_ms": "restored_ms"}


@dataclass(slots=True, frozen=True)
class Ejection:
    """A server's time out, by the Unix clock in ms; `back_ms` is None while it lasts."""

    ejected_ms: float
    restored_ms: float | None = None


class EjectionStore:
    """The bans of this node: those said here, and those that another process of it has written."""

    def __init__(self, folder: Path | None) -> None:
        self._folder = folder
        self._ejections: dict[str, Ejection] = {}
        self._last_read: dict[str, tuple[int, int]] = {}  # file names, and inode and time as last read
        self._failing = False

    def get(self, name: str) -> Ejection | None:
        return self._ejections.get(name)

    def is_ejected(self, name: str) -> bool:
        ban = self._ejections.get(name)
        return ban is not None and ban.restored_ms is None

    def eject(self, name: str, now_ms: float) -> bool:
        """Put a server out, in this process at once; whether that is written for the others."""
        ban = self._ejections[name] if self.is_ejected(name) else Ejection(now_ms)
        self._ejections[name] = ban
        return self._write(name, ban)

    def restore(self, name: str, now_ms: float) -> bool:
        """End a server's ban, however often it was put out; it lasts if that can't be written."""
        if not self.is_ejected(name):
            return True
        ban = Ejection(self._ejections[name].ejected_ms, now_ms)
        if not self._write(name, ban):
            return False
        self._ejections[name] = ban
        return True

    def read_changes(self, now_ms: float) -> list[str]:
        """The servers whose ban another process has changed since last looked at."""
        if self._folder is None:
            return []
        try:
            with os.scandir(self._folder) as entries:
                found = {entry.name: entry.stat() for entry in entries if entry.name.startswith(FILE_PREFIX)}
        except FileNotFoundError:
            return []  # nothing was ever out
        except OSError as error:
            self._complain("bans not read, those known hold: %s", error)
            return []
        self._failing = False
        changed = []
        for file, stat in found.items():
            if self._last_read.get(file) == (stat.st_ino, stat.st_mtime_ns):
                continue
            self._last_read[file] = stat.st_ino, stat.st_mtime_ns
            name, ban = unquote(file.removeprefix(FILE_PREFIX)), self._ban_in(file, stat.st_mtime * 1000.0)
            if ban is not None and ban != self._ejections.get(name):
                self._ejections[name] = ban
                changed.append(name)
        self._forget(now_ms)
        return changed

    # -------------------------------------------------------------------- inside

    def _write(self, name: str, ban: Ejection) -> bool:
        if self._folder is None:
            return True  # nothing outlives this process, and no other shares its bans
        file = FILE_PREFIX + quote(name, safe="")
        draft = self._folder / f"draft-{os.getpid()}"
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            draft.write_bytes(
                orjson.dumps({key: getattr(ban, field) for key, field in EJECTION_FIELDS.items()})
            )
            os.replace(draft, self._folder / file)  # whole or not at all, as the other process may look now
        except OSError as error:
            self._complain(f"ban of {name} not written: %s", error)
            return False
        return True

    def _ban_in(self, file: str, written_ms: float) -> Ejection | None:
        """The ban in a file, None if it has just been replaced or removed."""
        assert self._folder is not None
        try:
            with (self._folder / file).open("rb") as opened:
                row = orjson.loads(opened.read(MAX_FILE_BYTES))
            out, back = float(row["out_ms"]), row["back_ms"]
            return Ejection(out, None if back is None else float(back))
        except FileNotFoundError:
            return None
        except (OSError, ValueError, KeyError, TypeError) as error:
            # Guard: somebody wanted this server out; used against that it could break a drain.
            said = " ".join(str(error).split())
            log.error("ban %s can't be read, its server is out until brought back: %s", file, said)
            return Ejection(written_ms)

    def _forget(self, now_ms: float) -> None:
        """Leave out returns from long ago; their files go too."""
        assert self._folder is not None
        for name, ban in list(self._ejections.items()):
            if ban.restored_ms is not None and ban.restored_ms < now_ms - RETENTION_MS:
                del self._ejections[name]
                file = FILE_PREFIX + quote(name, safe="")
                self._last_read.pop(file, None)
                with contextlib.suppress(OSError):  # read again, and forgotten again, if it stays
                    (self._folder / file).unlink()

    def _complain(self, text: str, error: OSError) -> None:
        if not self._failing:  # once for each stretch of failures
            log.error(text, error)
        self._failing = True
