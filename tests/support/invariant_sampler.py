"""What every node of a fleet says of itself, read over and over, and the two rules that hold at any moment.

Answers of several nodes are never of one moment, so no sum of them proves anything by itself. A sample is
known to be of some moment between its request and its answer. The rules are therefore checked on what
samples on both sides of a moment agree on:

- A node took at least the least of the samples next to the moment, unless it left that share and came back
  to it between two of them; the list service frees no share so quickly. Where no two samples stand close
  enough, it counts for nothing (it may not have run).
- A node ran a version from the first answer that said so to the last request that was answered so.
"""

from __future__ import annotations

import threading
import time
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

EVERY_S = 0.03
GAP_S = 0.5  # between two samples that may be taken together
LEAST = 1e-4

Status = dict[str, Any]


@dataclass(slots=True, frozen=True)
class Sample:
    sent: float  # s, this process's monotonic clock
    came: float
    status: Status = field(repr=False)

    @property
    def share(self) -> float:
        return float(self.status["share"])

    @property
    def run(self) -> tuple[Any, ...]:
        routes = self.status["routes"]
        return self.status["incarnation"], routes["stand"], routes["version"]

    def verdicts(self) -> dict[str, str]:
        return {row["name"]: row["verdict"] for row in self.status["siblings"]}


def least_share(samples: Sequence[Sample], moment: float) -> float:
    """The least that this node took at the moment, as far as its samples show; `samples` in their order."""
    before = bisect_right(samples, moment, key=lambda sample: sample.came) - 1
    after = bisect_left(samples, moment, key=lambda sample: sample.sent)
    if before < 0 or after >= len(samples) or samples[after].came - samples[before].sent > GAP_S:
        return 0.0
    return min(sample.share for sample in samples[before : after + 1])


def overtaken(nodes: Sequence[Sequence[Sample]]) -> list[str]:
    """The moments at which nodes took more than 1 together."""
    found = []
    for moment in sorted(sample.came for samples in nodes for sample in samples):
        shares = [least_share(samples, moment) for samples in nodes]
        if sum(shares) > 1.0 + LEAST:
            found.append(f"at {moment:.3f}: {shares}")
    return found


def runs(samples: Sequence[Sample]) -> Iterator[tuple[float, float, int]]:
    """From when to when this node surely followed which version."""
    start: Sample | None = None
    for sample, then in zip(samples, [*samples[1:], None], strict=True):
        start = start or sample
        if then is None or then.run != sample.run or then.came - sample.sent > GAP_S:
            if sample.run[1] == "following":
                yield start.came, sample.sent, sample.run[2]
            start = None


def apart(nodes: Sequence[Sequence[Sample]], bound_s: float) -> list[str]:
    """The times, longer than the bound, in which two nodes followed different versions."""
    followed = [(at, *run) for at, samples in enumerate(nodes) for run in runs(samples)]
    found = []
    for index, (one, start, end, version) in enumerate(followed):
        for other, its_start, its_end, its_version in followed[:index]:
            both = min(end, its_end) - max(start, its_start)
            if one != other and version != its_version and both > bound_s:
                found.append(f"nodes {one} and {other} ran {version} and {its_version} for {both:.3f} s")
    return found


class Watch:
    """Reads `ask(i)` of each of so many nodes on a thread of its own until it is stopped."""

    def __init__(self, count: int, ask: Callable[[int], Status]) -> None:
        self.samples: list[list[Sample]] = [[] for _ in range(count)]
        self._ask, self._stopping = ask, threading.Event()
        self._threads = [threading.Thread(target=self._read, args=(at,), daemon=True) for at in range(count)]
        for thread in self._threads:
            thread.start()

    def _read(self, at: int) -> None:
        while not self._stopping.wait(EVERY_S):
            sent = time.monotonic()
            try:
                status = self._ask(at)
            except (OSError, ValueError, KeyError):
                continue  # it does not run, or not now
            self.samples[at].append(Sample(sent, time.monotonic(), status))

    def since(self, moment: float, *chosen: int) -> list[Sample]:
        """What these nodes, or all, answered after the moment."""
        nodes = [self.samples[at] for at in chosen] if chosen else self.samples
        return [sample for samples in nodes for sample in list(samples) if sample.came > moment]

    def stop(self) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join(10)
