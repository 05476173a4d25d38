"""The view, carried out: own facts go in as they happen, marks come out on a period, facts go to siblings
and back."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection

from loadbalancer.balancing.events import AttemptOutcome
from loadbalancer.endpoints import Confidence
from loadbalancer.membership import Viewed
from loadbalancer.node.balancer_driver import Driver
from loadbalancer.node.control.timers import MembershipClock, RestartableTimer
from loadbalancer.node.endpoint_list import EndpointList
from loadbalancer.node.membership_settings import MembershipSettings
from loadbalancer.staleness import (
    ClockOffsets,
    ConfidenceTracker,
    ConnectivityState,
    EdgeStatus,
    FreshnessTable,
)

log = logging.getLogger("loadbalancer")

PERIODS = 4.0  # between two updates of the marks, at most
LEAST_MS = 50.0  # but no less, for what an update costs


class FreshnessTracker:
    """`on_marks` hears of the marks that have changed."""

    def __init__(
        self,
        settings: MembershipSettings,
        clock: MembershipClock,
        offsets: ClockOffsets,
        servers: EndpointList,
        driver: Driver,
        on_marks: Callable[[dict[str, Confidence]], None],
    ) -> None:
        self.connectivity: Callable[[], ConnectivityState] = lambda: "alone"
        self.table = FreshnessTable(offsets)
        self._settings, self._clock, self._servers = settings, clock, servers
        self._driver, self._on_marks = driver, on_marks
        period_ms = driver.balancer.period_ms
        # A mark has to hold until the next update, so that one late for the bounds would never be given.
        self._every_ms = min(settings.confidence_period_ms, max(LEAST_MS, PERIODS * period_ms))
        self._marks = ConfidenceTracker(self.table, period_ms, self._every_ms)
        self._alarm = RestartableTimer(self._update)
        self._listed: tuple[int, float] | None = None  # the revision and confirmation last taken over
        self.rejected_reports = 0
        self._shown = (-settings.probe_period_ms, b"")

    def start(self) -> None:
        self._update()

    def close(self) -> None:
        self._alarm.cancel()

    def confidence(self) -> dict[str, Confidence]:
        return self._marks.levels

    def record_outcome(self, outcome: AttemptOutcome) -> None:
        """An attempt has ended: on every call's path."""
        now = self._clock.now_ms()
        self.table.record_outcome(now, outcome.server, outcome.result)
        if outcome.load_report:
            load = outcome.load_report.get("util", outcome.load_report.get("queue"))
            if load is not None:
                self.table.record_load(now, outcome.server, load)

    def set_members(self, incarnations: Collection[int]) -> None:
        self.table.set_members(incarnations)
        self._marks.round_ms = self._settings.probe_period_ms * max(1, len(incarnations))

    def receive_report(self, viewed: Viewed) -> None:
        why = self.table.receive_report(viewed.now, viewed.incarnation, viewed.view)
        if why is not None:
            self.rejected_reports += 1
            if self.rejected_reports % 100 == 1:  # one line for the first, then now and then
                log.warning(
                    "view: %d not taken, the last from %d: %s", self.rejected_reports, viewed.incarnation, why
                )

    def report(self, now: float) -> bytes:
        """What goes with the next calls; made anew once a period."""
        if now - self._shown[0] >= self._settings.probe_period_ms:
            in_flight, cursor, threshold = self._driver.balancer.pool()
            self.table.record_pool(now, in_flight, cursor, threshold)
            self._shown = now, self.table.make_report(now)
        return self._shown[1]

    def edges(self, now: float) -> list[EdgeStatus]:
        return self._marks.edge_statuses(now)

    def _update(self) -> None:
        now = self._clock.now_ms()
        self._follow_list()
        changed = self._marks.update(now, self.connectivity())
        if changed:
            self._on_marks(changed)
        self._alarm.schedule(self._clock.loop_time(now + self._every_ms))

    def _follow_list(self) -> None:
        servers = self._servers
        heard = servers.revision, servers.confirmed_ms
        if heard == self._listed:
            return
        same = self._listed is not None and heard[0] == self._listed[0]
        self._listed = heard
        at = self._clock.now_ms() if heard[1] < 0.0 else self._clock.from_node_ms(heard[1])
        self.table.confirm_list(at, servers.service_revision, None if same else list(servers.endpoints))
