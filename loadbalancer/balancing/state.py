"""State of one balancer: its endpoints, its pending requests and its measurements of the pool.

Times are in milliseconds of the host's monotonic clock. The weight of a request is 1, or its expected work
over the mean with `Settings.weight_by_work`.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from loadbalancer.balancing.events import Request
from loadbalancer.endpoints import AttemptResult, Confidence, Endpoint, TrafficSplit
from loadbalancer.service_settings import ServiceClass, Settings

PERIOD_RATIO = 0.15  # control period over the shortest latency objective


@dataclass(slots=True)
class EndpointState:
    """This balancer's state for one endpoint."""

    listed: Endpoint
    latency_ratio: float | None = None  # smoothed latency over the mean of the request's class
    error_rate: float = 0.0  # smoothed ratio of failed attempts
    last_outcome_ms: float = -math.inf
    in_flight: float = 0.0  # weight of the requests in flight from this process
    sibling_in_flight: float = 0.0  # weight in flight from the sibling process during an upgrade
    reported_queue: float = 0.0  # requests queued at the server, by its last load report
    reported_at_ms: float = -math.inf
    utilisation: float | None = None  # 0 to 1, by its last load report
    # 0 to 1, drawn once. Rounds the endpoint's quota at random: all siblings' quotas then sum to the total.
    rounding_offset: float = 0.0
    # Send times of the attempts in flight, oldest first, by request id and attempt number.
    attempts_sent_ms: dict[tuple[str, int], float] = field(default_factory=dict)

    @property
    def total_in_flight(self) -> float:
        """Weight of the requests in flight from all processes of this node."""
        return self.in_flight + self.sibling_in_flight


@dataclass(slots=True)
class Restoration:
    """The restoration of an endpoint that an operator had ejected."""

    ejected_ms: float
    restored_ms: float
    attempted: bool = False  # whether an attempt has been sent to the endpoint since


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at an endpoint."""

    target: EndpointState
    sent_ms: float
    weight: float = 0.0  # its part of the endpoint's `in_flight`; 0 while the request is still being received
    result: AttemptResult | None = None  # None while in flight


@dataclass(slots=True)
class PendingRequest:
    """A request that has no final response yet or has attempts in flight."""

    request: Request
    service_class: ServiceClass
    admitted_ms: float
    weight: float
    route_version: int = 0  # the version in force at its admission, used until the request ends
    attempts: list[Attempt] = field(default_factory=list)
    ended: bool = False  # by its final response or because its client has disconnected
    streaming: bool = False  # its response has begun to stream

    def attempts_in_flight(self) -> int:
        """The number of attempts without a result."""
        return sum(1 for attempt in self.attempts if attempt.result is None)

    def possibly_executed(self) -> list[Attempt]:
        """The attempts that a server may have executed, including those in flight."""
        return [
            attempt
            for attempt in self.attempts
            if attempt.result is None or not attempt.result.never_executed
        ]


@dataclass(slots=True)
class PeriodWindow:
    """Measurements of the current control period."""

    latency_ratios: list[float] = field(default_factory=list)  # latencies over their objectives
    completed: float = 0.0  # weight of completed requests per ready endpoint
    attempts_ended: float = 0.0
    attempts_rejected: float = 0.0  # ended attempts that a server or a lower tier rejected
    weight_sent: float = 0.0


@dataclass(slots=True)
class Quota:
    """This balancer's part of the limits that all siblings share: the limit over `divisor`."""

    divisor: float
    holders: float  # balancers with a quota, including this one
    expires_ms: float = math.inf

    def divisor_at(self, now_ms: float) -> float:
        """The divisor of a shared limit; infinity, for a quota of 0, once the grant has expired."""
        return self.divisor if now_ms < self.expires_ms else math.inf


@dataclass(slots=True)
class BalancerState:
    """All state of a balancer. Each field is written by one module of this package."""

    settings: Settings
    rng: Random
    now_ms: float = 0.0  # time of the event being handled
    quota: Quota = field(init=False)
    confidence: dict[str, Confidence] = field(default_factory=dict)  # by endpoint; HIGH without an entry
    route_version: int = 0  # number of the version in force; 0 is neutral
    # The versions in use except the neutral one, by number and class.
    route_versions: dict[int, dict[str, tuple[TrafficSplit, ...]]] = field(default_factory=dict)
    service_classes: dict[str, ServiceClass] = field(init=False)
    period_ms: float = field(init=False)
    endpoints: dict[str, EndpointState] = field(default_factory=dict)  # listed, by name
    ready: list[EndpointState] = field(default_factory=list)  # listed as up and not ejected
    ejected: set[str] = field(default_factory=set)  # by operators
    restored: dict[str, Restoration] = field(default_factory=dict)
    watch_failures: int = 0  # consecutive
    pending: dict[str, PendingRequest] = field(default_factory=dict)  # by request id
    cursor: int = 0
    periods_elapsed: int = 0
    window: PeriodWindow = field(default_factory=PeriodWindow)
    baseline_samples: list[float] = field(default_factory=list)  # the first latencies over their objectives
    baseline_ratio: float | None = None  # unloaded latency over the latency objective
    latency_ratio: float = 0.0  # smoothed latency over the latency objective
    last_shed_ms: float = -math.inf  # when the cursor last left the flat slots, and load began to be shed
    completion_rate: float = 0.0  # weight per ms and ready endpoint
    peak_completion_rate: float = 0.0  # slowly decaying maximum of the completion rate
    send_rate: float = 0.0  # smoothed weight sent per ms
    admitted_ratio: float = 1.0  # smoothed ratio of requests that were not rejected at the threshold
    mean_latency_objective_ms: float = field(init=False)
    class_latency_ms: dict[str, float] = field(default_factory=dict)  # smoothed latency of each class
    utilisation: float | None = None  # median reported utilisation of the last period
    counters: Counter[str] = field(default_factory=Counter)  # rejections and cursor steps since last read

    def __post_init__(self) -> None:
        classes = self.settings.classes
        self.quota = Quota(self.settings.siblings, self.settings.siblings)
        self.service_classes = {service_class.name: service_class for service_class in classes}
        objectives_ms = [service_class.latency_objective_ms for service_class in classes]
        self.period_ms = PERIOD_RATIO * min(objectives_ms)
        self.mean_latency_objective_ms = sum(objectives_ms) / len(objectives_ms)
