"""Property tests of the balancer: its rules hold for random valid sequences of events.

`RuleChecker` drives a balancer and checks each action against a small model of the rules: one final response
to each request, no second effect, attempts only to endpoints that are up, and limits within the settings.
"""

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

NEVER_EXECUTED = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.ABANDONED)
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
SLOW_START_MS, WINDOW_MS = 8000.0, 1500.0


@dataclass
class RequestRecord:
    """A request as the checker has observed it."""

    service_class: ServiceClass
    deadline_ms: float
    attempts: list[tuple[Endpoint, float]] = field(default_factory=list)
    results: dict[int, AttemptResult] = field(default_factory=dict)
    ended: bool = False
    streaming: int | None = None

    def attempts_in_flight(self) -> list[int]:
        return [index for index in range(len(self.attempts)) if index not in self.results]

    def possibly_executed(self) -> list[tuple[Endpoint, float]]:
        return [
            attempt
            for index, attempt in enumerate(self.attempts)
            if self.results.get(index) not in NEVER_EXECUTED
        ]


class RuleChecker:
    """A balancer with a clock and a record of its requests; asserts the rules on every action."""

    def __init__(self, seed: int, max_attempts: int, cancel: bool) -> None:
        self.now = 500.0
        self.settings = Settings(
            classes=CLASSES, zone="a", siblings=2, poll_discovery=True, may_cancel=cancel,
            max_attempts=max_attempts, slow_start_from=0.25, slow_start_ms=SLOW_START_MS, overload_factor=2.5,
        )  # fmt: skip
        self.balancer = Balancer(self.settings, seed, self.now)
        self.requests: dict[str, RequestRecord] = {}
        self.listed: dict[str, Endpoint] = {}
        self.request_count = 0

    def handle(self, event: Event) -> None:
        if isinstance(event, EndpointListUpdate) and event.kind is not EndpointListKind.FAILED:
            if event.kind is not EndpointListKind.DELTA:
                self.listed = {}
            self.listed.update({endpoint.name: endpoint for endpoint in event.endpoints})
        if isinstance(event, Request):
            service_class = next(each for each in CLASSES if each.name == event.service)
            self.requests[event.id] = RequestRecord(service_class, event.deadline_ms)
        for action in self.balancer.handle(self.now, event):
            self.check_action(action)
        # A pending request without an attempt in flight would never get a response.
        for request_id, record in self.requests.items():
            assert record.ended or record.attempts_in_flight(), request_id

    def check_action(self, action: Action) -> None:
        if isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Reject | Fail):
            record = self.requests[action.id]
            assert not record.ended, "a second final response"
            executed = record.possibly_executed()
            if isinstance(action, Reject) and executed:  # a rejection states that a retry is safe
                key_known_to_all = (
                    record.service_class.effect is Effect.IDEMPOTENCY_KEY
                    and record.service_class.deduplication_scope is DeduplicationScope.ALL
                )
                assert record.service_class.effect is Effect.IDEMPOTENT or key_known_to_all, (
                    "a rejection although a retry is not safe"
                )
            record.ended = True
        elif isinstance(action, Cancel):
            assert self.settings.may_cancel
            assert action.attempt < len(self.requests[action.id].attempts)

    def check_send(self, action: Send) -> None:
        record, server = self.requests[action.id], self.listed[action.server]
        assert not record.ended, "an attempt after the final response"
        assert server.state is EndpointStatus.UP, "an attempt at a draining or removed server"
        assert len(record.attempts) < self.settings.max_attempts
        assert action.timeout_ms >= 0
        executed = record.possibly_executed()
        if record.service_class.effect is not Effect.IDEMPOTENT and executed:
            assert record.service_class.effect is Effect.IDEMPOTENCY_KEY, "a retry of an unsafe request"
            first, sent_ms = executed[0]
            assert self.now - sent_ms <= record.service_class.deduplication_window_ms, (
                "a retry after the deduplication window"
            )
            assert self.now < action.written_by_ms < sent_ms + record.service_class.deduplication_window_ms, (
                "no write deadline within the deduplication window"
            )
            if record.service_class.deduplication_scope is not DeduplicationScope.ALL:
                assert server.zone == first.zone
            if record.service_class.deduplication_scope is DeduplicationScope.CELL:
                assert server.cell == first.cell
        record.attempts.append((server, self.now))

    # The steps of a generated sequence, by the names in STEPS.

    def request(self, class_index: int, time_left_ms: float) -> None:
        self.request_count += 1
        request_id = f"q{self.request_count}"
        self.handle(Request(request_id, CLASSES[class_index % len(CLASSES)].name, self.now + time_left_ms))

    def outcome(self, choice: int, result: AttemptResult, with_report: bool) -> None:
        candidates = [
            (request_id, index)
            for request_id, record in self.requests.items()
            for index in record.attempts_in_flight()
        ]
        if not candidates:
            return
        request_id, index = candidates[choice % len(candidates)]
        record = self.requests[request_id]
        server, sent_ms = record.attempts[index]
        record.results[index] = result
        if not record.ended and (result is AttemptResult.OK or record.streaming == index):
            record.ended = True
        load_report = {"queue": 2.0, "util": 0.97} if with_report else None
        self.handle(
            AttemptOutcome(
                request_id, index, server.name, result, self.now - sent_ms, record.ended, load_report
            )
        )

    def cancel(self, choice: int) -> None:
        if self.requests:
            request_id = list(self.requests)[choice % len(self.requests)]
            self.requests[request_id].ended = True
            self.handle(RequestCancelled(request_id))

    def start_stream(self, choice: int) -> None:
        candidates = [
            request_id
            for request_id, record in self.requests.items()
            if record.service_class.stream and record.attempts_in_flight() and not record.ended
        ]
        if candidates:
            record = self.requests[candidates[choice % len(candidates)]]
            record.streaming = record.attempts_in_flight()[0]
            self.handle(StreamStarted(candidates[choice % len(candidates)], record.streaming))

    def update_list(
        self, list_kind: EndpointListKind, choice: int, state: EndpointStatus, restarted: bool
    ) -> None:
        endpoints = [
            Endpoint(
                f"s{index}",
                "ab"[index % 2],
                index % 3,
                launched_ms=self.now if restarted and index == choice % 6 else None,
            )
            for index in range(6)
        ]
        endpoints[(choice + 1) % 6].state = state
        if list_kind is EndpointListKind.DELTA:
            endpoints = endpoints[choice % 6 :]
        elif list_kind is EndpointListKind.FULL:
            endpoints = [endpoint for endpoint in endpoints if endpoint.state is not EndpointStatus.REMOVED][
                : 1 + choice % 6
            ]
        self.handle(
            EndpointListUpdate(list_kind, () if list_kind is EndpointListKind.FAILED else tuple(endpoints))
        )


