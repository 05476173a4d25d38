"""Verdicts on whether a figure meets its bound at the bound's size: measured there, else extrapolated."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from enum import Enum

from msgspec import Struct

from bench.scale.fits import Estimate
from bench.scale.layout import Layout, Phase, Row, Scope, Table
from bench.scale.platform import Bounds
from bench.scale.records import Record
from bench.scale.series import Sample, Series, chosen, series

MAX_NOISE_FRACTION = 0.5  # fraction of a bound; with more noise than that, an exceeded bound is undecided


class Verdict(Enum):
    """Whether a bound is met, as shown in the tables."""

    MET = "yes"
    MISSED = "no"
    UNDECIDED = "undecided"  # over the bound, possibly by noise alone
    NOT_RUN = "not run"
    NO_BOUND = ""


class Basis(Struct, frozen=True):
    """The value that a verdict depends on."""

    value: Estimate | None  # None: not reached
    x: float | None  # position where it was measured; None: extrapolated


class Judged(Struct, frozen=True):
    """One row of a table in one phase."""

    table: Table
    row: Row
    phase: Phase
    series: Series
    limit: float | None
    basis: Basis | None  # for the first target; None: not run
    noise: float | None
    verdict: Verdict

    @property
    def name(self) -> str:
        return f"{self.table.name}: {self.row.label}, {self.phase.when}"

    @property
    def origin(self) -> str:
        """Origin of the basis; empty if it was measured at the target itself."""
        if self.basis is None or self.basis.x == self.table.targets[0].x:
            return ""
        return "worked out" if self.basis.x is None else f"at {self.basis.x:,.0f}"

    @property
    def ratio(self) -> float:
        """Value divided by bound; infinite for a bound of 0 and for a value that was not reached."""
        value = None if self.basis is None else self.basis.value
        return math.inf if value is None or not self.limit else value.value / self.limit


def judge_all(layout: Layout, bounds: Bounds, records: Sequence[Record], scope: Scope) -> list[Judged]:
    """Return the verdicts on all rows of all tables."""
    return [judged for table in layout.tables for judged in judge(layout, table, bounds, records, scope)]


def judge(
    layout: Layout, table: Table, bounds: Bounds, records: Sequence[Record], scope: Scope
) -> Iterator[Judged]:
    """Yield the verdicts on all rows of one table, by phase."""
    of_kind = chosen(layout, records, table.kind, scope)
    for row in table.rows:
        for name in row.phases:
            phase = layout.phase(name)
            found = series(of_kind, table.axis, row, phase)
            noise = series(of_kind, table.axis, row, layout.phase(""), row.noise) if row.noise else None
            yield _judged(table, row, phase, found, row.limit(phase, bounds), noise)


def _judged(
    table: Table, row: Row, phase: Phase, found: Series, limit: float | None, noise: Series | None
) -> Judged:
    x = table.targets[0].x
    basis = _basis(found, x)
    noise_here = None if noise is None else _max(noise.near(x))
    verdict = _verdict(basis, x, limit, noise_here)
    return Judged(table, row, phase, found, limit, basis, noise_here, verdict)


def _basis(found: Series, x: float) -> Basis | None:
    """Return the value by which the figure is judged, or None if it was not run.

    In this order: the worst value measured at x; a smaller run that did not reach the figure; the line's
    value at x; the worst value of the largest smaller size.
    """
    if found.near(x):
        return _measured(found, x)
    smaller = found.below(x).samples
    unreached = [sample.x for sample in smaller if sample.value is None]
    if unreached:
        return Basis(None, min(unreached))
    if found.line is not None:
        return Basis(found.line.at(x), None)
    return _measured(found, smaller[-1].x) if smaller else None


def _measured(found: Series, x: float) -> Basis:
    here = found.near(x)
    maximum = None if any(sample.value is None for sample in here) else _max(here)
    return Basis(None if maximum is None else Estimate(maximum), x)


def _max(samples: Sequence[Sample]) -> float | None:
    return max((sample.value for sample in samples if sample.value is not None), default=None)


def _verdict(basis: Basis | None, x: float, limit: float | None, noise: float | None) -> Verdict:
    if limit is None:
        return Verdict.NO_BOUND
    if basis is None:
        return Verdict.NOT_RUN
    if basis.value is None:
        return Verdict.MISSED
    if basis.value.value <= limit:
        return Verdict.MET if basis.x in (None, x) else Verdict.NOT_RUN
    return Verdict.UNDECIDED if noise is not None and noise > MAX_NOISE_FRACTION * limit else Verdict.MISSED
