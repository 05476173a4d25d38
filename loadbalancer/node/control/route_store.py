"""The route versions of this node on disk: a file each, in the state file's frame, written whole and
synced."""

from __future__ import annotations

import contextlib
import logging
import os
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import msgpack

from loadbalancer.node.state.atomic_file import sync_directory, write_atomically
from loadbalancer.node.state.frame import FORMAT_VERSION, decode_frame, encode_frame

log = logging.getLogger("loadbalancer")


class RouteStore:
    """Writes and removals in the order they are asked for, in one worker thread."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._worker = ThreadPoolExecutor(1, thread_name_prefix="routes")

    def load_all(self) -> list[tuple[int, str]]:
        """What is there; a file that can't be read says so in one line and is left as it is."""
        found = []
        with contextlib.suppress(FileNotFoundError):
            for path in sorted(self._folder.glob("*.route")):
                try:
                    row = decode_frame(path.read_bytes())
                    found.append((int(row["number"]), str(row["text"])))
                except (OSError, ValueError, KeyError, TypeError) as error:
                    log.warning("routes: %s is not used: %s", path, " ".join(str(error).split())[:200])
        return found

    def write(self, number: int, text: str) -> Future[None]:
        """Done once the version is on disk, synced; OSError if it can't be."""
        return self._worker.submit(self._write, number, text)

    def remove(self, number: int) -> Future[None]:
        return self._worker.submit(self._forget, number)

    def close(self) -> None:
        """Wait for a write under way: the next process of an upgrade uses the same folder."""
        self._worker.shutdown(wait=True, cancel_futures=True)

    def _path(self, number: int) -> Path:
        return self._folder / f"{number}.route"

    def _write(self, number: int, text: str) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        write_atomically(
            self._path(number),
            encode_frame(msgpack.packb({"format": FORMAT_VERSION, "number": number, "text": text})),
        )

    def _forget(self, number: int) -> None:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path(number))
            sync_directory(self._folder)
