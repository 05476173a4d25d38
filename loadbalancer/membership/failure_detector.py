"""Failure detector: probes the other members in turn, directly and indirectly, and gossips on the same calls.

Implements SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2017) with two changes: a
helper whose probe timed out counts as an accuser at once, since it has evidence of its own; and the suspicion
timeout is short if the connection was refused and no helper could connect either.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable

from loadbalancer.membership.actions import Ack, Action, DetectorConfig, Sibling
from loadbalancer.membership.gossip import Gossip
from loadbalancer.membership.local_state import LocalState
from loadbalancer.membership.member_list import MemberList
from loadbalancer.membership.payload import QuotaStatus, decode
from loadbalancer.membership.probing import Probing
from loadbalancer.membership.quota_reports import ReportedStatus
from loadbalancer.membership.verdict import Reachability


class FailureDetector:
    """Failure detector of one node. All times are ms of the node's own monotonic clock.

    `set_members`, `tick`, `on_ack`, `on_failure`, `on_probe` and `on_indirect_probe` receive events and
    return the resulting actions. The driver calls `tick` no later than `due`, and ends every Probe and
    IndirectProbe with `on_ack` or `on_failure`. No message from another member raises an error; `ignored`
    counts the ignored messages by reason.
    """

    def __init__(self, incarnation: int, rng: random.Random, config: DetectorConfig | None = None) -> None:
        self._config = config or DetectorConfig()
        self._local = LocalState(self._config, incarnation)
        self._members = MemberList(self._local)
        self._gossip = Gossip(self._local, self._members, rng)
        self._probing = Probing(self._local, self._members, self._gossip, rng)
        self._quota_status = QuotaStatus.ATTACHED
        self._probed_at: float | None = None  # None if a probe is due at once
        self.last_ack_at: float | None = None  # when any member last acked a call of this node

    # -------------------------------------------------------------- events

    def set_incarnation(self, incarnation: int) -> None:
        """Set this process's new incarnation; a lower or equal one is ignored."""
        if incarnation > self._local.incarnation:
            self._local.incarnation, self._local.count = incarnation, 0
            self._gossip.quota_reports.clear_local()
            self._members.set_members([peer.sibling for peer in self._members.peers.values()])

    def set_members(self, now: float, siblings: Iterable[Sibling]) -> list[Action]:
        """Replace the member list; this node's own entry is ignored, and members not listed are dropped."""
        self._record_wakeup(now)
        self._probing.order.add(self._members.set_members(siblings))
        self._gossip.quota_reports.retain(self._members.peers)
        return [*self._members.take_changes()]

    def set_quota_status(self, now: float, status: QuotaStatus, service_ms: float) -> None:
        """Set the quota status that this node reports to its siblings, at this service time.

        A node that is no longer attached has to exchange reports with its siblings before its lease ends, so
        its next probe is due at once and further ones follow at `urgent_period_ms`.
        """
        self._gossip.quota_reports.set_local(now, status, service_ms)
        if status is not self._quota_status and status is not QuotaStatus.ATTACHED:
            self._probed_at = None
        self._quota_status = status

    def set_view(self, view: bytes) -> None:
        """Set the opaque view entry of all further payloads; one over 16 KiB is not sent."""
        self._gossip.set_view(view)

    def tick(self, now: float) -> list[Action]:
        """Declare suspects failed at their suspicion timeout, and probe the next member once per period."""
        self._record_wakeup(now)
        self._members.expire_suspicions(now)
        actions: list[Action] = []
        probe_due = self._next_probe(now)
        if now >= probe_due:
            # Missed periods are skipped, not made up for.
            self._probed_at = probe_due if now - probe_due < self._period_ms() else now
            self._probing.drop_abandoned(now)
            actions.extend(self._probing.next_probe(now))
        next_expiry = max(now + 1.0, self._members.next_expiry())
        self._local.due = min(now + self._tick_ms(), self._next_probe(now), next_expiry)
        return [*actions, *self._members.take_changes()]

    def on_ack(self, now: float, probe_id: int, payload: bytes) -> list[Action]:
        """Handle the ack of a Probe or IndirectProbe; a malformed ack counts as a failure."""
        self._record_wakeup(now)
        pending = self._probing.end(probe_id)
        if pending is None:
            return []
        message = decode(payload)
        if message is None:
            self.ignored["malformed answer"] += 1
            actions = self._probing.on_failure(now, pending, refused=False)
            return [*actions, *self._members.take_changes()]
        if message.sender != pending.to:
            # Another process responds at this address, so the probed one has ended.
            self.ignored["answer by another"] += 1
            actions = self._probing.on_failure(now, pending, refused=True)
            return [*actions, *self._members.take_changes()]
        self.last_ack_at = now
        self._members.record_ack(now, pending.to)
        views = self._gossip.receive(now, message, pending.sent)
        acks = self._probing.on_ack(now, pending, message.result)
        return [*views, *acks, *self._members.take_changes()]

    def on_failure(self, now: float, probe_id: int, refused: bool) -> list[Action]:
        """Handle a Probe or IndirectProbe without an ack; `refused`: the machine refused the connection."""
        self._record_wakeup(now)
        pending = self._probing.end(probe_id)
        if pending is None:
            return []
        actions = self._probing.on_failure(now, pending, refused)
        return [*actions, *self._members.take_changes()]

    def on_probe(self, now: float, payload: bytes) -> tuple[bytes | None, list[Action]]:
        """Handle a probe by another member; return the ack's payload and the actions.

        The payload is None if the probe is malformed, which rejects it.
        """
        self._record_wakeup(now)
        message = decode(payload)
        if message is None:
            self.ignored["malformed ask"] += 1
            return None, []
        views = self._gossip.receive(now, message)
        return self._gossip.payload(now, message.sender), [*views, *self._members.take_changes()]

    def on_indirect_probe(self, now: float, call: int, payload: bytes) -> list[Action]:
        """Handle a member's call for an indirect probe of a third member.

        Exactly one Ack to `call` is returned: by this method, or when that probe has ended.
        """
        self._record_wakeup(now)
        message = decode(payload)
        if message is None:
            self.ignored["malformed ask"] += 1
            return [Ack(call, None)]
        views = self._gossip.receive(now, message)
        return [*views, self._probing.relay(now, call, message), *self._members.take_changes()]

    def _next_probe(self, now: float) -> float:
        """Return the time at which the next probe is due."""
        if self._probed_at is None:
            return now
        return self._probed_at + self._period_ms() * self._local.timeout_factor

    def _tick_ms(self) -> float:
        """Maximum wait for the next tick; short while a pause of this process could mislead it."""
        if self._probing.has_pending or self._is_urgent():
            return self._config.tick_ms
        return self._config.idle_tick_ms

    def _is_urgent(self) -> bool:
        """Whether quota reports or suspicions have to spread quickly."""
        return self._quota_status is not QuotaStatus.ATTACHED or self._members.has_suspects

    def _period_ms(self) -> float:
        """The current protocol period: urgent or normal."""
        if self._is_urgent():
            return min(self._config.urgent_period_ms, self._config.period_ms)
        return self._config.period_ms

    # -------------------------------------------------------------- state

    @property
    def due(self) -> float | None:
        """The latest time for the next tick, or None before the first."""
        return self._local.due

    @property
    def incarnation(self) -> int:
        """This process's own incarnation."""
        return self._local.incarnation

    @property
    def health(self) -> int:
        """Lifeguard's local health multiplier: 0 is healthy, up to `max_health`."""
        return self._local.health

    @property
    def ignored(self) -> Counter[str]:
        """Counts of ignored messages and irregular events, by reason."""
        return self._local.ignored

    def reachability(self) -> dict[int, Reachability]:
        """The reachability of each other member, by incarnation."""
        after = self._config.indirect_after
        return {incarnation: peer.reachability(after) for incarnation, peer in self._members.peers.items()}

    def last_ack_of(self, incarnation: int) -> float | None:
        """When this member last acked a call of this node; None if never or if the member is unknown."""
        peer = self._members.peers.get(incarnation)
        return None if peer is None else peer.last_ack_at

    def quota_reports(self) -> dict[int, ReportedStatus]:
        """The latest quota report of each node, including this one, by incarnation."""
        return self._gossip.quota_reports.latest()

    def _record_wakeup(self, now: float) -> None:
        late = self._local.record_wakeup(now)
        if late:
            self._members.postpone_suspicions(now, late)
