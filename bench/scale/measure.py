"""The figures of one phase of a control-path run, from all its processes, into the run's record."""

from __future__ import annotations

import statistics
import time
from collections.abc import Sequence

from bench.scale.children import added, merged
from bench.scale.messages import Measured
from bench.scale.processes import Meter, Usage
from bench.scale.records import Role, Run
from bench.scale.shares import sum_up
from bench.scale.world import World

LOOP_LATE_MS = 100.0  # a timer of ours so late in one of 100 cases: times tell of the machine
PERCENTILES = (50.0, 99.0)


class Measuring:
    """Each `phase` covers the time since the one before it."""

    def __init__(self, world: World, run: Run) -> None:
        self.world, self.run = world, run
        self.last: list[Measured] = []
        self._meter = Meter(world.program.watched)
        self._began = time.monotonic()

    async def phase(self, name: str) -> list[Measured]:
        usages = self._meter.usages()
        measured = await self.world.children.collect()
        seconds = time.monotonic() - self._began
        self.run.add("platform", "seconds", round(seconds, 1), "s", name)
        await self._roles(usages, name)
        self._hollow(usages, measured, seconds, name)
        self._renewals(measured, seconds, name)
        self._shares(measured, name)
        faults = sum(one.faults for one in measured)
        if faults:
            raise RuntimeError(f"{faults} tasks of hollow processes failed, see their logs")
        self._meter, self._began = Meter(self.world.program.watched), time.monotonic()
        self.last = measured
        return measured

    # -------------------------------------------------------------------- processes

    async def _roles(self, usages: Sequence[Usage], phase: str) -> None:
        leader = await self.world.leader_name()
        for role in ("node", "agent"):
            self._spread(role, [usage for usage in usages if usage.role == role], phase)
        service = [usage for usage in usages if usage.role == "service"]
        self._spread("leader", [usage for usage in service if usage.name == leader], phase)
        self._spread("follower", [usage for usage in service if usage.name != leader], phase)
        self._each_node([usage for usage in usages if usage.role == "node"], phase)

    def _spread(self, role: Role, usages: Sequence[Usage], phase: str) -> None:
        if not usages:
            return
        for name, unit in (
            ("cpu_percent", "% of a core"),
            ("rss_mb", "MB"),
            ("bytes_in", "bytes/s"),
            ("bytes_out", "bytes/s"),
            ("receives", "1/s"),
            ("sends", "1/s"),
        ):
            values = [float(getattr(usage, name)) for usage in usages]
            self.run.add(
                role, f"{name}_median", round(statistics.median(values), 3), unit, phase, len(values)
            )
            self.run.add(role, f"{name}_max", round(max(values), 3), unit, phase, len(values))
        for kind in usages[0].by_kind:
            for at, way in enumerate(("in", "out")):
                values = [usage.by_kind[kind][at] for usage in usages if kind in usage.by_kind]
                if any(values):
                    median = round(statistics.median(values), 1)
                    self.run.add(role, f"bytes_{way}_{kind}_median", median, "bytes/s", phase, len(values))

    def _each_node(self, usages: Sequence[Usage], phase: str) -> None:
        """A real node by the size of its service."""
        sizes = {service.index: service.nodes for service in self.world.platform.services}
        of_name = {place.name: sizes[place.service] for place in self.world.real_places}
        for usage in usages:
            name = f"{usage.name} (service of {of_name[usage.name]})"
            self.run.add("node", f"cpu_percent {name}", round(usage.cpu_percent, 3), "% of a core", phase)
            self.run.add("node", f"bytes_in {name}", round(usage.bytes_in, 1), "bytes/s", phase)
            self.run.add("node", f"bytes_out {name}", round(usage.bytes_out, 1), "bytes/s", phase)

    def _hollow(
        self, usages: Sequence[Usage], measured: Sequence[Measured], seconds: float, phase: str
    ) -> None:
        """Of all hollow nodes together, for one: the agent's code and its traffic are in it."""
        nodes = max(1, len(self.world.hollow))
        hollow = [usage for usage in usages if usage.role == "hollow"]
        for name, unit in (
            ("cpu_percent", "% of a core"),
            ("bytes_in", "bytes/s"),
            ("bytes_out", "bytes/s"),
            ("receives", "1/s"),
            ("sends", "1/s"),
        ):
            mean = sum(float(getattr(usage, name)) for usage in hollow) / nodes
            self.run.add("hollow", f"{name}_mean", round(mean, 3), unit, phase, nodes)
        busiest = max((usage.cpu_percent for usage in hollow), default=0.0)
        self.run.add("hollow", "process_cpu_percent_max", round(busiest, 1), "% of a core", phase)
        rss = sum(usage.rss_mb for usage in hollow)
        self.run.add("hollow", "rss_mb_mean", round(rss / nodes, 3), "MB", phase, nodes)
        probes = sum(one.probes for one in measured) / nodes / seconds
        self.run.add("hollow", "probes_mean", round(probes, 3), "1/s", phase, nodes)
        loop_late = merged(one.loop_late for one in measured)
        self.run.add("hollow", "loop_late_p99", loop_late.at(99.0), "ms", phase, loop_late.count)
        late = (loop_late.at(99.0) or 0.0) > LOOP_LATE_MS
        self.run.add("machine", "kept_up", not late, "", phase)
        self.run.add("hollow", "loop_late_max", loop_late.most(), "ms", phase, loop_late.count)
        for verdict, count in added(one.verdicts for one in measured).items():
            self.run.add("hollow", f"verdict {verdict} at the end", count, "siblings", phase)

    # --------------------------------------------------------------------- protocol

    def _renewals(self, measured: Sequence[Measured], seconds: float, phase: str) -> None:
        run = self.run
        for name in ("renewals", "by_agent", "enrolments", "changes"):
            times = merged(getattr(one, name) for one in measured)
            if times.count:
                for percentile in PERCENTILES:
                    value = times.at(percentile)
                    run.add("hollow", f"{name}_p{percentile:.0f}", value, "ms", phase, times.count)
                run.add("hollow", f"{name}_max", times.most(), "ms", phase, times.count)
        renewed = sum(one.renewed for one in measured)
        run.add("service", "renewals", round(renewed / seconds, 1), "1/s", phase, renewed)
        for name in ("late", "unknown", "yielded"):
            count = sum(getattr(one, name) for one in measured)
            run.add("hollow", name, count, "count", phase, renewed)
        for what, count in sorted(added(one.refused for one in measured).items()):
            run.add("hollow", f"refused: {what}", count, "count", phase)

    def _shares(self, measured: Sequence[Measured], phase: str) -> None:
        world = self.world
        sums = sum_up(
            [one.samples for one in measured], world.real_shares, world.options.sample_s, world.groups
        )
        add = self.run.add
        add("platform", "share_sum_max", sums.most, "", phase, sums.moments)
        add("platform", "share_sum_max_group", sums.most_group, "", phase)
        add("platform", "share_sums_over_1", sums.over_whole, "count", phase, sums.moments)
        add("platform", "share_sums_over_1.05", sums.over_under_way, "count", phase, sums.moments)
        add("platform", "share_sums_under_0.95", sums.little, "share", phase, sums.moments)
        add("platform", "share_moments_at_once", sums.at_once, "count", phase, sums.moments)
