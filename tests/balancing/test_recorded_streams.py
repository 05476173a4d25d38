"""The decision module to the letter: seeded small worlds whose whole record of actions has a known digest.

Each digest was taken when the module was one file. A change that is meant to alter no decision leaves them as
they are: the same draws in the same order and the same float arithmetic. One that is meant to alter decisions
records the digest that the failed comparison shows.
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

LASTS_MS = 20000.0
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
ZONED = replace(KEYED, name="zoned", deduplication_scope=DeduplicationScope.ZONE, priority_weight=0.0)
CELLED = replace(KEYED, name="celled", deduplication_scope=DeduplicationScope.CELL, late_weight=0.5)
STREAM = ServiceClass(
    "tail",
    latency_objective_ms=500,
    client_timeout_ms=2000,
    priority_weight=6,
    effect=Effect.IDEMPOTENT,
    stream=True,
)
REPORTS = ("queue", "util")
CASES: tuple[dict[str, Any], ...] = (
    {"siblings": 2, "may_cancel": True, "max_attempts": 3, "slow_start_from": 0.2, "slow_start_ms": 3000.0},
    {"tier": 1, "siblings": 24, "max_attempts": 2, "load_report_fields": REPORTS, "may_cancel": True},
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
        "load_report_fields": REPORTS,
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


# The digests cover the text of actions and of the learned state under the names they had when recorded.
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
    """The balancer's summary with its counters under the names they were recorded by, and in their order."""
    counts, rest = text.split(";", 1)
    for name, recorded in RECORDED_COUNTERS.items():
        counts = counts.replace(name, recorded)
    return f"{', '.join(sorted(counts.split(', ')))};{rest}"


def recorded_form(text: str) -> str:
    """The text with today's names replaced by those it was recorded under."""
    for name, recorded in RECORDED_NAMES.items():
        text = text.replace(name, recorded)
    return text


@dataclass
class Machine:
    """A server as the world has it."""

    server: Endpoint
    slowness: float
    sickness: float  # share of the attempts that end badly
    busy: int = 0


@dataclass
class Attempt:
    machine: Machine
    sent_ms: float
    out: bool = True


