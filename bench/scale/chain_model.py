"""Chains of tiers in simulated time: real Balancers, modelled servers, no sockets.

A tier has several nodes, each a Balancer in front of all of the tier's servers. A server processes a call,
calls the next tier through one of that tier's nodes, and responds after it got a response: with an error if
its call was rejected or failed. It forwards the remaining time, which a real node sends in its deadline
header (loadbalancer/node/listener/request_translation.py). The same seed gives the same run.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from random import Random

from loadbalancer.balancing import Balancer
from loadbalancer.balancing.actions import Action, Cancel, Fail, Reject, Send, SetTimer, Watch
from loadbalancer.balancing.events import (
    AttemptOutcome,
    EndpointListUpdate,
    Event,
    Request,
    RequestCancelled,
    TimerFired,
)
from loadbalancer.endpoints import AttemptResult, Endpoint, EndpointListKind
from loadbalancer.node.listener.request_translation import RESPONSE_MARGIN_S
from loadbalancer.service_settings import Effect, ServiceClass, Settings

CLASS = "read"
RESPONSE_MARGIN_MS = RESPONSE_MARGIN_S * 1000.0
NETWORK_MS = 0.25  # one way between a node and a server
UTILISATION_MS = 1000.0  # time constant that smooths the utilisation in a server's load report


class Clock:
    """Simulated time: scheduled functions run in the order of their times, then of their scheduling."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def after(self, delay_ms: float, function: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now_ms + delay_ms, next(self._numbers), function))

    def run(self, until_ms: float) -> None:
        while self._due and self._due[0][0] <= until_ms:
            self.now_ms, _, function = heapq.heappop(self._due)
            function()


class CallResult(Enum):
    """Result of a call through a node."""

    OK = "ok"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(slots=True)
class ClientCall:
    """A client's call and all attempts made for it, by tier (0: the front)."""

    arrived_ms: float
    attempts_by_tier: list[int]
    rejections_by_tier: list[int]  # by the nodes of each tier
    ended_ms: float = math.nan
    result: CallResult | None = None


@dataclass(slots=True)
class Call:
    """One call at a node, from a client or from a server of the previous tier."""

    id: str
    node: Node
    client_call: ClientCall
    deadline_ms: float
    on_result: Callable[[CallResult], None]
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False


@dataclass(slots=True)
class Attempt:
    """One attempt of a call at a server."""

    call: Call
    number: int
    server: Server
    sent_ms: float
    deadline_ms: float
    ended: bool = False
    next_tier_call: Call | None = None


# ------------------------------------------------------------------------- servers


class Fault(Enum):
    """Fault of the last tier."""

    HEALTHY = "healthy"
    SLOW = "slow"  # each response is delayed without use of a core
    FAILING = "failing"  # a fraction of the responses are errors
    SATURATED = "saturated"  # calls arrive faster than its cores can serve them


@dataclass(slots=True)
class ServerBehaviour:
    """How a server responds; may change during a run."""

    work_ms: float  # mean time on its core, of an exponential distribution
    wait_ms: float = 0.0  # mean further delay without a core, of an exponential distribution
    error_fraction: float = 0.0


