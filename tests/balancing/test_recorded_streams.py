"""The balancer's actions in seeded simulations, compared with recorded digests.

A digest covers every action, in full float precision. A change that must not alter a decision leaves the
digests as they are: the same random draws in the same order and the same float arithmetic. A change that is
meant to alter decisions records the digest that the failed comparison shows.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

import pytest
import xxhash

from loadbalancer import Balancer
from loadbalancer.balancing.actions import Action, Cancel, Fail, Reject, Send, SetTimer, Watch
from loadbalancer.balancing.events import (
    AttemptOutcome,
    EndpointEjected,
    EndpointListUpdate,
    EndpointRestored,
    Event,
    HealthCheckCompleted,
    Request,
    RequestCancelled,
    RequestReceived,
    SiblingProcessLoad,
    StateRestored,
    StreamStarted,
    TimerFired,
)
from loadbalancer.endpoints import AttemptResult, Endpoint, EndpointListKind, EndpointStatus
from loadbalancer.service_settings import DeduplicationScope, Effect, ServiceClass, Settings, Tenant

DURATION_MS = 20000.0
SAFE = ServiceClass(
    "read", latency_objective_ms=400, client_timeout_ms=1500, priority_weight=12, effect=Effect.IDEMPOTENT
)
UNSAFE = ServiceClass(
    "post", latency_objective_ms=600, client_timeout_ms=1500, priority_weight=1, late_weight=0.3
)
KEYED = ServiceClass(
    "points",
    latency_objective_ms=800,
    client_timeout_ms=2500,
    priority_weight=3,
    effect=Effect.IDEMPOTENCY_KEY,
    deduplication_window_ms=300,
)
KEYED_BY_ZONE = replace(KEYED, name="zoned", deduplication_scope=DeduplicationScope.ZONE, priority_weight=0.0)
KEYED_BY_CELL = replace(KEYED, name="celled", deduplication_scope=DeduplicationScope.CELL, late_weight=0.5)
STREAM = ServiceClass(
    "tail",
    latency_objective_ms=500,
    client_timeout_ms=2000,
    priority_weight=6,
    effect=Effect.IDEMPOTENT,
    stream=True,
)
REPORT_FIELDS = ("queue", "util")
CASES: tuple[dict[str, Any], ...] = (
    {"siblings": 2, "may_cancel": True, "max_attempts": 3, "slow_start_from": 0.2, "slow_start_ms": 3000.0},
    {"tier": 1, "siblings": 24, "max_attempts": 2, "load_report_fields": REPORT_FIELDS, "may_cancel": True},
    {
        "siblings": 6,
        "slow_start_from": 0.1,
        "slow_start_ms": 6000.0,
        "overload_factor": 1.5,
        "cross_zone_price": 0.02,
    },
    {
        "tenants": (Tenant("small", 20.0), Tenant("none", 0.0)),
        "over_quota_weight": 0.2,
        "retry_after": True,
        "max_retry_after_ms": 500.0,
        "max_attempts": 4,
        "siblings": 3,
        "load_report_fields": REPORT_FIELDS,
    },
    {"weight_by_work": True, "max_attempts": 3, "poll_discovery": True, "may_cancel": True},
    {
        "tier": 2,
        "siblings": 150,
        "max_attempts": 2,
        "slow_start_from": 0.5,
        "slow_start_ms": 2000.0,
        "weight_by_work": True,
    },
)
DIGESTS = {
    0: "6c93ba2a8c1fbc7a",
    1: "8bf45703a4a8f83f",
    2: "56d0e25903c428cd",
    3: "92f36c989aa1074f",
    4: "f1db9a5eb908ac99",
    5: "7b2d30ce138ad2c8",
    6: "be40dcc6a5b91d38",
    7: "0d11e9cb7a90cf8e",
    8: "b05f80f65f1fce85",
    9: "5ee8deb770936083",
    10: "924c6ad05e9e2da0",
    11: "73fc7fae8f2c5756",
}


# The digests cover actions and learned state as text, with the names that were in use at the recording.
RECORDED_NAMES = {
    "Reject(": "Refuse(",
    "SetTimer(": "Wake(",
    "LearnedState(baseline_ratio=": "Learned(base=",
    " latency_ratio=": " level=",
    " peak_completion_rate=": " peak=",
    " completion_rate=": " rate=",
    " send_rate=": " sends=",
    " mean_latency_objective_ms=": " mean_aim=",
    " class_latency_ms=": " class_ms=",
    " endpoint_latency_ratios=": " slow=",
}


RECORDED_COUNTERS = {
    "rejected at threshold": "refused at threshold",
    "rejected unsent": "refused unsent",
    "right by rejected attempts": "right by answers as full",
}


def recorded_summary(text: str) -> str:
    """Return the balancer's summary with the names and order of counters in use at the recording."""
    counts, rest = text.split(";", 1)
    for name, recorded in RECORDED_COUNTERS.items():
        counts = counts.replace(name, recorded)
    return f"{', '.join(sorted(counts.split(', ')))};{rest}"


