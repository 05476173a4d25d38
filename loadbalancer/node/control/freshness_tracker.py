"""The view, carried out: own facts go in as they happen, marks come out on a period, facts go to siblings
and back."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection

from loadbalancer.balancing.events import AttemptOutcome
from loadbalancer.endpoints import Confidence
from loadbalancer.membership import ViewReceived
from loadbalancer.node.balancer_driver import Driver
from loadbalancer.node.control.timers import Alarm, FleetClock
from loadbalancer.node.endpoint_list import ServerList
from loadbalancer.node.membership_settings import FleetSettings
from loadbalancer.staleness import Marks, Offsets, Stand, View

log = logging.getLogger("loadbalancer")

PERIODS = 4.0  # between two updates of the marks, at most
LEAST_MS = 50.0  # but no less, for what an update costs


class Sight:
    """`on_marks` hears of the marks that have changed."""

    def __init__(
        self,
        settings: FleetSettings,
        clock: FleetClock,
        offsets: Offsets,
        servers: ServerList,
        driver: Driver,
        on_marks: Callable[[dict[str, Confidence]], None],
    ) -> None:
        self.stand: Callable[[], Stand] = lambda: "alone"
        self.view = View(offsets)
        self._settings, self._clock, self._servers = settings, clock, servers
        self._driver, self._on_marks = driver, on_marks
        period_ms = driver.balancer.period_ms
        # A mark has to hold until the next update, so that one late for the bounds would never be given.
        self._every_ms = min(settings.marks_every_ms, max(LEAST_MS, PERIODS * period_ms))
        self._marks = Marks(self.view, period_ms, self._every_ms)
        self._alarm = Alarm(self._update)
        self._listed: tuple[int, float] | None = None  # the revision and confirmation last taken over
        self.refused = 0
        self._shown = (-settings.ask_every_ms, b"")

    def start(self) -> None:
        self._update()

    def close(self) -> None:
        self._alarm.cancel()

    def marks(self) -> dict[str, Confidence]:
        return self._marks.marks

    def saw(self, outcome: AttemptOutcome) -> None:
        """An attempt has ended: on every call's path."""
        now = self._clock.ms()
        self.view.saw(now, outcome.server, outcome.result)
        if outcome.load_report:
            load = outcome.load_report.get("util", outcome.load_report.get("queue"))
            if load is not None:
                self.view.loaded(now, outcome.server, load)

    def members(self, incarnations: Collection[int]) -> None:
        self.view.members(incarnations)
        self._marks.round_ms = self._settings.ask_every_ms * max(1, len(incarnations))

    def told(self, viewed: ViewReceived) -> None:
        why = self.view.told(viewed.received_ms, viewed.incarnation, viewed.view)
        if why is not None:
            self.refused += 1
            if self.refused % 100 == 1:  # one line for the first, then now and then
                log.warning("view: %d not taken, the last from %d: %s", self.refused, viewed.incarnation, why)

    def share(self, now: float) -> bytes:
        """What goes with the next calls; made anew once a period."""
        if now - self._shown[0] >= self._settings.ask_every_ms:
            in_flight, cursor, threshold = self._driver.balancer.pool()
            self.view.figures(now, in_flight, cursor, threshold)
            self._shown = now, self.view.share(now)
        return self._shown[1]

    def status(self, now: float) -> list[dict[str, object]]:
        return self._marks.routes_status(now)

    def _update(self) -> None:
        now = self._clock.ms()
        self._follow_list()
        changed = self._marks.update(now, self.stand())
        if changed:
            self._on_marks(changed)
        self._alarm.at(self._clock.loop_time(now + self._every_ms))

    def _follow_list(self) -> None:
        servers = self._servers
        heard = servers.listed_rev, servers.confirmed_ms
        if heard == self._listed:
            return
        same = self._listed is not None and heard[0] == self._listed[0]
        self._listed = heard
        at = self._clock.ms() if heard[1] < 0.0 else self._clock.of_fleet(heard[1])
        self.view.listed(at, servers.origin_rev, None if same else list(servers.listed))
