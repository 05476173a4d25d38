"""What goes into and comes out of the hearing core: settings, the siblings it is told of, and actions."""

from __future__ import annotations

from dataclasses import dataclass

from .payload import ACCUSERS_MOST, RUMOURS_MOST
from .verdict import Heard


@dataclass(frozen=True, slots=True)
class Config:
    """Settings of the hearing core; times in ms. Raises ValueError for figures it could not work with."""

    period_ms: float = 100.0  # one sibling is asked each period
    ask_timeout_ms: float = 500.0  # over a round trip between the furthest nodes
    helpers: int = 3  # siblings asked to ask in this node's place
    pulse_ms: float = 50.0  # the longest wait between ticks, so that a stop shows as a late one
    late_ms: float = 100.0  # a tick this late means that the node itself did not run
    suspicion_least_ms: float = (
        1000.0  # silence: once enough accusers agree; grows as log10 of the fleet past ten
    )
    suspicion_most_ms: float = 6000.0  # silence: with a single accuser; grows alike
    accusers: int = 3  # further accusers that bring the time down to the least
    refused_ms: float = 300.0  # a refused connection: the machine answers, the process is gone
    max_health: int = 4  # own times are lengthened up to 1 + this
    bridged_after: int = 4  # direct failures in a row, each bridged by others
    spread: float = 3.0  # a rumour is sent this many times log2 of the fleet
    rumours: int = 12  # in one payload
    ahead_ms: float = 1000.0  # a statement's service time may be this far ahead of one's own estimate
    duties: int = 64  # asks in others' place under way at once

    def __post_init__(self) -> None:
        times = (self.period_ms, self.ask_timeout_ms, self.pulse_ms, self.late_ms, self.refused_ms)
        if not all(0 < value < 1e9 for value in (*times, self.suspicion_least_ms)):
            raise ValueError("a time of hearing is not a positive number of ms")
        if not self.suspicion_least_ms <= self.suspicion_most_ms < 1e9:
            raise ValueError("suspicion_most_ms is under suspicion_least_ms or absurd")
        accusers = all(0 <= value < ACCUSERS_MOST for value in (self.helpers, self.accusers))
        counts = all(0 <= value <= 1000 for value in (self.max_health, self.duties, self.bridged_after - 1))
        if not accusers or not counts or not 1 <= self.rumours <= RUMOURS_MOST:
            raise ValueError("a count of hearing is out of range")
        if not 0 < self.spread < 100 or not 0 <= self.ahead_ms < 1e9:
            raise ValueError("spread or ahead_ms is out of range")


@dataclass(frozen=True, slots=True)
class Sibling:
    """A row of the list service's members, this node's own left out or not."""

    incarnation: int
    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask a sibling directly; ends in `answered` or `failed` with this id within `timeout_ms`."""

    id: int
    target: int  # incarnation
    address: str
    timeout_ms: float
    payload: bytes


@dataclass(frozen=True, slots=True)
class AskThrough:
    """Ask the helper to ask the target; ends in `answered` or `failed` with this id within `timeout_ms`."""

    id: int
    helper: int  # incarnation
    address: str  # the helper's
    target: int  # incarnation
    timeout_ms: float
    payload: bytes


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer the call given to `asked_for`; a payload of None is a refusal of a malformed one."""

    call: int
    payload: bytes | None


@dataclass(frozen=True, slots=True)
class Changed:
    """What is known of a sibling by hearing has changed."""

    incarnation: int
    old: Heard
    new: Heard


@dataclass(frozen=True, slots=True)
class Viewed:
    """A sibling's view entry, as it gave it, and the times of the call it came on.

    `at` is its own clock's time when it wrote it. From an answer, `sent` is this node's time of asking, so
    that (sent, at, at, now) are the four times of the call; from a sibling's ask `sent` is None.
    """

    incarnation: int
    view: bytes
    at: float
    sent: float | None
    now: float


Action = Ask | AskThrough | Reply | Changed | Viewed
