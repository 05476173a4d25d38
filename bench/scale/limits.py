"""What a run may take of the machine: checked before it begins, and kept to by its own watch."""

from __future__ import annotations

import os

import psutil  # type: ignore[import-untyped]
from msgspec import Struct

MEMORY_SHARE = 0.5  # of the machine's memory, for this run and all that runs beside it
PROCESSES = 300
NODE_MB = 1.2  # a hollow node, its own copy of the list apart: 0.5 to 1.2 at factors 0.25 and 0.5
PROCESS_MB = 55.0  # a process with the program loaded: 40 to 50
LIST_ENTRY_KB = 0.8  # of the list, in the agent of each node


class TooLargeError(RuntimeError):
    """The run would take more of the machine than it may."""


class Plan(Struct, frozen=True):
    """What a run is going to start."""

    processes: int
    hollow_nodes: int
    listed: int

    @property
    def memory_mb(self) -> float:
        lists = self.hollow_nodes * self.listed * LIST_ENTRY_KB / 1024.0
        return self.processes * PROCESS_MB + self.hollow_nodes * NODE_MB + lists


def check(plan: Plan) -> None:
    """TooLargeError says which limit the plan is over."""
    if plan.processes > PROCESSES:
        raise TooLargeError(f"{plan.processes} processes, over {PROCESSES}")
    memory = psutil.virtual_memory()
    used_mb = (memory.total - memory.available) / 2**20
    allowed_mb = memory.total * MEMORY_SHARE / 2**20
    if used_mb + plan.memory_mb > allowed_mb:
        raise TooLargeError(
            f"{plan.memory_mb:.0f} MB beside {used_mb:.0f} MB in use, over {allowed_mb:.0f} MB"
        )


def over_memory() -> bool:
    """Whether more of the machine's memory is in use now than a run may bring about."""
    memory = psutil.virtual_memory()
    return bool(memory.available < memory.total * (1.0 - MEMORY_SHARE))


def load_is_high() -> bool:
    """Whether other programs keep most of the cores busy, so that times tell of them too."""
    return os.getloadavg()[0] > 0.75 * (os.cpu_count() or 1)