STEPS = st.one_of(
    st.tuples(st.just("request"), st.integers(0, 6), st.floats(1.0, 2500.0)),
    st.tuples(st.just("request"), st.integers(0, 6), st.floats(1.0, 2500.0)),
    st.tuples(st.just("outcome"), st.integers(0, 40), st.sampled_from(list(AttemptResult)), st.booleans()),
    st.tuples(st.just("outcome"), st.integers(0, 40), st.sampled_from(list(AttemptResult)), st.booleans()),
    st.tuples(st.just("cancel"), st.integers(0, 40)),
    st.tuples(st.just("start_stream"), st.integers(0, 5)),
    st.tuples(
        st.just("update_list"),
        st.sampled_from(
            [list_kind for list_kind in EndpointListKind if list_kind is not EndpointListKind.CACHED]
        ),
        st.integers(0, 11),
        st.sampled_from(list(EndpointStatus)),
        st.booleans(),
    ),
    st.tuples(st.just("timer"), st.sampled_from(["period", "watch", "other"])),
    st.tuples(st.just("wait"), st.floats(0.0, 600.0)),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    max_attempts=st.integers(1, 4),
    cancel=st.booleans(),
    steps=st.lists(STEPS, min_size=10, max_size=120),
)
def test_rules_hold_for_any_valid_event_sequence(seed, max_attempts, cancel, steps):
    checker = RuleChecker(seed, max_attempts, cancel)
    endpoints = tuple(Endpoint(f"s{index}", "ab"[index % 2], index % 3) for index in range(6))
    checker.handle(EndpointListUpdate(EndpointListKind.CACHED, endpoints))
    for step, *arguments in steps:
        if step == "wait":
            checker.now += arguments[0]
        elif step == "timer":
            checker.handle(TimerFired(arguments[0]))
        else:
            getattr(checker, step)(*arguments)
    for _ in range(600):  # the host ends every attempt sooner or later
        if not any(record.attempts_in_flight() for record in checker.requests.values()):
            break
        checker.now += 1.0
        checker.outcome(0, AttemptResult.TIMEOUT, False)
    assert all(record.ended for record in checker.requests.values())
    assert checker.balancer.pending == {}


@settings(derandomize=True, max_examples=30, deadline=None)
@given(seed=st.integers(0, 2**32), nodes=st.integers(1, 40), interval_ms=st.floats(1.0, 30.0))
def test_all_balancers_together_keep_server_in_slow_start_within_capacity(seed, nodes, interval_ms):
    """Limit in any window of WINDOW_MS: overload factor x current capacity x attempts to a warm server."""
    warm = 12
    endpoints = tuple(Endpoint(f"s{index}", "a", 0) for index in range(warm))
    checkers = [RuleChecker(seed + index, 2, True) for index in range(nodes)]
    for checker in checkers:
        checker.handle(EndpointListUpdate(EndpointListKind.CACHED, endpoints))
        checker.now += 200.0
        starting = Endpoint("starting", "a", 0, launched_ms=checker.now)
        checker.handle(EndpointListUpdate(EndpointListKind.DELTA, (starting,)))
    sent_times_ms: deque[float] = deque()
    for index in range(600):
        checker = checkers[index % nodes]
        checker.now = 700.0 + index * interval_ms
        checker.request(0, 2000.0)
        record = checker.requests[f"q{checker.request_count}"]
        sent_times_ms.extend(sent_ms for server, sent_ms in record.attempts if server.name == "starting")
        if record.attempts:
            checker.outcome(0, AttemptResult.OK, False)
        while sent_times_ms and sent_times_ms[0] <= checker.now - WINDOW_MS:
            sent_times_ms.popleft()
        capacity = 0.25 + 0.75 * min(1.0, index * interval_ms / SLOW_START_MS)
        budget = 2.5 * capacity * (WINDOW_MS / interval_ms) / (warm + 1)
        assert len(sent_times_ms) <= budget + 3.0 * (budget / 2.5) ** 0.5 + 2.0
