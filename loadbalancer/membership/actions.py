"""Settings, members and actions of the failure detector."""

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
    urgent_period_ms: float = 100.0  # replaces period_ms while this node is detached or suspects a member
    probe_timeout_ms: float = 500.0  # longer than the longest round trip between nodes
    helpers: int = 3  # number of members that each make an indirect probe
    tick_ms: float = 50.0  # maximum time between ticks; bounds how soon a pause of this process is detected
    idle_tick_ms: float = 100.0  # as tick_ms, while attached with no probe in flight and no suspect
    late_ms: float = 100.0  # a tick that is overdue by more means that the process was paused
    # Suspicion timeouts after probe timeouts: the minimum with `accusers` further accusers, the maximum with
    # a single accuser.
    suspicion_min_ms: float = 1000.0
    suspicion_max_ms: float = 6000.0
    accusers: int = 3  # further accusers that reduce the suspicion timeout to the minimum
    # Suspicion timeout if the connection was refused: the machine responds, but the process has ended.
    connection_refused_suspicion_ms: float = 300.0
    max_health: int = 4  # local timeouts grow by up to a factor of 1 + max_health
    indirect_after: int = 4  # this many failed direct probes in a row, each with an acked indirect one
    retransmit_multiplier: float = 3.0  # transmissions of an update, in multiples of log2(members)
    updates: int = 12  # maximum number of updates per payload
    max_ahead_ms: float = 1000.0  # a report's service time may exceed the local estimate by this much
    relayed_probes: int = 64  # maximum in flight on behalf of other members

    def __post_init__(self) -> None:
        """Raise DetectorSettingError if a value is out of its range."""
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
        for name, (lowest, highest) in COUNT_RANGES.items():
            value = getattr(self, name)
            if not lowest <= value <= highest:
                raise DetectorSettingError(name, value, f"from {lowest} to {highest}")


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
COUNT_RANGES = {  # lowest and highest allowed value
    "helpers": (0, MAX_ACCUSERS - 1),
    "accusers": (0, MAX_ACCUSERS - 1),
    "max_health": (0, MAX_SETTING_COUNT),
    "relayed_probes": (0, MAX_SETTING_COUNT),
    "indirect_after": (1, MAX_SETTING_COUNT + 1),
    "updates": (1, MAX_UPDATES),
}


@dataclass(frozen=True, slots=True)
class Sibling:
    """An entry of the list service's member list, which may include this node itself."""

    incarnation: int
    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Action: probe a member directly, then call `on_ack` or `on_failure` with this id by `timeout_ms`."""

    id: int
    target: int  # incarnation
    address: str
    timeout_ms: float
    payload: bytes


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Action: call the helper, which probes the target, then call `on_ack` or `on_failure` with this id
    within `timeout_ms`."""

    id: int
    helper: int  # incarnation
    address: str  # the helper's address
    target: int  # incarnation
    timeout_ms: float
    payload: bytes


@dataclass(frozen=True, slots=True)
class Ack:
    """Action: respond to the call passed to `on_indirect_probe`; payload None rejects a malformed call."""

    call: int
    payload: bytes | None


@dataclass(frozen=True, slots=True)
class ReachabilityChanged:
    """Event: the reachability of a member has changed."""

    incarnation: int
    old: Reachability
    new: Reachability


@dataclass(frozen=True, slots=True)
class ViewReceived:
    """Event: a message from a member carried its view entry (opaque bytes).

    `sent_at_ms` is the sender's clock when it encoded the message. `probe_sent_ms` is the time at which this
    node sent the probe if the message is an ack, and None if it is a probe. For an ack, (`probe_sent_ms`,
    `sent_at_ms`, `sent_at_ms`, `received_ms`) are the four timestamps of an NTP-style clock sample.
    """

    incarnation: int
    view: bytes
    sent_at_ms: float
    probe_sent_ms: float | None
    received_ms: float


Action = Probe | IndirectProbe | Ack | ReachabilityChanged | ViewReceived
