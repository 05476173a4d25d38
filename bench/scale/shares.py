"""The sums of shares that all nodes take, by group, at moments that every hollow process has sampled."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping, Sequence

from msgspec import Struct

from bench.scale.messages import Sample

SKEW_MS = 25.0  # samples of one moment that lie further apart are not summed: under a renewal's round trip
WHOLE = 1.0 + 1e-5  # real nodes tell their share to six digits
UNDER_WAY = 1.05  # while a change is under way
LITTLE = 0.95


class Sums(Struct, frozen=True):
    """Over all groups and moments."""

    moments: int  # summed
    skipped: int  # not sampled by all processes, or too far apart
    most: float
    most_group: str
    over_whole: int  # sums of one group at one moment
    over_under_way: int
    little: float  # share of sums under LITTLE


class RealShare:
    """What a real node took when it was asked; between two answers it counts with the lesser."""

    def __init__(self, group: str) -> None:
        self.group = group
        self._times: list[float] = []
        self._shares: list[float] = []

    def add(self, at: float, share: float) -> None:
        self._times.append(at)
        self._shares.append(share)

    def at(self, moment: float) -> float:
        after = bisect_left(self._times, moment)
        if not 0 < after < len(self._times):
            return 0.0
        return min(self._shares[after - 1], self._shares[after])


def sum_up(
    samples: Sequence[Iterable[Sample]], real: Sequence[RealShare], every_s: float, groups: Iterable[str]
) -> Sums:
    """`samples` of each process; `groups` are all that have a node running."""
    by_tick: dict[int, list[Sample]] = {}
    for of_process in samples:
        for sample in of_process:
            by_tick.setdefault(sample.tick, []).append(sample)
    known = sorted(groups)
    totals: list[tuple[float, str]] = []
    moments = skipped = 0
    for tick, found in sorted(by_tick.items()):
        if len(found) < len(samples) or _skew(found) > SKEW_MS:
            skipped += 1
            continue
        moments += 1
        total = _total(found, real, tick * every_s)
        totals += [(total.get(group, 0.0), group) for group in known]
    most, most_group = max(totals, default=(0.0, ""))
    return Sums(
        moments=moments,
        skipped=skipped,
        most=round(most, 6),
        most_group=most_group,
        over_whole=sum(total > WHOLE for total, _ in totals),
        over_under_way=sum(total > UNDER_WAY for total, _ in totals),
        little=round(sum(total < LITTLE for total, _ in totals) / max(1, len(totals)), 5),
    )


def _skew(found: Iterable[Sample]) -> float:
    late = [sample.late_ms for sample in found]
    return max(late) - min(late)


def _total(found: Iterable[Sample], real: Iterable[RealShare], moment: float) -> Mapping[str, float]:
    total: dict[str, float] = {}
    for sample in found:
        for group, share in sample.shares.items():
            total[group] = total.get(group, 0.0) + share
    for node in real:
        total[node.group] = total.get(node.group, 0.0) + node.at(moment)
    return total
