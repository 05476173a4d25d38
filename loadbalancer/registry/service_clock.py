"""Service time `S`: one clock, in ms, by which route versions are activated (docs/fleet.md, "Service time").

The module reads no clocks; readings are passed as arguments. The rules:

- The first leader starts S at Unix time. While an instance leads, S follows only its monotonic clock, so a
  wall clock that jumps or is set wrong has no effect.
- Every command of the fleet carries the leader's S at its proposal (the stamp). When an instance applies a
  command, S is at least the stamp. So the stamp minus the instance's monotonic clock is a lower bound on how
  far S is ahead of that clock, too low by the replication delay. The instance keeps the highest bound. As the
  rates of the two clocks may differ by MAX_DRIFT_RATIO, the bound is lowered by this ratio of the time since,
  which keeps it valid and lets newer bounds replace it.
- A new leader continues from its bound, or from `log_ms`, the highest stamp in its log, if that is higher. So
  S never falls behind the log, and a change of leader sets it back by only a few ms: the shortest
  replication delay observed.
- An instance without a bound (the machine was rebooted and no leader's command was applied since) does not
  know S. If it has to lead, S continues from `log_ms`, which is a jump. The log numbers these jumps
  (`epoch`); a bound of an earlier epoch is invalid.
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.registry.errors import ClockNotLeadingError

MAX_DRIFT_RATIO = 200e-6  # maximum rate difference of two monotonic clocks; a quartz is accurate to 100 ppm


@dataclass(slots=True, frozen=True)
class ClockBound:
    """S was at least `ahead_ms` ahead of this instance's monotonic clock when the latter was `read_at_ms`."""

    ahead_ms: float
    read_at_ms: float
    epoch: int

    def aged_ahead_ms(self, monotonic_ms: float) -> float:
        """Return `ahead_ms` lowered by the possible drift until `monotonic_ms`."""
        return self.ahead_ms - max(0.0, monotonic_ms - self.read_at_ms) * MAX_DRIFT_RATIO


class ServiceClock:
    """One instance's knowledge of S; `monotonic_ms` is always a reading of its monotonic clock."""

    def __init__(self, known: ClockBound | None = None) -> None:
        self._bound = known
        self._lead_ahead_ms: float | None = None  # how far S is ahead of the monotonic clock, while leading
        self._epoch = known.epoch if known is not None else 0

    def observe(self, monotonic_ms: float, stamp_ms: float, epoch: int) -> None:
        """Record that a command which a leader has just proposed with this stamp is applied now."""
        ahead_ms, known = stamp_ms - monotonic_ms, self._bound
        if known is None or known.epoch != epoch or ahead_ms >= known.aged_ahead_ms(monotonic_ms):
            self._bound = ClockBound(ahead_ms, monotonic_ms, epoch)

    def bound(self, monotonic_ms: float) -> ClockBound | None:
        """Return the bound on S, from which a restart on the same machine may continue; None if unknown."""
        if self._lead_ahead_ms is None:
            return self._bound
        return ClockBound(self._lead_ahead_ms, monotonic_ms, self._epoch)

    def start_leading(self, monotonic_ms: float, unix_ms: float, log_ms: float, epoch: int) -> None:
        """Begin to lead; `log_ms` and `epoch` are the log's after applying all earlier commands."""
        self.stop_leading(monotonic_ms)
        known = self._bound
        if known is not None and known.epoch == epoch:
            self._lead_ahead_ms = max(known.aged_ahead_ms(monotonic_ms), log_ms - monotonic_ms)
        else:
            self._lead_ahead_ms = (log_ms if log_ms > 0.0 else unix_ms) - monotonic_ms
        self._epoch = epoch

    def stop_leading(self, monotonic_ms: float) -> None:
        """Cease to lead; S as it was until now becomes the bound."""
        if self._lead_ahead_ms is not None:
            self._bound = ClockBound(self._lead_ahead_ms, monotonic_ms, self._epoch)
            self._lead_ahead_ms = None

    def service_ms(self, monotonic_ms: float) -> float:
        """Return S; raise ClockNotLeadingError if this instance does not lead."""
        if self._lead_ahead_ms is None:
            raise ClockNotLeadingError
        return monotonic_ms + self._lead_ahead_ms
