"""Service time `S`: one clock, in ms, by which route versions are activated (docs/fleet.md, "Service time").

Pure: readings of clocks come in as arguments. The rules:

- The first leader starts S at Unix time. While an instance leads, S runs by its monotonic clock alone, so a
  wall clock that jumps or is set wrong has no effect.
- Every command of the fleet carries the leader's S at its proposal. An instance that applies one knows that S
  is at least that now: the stamp less its own monotonic clock is a lower bound of how far S is ahead of that
  clock, too low by the delay of the replication. The highest bound is kept. It is lowered by MAX_DRIFT_RATIO
  of the time since, as the rates of the two clocks may differ by that, so it remains a bound and newer ones
  replace it.
- A new leader continues from that bound, and never from below `log_ms`, the highest stamp in its log: S does
  not go back behind the log, and loses the delay of the quickest replication seen, some ms.
- An instance without a bound (the machine was restarted, no leader's command applied since) does not know S.
  If it has to lead, S continues from `log_ms`, which is a jump. The log numbers such jumps (`epoch`); a bound
  of an earlier epoch is of no use.
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.registry.errors import ClockNotLeadingError

MAX_DRIFT_RATIO = 200e-6  # between two monotonic clocks; a quartz keeps within 100 ppm of true time


@dataclass(slots=True, frozen=True)
class ClockBound:
    """S was at least `ahead_ms` ahead of this instance's monotonic clock when that showed `read_at_ms`."""

    ahead_ms: float
    read_at_ms: float
    epoch: int

    def aged_ahead_ms(self, monotonic_ms: float) -> float:
        """The bound as it holds at a later time of the monotonic clock."""
        return self.ahead_ms - max(0.0, monotonic_ms - self.read_at_ms) * MAX_DRIFT_RATIO


class ServiceClock:
    """S as one instance knows it; `monotonic_ms` is always the reading of its monotonic clock."""

    def __init__(self, known: ClockBound | None = None) -> None:
        self._bound = known
        self._lead_ahead_ms: float | None = None  # how far S is ahead of the monotonic clock, while leading
        self._epoch = known.epoch if known is not None else 0

    def observe(self, monotonic_ms: float, stamp_ms: float, epoch: int) -> None:
        """A command that a leader has just proposed with this stamp was applied now."""
        ahead_ms, known = stamp_ms - monotonic_ms, self._bound
        if known is None or known.epoch != epoch or ahead_ms >= known.aged_ahead_ms(monotonic_ms):
            self._bound = ClockBound(ahead_ms, monotonic_ms, epoch)

    def bound(self, monotonic_ms: float) -> ClockBound | None:
        """What this instance knows of S, from which a new start on the same machine may continue."""
        if self._lead_ahead_ms is None:
            return self._bound
        return ClockBound(self._lead_ahead_ms, monotonic_ms, self._epoch)

    def start_leading(self, monotonic_ms: float, unix_ms: float, log_ms: float, epoch: int) -> None:
        """Begin to lead: `log_ms` and `epoch` are the log's, once all committed before has been applied."""
        self.stop_leading(monotonic_ms)
        known = self._bound
        if known is not None and known.epoch == epoch:
            self._lead_ahead_ms = max(known.aged_ahead_ms(monotonic_ms), log_ms - monotonic_ms)
        else:
            self._lead_ahead_ms = (log_ms if log_ms > 0.0 else unix_ms) - monotonic_ms
        self._epoch = epoch

    def stop_leading(self, monotonic_ms: float) -> None:
        """Lead no more: what was S until now is the best bound there is."""
        if self._lead_ahead_ms is not None:
            self._bound = ClockBound(self._lead_ahead_ms, monotonic_ms, self._epoch)
            self._lead_ahead_ms = None

    def service_ms(self, monotonic_ms: float) -> float:
        """S, for the leader; ClockNotLeadingError on an instance that does not lead."""
        if self._lead_ahead_ms is None:
            raise ClockNotLeadingError
        return monotonic_ms + self._lead_ahead_ms
