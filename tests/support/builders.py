"""Small builders that the tests share."""

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
    given: dict[str, Any] = {
        "classes": (SAFE, UNSAFE, KEYED),
        "zone": "a",
        "siblings": 2,
        "may_cancel": True,
        "max_attempts": 3,
        "slow_start_from": 0.2,
        "slow_start_ms": 10000.0,
        "overload_factor": 2.5,
    }
    return Settings(**{**given, **changes})


def servers(count: int, **changes: Any) -> tuple[Endpoint, ...]:
    return tuple(Endpoint(name=f"s{at}", zone="ab"[at % 2], **changes) for at in range(count))


class Bed:
    """A balancer with a clock, a server list and a record of what it sent."""

    def __init__(self, count: int = 4, seed: int = 7, **changes: Any) -> None:
        self.now = 1000.0
        self.brain = Balancer(settings(**changes), seed=seed, now_ms=self.now)
        self.names = 0
        self.give(EndpointListUpdate(EndpointListKind.CACHED, servers(count)))

    def give(self, event: Event, after: float = 0.0) -> list[Action]:
        self.now += after
        return self.brain.handle(self.now, event)

    def ask(self, service: str = "read", left: float = 2000.0, **more: Any) -> tuple[str, list[Action]]:
        self.names += 1
        name = f"r{self.names}"
        return name, self.give(Request(name, service, self.now + left, **more))

    def end(
        self,
        name: str,
        server: str,
        result: AttemptResult,
        latency: float = 100.0,
        attempt: int = 0,
        **more: Any,
    ) -> list[Action]:
        done = more.pop("done", result is AttemptResult.OK)
        return self.give(AttemptOutcome(name, attempt, server, result, latency, done, **more))

    def serve(self, service: str = "read", latency: float = 100.0, **more: Any) -> str:
        """One request answered after `latency`; returns the server that took it."""
        name, acts = self.ask(service)
        server = sent(acts)[0].server
        self.now += latency
        self.end(name, server, AttemptResult.OK, latency, **more)
        return server

    def period(self, after: float | None = None) -> list[Action]:
        return self.give(TimerFired("period"), self.brain.period_ms if after is None else after)


def sent(acts: list[Action]) -> list[Send]:
    return [act for act in acts if isinstance(act, Send)]


def kinds(acts: list[Action]) -> list[type]:
    return [type(act) for act in acts]
