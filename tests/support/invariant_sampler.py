"""Samples every node's status continually and checks two invariants: quotas sum to 1 at most, and no two
nodes follow different route versions.

Answers of several nodes are never of one moment, so their sum alone proves nothing. A sample is of some
moment between its request and its answer. The invariants are therefore checked on what the samples on both
sides of a moment agree on:

- A node had at least the smallest quota of the samples next to the moment, unless it gave that up and got it
  back between two of them; the list service frees no quota so quickly. Where no two samples are close enough
  it counts as 0, as it may not have run.
- A node followed a version from the first answer that stated it to the last request that was answered so.
"""

from __future__ import annotations

import threading
import time
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

SAMPLE_PERIOD_S = 0.03
MAX_GAP_S = 0.5  # between two samples that may be taken together
SHARE_TOLERANCE = 1e-4

Status = dict[str, Any]


@dataclass(slots=True, frozen=True)
class Sample:
    """A node's status; times in s of this process's monotonic clock."""

    requested_s: float
    answered_s: float
    status: Status = field(repr=False)

    @property
    def share(self) -> float:
        return float(self.status["share"])

    @property
    def followed_version(self) -> tuple[Any, ...]:
        routes = self.status["routes"]
        return self.status["incarnation"], routes["stand"], routes["version"]

    def verdicts(self) -> dict[str, str]:
        return {row["name"]: row["verdict"] for row in self.status["siblings"]}


def min_share(samples: Sequence[Sample], moment: float) -> float:
    """The smallest quota that this node had at the moment, as its samples show; `samples` in their order."""
    before = bisect_right(samples, moment, key=lambda sample: sample.answered_s) - 1
    after = bisect_left(samples, moment, key=lambda sample: sample.requested_s)
    if (
        before < 0
        or after >= len(samples)
        or samples[after].answered_s - samples[before].requested_s > MAX_GAP_S
    ):
        return 0.0
    return min(sample.share for sample in samples[before : after + 1])


def quota_violations(nodes: Sequence[Sequence[Sample]]) -> list[str]:
    """The moments at which the nodes' quotas summed to more than 1."""
    found = []
    for moment in sorted(sample.answered_s for samples in nodes for sample in samples):
        shares = [min_share(samples, moment) for samples in nodes]
        if sum(shares) > 1.0 + SHARE_TOLERANCE:
            found.append(f"at {moment:.3f}: {shares}")
    return found


def version_spans(samples: Sequence[Sample]) -> Iterator[tuple[float, float, int]]:
    """From when to when this node certainly followed which version."""
    start: Sample | None = None
    for sample, later in zip(samples, [*samples[1:], None], strict=True):
        start = start or sample
        if (
            later is None
            or later.followed_version != sample.followed_version
            or later.answered_s - sample.requested_s > MAX_GAP_S
        ):
            if sample.followed_version[1] == "following":
                yield start.answered_s, sample.requested_s, sample.followed_version[2]
            start = None


def version_conflicts(nodes: Sequence[Sequence[Sample]], bound_s: float) -> list[str]:
    """The times, longer than the bound, in which two nodes followed different versions."""
    followed = [(at, *run) for at, samples in enumerate(nodes) for run in version_spans(samples)]
    found = []
    for index, (node, start, end, version) in enumerate(followed):
        for other, its_start, its_end, its_version in followed[:index]:
            both = min(end, its_end) - max(start, its_start)
            if node != other and version != its_version and both > bound_s:
                found.append(f"nodes {node} and {other} ran {version} and {its_version} for {both:.3f} s")
    return found


class StatusSampler:
    """Calls `read_status(i)` for each of `count` nodes, on a thread for each, until it is stopped."""

    def __init__(self, count: int, read_status: Callable[[int], Status]) -> None:
        self.samples: list[list[Sample]] = [[] for _ in range(count)]
        self._read_status, self._stopping = read_status, threading.Event()
        self._threads = [threading.Thread(target=self._read, args=(at,), daemon=True) for at in range(count)]
        for thread in self._threads:
            thread.start()

    def _read(self, at: int) -> None:
        while not self._stopping.wait(SAMPLE_PERIOD_S):
            requested_s = time.monotonic()
            try:
                status = self._read_status(at)
            except (OSError, ValueError, KeyError):
                continue  # the node is not running
            self.samples[at].append(Sample(requested_s, time.monotonic(), status))

    def since(self, moment: float, *chosen: int) -> list[Sample]:
        """What these nodes, or all, answered after the moment."""
        nodes = [self.samples[at] for at in chosen] if chosen else self.samples
        return [sample for samples in nodes for sample in list(samples) if sample.answered_s > moment]

    def stop(self) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join(10)
