"""What the parts of one balancer share: its servers, its requests, and what it has measured."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from loadbalancer.balancing.events import Request
from loadbalancer.endpoints import AttemptResult, Confidence, Endpoint, TrafficSplit
from loadbalancer.service_settings import ServiceClass, Settings

PERIOD = 0.15  # P, as a share of the shortest aim


@dataclass(slots=True)
class Peer:
    """What this balancer knows of one server."""

    info: Endpoint
    slow: float | None = None  # smoothed latency over its class's mean
    errs: float = 0.0  # smoothed share of failed attempts
    heard_ms: float = -math.inf
    load: float = 0.0  # calls in flight from here, by weight
    beside: float = 0.0  # and from another process of this balancer, during an upgrade
    queue: float = 0.0  # reported waiting requests
    told_ms: float = -math.inf
    util: float | None = None
    part: float = 0.0  # drawn once: rounds this balancer's share, so that all siblings' sum to the whole
    out: dict[tuple[str, int], float] = field(default_factory=dict)  # attempts out, oldest first

    @property
    def held(self) -> float:
        return self.load + self.beside


@dataclass(slots=True)
class Return:
    """A server that operators have brought back."""

    out_ms: float
    back_ms: float
    tried: bool = False


@dataclass(slots=True)
class Try:
    peer: Peer
    sent_ms: float
    units: float = 0.0  # its weight in the queue by now
    result: AttemptResult | None = None  # None: still out


@dataclass(slots=True)
class Job:
    """One request and its attempts."""

    request: Request
    kind: ServiceClass
    taken_ms: float
    units: float  # its weight in the queue
    version: int = 0  # the route version it was admitted under, kept to its end
    tries: list[Try] = field(default_factory=list)
    done: bool = False
    streaming: bool = False

    def out(self) -> int:
        return sum(1 for item in self.tries if item.result is None)

    def may_have_run(self) -> list[Try]:
        return [item for item in self.tries if item.result is None or not item.result.never_executed]


@dataclass(slots=True)
class Window:
    """What the present period has seen so far."""

    ratios: list[float] = field(default_factory=list)  # latencies over their aims
    completed: float = 0.0  # units for each ready server
    ended: float = 0.0  # attempts,
    full: float = 0.0  # and those of them turned away
    sent: float = 0.0  # units


@dataclass(slots=True)
class Shared:
    """Of all that siblings share this balancer takes one part in `parts`: by the settings until Siblings
    tells."""

    parts: float
    rows: float  # how many balancers share
    until_ms: float = math.inf

    def at(self, now: float) -> float:
        """The parts to divide by: inf, for a share of 0, once the term is over."""
        return self.parts if now < self.until_ms else math.inf


@dataclass(slots=True)
class State:
    cfg: Settings
    rng: Random
    now: float = 0.0  # of the event in hand
    shared: Shared = field(init=False)
    marks: dict[str, Confidence] = field(default_factory=dict)  # by server; none where nobody marks routes
    version: int = 0  # the route version in force
    versions: dict[int, dict[str, tuple[TrafficSplit, ...]]] = field(default_factory=dict)  # in use, less 0
    kinds: dict[str, ServiceClass] = field(init=False)
    period_ms: float = field(init=False)
    peers: dict[str, Peer] = field(default_factory=dict)
    ready: list[Peer] = field(default_factory=list)  # the servers in use
    out_by_hand: set[str] = field(default_factory=set)
    returns: dict[str, Return] = field(default_factory=dict)
    watch_failures: int = 0
    jobs: dict[str, Job] = field(default_factory=dict)  # those with an attempt out or no answer yet, by id
    cursor: int = 0
    periods: int = 0
    window: Window = field(default_factory=Window)
    first: list[float] = field(default_factory=list)  # the first latencies over their aims, for the baseline
    base: float | None = None  # quiet latency as a share of the aim
    level: float = 0.0  # smoothed latency as a share of the aim
    bit_ms: float = -math.inf  # when the table last began to bite
    rate: float = 0.0  # completed units per ms and ready server,
    peak: float = 0.0  # and the most of it lately
    sends: float = 0.0  # smoothed rate of units sent per ms
    let_in: float = 1.0  # smoothed share of requests that the threshold let in
    mean_aim: float = field(init=False)
    class_ms: dict[str, float] = field(default_factory=dict)  # each class's smoothed latency
    util: float | None = None  # median reported utilisation of the last period
    tally: Counter[str] = field(default_factory=Counter)  # refusals and cursor steps, since last read

    def __post_init__(self) -> None:
        classes = self.cfg.classes
        self.shared = Shared(self.cfg.siblings, self.cfg.siblings)
        self.kinds = {kind.name: kind for kind in classes}
        self.period_ms = PERIOD * min(kind.latency_objective_ms for kind in classes)
        self.mean_aim = sum(kind.latency_objective_ms for kind in classes) / len(classes)
