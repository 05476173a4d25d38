"""What two processes of a node tell each other during an upgrade: a file for each in a folder they share."""

from __future__ import annotations

import contextlib
import logging
import math
import os
from dataclasses import asdict
from pathlib import Path
from typing import Any

import orjson

from loadbalancer.interface import Learned

log = logging.getLogger("loadbalancer")

FOLDER = "orchidledge-handover"
PREFIX = "process-"
FRESH_MS = 1000.0  # a process that has not written for so long has ended or hangs
KEEP_MS = 60_000.0  # then its file goes
MAX_FILE = 256 * 1024


class Handover:
    """This process's file and those of the others."""

    def __init__(self, folder: Path, process: int) -> None:
        self._folder = folder
        self._name = f"{PREFIX}{process}"
        self._failing = False

    def write(self, now_ms: float, learned: Learned, held: dict[str, float]) -> None:
        row = {"at_ms": now_ms, "learned": asdict(learned), "held": held}
        draft = self._folder / f"draft-{self._name}"
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            draft.write_bytes(orjson.dumps(row))
            os.replace(draft, self._folder / self._name)  # whole or not at all, as the other may look now
        except OSError as error:
            self._complain("nothing handed over: %s", error)

    def read(self, now_ms: float) -> tuple[Learned | None, dict[str, float]]:
        """What the newest of the other processes has learned, and what all of them hold at each server."""
        newest, newest_ms, held = None, -math.inf, dict[str, float]()
        for path in self._others():
            try:
                with path.open("rb") as opened:
                    row = orjson.loads(opened.read(MAX_FILE))
                at_ms, theirs, learned = (
                    _number(row["at_ms"]),
                    _numbers(row["held"]),
                    learned_from(row["learned"]),
                )
            except FileNotFoundError:
                continue  # it has just ended
            except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
                self._complain(f"{path.name} is passed over: %s", error)
                continue
            if at_ms < now_ms - KEEP_MS:
                with contextlib.suppress(OSError):
                    path.unlink()
            if not now_ms - FRESH_MS <= at_ms <= now_ms + FRESH_MS:
                continue
            for server, load in theirs.items():
                held[server] = held.get(server, 0.0) + load
            if at_ms > newest_ms:
                newest, newest_ms = learned, at_ms
        return newest, held

    def close(self) -> None:
        with contextlib.suppress(OSError):
            (self._folder / self._name).unlink()

    def _others(self) -> list[Path]:
        try:
            names = os.listdir(self._folder)
        except FileNotFoundError:
            return []  # the first process
        except OSError as error:
            self._complain("other processes not looked for: %s", error)
            return []
        return [self._folder / name for name in names if name.startswith(PREFIX) and name != self._name]

    def _complain(self, text: str, error: Exception) -> None:
        if not self._failing:  # once: it is looked at several times a second
            log.error(text, " ".join(str(error).split()))
        self._failing = True


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{value!r} is not a number")
    return float(value)


def _numbers(row: dict[str, Any]) -> dict[str, float]:
    return {name: max(0.0, _number(value)) for name, value in row.items()}


def learned_from(row: dict[str, Any]) -> Learned:
    return Learned(
        base=None if row["base"] is None else _number(row["base"]),
        level=_number(row["level"]),
        cursor=int(_number(row["cursor"])),
        rate=_number(row["rate"]),
        sends=_number(row["sends"]),
        peak=_number(row["peak"]),
        mean_aim=_number(row["mean_aim"]),
        class_ms=_numbers(row["class_ms"]),
        slow=_numbers(row["slow"]),
    )
