"""What an instance knows of service time, kept for its next start on the same machine.

The monotonic clock goes on while a process is down, so a bound on service time holds through a restart: three
instances that all start anew within a second go on with the same time. It holds for one run of the machine
(and one time namespace, as a container may have its own); in any other the file is worth nothing.
"""

from __future__ import annotations

import os
import time
from pathlib import Path

import orjson

from loadbalancer.registry.service_clock import ClockBound

MIN_SAVED_CHANGE_MS = 2.0  # a bound that moved less is not written again


class ProcessClocks:
    """This process's clocks in ms; `offset_ms` sets both off, which only tests do."""

    def __init__(self, offset_ms: float) -> None:
        self.offset_ms = offset_ms

    def monotonic_ms(self) -> float:
        return time.monotonic() * 1000.0 + self.offset_ms

    def unix_ms(self) -> float:
        return time.time() * 1000.0 + self.offset_ms


class ClockFile:
    """The file `service-clock.json` of an instance's data folder."""

    def __init__(self, folder: Path, clocks: ProcessClocks) -> None:
        self._path = folder / "service-clock.json"
        self.clocks = clocks
        self._saved: ClockBound | None = None
        try:
            boot = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
            self._machine_run = f"{boot} {os.readlink('/proc/self/ns/time')} {clocks.offset_ms}"
        except OSError:
            self._machine_run = ""  # not told apart here: nothing is kept

    def load(self) -> ClockBound | None:
        """The bound kept in this run of the machine, None where there is none or the file is not readable."""
        try:
            row = orjson.loads(self._path.read_bytes())
            known = ClockBound(float(row["ahead"]), float(row["at"]), int(row["epoch"]))
            usable = row["run"] == self._machine_run != "" and known.read_at_ms <= self.clocks.monotonic_ms()
        except (OSError, ValueError, KeyError, TypeError):
            return None
        return known if usable else None

    def save(self, known: ClockBound | None) -> None:
        """Keep the bound if it says more than the one kept; OSError if it can't be written."""
        if known is None or not self._machine_run:
            return
        now, kept = self.clocks.monotonic_ms(), self._saved
        if (
            kept
            and kept.epoch == known.epoch
            and abs(kept.aged_ahead_ms(now) - known.aged_ahead_ms(now)) < MIN_SAVED_CHANGE_MS
        ):
            return
        row = {
            "run": self._machine_run,
            "ahead": known.ahead_ms,
            "at": known.read_at_ms,
            "epoch": known.epoch,
        }
        fresh = self._path.with_suffix(".new")
        fresh.write_bytes(orjson.dumps(row))
        fresh.replace(self._path)  # whole or not at all; a power loss ends this run of the machine anyway
        self._saved = known
