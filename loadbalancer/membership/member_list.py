"""The members this node knows, the status of each, and which updates are still to be disseminated."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from loadbalancer.membership.actions import DetectorConfig, ReachabilityChanged, Sibling
from loadbalancer.membership.local_state import MAX_COUNT_JUMP, LocalState
from loadbalancer.membership.payload import MemberStatus, MemberUpdate
from loadbalancer.membership.verdict import Reachability

SUSPECTED = (MemberStatus.SUSPECT, MemberStatus.REFUSED)


@dataclass(slots=True)
class Peer:
    """One other member and the state of a suspicion of it."""

    sibling: Sibling
    count: int = 0
    status: MemberStatus = MemberStatus.ALIVE
    accusers: tuple[int, ...] = ()
    suspected_at: float = 0.0
    suspicion_ends: float = math.inf  # when a suspicion not refuted becomes a failure
    indirect_acks: int = 0  # direct probes in a row that failed while indirect ones were acked
    last_ack_at: float | None = None  # of a direct probe

    def reachability(self, indirect_after: int) -> Reachability:
        """What probing shows of this member."""
        if self.status is MemberStatus.FAILED:
            return Reachability.UNREACHABLE
        if self.status is not MemberStatus.ALIVE:
            return Reachability.SUSPECT
        return Reachability.INDIRECT if self.indirect_acks >= indirect_after else Reachability.ALIVE


def suspicion_ms(config: DetectorConfig, members: int, confirmations: int) -> float:
    """The suspicion timeout: from the maximum to the minimum as accusers confirm (Lifeguard, IV.B)."""
    scale = max(1.0, math.log10(members + 1))
    least, most = config.suspicion_min_ms * scale, config.suspicion_max_ms * scale
    if config.accusers == 0:
        return least
    progress = math.log(confirmations + 1) / math.log(config.accusers + 1)
    return max(least, most - (most - least) * progress)


@dataclass(slots=True)
class MemberList:
    """Peers by incarnation. Bounded by what the list service names."""

    local: LocalState
    peers: dict[int, Peer] = field(default_factory=dict)
    _transmissions: dict[int, int] = field(default_factory=dict)  # by incarnation; still to disseminate
    _suspects: set[int] = field(default_factory=set)
    _before: dict[int, Reachability] = field(default_factory=dict)  # by incarnation; not yet reported

    def set_members(self, siblings: Iterable[Sibling]) -> list[int]:
        """Take the whole list, this node's own row left out; returns the incarnations that are new."""
        listed = {row.incarnation: row for row in siblings if row.incarnation != self.local.incarnation}
        for gone in self.peers.keys() - listed.keys():
            del self.peers[gone]
            for held in (self._transmissions, self._before):
                held.pop(gone, None)
            self._suspects.discard(gone)
        new = [incarnation for incarnation in listed if incarnation not in self.peers]
        for incarnation, sibling in listed.items():
            if incarnation in self.peers:
                self.peers[incarnation].sibling = sibling
            else:
                self.peers[incarnation] = Peer(sibling)
        return new

    def merge(self, now: float, update: MemberUpdate, is_ack: bool = False) -> None:
        """Merge an update about another member; `first_hand`: that member itself acked a probe with it."""
        peer = self.peers.get(update.incarnation)
        if peer is None:
            self.local.ignored["rumour of an unknown incarnation"] += 1
        elif update.count > peer.count + MAX_COUNT_JUMP and not is_ack:
            self.local.ignored["absurd count"] += 1
        elif (update.count, update.status) > (peer.count, peer.status):
            self._override(now, peer, update)
        elif (update.count, update.status) == (peer.count, peer.status):
            self._confirm(peer, update)

    def _override(self, now: float, peer: Peer, update: MemberUpdate) -> None:
        self.note_change(peer)
        known = peer.accusers if update.count == peer.count else ()
        if not known:
            peer.suspected_at, peer.suspicion_ends = now, math.inf
        peer.count, peer.status = update.count, update.status
        if update.status in SUSPECTED:
            peer.accusers = self._joined(known, update)
            self._suspects.add(update.incarnation)
        else:
            peer.accusers = ()
            self._suspects.discard(update.incarnation)
        self._transmissions[update.incarnation] = 0
        if update.status is MemberStatus.REFUSED:
            peer.suspicion_ends = min(
                peer.suspicion_ends, now + self.local.config.connection_refused_suspicion_ms
            )
        elif update.status is MemberStatus.SUSPECT:
            self._set_suspicion_end(peer)

    def _confirm(self, peer: Peer, update: MemberUpdate) -> None:
        if peer.status not in SUSPECTED:
            return
        joined = self._joined(peer.accusers, update)
        if len(joined) > len(peer.accusers):
            peer.accusers = joined
            self._transmissions[update.incarnation] = 0
            if peer.status is MemberStatus.SUSPECT:
                self._set_suspicion_end(peer)

    def _joined(self, known: tuple[int, ...], update: MemberUpdate) -> tuple[int, ...]:
        """Accusers, none twice; only listed members count, and none accuses itself."""
        joined = list(known)
        for accuser in update.accusers:
            if accuser in joined or accuser == update.incarnation:
                continue
            if accuser == self.local.incarnation or accuser in self.peers:
                joined.append(accuser)
        return tuple(joined[: self.local.config.accusers + 1])

    def _set_suspicion_end(self, peer: Peer) -> None:
        confirmations = max(0, len(peer.accusers) - 1)
        timeout_ms = suspicion_ms(self.local.config, len(self.peers), confirmations)
        timeout_ms *= self.local.timeout_factor
        peer.suspicion_ends = min(peer.suspicion_ends, peer.suspected_at + timeout_ms)

    def record_ack(self, now: float, incarnation: int) -> None:
        """This member has acked a direct probe."""
        peer = self.peers.get(incarnation)
        if peer is not None:
            self.note_change(peer)
            peer.indirect_acks, peer.last_ack_at = 0, now

    def expire_suspicions(self, now: float) -> None:
        """Declare failed the suspects that did not refute in time."""
        for incarnation in [key for key in self._suspects if self.peers[key].suspicion_ends <= now]:
            peer = self.peers[incarnation]
            self.note_change(peer)
            peer.status, peer.accusers = MemberStatus.FAILED, ()
            self._suspects.discard(incarnation)
            self._transmissions[incarnation] = 0

    def postpone_suspicions(self, now: float, late_ms: float) -> None:
        """This process was paused for `late_ms`: refutations may lie unread, so suspicions last longer."""
        for incarnation in self._suspects:
            peer = self.peers[incarnation]
            longer = max(late_ms, now + self.local.config.probe_timeout_ms - peer.suspicion_ends)
            peer.suspected_at += longer
            peer.suspicion_ends += longer

    @property
    def has_suspects(self) -> bool:
        """Whether any member is suspected at present."""
        return bool(self._suspects)

    def next_expiry(self) -> float:
        """When the next suspicion ends; inf if there is none."""
        return min((self.peers[key].suspicion_ends for key in self._suspects), default=math.inf)

    def updates_for(self, to: int) -> tuple[MemberUpdate, ...]:
        """The updates transmitted least often so far; a suspect always gets its own first (Lifeguard's
        buddy system)."""
        limit = math.ceil(self.local.config.retransmit_multiplier * math.log2(len(self.peers) + 2))
        buddy = to in self.peers and self.peers[to].status is not MemberStatus.ALIVE
        first = [self._update(to)] if buddy else []
        others = (key for key in self._transmissions if not (buddy and key == to))
        room = self.local.config.updates - len(first)
        chosen = heapq.nsmallest(room, others, key=self._transmissions.__getitem__)
        for incarnation in chosen:
            self._transmissions[incarnation] += 1
            if self._transmissions[incarnation] >= limit:
                del self._transmissions[incarnation]
        return (*first, *map(self._update, chosen))

    def _update(self, incarnation: int) -> MemberUpdate:
        peer = self.peers[incarnation]
        return MemberUpdate(incarnation, peer.count, peer.status, peer.accusers)

    def note_change(self, peer: Peer) -> None:
        """Note a peer's reachability before a change, for `take_changes`."""
        before = peer.reachability(self.local.config.indirect_after)
        self._before.setdefault(peer.sibling.incarnation, before)

    def take_changes(self) -> list[ReachabilityChanged]:
        """What has changed since the last call."""
        changes = []
        for incarnation, old in self._before.items():
            new = self.peers[incarnation].reachability(self.local.config.indirect_after)
            if new is not old:
                changes.append(ReachabilityChanged(incarnation, old, new))
        self._before.clear()
        return changes
