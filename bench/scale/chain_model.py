"""Chains of tiers in simulated time: real Balancers, modelled servers, no sockets.

A tier is some nodes, each a Balancer over all of the tier's servers. A server works on a call, calls the next
tier through one of its nodes, and answers once that has answered: an error where the call was refused or
failed, as a server that depends on it must. It passes on the time that it was given, as a node's deadline
header tells it (loadbalancer/node/listener/request_translation.py). The same seed gives the same run.
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
WAY_BACK_MS = RESPONSE_MARGIN_S * 1000.0
NETWORK_MS = 0.25  # one way between a node and a server
UTILISATION_MS = 1000.0  # smoothing of the utilisation that a server reports


class Clock:
    """Simulated time: what is due happens in the order of its time, at equal times as it was asked for."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def after(self, delay_ms: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now_ms + delay_ms, next(self._numbers), act))

    def run(self, until_ms: float) -> None:
        while self._due and self._due[0][0] <= until_ms:
            self.now_ms, _, act = heapq.heappop(self._due)
            act()


class Answer(Enum):
    """How a call through a node ended."""

    OK = "ok"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class UserCall:
    """A user's call and all that was sent for it, by tier (0: the front)."""

    arrived_ms: float
    sends: list[int]
    refusals: list[int]  # by the nodes of each tier
    ended_ms: float = math.nan
    answer: Answer | None = None


@dataclass(slots=True)
class Call:
    """One call at a node: a user's, or a server's of the tier above."""

    id: str
    node: Node
    user: UserCall
    give_up_at_ms: float
    on_answer: Callable[[Answer], None]
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False


@dataclass(slots=True)
class Attempt:
    call: Call
    number: int
    server: Server
    sent_ms: float
    give_up_at_ms: float
    ended: bool = False
    below: Call | None = None  # the server's call to the next tier


# ------------------------------------------------------------------------- servers


class Trouble(Enum):
    """What is wrong with the last tier."""

    HEALTHY = "healthy"
    SLOW = "slow"  # each answer waits, without a core
    FAILING = "failing"  # a share of the answers are errors
    SATURATED = "saturated"  # more calls come than its cores can serve


@dataclass(slots=True)
class Conduct:
    """How a server serves; changed while it runs."""

    work_ms: float  # mean of an exponential distribution
    wait_ms: float = 0.0  # mean of what is waited after it, without a core
    error_share: float = 0.0


class Server:
    """One core, a bounded queue before it, and the node that its calls to the next tier go through."""

    def __init__(self, clock: Clock, name: str, conduct: Conduct, room: int, seed: str) -> None:
        self.clock, self.name, self.conduct, self.room = clock, name, conduct, room
        self.next_tier: Node | None = None
        self._random = Random(seed)
        self._queue: deque[Attempt] = deque()
        self._busy = False
        self._utilisation, self._changed_ms = 0.0, 0.0

    def receive(self, attempt: Attempt) -> None:
        if len(self._queue) >= self.room:
            self._respond(attempt, AttemptResult.REJECTED)
            return
        self._queue.append(attempt)
        self._work()

    def abandon(self, attempt: Attempt) -> None:
        """The caller has gone: work under way is finished, its call to the next tier is given up."""
        if attempt.below is not None:
            attempt.below.node.lapse(attempt.below)

    def report(self) -> dict[str, float]:
        self._follow_utilisation()
        return {"queue": float(len(self._queue)), "util": self._utilisation}

    def _work(self) -> None:
        while self._queue and not self._busy:
            attempt = self._queue.popleft()
            if attempt.ended:
                continue
            self._set_busy(True)
            work_ms = self._random.expovariate(1.0 / self.conduct.work_ms)
            self.clock.after(work_ms, lambda attempt=attempt: self._worked(attempt))  # type: ignore[misc]

    def _worked(self, attempt: Attempt) -> None:
        self._set_busy(False)
        self._work()
        if attempt.ended:
            return
        if self.next_tier is not None:
            attempt.below = self.next_tier.call(
                attempt.call.user, attempt.give_up_at_ms, lambda answer: self._answered(attempt, answer)
            )
        elif self.conduct.wait_ms:
            wait_ms = self._random.expovariate(1.0 / self.conduct.wait_ms)
            self.clock.after(wait_ms, lambda: self._finish(attempt))
        else:
            self._finish(attempt)

    def _finish(self, attempt: Attempt) -> None:
        failed = self._random.random() < self.conduct.error_share
        self._respond(attempt, AttemptResult.ERROR if failed else AttemptResult.OK)

    def _answered(self, attempt: Attempt, answer: Answer) -> None:
        self._respond(attempt, AttemptResult.OK if answer is Answer.OK else AttemptResult.ERROR)

    def _respond(self, attempt: Attempt, result: AttemptResult) -> None:
        report = self.report()
        self.clock.after(NETWORK_MS, lambda: attempt.call.node.end(attempt, result, report))

    def _set_busy(self, busy: bool) -> None:
        self._follow_utilisation()
        self._busy = busy

    def _follow_utilisation(self) -> None:
        gain = 1.0 - math.exp((self._changed_ms - self.clock.now_ms) / UTILISATION_MS)
        self._utilisation += gain * (self._busy - self._utilisation)
        self._changed_ms = self.clock.now_ms


