"""Feeds the freshness table and derives confidence levels from it.

This node's observations are recorded as they happen, and confidence levels are updated periodically. Reports
are exchanged with siblings as a part of the probes' payloads.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Final, NamedTuple

from loadbalancer.balancing.events import AttemptOutcome
from loadbalancer.endpoints import Confidence
from loadbalancer.membership import ViewReceived
from loadbalancer.node.balancer_driver import BalancerDriver
from loadbalancer.node.control.clock import MembershipClock
from loadbalancer.node.control.rejection_log import RejectionLog
from loadbalancer.node.control.timers import RestartableTimer
from loadbalancer.node.endpoint_list import EndpointList
from loadbalancer.node.membership_settings import MembershipSettings
from loadbalancer.staleness import (
    ClockOffsets,
    ConfidenceTracker,
    ConnectivityState,
    EdgeStatus,
    FreshnessTable,
)

# Maximum interval between two updates of the confidence levels, in control periods of the balancer. If that
# is shorter than MIN_UPDATE_MS, the maximum is MIN_UPDATE_MS, which bounds the CPU time of the updates.
MAX_UPDATE_PERIODS: Final = 4.0
MIN_UPDATE_MS: Final = 50.0


class _ListVersion(NamedTuple):
    """Identifies the endpoint list last passed to the table: its revision and its last confirmation."""

    revision: int
    confirmed_ms: float


class FreshnessTracker:
    """Keeps the freshness table up to date; calls `on_confidence_change` with the levels that changed."""

    def __init__(
        self,
        settings: MembershipSettings,
        clock: MembershipClock,
        clock_offsets: ClockOffsets,
        endpoint_list: EndpointList,
        driver: BalancerDriver,
        on_confidence_change: Callable[[dict[str, Confidence]], None],
    ) -> None:
        self.connectivity: Callable[[], ConnectivityState] = lambda: "alone"
        self.table = FreshnessTable(clock_offsets)
        self._settings, self._clock, self._endpoint_list = settings, clock, endpoint_list
        self._driver, self._on_confidence_change = driver, on_confidence_change
        period_ms = driver.balancer.period_ms
        # A level must remain valid until the next update; with a longer interval than the maximum ages of the
        # evidence, no server would get a level.
        max_interval_ms = max(MIN_UPDATE_MS, MAX_UPDATE_PERIODS * period_ms)
        self._update_interval_ms = min(settings.confidence_period_ms, max_interval_ms)
        self._confidence = ConfidenceTracker(self.table, period_ms, self._update_interval_ms)
        self._timer = RestartableTimer(self._update)
        self._list_version: _ListVersion | None = None
        self._rejections = RejectionLog("freshness: %d reports rejected, the last from %d: %s")
        self._report = b""
        self._reported_at = -settings.probe_period_ms

    @property
    def rejected_reports(self) -> int:
        """Number of siblings' reports that were rejected since the start."""
        return self._rejections.count

    def start(self) -> None:
        """Update the confidence levels now and then periodically."""
        self._update()

    def close(self) -> None:
        """Stop the updates."""
        self._timer.cancel()

    def levels(self) -> dict[str, Confidence]:
        """Return the current confidence level of every listed server."""
        return self._confidence.levels

    def record_outcome(self, outcome: AttemptOutcome) -> None:
        """Record the end of an attempt; this runs for every attempt and has to be fast."""
        now = self._clock.now_ms()
        self.table.record_outcome(now, outcome.server, outcome.result)
        if outcome.load_report:
            load = outcome.load_report.get("util", outcome.load_report.get("queue"))
            if load is not None:
                self.table.record_load(now, outcome.server, load)

    def set_members(self, incarnations: Collection[int]) -> None:
        """Set the members of the group, without this node."""
        self.table.set_members(incarnations)
        self._confidence.round_ms = self._settings.probe_period_ms * max(1, len(incarnations))

    def receive_report(self, report: ViewReceived) -> None:
        """Pass a sibling's report to the table; count it if it is rejected."""
        rejection = self.table.receive_report(report.received_ms, report.incarnation, report.view)
        if rejection is not None:
            self._rejections.add(report.incarnation, rejection)

    def current_report(self, now: float) -> bytes:
        """Return the encoded report for the next probes; it is refreshed once per probe period."""
        if now - self._reported_at >= self._settings.probe_period_ms:
            in_flight, cursor, threshold = self._driver.balancer.pool()
            self.table.record_pool(now, in_flight, cursor, threshold)
            self._reported_at, self._report = now, self.table.make_report(now)
        return self._report

    def edge_statuses(self, now: float) -> list[EdgeStatus]:
        """Return the status of every edge, for operators."""
        return self._confidence.edge_statuses(now)

    # ------------------------------------------------------------- internals

    def _update(self) -> None:
        now = self._clock.now_ms()
        self._pass_endpoint_list()
        changed = self._confidence.update(now, self.connectivity())
        if changed:
            self._on_confidence_change(changed)
        self._timer.schedule(self._clock.to_loop_time(now + self._update_interval_ms))

    def _pass_endpoint_list(self) -> None:
        """Pass the endpoint list to the table if it was changed or confirmed since the last update."""
        endpoint_list = self._endpoint_list
        version = _ListVersion(endpoint_list.revision, endpoint_list.confirmed_ms)
        if version == self._list_version:
            return
        unchanged = self._list_version is not None and version.revision == self._list_version.revision
        self._list_version = version
        if version.confirmed_ms < 0.0:  # not yet confirmed by discovery
            confirmed_at = self._clock.now_ms()
        else:
            confirmed_at = self._clock.from_node_ms(version.confirmed_ms)
        self.table.confirm_list(
            confirmed_at, endpoint_list.service_revision, None if unchanged else list(endpoint_list.endpoints)
        )
