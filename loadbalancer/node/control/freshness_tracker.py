"""Feeds the freshness table and derives confidence levels from it.

This node's observations go in as they happen, confidence levels come out periodically, and reports go to
siblings and come from them on the probes' payloads.
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

MAX_UPDATE_PERIODS: Final = 4.0  # control periods between two updates of the confidence levels, at most,
MIN_UPDATE_MS: Final = 50.0  # but no less time than this, which bounds the CPU time of updates


class _ListVersion(NamedTuple):
    """The endpoint list as last passed to the table: discovery's revision and its last confirmation."""

    revision: int
    confirmed_ms: float


class FreshnessTracker:
    """Keeps the freshness table current; `on_levels` is called with the confidence levels that changed."""

    def __init__(
        self,
        settings: MembershipSettings,
        clock: MembershipClock,
        clock_offsets: ClockOffsets,
        servers: EndpointList,
        driver: BalancerDriver,
        on_levels: Callable[[dict[str, Confidence]], None],
    ) -> None:
        self.connectivity: Callable[[], ConnectivityState] = lambda: "alone"
        self.table = FreshnessTable(clock_offsets)
        self._settings, self._clock, self._servers = settings, clock, servers
        self._driver, self._on_levels = driver, on_levels
        period_ms = driver.balancer.period_ms
        # A level has to hold until the next update: updates too rare for the maximum ages would give none.
        longest_ms = max(MIN_UPDATE_MS, MAX_UPDATE_PERIODS * period_ms)
        self._update_every_ms = min(settings.confidence_period_ms, longest_ms)
        self._confidence = ConfidenceTracker(self.table, period_ms, self._update_every_ms)
        self._timer = RestartableTimer(self._update)
        self._list_version: _ListVersion | None = None
        self._rejections = RejectionLog("freshness: %d reports rejected, the last from %d: %s")
        self._report = b""
        self._reported_at = -settings.probe_period_ms

    @property
    def rejected_reports(self) -> int:
        """Siblings' reports that were rejected since the start."""
        return self._rejections.count

    def start(self) -> None:
        """Update the confidence levels now and periodically."""
        self._update()

    def close(self) -> None:
        """Stop the updates."""
        self._timer.cancel()

    def levels(self) -> dict[str, Confidence]:
        """The current confidence level of every listed server."""
        return self._confidence.levels

    def record_outcome(self, outcome: AttemptOutcome) -> None:
        """An attempt at a server ended. Runs on the path of every call."""
        now = self._clock.now_ms()
        self.table.record_outcome(now, outcome.server, outcome.result)
        if outcome.load_report:
            load = outcome.load_report.get("util", outcome.load_report.get("queue"))
            if load is not None:
                self.table.record_load(now, outcome.server, load)

    def set_members(self, incarnations: Collection[int]) -> None:
        """All members of the group but this node."""
        self.table.set_members(incarnations)
        self._confidence.round_ms = self._settings.probe_period_ms * max(1, len(incarnations))

    def receive_report(self, viewed: ViewReceived) -> None:
        """Use a sibling's report."""
        rejection = self.table.receive_report(viewed.received_ms, viewed.incarnation, viewed.view)
        if rejection is not None:
            self._rejections.add(viewed.incarnation, rejection)

    def current_report(self, now: float) -> bytes:
        """The encoded report for the next probes; made anew once a probe period."""
        if now - self._reported_at >= self._settings.probe_period_ms:
            in_flight, cursor, threshold = self._driver.balancer.pool()
            self.table.record_pool(now, in_flight, cursor, threshold)
            self._reported_at, self._report = now, self.table.make_report(now)
        return self._report

    def edge_statuses(self, now: float) -> list[EdgeStatus]:
        """The status of every edge, for operators."""
        return self._confidence.edge_statuses(now)

    # ------------------------------------------------------------- internals

    def _update(self) -> None:
        now = self._clock.now_ms()
        self._follow_list()
        changed = self._confidence.update(now, self.connectivity())
        if changed:
            self._on_levels(changed)
        self._timer.schedule(self._clock.to_loop_time(now + self._update_every_ms))

    def _follow_list(self) -> None:
        """Pass the endpoint list to the table where it was changed or confirmed."""
        servers = self._servers
        version = _ListVersion(servers.revision, servers.confirmed_ms)
        if version == self._list_version:
            return
        unchanged = self._list_version is not None and version.revision == self._list_version.revision
        self._list_version = version
        if version.confirmed_ms < 0.0:  # not confirmed by discovery yet
            confirmed_at = self._clock.now_ms()
        else:
            confirmed_at = self._clock.from_node_ms(version.confirmed_ms)
        self.table.confirm_list(
            confirmed_at, servers.service_revision, None if unchanged else list(servers.endpoints)
        )
