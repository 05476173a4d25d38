"""Child processes with hollow nodes: started, commanded and stopped by the run."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Iterable, Sequence
from typing import TypeVar

from bench.scale import messages
from bench.scale.histograms import Times
from bench.scale.messages import (
    Collect,
    Command,
    End,
    GetState,
    Measured,
    Partition,
    Quit,
    Response,
    Setup,
    Start,
    State,
)
from bench.scale.program import Program

MAX_LINE_BYTES = 256 * 2**20
RESPONSE_TIMEOUT_S = 60.0  # a process that is busy for longer can't be measured
QUIT_TIMEOUT_S = 10.0

R = TypeVar("R", bound=Response)


class Child:
    """One process of hollow nodes, with which messages are exchanged over standard streams."""

    def __init__(self, name: str, setup: Setup, process: asyncio.subprocess.Process) -> None:
        self.name, self.setup = name, setup
        self.indices = {spec.index for spec in setup.nodes}
        self._process = process
        self._lock = asyncio.Lock()

    @classmethod
    async def start(cls, program: Program, name: str, setup: Setup) -> Child:
        ports = {f"http{at}": port for at, port in enumerate(setup.instances)}
        environment = program.environment(program.counts(name), {})
        del environment["SCALE_COUNTS_FILE"]  # the Setup message names the file to count in
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
                limit=MAX_LINE_BYTES,
            )
        child = cls(name, setup, process)
        await child._exchange(setup)
        program.watch("hollow", name, process.pid, ports)
        return child

    async def request(self, command: Command, kind: type[R]) -> R:
        response = await self._exchange(command)
        if not isinstance(response, kind):
            raise RuntimeError(f"{self.name}: responded with {type(response).__name__}, not {kind.__name__}")
        return response

    async def _exchange(self, message: Command | Setup) -> Response:
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        async with self._lock, asyncio.timeout(RESPONSE_TIMEOUT_S):
            self._process.stdin.write(messages.encode(message) + b"\n")
            await self._process.stdin.drain()
            line = await self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.name}: exited with {self._process.returncode}, see its log")
        return messages.decode_response(line)

    async def stop(self) -> None:
        if self._process.returncode is not None:
            return
        try:
            async with asyncio.timeout(QUIT_TIMEOUT_S):
                await self._exchange(Quit())
                await self._process.wait()
        except (TimeoutError, RuntimeError, ConnectionError):
            self._process.kill()
            await self._process.wait()


class Children:
    """All processes of hollow nodes."""

    def __init__(self, children: Sequence[Child]) -> None:
        self._children = children

    async def start(self, indices: Iterable[int], spread_s: float) -> None:
        await self._send_to(indices, lambda chosen: Start(chosen, spread_s))

    async def end(self, indices: Iterable[int], leaves: bool) -> None:
        await self._send_to(indices, lambda chosen: End(chosen, leaves))

    async def _send_to(self, indices: Iterable[int], command: object) -> None:
        wanted = set(indices)
        await asyncio.gather(
            *(
                child.request(command(sorted(wanted & child.indices)), messages.Done)  # type: ignore[operator]
                for child in self._children
                if wanted & child.indices
            )
        )

    async def partition(self, partitioned: bool) -> None:
        await asyncio.gather(
            *(child.request(Partition(partitioned), messages.Done) for child in self._children)
        )

    async def state(self) -> State:
        states = await asyncio.gather(*(child.request(GetState(), State) for child in self._children))
        quotas: dict[str, float] = {}
        for state in states:
            for group, quota in state.quotas.items():
                quotas[group] = quotas.get(group, 0.0) + quota
        return State(
            running=sum(state.running for state in states),
            enrolled=sum(state.enrolled for state in states),
            attached=sum(state.attached for state in states),
            electors=sum(state.electors for state in states),
            with_quota=sum(state.with_quota for state in states),
            quotas=quotas,
            with_list=sum(state.with_list for state in states),
        )

    async def collect(self) -> list[Measured]:
        return list(await asyncio.gather(*(child.request(Collect(), Measured) for child in self._children)))

    async def stop(self) -> None:
        await asyncio.gather(*(child.stop() for child in self._children))


def merge_times(encoded: Iterable[str]) -> Times:
    """Return one histogram of all encoded ones."""
    times = Times()
    for text in encoded:
        times.merge(Times.decode(text))
    return times


def sum_counts(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    """Return the sums by key."""
    total: dict[str, int] = {}
    for mapping in counts:
        for key, count in mapping.items():
            total[key] = total.get(key, 0) + count
    return total
