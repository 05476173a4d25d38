"""A request that the balancer handles."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.listener.inbound_request import InboundRequest
from loadbalancer.node.upstream.attempt import Attempt


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request that the balancer handles; active until it is answered and no attempt is in flight."""

    id: str
    service: str  # the name of its service class
    inbound: InboundRequest
    deadline: float  # loop time (s)
    client_timeout_s: float  # starts at the request's last byte
    received_at: float  # loop time (s) of its last byte, or of its dispatch while it is being received
    executes_once: bool  # whether it must not be executed a second time
    reserved_bytes: int  # of the memory budget, until its response has ended and no attempt is in flight
    backstop_timer: asyncio.TimerHandle | None = None
    check_timer: asyncio.TimerHandle | None = None  # of its upload or of its streamed response
    answered: bool = False
    streaming: bool = False  # its response is being streamed
    attempts: list[Attempt | None] = field(default_factory=list)  # None for an attempt that has ended
    attempts_in_flight: int = 0
    last_result: AttemptResult | None = None
    possibly_executed: bool = False  # according to the results of its attempts so far
    claimed: bool = False  # its id, for its attempts
