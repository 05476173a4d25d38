"""Whether a figure keeps its bound at the size the bound is for: as measured there, else as worked out."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from enum import Enum

from msgspec import Struct

from bench.scale.fits import Estimate
from bench.scale.layout import Layout, Phase, Row, Table
from bench.scale.platform import Bounds
from bench.scale.records import Record
from bench.scale.series import Sample, Scope, Series, chosen, series

NOISE_SHARE = 0.5  # of a bound: noise over it leaves a miss undecided


class Verdict(Enum):
    MET = "yes"
    MISSED = "no"
    UNDECIDED = "undecided"  # over the bound, but so may be the noise alone
    NOT_RUN = "not run"
    NO_BOUND = ""


class Judged(Struct, frozen=True):
    """One row of a table in one phase."""

    table: Table
    row: Row
    phase: Phase
    series: Series
    limit: float | None
    value: Estimate | None  # at the first target
    measured: bool  # there, not worked out
    noise: float | None
    verdict: Verdict

    @property
    def name(self) -> str:
        return f"{self.table.name}: {self.row.label}, {self.phase.when}"

    @property
    def ratio(self) -> float:
        """How far over its bound; infinite for any value over 0, and for what was not reached."""
        if self.value is None or not self.limit:
            return math.inf
        return self.value.value / self.limit


def judge_all(layout: Layout, bounds: Bounds, records: Sequence[Record], scope: Scope) -> list[Judged]:
    return [judged for table in layout.tables for judged in judge(layout, table, bounds, records, scope)]


def judge(
    layout: Layout, table: Table, bounds: Bounds, records: Sequence[Record], scope: Scope
) -> Iterator[Judged]:
    of_kind = chosen(records, table.kind, scope)
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
    here = found.near(x)
    value = _worst(found, x)
    noise_here = None if noise is None else _most(noise.near(x))
    verdict = _verdict(bool(here), value, limit, noise_here)
    return Judged(table, row, phase, found, limit, value, bool(here), noise_here, verdict)


def _worst(found: Series, x: float) -> Estimate | None:
    """The largest measured at this place, else what the line gives; None: neither, or not reached."""
    here = found.near(x)
    if any(sample.value is None for sample in here):
        return None
    most = _most(here)
    if most is not None:
        return Estimate(most)
    line = found.line
    return None if line is None else line.at(x)


def _most(samples: Sequence[Sample]) -> float | None:
    return max((sample.value for sample in samples if sample.value is not None), default=None)


def _verdict(run_here: bool, value: Estimate | None, limit: float | None, noise: float | None) -> Verdict:
    if limit is None:
        return Verdict.NO_BOUND
    if value is None:
        return Verdict.MISSED if run_here else Verdict.NOT_RUN
    if value.value <= limit:
        return Verdict.MET
    return Verdict.UNDECIDED if noise is not None and noise > NOISE_SHARE * limit else Verdict.MISSED
