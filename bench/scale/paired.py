"""The same call by several paths, one after another in an order drawn anew, as a Poisson process of groups.

What a path adds is its latency less that of the direct call of the same group. Each group holds two direct
calls: what the second seems to add to the first is the noise of machine and method.
"""

from __future__ import annotations

import asyncio
import gc
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from hdrh.histogram import HdrHistogram

from bench.scale.caller import Caller, CallTime, FailedCallError

DIRECT, NOISE = "direct", "noise"
LONGEST_US = 10_000_000
DIGITS = 3
UNDISTURBED_NS = 100_000  # waits for a core in both calls of a pair together

Latencies = dict[str, CallTime]  # by path


def histogram() -> HdrHistogram:
    """Of times in microseconds."""
    return HdrHistogram(1, LONGEST_US, DIGITS)


def quantile_ms(times: HdrHistogram, percent: float) -> float:
    return float(times.get_value_at_percentile(percent)) / 1000.0


@dataclass
class PathTimes:
    """What the calls of one path took, and what each took longer than the direct call of its group."""

    total: HdrHistogram = field(default_factory=histogram)
    added: HdrHistogram = field(default_factory=histogram)  # 0 where it took less
    undisturbed: HdrHistogram = field(default_factory=histogram)  # `added` of pairs that the machine let be

    def record(self, call: CallTime, direct: CallTime) -> None:
        self.total.record_value(call.taken_ns // 1000)
        added_us = max(0, call.taken_ns - direct.taken_ns) // 1000
        self.added.record_value(added_us)
        if call.waited_ns + direct.waited_ns <= UNDISTURBED_NS:
            self.undisturbed.record_value(added_us)


@dataclass
class Paired:
    """All groups of one run."""

    paths: dict[str, PathTimes]
    groups: int = 0
    failed: Counter[tuple[str, str]] = field(default_factory=Counter)  # calls by path and what went wrong
    span_s: float = 0.0

    def record(self, latencies: Latencies) -> None:
        self.groups += 1
        for name, call in latencies.items():
            self.paths[name].record(call, latencies[DIRECT])

    @property
    def groups_per_s(self) -> float:
        """Those that broke off too."""
        return (self.groups + self.failed.total()) / self.span_s

    def failed_by(self, path: str) -> int:
        return sum(count for (name, _), count in self.failed.items() if name == path)


class PairedRun:
    """Groups of calls at `rate` a second, none waiting for another."""

    def __init__(self, callers: dict[str, Caller], rate: float, seed: int) -> None:
        """`callers`: one for each path, DIRECT and NOISE among them."""
        self._callers, self._rate, self._random = callers, rate, Random(seed)
        self._sent = 0
        self._groups: set[asyncio.Task[None]] = set()

    async def warm(self, calls: int) -> None:
        """So many calls by each path that are not measured, whatever becomes of them."""
        for _ in range(calls):
            for caller in self._callers.values():
                with suppress(FailedCallError, OSError):
                    await caller.call(self._next_name())

    async def measure(self, groups: int) -> Paired:
        found = Paired({name: PathTimes() for name in self._callers})
        loop = asyncio.get_running_loop()
        gc.collect()
        gc.disable()
        began = due = loop.time()
        try:
            for _ in range(groups):
                due += self._random.expovariate(self._rate)
                await asyncio.sleep(max(0.0, due - loop.time()))
                self._begin_group(found)
            await asyncio.gather(*self._groups)
        finally:
            gc.enable()
        found.span_s = loop.time() - began
        return found

    def _begin_group(self, found: Paired) -> None:
        task = asyncio.create_task(self._group(found))
        self._groups.add(task)
        task.add_done_callback(self._groups.discard)

    async def _group(self, found: Paired) -> None:
        latencies: Latencies = {}
        for name in self._random.sample(sorted(self._callers), len(self._callers)):
            try:
                latencies[name] = await self._callers[name].call(self._next_name())
            except (FailedCallError, OSError) as error:
                found.failed[name, str(error)] += 1
                return
        found.record(latencies)

    def _next_name(self) -> str:
        self._sent += 1
        return f"call-{self._sent}"
