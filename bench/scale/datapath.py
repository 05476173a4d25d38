"""`python -m bench.scale datapath`: the latency, processor time and memory that a node adds to requests.

Real processes on loopback: list service, agent, stub servers, and a node with its default settings; with
`--members` the same run also measures a node that has siblings. One record holds all rates of a run.
"""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import psutil
import typer

from bench.fleet_world import LIMIT_S, Plan, World
from bench.scale import records
from bench.scale.client import Address, Client
from bench.scale.core_waits import CoreWaits
from bench.scale.paired import DIRECT, NOISE, PairedResult, PairedRun, quantile_ms
from bench.scale.platform import read_size
from bench.scale.stub_pool import StubPool
from tests.support.node_processes import Node
from tests.support.registry_processes import until

KIND = "datapath"
OFF, ON = "off", "on"  # the node without and with `members`
LEASE_TERM_MS = 5_000
IDLE_S = 20.0  # the kernel reports processor time in steps of 10 ms: 0.05% of a core over this time
WARMUP_REQUESTS = 200
MIN_SAMPLES = 100  # for a p99
MB = 1024.0 * 1024.0

app = typer.Typer()


@dataclass(frozen=True)
class Bench:
    """The running nodes under test, by path, and the stub servers behind them."""

    nodes: dict[str, Node]
    servers: list[Address]
    server_pids: list[int]

    def process(self, path: str) -> psutil.Process:
        process = self.nodes[path].process
        assert process is not None
        return psutil.Process(process.pid)

    def addresses(self, path: str) -> list[Address]:
        return [("127.0.0.1", self.nodes[path].port)] if path in self.nodes else self.servers

    def pids(self, path: str) -> list[int]:
        """Return the ids of all processes on this path, this process included."""
        node = [self.process(path).pid] if path in self.nodes else []
        return [os.getpid(), *node, *self.server_pids]


@contextmanager
def clients(bench: Bench, seed: int) -> Iterator[dict[str, Client]]:
    """Yield a client for each path."""
    with ExitStack() as closing:
        by_path = {}
        for path in (DIRECT, NOISE, *bench.nodes):
            waits = CoreWaits(bench.pids(path))
            closing.callback(waits.close)
            by_path[path] = Client(bench.addresses(path), seed, waits)
            closing.callback(by_path[path].close)
        yield by_path


@contextmanager
def started(
    folder: Path, servers: int, siblings: int, members: bool, probe_period_ms: float
) -> Iterator[Bench]:
    """Start a node without `members`; with `members` also one that has so many siblings."""
    plan = Plan(
        nodes=1 + siblings if members else 1,
        ttl_ms=LEASE_TERM_MS,
        members=members,
        servers=servers,
        pool=StubPool,
        member_settings={"ask_every_ms": probe_period_ms},
    )
    with World(folder, plan) as world:
        nodes = {OFF: world.make_node(0, members=False)} if members else {OFF: world.nodes[0]}
        if members:
            nodes[ON] = world.nodes[0]
            world.launch([nodes[OFF]])
        try:
            for node in nodes.values():
                until(lambda node=node: node.endpoint_count() == servers, LIMIT_S, "the list")  # type: ignore[misc]
            if members:
                world.wait_until_quotas_equal()
            assert isinstance(world.pool, StubPool)
            addresses = [("127.0.0.1", port) for port in world.pool.ports]
            yield Bench(nodes, addresses, world.pool.pids)
        finally:
            nodes[OFF].stop()


# ------------------------------------------------------------------------ one rate


@dataclass(frozen=True)
class ProcessorTime:
    """A process's time on cores so far, its time waiting for a core, and when both were read."""

    used_s: float
    waited_s: float
    read_s: float

    @classmethod
    def of(cls, process: psutil.Process) -> ProcessorTime:
        times = process.cpu_times()
        return cls(times.user + times.system, run_queue_wait_s(process), time.monotonic())

    def percent_since(self, earlier: ProcessorTime) -> float:
        return 100.0 * (self.used_s - earlier.used_s) / (self.read_s - earlier.read_s)

    def waited_percent_since(self, earlier: ProcessorTime) -> float:
        return 100.0 * (self.waited_s - earlier.waited_s) / (self.read_s - earlier.read_s)


