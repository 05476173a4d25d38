"""Records of runs: one JSON file each in `records/`, with program, options, machine load and all figures.

docs/CAPACITY.md is generated and checked from these files alone. A record is never changed once written.
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

    `phase` is the part of the run in which it was measured (enrolment, steady, leader_killed, ...), empty for
    the complete run; `samples` is the number of observations, 0 where that does not apply.
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
    """The commit of a checkout, and whether its files differed from that commit."""

    commit: str
    dirty: bool


class Record(Struct, frozen=True):
    """The contents of a record file."""

    form: int  # version of the format
    kind: str  # the command: control, latency, chains, ...
    factor: float  # of the platform's size; 0 if the run does not depend on it
    seed: int
    program: Program  # the checkout of the measured program
    bench: Program  # the checkout of the scale tests
    started: str  # UTC, ISO 8601
    seconds: float
    cores: int
    load_before: Load
    load_after: Load
    options: dict[str, Option]
    figures: list[Figure]
    failures: list[str] = []  # missed goals and checks, and errors that ended the run

    def find(self, role: Role, name: str, phase: str = "") -> Figure | None:
        for figure in self.figures:
            if (figure.role, figure.name, figure.phase) == (role, name, phase):
                return figure
        return None

    def number(self, role: Role, name: str, phase: str = "") -> float | None:
        """Return the figure's value as a number, or None if there is no such figure or it is no number."""
        figure = self.find(role, name, phase)
        if figure is None or isinstance(figure.value, str) or figure.value is None:
            return None
        return float(figure.value)


def load_now() -> Load:
    """Return the current load averages."""
    return Load(*(round(value, 2) for value in os.getloadavg()))


def program_at(checkout: Path) -> Program:
    """Return the checkout's commit and whether it has changes, except to records."""
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
    """A run in progress: created before anything is measured, completed by `finish`."""

    def __init__(
        self,
        kind: str,
        factor: float,
        seed: int,
        options: dict[str, Option],
        checkout: Path | None = None,
    ) -> None:
        """`checkout` is that of the measured program; None: the checkout of this module."""
        this_checkout = Path(__file__).resolve().parent.parent.parent
        self.kind, self.factor, self.seed, self.options = kind, factor, seed, options
        self.figures: list[Figure] = []
        self.failures: list[str] = []
        self._program, self._bench = program_at(checkout or this_checkout), program_at(this_checkout)
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
    """Write the record to a new file and return its path; raise FileExistsError if it exists."""
    folder.mkdir(parents=True, exist_ok=True)
    stamp = "".join(letter for letter in record.started[:19] if letter.isalnum())
    path = folder / f"{stamp}-{record.kind}-{record.factor:g}-{record.program.commit[:8]}.json"
    with path.open("xb") as file:
        file.write(msgspec.json.format(msgspec.json.encode(record), indent=1) + b"\n")
    return path


def read(path: Path) -> Record:
    """Read a record; raise ValueError that names an invalid field."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Record)
    except msgspec.MsgspecError as error:
        raise ValueError(f"{path.name}: {error}") from error


def read_all(folder: Path = FOLDER) -> Iterator[Record]:
    """Yield all records in the order of their file names, oldest first."""
    for path in sorted(folder.glob("*.json")):
        yield read(path)


def of_kind(records: Iterable[Record], kind: str) -> list[Record]:
    """Return the records of one command."""
    return [record for record in records if record.kind == kind]
