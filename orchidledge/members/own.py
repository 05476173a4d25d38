"""What a node knows of itself: its incarnation and count, and how well it runs (Lifeguard's local health)."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from .actions import Config
from .payload import COUNT_MOST, Rumour, Told

LEAP = 1000  # a count at second hand that is this far over the known one is absurd


@dataclass(slots=True)
class Own:
    config: Config
    incarnation: int
    count: int = 0  # raised to refute
    health: int = 0  # 0 is well
    due: float | None = None  # when the next tick should come; None before the first
    awake_since: float = -math.inf
    counts: Counter[str] = field(default_factory=Counter)  # what was ignored, by reason

    @property
    def slow(self) -> float:
        """What own times are lengthened by."""
        return 1.0 + self.health

    def better(self) -> None:
        self.health = max(0, self.health - 1)

    def worse(self) -> None:
        self.health = min(self.config.max_health, self.health + 1)

    def wake(self, now: float) -> float:
        """How long this node did not run, in ms; 0 if it did. The first call after a stop notes it."""
        if self.due is None or now - self.due <= self.config.late_ms:
            return 0.0
        late = now - self.due
        self.due = self.awake_since = now
        self.counts["own stops"] += 1
        self.worse()
        return late

    def refute(self, rumour: Rumour) -> None:
        """A rumour of this node itself: an accusation not yet refuted raises the count past it."""
        if rumour.told is Told.HEARD or rumour.count < self.count:
            return
        if rumour.count > self.count + LEAP or rumour.count >= COUNT_MOST:
            self.counts["absurd count"] += 1
            return
        self.count = rumour.count + 1
        self.counts["refuted"] += 1
        self.worse()
