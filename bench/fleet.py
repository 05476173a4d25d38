"""Figures of nodes that know each other (docs/fleet.md), on loopback and real processes. Outside CI.

    python bench/fleet.py FIGURE [--json] [--its-options]     each figure's own: FIGURE --help
    python bench/fleet.py all [--json]                        each in turn, at its full size

Processes, ports and folders are made anew for each figure (the helpers of tests/); faults come from a seed.
Each prints its figures in aligned lines, or with --json as one JSON line each, with the load average as it
began and ended: on a machine that is shared, times tell of the machine too.
"""

from __future__ import annotations

import argparse
import dataclasses
import inspect
import os
import random
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import orjson

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bench import fleet_detection, fleet_routes, fleet_traffic
from bench.fleet_world import Figures, load_average
from tests.support.registry_processes import ROOT


@dataclasses.dataclass(frozen=True)
class Figure:
    """`options`: what `run` takes beside the folder, with the full size's values."""

    run: Callable[..., Iterator[Figures]]
    options: dict[str, Any]


def view(folder: Path, seed: int, nodes: int, servers: int, seconds: int) -> Iterator[Figures]:
    """Staleness intervals and marks against the truth, in bench/view.py's simulated fleet."""
    sizes = {"seed": seed, "nodes": nodes, "servers": servers, "seconds": seconds}
    arguments = [f"--{name}={value}" for name, value in sizes.items()]
    program = [sys.executable, str(ROOT / "bench" / "view.py"), *arguments]
    found = orjson.loads(subprocess.run(program, check=True, capture_output=True, cwd=folder).stdout)
    held, trips, over = found["age_held"], found["width_trips"]["p50"], found["over"]["sure"]
    goal = {"goal": "age_held >= 0.999, width p50 < 2 trips, sure over its bound 0"}
    yield {"figure": "view"} | found | goal | {"met": held >= 0.999 and trips < 2 and not over}


FIGURES = {
    "detect": Figure(fleet_detection.detect, {"nodes": 20, "rounds": 20, "ttl_ms": 2_000, "seed": 1}),
    "quiet": Figure(
        fleet_detection.quiet,
        {"nodes": 12, "minutes": 5.0, "sim_nodes": 20, "sim_minutes": 5.0, "runs": 5, "seed": 1},
    ),
    "cost": Figure(fleet_detection.cost, {"sizes": "10,20,50,100", "seconds": 20.0, "settle": 10.0}),
    "service": Figure(fleet_detection.service, {"members": 200, "seconds": 30.0, "ttl_ms": 5_000}),
    "split": Figure(fleet_detection.split, {"nodes": 20, "ttl_ms": 2_000, "rounds": 6, "seed": 1}),
    "zone": Figure(
        fleet_traffic.zone,
        {
            "nodes": 30,
            "zones": 3,
            "servers": 4,
            "room": 0,
            "latency_ms": 100.0,
            "aim_ms": 1_000.0,
            "rate": 150.0,
            "seconds": 8.0,
            "ttl_ms": 1_500,
            "rounds": 3,
            "seed": 1,
        },
    ),
    "view": Figure(view, {"seed": 1, "nodes": 20, "servers": 40, "seconds": 60}),
    "marks": Figure(
        fleet_traffic.marks, {"nodes": 3, "servers": 24, "seconds": 120.0, "pause_ms": 40.0, "seed": 1}
    ),
    "switch": Figure(
        fleet_routes.switch,
        {"nodes": 30, "activations": 50, "ttl_ms": 1_500, "bound_ms": 250, "skewed": 0},
    ),
    "faults": Figure(fleet_routes.faults, {"nodes": 5, "activations": 200, "ttl_ms": 1_000, "seed": 1}),
    "call": Figure(fleet_traffic.cost_of_call, {"siblings": 4, "rounds": 200, "calls": 50, "seed": 1}),
}


def aligned(figures: Figures) -> str:
    """One figure a line, those of a table under its name."""
    rows: list[tuple[str, object]] = []
    for key, value in figures.items():
        if isinstance(value, dict):
            rows += [(f"{key}.{name}", item) for name, item in value.items()]
        else:
            rows.append((key, value))
    width = max(len(key) for key, _ in rows)
    return "".join(f"  {key:<{width}}  {value}\n" for key, value in rows)


def measure(figure: Figure, options: dict[str, Any], as_json: bool) -> bool:
    """Run it and print what it finds; whether every goal was met."""
    began, met = load_average(), True
    with tempfile.TemporaryDirectory(prefix="fleet-bench-") as folder:
        for found in figure.run(Path(folder), **options):
            met = met and bool(found.get("met", True))
            told = found | {"load": [began, load_average()], "cores": os.cpu_count()}
            print(orjson.dumps(told).decode() if as_json else aligned(told), flush=True)
    return met


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    commands = parser.add_subparsers(dest="figure", required=True)
    for name, figure in FIGURES.items():
        command = commands.add_parser(
            name,
            help=(inspect.getdoc(figure.run) or "").replace("%", "%%"),
            formatter_class=argparse.ArgumentDefaultsHelpFormatter,
        )
        command.add_argument("--json", action="store_true", help="JSON lines")
        for option, value in figure.options.items():
            command.add_argument(f"--{option.replace('_', '-')}", type=type(value), default=value, help=" ")
    commands.add_parser("all", help="every figure").add_argument("--json", action="store_true")
    given = vars(parser.parse_args())
    name, as_json = given.pop("figure"), given.pop("json")
    random.seed(1)
    if name != "all":
        return 0 if measure(FIGURES[name], given, as_json) else 1
    rows = [(figure, figure.options) for figure in FIGURES.values()]
    switch = FIGURES["switch"]
    rows.append((switch, switch.options | {"skewed": 1}))
    return 0 if all([measure(figure, options, as_json) for figure, options in rows]) else 1


if __name__ == "__main__":
    sys.exit(main())
