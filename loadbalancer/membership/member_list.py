"""The other members of the group, their status, and the updates that are still to be disseminated."""

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
    """Another member and the state of a suspicion of it."""

    sibling: Sibling
    count: int = 0
    status: MemberStatus = MemberStatus.ALIVE
    accusers: tuple[int, ...] = ()
    suspected_at: float = 0.0
    suspicion_ends: float = math.inf  # when the suspect is declared failed unless it refutes
    indirect_acks: int = 0  # consecutive failed direct probes with acked indirect ones
    last_ack_at: float | None = None  # when it last acked a call of this node

    def reachability(self, indirect_after: int) -> Reachability:
        """Return the reachability that follows from status and indirect acks."""
        if self.status is MemberStatus.FAILED:
            return Reachability.UNREACHABLE
        if self.status is not MemberStatus.ALIVE:
            return Reachability.SUSPECT
        return Reachability.INDIRECT if self.indirect_acks >= indirect_after else Reachability.ALIVE


def suspicion_ms(config: DetectorConfig, members: int, confirmations: int) -> float:
    """Suspicion timeout in ms: falls from the maximum to the minimum with confirmations (Lifeguard, IV.B)."""
    scale = max(1.0, math.log10(members + 1))
    min_ms, max_ms = config.suspicion_min_ms * scale, config.suspicion_max_ms * scale
    if config.accusers == 0:
        return min_ms
    progress = math.log(confirmations + 1) / math.log(config.accusers + 1)
    return max(min_ms, max_ms - (max_ms - min_ms) * progress)


@dataclass(slots=True)
class MemberList:
    """Peers by incarnation; only members that the list service has listed."""

    local: LocalState
    peers: dict[int, Peer] = field(default_factory=dict)
    # How often each update that is still to be disseminated has been sent, by incarnation.
    _transmissions: dict[int, int] = field(default_factory=dict)
    _suspects: set[int] = field(default_factory=set)
    # Reachability before changes that `take_changes` has not reported yet, by incarnation.
    _reachability_before: dict[int, Reachability] = field(default_factory=dict)

    def set_members(self, siblings: Iterable[Sibling]) -> list[int]:
        """Replace the member list, leaving out this node's own entry; return the new incarnations."""
        listed = {
            sibling.incarnation: sibling
            for sibling in siblings
            if sibling.incarnation != self.local.incarnation
        }
        for removed in self.peers.keys() - listed.keys():
            del self.peers[removed]
            for by_incarnation in (self._transmissions, self._reachability_before):
                by_incarnation.pop(removed, None)
            self._suspects.discard(removed)
        new = [incarnation for incarnation in listed if incarnation not in self.peers]
        for incarnation, sibling in listed.items():
            if incarnation in self.peers:
                self.peers[incarnation].sibling = sibling
            else:
                self.peers[incarnation] = Peer(sibling)
        return new

    def merge(self, now: float, update: MemberUpdate, is_ack: bool = False) -> None:
        """Merge an update about another member; `is_ack` if it is the header of that member's own ack."""
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
        self.remember_reachability(peer)
        known = peer.accusers if update.count == peer.count else ()
        if not known:
            peer.suspected_at, peer.suspicion_ends = now, math.inf
        peer.count, peer.status = update.count, update.status
        if update.status in SUSPECTED:
            peer.accusers = self._merge_accusers(known, update)
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
        merged = self._merge_accusers(peer.accusers, update)
        if len(merged) > len(peer.accusers):
            peer.accusers = merged
            self._transmissions[update.incarnation] = 0
            if peer.status is MemberStatus.SUSPECT:
                self._set_suspicion_end(peer)

    def _merge_accusers(self, known: tuple[int, ...], update: MemberUpdate) -> tuple[int, ...]:
        """Return `known` plus the update's new accusers, except unlisted members and the suspect itself."""
        merged = list(known)
        for accuser in update.accusers:
            if accuser in merged or accuser == update.incarnation:
                continue
            if accuser == self.local.incarnation or accuser in self.peers:
                merged.append(accuser)
        return tuple(merged[: self.local.config.accusers + 1])

    def _set_suspicion_end(self, peer: Peer) -> None:
        confirmations = max(0, len(peer.accusers) - 1)
        timeout_ms = suspicion_ms(self.local.config, len(self.peers), confirmations)
        timeout_ms *= self.local.timeout_factor
        peer.suspicion_ends = min(peer.suspicion_ends, peer.suspected_at + timeout_ms)

    def record_ack(self, now: float, incarnation: int) -> None:
        """Record that this member has acked a call of this node."""
        peer = self.peers.get(incarnation)
        if peer is not None:
            self.remember_reachability(peer)
            peer.indirect_acks, peer.last_ack_at = 0, now

    def expire_suspicions(self, now: float) -> None:
        """Declare suspects failed that did not refute in time."""
        for incarnation in [key for key in self._suspects if self.peers[key].suspicion_ends <= now]:
            peer = self.peers[incarnation]
            self.remember_reachability(peer)
            peer.status, peer.accusers = MemberStatus.FAILED, ()
            self._suspects.discard(incarnation)
            self._transmissions[incarnation] = 0

    def postpone_suspicions(self, now: float, late_ms: float) -> None:
        """Extend suspicions after a pause of this process: received refutations may still be unread."""
        for incarnation in self._suspects:
            peer = self.peers[incarnation]
            extension_ms = max(late_ms, now + self.local.config.probe_timeout_ms - peer.suspicion_ends)
            peer.suspected_at += extension_ms
            peer.suspicion_ends += extension_ms

    @property
    def has_suspects(self) -> bool:
        """Whether any member is currently suspected."""
        return bool(self._suspects)

    def next_expiry(self) -> float:
        """Return when the next suspicion times out; inf if there is none."""
        return min((self.peers[key].suspicion_ends for key in self._suspects), default=math.inf)

    def updates_for(self, to: int) -> tuple[MemberUpdate, ...]:
        """Return the updates for a payload to `to`: those transmitted least often so far.

        A suspect always receives its own suspicion first, so that it can refute (Lifeguard's buddy system).
        """
        limit = math.ceil(self.local.config.retransmit_multiplier * math.log2(len(self.peers) + 2))
        is_suspect = to in self.peers and self.peers[to].status is not MemberStatus.ALIVE
        first = [self._update(to)] if is_suspect else []
        others = (key for key in self._transmissions if not (is_suspect and key == to))
        capacity = self.local.config.updates - len(first)
        chosen = heapq.nsmallest(capacity, others, key=self._transmissions.__getitem__)
        for incarnation in chosen:
            self._transmissions[incarnation] += 1
            if self._transmissions[incarnation] >= limit:
                del self._transmissions[incarnation]
        return (*first, *map(self._update, chosen))

    def _update(self, incarnation: int) -> MemberUpdate:
        peer = self.peers[incarnation]
        return MemberUpdate(incarnation, peer.count, peer.status, peer.accusers)

    def remember_reachability(self, peer: Peer) -> None:
        """Remember a peer's reachability before a change, for `take_changes`."""
        before = peer.reachability(self.local.config.indirect_after)
        self._reachability_before.setdefault(peer.sibling.incarnation, before)

    def take_changes(self) -> list[ReachabilityChanged]:
        """Return the changes of reachability since the last call."""
        changes = []
        for incarnation, old in self._reachability_before.items():
            new = self.peers[incarnation].reachability(self.local.config.indirect_after)
            if new is not old:
                changes.append(ReachabilityChanged(incarnation, old, new))
        self._reachability_before.clear()
        return changes
