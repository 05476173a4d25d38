"""Whether a call is let in: what it is worth, what it counts for, and the room under its threshold."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.balancing import cursor_table as table
from loadbalancer.balancing.events import Request
from loadbalancer.balancing.state import BalancerState
from loadbalancer.service_settings import ServiceClass

RETRY_PRIORITY_RATIO = 0.5  # a marked retry counts as this share of its class's worth
ADMITTED_GAIN = 0.1  # smoothing of the share let in, per request
COST_HINT_GAIN = 0.03  # smoothing of the mean cost hint, per call


@dataclass(slots=True)
class TokenBucket:
    """A tenant's share at this balancer."""

    quota_per_s: float  # over all siblings
    tokens: float
    updated_ms: float


def _bucket_depth(quota: float) -> float:
    """The most that a bucket of this many tokens a second holds: a second's, and one call's at least."""
    # Guard: under one call a second here the bucket never held one, and no call was inside its share.
    return max(1.0, quota) if quota > 0.0 else 0.0


class Admission:
    def __init__(self, state: BalancerState, now_ms: float) -> None:
        self.state = state
        cfg = state.settings
        self.top_weight = max(kind.priority_weight for kind in cfg.classes) or 1.0
        quotas = {tenant.name: tenant.quota_per_s for tenant in cfg.tenants}
        parts = state.quota.divisor_at(now_ms)
        self.buckets = {
            name: TokenBucket(quota, _bucket_depth(quota / parts), now_ms) for name, quota in quotas.items()
        }
        self.mean_cost_hint_ms = 0.0

    def request_weight(self, request: Request) -> float:
        """Its weight in the queue: 1, or where worth goes by work what it costs over the mean."""
        hint = request.cost_hint_ms
        if not self.state.settings.weight_by_work or not hint:
            return 1.0
        self.mean_cost_hint_ms += (hint - self.mean_cost_hint_ms) * (
            COST_HINT_GAIN if self.mean_cost_hint_ms else 1.0
        )
        return min(4.0, max(0.25, hint / self.mean_cost_hint_ms))

    def rejects(self, now: float, request: Request, kind: ServiceClass) -> bool:
        """Whether the queue has met the threshold of this call's row. Takes a token of its tenant's."""
        state = self.state
        queue = sum([peer.total_in_flight for peer in state.ready])
        room = table.threshold(state, self.priority(now, request, kind), len(state.ready)) - queue
        # Guard: one call from each of hundreds of balancers kept a jam alive, so a fraction of one is drawn.
        refused = room < 1.0 and state.rng.random() >= room
        state.admitted_ratio += ADMITTED_GAIN * ((not refused) - state.admitted_ratio)
        return refused

    def priority(self, now: float, request: Request, kind: ServiceClass) -> float:
        worth = kind.priority_weight / self.top_weight
        if request.is_retry:
            worth *= RETRY_PRIORITY_RATIO
        bucket = self.buckets.get(request.tenant or "")
        if bucket is not None and self.state.settings.tier == 0:  # a token bucket of one second's share
            quota = bucket.quota_per_s / self.state.quota.divisor_at(now)
            bucket.tokens = min(
                _bucket_depth(quota), bucket.tokens + quota * (now - bucket.updated_ms) / 1000.0
            )
            bucket.updated_ms = now
            if bucket.tokens < 1.0:
                return worth * self.state.settings.over_quota_weight
            bucket.tokens -= 1.0
        return worth