def recorded_form(text: str) -> str:
    """Return the text with current names replaced by those in use at the recording."""
    for name, recorded in RECORDED_NAMES.items():
        text = text.replace(name, recorded)
    return text


@dataclass
class Server:
    """A simulated server."""

    endpoint: Endpoint
    latency_factor: float
    failure_rate: float  # ratio of attempts that fail
    in_flight_count: int = 0


@dataclass
class Attempt:
    server: Server
    sent_ms: float
    in_flight: bool = True


class Simulation:
    """Clients, servers, discovery, operators and a sibling process around one balancer, from one seed."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.case = CASES[seed % len(CASES)]
        settings = Settings(
            classes=(SAFE, UNSAFE, KEYED, KEYED_BY_ZONE, KEYED_BY_CELL, STREAM), zone="a", **self.case
        )
        self.service_classes = {service_class.name: service_class for service_class in settings.classes}
        self.now = 1000.0
        self.balancer = Balancer(settings, seed, self.now)
        self.digest = xxhash.xxh64()
        self.counter = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.servers: dict[str, Server] = {}
        self.attempts: dict[str, list[Attempt]] = {}
        self.service: dict[str, str] = {}
        self.ended: set[str] = set()
        self.ejections: list[tuple[str, float]] = []
        self.latency_factor = self.request_rate = 1.0
        self.earlier_state = self.balancer.learned_state()
        for _ in range(self.rng.choice((3, 8, 14))):
            self.launch(None if self.rng.random() < 0.6 else self.now - self.rng.uniform(0.0, 4000.0))

    def run(self) -> str:
        self.handle(EndpointListUpdate(EndpointListKind.CACHED, self.listed()))
        for delay_ms, action in (
            (0.0, self.send_request),
            (0.0, self.change_conditions),
            (500.0, self.update_list),
            (700.0, self.eject_or_restore),
            (900.0, self.sibling_process),
            (200.0, self.health_check),
            (300.0, self.unknown_events),
            (50.0, self.observe),
        ):
            self.schedule(delay_ms, action)
        while self.events and self.events[0][0] < 1000.0 + DURATION_MS:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.observe()
        return self.digest.hexdigest()

    def schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay_ms, next(self.counter), action))

    def handle(self, event: Event) -> None:
        actions = self.balancer.handle(self.now, event)
        self.digest.update(recorded_form(f"{self.now!r} {actions!r}\n").encode())
        for action in actions:
            self.carry_out(action)

    def observe(self) -> None:
        """Add the balancer's summary, thresholds and state to the digest."""
        balancer = self.balancer
        thresholds = [
            balancer.threshold(priority, ready)
            for ready in (0, len(balancer.ready))
            for priority in (1.0, 0.3, 0.0)
        ]
        observed = (
            recorded_summary(balancer.summary()),
            thresholds,
            balancer.learned_state(),
            balancer.in_flight(),
            balancer.ejected_count,
            balancer.cursor,
            balancer.period_ms,
        )
        self.digest.update(recorded_form(f"{observed!r}\n").encode())
        self.schedule(170.0, self.observe)

    # ----------------------------------------------------- handling of actions

    def carry_out(self, action: Action) -> None:
        match action:
            case SetTimer():
                self.schedule(action.delay_ms, lambda: self.handle(TimerFired(action.name)))
            case Watch():
                self.schedule(40.0, self.respond_to_watch)
            case Send():
                self.start_attempt(action)
            case Cancel():
                self.schedule(
                    1.0, lambda: self.end_attempt(action.id, action.attempt, AttemptResult.CANCELLED)
                )
            case Reject() | Fail():
                self.ended.add(action.id)

    def start_attempt(self, action: Send) -> None:
        server, rng = self.servers[action.server], self.rng
        attempts = self.attempts[action.id]
        number = len(attempts)
        attempts.append(Attempt(server, self.now))
        server.in_flight_count += 1
        latency_ms = (
            90.0
            * server.latency_factor
            * self.latency_factor
            * rng.uniform(0.5, 1.5)
            * (1.0 + 0.15 * server.in_flight_count)
        )
        result = AttemptResult.OK
        if rng.random() < server.failure_rate:
            result = rng.choice([result for result in AttemptResult if result is not AttemptResult.OK])
            latency_ms *= rng.choice((0.05, 1.0))
        elif server.in_flight_count > 14:
            result, latency_ms = AttemptResult.REJECTED, 2.0
        if action.timeout_ms and latency_ms > action.timeout_ms:
            result, latency_ms = AttemptResult.TIMEOUT, action.timeout_ms
        service_class = self.service_classes[self.service[action.id]]
        if service_class.stream and rng.random() < 0.8:
            attempt_number = number if rng.random() < 0.9 else number + 1
            self.schedule(0.3 * latency_ms, lambda: self.handle(StreamStarted(action.id, attempt_number)))
        self.schedule(latency_ms, lambda: self.end_attempt(action.id, number, result))

    def end_attempt(self, request_id: str, number: int, result: AttemptResult) -> None:
        attempt = self.attempts[request_id][number]
        if not attempt.in_flight:
            return
        attempt.in_flight = False
        server = attempt.server
        server.in_flight_count -= 1
        if result is AttemptResult.OK:
            self.ended.add(request_id)
        event = AttemptOutcome(
            request_id,
            number,
            server.endpoint.name,
            result,
            self.now - attempt.sent_ms,
            result is AttemptResult.OK or (request_id in self.ended and self.rng.random() < 0.9),
            self.load_report(server),
        )
        self.handle(event)
        if self.rng.random() < 0.02:
            self.handle(event)  # a duplicate

    def load_report(self, server: Server) -> dict[str, float] | None:
        if "load_report_fields" not in self.case or self.rng.random() < 0.1:
            return None
        values = {
            "queue": float(max(0, server.in_flight_count - 2)),
            "util": min(1.0, 0.5 + 0.4 * self.rng.random() + 0.1 * self.latency_factor),
        }
        return {key: values[key] for key in REPORT_FIELDS if self.rng.random() < 0.9}

    # ------------------------------------------------------ sources of events

    def send_request(self) -> None:
        rng = self.rng
        self.schedule(rng.uniform(0.0, 16.0) / self.request_rate, self.send_request)
        request_id, service_class = f"r{next(self.counter)}", rng.choice(list(self.service_classes.values()))
        deadline_ms = self.now + service_class.client_timeout_ms * rng.choice((1.0, 1.0, 0.3, 0.0))
        receiving = rng.random() < 0.15
        self.attempts[request_id], self.service[request_id] = [], service_class.name
        request = Request(
            request_id,
            service_class.name,
            deadline_ms,
            tenant=rng.choice((None, "small", "none", "unknown")),
            cost_hint_ms=rng.choice((None, 5.0, 40.0, 300.0)),
            is_retry=rng.random() < 0.1,
            receiving=receiving,
        )
        self.handle(request)
        if receiving:
            self.schedule(
                rng.uniform(1.0, 200.0), lambda: self.handle(RequestReceived(request_id, deadline_ms + 100.0))
            )
        self.schedule(
            service_class.client_timeout_ms * rng.choice((0.1, 1.1, 1.1, 1.1)),
            lambda: self.cancel(request_id),
        )

    def cancel(self, request_id: str) -> None:
        if request_id not in self.ended:
            self.ended.add(request_id)
            self.handle(RequestCancelled(request_id))

    def change_conditions(self) -> None:
        self.latency_factor = self.rng.choice((0.5, 1.0, 1.0, 2.0, 6.0))
        self.request_rate = self.rng.choice((0.2, 1.0, 2.0, 4.0))
        for server in self.servers.values():
            server.failure_rate = self.rng.choice((0.0, 0.0, 0.03, 0.5))
            server.latency_factor = self.rng.choice((0.7, 1.0, 1.0, 1.3, 4.0))
        self.schedule(self.rng.uniform(300.0, 1500.0), self.change_conditions)

    def launch(self, launched_ms: float | None) -> Endpoint:
        number = len(self.servers)
        state = self.rng.choice((EndpointStatus.UP,) * 6 + (EndpointStatus.DRAINING,))
        endpoint = Endpoint(f"s{number}", "aab"[number % 3], number % 4, state, launched_ms)
        self.servers[endpoint.name] = Server(endpoint, 1.0, 0.0)
        return endpoint

    def listed(self) -> tuple[Endpoint, ...]:
        endpoints = [server.endpoint for server in self.servers.values()]
        return tuple(endpoint for endpoint in endpoints if endpoint.state is not EndpointStatus.REMOVED)

    def respond_to_watch(self) -> None:
        kind = self.rng.choice((EndpointListKind.FAILED, EndpointListKind.FULL, EndpointListKind.CACHED))
        self.handle(EndpointListUpdate(kind, () if kind is EndpointListKind.FAILED else self.listed()))

    def update_list(self) -> None:
        rng = self.rng
        self.schedule(rng.uniform(100.0, 900.0), self.update_list)
        if rng.random() < 0.4:
            self.handle(EndpointListUpdate(EndpointListKind.FAILED))
            return
        changed = [self.change_endpoint(server) for server in rng.sample(list(self.servers.values()), k=2)]
        if len(self.servers) < 24:
            changed.append(self.launch(self.now))
        complete = rng.random() < 0.3
        endpoints = tuple(rng.sample(self.listed(), k=len(self.listed()))) if complete else tuple(changed)
        self.handle(
            EndpointListUpdate(EndpointListKind.FULL if complete else EndpointListKind.DELTA, endpoints)
        )

    def change_endpoint(self, server: Server) -> Endpoint:
        state = self.rng.choice((EndpointStatus.UP,) * 5 + (EndpointStatus.DRAINING, EndpointStatus.REMOVED))
        launched_ms = self.now if self.rng.random() < 0.3 else server.endpoint.launched_ms
        server.endpoint = replace(server.endpoint, state=state, launched_ms=launched_ms)
        return server.endpoint

    def eject_or_restore(self) -> None:
        rng = self.rng
        self.schedule(rng.uniform(50.0, 600.0), self.eject_or_restore)
        if self.ejections and rng.random() < 0.6:
            name, ejected_ms = self.ejections.pop(0)
            self.handle(EndpointRestored(name, ejected_ms, self.now - rng.uniform(0.0, 100.0)))
        else:
            name = rng.choice([*self.servers, "unknown"])
            self.ejections.append((name, self.now))
            self.handle(EndpointEjected(name))

    def sibling_process(self) -> None:
        rng = self.rng
        self.schedule(rng.uniform(200.0, 1200.0), self.sibling_process)
        in_flight = {name: float(rng.randrange(4)) for name in [*self.servers][:4]}
        self.handle(SiblingProcessLoad(in_flight if rng.random() < 0.3 else {}))
        choice = rng.randrange(6)
        if choice < 2:
            self.earlier_state = self.balancer.learned_state()
        elif choice == 2:
            baseline_ratio = rng.choice((None, 0.0, self.earlier_state.baseline_ratio))
            changes: dict[str, Any] = {"baseline_ratio": baseline_ratio, "cursor": rng.choice((-3, 4, 99))}
            self.handle(
                replace(
                    self.earlier_state,
                    class_latency_ms={"read": 80.0, "removed": 1.0, "post": 0.0},
                    **changes,
                )
            )
        elif choice == 3:
            self.handle(StateRestored(self.earlier_state, rng.choice((-1.0, 0.0, 2000.0, 16000.0))))

    def health_check(self) -> None:
        self.schedule(self.rng.uniform(20.0, 400.0), self.health_check)
        server = self.rng.choice(list(self.servers.values()))
        self.handle(
            HealthCheckCompleted(server.endpoint.name, AttemptResult.OK, 3.0, self.load_report(server))
        )

    def unknown_events(self) -> None:
        """Pass events of requests, attempts, servers and timers that the balancer does not know."""
        self.schedule(self.rng.uniform(100.0, 700.0), self.unknown_events)
        ended_ids = [request_id for request_id in self.attempts if request_id in self.ended][-20:]
        for request_id in ("unknown", *ended_ids):
            self.handle(AttemptOutcome(request_id, 7, "unknown", AttemptResult.OK, 5.0, True, {"queue": 1.0}))
            self.handle(RequestReceived(request_id, self.now + 500.0))
        self.handle(RequestCancelled("unknown"))
        self.handle(StreamStarted("unknown", 0))
        self.handle(TimerFired("unknown"))


@pytest.mark.parametrize("seed", range(12))
def test_actions_of_simulation_match_recorded_digest(seed: int) -> None:
    assert Simulation(seed).run() == DIGESTS[seed]
