"""CPU, memory and traffic of a run's processes between two readings."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping
from pathlib import Path

import psutil  # type: ignore[import-untyped]
from msgspec import Struct

from bench.scale import sockets
from bench.scale.records import Role
from bench.scale.sockets import Traffic

MB = 2**20


class WatchedProcess:
    """A process of the run, which counts its traffic in the file `counts` by the kinds of `ports`."""

    def __init__(self, role: Role, name: str, pid: int, counts: Path, ports: Mapping[str, int]) -> None:
        self.role, self.name, self.pid = role, name, pid
        self._counts, self._ports = counts, ports
        self._process = psutil.Process(pid)

    def reading(self) -> Reading | None:
        """Return the current values, or None if the process has ended."""
        try:
            with self._process.oneshot():
                cpu = self._process.cpu_times()
                rss = self._process.memory_info().rss
        except psutil.NoSuchProcess:
            return None
        traffic = sockets.read(self._counts, self._ports)
        return Reading(time.monotonic(), cpu.user + cpu.system, rss / MB, traffic)


class Reading(Struct, frozen=True):
    """Totals of a process at one time."""

    at: float  # s, monotonic
    cpu_s: float
    rss_mb: float
    traffic: dict[str, Traffic]


class Usage(Struct, frozen=True):
    """A process's usage between two readings; traffic is per second."""

    role: Role
    name: str
    seconds: float
    cpu_percent: float  # of a core
    rss_mb: float  # at the end
    bytes_in: float
    bytes_out: float
    receives: float
    sends: float
    by_kind: dict[str, tuple[float, float]]  # bytes in and out


def usage(process: WatchedProcess, before: Reading, after: Reading) -> Usage:
    """Return the usage between two readings."""
    seconds = max(1e-6, after.at - before.at)
    changed = {kind: now.since(before.traffic[kind]) for kind, now in after.traffic.items()}
    traffic = sockets.total(changed)
    return Usage(
        role=process.role,
        name=process.name,
        seconds=seconds,
        cpu_percent=100.0 * (after.cpu_s - before.cpu_s) / seconds,
        rss_mb=after.rss_mb,
        bytes_in=traffic.bytes_in / seconds,
        bytes_out=traffic.bytes_out / seconds,
        receives=traffic.receives / seconds,
        sends=traffic.sends / seconds,
        by_kind={kind: (of.bytes_in / seconds, of.bytes_out / seconds) for kind, of in changed.items()},
    )


class Meter:
    """Readings of all processes at its creation, the start of the measured interval."""

    def __init__(self, processes: Iterable[WatchedProcess]) -> None:
        self._before = {
            process: reading for process in processes if (reading := process.reading()) is not None
        }

    def usages(self) -> list[Usage]:
        """Return the usage of each process since then, without processes that have ended."""
        usages = []
        for process, before in self._before.items():
            after = process.reading()
            if after is not None:
                usages.append(usage(process, before, after))
        return usages
