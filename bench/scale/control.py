"""`control`: the platform's control path at a fraction of its size, with churn and faults."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated

import typer
from msgspec import Struct

from bench.scale import goals, limits, records
from bench.scale.events import Durations, Events
from bench.scale.measure import PhaseRecorder
from bench.scale.platform import build_platform
from bench.scale.records import Record, Run
from bench.scale.world import Options, World, log_progress

EVENTS = ("steady", "list", "leader", "rack", "zone", "regions")  # in the order in which they happen
LIMIT_S = 295.0
HURRY = 60.0  # acceleration of churn: a minute of the run has the churn of an hour
EVENT_TTLS, PARTITION_TTLS = 3.0, 6.0
START_SPREAD_S = 10.0
MAX_PROCESSES = 8
EXIT_TOO_LARGE = 3  # exit status
NODES_PER_PROCESS = 25  # minimum, if there are that many nodes

app = typer.Typer()


class Plan(Struct, frozen=True):
    """A run of the control path: its size, durations, events and time limit."""

    options: Options
    durations: Durations
    events: tuple[str, ...]
    limit_s: float


def parse_events(text: str) -> tuple[str, ...]:
    """Return the chosen events in their order; raise ValueError with the names that are unknown."""
    if text in ("all", "none"):
        return EVENTS if text == "all" else ()
    chosen = text.split(",")
    unknown = set(chosen) - set(EVENTS)
    if unknown:
        raise ValueError(f"{', '.join(sorted(unknown))}: not of {', '.join(EVENTS)}")
    return tuple(event for event in EVENTS if event in chosen)


def processes_for(nodes: int) -> int:
    """Return the default number of processes for so many hollow nodes."""
    return max(1, min(MAX_PROCESSES, nodes // NODES_PER_PROCESS))


async def run_control(plan: Plan) -> Record:
    """Return the record of one run; an error or timeout of the run is one of its failures."""
    options = plan.options
    platform = build_platform(options.factor, options.seed)
    run = Run("control", options.factor, options.seed, _as_options(plan), options.checkout)
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        world = World(platform, options, Path(folder))
        world.check_limits()
        run.add("platform", "nodes", len(platform.nodes), "nodes")
        run.add("platform", "services", len(platform.services), "services")
        run.add("platform", "largest_service", platform.largest().nodes, "nodes")
        run.add("platform", "scoped_by_service", world.scoped)
        _cancel_on_signals()
        try:
            async with asyncio.timeout(plan.limit_s):
                await _run_events(world, run, plan)
        except TimeoutError:
            run.failures.append(f"stopped at its time limit of {plan.limit_s:.0f} s")
        except (OSError, RuntimeError, AssertionError) as failure:
            run.failures.append(f"{type(failure).__name__}: {str(failure)[:300]}")
        finally:
            await world.close()
    bounds = platform.size.bounds
    run.failures += goals.missed(
        run,
        goals.control_goals(bounds.control_cpu_percent, bounds.control_memory_mb, bounds.control_bytes_per_s),
    )
    return run.finish()


def _cancel_on_signals() -> None:
    """Cancel the run on SIGINT and SIGTERM, so that it stops its processes; only the main thread can."""
    task = asyncio.current_task()
    assert task is not None
    with contextlib.suppress(ValueError, RuntimeError):
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)


async def _run_events(world: World, run: Run, plan: Plan) -> None:
    started = time.monotonic()
    log_progress(f"starting {len(world.hollow)} hollow and {len(world.real_places)} real nodes")
    await world.open()
    run.add("platform", "opened", round(time.monotonic() - started, 1), "s")
    recorder = PhaseRecorder(world, run)
    events = Events(world, recorder, plan.durations)
    log_progress("enrolment")
    await events.enrol()
    steps: dict[str, Callable[[], Awaitable[None]]] = {
        "steady": events.steady,
        "list": events.change_list,
        "leader": events.kill_leader,
        "rack": events.fail_rack,
        "zone": events.fail_zone,
        "regions": events.partition_regions,
    }
    for event in plan.events:
        if limits.over_memory():
            raise RuntimeError("over half of the machine's memory is in use")
        log_progress(event)
        await steps[event]()


def _as_options(plan: Plan) -> dict[str, records.Option]:
    options, durations = plan.options, plan.durations
    return {
        "ttl_ms": options.ttl_ms,
        "probes": options.probes,
        "probe_period_ms": options.probe_period_ms,
        "real_nodes": options.real_nodes,
        "real_agents": options.real_agents,
        "processes": options.processes,
        "instances_relayed": options.relayed,
        "agents": "their code beside the hollow nodes, without a socket between",
        "cut": "dialling across regions hangs at hollow nodes and connections across end; raft links silent",
        "events": ",".join(plan.events),
        "start_spread_s": durations.start_spread,
        "steady_s": durations.steady,
        "hurry": durations.hurry,
        "event_s": durations.event,
        "parted_s": durations.partitioned,
    }


def print_record(record: Record, whole: bool) -> None:
    """Print all figures, or those that have a goal, and then the goals that were missed."""
    names = {goal.name for goal in goals.control_goals(0.0, 0.0, 0.0)}
    for figure in record.figures:
        if whole or figure.name in names:
            typer.echo(f"{figure.phase:18} {figure.role:9} {figure.name:44} {figure.value} {figure.unit}")
    for failure in record.failures:
        typer.echo(f"MISSED {failure}")


@app.command()
def control(
    factor: Annotated[float, typer.Option(help="Fraction of the platform's size.")] = 0.25,
    seed: int = 1,
    minutes: Annotated[float, typer.Option(help="Duration of ordinary churn.")] = 1.0,
    hurry: Annotated[float, typer.Option(help="Acceleration of ordinary churn.")] = HURRY,
    events: Annotated[str, typer.Option(help=f"all, none, or some of {','.join(EVENTS)}.")] = "all",
    program: Annotated[Path | None, typer.Option(help="Checkout to measure; default: this one.")] = None,
    ttl_ms: int = 5_000,
    probes: Annotated[bool, typer.Option(help="Whether nodes probe their siblings.")] = True,
    probe_period_ms: Annotated[float | None, typer.Option(help="Default: the program's own.")] = None,
    real_nodes: int = 8,
    real_agents: Annotated[int, typer.Option(help="Hollow nodes that have an agent process each.")] = 0,
    processes: Annotated[int | None, typer.Option(help="Number of processes of hollow nodes.")] = None,
    limit_s: float = LIMIT_S,
    start_spread_s: Annotated[
        float, typer.Option(help="Time within which all nodes start.")
    ] = START_SPREAD_S,
    whole: Annotated[bool, typer.Option(help="Print every figure.")] = False,
    keep: Annotated[bool, typer.Option(help="Write the record to bench/scale/records.")] = True,
) -> None:
    """Measure enrolment, ordinary churn, a killed leader, a lost rack and zone, and partitioned regions."""
    chosen = parse_events(events)
    term_s = ttl_ms / 1000.0
    nodes = len(build_platform(factor, seed).nodes)
    options = Options(
        factor=factor,
        seed=seed,
        checkout=program,
        ttl_ms=ttl_ms,
        probes=probes,
        probe_period_ms=probe_period_ms,
        real_nodes=real_nodes,
        real_agents=real_agents,
        processes=processes or processes_for(nodes),
        relayed="regions" in chosen,
    )
    durations = Durations(
        start_spread=start_spread_s,
        steady=60.0 * minutes,
        hurry=hurry,
        event=EVENT_TTLS * term_s,
        partitioned=PARTITION_TTLS * term_s,
    )
    if limits.load_is_high():
        log_progress("the machine is busy: other programs affect the times of this run")
    try:
        record = asyncio.run(run_control(Plan(options, durations, chosen, limit_s)))
    except limits.TooLargeError as refusal:
        typer.echo(f"refused: {refusal}", err=True)
        raise typer.Exit(EXIT_TOO_LARGE) from refusal
    print_record(record, whole)
    if keep:
        log_progress(f"written: {records.append(record)}")
