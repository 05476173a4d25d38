"""Tables of docs/CAPACITY.md over all roles: chains, control machines, and what is missing."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

from msgspec import Struct

from bench.scale.chains import KIND as CHAINS
from bench.scale.chains import MULTIPLIED
from bench.scale.markdown import NOTHING, estimate, number, table
from bench.scale.records import Record
from bench.scale.role_tables import NOT_RUN, figure_at
from bench.scale.sources import Sources
from bench.scale.verdicts import Judged, Verdict

# -------------------------------------------------------------------------- chains

SENDS_LET_IN = "worst_tier_sends_per_call_let_in"
CHAIN_FIGURES = (
    ("sends_per_call", "sends"),
    ("sends_per_call_p99", "p99"),
    ("most_sends_for_a_call", "most"),
    ("worst_tier", "busiest tier"),
    ("worst_tier_sends_per_call", "its sends"),
    (SENDS_LET_IN, "its sends a call let in"),
    ("last_tier_sends_per_call", "sends to the last"),
    ("goodput_share", "answered in time"),
    ("refused_share", "refused"),
    ("failed_share", "failed"),
    ("refusals_inside_per_call", "refusals behind the front"),
)


def chain_records(sources: Sources) -> list[Record]:
    """The newest for each rate and number of attempts."""
    newest: dict[tuple[object, object], Record] = {}
    for record in sorted(sources.records, key=lambda record: record.started):
        if record.kind == CHAINS:
            newest[record.options.get("rate"), record.options.get("attempts")] = record
    return list(newest.values())


def chains(sources: Sources) -> str:
    heads = ["calls/s", "attempts", "last tier, depth", *(head for _, head in CHAIN_FIGURES)]
    rows = [row for record in chain_records(sources) for row in _chain_rows(record)]
    return table(heads, rows)


def _chain_rows(record: Record) -> list[list[str]]:
    phases = dict.fromkeys(figure.phase for figure in record.figures)
    options = [_option(record, name) for name in ("rate", "attempts")]
    return [
        [*options, phase, *(_chain_cell(record, name, phase) for name, _ in CHAIN_FIGURES)]
        for phase in phases
    ]


def _option(record: Record, name: str) -> str:
    value = record.options.get(name)
    return number(value) if isinstance(value, int | float) else NOTHING


def _chain_cell(record: Record, name: str, phase: str) -> str:
    value = record.number("chain", name, phase)
    return NOT_RUN if value is None else number(value)


# ------------------------------------------------------------------------ machines

MACHINE_FIGURES = (
    ("cpu_percent_max", "CPU, % of a core"),
    ("rss_mb_max", "memory, MB"),
    ("bytes_in_max", "bytes/s in"),
    ("bytes_out_max", "bytes/s out"),
)
ORDINARY = "steady"


def machines(sources: Sources) -> str:
    """What is placed on each control machine, with the figures of its roles at ordinary time, at factor 1."""
    heads = ["machine", "region", "zone", "runs", *(head for _, head in MACHINE_FIGURES)]
    of_role = {
        (judged.row.role, judged.row.figure): figure_at(judged.series, judged.table.targets[0].x)
        for judged in sources.judged()
        if judged.phase.name == ORDINARY and judged.table.axis == "nodes"
    }
    rows = []
    for machine in sources.layout.machines:
        what = ", ".join(machine.roles) or machine.note or "nothing"
        cells = [
            " + ".join(of_role.get((role, figure), NOT_RUN) for role in machine.roles) or "0"
            for figure, _ in MACHINE_FIGURES
        ]
        rows.append([machine.name, machine.region, machine.zone, what, *cells])
    return table(heads, rows)


# ------------------------------------------------------------------------- missing


class Miss(Struct, frozen=True):
    """Something that is over its bound, and how far."""

    ratio: float
    told: str


def missing(sources: Sources) -> str:
    """What breaks its bound, worst first; then what is undecided, and what was not run."""
    found = sources.judged()
    misses = [Miss(one.ratio, _broken(one)) for one in found if one.verdict is Verdict.MISSED]
    misses += _multiplied(sources)
    in_order = sorted(misses, key=lambda miss: -miss.ratio)
    ordered = [f"{at}. {miss.told}" for at, miss in enumerate(in_order, 1)]
    undecided = [f"- undecided: {_broken(one)}" for one in found if one.verdict is Verdict.UNDECIDED]
    parts = [ordered or ["No bound was found broken."], undecided]
    not_run = _not_run(found)
    if not_run:
        parts += [["Bounds whose figure was not run at this size:"], not_run]
    return "\n\n".join("\n".join(part) for part in parts if part) + "\n"


def _not_run(found: Sequence[Judged]) -> list[str]:
    """A line for each figure, with the phases that lack it."""
    phases: dict[str, list[str]] = defaultdict(list)
    for judged in found:
        if judged.verdict is Verdict.NOT_RUN:
            phases[f"{judged.table.name}: {judged.row.label}"].append(judged.phase.when)
    return [f"- {name} ({'; '.join(those)})" for name, those in phases.items()]


def _broken(judged: Judged) -> str:
    limit = number(judged.limit or 0.0)
    how = f"({judged.how or 'measured'}{_counted(judged)})"
    value = None if judged.basis is None else judged.basis.value
    if value is None:
        told = f"not reached {how}, bound {limit} {judged.row.unit}"
    else:
        told = f"{estimate(value)} {judged.row.unit} {how}, bound {limit}: {_over(judged)}"
    noise = NOTHING if judged.noise is None else f"; noise {number(judged.noise)}"
    return f"{judged.name}: {told}{noise}. Carried by: {judged.row.mechanism}."


def _counted(judged: Judged) -> str:
    if not judged.row.counted or judged.basis is None or judged.basis.x is None:
        return NOTHING
    return f", of {sum(sample.count for sample in judged.series.near(judged.basis.x))}"


def _over(judged: Judged) -> str:
    return f"{number(judged.ratio)} times" if judged.limit else "over a bound of 0"


def _multiplied(sources: Sources) -> list[Miss]:
    """The worst chain of each record whose sends multiply."""
    found = [_worst_chain(record) for record in chain_records(sources)]
    return [
        Miss(
            sends / MULTIPLIED,
            f"{name}: {number(sends)} sends to one tier for a call let in, bound of these tests "
            f"{number(MULTIPLIED)}: {number(sends / MULTIPLIED)} times. "
            f"Carried by: {sources.layout.chains_mechanism}.",
        )
        for sends, name in found
        if sends > MULTIPLIED
    ]


def _worst_chain(record: Record) -> tuple[float, str]:
    """Its sends to one tier for a call that the front let in, and what it is."""
    sends, phase = max(
        (
            (float(figure.value), figure.phase)
            for figure in record.figures
            if figure.name == SENDS_LET_IN and isinstance(figure.value, int | float)
        ),
        default=(0.0, NOTHING),
    )
    options = f"{_option(record, 'rate')} calls/s, {_option(record, 'attempts')} attempts"
    return sends, f"chains at {options} ({phase})"
