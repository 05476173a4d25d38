"""Events that the host passes to the balancer, in the order in which it observes them.

Times are in milliseconds of one monotonic clock of the host. A load report maps the fields that the settings
name (`queue`, `util`, ...) to their values.
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.endpoints import AttemptResult, Confidence, Endpoint, EndpointListKind, RouteVersion


@dataclass(slots=True)
class EndpointListUpdate:
    """A complete endpoint list, a delta, or the failure to get one."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True)
class Request:
    """A request from a client or from a service of the tier above; it gets one final response."""

    id: str
    service: str  # name of its service class
    deadline_ms: float
    tenant: str | None = None
    cost_hint_ms: float | None = None
    is_retry: bool = False
    receiving: bool = False  # true until `RequestReceived`: its last byte has not arrived


@dataclass(slots=True)
class RequestReceived:
    """The last byte of a `receiving` request has arrived; its latency is measured from now."""

    id: str
    deadline_ms: float


@dataclass(slots=True)
class StreamStarted:
    """A streamed response has begun; no other attempt may respond to the request."""

    id: str
    attempt: int


@dataclass(slots=True)
class AttemptOutcome:
    """The result of one attempt."""

    id: str
    attempt: int
    server: str
    result: AttemptResult
    latency_ms: float
    request_ended: bool  # the request has ended, by this attempt or before
    load_report: dict[str, float] | None = None


@dataclass(slots=True)
class RequestCancelled:
    """The client has disconnected; no response is sent to it."""

    id: str


@dataclass(slots=True)
class TimerFired:
    """A timer that the balancer has set has expired."""

    name: str


@dataclass(slots=True)
class HealthCheckCompleted:
    """The result of a health check of a server."""

    server: str
    result: AttemptResult
    latency_ms: float
    load_report: dict[str, float] | None = None


@dataclass(slots=True)
class EndpointEjected:
    """An operator has ejected a server: it gets no new attempts, even if it is listed as up."""

    server: str


@dataclass(slots=True)
class EndpointRestored:
    """An operator has restored an ejected server. It was restarted meanwhile; the list may show that late."""

    server: str
    ejected_ms: float
    restored_ms: float


@dataclass(slots=True)
class LearnedState:
    """The measurements of another process of this node."""

    baseline_ratio: float | None  # unloaded latency over the latency objective; None while unknown
    latency_ratio: float  # smoothed latency over the latency objective
    cursor: int
    completion_rate: float  # weight per ms and ready endpoint
    peak_completion_rate: float
    send_rate: float  # weight per ms
    mean_latency_objective_ms: float
    class_latency_ms: dict[str, float]
    endpoint_latency_ratios: dict[str, float]  # over the mean latency of the request's class


@dataclass(slots=True)
class SiblingProcessLoad:
    """Weight of the requests that the sibling process of this node has in flight, by server."""

    in_flight: dict[str, float]


@dataclass(slots=True)
class StateRestored:
    """The measurements in this node's state file, written `age_ms` ago."""

    state: LearnedState
    age_ms: float


@dataclass(slots=True, frozen=True)
class QuotaGrant:
    """The quota granted to this balancer: its part (0 to 1) of the limits that all siblings share.

    These limits are the headroom and floor of the thresholds and the tenants' quotas. From `expires_ms` on
    the quota is 0. The grant replaces `Settings.siblings`.
    """

    quota: float
    holders: int  # processes with a quota, including this one
    expires_ms: float


@dataclass(slots=True)
class ConfidenceUpdate:
    """New confidence in the routes to these servers; for other servers it is unchanged."""

    confidence: dict[str, Confidence]


Event = (
    EndpointListUpdate
    | Request
    | RequestReceived
    | StreamStarted
    | AttemptOutcome
    | RequestCancelled
    | TimerFired
    | HealthCheckCompleted
    | EndpointEjected
    | EndpointRestored
    | LearnedState
    | SiblingProcessLoad
    | StateRestored
    | RouteVersion
    | QuotaGrant
    | ConfidenceUpdate
)
