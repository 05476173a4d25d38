"""Tables of docs/CAPACITY.md with a row for each figure: one for each role, predictions, and scopes."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from statistics import fmean

from bench.scale.fits import Estimate
from bench.scale.layout import Table
from bench.scale.markdown import NOTHING, estimate, number, table
from bench.scale.series import Series, chosen, newest_scope
from bench.scale.sources import Sources
from bench.scale.verdicts import Judged, Verdict, judge

NOT_RUN = "not run"
NOT_REACHED = "not reached"
MAX_SIZES_SHOWN = 6  # maximum number of sizes that a cell lists
MAX_PREDICTION_ERROR = 0.25  # relative error above which a prediction is flagged


# ------------------------------------------------------------------ one role each


def role_table(sources: Sources, spec: Table) -> str:
    """Return the table of one role."""
    heads = ["figure", "when", "unit", "measured", f"slope a {spec.per_label}", "intercept"]
    heads += [target.label for target in spec.targets] + ["bound", "met", "carried by"]
    scope = newest_scope(sources.records)
    found = judge(sources.layout, spec, sources.size.bounds, sources.records, scope)
    return table(heads, [_role_row(judged) for judged in found])


def _role_row(judged: Judged) -> list[str]:
    spec, line = judged.table, judged.series.line
    slope = None if line is None else _times(line.slope, spec.per)
    return [
        judged.row.label,
        judged.phase.when,
        judged.row.unit,
        measured(judged.series, judged.row.counted),
        estimate(slope) if line else _no_slope(judged.series),
        estimate(line.intercept) if line else NOTHING,
        *(figure_at(judged.series, target.x) for target in spec.targets),
        NOTHING if judged.limit is None else number(judged.limit),
        _met(judged),
        judged.row.mechanism,
    ]


def measured(found: Series, counted: bool = False) -> str:
    """Return the mean at each size; with `counted` also the number of observations."""
    at: dict[float, list[float | None]] = defaultdict(list)
    counts: dict[float, int] = defaultdict(int)
    for sample in found.samples:
        at[sample.x].append(sample.value)
        counts[sample.x] += sample.count
    if not at:
        return NOT_RUN
    if len(at) > MAX_SIZES_SHOWN:
        return f"{len(found.samples)} values from {number(min(at))} to {number(max(at))}"
    shown = {x: f"{_mean(values)} (of {counts[x]})" if counted else _mean(values) for x, values in at.items()}
    return "; ".join(f"{number(x)}: {text}" for x, text in shown.items())


def _mean(values: Sequence[float | None]) -> str:
    reached = [value for value in values if value is not None]
    if len(reached) < len(values):
        return NOT_REACHED
    return number(fmean(reached))


def _no_slope(found: Series) -> str:
    return "one size, no slope" if found.points else NOTHING


def figure_at(found: Series, x: float) -> str:
    """Return the value on the line at x, or the measured mean if there is no line."""
    line = found.line
    if line is not None:
        return estimate(line.at(x))
    here = found.near(x)
    return _mean([sample.value for sample in here]) if here else NOT_RUN


def _met(judged: Judged) -> str:
    if judged.verdict is Verdict.NO_BOUND:
        return NOTHING
    if judged.verdict is Verdict.UNDECIDED:
        return f"undecided: noise {number(judged.noise or 0.0)}"
    if judged.verdict is Verdict.NOT_RUN:
        return NOT_RUN
    return ", ".join(part for part in (judged.verdict.value, judged.origin) if part)


def _times(found: Estimate, factor: float) -> Estimate:
    return Estimate(found.value * factor, None if found.error is None else found.error * factor)


# ------------------------------------------------------------- predictions, scopes


def predictions(sources: Sources) -> str:
    """Return the table of predictions for factor 1 from smaller sizes, with the measured values."""
    heads = ["role", "figure", "when", "unit", "from", "foretold", "measured", "off by", "over a quarter"]
    rows = [row for judged in sources.judged() if (row := _prediction(judged)) is not None]
    return table(heads, rows)


def _prediction(judged: Judged) -> list[str] | None:
    """Return the row, or None if there is no line of smaller sizes or nothing was measured at factor 1."""
    x = judged.table.targets[0].x
    line = judged.series.below(x).line
    here = Series(judged.series.near(x)).points
    if judged.table.axis != "nodes" or line is None or not here:
        return None
    predicted, actual = line.at(x), fmean(point.y for point in here)
    relative_error = (
        abs(predicted.value - actual) / abs(actual) if actual else (0.0 if not predicted.value else 1.0)
    )
    return [
        judged.table.name,
        judged.row.label,
        judged.phase.when,
        judged.row.unit,
        measured(judged.series.below(x)),
        estimate(predicted),
        number(actual),
        f"{100.0 * relative_error:.0f}%",
        "**yes**" if relative_error > MAX_PREDICTION_ERROR else "no",
    ]


def scopes(sources: Sources) -> str:
    """Return the table that compares one group of all nodes with a group for each service, at equal sizes."""
    heads = ["role", "figure", "when", "unit", "nodes", "one group", "by service", "ratio"]
    rows: list[list[str]] = []
    by_service = chosen(sources.layout, sources.records, "control", "service")
    one_group = chosen(sources.layout, sources.records, "control", "all")
    if not by_service or not one_group:
        return table(heads, rows)
    bounds = sources.size.bounds
    for spec in sources.layout.tables:
        if spec.axis == "nodes":
            pairs = zip(
                judge(sources.layout, spec, bounds, one_group, "all"),
                judge(sources.layout, spec, bounds, by_service, "service"),
                strict=True,
            )
            rows += [row for before, after in pairs for row in _scope_rows(before, after)]
    return table(heads, rows)


def _scope_rows(before: Judged, after: Judged) -> list[list[str]]:
    both = sorted({one.x for one in before.series.samples} & {one.x for one in after.series.samples})
    rows = []
    for x in both:
        old, new = (Series(judged.series.near(x)) for judged in (before, after))
        ratio = NOTHING
        if len(old.points) == len(old.samples) and len(new.points) == len(new.samples):
            old_mean, new_mean = (fmean(point.y for point in found.points) for found in (old, new))
            ratio = number(new_mean / old_mean) if old_mean else NOTHING
        values = [_mean([sample.value for sample in found.samples]) for found in (old, new)]
        name = [before.table.name, before.row.label, before.phase.when, before.row.unit]
        rows.append([*name, number(x), *values, ratio])
    return rows