# --------------------------------------------------------------------------- nodes


class Node:
    """The host of one Balancer in front of a tier's servers, as loadbalancer/node/ is in a real node."""

    def __init__(
        self, clock: Clock, tier: int, settings: Settings, servers: Sequence[Server], seed: int
    ) -> None:
        self.clock, self.tier = clock, tier
        self.balancer = Balancer(settings, seed, clock.now_ms)
        self._servers = {server.name: server for server in servers}
        self._calls: dict[str, Call] = {}
        self._numbers = count(1)
        listed = tuple(Endpoint(name) for name in self._servers)
        self._tell(EndpointListUpdate(EndpointListKind.FULL, listed))

    def call(self, user: UserCall, give_up_at_ms: float, on_answer: Callable[[Answer], None]) -> Call:
        call = Call(f"call-{next(self._numbers)}", self, user, give_up_at_ms - WAY_BACK_MS, on_answer)
        self._calls[call.id] = call
        self._tell(Request(call.id, CLASS, call.give_up_at_ms))
        return call

    def lapse(self, call: Call) -> None:
        """Its caller has gone."""
        if not call.done:
            call.done = True
            self._tell(RequestCancelled(call.id))
            self._forget(call)

    def end(self, attempt: Attempt, result: AttemptResult, report: dict[str, float] | None) -> None:
        """An attempt's one outcome; the first good answer goes to the caller before the Balancer hears it."""
        if attempt.ended:
            return
        attempt.ended = True
        call = attempt.call
        if result is AttemptResult.OK:
            self._answer(call, Answer.OK)
        elif result in (AttemptResult.TIMEOUT, AttemptResult.CANCELLED):
            attempt.server.abandon(attempt)
        latency_ms = self.clock.now_ms - attempt.sent_ms
        server = attempt.server.name
        self._tell(AttemptOutcome(call.id, attempt.number, server, result, latency_ms, call.done, report))
        self._forget(call)

    def _tell(self, event: Event) -> None:
        for action in self.balancer.handle(self.clock.now_ms, event):
            self._act(action)

    def _act(self, action: Action) -> None:
        match action:
            case Send():
                self._send(self._calls[action.id], action)
            case Reject():
                self._calls[action.id].user.refusals[self.tier] += 1
                self._answer(self._calls[action.id], Answer.REFUSED)
            case Fail():
                self._answer(self._calls[action.id], Answer.FAILED)
            case Cancel():
                attempt = self._calls[action.id].attempts[action.attempt]
                self.clock.after(0.0, lambda: self.end(attempt, AttemptResult.CANCELLED, None))
            case SetTimer():
                self.clock.after(action.delay_ms, lambda: self._tell(TimerFired(action.name)))
            case Watch():
                pass  # the list never changes here

    def _send(self, call: Call, action: Send) -> None:
        now_ms = self.clock.now_ms
        left_ms = call.give_up_at_ms - now_ms
        timeout_ms = min(left_ms, action.timeout_ms) if action.timeout_ms > 0.0 else left_ms
        server = self._servers[action.server]
        attempt = Attempt(call, len(call.attempts), server, now_ms, now_ms + timeout_ms)
        call.attempts.append(attempt)
        call.user.sends[self.tier] += 1
        self.clock.after(NETWORK_MS, lambda: server.receive(attempt))
        self.clock.after(timeout_ms, lambda: self.end(attempt, AttemptResult.TIMEOUT, None))

    def _answer(self, call: Call, answer: Answer) -> None:
        if not call.done:
            call.done = True
            call.on_answer(answer)
            self._forget(call)

    def _forget(self, call: Call) -> None:
        if call.done and all(attempt.ended for attempt in call.attempts):
            self._calls.pop(call.id, None)


