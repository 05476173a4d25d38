"""Events that the balancer takes, in the order in which its host observes them.

Times are in milliseconds of one monotonic clock of the host; rates are per second. A load report maps the
fields that the settings name (`queue`, `util`, ...) to their values.
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.endpoints import AttemptResult, Confidence, Endpoint, EndpointListKind, RouteVersion


@dataclass(slots=True)
class EndpointListUpdate:
    """The endpoint list, changes of it, or that it could not be had."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True)
class Request:
    """A client's request, or a call of a service, that is owed one final answer."""

    id: str
    service: str  # name of its service class
    deadline_ms: float
    tenant: str | None = None
    cost_hint_ms: float | None = None
    is_retry: bool = False
    receiving: bool = False  # until its last byte has arrived, see RequestReceived


@dataclass(slots=True)
class RequestReceived:
    """The last byte of a request that was still being received; its time runs from here."""

    id: str
    deadline_ms: float


@dataclass(slots=True)
class StreamStarted:
    """A streamed answer has begun; no other attempt may answer the request."""

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
    request_ended: bool  # by this attempt or earlier
    load_report: dict[str, float] | None = None


@dataclass(slots=True)
class RequestCancelled:
    """The client has disconnected; no answer is owed any more."""

    id: str


@dataclass(slots=True)
class TimerFired:
    """A timer that the balancer has set."""

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
    """An operator has ejected a server: nothing new may go there, whatever the list says."""

    server: str


@dataclass(slots=True)
class EndpointRestored:
    """An operator has ended an ejection; the server was restarted meanwhile, which the list may show late."""

    server: str
    ejected_ms: float
    restored_ms: float


@dataclass(slots=True)
class LearnedState:
    """What another process of this node has measured. Ratios are latencies over the latency objective."""

    baseline_ratio: float | None  # unloaded; None while unknown
    latency_ratio: float  # smoothed
    cursor: int
    completion_rate: float  # weight per ms and ready endpoint
    peak_completion_rate: float
    send_rate: float  # weight per ms
    mean_latency_objective_ms: float
    class_latency_ms: dict[str, float]
    endpoint_latency_ratios: dict[str, float]  # over the latency of their classes


@dataclass(slots=True)
class SiblingProcessLoad:
    """Weight of the calls that another process of this node has in flight, by server."""

    in_flight: dict[str, float]


@dataclass(slots=True)
class StateRestored:
    """What this node had measured when it wrote its state file, `age_ms` ago."""

    state: LearnedState
    age_ms: float


@dataclass(slots=True, frozen=True)
class QuotaGrant:
    """The part of what all siblings share (T1's shared parts, tenants' quotas) that is granted to this
    balancer: `quota` (0 to 1) until `expires_ms`, 0 after it. Takes the place of the settings'
    `siblings`."""

    quota: float
    holders: int  # processes that share, this one included
    expires_ms: float


@dataclass(slots=True)
class ConfidenceUpdate:
    """Changed confidence in the routes to these servers; that in others is unchanged."""

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
