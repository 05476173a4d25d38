"""Inputs and outputs of the failure detector: its settings, the other members, and its actions."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.membership.errors import DetectorSettingError
from loadbalancer.membership.payload import MAX_ACCUSERS, MAX_UPDATES
from loadbalancer.membership.verdict import Reachability

MAX_SETTING_MS = 1e9
MAX_SETTING_COUNT = 1000
MAX_RETRANSMIT_MULTIPLIER = 100.0


@dataclass(frozen=True, slots=True)
class DetectorConfig:
    """Settings of the failure detector; raises DetectorSettingError for a value out of its range.

    Suspicion timeouts grow with log10 of the group's size past ten members (Lifeguard, section IV.B).
    """

    period_ms: float = 1000.0  # the protocol period: one member is probed in each
    urgent_period_ms: float = 100.0  # while this node is not attached, or knows of a suspect
    probe_timeout_ms: float = 500.0  # above a round trip between the most distant nodes
    helpers: int = 3  # members that are asked for an indirect probe
    tick_ms: float = 50.0  # the longest time between ticks, so that a pause of this process is noticed
    idle_tick_ms: float = 100.0  # as tick_ms, while attached without a probe under way or a suspect
    late_ms: float = 100.0  # a tick so late means that this process was paused
    suspicion_min_ms: float = 1000.0  # after probe timeouts, once enough accusers agree
    suspicion_max_ms: float = 6000.0  # after probe timeouts, with a single accuser
    accusers: int = 3  # further accusers that bring the suspicion timeout down to the minimum
    connection_refused_suspicion_ms: float = 300.0  # the machine answers, but the process is gone
    max_health: int = 4  # the local health multiplier lengthens own timeouts up to 1 + this
    indirect_after: int = 4  # direct probes in a row that failed while indirect ones were acked
    retransmit_multiplier: float = 3.0  # an update is sent this many times log2 of the group's size
    updates: int = 12  # in one payload
    max_ahead_ms: float = 1000.0  # a report's service time may be this far ahead of the own estimate
    relayed_probes: int = 64  # on behalf of other members, under way at once

    def __post_init__(self) -> None:
        """Check every range."""
        self._check_times()
        self._check_counts()
        if not 0 < self.retransmit_multiplier < MAX_RETRANSMIT_MULTIPLIER:
            allowed = f"above 0 and under {MAX_RETRANSMIT_MULTIPLIER}"
            raise DetectorSettingError(RETRANSMIT_MULTIPLIER, self.retransmit_multiplier, allowed)

    def _check_times(self) -> None:
        for name in POSITIVE_TIMES:
            value = getattr(self, name)
            if not 0 < value < MAX_SETTING_MS:
                raise DetectorSettingError(name, value, f"above 0 and under {MAX_SETTING_MS} ms")
        if not self.suspicion_min_ms <= self.suspicion_max_ms < MAX_SETTING_MS:
            allowed = f"from suspicion_min_ms to under {MAX_SETTING_MS} ms"
            raise DetectorSettingError(SUSPICION_MAX, self.suspicion_max_ms, allowed)
        if not 0 <= self.max_ahead_ms < MAX_SETTING_MS:
            raise DetectorSettingError(MAX_AHEAD, self.max_ahead_ms, f"from 0 to under {MAX_SETTING_MS} ms")

    def _check_counts(self) -> None:
        for name, (least, most) in COUNT_RANGES.items():
            value = getattr(self, name)
            if not least <= value <= most:
                raise DetectorSettingError(name, value, f"from {least} to {most}")


POSITIVE_TIMES = (
    "period_ms",
    "urgent_period_ms",
    "probe_timeout_ms",
    "tick_ms",
    "idle_tick_ms",
    "late_ms",
    "connection_refused_suspicion_ms",
    "suspicion_min_ms",
)
SUSPICION_MAX, MAX_AHEAD = "suspicion_max_ms", "max_ahead_ms"
RETRANSMIT_MULTIPLIER = "retransmit_multiplier"
COUNT_RANGES = {  # the lowest and the highest value
    "helpers": (0, MAX_ACCUSERS - 1),
    "accusers": (0, MAX_ACCUSERS - 1),
    "max_health": (0, MAX_SETTING_COUNT),
    "relayed_probes": (0, MAX_SETTING_COUNT),
    "indirect_after": (1, MAX_SETTING_COUNT + 1),
    "updates": (1, MAX_UPDATES),
}


@dataclass(frozen=True, slots=True)
class Sibling:
    """A member as the list service lists it; the list may include this node itself."""

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
