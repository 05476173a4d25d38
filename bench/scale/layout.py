"""Layout of docs/CAPACITY.md, read from report.toml: tables, rows, bounds, mechanisms, control machines.

A bound is a number, or the name of one of the operators' bounds in size.toml.
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

Scope = Literal["service", "all"]  # of the groups among which quotas are divided: one per service, or one
Axis = Literal["nodes", "calls", "service"]
Text = Annotated[str, Meta(min_length=1)]


class Phase(Struct, frozen=True, forbid_unknown_fields=True):
    """A part of a run. `name` is its name in the records; on the axis of calls, its part after the rate."""

    name: str
    when: Text  # its name in the tables
    event: bool = False  # the first seconds after a fault, with relaxed bounds


class Row(Struct, frozen=True, forbid_unknown_fields=True):
    """A figure of the records in some phases, and the mechanism that keeps it within its bound."""

    label: Text
    role: Role
    figure: Text
    unit: str
    mechanism: Text
    phases: Annotated[list[str], Meta(min_length=1)]
    bound: float | str | None = None
    bound_in: list[str] = []  # empty: in all its phases
    event_times: float = 1.0  # factor of the bound in an event
    counted: bool = False  # whether the number of observations is shown
    noise: str = ""  # the figure that measures the noise of machine and method in this one

    def limit(self, phase: Phase, bounds: Bounds) -> float | None:
        """Return the bound in that phase or None; raise ValueError if size.toml has no bound of its name."""
        if self.bound is None or (self.bound_in and phase.name not in self.bound_in):
            return None
        times = self.event_times if phase.event else 1.0
        if not isinstance(self.bound, str):
            return times * self.bound
        if self.bound not in bounds.__struct_fields__:
            raise ValueError(f"{self.bound}: not among the bounds of size.toml")
        return times * float(getattr(bounds, self.bound))


class Target(Struct, frozen=True, forbid_unknown_fields=True):
    """A position on the axis for which figures are computed."""

    label: Text
    x: float


class Table(Struct, frozen=True, forbid_unknown_fields=True):
    """Figures over one axis; bounds are judged at the first target."""

    name: Text
    kind: Text  # of records
    axis: Axis
    per: float  # slopes are shown per this many units of the axis
    per_label: Text
    targets: Annotated[list[Target], Meta(min_length=1)]
    rows: Annotated[list[Row], Meta(min_length=1)]


class Machine(Struct, frozen=True, forbid_unknown_fields=True):
    """A machine reserved for the control path, and the roles placed on it."""

    name: Text
    region: Text
    zone: Text
    roles: list[Role]
    note: str = ""


class Layout(Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of report.toml."""

    chains_mechanism: Text
    # Only runs with this probe period are shown; for a scope without one, runs with the program's own.
    probe_period_ms: dict[Scope, float]
    phases: list[Phase]
    tables: list[Table]
    machines: list[Machine]

    def phase(self, name: str) -> Phase:
        """Return the phase of that name, or raise ValueError."""
        for phase in self.phases:
            if phase.name == name:
                return phase
        raise ValueError(f"{name}: not among the phases of report.toml")


def read_layout(path: Path = LAYOUT_FILE) -> Layout:
    """Read report.toml; raise ValueError that names an invalid key."""
    return msgspec.convert(tomllib.loads(path.read_text()), Layout)
