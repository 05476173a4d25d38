"""Whether a call is let in: what it is worth, what it counts for, and the room under its threshold."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.balancing import cursor_table as table
from loadbalancer.balancing.events import Request
from loadbalancer.balancing.state import State
from loadbalancer.service_settings import ServiceClass

RETRY_WORTH = 0.5  # a marked retry counts as this share of its class's worth
LET_IN_GAIN = 0.1  # smoothing of the share let in, per request
HINT_GAIN = 0.03  # smoothing of the mean cost hint, per call


@dataclass(slots=True)
class Bucket:
    """A tenant's share at this balancer."""

    quota_per_s: float  # over all siblings
    tokens: float
    then: float


def _depth(quota: float) -> float:
    """The most that a bucket of this many tokens a second holds: a second's, and one call's at least."""
    # Guard: under one call a second here the bucket never held one, and no call was inside its share.
    return max(1.0, quota) if quota > 0.0 else 0.0


class Admission:
    def __init__(self, state: State, now_ms: float) -> None:
        self.state = state
        cfg = state.cfg
        self.top_worth = max(kind.priority_weight for kind in cfg.classes) or 1.0
        quotas = {tenant.name: tenant.quota_per_s for tenant in cfg.tenants}
        parts = state.shared.at(now_ms)
        self.buckets = {name: Bucket(quota, _depth(quota / parts), now_ms) for name, quota in quotas.items()}
        self.mean_hint = 0.0

    def units(self, request: Request) -> float:
        """Its weight in the queue: 1, or where worth goes by work what it costs over the mean."""
        hint = request.cost_hint_ms
        if not self.state.cfg.weight_by_work or not hint:
            return 1.0
        self.mean_hint += (hint - self.mean_hint) * (HINT_GAIN if self.mean_hint else 1.0)
        return min(4.0, max(0.25, hint / self.mean_hint))

    def refuses(self, now: float, request: Request, kind: ServiceClass) -> bool:
        """Whether the queue has met the threshold of this call's row. Takes a token of its tenant's."""
        state = self.state
        queue = sum([peer.held for peer in state.ready])
        room = table.threshold(state, self.worth(now, request, kind), len(state.ready)) - queue
        # Guard: one call from each of hundreds of balancers kept a jam alive, so a fraction of one is drawn.
        refused = room < 1.0 and state.rng.random() >= room
        state.let_in += LET_IN_GAIN * ((not refused) - state.let_in)
        return refused

    def worth(self, now: float, request: Request, kind: ServiceClass) -> float:
        worth = kind.priority_weight / self.top_worth
        if request.is_retry:
            worth *= RETRY_WORTH
        bucket = self.buckets.get(request.tenant or "")
        if bucket is not None and self.state.cfg.tier == 0:  # a token bucket of one second's share
            quota = bucket.quota_per_s / self.state.shared.at(now)
            bucket.tokens = min(_depth(quota), bucket.tokens + quota * (now - bucket.then) / 1000.0)
            bucket.then = now
            if bucket.tokens < 1.0:
                return worth * self.state.cfg.over_quota_weight
            bucket.tokens -= 1.0
        return worth
