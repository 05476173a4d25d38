"""How long processes have been ready to run while other programs held the cores.

The scheduler counts it (the second figure of schedstat), so calls that a busy machine held up can be told
from the others.
"""

from __future__ import annotations

import os
from collections.abc import Iterable

FIGURES_BYTES = 80


class CoreWaits:
    """The sum over the main threads of some processes, in ns; called to be read."""

    def __init__(self, pids: Iterable[int]) -> None:
        self._files = [os.open(f"/proc/{pid}/schedstat", os.O_RDONLY) for pid in pids]

    def __call__(self) -> int:
        return sum(int(os.pread(file, FIGURES_BYTES, 0).split()[1]) for file in self._files)

    def close(self) -> None:
        while self._files:
            os.close(self._files.pop())
