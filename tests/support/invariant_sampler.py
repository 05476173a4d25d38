"""Samples every node's status continually and checks two invariants: the quotas sum to at most 1, and no two
nodes follow different route versions.

The responses of several nodes never describe the same moment, so the sum of their quotas proves nothing. A
sample describes some moment between its request and its response. The invariants are therefore checked on
what the samples around a moment prove:

- A node had at least the smallest quota of the samples around the moment, unless it released that quota and
  regained it between two samples; the list service frees no quota so quickly. If the samples are too far
  apart, the node's quota counts as 0, as the node may not have run.
- A node followed a version from the first response that reported it until the last request whose response
  reported it.
"""

from __future__ import annotations

import threading
import time
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

SAMPLE_PERIOD_S = 0.03
MAX_GAP_S = 0.5  # maximum time between two samples that are evaluated together
QUOTA_TOLERANCE = 1e-4

Status = dict[str, Any]


@dataclass(slots=True, frozen=True)
class Sample:
    """A node's status; times are in s, by this process's monotonic clock."""

    requested_s: float
    answered_s: float
    status: Status = field(repr=False)

    @property
    def quota(self) -> float:
        return float(self.status["share"])

    @property
    def followed_version(self) -> tuple[Any, ...]:
        routes = self.status["routes"]
        return self.status["incarnation"], routes["stand"], routes["version"]

    def verdicts(self) -> dict[str, str]:
        return {sibling["name"]: sibling["verdict"] for sibling in self.status["siblings"]}


def min_quota(samples: Sequence[Sample], moment: float) -> float:
    """Return a lower bound of a node's quota at the moment; `samples` are the node's, ordered by time."""
    before = bisect_right(samples, moment, key=lambda sample: sample.answered_s) - 1
    after = bisect_left(samples, moment, key=lambda sample: sample.requested_s)
    if (
        before < 0
        or after >= len(samples)
        or samples[after].answered_s - samples[before].requested_s > MAX_GAP_S
    ):
        return 0.0
    return min(sample.quota for sample in samples[before : after + 1])


def quota_violations(nodes: Sequence[Sequence[Sample]]) -> list[str]:
    """Return a description of each moment at which the nodes' quotas summed to more than 1."""
    violations = []
    for moment in sorted(sample.answered_s for samples in nodes for sample in samples):
        quotas = [min_quota(samples, moment) for samples in nodes]
        if sum(quotas) > 1.0 + QUOTA_TOLERANCE:
            violations.append(f"at {moment:.3f}: {quotas}")
    return violations


def version_spans(samples: Sequence[Sample]) -> Iterator[tuple[float, float, int]]:
    """Yield start, end and version of each period in which the node certainly followed one version."""
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
    """Describe each period longer than `bound_s` in which two nodes followed different versions."""
    spans = [(node, *span) for node, samples in enumerate(nodes) for span in version_spans(samples)]
    conflicts = []
    for index, (node, start, end, version) in enumerate(spans):
        for other, other_start, other_end, other_version in spans[:index]:
            overlap_s = min(end, other_end) - max(start, other_start)
            if node != other and version != other_version and overlap_s > bound_s:
                conflicts.append(
                    f"nodes {node} and {other} followed {version} and {other_version} for {overlap_s:.3f} s"
                )
    return conflicts


class StatusSampler:
    """Calls `read_status(i)` periodically for each of `count` nodes, one thread per node, until stopped."""

    def __init__(self, count: int, read_status: Callable[[int], Status]) -> None:
        self.samples: list[list[Sample]] = [[] for _ in range(count)]
        self._read_status, self._stopping = read_status, threading.Event()
        self._threads = [
            threading.Thread(target=self._read, args=(index,), daemon=True) for index in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def _read(self, index: int) -> None:
        while not self._stopping.wait(SAMPLE_PERIOD_S):
            requested_s = time.monotonic()
            try:
                status = self._read_status(index)
            except (OSError, ValueError, KeyError):
                continue  # the node is not running
            self.samples[index].append(Sample(requested_s, time.monotonic(), status))

    def since(self, moment: float, *chosen: int) -> list[Sample]:
        """Return the samples of the chosen nodes, or of all, whose response came after the moment."""
        nodes = [self.samples[index] for index in chosen] if chosen else self.samples
        return [sample for samples in nodes for sample in list(samples) if sample.answered_s > moment]

    def stop(self) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join(10)
