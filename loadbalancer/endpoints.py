"""Values that balancing, staleness and routing share: endpoints, attempt results, traffic splits."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class AttemptResult(Enum):
    """How an attempt ended; `never_ran` marks the results that prove it had no effect."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    ABANDONED = "moot"

    @property
    def never_executed(self) -> bool:
        return self in (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.ABANDONED)


class EndpointStatus(Enum):
    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class EndpointListKind(Enum):
    """What a server list says: changes, the whole, a remembered whole, or that asking failed."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Confidence(Enum):
    """How sure a node can be of a route: a server as this node may use it; no call is refused for it."""

    HIGH = "sure"
    MEDIUM = "fair"
    LOW = "weak"
    NONE = "blind"


@dataclass(slots=True)
class Endpoint:
    """One line of the server list."""

    name: str
    zone: str = ""
    cell: int = 0
    state: EndpointStatus = EndpointStatus.UP
    launched_ms: float | None = None  # None: long ago
    model: str = ""


@dataclass(slots=True, frozen=True)
class TrafficSplit:
    """Servers of one model, one zone or both (None: any), and their part of a class's calls.

    A server belongs to the first group of its class that takes it; one that none takes gets no call.
    """

    model: str | None
    zone: str | None
    weight: float  # against the sum over the class's groups; 0: no call

    def matches(self, server: Endpoint) -> bool:
        return self.model in (None, server.model) and self.zone in (None, server.zone)


@dataclass(slots=True)
class RouteVersion:
    """The version from now on: requests admitted after it are ranked by it, earlier ones by their own."""

    number: int  # 0 is neutral
    classes: dict[str, tuple[TrafficSplit, ...]]  # a class that is not here is ranked as under version 0