class Server:
    """A server with one core, a bounded queue, and a node for its calls to the next tier."""

    def __init__(
        self, clock: Clock, name: str, behaviour: ServerBehaviour, queue_capacity: int, seed: str
    ) -> None:
        self.clock, self.name, self.behaviour, self.queue_capacity = clock, name, behaviour, queue_capacity
        self.next_tier: Node | None = None
        self._random = Random(seed)
        self._queue: deque[Attempt] = deque()
        self._busy = False
        self._utilisation, self._changed_ms = 0.0, 0.0

    def receive(self, attempt: Attempt) -> None:
        if len(self._queue) >= self.queue_capacity:
            self._respond(attempt, AttemptResult.REJECTED)
            return
        self._queue.append(attempt)
        self._start_next()

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt: work in progress is finished, the call to the next tier is cancelled."""
        if attempt.next_tier_call is not None:
            attempt.next_tier_call.node.cancel(attempt.next_tier_call)

    def report(self) -> dict[str, float]:
        self._update_utilisation()
        return {"queue": float(len(self._queue)), "util": self._utilisation}

    def _start_next(self) -> None:
        while self._queue and not self._busy:
            attempt = self._queue.popleft()
            if attempt.ended:
                continue
            self._set_busy(True)
            work_ms = self._random.expovariate(1.0 / self.behaviour.work_ms)
            self.clock.after(work_ms, lambda attempt=attempt: self._on_work_done(attempt))  # type: ignore[misc]

    def _on_work_done(self, attempt: Attempt) -> None:
        self._set_busy(False)
        self._start_next()
        if attempt.ended:
            return
        if self.next_tier is not None:
            attempt.next_tier_call = self.next_tier.call(
                attempt.call.client_call,
                attempt.deadline_ms,
                lambda result: self._on_next_tier_result(attempt, result),
            )
        elif self.behaviour.wait_ms:
            wait_ms = self._random.expovariate(1.0 / self.behaviour.wait_ms)
            self.clock.after(wait_ms, lambda: self._finish(attempt))
        else:
            self._finish(attempt)

    def _finish(self, attempt: Attempt) -> None:
        failed = self._random.random() < self.behaviour.error_fraction
        self._respond(attempt, AttemptResult.ERROR if failed else AttemptResult.OK)

    def _on_next_tier_result(self, attempt: Attempt, result: CallResult) -> None:
        self._respond(attempt, AttemptResult.OK if result is CallResult.OK else AttemptResult.ERROR)

    def _respond(self, attempt: Attempt, result: AttemptResult) -> None:
        report = self.report()
        self.clock.after(NETWORK_MS, lambda: attempt.call.node.end(attempt, result, report))

    def _set_busy(self, busy: bool) -> None:
        self._update_utilisation()
        self._busy = busy

    def _update_utilisation(self) -> None:
        gain = 1.0 - math.exp((self._changed_ms - self.clock.now_ms) / UTILISATION_MS)
        self._utilisation += gain * (self._busy - self._utilisation)
        self._changed_ms = self.clock.now_ms


# --------------------------------------------------------------------------- nodes


class Node:
    """Runs one Balancer in front of a tier's servers, as loadbalancer/node/ does in a real node."""

    def __init__(
        self, clock: Clock, tier: int, settings: Settings, servers: Sequence[Server], seed: int
    ) -> None:
        self.clock, self.tier = clock, tier
        self.balancer = Balancer(settings, seed, clock.now_ms)
        self._servers = {server.name: server for server in servers}
        self._calls: dict[str, Call] = {}
        self._numbers = count(1)
        listed = tuple(Endpoint(name) for name in self._servers)
        self._handle(EndpointListUpdate(EndpointListKind.FULL, listed))

    def call(
        self, client_call: ClientCall, deadline_ms: float, on_result: Callable[[CallResult], None]
    ) -> Call:
        call = Call(
            f"call-{next(self._numbers)}", self, client_call, deadline_ms - RESPONSE_MARGIN_MS, on_result
        )
        self._calls[call.id] = call
        self._handle(Request(call.id, CLASS, call.deadline_ms))
        return call

    def cancel(self, call: Call) -> None:
        """Cancel a call whose client or server no longer waits for it."""
        if not call.done:
            call.done = True
            self._handle(RequestCancelled(call.id))
            self._forget(call)

    def end(self, attempt: Attempt, result: AttemptResult, report: dict[str, float] | None) -> None:
        """Handle an attempt's outcome, once; deliver a successful response before notifying the Balancer."""
        if attempt.ended:
            return
        attempt.ended = True
        call = attempt.call
        if result is AttemptResult.OK:
            self._finish_call(call, CallResult.OK)
        elif result in (AttemptResult.TIMEOUT, AttemptResult.CANCELLED):
            attempt.server.cancel(attempt)
        latency_ms = self.clock.now_ms - attempt.sent_ms
        server = attempt.server.name
        self._handle(AttemptOutcome(call.id, attempt.number, server, result, latency_ms, call.done, report))
        self._forget(call)

    def _handle(self, event: Event) -> None:
        for action in self.balancer.handle(self.clock.now_ms, event):
            self._execute(action)

    def _execute(self, action: Action) -> None:
        match action:
            case Send():
                self._send(self._calls[action.id], action)
            case Reject():
                self._calls[action.id].client_call.rejections_by_tier[self.tier] += 1
                self._finish_call(self._calls[action.id], CallResult.REJECTED)
            case Fail():
                self._finish_call(self._calls[action.id], CallResult.FAILED)
            case Cancel():
                attempt = self._calls[action.id].attempts[action.attempt]
                self.clock.after(0.0, lambda: self.end(attempt, AttemptResult.CANCELLED, None))
            case SetTimer():
                self.clock.after(action.delay_ms, lambda: self._handle(TimerFired(action.name)))
            case Watch():
                pass  # the endpoint list never changes here

    def _send(self, call: Call, action: Send) -> None:
        now_ms = self.clock.now_ms
        remaining_ms = call.deadline_ms - now_ms
        timeout_ms = min(remaining_ms, action.timeout_ms) if action.timeout_ms > 0.0 else remaining_ms
        server = self._servers[action.server]
        attempt = Attempt(call, len(call.attempts), server, now_ms, now_ms + timeout_ms)
        call.attempts.append(attempt)
        call.client_call.attempts_by_tier[self.tier] += 1
        self.clock.after(NETWORK_MS, lambda: server.receive(attempt))
        self.clock.after(timeout_ms, lambda: self.end(attempt, AttemptResult.TIMEOUT, None))

    def _finish_call(self, call: Call, result: CallResult) -> None:
        if not call.done:
            call.done = True
            call.on_result(result)
            self._forget(call)

    def _forget(self, call: Call) -> None:
        if call.done and all(attempt.ended for attempt in call.attempts):
            self._calls.pop(call.id, None)