class World:
    """Clients, servers, discovery and operators around one balancer, all drawn from one seed."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.case = CASES[seed % len(CASES)]
        cfg = Settings(classes=(SAFE, UNSAFE, KEYED, ZONED, CELLED, STREAM), zone="a", **self.case)
        self.kinds = {kind.name: kind for kind in cfg.classes}
        self.now = 1000.0
        self.balancer = Balancer(cfg, seed, self.now)
        self.digest = xxhash.xxh64()
        self.names = itertools.count()
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.machines: dict[str, Machine] = {}
        self.tries: dict[str, list[Attempt]] = {}
        self.service: dict[str, str] = {}
        self.ended: set[str] = set()
        self.by_hand: list[tuple[str, float]] = []
        self.jam = self.rush = 1.0
        self.was = self.balancer.learned_state()
        for _ in range(self.rng.choice((3, 8, 14))):
            self.launch(None if self.rng.random() < 0.6 else self.now - self.rng.uniform(0.0, 4000.0))

    def run(self) -> str:
        self.give(EndpointListUpdate(EndpointListKind.CACHED, self.listed()))
        for delay, act in (
            (0.0, self.client),
            (0.0, self.weather),
            (500.0, self.discovery),
            (700.0, self.operator),
            (900.0, self.other_process),
            (200.0, self.prober),
            (300.0, self.stray),
            (50.0, self.observe),
        ):
            self.at(delay, act)
        while self.due and self.due[0][0] < 1000.0 + LASTS_MS:
            self.now, _, act = heapq.heappop(self.due)
            act()
        self.observe()
        return self.digest.hexdigest()

    def at(self, delay: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.due, (self.now + delay, next(self.names), act))

    def give(self, event: Event) -> None:
        acts = self.balancer.handle(self.now, event)
        self.digest.update(recorded_form(f"{self.now!r} {acts!r}\n").encode())
        for act in acts:
            self.obey(act)

    def observe(self) -> None:
        """What the module tells of itself, and its thresholds."""
        it = self.balancer
        rows = [it.threshold(worth, ready) for ready in (0, len(it.ready)) for worth in (1.0, 0.3, 0.0)]
        said = (
            recorded_summary(it.summary()),
            rows,
            it.learned_state(),
            it.in_flight(),
            it.ejected_count,
            it.cursor,
            it.period_ms,
        )
        self.digest.update(recorded_form(f"{said!r}\n").encode())
        self.at(170.0, self.observe)

    # ------------------------------------------------------------- the actions

    def obey(self, act: Action) -> None:
        match act:
            case SetTimer():
                self.at(act.delay_ms, lambda: self.give(TimerFired(act.name)))
            case Watch():
                self.at(40.0, self.list_again)
            case Send():
                self.serve(act)
            case Cancel():
                self.at(1.0, lambda: self.finish(act.id, act.attempt, AttemptResult.CANCELLED))
            case Reject() | Fail():
                self.ended.add(act.id)

    def serve(self, act: Send) -> None:
        machine, rng = self.machines[act.server], self.rng
        tries = self.tries[act.id]
        at = len(tries)
        tries.append(Attempt(machine, self.now))
        machine.busy += 1
        takes = 90.0 * machine.slowness * self.jam * rng.uniform(0.5, 1.5) * (1.0 + 0.15 * machine.busy)
        result = AttemptResult.OK
        if rng.random() < machine.sickness:
            result = rng.choice([item for item in AttemptResult if item is not AttemptResult.OK])
            takes *= rng.choice((0.05, 1.0))
        elif machine.busy > 14:
            result, takes = AttemptResult.REJECTED, 2.0
        if act.timeout_ms and takes > act.timeout_ms:
            result, takes = AttemptResult.TIMEOUT, act.timeout_ms
        kind = self.kinds[self.service[act.id]]
        if kind.stream and rng.random() < 0.8:
            which = at if rng.random() < 0.9 else at + 1
            self.at(0.3 * takes, lambda: self.give(StreamStarted(act.id, which)))
        self.at(takes, lambda: self.finish(act.id, at, result))

    def finish(self, name: str, at: int, result: AttemptResult) -> None:
        attempt = self.tries[name][at]
        if not attempt.out:
            return
        attempt.out = False
        machine = attempt.machine
        machine.busy -= 1
        if result is AttemptResult.OK:
            self.ended.add(name)
        event = AttemptOutcome(
            name,
            at,
            machine.server.name,
            result,
            self.now - attempt.sent_ms,
            result is AttemptResult.OK or (name in self.ended and self.rng.random() < 0.9),
            self.report(machine),
        )
        self.give(event)
        if self.rng.random() < 0.02:
            self.give(event)  # told twice

    def report(self, machine: Machine) -> dict[str, float] | None:
        if "load_report_fields" not in self.case or self.rng.random() < 0.1:
            return None
        full = {
            "queue": float(max(0, machine.busy - 2)),
            "util": min(1.0, 0.5 + 0.4 * self.rng.random() + 0.1 * self.jam),
        }
        return {key: full[key] for key in REPORTS if self.rng.random() < 0.9}

    # --------------------------------------------------------------- the world

    def client(self) -> None:
        rng = self.rng
        self.at(rng.uniform(0.0, 16.0) / self.rush, self.client)
        name, kind = f"r{next(self.names)}", rng.choice(list(self.kinds.values()))
        gives_up = self.now + kind.client_timeout_ms * rng.choice((1.0, 1.0, 0.3, 0.0))
        coming = rng.random() < 0.15
        self.tries[name], self.service[name] = [], kind.name
        request = Request(
            name,
            kind.name,
            gives_up,
            tenant=rng.choice((None, "small", "none", "unknown")),
            cost_hint_ms=rng.choice((None, 5.0, 40.0, 300.0)),
            is_retry=rng.random() < 0.1,
            receiving=coming,
        )
        self.give(request)
        if coming:
            self.at(rng.uniform(1.0, 200.0), lambda: self.give(RequestReceived(name, gives_up + 100.0)))
        self.at(kind.client_timeout_ms * rng.choice((0.1, 1.1, 1.1, 1.1)), lambda: self.lapse(name))

    def lapse(self, name: str) -> None:
        if name not in self.ended:
            self.ended.add(name)
            self.give(RequestCancelled(name))

    def weather(self) -> None:
        self.jam = self.rng.choice((0.5, 1.0, 1.0, 2.0, 6.0))
        self.rush = self.rng.choice((0.2, 1.0, 2.0, 4.0))
        for machine in self.machines.values():
            machine.sickness = self.rng.choice((0.0, 0.0, 0.03, 0.5))
            machine.slowness = self.rng.choice((0.7, 1.0, 1.0, 1.3, 4.0))
        self.at(self.rng.uniform(300.0, 1500.0), self.weather)

    def launch(self, launched_ms: float | None) -> Endpoint:
        at = len(self.machines)
        state = self.rng.choice((EndpointStatus.UP,) * 6 + (EndpointStatus.DRAINING,))
        server = Endpoint(f"s{at}", "aab"[at % 3], at % 4, state, launched_ms)
        self.machines[server.name] = Machine(server, 1.0, 0.0)
        return server

    def listed(self) -> tuple[Endpoint, ...]:
        rows = [machine.server for machine in self.machines.values()]
        return tuple(row for row in rows if row.state is not EndpointStatus.REMOVED)

    def list_again(self) -> None:
        form = self.rng.choice((EndpointListKind.FAILED, EndpointListKind.FULL, EndpointListKind.CACHED))
        self.give(EndpointListUpdate(form, () if form is EndpointListKind.FAILED else self.listed()))

    def discovery(self) -> None:
        rng = self.rng
        self.at(rng.uniform(100.0, 900.0), self.discovery)
        if rng.random() < 0.4:
            self.give(EndpointListUpdate(EndpointListKind.FAILED))
            return
        changed = [self.change(machine) for machine in rng.sample(list(self.machines.values()), k=2)]
        if len(self.machines) < 24:
            changed.append(self.launch(self.now))
        whole = rng.random() < 0.3
        rows = tuple(rng.sample(self.listed(), k=len(self.listed()))) if whole else tuple(changed)
        self.give(EndpointListUpdate(EndpointListKind.FULL if whole else EndpointListKind.DELTA, rows))

    def change(self, machine: Machine) -> Endpoint:
        state = self.rng.choice((EndpointStatus.UP,) * 5 + (EndpointStatus.DRAINING, EndpointStatus.REMOVED))
        launched = self.now if self.rng.random() < 0.3 else machine.server.launched_ms
        machine.server = replace(machine.server, state=state, launched_ms=launched)
        return machine.server

    def operator(self) -> None:
        rng = self.rng
        self.at(rng.uniform(50.0, 600.0), self.operator)
        if self.by_hand and rng.random() < 0.6:
            address, out_ms = self.by_hand.pop(0)
            self.give(EndpointRestored(address, out_ms, self.now - rng.uniform(0.0, 100.0)))
        else:
            address = rng.choice([*self.machines, "unheard"])
            self.by_hand.append((address, self.now))
            self.give(EndpointEjected(address))

    def other_process(self) -> None:
        rng = self.rng
        self.at(rng.uniform(200.0, 1200.0), self.other_process)
        held = {address: float(rng.randrange(4)) for address in [*self.machines][:4]}
        self.give(SiblingProcessLoad(held if rng.random() < 0.3 else {}))
        what = rng.randrange(6)
        if what < 2:
            self.was = self.balancer.learned_state()
        elif what == 2:
            base = rng.choice((None, 0.0, self.was.baseline_ratio))
            changes: dict[str, Any] = {"baseline_ratio": base, "cursor": rng.choice((-3, 4, 99))}
            self.give(replace(self.was, class_latency_ms={"read": 80.0, "gone": 1.0, "post": 0.0}, **changes))
        elif what == 3:
            self.give(StateRestored(self.was, rng.choice((-1.0, 0.0, 2000.0, 16000.0))))

    def prober(self) -> None:
        self.at(self.rng.uniform(20.0, 400.0), self.prober)
        machine = self.rng.choice(list(self.machines.values()))
        self.give(HealthCheckCompleted(machine.server.name, AttemptResult.OK, 3.0, self.report(machine)))

    def stray(self) -> None:
        """Events of requests, attempts, servers and alarms that the balancer does not know."""
        self.at(self.rng.uniform(100.0, 700.0), self.stray)
        over = [name for name in self.tries if name in self.ended][-20:]
        for name in ("nobody", *over):
            self.give(AttemptOutcome(name, 7, "unheard", AttemptResult.OK, 5.0, True, {"queue": 1.0}))
            self.give(RequestReceived(name, self.now + 500.0))
        self.give(RequestCancelled("nobody"))
        self.give(StreamStarted("nobody", 0))
        self.give(TimerFired("unheard"))


@pytest.mark.parametrize("seed", range(12))
def test_the_record_of_every_action_has_the_digest_it_had(seed: int) -> None:
    assert World(seed).run() == DIGESTS[seed]
