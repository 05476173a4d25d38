"""Series of one figure over the size of the platform, the rate of calls, or the size of a service.

Of several records with the same position and seed the newest is used. Runs of the control path with another
probe period than the layout's, or without probes, are trials and are not used.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence

from msgspec import Struct

from bench.scale.fits import Fit, Point, fit
from bench.scale.layout import Axis, Layout, Phase, Row, Scope
from bench.scale.records import Record, Value

RATE = re.compile(r"([0-9.]+)/s(.*)")
OF_SERVICE = re.compile(r"(\S+) .*\(service of ([0-9]+)\)")


class Sample(Struct, frozen=True):
    """One value of one record, or None if the run didn't reach it."""

    x: float
    value: float | None
    count: int = 0  # of observations


class Series(Struct, frozen=True):
    """All samples of a figure in one phase."""

    samples: list[Sample]

    @property
    def points(self) -> list[Point]:
        return [Point(sample.x, sample.value) for sample in self.samples if sample.value is not None]

    @property
    def line(self) -> Fit | None:
        return fit(self.points)

    def near(self, x: float, within: float = 0.02) -> list[Sample]:
        """Return the samples measured at x."""
        return [sample for sample in self.samples if abs(sample.x - x) <= within * x]

    def below(self, x: float, within: float = 0.02) -> Series:
        """Return the series of samples measured below x."""
        return Series([sample for sample in self.samples if sample.x < x * (1.0 - within)])


def scope_of(record: Record) -> Scope:
    """Return whether that run had a group for each service, or one group."""
    figure = record.find("platform", "scoped_by_service")
    return "service" if figure is not None and figure.value is True else "all"


def newest_scope(records: Sequence[Record]) -> Scope:
    """Return "service" if any run had a group for each service."""
    scopes = {scope_of(record) for record in records if record.kind == "control"}
    return "service" if "service" in scopes else "all"


def chosen(layout: Layout, records: Sequence[Record], kind: str, scope: Scope) -> list[Record]:
    """Return the records that are used for the page, newest first."""
    found = [record for record in records if record.kind == kind]
    if kind == "control":
        period_ms = layout.probe_period_ms.get(scope)
        found = [record for record in found if scope_of(record) == scope and _probes_each(record, period_ms)]
    return sorted(found, key=lambda record: record.started, reverse=True)


def _probes_each(record: Record, period_ms: float | None) -> bool:
    options = record.options
    return options.get("probes", True) is True and options.get("probe_period_ms") == period_ms


def series(records: Sequence[Record], axis: Axis, row: Row, phase: Phase, name: str = "") -> Series:
    """Return the series of the row's figure, or of the figure `name`; `records` are the newest first."""
    newest: dict[tuple[str, float, int], Sample] = {}
    for record in records:
        for key, sample in _samples(record, axis, row, phase, name or row.figure):
            newest.setdefault((key, sample.x, record.seed), sample)
    return Series(sorted(newest.values(), key=lambda sample: sample.x))


def _samples(record: Record, axis: Axis, row: Row, phase: Phase, name: str) -> Iterator[tuple[str, Sample]]:
    """Yield samples, each with a key that distinguishes samples of one record at the same position."""
    if axis == "nodes":
        nodes, figure = record.number("platform", "nodes"), record.find(row.role, name, phase.name)
        if nodes is not None and figure is not None:
            yield "", Sample(nodes, _number(figure.value), figure.samples)
        return
    for figure in record.figures:
        if figure.role != row.role:
            continue
        if axis == "calls" and figure.name == name:
            found = RATE.fullmatch(figure.phase)
            if found is not None and found[2] == phase.name:
                yield "", Sample(float(found[1]), _number(figure.value), figure.samples)
        elif axis == "service" and figure.phase == phase.name:
            found = OF_SERVICE.fullmatch(figure.name)
            if found is not None and found[1] == name:
                yield (
                    f"{record.factor} {figure.name}",
                    Sample(float(found[2]), _number(figure.value), figure.samples),
                )


def _number(value: Value) -> float | None:
    return None if value is None or isinstance(value, str) else float(value)