def run_queue_wait_s(process: psutil.Process) -> float:
    """Return how long its threads were ready to run without a core: the second value of schedstat."""
    threads = Path(f"/proc/{process.pid}/task").iterdir()
    return sum(int((thread / "schedstat").read_text().split()[1]) for thread in threads) / 1e9


@dataclass(frozen=True)
class NodeCost:
    """A node's use of a core when idle and under load, and its memory at the end."""

    idle_percent: float
    busy_percent: float
    waited_percent: float  # of the time under load: ready to run while other processes used the cores
    memory_mb: float

    def ms_per_call(self, calls_per_s: float) -> float:
        return (self.busy_percent - self.idle_percent) * 10.0 / calls_per_s

    def waited_ms_per_call(self, calls_per_s: float) -> float:
        return self.waited_percent * 10.0 / calls_per_s


@dataclass(frozen=True)
class Measured:
    """Results of one rate."""

    calls: PairedResult
    costs: dict[str, NodeCost]  # by path


async def measure(bench: Bench, rate: float, groups: int, seed: int) -> Measured:
    """Measure the idle nodes, then so many groups of requests at this rate."""
    processes = {path: bench.process(path) for path in bench.nodes}
    with clients(bench, seed) as clients_by_path:
        run = PairedRun(clients_by_path, rate, seed)
        await run.warm_up(WARMUP_REQUESTS)
        idle_from = {path: ProcessorTime.of(process) for path, process in processes.items()}
        await asyncio.sleep(IDLE_S)
        busy_from = {path: ProcessorTime.of(process) for path, process in processes.items()}
        calls = await run.measure(groups)
    ended = {path: ProcessorTime.of(process) for path, process in processes.items()}
    costs = {
        path: NodeCost(
            idle_percent=busy_from[path].percent_since(idle_from[path]),
            busy_percent=ended[path].percent_since(busy_from[path]),
            waited_percent=ended[path].waited_percent_since(busy_from[path]),
            memory_mb=process.memory_info().rss / MB,
        )
        for path, process in processes.items()
    }
    return Measured(calls, costs)


# ---------------------------------------------------------------------- the record


def phase(rate: float, path: str) -> str:
    """Return the phase's name in the records."""
    return f"{rate:g}/s" if path == OFF else f"{rate:g}/s, members"


def add_figures(run: records.Run, rate: float, measured: Measured) -> None:
    """Add the figures of one rate to the run."""
    calls = measured.calls
    calls_per_s = calls.groups_per_s
    plain = phase(rate, OFF)
    for name in (DIRECT, NOISE):
        _add_latency(run, name, calls, name, plain)
    run.add("call", "calls_per_s", round(calls_per_s, 2), "1/s", plain, calls.groups)
    for path, cost in measured.costs.items():
        phase_name = phase(rate, path)
        run.add("call", "failed", calls.failed_by(path), "calls", phase_name, calls.groups)
        _add_latency(run, "through", calls, path, phase_name)
        run.add(
            "node", "call_cpu_ms", round(cost.ms_per_call(calls_per_s), 4), "ms", phase_name, calls.groups
        )
        waited_ms = cost.waited_ms_per_call(calls_per_s)
        run.add("node", "call_wait_for_core_ms", round(waited_ms, 4), "ms", phase_name, calls.groups)
        run.add("node", "cpu_percent", round(cost.busy_percent, 3), "%", phase_name)
        run.add("node", "idle_cpu_percent", round(cost.idle_percent, 3), "%", phase_name)
        run.add("node", "memory_mb", round(cost.memory_mb, 1), "MB", phase_name)


def _add_latency(run: records.Run, name: str, calls: PairedResult, path: str, phase_name: str) -> None:
    times = calls.paths[path]
    for percent in (50, 99):
        value = round(quantile_ms(times.total, percent), 3)
        run.add("call", f"{name}_p{percent}_ms", value, "ms", phase_name, calls.groups)
    if path == DIRECT:
        return
    added = "noise" if path == NOISE else "added"
    for name, added_times in (("pair", times.added), ("undisturbed", times.undisturbed)):
        samples = added_times.get_total_count()
        for percent in (50, 99) if samples >= MIN_SAMPLES else ():
            value = round(quantile_ms(added_times, percent), 3)
            run.add("call", f"{added}_{name}_p{percent}_ms", value, "ms", phase_name, samples)


