"""The four rules over random legal sequences of events, against a small referee of the wire's rules."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.balancing import Balancer
from loadbalancer.balancing.actions import Action, Cancel, Fail, Reject, Send
from loadbalancer.balancing.events import (
    AttemptOutcome,
    EndpointListUpdate,
    Event,
    Request,
    RequestCancelled,
    StreamStarted,
    TimerFired,
)
from loadbalancer.endpoints import AttemptResult, Endpoint, EndpointListKind, EndpointStatus
from loadbalancer.service_settings import DeduplicationScope, Effect, ServiceClass, Settings

NEVER = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.ABANDONED)
CLASSES = (
    ServiceClass("safe", 1000, 2500, priority_weight=5, effect=Effect.IDEMPOTENT),
    ServiceClass("late", 1000, 2500, priority_weight=2, late_weight=0.4, effect=Effect.IDEMPOTENT),
    ServiceClass("unsafe", 800, 2000, effect=Effect.NON_IDEMPOTENT),
    ServiceClass(
        "all",
        800,
        2000,
        effect=Effect.IDEMPOTENCY_KEY,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_ms=400,
    ),
    ServiceClass(
        "zone",
        800,
        2000,
        effect=Effect.IDEMPOTENCY_KEY,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window_ms=900,
    ),
    ServiceClass(
        "cell",
        800,
        2000,
        effect=Effect.IDEMPOTENCY_KEY,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_ms=900,
    ),
    ServiceClass("stream", 800, 2000, stream=True, effect=Effect.NON_IDEMPOTENT),
)
COLD_MS, TIP_MS = 8000.0, 1500.0


@dataclass
class Call:
    """What the referee knows of one request."""

    kind: ServiceClass
    give_up: float
    tries: list[tuple[Endpoint, float]] = field(default_factory=list)
    results: dict[int, AttemptResult] = field(default_factory=dict)
    ended: bool = False
    streaming: int | None = None

    def out(self) -> list[int]:
        return [at for at in range(len(self.tries)) if at not in self.results]

    def may_have_run(self) -> list[tuple[Endpoint, float]]:
        return [item for at, item in enumerate(self.tries) if self.results.get(at) not in NEVER]


class Referee:
    def __init__(self, seed: int, max_attempts: int, cancel: bool) -> None:
        self.now = 500.0
        self.cfg = Settings(
            classes=CLASSES, zone="a", siblings=2, poll_discovery=True, may_cancel=cancel,
            max_attempts=max_attempts, slow_start_from=0.25, slow_start_ms=COLD_MS, overload_factor=2.5,
        )  # fmt: skip
        self.brain = Balancer(self.cfg, seed, self.now)
        self.calls: dict[str, Call] = {}
        self.listed: dict[str, Endpoint] = {}
        self.names = 0

    def give(self, event: Event) -> None:
        if isinstance(event, EndpointListUpdate) and event.kind is not EndpointListKind.FAILED:
            if event.kind is not EndpointListKind.DELTA:
                self.listed = {}
            self.listed.update({row.name: row for row in event.endpoints})
        if isinstance(event, Request):
            kind = next(kind for kind in CLASSES if kind.name == event.service)
            self.calls[event.id] = Call(kind, event.deadline_ms)
        for act in self.brain.handle(self.now, event):
            self.check(act)
        for name, call in self.calls.items():  # an open request with nothing out would never be answered
            assert call.ended or call.out(), name

    def check(self, act: Action) -> None:
        if isinstance(act, Send):
            self.check_send(act)
        elif isinstance(act, Reject | Fail):
            call = self.calls[act.id]
            assert not call.ended, "a second final answer"
            ran = call.may_have_run()
            if isinstance(act, Reject) and ran:
                keyed_all = (
                    call.kind.effect is Effect.IDEMPOTENCY_KEY
                    and call.kind.deduplication_scope is DeduplicationScope.ALL
                )
                assert call.kind.effect is Effect.IDEMPOTENT or keyed_all, "a refusal that is not true"
            call.ended = True
        elif isinstance(act, Cancel):
            assert self.cfg.may_cancel
            assert act.attempt < len(self.calls[act.id].tries)

    def check_send(self, act: Send) -> None:
        call, server = self.calls[act.id], self.listed[act.server]
        assert not call.ended, "a send after the end"
        assert server.state is EndpointStatus.UP, "a send to a server that drains or is gone"
        assert len(call.tries) < self.cfg.max_attempts
        assert act.timeout_ms >= 0
        ran = call.may_have_run()
        if call.kind.effect is not Effect.IDEMPOTENT and ran:
            assert call.kind.effect is Effect.IDEMPOTENCY_KEY, "an unsafe request sent twice"
            first, then = ran[0]
            assert self.now - then <= call.kind.deduplication_window_ms, "sent after the key may be forgotten"
            assert self.now < act.written_by_ms < then + call.kind.deduplication_window_ms, (
                "no bound on when it is written"
            )
            if call.kind.deduplication_scope is not DeduplicationScope.ALL:
                assert server.zone == first.zone
            if call.kind.deduplication_scope is DeduplicationScope.CELL:
                assert server.cell == first.cell
        call.tries.append((server, self.now))

    # the moves that a day may make

    def request(self, kind: int, patience: float) -> None:
        self.names += 1
        name = f"q{self.names}"
        self.give(Request(name, CLASSES[kind % len(CLASSES)].name, self.now + patience))

    def outcome(self, pick: int, result: AttemptResult, report: bool) -> None:
        waiting = [(name, at) for name, call in self.calls.items() for at in call.out()]
        if not waiting:
            return
        name, at = waiting[pick % len(waiting)]
        call = self.calls[name]
        server, then = call.tries[at]
        call.results[at] = result
        if not call.ended and (result is AttemptResult.OK or call.streaming == at):
            call.ended = True
        told = {"queue": 2.0, "util": 0.97} if report else None
        self.give(AttemptOutcome(name, at, server.name, result, self.now - then, call.ended, told))

    def lapse(self, pick: int) -> None:
        if self.calls:
            name = list(self.calls)[pick % len(self.calls)]
            self.calls[name].ended = True
            self.give(RequestCancelled(name))

    def stream(self, pick: int) -> None:
        waiting = [
            name for name, call in self.calls.items() if call.kind.stream and call.out() and not call.ended
        ]
        if waiting:
            call = self.calls[waiting[pick % len(waiting)]]
            call.streaming = call.out()[0]
            self.give(StreamStarted(waiting[pick % len(waiting)], call.streaming))

    def members(self, form: EndpointListKind, pick: int, state: EndpointStatus, fresh: bool) -> None:
        rows = [
            Endpoint(
                f"s{at}", "ab"[at % 2], at % 3, launched_ms=self.now if fresh and at == pick % 6 else None
            )
            for at in range(6)
        ]
        rows[(pick + 1) % 6].state = state
        if form is EndpointListKind.DELTA:
            rows = rows[pick % 6 :]
        elif form is EndpointListKind.FULL:
            rows = [row for row in rows if row.state is not EndpointStatus.REMOVED][: 1 + pick % 6]
        self.give(EndpointListUpdate(form, () if form is EndpointListKind.FAILED else tuple(rows)))


MOVES = st.one_of(
    st.tuples(st.just("request"), st.integers(0, 6), st.floats(1.0, 2500.0)),
    st.tuples(st.just("request"), st.integers(0, 6), st.floats(1.0, 2500.0)),
    st.tuples(st.just("outcome"), st.integers(0, 40), st.sampled_from(list(AttemptResult)), st.booleans()),
    st.tuples(st.just("outcome"), st.integers(0, 40), st.sampled_from(list(AttemptResult)), st.booleans()),
    st.tuples(st.just("lapse"), st.integers(0, 40)),
    st.tuples(st.just("stream"), st.integers(0, 5)),
    st.tuples(
        st.just("members"),
        st.sampled_from([form for form in EndpointListKind if form is not EndpointListKind.CACHED]),
        st.integers(0, 11),
        st.sampled_from(list(EndpointStatus)),
        st.booleans(),
    ),
    st.tuples(st.just("alarm"), st.sampled_from(["period", "watch", "other"])),
    st.tuples(st.just("wait"), st.floats(0.0, 600.0)),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    attempts=st.integers(1, 4),
    cancel=st.booleans(),
    moves=st.lists(MOVES, min_size=10, max_size=120),
)
def test_the_rules_hold_over_any_legal_sequence(seed, attempts, cancel, moves):
    referee = Referee(seed, attempts, cancel)
    rows = tuple(Endpoint(f"s{at}", "ab"[at % 2], at % 3) for at in range(6))
    referee.give(EndpointListUpdate(EndpointListKind.CACHED, rows))
    for name, *given_ in moves:
        if name == "wait":
            referee.now += given_[0]
        elif name == "alarm":
            referee.give(TimerFired(given_[0]))
        else:
            getattr(referee, name)(*given_)
    for _ in range(600):  # at last every attempt ends, as the wire promises
        if not any(call.out() for call in referee.calls.values()):
            break
        referee.now += 1.0
        referee.outcome(0, AttemptResult.TIMEOUT, False)
    assert all(call.ended for call in referee.calls.values())
    assert referee.brain.pending == {}


@settings(derandomize=True, max_examples=30, deadline=None)
@given(seed=st.integers(0, 2**32), nodes=st.integers(1, 40), gap=st.floats(1.0, 30.0))
def test_a_cold_server_keeps_within_its_budget_over_all_balancers(seed, nodes, gap):
    """In any window all balancers together stay under multiple x present share x what a warm server gets."""
    warm = 12
    rows = tuple(Endpoint(f"s{at}", "a", 0) for at in range(warm))
    referees = [Referee(seed + at, 2, True) for at in range(nodes)]
    for referee in referees:
        referee.give(EndpointListUpdate(EndpointListKind.CACHED, rows))
        referee.now += 200.0
        born = Endpoint("cold", "a", 0, launched_ms=referee.now)
        referee.give(EndpointListUpdate(EndpointListKind.DELTA, (born,)))
    sends: deque[float] = deque()
    for at in range(600):
        referee = referees[at % nodes]
        referee.now = 700.0 + at * gap
        referee.request(0, 2000.0)
        call = referee.calls[f"q{referee.names}"]
        sends.extend(then for server, then in call.tries if server.name == "cold")
        if call.tries:
            referee.outcome(0, AttemptResult.OK, False)
        while sends and sends[0] <= referee.now - TIP_MS:
            sends.popleft()
        present = 0.25 + 0.75 * min(1.0, at * gap / COLD_MS)
        budget = 2.5 * present * (TIP_MS / gap) / (warm + 1)
        assert len(sends) <= budget + 3.0 * (budget / 2.5) ** 0.5 + 2.0
