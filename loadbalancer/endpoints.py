"""Values that balancing, staleness and routing share: endpoints, attempt results, traffic splits.

Source: PROTOCOL and WIRE, whose words are the values of the enums.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"  # by a server at its limit
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    ABANDONED = "moot"  # before anything was sent

    @property
    def never_executed(self) -> bool:
        """Whether the result proves that the server has not executed the request."""
        return self in (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.ABANDONED)


class EndpointStatus(Enum):
    """What the endpoint list says of an endpoint."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class EndpointListKind(Enum):
    """What an update of the endpoint list holds: changes, all endpoints, those of a cached list, or
    nothing."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Confidence(Enum):
    """How far a node's knowledge of its route to an endpoint can be trusted, by its age."""

    HIGH = "sure"
    MEDIUM = "fair"
    LOW = "weak"
    NONE = "blind"


@dataclass(slots=True)
class Endpoint:
    """One entry of the endpoint list."""

    name: str  # its uid, which a restart doesn't change
    zone: str = ""
    cell: int = 0  # its deduplication group within a zone
    state: EndpointStatus = EndpointStatus.UP
    launched_ms: float | None = None  # of its process, by the host's clock; None: not known, long ago
    model: str = ""


@dataclass(slots=True, frozen=True)
class TrafficSplit:
    """The endpoints of one model, one zone or both (None: any), and their part of a class's requests.

    An endpoint belongs to the first split of its class that matches it; without one it gets no request.
    """

    model: str | None
    zone: str | None
    weight: float  # over the sum of the class's splits; 0: no request

    def matches(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint has this model and zone."""
        return self.model in (None, endpoint.model) and self.zone in (None, endpoint.zone)


@dataclass(slots=True)
class RouteVersion:
    """The route version under which requests are admitted from now on; earlier ones keep theirs."""

    number: int  # 0 is neutral
    classes: dict[str, tuple[TrafficSplit, ...]]  # a class without splits is routed as under version 0
