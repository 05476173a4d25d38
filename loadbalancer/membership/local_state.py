"""The local node's detector state: incarnation, refutation count, and Lifeguard's local health multiplier."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from loadbalancer.membership.actions import DetectorConfig
from loadbalancer.membership.payload import MAX_COUNT, MemberStatus, MemberUpdate

MAX_COUNT_JUMP = 1000  # a gossiped count that exceeds the known one by more is rejected


@dataclass(slots=True)
class LocalState:
    """The failure detector's state of the local node."""

    config: DetectorConfig
    incarnation: int
    count: int = 0  # refutation count, raised to refute a suspicion of this node
    health: int = 0  # local health multiplier; 0 is healthy
    due: float | None = None  # latest time for the next tick; None before the first
    awake_since: float = -math.inf  # end of the last pause of this process
    # Counts of ignored messages and irregular events, by reason.
    ignored: Counter[str] = field(default_factory=Counter)

    @property
    def timeout_factor(self) -> float:
        """The factor by which the local health multiplier increases this node's timeouts."""
        return 1.0 + self.health

    def improve_health(self) -> None:
        """Lower the health multiplier, after a probe by this node was acked."""
        self.health = max(0, self.health - 1)

    def worsen_health(self) -> None:
        """Raise the health multiplier, on evidence that this node itself is slow or badly connected."""
        self.health = min(self.config.max_health, self.health + 1)

    def record_wakeup(self, now: float) -> float:
        """Return how long this process was paused, in ms, or 0; a pause is returned and recorded once."""
        if self.due is None or now - self.due <= self.config.late_ms:
            return 0.0
        late = now - self.due
        self.due = self.awake_since = now
        self.ignored["own stops"] += 1
        self.worsen_health()
        return late

    def refute(self, update: MemberUpdate) -> None:
        """Refute an update that suspects this node by raising the local count above the update's count."""
        if update.status is MemberStatus.ALIVE or update.count < self.count:
            return
        if update.count > self.count + MAX_COUNT_JUMP or update.count >= MAX_COUNT:
            self.ignored["absurd count"] += 1
            return
        self.count = update.count + 1
        self.ignored["refuted"] += 1
        self.worsen_health()
