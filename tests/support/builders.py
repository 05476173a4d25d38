"""Builders of settings, endpoints and balancers for tests."""

from __future__ import annotations

from typing import Any

from loadbalancer.balancing import Balancer
from loadbalancer.balancing.actions import Action, Send
from loadbalancer.balancing.events import AttemptOutcome, EndpointListUpdate, Event, Request, TimerFired
from loadbalancer.endpoints import AttemptResult, Endpoint, EndpointListKind
from loadbalancer.service_settings import DeduplicationScope, Effect, ServiceClass, Settings

SAFE = ServiceClass(
    "read", latency_objective_ms=1000, client_timeout_ms=2500, priority_weight=12, effect=Effect.IDEMPOTENT
)
UNSAFE = ServiceClass(
    "post", latency_objective_ms=1000, client_timeout_ms=2500, priority_weight=1, effect=Effect.NON_IDEMPOTENT
)
KEYED = ServiceClass(
    "points",
    latency_objective_ms=2000,
    client_timeout_ms=5000,
    priority_weight=1,
    effect=Effect.IDEMPOTENCY_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window_ms=900,
)


def settings(**changes: Any) -> Settings:
    values: dict[str, Any] = {
        "classes": (SAFE, UNSAFE, KEYED),
        "zone": "a",
        "siblings": 2,
        "may_cancel": True,
        "max_attempts": 3,
        "slow_start_from": 0.2,
        "slow_start_ms": 10000.0,
        "overload_factor": 2.5,
    }
    return Settings(**{**values, **changes})


def make_endpoints(count: int, **changes: Any) -> tuple[Endpoint, ...]:
    return tuple(Endpoint(name=f"s{index}", zone="ab"[index % 2], **changes) for index in range(count))


class BalancerEnvironment:
    """A balancer under test, with a clock and a cached list of `count` endpoints."""

    def __init__(self, count: int = 4, seed: int = 7, **changes: Any) -> None:
        self.now = 1000.0
        self.balancer = Balancer(settings(**changes), seed=seed, now_ms=self.now)
        self.request_count = 0
        self.handle(EndpointListUpdate(EndpointListKind.CACHED, make_endpoints(count)))

    def handle(self, event: Event, after_ms: float = 0.0) -> list[Action]:
        self.now += after_ms
        return self.balancer.handle(self.now, event)

    def send_request(
        self, service: str = "read", time_left_ms: float = 2000.0, **fields: Any
    ) -> tuple[str, list[Action]]:
        self.request_count += 1
        request_id = f"r{self.request_count}"
        return request_id, self.handle(Request(request_id, service, self.now + time_left_ms, **fields))

    def end_attempt(
        self,
        request_id: str,
        server: str,
        result: AttemptResult,
        latency_ms: float = 100.0,
        attempt: int = 0,
        **fields: Any,
    ) -> list[Action]:
        request_ended = fields.pop("request_ended", result is AttemptResult.OK)
        return self.handle(
            AttemptOutcome(request_id, attempt, server, result, latency_ms, request_ended, **fields)
        )

    def complete_request(self, service: str = "read", latency_ms: float = 100.0, **fields: Any) -> str:
        """Send a request and complete it after `latency_ms`; return the server that handled it."""
        request_id, actions = self.send_request(service)
        server = sent(actions)[0].server
        self.now += latency_ms
        self.end_attempt(request_id, server, AttemptResult.OK, latency_ms, **fields)
        return server

    def end_period(self, after_ms: float | None = None) -> list[Action]:
        return self.handle(TimerFired("period"), self.balancer.period_ms if after_ms is None else after_ms)


def sent(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


def action_types(actions: list[Action]) -> list[type]:
    return [type(action) for action in actions]
