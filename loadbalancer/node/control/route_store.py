"""This node's prepared route versions on disk: one synced file per version, framed as the state file is."""

from __future__ import annotations

import contextlib
import logging
import os
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Final, NamedTuple

import msgpack

from loadbalancer.node.failure_log import one_line
from loadbalancer.node.state.atomic_file import sync_directory, write_atomically
from loadbalancer.node.state.frame import FORMAT_VERSION, decode_frame, encode_frame

log = logging.getLogger("loadbalancer")

SUFFIX: Final = ".route"
MAX_LOGGED_CHARS: Final = 200  # of an error message


class StoredRoute(NamedTuple):
    """A route version on disk: its number and its TOML text."""

    number: int
    text: str


class RouteStore:
    """Writes and removes versions in one worker thread, in the order of the calls."""

    def __init__(self, folder: Path) -> None:
        """`folder`: created at the first write."""
        self._folder = folder
        self._worker = ThreadPoolExecutor(1, thread_name_prefix="routes")

    def load_all(self) -> list[StoredRoute]:
        """Return all versions on disk; a file that can't be decoded is logged and left in place."""
        stored = []
        with contextlib.suppress(FileNotFoundError):
            for path in sorted(self._folder.glob(f"*{SUFFIX}")):
                try:
                    fields = decode_frame(path.read_bytes())
                    stored.append(StoredRoute(int(fields["number"]), str(fields["text"])))
                except (OSError, ValueError, KeyError, TypeError) as error:
                    log.warning("routes: %s ignored: %s", path, one_line(error)[:MAX_LOGGED_CHARS])
        return stored

    def write(self, number: int, text: str) -> Future[None]:
        """Write a version; the future completes once it is synced to disk, or fails with OSError."""
        return self._worker.submit(self._write, number, text)

    def remove(self, number: int) -> Future[None]:
        """Delete a version; the future completes once it is deleted from the disk."""
        return self._worker.submit(self._remove, number)

    def close(self) -> None:
        """Wait for a write in progress, as the next process of an upgrade uses the same folder."""
        self._worker.shutdown(wait=True, cancel_futures=True)

    def _path(self, number: int) -> Path:
        return self._folder / f"{number}{SUFFIX}"

    def _write(self, number: int, text: str) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        write_atomically(
            self._path(number),
            encode_frame(msgpack.packb({"format": FORMAT_VERSION, "number": number, "text": text})),
        )

    def _remove(self, number: int) -> None:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path(number))
            sync_directory(self._folder)
