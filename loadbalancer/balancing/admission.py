"""Admission control: a request's weight and priority, and its rejection at the threshold of its row."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.balancing import cursor_table
from loadbalancer.balancing.events import Request
from loadbalancer.balancing.state import BalancerState
from loadbalancer.service_settings import ServiceClass

RETRY_PRIORITY_RATIO = 0.5  # factor on the priority of a client's retry
ADMITTED_GAIN = 0.1  # smoothing of the admitted ratio, per request
COST_HINT_GAIN = 0.03  # smoothing of the mean cost hint, per request
MIN_WEIGHT_RATIO = 0.25  # lower bound of a request's weight over the mean
MAX_WEIGHT_RATIO = 4.0  # upper bound of a request's weight over the mean
MS_PER_S = 1000.0


@dataclass(slots=True)
class TokenBucket:
    """A token bucket for a tenant's quota at this balancer, one second of tokens deep."""

    quota_per_s: float  # the sum over all siblings
    tokens: float
    updated_ms: float

    def take(self, now_ms: float, divisor: float) -> bool:
        """Take a token; False if none is left. The bucket refills at `quota_per_s / divisor`."""
        quota_per_s = self.quota_per_s / divisor
        refilled = self.tokens + quota_per_s * (now_ms - self.updated_ms) / MS_PER_S
        self.tokens = min(bucket_depth(quota_per_s), refilled)
        self.updated_ms = now_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def bucket_depth(quota_per_s: float) -> float:
    """The maximum number of tokens of a bucket: those of one second, but at least 1 unless the quota is 0.

    With less than one token, a quota under one request per second would never admit a request.
    """
    return max(1.0, quota_per_s) if quota_per_s > 0.0 else 0.0


class Admission:
    """Admits or rejects each request as it arrives. Owns the tenants' buckets and the mean cost hint."""

    def __init__(self, state: BalancerState, now_ms: float) -> None:
        self.state = state
        settings = state.settings
        weights = [service_class.priority_weight for service_class in settings.classes]
        self.top_weight = max(weights) or 1.0
        divisor = state.quota.divisor_at(now_ms)
        self.buckets = {
            tenant.name: TokenBucket(tenant.quota_per_s, bucket_depth(tenant.quota_per_s / divisor), now_ms)
            for tenant in settings.tenants
        }
        self.mean_cost_hint_ms = 0.0

    def request_weight(self, request: Request) -> float:
        """The request's weight in the queue: 1, or its cost hint over the mean with `weight_by_work`."""
        hint_ms = request.cost_hint_ms
        if not self.state.settings.weight_by_work or not hint_ms:
            return 1.0
        gain = COST_HINT_GAIN if self.mean_cost_hint_ms else 1.0
        self.mean_cost_hint_ms += (hint_ms - self.mean_cost_hint_ms) * gain
        return min(MAX_WEIGHT_RATIO, max(MIN_WEIGHT_RATIO, hint_ms / self.mean_cost_hint_ms))

    def rejects(self, now_ms: float, request: Request, service_class: ServiceClass) -> bool:
        """Whether the requests in flight have reached the threshold of the request's row.

        Takes a token from the tenant's bucket, if any. If less than one request fits under the threshold, the
        request is admitted with the remaining capacity (0 to 1) as the probability: if hundreds of balancers
        admitted one request each, they would together keep an overloaded pool overloaded.
        """
        state = self.state
        in_flight = sum([endpoint.total_in_flight for endpoint in state.ready])
        priority = self.priority(now_ms, request, service_class)
        capacity = cursor_table.threshold(state, priority, len(state.ready)) - in_flight
        rejected = capacity < 1.0 and state.rng.random() >= capacity
        state.admitted_ratio += ADMITTED_GAIN * ((not rejected) - state.admitted_ratio)
        return rejected

    def priority(self, now_ms: float, request: Request, service_class: ServiceClass) -> float:
        """The request's priority, from 0 to 1: that of its class, reduced for a client's retry and for a
        tenant over its quota. Takes a token from the tenant's bucket, if any."""
        priority = service_class.priority_weight / self.top_weight
        if request.is_retry:
            priority *= RETRY_PRIORITY_RATIO
        bucket = self.buckets.get(request.tenant or "")
        if bucket is None or self.state.settings.tier != 0:
            return priority
        if not bucket.take(now_ms, self.state.quota.divisor_at(now_ms)):
            return priority * self.state.settings.over_quota_weight
        return priority
