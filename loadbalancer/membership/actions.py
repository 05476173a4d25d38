"""Inputs and outputs of the failure detector: its settings, the members it is told of, and its actions."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.membership.payload import MAX_ACCUSERS, MAX_UPDATES
from loadbalancer.membership.verdict import Reachability


@dataclass(frozen=True, slots=True)
class DetectorConfig:
    """Settings of the failure detector; times in ms. Raises ValueError for figures it could not work with."""

    period_ms: float = 1000.0  # the protocol period: one member is probed each
    urgent_period_ms: float = 100.0  # while this node is not attached, or knows of a suspect
    probe_timeout_ms: float = 500.0  # over a round trip between the furthest nodes
    helpers: int = 3  # members asked for an indirect probe
    tick_ms: float = 50.0  # the longest wait between ticks, so that a pause of this process shows,
    idle_tick_ms: float = 100.0  # and while attached with no probe under way and no suspect known
    late_ms: float = 100.0  # a tick this late means that this process was paused
    suspicion_min_ms: float = (
        1000.0  # after timeouts: once enough accusers agree; grows as log10 of the group past ten
    )
    suspicion_max_ms: float = 6000.0  # after timeouts: with a single accuser; grows alike
    accusers: int = 3  # further accusers that bring the suspicion timeout down to the minimum
    connection_refused_suspicion_ms: float = (
        300.0  # a refused connection: the machine answers, the process is gone
    )
    max_health: int = 4  # the local health multiplier lengthens own timeouts up to 1 + this
    indirect_after: int = 4  # direct probes in a row that failed while indirect ones were acked
    retransmit_multiplier: float = 3.0  # an update is sent this many times log2 of the group
    updates: int = 12  # in one payload
    max_ahead_ms: float = 1000.0  # a statement's service time may be this far ahead of one's own estimate
    relayed_probes: int = 64  # probes on behalf of others under way at once

    def __post_init__(self) -> None:
        times = (
            self.period_ms,
            self.urgent_period_ms,
            self.probe_timeout_ms,
            self.tick_ms,
            self.idle_tick_ms,
            self.late_ms,
            self.connection_refused_suspicion_ms,
            self.suspicion_min_ms,
        )
        if not all(0 < value < 1e9 for value in times):
            raise ValueError("a time of the failure detector is not a positive number of ms")
        if not self.suspicion_min_ms <= self.suspicion_max_ms < 1e9:
            raise ValueError("suspicion_max_ms is under suspicion_min_ms or absurd")
        accusers = all(0 <= value < MAX_ACCUSERS for value in (self.helpers, self.accusers))
        counts = (self.max_health, self.relayed_probes, self.indirect_after - 1)
        counts_in_range = all(0 <= value <= 1000 for value in counts)
        if not accusers or not counts_in_range or not 1 <= self.updates <= MAX_UPDATES:
            raise ValueError("a count of the failure detector is out of range")
        if not 0 < self.retransmit_multiplier < 100 or not 0 <= self.max_ahead_ms < 1e9:
            raise ValueError("retransmit_multiplier or max_ahead_ms is out of range")


@dataclass(frozen=True, slots=True)
class Sibling:
    """A row of the list service's members, this node's own left out or not."""

    incarnation: int
    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a member directly; ends in `on_ack` or `on_failure` with this id within `timeout_ms`."""

    id: int
    target: int  # incarnation
    address: str
    timeout_ms: float
    payload: bytes


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Ask the helper to probe the target; ends in `on_ack` or `on_failure` with this id within
    `timeout_ms`."""

    id: int
    helper: int  # incarnation
    address: str  # the helper's
    target: int  # incarnation
    timeout_ms: float
    payload: bytes


@dataclass(frozen=True, slots=True)
class Ack:
    """Answer the call given to `on_indirect_probe`; a payload of None refuses a malformed one."""

    call: int
    payload: bytes | None


@dataclass(frozen=True, slots=True)
class ReachabilityChanged:
    """A member's reachability has changed."""

    incarnation: int
    old: Reachability
    new: Reachability


@dataclass(frozen=True, slots=True)
class ViewReceived:
    """A member's view entry, as it gave it, and the times of the call it came on.

    `at` is the sender's own clock when it wrote it. From an ack, `sent` is when this node sent the probe, so
    that (sent, at, at, now) are the four times of the call; from another member's probe `sent` is None.
    """

    incarnation: int
    view: bytes
    sent_at_ms: float
    probe_sent_ms: float | None
    received_ms: float


Action = Probe | IndirectProbe | Ack | ReachabilityChanged | ViewReceived
