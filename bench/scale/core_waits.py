"""Time that processes were ready to run while other programs used the cores.

The scheduler counts it (the second value of schedstat); it identifies requests that a busy machine delayed.
"""

from __future__ import annotations

import os
from collections.abc import Iterable

MAX_BYTES = 80  # of a schedstat file


class CoreWaits:
    """The sum over the main threads of some processes; calling it returns ns."""

    def __init__(self, pids: Iterable[int]) -> None:
        self._files = [os.open(f"/proc/{pid}/schedstat", os.O_RDONLY) for pid in pids]

    def __call__(self) -> int:
        return sum(int(os.pread(file, MAX_BYTES, 0).split()[1]) for file in self._files)

    def close(self) -> None:
        while self._files:
            os.close(self._files.pop())
