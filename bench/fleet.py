"""Benchmarks of nodes that share quotas as a group (docs/fleet.md): real processes on loopback.

CI does not run them.

    python bench/fleet.py FIGURE [--json] [options]     one benchmark; FIGURE --help lists its options
    python bench/fleet.py all [--json]                  all benchmarks one after another, at full size

Each benchmark starts its own processes on new ports in a new folder (with the helpers in tests/support) and
draws its faults from a seed. It prints its results in aligned lines, or with --json as JSON lines. Each
result has the load average at the start and the end, because a busy machine makes all times longer.
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
from bench.fleet_world import Result, load_average
from tests.support.registry_processes import ROOT


@dataclasses.dataclass(frozen=True)
class Benchmark:
    """A benchmark; `options` are the arguments of `run` after the folder, with their values at full size."""

    run: Callable[..., Iterator[Result]]
    options: dict[str, Any]


def view(folder: Path, seed: int, nodes: int, servers: int, seconds: int) -> Iterator[Result]:
    """Ages, clock offsets and confidence against their true values in the simulated fleet of view.py."""
    options = {"seed": seed, "nodes": nodes, "servers": servers, "seconds": seconds}
    arguments = [f"--{name}={value}" for name, value in options.items()]
    program = [sys.executable, str(ROOT / "bench" / "view.py"), *arguments]
    found = orjson.loads(subprocess.run(program, check=True, capture_output=True, cwd=folder).stdout)
    age_held, trips, over = found["age_held"], found["width_trips"]["p50"], found["over"]["sure"]
    goal = {"goal": "age_held >= 0.999, width p50 < 2 trips, sure over its bound 0"}
    yield {"figure": "view"} | found | goal | {"met": age_held >= 0.999 and trips < 2 and not over}


BENCHMARKS = {
    "detect": Benchmark(fleet_detection.detect, {"nodes": 20, "rounds": 20, "ttl_ms": 2_000, "seed": 1}),
    "quiet": Benchmark(
        fleet_detection.quiet,
        {"nodes": 12, "minutes": 5.0, "sim_nodes": 20, "sim_minutes": 5.0, "runs": 5, "seed": 1},
    ),
    "cost": Benchmark(fleet_detection.cost, {"sizes": "10,20,50,100", "seconds": 20.0, "settle": 10.0}),
    "service": Benchmark(fleet_detection.service, {"members": 200, "seconds": 30.0, "ttl_ms": 5_000}),
    "split": Benchmark(fleet_detection.split, {"nodes": 20, "ttl_ms": 2_000, "rounds": 6, "seed": 1}),
    "zone": Benchmark(
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
    "view": Benchmark(view, {"seed": 1, "nodes": 20, "servers": 40, "seconds": 60}),
    "marks": Benchmark(
        fleet_traffic.marks, {"nodes": 3, "servers": 24, "seconds": 120.0, "pause_ms": 40.0, "seed": 1}
    ),
    "switch": Benchmark(
        fleet_routes.switch,
        {"nodes": 30, "activations": 50, "ttl_ms": 1_500, "bound_ms": 250, "skewed": 0},
    ),
    "faults": Benchmark(fleet_routes.faults, {"nodes": 5, "activations": 200, "ttl_ms": 1_000, "seed": 1}),
    "call": Benchmark(fleet_traffic.cost_of_call, {"siblings": 4, "rounds": 200, "calls": 50, "seed": 1}),
}


def aligned(result: Result) -> str:
    """Return the result as text, one value per line; a nested value's key is `outer.inner`."""
    rows: list[tuple[str, object]] = []
    for key, value in result.items():
        if isinstance(value, dict):
            rows += [(f"{key}.{name}", item) for name, item in value.items()]
        else:
            rows.append((key, value))
    width = max(len(key) for key, _ in rows)
    return "".join(f"  {key:<{width}}  {value}\n" for key, value in rows)


def measure(benchmark: Benchmark, options: dict[str, Any], as_json: bool) -> bool:
    """Run the benchmark, print its results and return whether every goal was met."""
    load_before, met = load_average(), True
    with tempfile.TemporaryDirectory(prefix="fleet-bench-") as folder:
        for found in benchmark.run(Path(folder), **options):
            met = met and bool(found.get("met", True))
            result = found | {"load": [load_before, load_average()], "cores": os.cpu_count()}
            print(orjson.dumps(result).decode() if as_json else aligned(result), flush=True)
    return met


def main() -> int:
    """Run the benchmark named on the command line; return 0 if every goal was met, else 1."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    commands = parser.add_subparsers(dest="figure", required=True)
    for name, benchmark in BENCHMARKS.items():
        command = commands.add_parser(
            name,
            help=(inspect.getdoc(benchmark.run) or "").replace("%", "%%"),
            formatter_class=argparse.ArgumentDefaultsHelpFormatter,
        )
        command.add_argument("--json", action="store_true", help="print JSON lines")
        for option, value in benchmark.options.items():
            command.add_argument(f"--{option.replace('_', '-')}", type=type(value), default=value, help=" ")
    commands.add_parser("all", help="every benchmark").add_argument("--json", action="store_true")
    options = vars(parser.parse_args())
    name, as_json = options.pop("figure"), options.pop("json")
    random.seed(1)
    if name != "all":
        return 0 if measure(BENCHMARKS[name], options, as_json) else 1
    runs = [(benchmark, benchmark.options) for benchmark in BENCHMARKS.values()]
    switch = BENCHMARKS["switch"]
    runs.append((switch, switch.options | {"skewed": 1}))
    # A list, so that every benchmark runs even if an earlier one misses its goal.
    return 0 if all([measure(benchmark, chosen, as_json) for benchmark, chosen in runs]) else 1


if __name__ == "__main__":
    sys.exit(main())
