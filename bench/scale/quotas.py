"""Sums of the quotas of all nodes, by group, at the times sampled by the processes of hollow nodes.

Processes sample at the same times of the machine's clock. If one was late by more than SKEW_MS, the sum uses
the smaller of its samples before and after that time, so that quota which moved from one node to another
meanwhile is not counted twice. Such a sum may miss an excess that was shorter than the gap.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Mapping, Sequence

from msgspec import Struct

from bench.scale.messages import Sample

SKEW_MS = 25.0  # under a renewal's round trip, in which quota moves from one node to another
MAX_SUM = 1.0 + 1e-5  # real nodes report their quota with six digits
MAX_SUM_DURING_CHANGE = 1.05  # bound while a change is in progress
MIN_SUM = 0.95

Quotas = Mapping[str, float]


class Sums(Struct, frozen=True):
    """Statistics of the sums over all groups and sampling times."""

    moments: int  # sampling times with a sum
    at_once: int  # those of them that every process sampled without skew
    max_sum: float
    max_sum_group: str
    over_max: int  # number of sums over MAX_SUM
    over_change_max: int  # number of sums over MAX_SUM_DURING_CHANGE
    fraction_below_min: float  # fraction of sums under MIN_SUM


class RealNodeQuota:
    """The polled quota of a real node; between two polls the smaller value is used."""

    def __init__(self, group: str) -> None:
        self.group = group
        self._times: list[float] = []
        self._quotas: list[float] = []

    def add(self, at: float, quota: float) -> None:
        self._times.append(at)
        self._quotas.append(quota)

    def at(self, moment: float) -> float:
        after = bisect_left(self._times, moment)
        if not 0 < after < len(self._times):
            return 0.0
        return min(self._quotas[after - 1], self._quotas[after])


class _Process:
    """The samples of one process, by tick and by time."""

    def __init__(self, samples: Iterable[Sample], every_s: float) -> None:
        self.samples = sorted(samples, key=lambda sample: sample.tick)
        self.by_tick = {sample.tick: sample for sample in self.samples}
        self._times = [sample.tick * every_s + sample.late_ms / 1000.0 for sample in self.samples]

    def around(self, moment: float) -> Quotas | None:
        """Return the smaller of the samples before and after, or None outside of the sampled time."""
        after = bisect_right(self._times, moment)
        if not 0 < after < len(self._times):
            return None
        before, later = self.samples[after - 1].quotas, self.samples[after].quotas
        return {group: min(quota, later[group]) for group, quota in before.items() if group in later}


def sum_up(
    samples: Sequence[Iterable[Sample]], real: Sequence[RealNodeQuota], every_s: float, groups: Iterable[str]
) -> Sums:
    """Return the sums' statistics from the samples of each process; `groups` are all groups with nodes."""
    processes = [_Process(of_process, every_s) for of_process in samples]
    ticks = sorted(set().union(*(process.by_tick for process in processes)))
    known = sorted(groups)
    totals: list[tuple[float, str]] = []
    moments = at_once = 0
    for tick in ticks:
        found = _samples_at_tick(processes, tick)
        at_once += found is not None
        if found is None:
            found = _samples_around(processes, tick * every_s)
        if found is None:
            continue
        moments += 1
        total = _total(found, real, tick * every_s)
        totals += [(total.get(group, 0.0), group) for group in known]
    max_sum, max_sum_group = max(totals, default=(0.0, ""))
    return Sums(
        moments=moments,
        at_once=at_once,
        max_sum=round(max_sum, 6),
        max_sum_group=max_sum_group,
        over_max=sum(total > MAX_SUM for total, _ in totals),
        over_change_max=sum(total > MAX_SUM_DURING_CHANGE for total, _ in totals),
        fraction_below_min=round(sum(total < MIN_SUM for total, _ in totals) / max(1, len(totals)), 5),
    )


def _samples_at_tick(processes: Sequence[_Process], tick: int) -> list[Quotas] | None:
    found = [process.by_tick[tick] for process in processes if tick in process.by_tick]
    if len(found) < len(processes):
        return None
    late = [sample.late_ms for sample in found]
    return [sample.quotas for sample in found] if max(late) - min(late) <= SKEW_MS else None


def _samples_around(processes: Sequence[_Process], moment: float) -> list[Quotas] | None:
    found = [process.around(moment) for process in processes]
    known = [quotas for quotas in found if quotas is not None]
    return known if len(known) == len(processes) else None


def _total(found: Iterable[Quotas], real: Iterable[RealNodeQuota], moment: float) -> Quotas:
    total: dict[str, float] = {}
    for quotas in found:
        for group, quota in quotas.items():
            total[group] = total.get(group, 0.0) + quota
    for node in real:
        total[node.group] = total.get(node.group, 0.0) + node.at(moment)
    return total
