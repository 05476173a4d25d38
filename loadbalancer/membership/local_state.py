"""The node's own detector state: incarnation, refutation count, and Lifeguard's local health multiplier."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from loadbalancer.membership.actions import DetectorConfig
from loadbalancer.membership.payload import MAX_COUNT, MemberStatus, MemberUpdate

MAX_COUNT_JUMP = 1000  # a count at second hand that is this far over the known one is rejected


@dataclass(slots=True)
class LocalState:
    """What the node keeps about itself."""

    config: DetectorConfig
    incarnation: int
    count: int = 0  # raised to refute a suspicion of this node
    health: int = 0  # local health multiplier; 0 is healthy
    due: float | None = None  # when the next tick should come; None before the first
    awake_since: float = -math.inf  # end of the last pause of this process
    ignored: Counter[str] = field(default_factory=Counter)  # what was ignored, by reason

    @property
    def timeout_factor(self) -> float:
        """The factor by which the local health multiplier lengthens this node's own timeouts."""
        return 1.0 + self.health

    def improve_health(self) -> None:
        """A probe of this node succeeded."""
        self.health = max(0, self.health - 1)

    def worsen_health(self) -> None:
        """Evidence that this node itself is slow or badly connected."""
        self.health = min(self.config.max_health, self.health + 1)

    def record_wakeup(self, now: float) -> float:
        """How long this process was paused, in ms, or 0. The first call after a pause records it."""
        if self.due is None or now - self.due <= self.config.late_ms:
            return 0.0
        late = now - self.due
        self.due = self.awake_since = now
        self.ignored["own stops"] += 1
        self.worsen_health()
        return late

    def refute(self, update: MemberUpdate) -> None:
        """An update about this node: a suspicion not yet refuted raises the count past it."""
        if update.status is MemberStatus.ALIVE or update.count < self.count:
            return
        if update.count > self.count + MAX_COUNT_JUMP or update.count >= MAX_COUNT:
            self.ignored["absurd count"] += 1
            return
        self.count = update.count + 1
        self.ignored["refuted"] += 1
        self.worsen_health()
