"""The hollow processes of a run, as the run speaks to them."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Iterable, Sequence
from typing import TypeVar

from bench.scale import messages
from bench.scale.histograms import Times
from bench.scale.messages import Ask, Collect, Command, End, Measured, Part, Quit, Reply, Setup, Start, State
from bench.scale.program import Program

LINE_MOST = 256 * 2**20
ANSWER_S = 60.0  # a process that is busy beyond that is of no use
QUIT_S = 10.0

R = TypeVar("R", bound=Reply)


class Child:
    """One hollow process."""

    def __init__(self, name: str, setup: Setup, process: asyncio.subprocess.Process) -> None:
        self.name, self.setup = name, setup
        self.indices = {spec.index for spec in setup.nodes}
        self._process = process
        self._turn = asyncio.Lock()

    @classmethod
    async def start(cls, program: Program, name: str, setup: Setup) -> Child:
        ports = {f"http{at}": port for at, port in enumerate(setup.instances)}
        environment = program.environment(program.counts(name), {})
        del environment["SCALE_COUNTS_FILE"]  # it counts as its first message says
        with (program.folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-P",
                "-m",
                "bench.scale.hollow_process",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env=environment,
                cwd=program.folder,
                limit=LINE_MOST,
            )
        child = cls(name, setup, process)
        await child._exchange(setup)
        program.watch("hollow", name, process.pid, ports)
        return child

    async def ask(self, command: Command, kind: type[R]) -> R:
        reply = await self._exchange(command)
        if not isinstance(reply, kind):
            raise RuntimeError(f"{self.name}: answered {type(reply).__name__}, not {kind.__name__}")
        return reply

    async def _exchange(self, message: Command | Setup) -> Reply:
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        async with self._turn, asyncio.timeout(ANSWER_S):
            self._process.stdin.write(messages.encode(message) + b"\n")
            await self._process.stdin.drain()
            line = await self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.name}: ended with {self._process.returncode}, see its log")
        return messages.decode_reply(line)

    async def stop(self) -> None:
        if self._process.returncode is not None:
            return
        try:
            async with asyncio.timeout(QUIT_S):
                await self._exchange(Quit())
                await self._process.wait()
        except (TimeoutError, RuntimeError, ConnectionError):
            self._process.kill()
            await self._process.wait()


class Children:
    """All hollow processes together."""

    def __init__(self, children: Sequence[Child]) -> None:
        self._children = children

    async def start(self, indices: Iterable[int], spread_s: float) -> None:
        await self._each_with(indices, lambda chosen: Start(chosen, spread_s))

    async def end(self, indices: Iterable[int], leaves: bool) -> None:
        await self._each_with(indices, lambda chosen: End(chosen, leaves))

    async def _each_with(self, indices: Iterable[int], command: object) -> None:
        wanted = set(indices)
        await asyncio.gather(
            *(
                child.ask(command(sorted(wanted & child.indices)), messages.Done)  # type: ignore[operator]
                for child in self._children
                if wanted & child.indices
            )
        )

    async def part(self, parted: bool) -> None:
        await asyncio.gather(*(child.ask(Part(parted), messages.Done) for child in self._children))

    async def state(self) -> State:
        states = await asyncio.gather(*(child.ask(Ask(), State) for child in self._children))
        shares: dict[str, float] = {}
        for state in states:
            for group, share in state.shares.items():
                shares[group] = shares.get(group, 0.0) + share
        return State(
            running=sum(state.running for state in states),
            enrolled=sum(state.enrolled for state in states),
            attached=sum(state.attached for state in states),
            electors=sum(state.electors for state in states),
            taking=sum(state.taking for state in states),
            shares=shares,
            lists=sum(state.lists for state in states),
        )

    async def collect(self) -> list[Measured]:
        return list(await asyncio.gather(*(child.ask(Collect(), Measured) for child in self._children)))

    async def stop(self) -> None:
        await asyncio.gather(*(child.stop() for child in self._children))


def merged(encoded: Iterable[str]) -> Times:
    times = Times()
    for text in encoded:
        times.merge(Times.decode(text))
    return times


def added(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    total: dict[str, int] = {}
    for one in counts:
        for key, count in one.items():
            total[key] = total.get(key, 0) + count
    return total
