"""`listing`: CPU and memory of a node without clients, by the number of servers in its agent's list."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path
from typing import Annotated

import typer

from bench.scale import records
from bench.scale.platform import build_platform
from bench.scale.processes import Meter
from bench.scale.program import RealAgent, RealNode
from bench.scale.records import Record, Run
from bench.scale.world import Options, World, log_progress
from tests.support.ports import free_port

SIZES = (10, 350, 700, 1400)
SETTLE_S, TTL_MS = 5.0, 5_000

app = typer.Typer()


async def run_listing(sizes: list[int], seconds: float, checkout: Path | None) -> Record:
    """Measure two nodes at each list size: one with `members`, alone in its group, and one without."""
    run = Run("listing", 1.0, 1, {"seconds": seconds, "sizes": ",".join(map(str, sizes))}, checkout)
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        options = Options(
            factor=1.0,
            seed=1,
            checkout=checkout,
            ttl_ms=TTL_MS,
            probes=True,
            probe_period_ms=None,
            real_nodes=0,
            real_agents=0,
            processes=1,
            relayed=False,
        )
        world = World(build_platform(1.0, 1), options, Path(folder))
        nodes: list[RealNode] = []
        try:
            await world.open_service()
            nodes = _launch(world)
            listed = 0
            for size in sizes:
                await world.put_all(world.platform.nodes[listed:size])
                listed = size
                await asyncio.sleep(SETTLE_S)
                meter, started = Meter(world.program.watched), time.monotonic()
                await asyncio.sleep(seconds)
                log_progress(f"{size} listed, {time.monotonic() - started:.0f} s")
                _add(run, meter, size)
        finally:
            for node in nodes:
                node.stop()
            await world.close()
    return run.finish()


def _launch(world: World) -> list[RealNode]:
    members = {"listen": f"127.0.0.1:{free_port()}"} | ({"service": "alone"} if world.scoped else {})
    nodes = []
    for name, settings in (("members", members), ("plain", None)):
        agent = RealAgent(world.program, f"agent-{name}", world.instances.http)
        world.agents.append(agent)
        node = RealNode(world.program, name, agent, settings)
        node.launch()
        nodes.append(node)
    return nodes


def _add(run: Run, meter: Meter, size: int) -> None:
    phase = f"{size} listed"
    for usage in meter.usages():
        if usage.role in ("node", "agent"):
            run.add(
                usage.role, f"cpu_percent {usage.name}", round(usage.cpu_percent, 3), "% of a core", phase
            )
            run.add(usage.role, f"rss_mb {usage.name}", round(usage.rss_mb, 2), "MB", phase)


@app.command()
def listing(
    sizes: Annotated[str, typer.Option(help="Numbers of listed servers, ascending.")] = ",".join(
        map(str, SIZES)
    ),
    seconds: float = 15.0,
    program: Annotated[Path | None, typer.Option(help="Checkout to measure; default: this one.")] = None,
    keep: Annotated[bool, typer.Option(help="Write the record to bench/scale/records.")] = True,
) -> None:
    """Measure CPU and memory of a node by the number of listed servers, with `members` and without."""
    record = asyncio.run(run_listing([int(size) for size in sizes.split(",")], seconds, program))
    for figure in record.figures:
        typer.echo(f"{figure.phase:12} {figure.role:6} {figure.name:28} {figure.value} {figure.unit}")
    if keep:
        log_progress(f"written: {records.append(record)}")
