"""Whether a figure keeps its bound at the size the bound is for: as measured there, else as worked out."""

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

NOISE_SHARE = 0.5  # of a bound: noise over it leaves a miss undecided


class Verdict(Enum):
    MET = "yes"
    MISSED = "no"
    UNDECIDED = "undecided"  # over the bound, but so may be the noise alone
    NOT_RUN = "not run"
    NO_BOUND = ""


class Basis(Struct, frozen=True):
    """What a verdict rests on."""

    value: Estimate | None  # None: not reached
    x: float | None  # where it was measured; None: worked out


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
    def how(self) -> str:
        """How the basis was come by, empty where it was measured at the target itself."""
        if self.basis is None or self.basis.x == self.table.targets[0].x:
            return ""
        return "worked out" if self.basis.x is None else f"at {self.basis.x:,.0f}"

    @property
    def ratio(self) -> float:
        """How far over its bound; infinite for any value over 0, and for what was not reached."""
        value = None if self.basis is None else self.basis.value
        return math.inf if value is None or not self.limit else value.value / self.limit


def judge_all(layout: Layout, bounds: Bounds, records: Sequence[Record], scope: Scope) -> list[Judged]:
    return [judged for table in layout.tables for judged in judge(layout, table, bounds, records, scope)]


def judge(
    layout: Layout, table: Table, bounds: Bounds, records: Sequence[Record], scope: Scope
) -> Iterator[Judged]:
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
    noise_here = None if noise is None else _most(noise.near(x))
    verdict = _verdict(basis, x, limit, noise_here)
    return Judged(table, row, phase, found, limit, basis, noise_here, verdict)


def _basis(found: Series, x: float) -> Basis | None:
    """What the figure is judged by: the worst measured at this place; else a run up to it that didn't get
    there; else what the line gives; else the worst of the largest size under it. None: not run."""
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
    most = None if any(sample.value is None for sample in here) else _most(here)
    return Basis(None if most is None else Estimate(most), x)


def _most(samples: Sequence[Sample]) -> float | None:
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
    return Verdict.UNDECIDED if noise is not None and noise > NOISE_SHARE * limit else Verdict.MISSED
