"""Values that balancing, staleness and routing share: endpoints, attempt results, traffic splits.

Source: PROTOCOL and WIRE. The values of the enums are the words used in them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"  # by a server at its concurrency limit
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    ABANDONED = "moot"  # given up before anything was sent

    @property
    def never_executed(self) -> bool:
        """Whether the result proves that the server has not executed the request."""
        return self in (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.ABANDONED)


class EndpointStatus(Enum):
    """The status of an endpoint in the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class EndpointListKind(Enum):
    """The kind of an endpoint list update: changes, a complete list, a cached complete list, or a failure."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Confidence(Enum):
    """A node's confidence in its information about the route to an endpoint, by the information's age."""

    HIGH = "sure"
    MEDIUM = "fair"
    LOW = "weak"
    NONE = "blind"


@dataclass(slots=True)
class Endpoint:
    """One entry of the endpoint list."""

    name: str  # its uid, which stays the same over restarts
    zone: str = ""
    cell: int = 0  # number within its zone; the servers of a cell may share idempotency keys
    state: EndpointStatus = EndpointStatus.UP
    # Start of its process by the host's clock; None if unknown, which counts as long ago.
    launched_ms: float | None = None
    model: str = ""


@dataclass(slots=True, frozen=True)
class TrafficSplit:
    """A part of a class's requests and the endpoints that it goes to, selected by model and zone (None: any).

    An endpoint belongs to the first split of the class that matches it; if none does, it gets no requests.
    """

    model: str | None
    zone: str | None
    weight: float  # relative to the sum over the class's splits; 0: no requests

    def matches(self, endpoint: Endpoint) -> bool:
        """Whether the split selects this endpoint."""
        return self.model in (None, endpoint.model) and self.zone in (None, endpoint.zone)


@dataclass(slots=True)
class RouteVersion:
    """The route version for requests admitted from now on; earlier requests keep theirs."""

    number: int  # 0 is neutral
    classes: dict[str, tuple[TrafficSplit, ...]]  # a class without splits is routed as under version 0