# -------------------------------------------------------------------------- chains


@dataclass(frozen=True)
class Shape:
    """What a chain is made of, and what its trouble is where it has one."""

    depth: int
    nodes: int = 3  # of each tier
    servers: int = 6  # of each tier
    room: int = 32  # calls that wait at a server; more are turned away
    work_ms: float = 20.0
    calls_per_s: float = 100.0  # users'
    aim_ms: float = 2000.0
    give_up_ms: float = 5000.0
    max_attempts: int = 3
    slow_ms: float = 600.0
    error_share: float = 0.3
    overload: float = 1.5  # a saturated last tier is sent so many times what it could serve

    def settings(self, tier: int) -> Settings:
        read = ServiceClass(
            CLASS,
            latency_objective_ms=self.aim_ms,
            client_timeout_ms=self.give_up_ms,
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

    def last_tier(self, trouble: Trouble) -> Conduct:
        match trouble:
            case Trouble.HEALTHY:
                return Conduct(self.work_ms)
            case Trouble.SLOW:
                return Conduct(self.work_ms, wait_ms=self.slow_ms)
            case Trouble.FAILING:
                return Conduct(self.work_ms, error_share=self.error_share)
            case Trouble.SATURATED:
                return Conduct(self.overload * self.servers * 1000.0 / self.calls_per_s)


class Chain:
    """Tiers under users whose calls come as a Poisson process and are not repeated by them."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape, self.clock = shape, Clock()
        self.users: list[UserCall] = []
        self._random = Random(f"users-{seed}")
        self._tiers = [self._servers(tier, seed) for tier in range(shape.depth)]
        nodes = [self._nodes(tier, seed) for tier in range(shape.depth)]
        self._front = nodes[0]
        for servers, below in zip(self._tiers[:-1], nodes[1:], strict=True):
            for at, server in enumerate(servers):
                server.next_tier = below[at % len(below)]

    def _servers(self, tier: int, seed: int) -> list[Server]:
        shape = self.shape
        names = [f"tier-{tier}-server-{at}" for at in range(shape.servers)]
        return [
            Server(self.clock, name, Conduct(shape.work_ms), shape.room, f"{seed}-{name}") for name in names
        ]

    def _nodes(self, tier: int, seed: int) -> list[Node]:
        shape = self.shape
        seeds = [Random(f"{seed}-tier-{tier}-node-{at}").getrandbits(63) for at in range(shape.nodes)]
        return [Node(self.clock, tier, shape.settings(tier), self._tiers[tier], seed) for seed in seeds]

    def set_last_tier(self, trouble: Trouble) -> None:
        for server in self._tiers[-1]:
            server.conduct = self.shape.last_tier(trouble)

    def run(self, warm_ms: float, measured_ms: float, trouble: Trouble) -> list[UserCall]:
        """Healthy for `warm_ms`, then with the trouble; the calls that came with it, all ended."""
        end_ms = warm_ms + measured_ms
        self.clock.after(warm_ms, lambda: self.set_last_tier(trouble))
        self._next_user(end_ms)
        self.clock.run(end_ms + self.shape.give_up_ms)
        return [user for user in self.users if user.arrived_ms >= warm_ms]

    def _next_user(self, end_ms: float) -> None:
        delay_ms = self._random.expovariate(self.shape.calls_per_s / 1000.0)
        if self.clock.now_ms + delay_ms < end_ms:
            self.clock.after(delay_ms, lambda: self._arrive(end_ms))

    def _arrive(self, end_ms: float) -> None:
        now_ms, depth = self.clock.now_ms, self.shape.depth
        user = UserCall(now_ms, [0] * depth, [0] * depth)
        self.users.append(user)
        node = self._random.choice(self._front)
        node.call(user, now_ms + self.shape.give_up_ms, lambda answer: self._end(user, answer))
        self._next_user(end_ms)

    def _end(self, user: UserCall, answer: Answer) -> None:
        user.answer, user.ended_ms = answer, self.clock.now_ms
