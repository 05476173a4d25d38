"""Actions that the balancer returns for its host to carry out. Times are in milliseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class Send:
    """Make an attempt of a request at a server; its number is that of the request's earlier attempts."""

    id: str
    server: str
    timeout_ms: float = 0.0  # 0: until the client's deadline
    # When its last byte has to have been written; later it must not be executed. A bound on the host, so it
    # is no part of the recorded decision.
    written_by_ms: float = field(default=math.inf, repr=False)


@dataclass(slots=True)
class Reject:
    """The final answer of a request that has had no effect: a retry by the client is safe."""

    id: str
    retry_after_ms: float = 0.0  # 0: none is stated


@dataclass(slots=True)
class Fail:
    """The final answer of a request that may have had an effect."""

    id: str


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt in flight. Its outcome is still reported."""

    id: str
    attempt: int


@dataclass(slots=True)
class Watch:
    """Subscribe to changes of the endpoint list."""


@dataclass(slots=True)
class SetTimer:
    """Report a `TimerFired` of this name after the delay."""

    delay_ms: float
    name: str


Action = Send | Reject | Fail | Cancel | Watch | SetTimer
