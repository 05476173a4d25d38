"""The file in which an instance saves its bound on service time for its next start on the same machine.

The monotonic clock runs on while a process is down, so a bound on service time stays valid over a restart:
three instances that are all restarted within a second continue with the same time. The bound is valid until
the machine reboots and within one time namespace (a container may have a separate one); otherwise the file is
ignored.
"""

from __future__ import annotations

import os
import time
from pathlib import Path

import orjson

from loadbalancer.registry.service_clock import ClockBound

MIN_SAVED_CHANGE_MS = 2.0  # a bound that has changed by less is not saved again
MS_PER_S = 1000.0


class ProcessClocks:
    """This process's clocks in ms; tests shift both by `offset_ms`."""

    def __init__(self, offset_ms: float) -> None:
        self.offset_ms = offset_ms

    def monotonic_ms(self) -> float:
        """Return the monotonic clock in ms, which runs on while a process is down."""
        return time.monotonic() * MS_PER_S + self.offset_ms

    def unix_ms(self) -> float:
        """Return the wall clock as Unix time in ms."""
        return time.time() * MS_PER_S + self.offset_ms


class ClockFile:
    """The file `service-clock.json` in an instance's data folder."""

    def __init__(self, folder: Path, clocks: ProcessClocks) -> None:
        self._path = folder / "service-clock.json"
        self.clocks = clocks
        self._saved: ClockBound | None = None
        self._boot_id = _boot_id(clocks)

    def load(self) -> ClockBound | None:
        """Return the bound saved since the machine booted, or None if there is none or it can't be read."""
        try:
            entry = orjson.loads(self._path.read_bytes())
            known = ClockBound(float(entry["ahead"]), float(entry["at"]), int(entry["epoch"]))
            usable = entry["run"] == self._boot_id != "" and known.read_at_ms <= self.clocks.monotonic_ms()
        except (OSError, ValueError, KeyError, TypeError):
            return None
        return known if usable else None

    def save(self, known: ClockBound | None) -> None:
        """Save the bound if it has changed enough since the last save; raise OSError on a write error."""
        if known is None or not self._boot_id or not self._has_changed(known):
            return
        entry = {
            "run": self._boot_id,
            "ahead": known.ahead_ms,
            "at": known.read_at_ms,
            "epoch": known.epoch,
        }
        new_file = self._path.with_suffix(".new")
        new_file.write_bytes(orjson.dumps(entry))
        # Atomic. Not synced to the disk, as a reboot makes the bound invalid anyway.
        new_file.replace(self._path)
        self._saved = known

    def _has_changed(self, known: ClockBound) -> bool:
        saved, now_ms = self._saved, self.clocks.monotonic_ms()
        if saved is None or saved.epoch != known.epoch:
            return True
        return abs(saved.aged_ahead_ms(now_ms) - known.aged_ahead_ms(now_ms)) >= MIN_SAVED_CHANGE_MS


def _boot_id(clocks: ProcessClocks) -> str:
    """Return an identifier of this boot and time namespace, or an empty text if the system has none."""
    try:
        boot = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
        return f"{boot} {os.readlink('/proc/self/ns/time')} {clocks.offset_ms}"
    except OSError:
        return ""
