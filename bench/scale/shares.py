"""The sums of shares that all nodes take, by group, at moments that the hollow processes sample.

Processes sample at the same moments of the machine's clock. Where one was late by more than SKEW_MS, its part
of a sum is the lesser of its samples before and after the moment, so that no share is counted twice that one
node gave up and another took meanwhile; such a sum may miss an excess that was shorter than the gap.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Mapping, Sequence

from msgspec import Struct

from bench.scale.messages import Sample

SKEW_MS = 25.0  # under a renewal's round trip, in which a share passes from one node to another
WHOLE = 1.0 + 1e-5  # real nodes tell their share to six digits
UNDER_WAY = 1.05  # while a change is under way
LITTLE = 0.95

Shares = Mapping[str, float]


class Sums(Struct, frozen=True):
    """Over all groups and moments."""

    moments: int  # summed
    at_once: int  # of these, the ones that every process sampled at once
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


class _Process:
    """The samples of one process, by tick and by time."""

    def __init__(self, samples: Iterable[Sample], every_s: float) -> None:
        self.samples = sorted(samples, key=lambda sample: sample.tick)
        self.by_tick = {sample.tick: sample for sample in self.samples}
        self._times = [sample.tick * every_s + sample.late_ms / 1000.0 for sample in self.samples]

    def around(self, moment: float) -> Shares | None:
        """The lesser of what it took before and after; None before its first sample and past its last."""
        after = bisect_right(self._times, moment)
        if not 0 < after < len(self._times):
            return None
        before, later = self.samples[after - 1].shares, self.samples[after].shares
        return {group: min(share, later[group]) for group, share in before.items() if group in later}


def sum_up(
    samples: Sequence[Iterable[Sample]], real: Sequence[RealShare], every_s: float, groups: Iterable[str]
) -> Sums:
    """`samples` of each process; `groups` are all that have a node running."""
    processes = [_Process(of_process, every_s) for of_process in samples]
    ticks = sorted(set().union(*(process.by_tick for process in processes)))
    known = sorted(groups)
    totals: list[tuple[float, str]] = []
    moments = at_once = 0
    for tick in ticks:
        found = _at_once(processes, tick)
        at_once += found is not None
        if found is None:
            found = _around(processes, tick * every_s)
        if found is None:
            continue
        moments += 1
        total = _total(found, real, tick * every_s)
        totals += [(total.get(group, 0.0), group) for group in known]
    most, most_group = max(totals, default=(0.0, ""))
    return Sums(
        moments=moments,
        at_once=at_once,
        most=round(most, 6),
        most_group=most_group,
        over_whole=sum(total > WHOLE for total, _ in totals),
        over_under_way=sum(total > UNDER_WAY for total, _ in totals),
        little=round(sum(total < LITTLE for total, _ in totals) / max(1, len(totals)), 5),
    )


def _at_once(processes: Sequence[_Process], tick: int) -> list[Shares] | None:
    found = [process.by_tick[tick] for process in processes if tick in process.by_tick]
    if len(found) < len(processes):
        return None
    late = [sample.late_ms for sample in found]
    return [sample.shares for sample in found] if max(late) - min(late) <= SKEW_MS else None


def _around(processes: Sequence[_Process], moment: float) -> list[Shares] | None:
    found = [process.around(moment) for process in processes]
    known = [shares for shares in found if shares is not None]
    return known if len(known) == len(processes) else None


def _total(found: Iterable[Shares], real: Iterable[RealShare], moment: float) -> Shares:
    total: dict[str, float] = {}
    for shares in found:
        for group, share in shares.items():
            total[group] = total.get(group, 0.0) + share
    for node in real:
        total[node.group] = total.get(node.group, 0.0) + node.at(moment)
    return total
