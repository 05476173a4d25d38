"""A process of hollow nodes, commanded by messages: `python -P -m bench.scale.hollow_process`."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import socket
import sys
import time
import traceback
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from typing import Any

from bench.scale import messages, sockets
from bench.scale.histograms import Times
from bench.scale.hollow import HollowNode, NodeMeasurements
from bench.scale.messages import (
    Collect,
    Done,
    End,
    GetState,
    Measured,
    Partition,
    Quit,
    Sample,
    Setup,
    Start,
    State,
)
from bench.scale.regions import RegionLoop, region_of_task

MAX_LINE_BYTES = 64 * 2**20
BACKLOG = 128


class HollowProcess:
    """Runs the hollow nodes of this process and responds to the run's commands."""

    def __init__(self, setup: Setup, loop: RegionLoop) -> None:
        self._setup, self._loop = setup, loop
        self._random = Random(f"{setup.seed}-{setup.nodes[0].index}")
        self._measurements = NodeMeasurements()
        self._nodes = {spec.index: HollowNode(spec, setup, self._measurements) for spec in setup.nodes}
        self._silent_sockets: dict[int, socket.socket] = {}
        self._samples: list[Sample] = []
        self._loop_late = Times()
        self._probes = (0, 0)  # sent and received, at the last collection
        self._probes_of_ended = [0, 0]
        self._tasks: set[asyncio.Task[None]] = set()
        self._faults = 0

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            traceback.print_exception(error)
            self._faults += 1

    async def execute(self, command: messages.Command) -> messages.Response:
        match command:
            case Start():
                for index in command.indices:
                    self.run(self._start(index, self._random.uniform(0.0, command.spread_s)))
            case End():
                for index in command.indices:
                    self.run(self._end(index, command.leaves))
            case Partition():
                self._loop.partition(command.partitioned)
            case GetState():
                return self._state()
            case Collect():
                return self._collect()
            case Quit():
                for node in self._nodes.values():
                    node.fail()
        return Done()

    async def _start(self, index: int, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        node = self._nodes[index]
        async with node.lock:
            listener = self._silent_sockets.pop(index, None)
            if listener is not None:
                listener.close()
            if node.control_plane is None:
                region_of_task.set(node.spec.region)  # inherited by all tasks that this one starts
                await node.start()

    async def _end(self, index: int, leaves: bool) -> None:
        node = self._nodes[index]
        async with node.lock:
            self._probes_of_ended[0] += node.probe_counts()[0]
            self._probes_of_ended[1] += node.probe_counts()[1]
            if leaves:
                await node.leave()
            else:
                node.fail()
                self._silent_sockets[index] = _silent_listener(node.spec.port)

    # ------------------------------------------------------------------- measuring

    async def sample(self) -> None:
        """Sample the quotas of all nodes, at the same times in all processes of a run."""
        period_s = self._setup.sample_s
        while True:
            tick = math.floor(time.monotonic() / period_s) + 1
            await asyncio.sleep(tick * period_s - time.monotonic())
            late_ms = (time.monotonic() - tick * period_s) * 1000.0
            self._loop_late.add(max(0.0, late_ms))
            self._samples.append(Sample(tick, round(late_ms, 2), self._quotas()))

    def _quotas(self) -> dict[str, float]:
        quotas: dict[str, float] = {}
        for node in self._nodes.values():
            quota = node.quota()
            if quota:
                quotas[node.group] = quotas.get(node.group, 0.0) + quota
        return quotas

    def _state(self) -> State:
        nodes = [node for node in self._nodes.values() if node.control_plane is not None]
        return State(
            running=len(nodes),
            enrolled=sum(node.enrolled for node in nodes),
            attached=sum(node.attached for node in nodes),
            electors=sum(node.elector for node in nodes),
            with_quota=sum(node.quota() > 0.0 for node in nodes),
            quotas=self._quotas(),
            with_list=sum(node.has_list for node in nodes),
        )

    def _collect(self) -> Measured:
        measurements, samples, loop_late = self._measurements, self._samples, self._loop_late
        self._measurements, self._samples, self._loop_late = NodeMeasurements(), [], Times()
        for node in self._nodes.values():
            node.measure_into(self._measurements)
        probes = [sum(node.probe_counts()[index] for node in self._nodes.values()) for index in (0, 1)]
        now = (probes[0] + self._probes_of_ended[0], probes[1] + self._probes_of_ended[1])
        before, self._probes = self._probes, now
        return Measured(
            renewals=measurements.renewals.encode(),
            by_agent=measurements.by_agent.encode(),
            enrolments=measurements.enrolments.encode(),
            changes=measurements.changes.encode(),
            loop_late=loop_late.encode(),
            renewed=measurements.renewed,
            late=measurements.late,
            failed_calls=measurements.failed_calls,
            unknown=measurements.unknown,
            yielded=measurements.yielded,
            changes_seen=measurements.changes_seen,
            probes=now[0] - before[0],
            probed=now[1] - before[1],
            verdicts=self._verdicts(),
            samples=samples,
            faults=self._faults,
        )

    def _verdicts(self) -> dict[str, int]:
        counts: Counter[str] = Counter()
        for node in self._nodes.values():
            counts.update(node.verdicts())
        return dict(counts)


def _silent_listener(port: int) -> socket.socket:
    """Return a socket that accepts connections and never responds, as a failed machine seems to."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    with contextlib.suppress(OSError):
        listener.bind(("127.0.0.1", port))
        listener.listen(BACKLOG)
    return listener


async def _open_stdin(loop: asyncio.AbstractEventLoop) -> asyncio.StreamReader:
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def main(loop: RegionLoop) -> None:
    """Read the Setup message, then carry out commands until Quit or the end of input."""
    reader = await _open_stdin(loop)
    setup = messages.decode_setup(await reader.readline())
    sockets.install(
        sockets.Counter(Path(setup.counts), {f"http{at}": p for at, p in enumerate(setup.instances)})
    )
    loop.regions = setup.regions
    process = HollowProcess(setup, loop)
    process.run(process.sample())
    _send(Done())
    while line := await reader.readline():  # empty: the run has ended
        command = messages.decode_command(line)
        _send(await process.execute(command))
        if isinstance(command, Quit):
            return


def _send(response: messages.Response) -> None:
    sys.stdout.buffer.write(messages.encode(response) + b"\n")
    sys.stdout.buffer.flush()


if __name__ == "__main__":
    logging.disable(logging.WARNING)
    with asyncio.Runner(loop_factory=RegionLoop) as runner:
        runner.run(main(runner.get_loop()))  # type: ignore[arg-type]
