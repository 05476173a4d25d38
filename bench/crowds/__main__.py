"""Measure crowds: `python -m bench.crowds [--clients 40 330 900] [--memory 32 64 192] [--out FILE]`.

One JSON line for each form, state, way of sending, number of clients and memory limit.
"""

from __future__ import annotations

import argparse
import itertools
import json
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random

from bench.crowds.cell import Cell, measure
from bench.crowds.forms import Form, State

MIXED_SEED = 46


def run_cell(cell: Cell) -> dict[str, object]:
    """Return the record of one cell."""
    key: dict[str, object] = {
        "form": cell.form.value,
        "state": cell.state.value,
        "pieces": cell.pieces,
        "second": [kind.value for kind in cell.second or ()],
        "clients": cell.clients,
        "memory_mb": cell.memory_mb,
    }
    with tempfile.TemporaryDirectory() as folder:
        return key | measure(cell, Path(folder)).record()


def main() -> int:
    """Run the program; return its exit code."""
    parser = argparse.ArgumentParser(prog="python -m bench.crowds", description=__doc__)
    parser.add_argument("--forms", nargs="+", default=[form.value for form in Form])
    parser.add_argument("--states", nargs="+", default=[state.value for state in State])
    parser.add_argument("--clients", nargs="+", type=int, default=[40, 330, 900])
    parser.add_argument("--memory", nargs="+", type=int, default=[32, 64, 192])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--parallel", type=int, default=3)
    parser.add_argument("--out", type=Path)
    parser.add_argument("--mixed", action="store_true", help="half of the clients in another form and state")
    options = parser.parse_args()
    kinds = list(itertools.product(map(Form, options.forms), map(State, options.states)))
    others = Random(MIXED_SEED).sample(kinds, len(kinds)) if options.mixed else [None] * len(kinds)
    cells = [
        Cell(*kind, pieces, clients, memory_mb, second=second, seconds=options.seconds)
        for (kind, second), pieces, clients, memory_mb in itertools.product(
            zip(kinds, others, strict=True), (False, True), options.clients, options.memory
        )
    ]
    over = 0
    out = options.out.open("w") if options.out else sys.stdout
    with ThreadPoolExecutor(options.parallel) as pool:
        for record in pool.map(run_cell, cells):
            over += not record["alive"] or float(str(record["peak_mb"])) > float(str(record["memory_mb"]))
            out.write(json.dumps(record) + "\n")
            out.flush()
    print(f"{over} of {len(cells)} cells over their memory limit", file=sys.stderr)
    return int(over > 0)


if __name__ == "__main__":
    sys.exit(main())
