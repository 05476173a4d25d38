"""Service time `S`: one clock, in ms, in which the fleet's activations stand (docs/fleet.md, "Service time").

Pure: readings of clocks come in as arguments. The rules:

- The first leader starts S at Unix time. While an instance leads, S runs by its monotonic clock alone, so a
  wall clock that jumps or stands off does not enter.
- Every command of the fleet carries the leader's S when it was proposed. An instance that applies one knows
  that S is at least that now: the stamp less its own monotonic clock is a lower bound of what S is ahead of
  that clock by, short of the truth by the delay of the replication. The highest bound is kept. It loses DRIFT
  of the time since, as the two clocks' rates may differ by that, so it stays a bound and newer ones come to
  replace it.
- A new leader goes on from that bound, and never from below `log_ms`, the highest stamp in its log: S does
  not go back behind what the log has, and lags by the quickest replication seen, some ms.
- An instance that has no bound (started on a machine that started anew, no command of a leader heard since)
  can't tell what S is. If it has to lead, S goes on from `log_ms`, which is a jump. Such jumps are numbered
  by the log (`epoch`); a bound of an earlier epoch is worth nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_DRIFT_RATIO = (
    200e-6  # two monotonic clocks differ in rate by less: quartz keeps 100 ppm, and there are two of them
)


@dataclass(slots=True, frozen=True)
class ClockBound:
    """S was at least `ahead` ms before this instance's monotonic clock when that showed `at`."""

    ahead_ms: float
    read_at_ms: float
    epoch: int

    def aged_ahead_ms(self, now: float) -> float:
        return self.ahead_ms - max(0.0, now - self.read_at_ms) * MAX_DRIFT_RATIO


class ServiceClock:
    """S as one instance knows it; every `now` is ms of its monotonic clock."""

    def __init__(self, known: ClockBound | None = None) -> None:
        self._bound = known
        self._lead_ahead_ms: float | None = None  # what S is ahead of the monotonic clock by, while leading
        self._epoch = known.epoch if known is not None else 0

    def observe(self, now: float, stamp: float, epoch: int) -> None:
        """A command that a leader has just proposed with this stamp was applied now."""
        ahead, known = stamp - now, self._bound
        if known is None or known.epoch != epoch or ahead >= known.aged_ahead_ms(now):
            self._bound = ClockBound(ahead, now, epoch)

    def bound(self, now: float) -> ClockBound | None:
        """What this instance knows of S: what a start on the same machine may go on from."""
        return (
            ClockBound(self._lead_ahead_ms, now, self._epoch)
            if self._lead_ahead_ms is not None
            else self._bound
        )

    def start_leading(self, now: float, unix_ms: float, log_ms: float, epoch: int) -> None:
        """Begin to lead: `log_ms` and `epoch` are the log's, once all committed before has been applied."""
        self.stop_leading(now)
        known = self._bound
        if known is not None and known.epoch == epoch:
            self._lead_ahead_ms = max(known.aged_ahead_ms(now), log_ms - now)
        else:
            self._lead_ahead_ms = (log_ms if log_ms > 0.0 else unix_ms) - now
        self._epoch = epoch

    def stop_leading(self, now: float) -> None:
        """Lead no more: what was S until now is the best bound there is."""
        if self._lead_ahead_ms is not None:
            self._bound, self._lead_ahead_ms = ClockBound(self._lead_ahead_ms, now, self._epoch), None

    def service_ms(self, now: float) -> float:
        """S, for the leader; ValueError on an instance that does not lead."""
        if self._lead_ahead_ms is None:
            raise ValueError("only the leader tells service time")
        return now + self._lead_ahead_ms