def check(run: records.Run, rate: float, measured: Measured, bound_ms: float) -> None:
    """Add to the run's failures each path over the bound and each kind of failed request."""
    for path in measured.costs:
        added_ms = quantile_ms(measured.calls.paths[path].added, 99.0)
        if added_ms > bound_ms:
            run.failures.append(f"{phase(rate, path)}: p99 added {added_ms:.3f} ms, bound {bound_ms:g} ms")
    for (path, error), count in sorted(measured.calls.failed.items()):
        run.failures.append(f"{phase(rate, path)}: {count} requests on the path {path} failed: {error}")


# --------------------------------------------------------------------- the command

MIN_GROUPS = 3000  # leaves 30 requests above the p99
MAX_SECONDS = 150.0  # for one rate
MIN_RATE, MAX_RATE = 0.1, 2000.0


def groups_at(rate: float, seconds: float) -> int:
    """Return how many groups to send: enough for samples above the p99, within the time limit of a rate."""
    return max(1, int(min(max(MIN_GROUPS, rate * seconds), rate * MAX_SECONDS)))


def parse_rates(text: str) -> list[float]:
    """Return the rates, or raise BadParameter."""
    try:
        rates = [float(word) for word in text.split(",")]
    except ValueError:
        rates = []
    if not rates or not all(MIN_RATE <= rate <= MAX_RATE for rate in rates):
        raise typer.BadParameter(f"{text!r}: rates are numbers from {MIN_RATE:g} to {MAX_RATE:g}")
    return rates


@app.command()
def datapath(
    rate: Annotated[
        str, typer.Option(help="Requests per second at the node, one after another.")
    ] = "23,93,400",
    seconds: Annotated[
        float, typer.Option(help="For each rate; longer if there are too few requests.")
    ] = 30.0,
    servers: Annotated[int, typer.Option(min=1, max=32)] = 7,
    members: Annotated[bool, typer.Option(help="Also measure a node with `members`.")] = False,
    siblings: Annotated[int, typer.Option(min=0, max=32, help="Siblings of the node with `members`.")] = 6,
    probe_period_ms: Annotated[
        float, typer.Option(help="For the node with `members` and its siblings.")
    ] = 1000.0,
    seed: int = 1,
    record: Annotated[bool, typer.Option(help="Write a record.")] = True,
) -> None:
    """Measure the latency and processor time that a node adds to a request, against a direct request."""
    rates = parse_rates(rate)
    options: dict[str, records.Option] = {
        "rate": rate,
        "seconds": seconds,
        "servers": servers,
        "members": members,
        "siblings": siblings if members else 0,
        "probe_period_ms": probe_period_ms if members else None,
    }
    run = records.Run(KIND, 0.0, seed, options)
    bound_ms = read_size().bounds.added_latency_p99_ms
    with (
        tempfile.TemporaryDirectory(prefix="scale-datapath-") as folder,
        started(Path(folder), servers, siblings, members, probe_period_ms) as bench,
    ):
        for calls_per_s in rates:
            groups = groups_at(calls_per_s, seconds)
            typer.echo(f"{calls_per_s:g}/s: {groups} groups of requests, {groups / calls_per_s:.0f} s")
            measured = asyncio.run(measure(bench, calls_per_s, groups, seed))
            add_figures(run, calls_per_s, measured)
            check(run, calls_per_s, measured, bound_ms)
    finished = run.finish()
    for figure in finished.figures:
        named = f"{figure.phase:<16} {figure.role:<5} {figure.name:<24}"
        typer.echo(f"  {named} {figure.value:>10} {figure.unit:<6} {figure.samples}")
    for failure in finished.failures:
        typer.echo(f"missed: {failure}")
    if record:
        typer.echo(f"record: {records.append(finished).name}")
