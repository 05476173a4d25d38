"""The prepared route versions of this node on disk: a file for each, framed as the state file, synced."""

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
MAX_LOGGED_CHARS: Final = 200  # of an error's text


class StoredRoute(NamedTuple):
    """A route version on disk: its number and its TOML text."""

    number: int
    text: str


class RouteStore:
    """Writes and removes versions in the order of the calls, in one worker thread."""

    def __init__(self, folder: Path) -> None:
        """`folder`: made at the first write."""
        self._folder = folder
        self._worker = ThreadPoolExecutor(1, thread_name_prefix="routes")

    def load_all(self) -> list[StoredRoute]:
        """Every version on disk; a file that can't be decoded is logged and left in place."""
        stored = []
        with contextlib.suppress(FileNotFoundError):
            for path in sorted(self._folder.glob(f"*{SUFFIX}")):
                try:
                    row = decode_frame(path.read_bytes())
                    stored.append(StoredRoute(int(row["number"]), str(row["text"])))
                except (OSError, ValueError, KeyError, TypeError) as error:
                    log.warning("routes: %s ignored: %s", path, one_line(error)[:MAX_LOGGED_CHARS])
        return stored

    def write(self, number: int, text: str) -> Future[None]:
        """Done once the version is on disk and synced; OSError if it can't be written."""
        return self._worker.submit(self._write, number, text)

    def remove(self, number: int) -> Future[None]:
        """Done once the version is deleted from the disk."""
        return self._worker.submit(self._remove, number)

    def close(self) -> None:
        """Wait for a write under way: the next process of an upgrade uses the same folder."""
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
