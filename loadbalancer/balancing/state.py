"""What the parts of one balancer share: its servers, its requests, and what it has measured."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from loadbalancer.balancing.events import Request
from loadbalancer.endpoints import AttemptResult, Confidence, Endpoint, TrafficSplit
from loadbalancer.service_settings import ServiceClass, Settings

PERIOD_RATIO = 0.15  # P, as a share of the shortest aim


@dataclass(slots=True)
class EndpointState:
    """What this balancer knows of one server."""

    endpoint: Endpoint
    latency_ratio: float | None = None  # smoothed latency over its class's mean
    error_rate: float = 0.0  # smoothed share of failed attempts
    last_outcome_ms: float = -math.inf
    in_flight: float = 0.0  # calls in flight from here, by weight
    sibling_in_flight: float = 0.0  # and from another process of this balancer, during an upgrade
    reported_queue: float = 0.0  # reported waiting requests
    reported_at_ms: float = -math.inf
    utilisation: float | None = None
    rounding_offset: float = (
        0.0  # drawn once: rounds this balancer's share, so that all siblings' sum to the whole
    )
    attempts_sent_ms: dict[tuple[str, int], float] = field(default_factory=dict)  # attempts out, oldest first

    @property
    def total_in_flight(self) -> float:
        return self.in_flight + self.sibling_in_flight


@dataclass(slots=True)
class Restoration:
    """A server that operators have brought back."""

    ejected_ms: float
    restored_ms: float
    attempted: bool = False


@dataclass(slots=True)
class Attempt:
    endpoint: EndpointState
    sent_ms: float
    weight: float = 0.0  # its weight in the queue by now
    result: AttemptResult | None = None  # None: still out


@dataclass(slots=True)
class PendingRequest:
    """One request and its attempts."""

    request: Request
    service_class: ServiceClass
    admitted_ms: float
    weight: float  # its weight in the queue
    route_version: int = 0  # the route version it was admitted under, kept to its end
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False
    streaming: bool = False

    def attempts_in_flight(self) -> int:
        return sum(1 for item in self.attempts if item.result is None)

    def possibly_executed(self) -> list[Attempt]:
        return [item for item in self.attempts if item.result is None or not item.result.never_executed]


@dataclass(slots=True)
class PeriodWindow:
    """What the present period has seen so far."""

    latency_ratios: list[float] = field(default_factory=list)  # latencies over their aims
    completed: float = 0.0  # units for each ready server
    attempts_ended: float = 0.0  # attempts,
    attempts_rejected: float = 0.0  # and those of them turned away
    weight_sent: float = 0.0  # units


@dataclass(slots=True)
class Quota:
    """Of all that siblings share this balancer takes one part in `parts`: by the settings until Siblings
    tells."""

    divisor: float
    holders: float  # how many balancers share
    expires_ms: float = math.inf

    def divisor_at(self, now: float) -> float:
        """The parts to divide by: inf, for a share of 0, once the term is over."""
        return self.divisor if now < self.expires_ms else math.inf


@dataclass(slots=True)
class BalancerState:
    settings: Settings
    rng: Random
    now_ms: float = 0.0  # of the event in hand
    quota: Quota = field(init=False)
    confidence: dict[str, Confidence] = field(
        default_factory=dict
    )  # by server; none where nobody marks routes
    route_version: int = 0  # the route version in force
    route_versions: dict[int, dict[str, tuple[TrafficSplit, ...]]] = field(
        default_factory=dict
    )  # in use, less 0
    service_classes: dict[str, ServiceClass] = field(init=False)
    period_ms: float = field(init=False)
    endpoints: dict[str, EndpointState] = field(default_factory=dict)
    ready: list[EndpointState] = field(default_factory=list)  # the servers in use
    ejected: set[str] = field(default_factory=set)
    restored: dict[str, Restoration] = field(default_factory=dict)
    watch_failures: int = 0
    pending: dict[str, PendingRequest] = field(
        default_factory=dict
    )  # those with an attempt out or no answer yet, by id
    cursor: int = 0
    periods_elapsed: int = 0
    window: PeriodWindow = field(default_factory=PeriodWindow)
    baseline_samples: list[float] = field(
        default_factory=list
    )  # the first latencies over their aims, for the baseline
    baseline_ratio: float | None = None  # quiet latency as a share of the aim
    latency_ratio: float = 0.0  # smoothed latency as a share of the aim
    last_shed_ms: float = -math.inf  # when the table last began to bite
    completion_rate: float = 0.0  # completed units per ms and ready server,
    peak_completion_rate: float = 0.0  # and the most of it lately
    send_rate: float = 0.0  # smoothed rate of units sent per ms
    admitted_ratio: float = 1.0  # smoothed share of requests that the threshold let in
    mean_latency_objective_ms: float = field(init=False)
    class_latency_ms: dict[str, float] = field(default_factory=dict)  # each class's smoothed latency
    utilisation: float | None = None  # median reported utilisation of the last period
    counters: Counter[str] = field(default_factory=Counter)  # refusals and cursor steps, since last read

    def __post_init__(self) -> None:
        classes = self.settings.classes
        self.quota = Quota(self.settings.siblings, self.settings.siblings)
        self.service_classes = {kind.name: kind for kind in classes}
        self.period_ms = PERIOD_RATIO * min(kind.latency_objective_ms for kind in classes)
        self.mean_latency_objective_ms = sum(kind.latency_objective_ms for kind in classes) / len(classes)
