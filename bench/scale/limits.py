"""Limits on a run's use of the machine, checked before it starts and between its events."""

from __future__ import annotations

import os

import psutil  # type: ignore[import-untyped]
from msgspec import Struct

MAX_MEMORY_FRACTION = 0.5  # of the machine's memory, for this run and all other programs
MAX_PROCESSES = 300
NODE_MB = 1.2  # of a hollow node without its copy of the list: measured 0.5 to 1.2 at factors 0.25 and 0.5
PROCESS_MB = 55.0  # of a process with the program loaded: measured 40 to 50
LIST_ENTRY_KB = 0.8  # of an entry of the list in the agent of each node


class TooLargeError(RuntimeError):
    """The run would exceed a limit on processes or memory."""


class Plan(Struct, frozen=True):
    """The processes, hollow nodes and list entries of a run before it starts."""

    processes: int
    hollow_nodes: int
    list_entries: int

    @property
    def memory_mb(self) -> float:
        lists = self.hollow_nodes * self.list_entries * LIST_ENTRY_KB / 1024.0
        return self.processes * PROCESS_MB + self.hollow_nodes * NODE_MB + lists


def check(plan: Plan) -> None:
    """Raise TooLargeError that names the limit which the plan exceeds."""
    if plan.processes > MAX_PROCESSES:
        raise TooLargeError(f"{plan.processes} processes, over {MAX_PROCESSES}")
    memory = psutil.virtual_memory()
    used_mb = (memory.total - memory.available) / 2**20
    allowed_mb = memory.total * MAX_MEMORY_FRACTION / 2**20
    if used_mb + plan.memory_mb > allowed_mb:
        raise TooLargeError(f"{plan.memory_mb:.0f} MB plus {used_mb:.0f} MB in use, over {allowed_mb:.0f} MB")


def over_memory() -> bool:
    """Whether more of the machine's memory is in use now than is allowed during a run."""
    memory = psutil.virtual_memory()
    return bool(memory.available < memory.total * (1.0 - MAX_MEMORY_FRACTION))


def load_is_high() -> bool:
    """Whether other programs keep most of the cores busy, which affects measured times."""
    return os.getloadavg()[0] > 0.75 * (os.cpu_count() or 1)
