"""What docs/CAPACITY.md shows of the records: tables, their rows, bounds, mechanisms, and control machines.

Read from report.toml. A bound is a number, or the name of one of the operators' in size.toml.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from bench.scale.platform import Bounds
from bench.scale.records import Role

LAYOUT_FILE = Path(__file__).with_name("report.toml")

Scope = Literal["service", "all"]  # of the groups that nodes share in: one a service, or one of all
Axis = Literal["nodes", "calls", "service"]
Text = Annotated[str, Meta(min_length=1)]


class Phase(Struct, frozen=True, forbid_unknown_fields=True):
    """A part of a run as records name it. On the axis of calls: what follows the rate in that name."""

    name: str
    when: Text  # in the tables
    event: bool = False  # the first seconds after a fault, in which more may be allowed


class Row(Struct, frozen=True, forbid_unknown_fields=True):
    """A figure of the records in some phases, and the mechanism that carries it."""

    label: Text
    role: Role
    figure: Text
    unit: str
    mechanism: Text
    phases: Annotated[list[str], Meta(min_length=1)]
    bound: float | str | None = None
    bound_in: list[str] = []  # none: in all its phases
    event_times: float = 1.0  # so much more is allowed in an event
    counted: bool = False  # whether the number of observations is shown
    noise: str = ""  # the figure that tells how much of this one is noise of machine and method

    def limit(self, phase: Phase, bounds: Bounds) -> float | None:
        """What is allowed in that phase; ValueError where the operators have no bound of that name."""
        if self.bound is None or (self.bound_in and phase.name not in self.bound_in):
            return None
        times = self.event_times if phase.event else 1.0
        if not isinstance(self.bound, str):
            return times * self.bound
        if self.bound not in bounds.__struct_fields__:
            raise ValueError(f"{self.bound}: not among the bounds of size.toml")
        return times * float(getattr(bounds, self.bound))


class Target(Struct, frozen=True, forbid_unknown_fields=True):
    """A place on the axis that figures are worked out for."""

    label: Text
    x: float


class Table(Struct, frozen=True, forbid_unknown_fields=True):
    """Figures over one axis; the first target is the size that bounds are judged at."""

    name: Text
    kind: Text  # of records
    axis: Axis
    per: float  # slopes are told for so many of the axis
    per_label: Text
    targets: Annotated[list[Target], Meta(min_length=1)]
    rows: Annotated[list[Row], Meta(min_length=1)]


class Machine(Struct, frozen=True, forbid_unknown_fields=True):
    """One of the machines set aside for control, and what is placed there."""

    name: Text
    region: Text
    zone: Text
    roles: list[Role]
    note: str = ""


class Layout(Struct, frozen=True, forbid_unknown_fields=True):
    chains_mechanism: Text
    probe_period_ms: dict[Scope, float]  # that runs count with; where none is given: the program's own
    phases: list[Phase]
    tables: list[Table]
    machines: list[Machine]

    def phase(self, name: str) -> Phase:
        """ValueError where there is none of that name."""
        for phase in self.phases:
            if phase.name == name:
                return phase
        raise ValueError(f"{name}: not among the phases of report.toml")


def read_layout(path: Path = LAYOUT_FILE) -> Layout:
    """ValueError says which key of the file is wrong."""
    return msgspec.convert(tomllib.loads(path.read_text()), Layout)