# -------------------------------------------------------------------------- chains


@dataclass(frozen=True)
class Shape:
    """Size and load of a chain, and the parameters of each fault."""

    depth: int
    nodes: int = 3  # of each tier
    servers: int = 6  # of each tier
    queue_capacity: int = 32  # calls in a server's queue; further ones are rejected
    work_ms: float = 20.0
    calls_per_s: float = 100.0  # of all clients
    latency_objective_ms: float = 2000.0
    client_timeout_ms: float = 5000.0
    max_attempts: int = 3
    slow_ms: float = 600.0
    error_fraction: float = 0.3
    overload: float = 1.5  # load of a saturated last tier, as a multiple of what it can serve

    def settings(self, tier: int) -> Settings:
        read = ServiceClass(
            CLASS,
            latency_objective_ms=self.latency_objective_ms,
            client_timeout_ms=self.client_timeout_ms,
            priority_weight=12.0,
            effect=Effect.IDEMPOTENT,
        )
        return Settings(
            classes=(read,),
            tier=tier,
            siblings=self.nodes,
            load_report_fields=("queue", "util"),
            may_cancel=True,
            max_attempts=self.max_attempts,
        )

    def last_tier_behaviour(self, fault: Fault) -> ServerBehaviour:
        match fault:
            case Fault.HEALTHY:
                return ServerBehaviour(self.work_ms)
            case Fault.SLOW:
                return ServerBehaviour(self.work_ms, wait_ms=self.slow_ms)
            case Fault.FAILING:
                return ServerBehaviour(self.work_ms, error_fraction=self.error_fraction)
            case Fault.SATURATED:
                return ServerBehaviour(self.overload * self.servers * 1000.0 / self.calls_per_s)


class Chain:
    """Tiers behind clients whose calls arrive as a Poisson process; clients don't retry."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape, self.clock = shape, Clock()
        self.client_calls: list[ClientCall] = []
        # The text of the seed decides the arrivals: changing it would change every seeded run.
        self._random = Random(f"users-{seed}")
        self._tiers = [self._servers(tier, seed) for tier in range(shape.depth)]
        nodes = [self._nodes(tier, seed) for tier in range(shape.depth)]
        self._front = nodes[0]
        for servers, next_nodes in zip(self._tiers[:-1], nodes[1:], strict=True):
            for at, server in enumerate(servers):
                server.next_tier = next_nodes[at % len(next_nodes)]

    def _servers(self, tier: int, seed: int) -> list[Server]:
        shape = self.shape
        names = [f"tier-{tier}-server-{at}" for at in range(shape.servers)]
        return [
            Server(self.clock, name, ServerBehaviour(shape.work_ms), shape.queue_capacity, f"{seed}-{name}")
            for name in names
        ]

    def _nodes(self, tier: int, seed: int) -> list[Node]:
        shape = self.shape
        seeds = [Random(f"{seed}-tier-{tier}-node-{at}").getrandbits(63) for at in range(shape.nodes)]
        return [Node(self.clock, tier, shape.settings(tier), self._tiers[tier], seed) for seed in seeds]

    def set_last_tier(self, fault: Fault) -> None:
        for server in self._tiers[-1]:
            server.behaviour = self.shape.last_tier_behaviour(fault)

    def run(self, warm_ms: float, measured_ms: float, fault: Fault) -> list[ClientCall]:
        """Run healthy for `warm_ms`, then with the fault; return the calls that arrived during the fault."""
        end_ms = warm_ms + measured_ms
        self.clock.after(warm_ms, lambda: self.set_last_tier(fault))
        self._schedule_arrival(end_ms)
        self.clock.run(end_ms + self.shape.client_timeout_ms)
        return [client_call for client_call in self.client_calls if client_call.arrived_ms >= warm_ms]

    def _schedule_arrival(self, end_ms: float) -> None:
        delay_ms = self._random.expovariate(self.shape.calls_per_s / 1000.0)
        if self.clock.now_ms + delay_ms < end_ms:
            self.clock.after(delay_ms, lambda: self._arrive(end_ms))

    def _arrive(self, end_ms: float) -> None:
        now_ms, depth = self.clock.now_ms, self.shape.depth
        client_call = ClientCall(now_ms, [0] * depth, [0] * depth)
        self.client_calls.append(client_call)
        node = self._random.choice(self._front)
        node.call(
            client_call, now_ms + self.shape.client_timeout_ms, lambda result: self._end(client_call, result)
        )
        self._schedule_arrival(end_ms)

    def _end(self, client_call: ClientCall, result: CallResult) -> None:
        client_call.result, client_call.ended_ms = result, self.clock.now_ms
