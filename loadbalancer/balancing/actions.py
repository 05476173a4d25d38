"""Actions that the balancer returns and its host carries out. Times are in milliseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class Send:
    """Make an attempt of a request at a server; its number is the count of the request's earlier attempts."""

    id: str
    server: str
    timeout_ms: float = 0.0  # 0: until the client's deadline
    # The host must have written the attempt's last byte by this time. A server that receives it later may
    # have forgotten the idempotency key, and would execute the request a second time. Only the host uses
    # this time, so `repr=False` leaves it out of the recorded decisions.
    written_by_ms: float = field(default=math.inf, repr=False)


@dataclass(slots=True)
class Reject:
    """Send the final response to a request that a client may safely retry: no effect yet, or idempotent."""

    id: str
    retry_after_ms: float = 0.0  # 0: the response has no Retry-After


@dataclass(slots=True)
class Fail:
    """Send the final response to a request that may have had an effect."""

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
    """Start a timer; its `TimerFired` event carries the same name."""

    delay_ms: float
    name: str


Action = Send | Reject | Fail | Cancel | Watch | SetTimer
