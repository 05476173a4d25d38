"""One measurement: a node process, a crowd in one form and state, and a steady client beside it."""

from __future__ import annotations

import multiprocessing
import os
import re
import subprocess
import sys
from dataclasses import asdict, dataclass
from multiprocessing.process import BaseProcess
from pathlib import Path
from typing import Any

from bench.crowds.clients import run_crowd, run_steady
from bench.crowds.forms import Form, Plan, State, plan
from bench.crowds.server import run_server
from tests.support.loopback import targets
from tests.support.node_processes import Node
from tests.support.parent_death import end_with_parent
from tests.support.registry_processes import ROOT

SERVERS = 2
CLASSES = [
    {"name": "read", "aimMs": 2000.0, "giveUpMs": 3000.0, "credit": 12.0, "effect": "free"},
    {"name": "post", "aimMs": 2000.0, "giveUpMs": 3000.0, "credit": 1.0, "effect": "single_shot"},
]


@dataclass(frozen=True)
class Cell:
    """The size and kind of a crowd, and the limits of its node."""

    form: Form
    state: State
    pieces: bool
    clients: int
    memory_mb: int
    second: tuple[Form, State] | None = None  # of half of the clients, if given
    descriptors: int = 1024
    seconds: float = 4.0


@dataclass
class Result:
    """What a cell measured."""

    peak_mb: float  # highest resident memory of the node
    base_mb: float  # before the crowd
    longest_wait_s: float
    calls: int
    statuses: dict[int, int]
    unanswered: int
    alive: bool
    statistics: list[str]

    def record(self) -> dict[str, Any]:
        """Return the result for a JSON line."""
        return asdict(self)


def _spawn(arguments: list[str], log: Path, env: dict[str, str]) -> subprocess.Popen[bytes]:
    """Start a process that ends with this thread."""
    environment = dict(os.environ) | env | {"PYTHONPATH": str(ROOT)}
    with log.open("ab") as out:
        return subprocess.Popen(
            [sys.executable, *arguments],
            stdout=out,
            stderr=out,
            cwd=log.parent,
            env=environment,
            preexec_fn=end_with_parent,
        )


def resident_mb(process_id: int, field: str) -> float:
    """Return a memory field of a process (VmHWM: peak, VmRSS: present) in MB of 1024 * 1024 bytes."""
    text = Path(f"/proc/{process_id}/status").read_text()
    found = re.search(rf"{field}:\s+(\d+) kB", text)
    return int(found[1]) / 1024.0 if found else 0.0


def measure(cell: Cell, folder: Path) -> Result:
    """Run one cell."""
    kinds = [(cell.form, cell.state), cell.second or (cell.form, cell.state)]
    plans = [plan(*kinds[at % 2], cell.pieces) for at in range(cell.clients)]
    return measure_plans(plans, cell, folder)


def measure_plans(plans: list[Plan], cell: Cell, folder: Path) -> Result:
    """Run a crowd with these plans beside a steady client."""
    context = multiprocessing.get_context("spawn")
    processes: list[BaseProcess] = []
    node: Node | None = None
    try:
        ports = []
        for _ in range(SERVERS):
            receiver, sender = context.Pipe(duplex=False)
            processes.append(context.Process(target=run_server, args=(sender,), daemon=True))
            processes[-1].start()
            ports.append(receiver.recv())
        known = targets(**{f"s{port}": (f"127.0.0.1:{port}", "Ready") for port in ports})
        limits = {"cores": 1.0, "memory_mb": cell.memory_mb, "sockets": cell.descriptors}
        settings = {"categories": CLASSES}
        node = Node(folder, known, limits=limits, settings=settings, bounds={"maxOpen": 20_000})
        node.start(_spawn)
        assert node.process is not None
        address = ("127.0.0.1", node.port)
        run_steady(address, 0.3)
        base_mb = resident_mb(node.process.pid, "VmHWM")
        stop = context.Event()
        processes.append(context.Process(target=run_crowd, args=(address, plans, stop), daemon=True))
        processes[-1].start()
        steady = run_steady(address, cell.seconds)
        alive = node.process.poll() is None
        peak_mb = resident_mb(node.process.pid, "VmHWM") if alive else 0.0
        stop.set()
        statistics = [line.partition("INFO ")[2] for line in node.log_lines("loop lag")]
        return Result(
            peak_mb,
            base_mb,
            steady.longest_s,
            steady.calls,
            steady.statuses,
            steady.unanswered,
            alive,
            statistics,
        )
    finally:
        # Clients before the node and the node before its servers: their ports may be used by others at once.
        for process in processes[SERVERS:]:
            process.kill()
            process.join()
        if node is not None and node.process is not None and node.process.poll() is None:
            node.kill()
        for process in processes:
            process.kill()
            process.join()
