"""One JSON file for each run, in `records/`: what was run, where, and every figure that it gave.

docs/CAPACITY.md is filled and checked from these files alone. A record is never changed after it was written.
"""

from __future__ import annotations

import datetime
import os
import subprocess
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Literal

import msgspec
from msgspec import Struct

FOLDER = Path(__file__).with_name("records")
FORM = 1

Role = Literal[
    "platform", "node", "hollow", "agent", "leader", "follower", "service", "call", "chain", "machine"
]
Value = float | int | str | bool | None
Option = float | int | str | bool | None


class Figure(Struct, frozen=True, omit_defaults=True):
    """One measured value.

    `phase` is the part of the run that it was measured in (enrolment, steady, leader_killed, ...), empty for
    the whole run; `samples` how many observations stand behind it, 0 where that means nothing.
    """

    role: Role
    name: str
    value: Value
    unit: str = ""
    phase: str = ""
    samples: int = 0


class Load(Struct, frozen=True):
    """The machine's load averages over 1, 5 and 15 minutes."""

    one: float
    five: float
    fifteen: float


class Program(Struct, frozen=True):
    """The program that was measured: the commit of its checkout, and whether files differed from it."""

    commit: str
    dirty: bool


class Record(Struct, frozen=True):
    form: int
    kind: str  # the command: control, latency, chains, ...
    factor: float  # of the platform's size; 0 where it has no part in the run
    seed: int
    program: Program
    bench: Program  # the checkout of the scale tests, where it is another
    started: str  # UTC, ISO 8601
    seconds: float
    cores: int
    load_before: Load
    load_after: Load
    options: dict[str, Option]
    figures: list[Figure]
    failures: list[str] = []  # goals and checks that the run missed, and what broke off

    def find(self, role: Role, name: str, phase: str = "") -> Figure | None:
        for figure in self.figures:
            if (figure.role, figure.name, figure.phase) == (role, name, phase):
                return figure
        return None

    def number(self, role: Role, name: str, phase: str = "") -> float | None:
        """The figure's value where there is one and it is a number."""
        figure = self.find(role, name, phase)
        if figure is None or isinstance(figure.value, str) or figure.value is None:
            return None
        return float(figure.value)


def load_now() -> Load:
    return Load(*(round(value, 2) for value in os.getloadavg()))


def program_at(checkout: Path) -> Program:
    """Records that were added since count as no difference."""
    commit = _git(checkout, "rev-parse", "HEAD").strip() or "unknown"
    changed = [
        line
        for line in _git(checkout, "status", "--porcelain", "--untracked-files=no").splitlines()
        if "bench/scale/records/" not in line
    ]
    return Program(commit, bool(changed))


def _git(checkout: Path, *arguments: str) -> str:
    done = subprocess.run(
        ["git", "-C", str(checkout), *arguments], capture_output=True, text=True, check=False
    )
    return done.stdout if done.returncode == 0 else ""


class Run:
    """A run under way: begun before anything is measured, ended by `finish`."""

    def __init__(
        self,
        kind: str,
        factor: float,
        seed: int,
        options: dict[str, Option],
        checkout: Path | None = None,
    ) -> None:
        """`checkout`: of the program that is measured; none: the one that these tests stand in."""
        own = Path(__file__).resolve().parent.parent.parent
        self.kind, self.factor, self.seed, self.options = kind, factor, seed, options
        self.figures: list[Figure] = []
        self.failures: list[str] = []
        self._program, self._bench = program_at(checkout or own), program_at(own)
        self._began = datetime.datetime.now(datetime.UTC)
        self._load = load_now()

    def add(
        self, role: Role, name: str, value: Value, unit: str = "", phase: str = "", samples: int = 0
    ) -> None:
        self.figures.append(Figure(role, name, value, unit, phase, samples))

    def finish(self) -> Record:
        seconds = (datetime.datetime.now(datetime.UTC) - self._began).total_seconds()
        return Record(
            form=FORM,
            kind=self.kind,
            factor=self.factor,
            seed=self.seed,
            program=self._program,
            bench=self._bench,
            started=self._began.isoformat(timespec="seconds"),
            seconds=round(seconds, 1),
            cores=os.cpu_count() or 0,
            load_before=self._load,
            load_after=load_now(),
            options=self.options,
            figures=self.figures,
            failures=self.failures,
        )


def append(record: Record, folder: Path = FOLDER) -> Path:
    """Write the record to a file of its own; FileExistsError rather than change one that is there."""
    folder.mkdir(parents=True, exist_ok=True)
    stamp = "".join(letter for letter in record.started[:19] if letter.isalnum())
    path = folder / f"{stamp}-{record.kind}-{record.factor:g}-{record.program.commit[:8]}.json"
    with path.open("xb") as file:
        file.write(msgspec.json.format(msgspec.json.encode(record), indent=1) + b"\n")
    return path


def read(path: Path) -> Record:
    """ValueError says which field of the file is wrong."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Record)
    except msgspec.MsgspecError as error:
        raise ValueError(f"{path.name}: {error}") from error


def read_all(folder: Path = FOLDER) -> Iterator[Record]:
    """All records, the oldest first."""
    for path in sorted(folder.glob("*.json")):
        yield read(path)


def of_kind(records: Iterable[Record], kind: str) -> list[Record]:
    return [record for record in records if record.kind == kind]
