"""Writes a node's state file, from one process at a time and outside the event loop's thread."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import logging
import os
import threading
from collections.abc import Callable
from pathlib import Path

from loadbalancer.node.failure_log import FailureLog, one_line
from loadbalancer.node.state.atomic_file import write_atomically
from loadbalancer.node.state.errors import StateFileClosedError

log = logging.getLogger("loadbalancer")

LOCK_FILE_MODE = 0o600


class StateFile:
    """A node's state file. Only the process that holds the lock on `FILE.lock` writes it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.writes = 0  # since the start
        self.failures = 0  # since the start
        self.last_write_bytes = 0
        self.last_write_s = 0.0  # how long the last write took
        self._lock: int | None = None  # file descriptor while this process holds the lock
        self._write_lock = threading.Lock()  # held by the worker thread during a write
        self._write_in_progress = False
        self._failure_log = FailureLog()
        self._lock_denied = False
        self._closed = False

    def acquire_lock(self) -> bool:
        """Return whether this process may write the file.

        Each call tries to take the lock, since the process that holds it may have ended.
        """
        if self._closed:
            return False
        if self._lock is not None:
            return True
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            lock_path = self.path.with_name(f"{self.path.name}.lock")
            descriptor = os.open(lock_path, os.O_RDWR | os.O_CREAT, LOCK_FILE_MODE)
        except OSError as error:
            self._record_failure(error)
            return False
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            self._record_denial()
            return False
        self._lock = descriptor
        if self._lock_denied:
            log.info("state %s: this process writes it from now on", self.path)
        return True

    async def write(self, encode: Callable[[], bytes]) -> None:
        """Encode and write the file in a worker thread; a failure is counted and logged.

        Do nothing if another write is in progress. `encode` runs in the worker thread, so it must read only
        data that the event loop does not change.
        """
        if self._write_in_progress or not self.acquire_lock():
            return
        self._write_in_progress = True
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            size = await asyncio.to_thread(self._encode_and_write, encode)
        except OSError as error:
            self._record_failure(error)
        else:
            self.writes += 1
            self.last_write_bytes, self.last_write_s = size, loop.time() - started_at
            if self._failure_log.success():
                log.info("state %s: written again", self.path)
        finally:
            self._write_in_progress = False

    def close(self) -> None:
        """Release the lock for good, after any write in progress has ended; may be called in any thread.

        The write of a cancelled task continues in its thread. If the lock were released earlier, that write
        could overwrite a newer file of the next process.
        """
        self._closed = True
        with self._write_lock:
            if self._lock is not None:
                with contextlib.suppress(OSError):
                    os.close(self._lock)  # releases the lock
                self._lock = None

    def _encode_and_write(self, encode: Callable[[], bytes]) -> int:
        """Return the number of bytes written."""
        with self._write_lock:
            if self._lock is None:
                raise StateFileClosedError(self.path)
            data = encode()
            write_atomically(self.path, data)
            return len(data)

    def _record_failure(self, error: OSError) -> None:
        self.failures += 1
        self._failure_log.failure("state %s not written, service goes on: %s", self.path, one_line(error))

    def _record_denial(self) -> None:
        if not self._lock_denied:
            log.warning("state %s: another process writes it; this one only reads it", self.path)
        self._lock_denied = True
