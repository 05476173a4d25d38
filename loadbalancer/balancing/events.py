"""Events that the balancer takes, in the order in which its host observes them.

Times are in milliseconds on one monotonic clock of the host; rates are per second.
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.endpoints import AttemptResult, Confidence, Endpoint, EndpointListKind, RouteVersion


@dataclass(slots=True)
class EndpointListUpdate:
    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True)
class Request:
    id: str
    service: str  # the class's name
    deadline_ms: float
    tenant: str | None = None
    cost_hint_ms: float | None = None
    is_retry: bool = False
    receiving: bool = False  # its last byte has yet to come, which Arrived tells


@dataclass(slots=True)
class RequestReceived:
    """The last byte of a request that was still coming: its time runs from now."""

    id: str
    deadline_ms: float


@dataclass(slots=True)
class StreamStarted:
    """A streamed answer has begun; the attempt now belongs to the client."""

    id: str
    attempt: int


@dataclass(slots=True)
class AttemptOutcome:
    id: str
    attempt: int
    server: str
    result: AttemptResult
    latency_ms: float
    request_ended: bool  # the request has ended, by this or earlier
    load_report: dict[str, float] | None = None


@dataclass(slots=True)
class RequestCancelled:
    """The client has gone; no answer is owed any more."""

    id: str


@dataclass(slots=True)
class TimerFired:
    name: str


@dataclass(slots=True)
class HealthCheckCompleted:
    server: str
    result: AttemptResult
    latency_ms: float
    load_report: dict[str, float] | None = None


@dataclass(slots=True)
class EndpointEjected:
    """Operators have put a server out by hand: nothing new may go there, whatever the list says."""

    server: str


@dataclass(slots=True)
class EndpointRestored:
    """It may serve again. It was restarted while it was out, which the list may tell late."""

    server: str
    ejected_ms: float  # when it was taken out
    restored_ms: float


@dataclass(slots=True)
class LearnedState:
    """What another process of this balancer has learned, for one that starts beside it."""

    baseline_ratio: float | None  # quiet latency and
    latency_ratio: float  # smoothed latency, as shares of the aim
    cursor: int
    completion_rate: float  # completions, now
    peak_completion_rate: float  # and at most
    send_rate: float
    mean_latency_objective_ms: float
    class_latency_ms: dict[str, float]  # each class's latency
    endpoint_latency_ratios: dict[str, float]  # each server's latency over its class's


@dataclass(slots=True)
class SiblingProcessLoad:
    """What another process of this balancer has in flight at each server: it counts as this one's."""

    in_flight: dict[str, float]


@dataclass(slots=True)
class StateRestored:
    """What a node had learned when it wrote its state file (node/state/snapshot.py), `age_ms` before now."""

    state: LearnedState
    age_ms: float


@dataclass(slots=True, frozen=True)
class QuotaGrant:
    """What this balancer may take of all that its siblings share, T1's shared parts and tenants' quotas:
    `share` (0 to 1) before `until_ms`, 0 from then on (docs/fleet.md). It takes the place of the settings'
    `siblings`."""

    quota: float
    holders: int  # processes that share, this one included
    expires_ms: float


@dataclass(slots=True)
class ConfidenceUpdate:
    """How sure the routes to these servers are; of those not named nothing has changed."""

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
