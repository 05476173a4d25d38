"""The record of a run: what was sent, answered and run, one line an event."""

from __future__ import annotations

import threading
import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the start to a file, and the important ones to standard output."""

    def __init__(self, path: Path) -> None:
        self._lock = threading.Lock()
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def seconds(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._start

    def write(self, text: str, show: bool = True) -> float:
        """Add a line; return its time in seconds."""
        with self._lock:
            now = self.seconds()
            line = f"{now:8.3f} {text}"
            self._file.write(line + "\n")
            self._file.flush()
        if show:
            print(line, flush=True)
        return now

    def close(self) -> None:
        """Close the file."""
        self._file.close()
