"""What an instance knows of service time, kept for its next start on the same machine.

The monotonic clock goes on while a process is down, so a bound on service time holds through a restart: three
instances that are all restarted within a second continue with the same time. The bound holds for one run of
the machine and one time namespace (a container may have its own); in any other the file is ignored.
"""

from __future__ import annotations

import os
import time
from pathlib import Path

import orjson

from loadbalancer.registry.service_clock import ClockBound

MIN_SAVED_CHANGE_MS = 2.0  # a bound that has changed by less is not written again
MS_PER_S = 1000.0


class ProcessClocks:
    """This process's clocks in ms; tests set both wrong by `offset_ms`."""

    def __init__(self, offset_ms: float) -> None:
        self.offset_ms = offset_ms

    def monotonic_ms(self) -> float:
        """The monotonic clock, which runs on while a process is down."""
        return time.monotonic() * MS_PER_S + self.offset_ms

    def unix_ms(self) -> float:
        """The wall clock."""
        return time.time() * MS_PER_S + self.offset_ms


class ClockFile:
    """The file `service-clock.json` of an instance's data folder."""

    def __init__(self, folder: Path, clocks: ProcessClocks) -> None:
        self._path = folder / "service-clock.json"
        self.clocks = clocks
        self._saved: ClockBound | None = None
        self._machine_run = _machine_run(clocks)

    def load(self) -> ClockBound | None:
        """The bound saved in this run of the machine; None where there is none or the file is unreadable."""
        try:
            row = orjson.loads(self._path.read_bytes())
            known = ClockBound(float(row["ahead"]), float(row["at"]), int(row["epoch"]))
            usable = row["run"] == self._machine_run != "" and known.read_at_ms <= self.clocks.monotonic_ms()
        except (OSError, ValueError, KeyError, TypeError):
            return None
        return known if usable else None

    def save(self, known: ClockBound | None) -> None:
        """Write the bound if it differs from the one written last; OSError if it can't be written."""
        if known is None or not self._machine_run or not self._has_changed(known):
            return
        row = {
            "run": self._machine_run,
            "ahead": known.ahead_ms,
            "at": known.read_at_ms,
            "epoch": known.epoch,
        }
        fresh = self._path.with_suffix(".new")
        fresh.write_bytes(orjson.dumps(row))
        fresh.replace(self._path)  # atomic; not synced to the disk, as a power loss ends the machine's run
        self._saved = known

    def _has_changed(self, known: ClockBound) -> bool:
        saved, now_ms = self._saved, self.clocks.monotonic_ms()
        if saved is None or saved.epoch != known.epoch:
            return True
        return abs(saved.aged_ahead_ms(now_ms) - known.aged_ahead_ms(now_ms)) >= MIN_SAVED_CHANGE_MS


def _machine_run(clocks: ProcessClocks) -> str:
    """Identifies this run of the machine and the time namespace; empty where the system does not tell."""
    try:
        boot = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
        return f"{boot} {os.readlink('/proc/self/ns/time')} {clocks.offset_ms}"
    except OSError:
        return ""
