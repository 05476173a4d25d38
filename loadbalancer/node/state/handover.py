"""What two processes of a node tell each other during an upgrade: a file for each in a folder they share."""

from __future__ import annotations

import contextlib
import logging
import math
import os
from pathlib import Path
from typing import Any

import orjson

from loadbalancer.balancing.events import LearnedState

log = logging.getLogger("loadbalancer")

FOLDER_NAME = "orchidledge-handover"
FILE_PREFIX = "process-"
FRESHNESS_MS = 1000.0  # a process that has not written for so long has ended or hangs
RETENTION_MS = 60_000.0  # then its file goes
MAX_FILE_BYTES = 256 * 1024
# The key of each field of `LearnedState` in handover files and in the state file.
LEARNED_FIELDS = {
    "base": "baseline_ratio",
    "level": "latency_ratio",
    "cursor": "cursor",
    "rate": "completion_rate",
    "peak": "peak_completion_rate",
    "sends": "send_rate",
    "mean_aim": "mean_latency_objective_ms",
    "class_ms": "class_latency_ms",
    "slow": "endpoint_latency_ratios",
}


class HandoverFiles:
    """This process's file and those of the others."""

    def __init__(self, folder: Path, process: int) -> None:
        self._folder = folder
        self._name = f"{FILE_PREFIX}{process}"
        self._failing = False

    def write(self, now_ms: float, learned: LearnedState, held: dict[str, float]) -> None:
        row = {"at_ms": now_ms, "learned": encode_learned(learned), "held": held}
        draft = self._folder / f"draft-{self._name}"
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            draft.write_bytes(orjson.dumps(row))
            os.replace(draft, self._folder / self._name)  # whole or not at all, as the other may look now
        except OSError as error:
            self._complain("nothing handed over: %s", error)

    def read_siblings(self, now_ms: float) -> tuple[LearnedState | None, dict[str, float]]:
        """What the newest of the other processes has learned, and what all of them hold at each server."""
        newest, newest_ms, held = None, -math.inf, dict[str, float]()
        for path in self._others():
            try:
                with path.open("rb") as opened:
                    row = orjson.loads(opened.read(MAX_FILE_BYTES))
                at_ms, theirs, learned = (
                    _number(row["at_ms"]),
                    _numbers(row["held"]),
                    decode_learned(row["learned"]),
                )
            except FileNotFoundError:
                continue  # it has just ended
            except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
                self._complain(f"{path.name} is passed over: %s", error)
                continue
            if at_ms < now_ms - RETENTION_MS:
                with contextlib.suppress(OSError):
                    path.unlink()
            if not now_ms - FRESHNESS_MS <= at_ms <= now_ms + FRESHNESS_MS:
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
        return [self._folder / name for name in names if name.startswith(FILE_PREFIX) and name != self._name]

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


def encode_learned(learned: LearnedState) -> dict[str, Any]:
    """The stored form of what a process has learned."""
    return {stored: getattr(learned, name) for stored, name in LEARNED_FIELDS.items()}


def decode_learned(row: dict[str, Any]) -> LearnedState:
    """What a process had learned, from its stored form; ValueError or KeyError where that is malformed."""
    return LearnedState(
        baseline_ratio=None if row["base"] is None else _number(row["base"]),
        latency_ratio=_number(row["level"]),
        cursor=int(_number(row["cursor"])),
        completion_rate=_number(row["rate"]),
        send_rate=_number(row["sends"]),
        peak_completion_rate=_number(row["peak"]),
        mean_latency_objective_ms=_number(row["mean_aim"]),
        class_latency_ms=_numbers(row["class_ms"]),
        endpoint_latency_ratios=_numbers(row["slow"]),
    )
