"""What siblings tell of one server, in own time."""

from __future__ import annotations

import math
from collections.abc import Hashable

import msgspec

from loadbalancer.endpoints import AttemptResult
from loadbalancer.staleness.clock_offsets import Interval, Reading
from loadbalancer.staleness.wire import ServerFact

RELAYED = 3  # siblings' facts kept of one server: those heard last
_GOOD = (None, AttemptResult.OK, AttemptResult.REJECTED)


class Relayed(msgspec.Struct, frozen=True):
    """A sibling's fact on a server; intervals are of own time, from -inf where nothing bounds them."""

    origin: Hashable
    version: int
    outcome: AttemptResult | None
    tried: Interval  # the last outcome's time
    heard: Interval | None  # when the server last answered it; None: never
    load: float | None
    load_at: Interval | None


class Hearsay:
    """The facts of a few siblings on one server, with what the marks ask of them.

    `best` is the fact by which the server was surely heard last, None where no sibling has heard it, `heard`
    that time's low end; `missed` is the low end of the time of a sibling's failed call, the latest of these.
    """

    __slots__ = ("best", "facts", "heard", "missed")

    def __init__(self) -> None:
        self.facts: dict[Hashable, Relayed] = {}
        self.best: Relayed | None = None
        self.heard = self.missed = -math.inf

    def add(self, fact: Relayed) -> None:
        before = self.facts.get(fact.origin)
        self.facts[fact.origin] = fact if before is None else _narrowed(before, fact)
        if len(self.facts) > RELAYED:
            del self.facts[min(self.facts, key=lambda origin: _rank(self.facts[origin]))]
        self.best, self.heard, self.missed = None, -math.inf, -math.inf
        for fact in self.facts.values():
            if fact.heard is not None and (self.best is None or fact.heard[0] > self.heard):
                self.best, self.heard = fact, fact.heard[0]
            if fact.tried[0] > self.missed and fact.outcome not in _GOOD:
                self.missed = fact.tried[0]


def own_time(reading: Reading | None, now: float, stamp: float) -> Interval | None:
    """The own time of a sibling's stamp, no later than now; None: it would surely lie ahead of now."""
    if reading is None:
        return (-math.inf, now)
    low, high = reading.to_own(stamp)
    return (low, min(high, now)) if low <= now else None


def narrowed(before: Interval, now: Interval) -> Interval:
    """One moment told twice; where the two contradict, the clock jumped and the later one counts."""
    low, high = max(before[0], now[0]), min(before[1], now[1])
    return (low, high) if low <= high else now


def relayed(origin: Hashable, reading: Reading | None, now: float, fact: ServerFact) -> Relayed:
    """A fact of an entry whose sending is known not to lie ahead of now."""
    tried = own_time(reading, now, fact.at) or (now, now)
    times = {None: None, fact.at: tried}  # most often all three are the same
    for stamp in (fact.heard, fact.load_at):
        if stamp not in times and stamp is not None:
            times[stamp] = own_time(reading, now, stamp)
    return Relayed(
        origin, fact.version, fact.outcome, tried, times[fact.heard], fact.load, times[fact.load_at]
    )


def _narrowed(before: Relayed, fact: Relayed) -> Relayed:
    """The same fact told again, with what is known of its time from both tellings."""
    if before.version != fact.version or before.heard is None or fact.heard is None:
        return fact
    return msgspec.structs.replace(fact, heard=narrowed(before.heard, fact.heard))


def _rank(fact: Relayed) -> tuple[float, float]:
    """By when the server surely was heard or tried: those least known are dropped first."""
    return (-math.inf if fact.heard is None else fact.heard[0], fact.tried[0])
