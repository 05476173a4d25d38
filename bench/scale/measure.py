"""Collects the figures of each phase of a control-path run from all processes into the run's record."""

from __future__ import annotations

import statistics
import time
from collections.abc import Sequence

from bench.scale.children import merge_times, sum_counts
from bench.scale.messages import Measured
from bench.scale.processes import Meter, Usage
from bench.scale.quotas import sum_up
from bench.scale.records import Role, Run
from bench.scale.world import World

LOOP_LATE_MS = 100.0  # p99 of timer delays above which the machine, not the program, dominates the times
PERCENTILES = (50.0, 99.0)


class PhaseRecorder:
    """Records phases; each covers the time since the one before it."""

    def __init__(self, world: World, run: Run) -> None:
        self.world, self.run = world, run
        self.last: list[Measured] = []
        self._meter = Meter(world.program.watched)
        self._started = time.monotonic()

    async def record_phase(self, name: str) -> list[Measured]:
        usages = self._meter.usages()
        measured = await self.world.children.collect()
        seconds = time.monotonic() - self._started
        self.run.add("platform", "seconds", round(seconds, 1), "s", name)
        await self._add_roles(usages, name)
        self._add_hollow(usages, measured, seconds, name)
        self._add_renewals(measured, seconds, name)
        self._add_quotas(measured, name)
        faults = sum(process.faults for process in measured)
        if faults:
            raise RuntimeError(f"{faults} tasks of hollow processes failed, see their logs")
        self._meter, self._started = Meter(self.world.program.watched), time.monotonic()
        self.last = measured
        return measured

    # -------------------------------------------------------------------- processes

    async def _add_roles(self, usages: Sequence[Usage], phase: str) -> None:
        leader = await self.world.leader_name()
        for role in ("node", "agent"):
            self._add_role(role, [usage for usage in usages if usage.role == role], phase)
        service = [usage for usage in usages if usage.role == "service"]
        self._add_role("leader", [usage for usage in service if usage.name == leader], phase)
        self._add_role("follower", [usage for usage in service if usage.name != leader], phase)
        self._add_each_node([usage for usage in usages if usage.role == "node"], phase)

    def _add_role(self, role: Role, usages: Sequence[Usage], phase: str) -> None:
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
            for index, direction in enumerate(("in", "out")):
                values = [usage.by_kind[kind][index] for usage in usages if kind in usage.by_kind]
                if any(values):
                    median = round(statistics.median(values), 1)
                    self.run.add(
                        role, f"bytes_{direction}_{kind}_median", median, "bytes/s", phase, len(values)
                    )

    def _add_each_node(self, usages: Sequence[Usage], phase: str) -> None:
        """Add the figures of each real node, named with the size of its service."""
        sizes = {service.index: service.nodes for service in self.world.platform.services}
        service_size = {place.name: sizes[place.service] for place in self.world.real_places}
        for usage in usages:
            name = f"{usage.name} (service of {service_size[usage.name]})"
            self.run.add("node", f"cpu_percent {name}", round(usage.cpu_percent, 3), "% of a core", phase)
            self.run.add("node", f"bytes_in {name}", round(usage.bytes_in, 1), "bytes/s", phase)
            self.run.add("node", f"bytes_out {name}", round(usage.bytes_out, 1), "bytes/s", phase)

    def _add_hollow(
        self, usages: Sequence[Usage], measured: Sequence[Measured], seconds: float, phase: str
    ) -> None:
        """Add means over all hollow nodes; these include the agent's code and its traffic."""
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
        probes = sum(process.probes for process in measured) / nodes / seconds
        self.run.add("hollow", "probes_mean", round(probes, 3), "1/s", phase, nodes)
        loop_late = merge_times(process.loop_late for process in measured)
        self.run.add("hollow", "loop_late_p99", loop_late.at(99.0), "ms", phase, loop_late.count)
        late = (loop_late.at(99.0) or 0.0) > LOOP_LATE_MS
        self.run.add("machine", "kept_up", not late, "", phase)
        self.run.add("hollow", "loop_late_max", loop_late.maximum(), "ms", phase, loop_late.count)
        for verdict, count in sum_counts(process.verdicts for process in measured).items():
            self.run.add("hollow", f"verdict {verdict} at the end", count, "siblings", phase)

    # --------------------------------------------------------------------- protocol

    def _add_renewals(self, measured: Sequence[Measured], seconds: float, phase: str) -> None:
        run = self.run
        for name in ("renewals", "by_agent", "enrolments", "changes"):
            times = merge_times(getattr(process, name) for process in measured)
            if times.count:
                for percentile in PERCENTILES:
                    value = times.at(percentile)
                    run.add("hollow", f"{name}_p{percentile:.0f}", value, "ms", phase, times.count)
                run.add("hollow", f"{name}_max", times.maximum(), "ms", phase, times.count)
        renewed = sum(process.renewed for process in measured)
        run.add("service", "renewals", round(renewed / seconds, 1), "1/s", phase, renewed)
        for name in ("late", "unknown", "yielded"):
            count = sum(getattr(process, name) for process in measured)
            run.add("hollow", name, count, "count", phase, renewed)
        for what, count in sorted(sum_counts(process.failed_calls for process in measured).items()):
            run.add("hollow", f"refused: {what}", count, "count", phase)

    def _add_quotas(self, measured: Sequence[Measured], phase: str) -> None:
        world = self.world
        sums = sum_up(
            [process.samples for process in measured], world.real_quotas, world.options.sample_s, world.groups
        )
        add = self.run.add
        add("platform", "share_sum_max", sums.max_sum, "", phase, sums.moments)
        add("platform", "share_sum_max_group", sums.max_sum_group, "", phase)
        add("platform", "share_sums_over_1", sums.over_max, "count", phase, sums.moments)
        add("platform", "share_sums_over_1.05", sums.over_change_max, "count", phase, sums.moments)
        add("platform", "share_sums_under_0.95", sums.fraction_below_min, "share", phase, sums.moments)
        add("platform", "share_moments_at_once", sums.at_once, "count", phase, sums.moments)
