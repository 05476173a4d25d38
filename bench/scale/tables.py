"""The tables of docs/CAPACITY.md by name, each generated from the records alone."""

from __future__ import annotations

from collections.abc import Callable

from bench.scale.markdown import NOTHING, number, table
from bench.scale.records import Record
from bench.scale.role_tables import predictions, role_table, scopes
from bench.scale.series import scope_of
from bench.scale.sources import Sources
from bench.scale.summary_tables import chains, machines, missing

Render = Callable[[Sources], str]
GROUPS = {"service": "by service", "all": "one"}


def size(sources: Sources) -> str:
    """Return the table of the platform's size."""
    spec, rates = sources.size, sources.size.rates_per_day
    zones = ", ".join(f"{region.name} ({', '.join(region.zones)})" for region in spec.regions)
    rows = [
        ["servers, each with its node", number(spec.nodes)],
        ["services", number(spec.services)],
        ["largest service, in nodes", number(spec.largest_service)],
        ["calls a second over all edges", number(spec.calls_per_s)],
        ["calls a second on a node, mean", number(spec.calls_per_s / spec.nodes)],
        ["deepest chain", number(spec.deepest_chain)],
        ["regions and zones", zones],
        ["failures a day", number(rates.failures)],
        ["restarts a day", number(rates.restarts)],
        ["changes of configuration a day", number(rates.config_changes)],
        ["control machines", number(spec.bounds.control_machines)],
    ]
    return table(["what", "at factor 1"], rows)


RECORD_HEADS = ("started (UTC)", "run", "factor", "groups", "seed", "commit", "load", "seconds", "missed")


def records_table(sources: Sources) -> str:
    """Return the table of all records, oldest first."""
    in_order = sorted(sources.records, key=lambda record: record.started)
    return table(RECORD_HEADS, [_record_row(record) for record in in_order])


def _record_row(record: Record) -> list[str]:
    return [
        record.started[:19],
        record.kind,
        number(record.factor) if record.factor else NOTHING,
        GROUPS[scope_of(record)] if record.kind == "control" else NOTHING,
        str(record.seed),
        record.program.commit[:8] + (" (changed)" if record.program.dirty else NOTHING),
        f"{number(record.load_before.one)} to {number(record.load_after.one)}",
        number(record.seconds),
        str(len(record.failures)),
    ]


TABLES: dict[str, Render] = {
    "size": size,
    "predictions": predictions,
    "scopes": scopes,
    "chains": chains,
    "machines": machines,
    "missing": missing,
    "records": records_table,
}


def render(sources: Sources, name: str) -> str:
    """Return the table of that name, or raise ValueError."""
    if name in TABLES:
        return TABLES[name](sources)
    for spec in sources.layout.tables:
        if spec.name == name:
            return role_table(sources, spec)
    raise ValueError(f"no table is named {name!r}")


def names(sources: Sources) -> list[str]:
    """Return the names of all tables."""
    return [*TABLES, *(spec.name for spec in sources.layout.tables)]
