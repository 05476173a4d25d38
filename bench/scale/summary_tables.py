"""Tables of docs/CAPACITY.md over all roles: chains, control machines, and bounds that are not met."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

from msgspec import Struct

from bench.scale.chains import KIND as CHAINS
from bench.scale.chains import MAX_RETRY_MULTIPLICATION
from bench.scale.markdown import NOTHING, estimate, number, table
from bench.scale.records import Record
from bench.scale.role_tables import NOT_RUN, figure_at
from bench.scale.sources import Sources
from bench.scale.verdicts import Judged, Verdict

# -------------------------------------------------------------------------- chains

ATTEMPTS_PER_ADMITTED_CALL = "worst_tier_sends_per_call_let_in"
CHAIN_FIGURES = (
    ("sends_per_call", "sends"),
    ("sends_per_call_p99", "p99"),
    ("most_sends_for_a_call", "most"),
    ("worst_tier", "busiest tier"),
    ("worst_tier_sends_per_call", "its sends"),
    (ATTEMPTS_PER_ADMITTED_CALL, "its sends a call let in"),
    ("last_tier_sends_per_call", "sends to the last"),
    ("goodput_share", "answered in time"),
    ("refused_share", "refused"),
    ("failed_share", "failed"),
    ("refusals_inside_per_call", "refusals behind the front"),
)


def chain_records(sources: Sources) -> list[Record]:
    """Return the newest record of chains for each rate and number of attempts."""
    newest: dict[tuple[object, object], Record] = {}
    for record in sorted(sources.records, key=lambda record: record.started):
        if record.kind == CHAINS:
            newest[record.options.get("rate"), record.options.get("attempts")] = record
    return list(newest.values())


def chains(sources: Sources) -> str:
    """Return the table of chains."""
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
    """Return the table of control machines, with their roles' figures in the steady phase at factor 1."""
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
    """A bound that is not met: value relative to bound, and its line in the page."""

    ratio: float
    text: str


def missing(sources: Sources) -> str:
    """Return the list of bounds that are exceeded, worst first, then those undecided and those not run."""
    found = sources.judged()
    misses = [Miss(judged.ratio, _describe(judged)) for judged in found if judged.verdict is Verdict.MISSED]
    misses += _multiplied_retries(sources)
    in_order = sorted(misses, key=lambda miss: -miss.ratio)
    ordered = [f"{at}. {miss.text}" for at, miss in enumerate(in_order, 1)]
    undecided = [
        f"- undecided: {_describe(judged)}" for judged in found if judged.verdict is Verdict.UNDECIDED
    ]
    parts = [ordered or ["No bound was found broken."], undecided]
    not_run = _not_run(found)
    if not_run:
        parts += [["Bounds whose figure was not run at this size:"], not_run]
    return "\n\n".join("\n".join(part) for part in parts if part) + "\n"


def _not_run(found: Sequence[Judged]) -> list[str]:
    """Return a line for each figure, with the phases in which it was not run."""
    phases: dict[str, list[str]] = defaultdict(list)
    for judged in found:
        if judged.verdict is Verdict.NOT_RUN:
            phases[f"{judged.table.name}: {judged.row.label}"].append(judged.phase.when)
    return [f"- {name} ({'; '.join(phase_names)})" for name, phase_names in phases.items()]


def _describe(judged: Judged) -> str:
    limit = number(judged.limit or 0.0)
    how = f"({judged.origin or 'measured'}{_counted(judged)})"
    value = None if judged.basis is None else judged.basis.value
    if value is None:
        text = f"not reached {how}, bound {limit} {judged.row.unit}"
    else:
        text = f"{estimate(value)} {judged.row.unit} {how}, bound {limit}: {_over(judged)}"
    noise = NOTHING if judged.noise is None else f"; noise {number(judged.noise)}"
    return f"{judged.name}: {text}{noise}. Carried by: {judged.row.mechanism}."


def _counted(judged: Judged) -> str:
    if not judged.row.counted or judged.basis is None or judged.basis.x is None:
        return NOTHING
    return f", of {sum(sample.count for sample in judged.series.near(judged.basis.x))}"


def _over(judged: Judged) -> str:
    return f"{number(judged.ratio)} times" if judged.limit else "over a bound of 0"


def _multiplied_retries(sources: Sources) -> list[Miss]:
    """Return the worst chain of each record in which retries of several tiers multiply."""
    found = [_worst_chain(record) for record in chain_records(sources)]
    return [
        Miss(
            attempts / MAX_RETRY_MULTIPLICATION,
            f"{name}: {number(attempts)} sends to one tier for a call let in, bound of these tests "
            f"{number(MAX_RETRY_MULTIPLICATION)}: {number(attempts / MAX_RETRY_MULTIPLICATION)} times. "
            f"Carried by: {sources.layout.chains_mechanism}.",
        )
        for attempts, name in found
        if attempts > MAX_RETRY_MULTIPLICATION
    ]


def _worst_chain(record: Record) -> tuple[float, str]:
    """Return the attempts at one tier for each admitted call in the worst chain, and that chain's name."""
    attempts, phase = max(
        (
            (float(figure.value), figure.phase)
            for figure in record.figures
            if figure.name == ATTEMPTS_PER_ADMITTED_CALL and isinstance(figure.value, int | float)
        ),
        default=(0.0, NOTHING),
    )
    options = f"{_option(record, 'rate')} calls/s, {_option(record, 'attempts')} attempts"
    return attempts, f"chains at {options} ({phase})"
