"""Paired measurements: groups of one request per path in random order, started as a Poisson process.

The latency that a path adds is that of its request minus that of the direct request of the same group. Each
group has two direct requests: the difference of these is the noise of machine and method.
"""

from __future__ import annotations

import asyncio
import gc
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from hdrh.histogram import HdrHistogram

from bench.scale.client import CallTime, Client, FailedCallError

DIRECT, NOISE = "direct", "noise"
MAX_US = 10_000_000
DIGITS = 3
UNDISTURBED_NS = 100_000  # maximum wait for a core over both requests of an undisturbed pair

Latencies = dict[str, CallTime]  # by path


def histogram() -> HdrHistogram:
    """Return an empty histogram of times in microseconds."""
    return HdrHistogram(1, MAX_US, DIGITS)


def quantile_ms(times: HdrHistogram, percent: float) -> float:
    """Return this percentile in ms."""
    return float(times.get_value_at_percentile(percent)) / 1000.0


@dataclass
class PathTimes:
    """Latencies of one path, and what each adds to the direct request of its group."""

    total: HdrHistogram = field(default_factory=histogram)
    added: HdrHistogram = field(default_factory=histogram)  # 0 if the direct request took longer
    undisturbed: HdrHistogram = field(default_factory=histogram)  # `added` of pairs without waits for a core

    def record(self, call: CallTime, direct: CallTime) -> None:
        self.total.record_value(call.latency_ns // 1000)
        added_us = max(0, call.latency_ns - direct.latency_ns) // 1000
        self.added.record_value(added_us)
        if call.core_wait_ns + direct.core_wait_ns <= UNDISTURBED_NS:
            self.undisturbed.record_value(added_us)


@dataclass
class PairedResult:
    """Results of all groups of one run."""

    paths: dict[str, PathTimes]
    groups: int = 0
    failed: Counter[tuple[str, str]] = field(default_factory=Counter)  # requests by path and error
    duration_s: float = 0.0

    def record(self, latencies: Latencies) -> None:
        self.groups += 1
        for name, call in latencies.items():
            self.paths[name].record(call, latencies[DIRECT])

    @property
    def groups_per_s(self) -> float:
        """Rate of all groups, failed ones included."""
        return (self.groups + self.failed.total()) / self.duration_s

    def failed_by(self, path: str) -> int:
        return sum(count for (name, _), count in self.failed.items() if name == path)


class PairedRun:
    """Sends groups of requests at `rate` per second, concurrently."""

    def __init__(self, clients: dict[str, Client], rate: float, seed: int) -> None:
        """`clients` has a client for each path, DIRECT and NOISE included."""
        self._clients, self._rate, self._random = clients, rate, Random(seed)
        self._sent = 0
        self._groups: set[asyncio.Task[None]] = set()

    async def warm_up(self, calls: int) -> None:
        """Send so many requests on each path without measuring them; ignore failures."""
        for _ in range(calls):
            for client in self._clients.values():
                with suppress(FailedCallError, OSError):
                    await client.call(self._next_id())

    async def measure(self, groups: int) -> PairedResult:
        """Send so many groups and return their results."""
        result = PairedResult({name: PathTimes() for name in self._clients})
        loop = asyncio.get_running_loop()
        gc.collect()
        gc.disable()
        started = due = loop.time()
        try:
            for _ in range(groups):
                due += self._random.expovariate(self._rate)
                await asyncio.sleep(max(0.0, due - loop.time()))
                self._start_group(result)
            await asyncio.gather(*self._groups)
        finally:
            gc.enable()
        result.duration_s = loop.time() - started
        return result

    def _start_group(self, result: PairedResult) -> None:
        task = asyncio.create_task(self._group(result))
        self._groups.add(task)
        task.add_done_callback(self._groups.discard)

    async def _group(self, result: PairedResult) -> None:
        latencies: Latencies = {}
        for name in self._random.sample(sorted(self._clients), len(self._clients)):
            try:
                latencies[name] = await self._clients[name].call(self._next_id())
            except (FailedCallError, OSError) as error:
                result.failed[name, str(error)] += 1
                return
        result.record(latencies)

    def _next_id(self) -> str:
        self._sent += 1
        return f"call-{self._sent}"
