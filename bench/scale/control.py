"""`control`: the platform's control path at a fraction of its size, with what befalls it."""

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
from bench.scale.measure import Measuring
from bench.scale.platform import build_platform
from bench.scale.records import Record, Run
from bench.scale.world import Options, World, say

EVENTS = ("steady", "list", "leader", "rack", "zone", "regions")  # in the order in which they come
LIMIT_S = 295.0
HURRY = 60.0  # a minute of the run has the churn of an hour
EVENT_TTLS, PARTED_TTLS = 3.0, 6.0
START_SPREAD_S = 10.0
MOST_PROCESSES = 8
REFUSED = 3  # exit status
NODES_PER_PROCESS = 25  # at least, where there are so many

app = typer.Typer()


class Plan(Struct, frozen=True):
    options: Options
    durations: Durations
    events: tuple[str, ...]
    limit_s: float


def parse_events(text: str) -> tuple[str, ...]:
    """ValueError names what is no event."""
    if text in ("all", "none"):
        return EVENTS if text == "all" else ()
    chosen = text.split(",")
    unknown = set(chosen) - set(EVENTS)
    if unknown:
        raise ValueError(f"{', '.join(sorted(unknown))}: not of {', '.join(EVENTS)}")
    return tuple(event for event in EVENTS if event in chosen)


def processes_for(nodes: int) -> int:
    return max(1, min(MOST_PROCESSES, nodes // NODES_PER_PROCESS))


async def run_control(plan: Plan) -> Record:
    """The record of one run, whatever became of it: what broke off stands among its failures."""
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
                await _carry_out(world, run, plan)
        except TimeoutError:
            run.failures.append(f"ended by its limit of {plan.limit_s:.0f} s")
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
    """An interrupted run ends what it has started. Signals reach the main thread alone."""
    task = asyncio.current_task()
    assert task is not None
    with contextlib.suppress(ValueError, RuntimeError):
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)


async def _carry_out(world: World, run: Run, plan: Plan) -> None:
    began = time.monotonic()
    say(f"starting {len(world.hollow)} hollow and {len(world.real_places)} real nodes")
    await world.open()
    run.add("platform", "opened", round(time.monotonic() - began, 1), "s")
    measuring = Measuring(world, run)
    events = Events(world, measuring, plan.durations)
    say("enrolment")
    await events.enrol()
    steps: dict[str, Callable[[], Awaitable[None]]] = {
        "steady": events.steady,
        "list": events.list_changes,
        "leader": events.leader_killed,
        "rack": events.rack_lost,
        "zone": events.zone_lost,
        "regions": events.regions_parted,
    }
    for event in plan.events:
        if limits.over_memory():
            raise RuntimeError("over half of the machine's memory is in use")
        say(event)
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
        "parted_s": durations.parted,
    }


def print_record(record: Record, whole: bool) -> None:
    """All figures, or those that answer a goal; then what was missed."""
    names = {goal.name for goal in goals.control_goals(0.0, 0.0, 0.0)}
    for figure in record.figures:
        if whole or figure.name in names:
            typer.echo(f"{figure.phase:18} {figure.role:9} {figure.name:44} {figure.value} {figure.unit}")
    for failure in record.failures:
        typer.echo(f"MISSED {failure}")


@app.command()
def control(
    factor: Annotated[float, typer.Option(help="Of the platform's size.")] = 0.25,
    seed: int = 1,
    minutes: Annotated[float, typer.Option(help="Of ordinary churn.")] = 1.0,
    hurry: Annotated[float, typer.Option(help="Ordinary churn comes so many times as often.")] = HURRY,
    events: Annotated[str, typer.Option(help=f"all, none, or some of {','.join(EVENTS)}.")] = "all",
    program: Annotated[Path | None, typer.Option(help="A checkout whose program is run; else this.")] = None,
    ttl_ms: int = 5_000,
    probes: Annotated[bool, typer.Option(help="Whether nodes probe their siblings.")] = True,
    probe_period_ms: Annotated[float | None, typer.Option(help="Else as the program has it.")] = None,
    real_nodes: int = 8,
    real_agents: Annotated[int, typer.Option(help="Hollow nodes with an agent process each.")] = 0,
    processes: Annotated[int | None, typer.Option(help="Of hollow nodes.")] = None,
    limit_s: float = LIMIT_S,
    start_spread_s: Annotated[float, typer.Option(help="All nodes start within so long.")] = START_SPREAD_S,
    whole: Annotated[bool, typer.Option(help="Print every figure.")] = False,
    keep: Annotated[bool, typer.Option(help="Write the record to bench/scale/records.")] = True,
) -> None:
    """All nodes from nothing, ordinary churn, a killed leader, a lost rack and zone, parted regions."""
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
        parted=PARTED_TTLS * term_s,
    )
    if limits.load_is_high():
        say("the machine is busy: times of this run tell of other programs too")
    try:
        record = asyncio.run(run_control(Plan(options, durations, chosen, limit_s)))
    except limits.TooLargeError as refusal:
        typer.echo(f"refused: {refusal}", err=True)
        raise typer.Exit(REFUSED) from refusal
    print_record(record, whole)
    if keep:
        say(f"written: {records.append(record)}")
