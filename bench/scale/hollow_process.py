"""A process of hollow nodes: `python -P -m bench.scale.hollow_process`, told by messages what to do."""

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
from bench.scale.hollow import Figures, HollowNode
from bench.scale.messages import Ask, Collect, Done, End, Measured, Part, Quit, Sample, Setup, Start, State
from bench.scale.regions import RegionLoop, region_of_task

LINE_MOST = 64 * 2**20
MUTE_BACKLOG = 128


class HollowProcess:
    def __init__(self, setup: Setup, loop: RegionLoop) -> None:
        self._setup, self._loop = setup, loop
        self._random = Random(f"{setup.seed}-{setup.nodes[0].index}")
        self._figures = Figures()
        self._nodes = {spec.index: HollowNode(spec, setup, self._figures) for spec in setup.nodes}
        self._mute: dict[int, socket.socket] = {}
        self._samples: list[Sample] = []
        self._loop_late = Times()
        self._probes = (0, 0)  # sent and taken, when last collected
        self._probes_of_ended = [0, 0]
        self._tasks: set[asyncio.Task[None]] = set()
        self._faults = 0

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            traceback.print_exception(error)
            self._faults += 1

    async def carry_out(self, command: messages.Command) -> messages.Reply:
        match command:
            case Start():
                for index in command.indices:
                    self.run(self._start(index, self._random.uniform(0.0, command.spread_s)))
            case End():
                for index in command.indices:
                    self.run(self._end(index, command.leaves))
            case Part():
                self._loop.part(command.parted)
            case Ask():
                return self._state()
            case Collect():
                return self._collect()
            case Quit():
                for node in self._nodes.values():
                    node.vanish()
        return Done()

    async def _start(self, index: int, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        node = self._nodes[index]
        async with node.turn:
            mute = self._mute.pop(index, None)
            if mute is not None:
                mute.close()
            if node.part is None:
                region_of_task.set(node.spec.region)  # of this task and all that come of it
                await node.start()

    async def _end(self, index: int, leaves: bool) -> None:
        node = self._nodes[index]
        async with node.turn:
            self._probes_of_ended[0] += node.part_probes()[0]
            self._probes_of_ended[1] += node.part_probes()[1]
            if leaves:
                await node.leave()
            else:
                node.vanish()
                self._mute[index] = _mute_listener(node.spec.port)

    # ------------------------------------------------------------------- measuring

    async def sample(self) -> None:
        """What all nodes take, at moments that all processes of a run share."""
        every = self._setup.sample_s
        while True:
            tick = math.floor(time.monotonic() / every) + 1
            await asyncio.sleep(tick * every - time.monotonic())
            late_ms = (time.monotonic() - tick * every) * 1000.0
            self._loop_late.add(max(0.0, late_ms))
            self._samples.append(Sample(tick, round(late_ms, 2), self._shares()))

    def _shares(self) -> dict[str, float]:
        shares: dict[str, float] = {}
        for node in self._nodes.values():
            share = node.taking()
            if share:
                shares[node.group] = shares.get(node.group, 0.0) + share
        return shares

    def _state(self) -> State:
        nodes = [node for node in self._nodes.values() if node.part is not None]
        return State(
            running=len(nodes),
            enrolled=sum(node.enrolled for node in nodes),
            attached=sum(node.attached for node in nodes),
            electors=sum(node.elector for node in nodes),
            taking=sum(node.taking() > 0.0 for node in nodes),
            shares=self._shares(),
            lists=sum(node.has_list for node in nodes),
        )

    def _collect(self) -> Measured:
        figures, samples, loop_late = self._figures, self._samples, self._loop_late
        self._figures, self._samples, self._loop_late = Figures(), [], Times()
        for node in self._nodes.values():
            node.measure_into(self._figures)
        probes = [sum(node.part_probes()[way] for node in self._nodes.values()) for way in (0, 1)]
        now = (probes[0] + self._probes_of_ended[0], probes[1] + self._probes_of_ended[1])
        before, self._probes = self._probes, now
        return Measured(
            renewals=figures.renewals.encode(),
            by_agent=figures.by_agent.encode(),
            enrolments=figures.enrolments.encode(),
            changes=figures.changes.encode(),
            loop_late=loop_late.encode(),
            renewed=figures.renewed,
            late=figures.late,
            refused=figures.refused,
            unknown=figures.unknown,
            yielded=figures.yielded,
            changes_seen=figures.changes_seen,
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


def _mute_listener(port: int) -> socket.socket:
    """Takes connections and never answers, as a machine that has vanished."""
    mute = socket.socket()
    mute.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    mute.setblocking(False)
    with contextlib.suppress(OSError):
        mute.bind(("127.0.0.1", port))
        mute.listen(MUTE_BACKLOG)
    return mute


async def _lines(loop: asyncio.AbstractEventLoop) -> asyncio.StreamReader:
    reader = asyncio.StreamReader(limit=LINE_MOST)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def main(loop: RegionLoop) -> None:
    reader = await _lines(loop)
    setup = messages.decode_setup(await reader.readline())
    sockets.install(
        sockets.Counter(Path(setup.counts), {f"http{at}": p for at, p in enumerate(setup.instances)})
    )
    loop.regions = setup.regions
    process = HollowProcess(setup, loop)
    process.run(process.sample())
    _say(Done())
    while line := await reader.readline():  # none: the run has ended
        command = messages.decode_command(line)
        _say(await process.carry_out(command))
        if isinstance(command, Quit):
            return


def _say(reply: messages.Reply) -> None:
    sys.stdout.buffer.write(messages.encode(reply) + b"\n")
    sys.stdout.buffer.flush()


if __name__ == "__main__":
    logging.disable(logging.WARNING)
    with asyncio.Runner(loop_factory=RegionLoop) as runner:
        runner.run(main(runner.get_loop()))  # type: ignore[arg-type]
