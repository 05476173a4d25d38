"""The siblings this node knows, what is told of each, and which of it still has to be passed on."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from .actions import Changed, Config, Sibling
from .own import LEAP, Own
from .payload import Rumour, Told
from .verdict import Heard


@dataclass(slots=True)
class Peer:
    sibling: Sibling
    count: int = 0
    told: Told = Told.HEARD
    accusers: tuple[int, ...] = ()
    since: float = 0.0  # of the accusation
    ends: float = math.inf  # when it becomes `unheard`
    missed: int = 0  # direct failures in a row that others bridged
    heard_at: float | None = None  # its last direct answer

    def state(self, bridged_after: int) -> Heard:
        if self.told is Told.UNHEARD:
            return Heard.UNHEARD
        if self.told is not Told.HEARD:
            return Heard.SUSPECT
        return Heard.BRIDGED if self.missed >= bridged_after else Heard.HEARD


def suspicion_ms(config: Config, siblings: int, confirmations: int) -> float:
    """How long silence is suspected: from most to least as accusers confirm (Lifeguard, section IV.B)."""
    scale = max(1.0, math.log10(siblings + 1))
    least, most = config.suspicion_least_ms * scale, config.suspicion_most_ms * scale
    if config.accusers == 0:
        return least
    share = math.log(confirmations + 1) / math.log(config.accusers + 1)
    return max(least, most - (most - least) * share)


@dataclass(slots=True)
class Roll:
    """Peers by incarnation. Bounded by what the list service names."""

    own: Own
    peers: dict[int, Peer] = field(default_factory=dict)
    _telling: dict[int, int] = field(default_factory=dict)  # incarnation -> times told
    _accused: set[int] = field(default_factory=set)
    _touched: dict[int, Heard] = field(default_factory=dict)  # incarnation -> state before

    def know(self, siblings: Iterable[Sibling]) -> list[int]:
        """Take the whole list, this node's own row left out; returns the incarnations that are new."""
        listed = {row.incarnation: row for row in siblings if row.incarnation != self.own.incarnation}
        for gone in self.peers.keys() - listed.keys():
            del self.peers[gone]
            for held in (self._telling, self._touched):
                held.pop(gone, None)
            self._accused.discard(gone)
        new = [incarnation for incarnation in listed if incarnation not in self.peers]
        for incarnation, sibling in listed.items():
            if incarnation in self.peers:
                self.peers[incarnation].sibling = sibling
            else:
                self.peers[incarnation] = Peer(sibling)
        return new

    def hear(self, now: float, rumour: Rumour, sure: bool = False) -> None:
        """Merge a rumour of a sibling; `sure`: the sibling itself answered it."""
        peer = self.peers.get(rumour.incarnation)
        if peer is None:
            self.own.counts["rumour of an unknown incarnation"] += 1
        elif rumour.count > peer.count + LEAP and not sure:
            self.own.counts["absurd count"] += 1
        elif (rumour.count, rumour.told) > (peer.count, peer.told):
            self._adopt(now, peer, rumour)
        elif (rumour.count, rumour.told) == (peer.count, peer.told):
            self._confirm(peer, rumour)

    def _adopt(self, now: float, peer: Peer, rumour: Rumour) -> None:
        self.touch(peer)
        known = peer.accusers if rumour.count == peer.count else ()
        if not known:
            peer.since, peer.ends = now, math.inf
        peer.count, peer.told = rumour.count, rumour.told
        accused = rumour.told in (Told.SUSPECT, Told.REFUSED)
        peer.accusers = self._joined(known, rumour) if accused else ()
        (self._accused.add if accused else self._accused.discard)(rumour.incarnation)
        self._telling[rumour.incarnation] = 0
        if rumour.told is Told.REFUSED:
            peer.ends = min(peer.ends, now + self.own.config.refused_ms)
        elif rumour.told is Told.SUSPECT:
            self._set_end(peer)

    def _confirm(self, peer: Peer, rumour: Rumour) -> None:
        if peer.told not in (Told.SUSPECT, Told.REFUSED):
            return
        joined = self._joined(peer.accusers, rumour)
        if len(joined) > len(peer.accusers):
            peer.accusers = joined
            self._telling[rumour.incarnation] = 0
            if peer.told is Told.SUSPECT:
                self._set_end(peer)

    def _joined(self, known: tuple[int, ...], rumour: Rumour) -> tuple[int, ...]:
        """Accusers, none twice; only such as the list names count, and the accused is none of its own."""
        joined = list(known)
        for accuser in rumour.accusers:
            if accuser in joined or accuser == rumour.incarnation:
                continue
            if accuser == self.own.incarnation or accuser in self.peers:
                joined.append(accuser)
        return tuple(joined[: self.own.config.accusers + 1])

    def _set_end(self, peer: Peer) -> None:
        confirmations = max(0, len(peer.accusers) - 1)
        lasts = self.own.slow * suspicion_ms(self.own.config, len(self.peers), confirmations)
        peer.ends = min(peer.ends, peer.since + lasts)

    def answered(self, now: float, incarnation: int) -> None:
        """A sibling has answered directly."""
        peer = self.peers.get(incarnation)
        if peer is not None:
            self.touch(peer)
            peer.missed, peer.heard_at = 0, now

    def expire(self, now: float) -> None:
        """End the suspicions whose time is over."""
        for incarnation in [key for key in self._accused if self.peers[key].ends <= now]:
            peer = self.peers[incarnation]
            self.touch(peer)
            peer.told, peer.accusers = Told.UNHEARD, ()
            self._accused.discard(incarnation)
            self._telling[incarnation] = 0

    def postpone(self, now: float, late_ms: float) -> None:
        """This node did not run for `late_ms`: refutations may lie unread, so suspicions last longer."""
        for incarnation in self._accused:
            peer = self.peers[incarnation]
            longer = max(late_ms, now + self.own.config.ask_timeout_ms - peer.ends)
            peer.since += longer
            peer.ends += longer

    def next_end(self) -> float:
        return min((self.peers[key].ends for key in self._accused), default=math.inf)

    def to_tell(self, to: int) -> tuple[Rumour, ...]:
        """The rumours told least often so far; the accused itself is always told first (the buddy rule)."""
        limit = math.ceil(self.own.config.spread * math.log2(len(self.peers) + 2))
        buddy = to in self.peers and self.peers[to].told is not Told.HEARD
        first = [self._rumour(to)] if buddy else []
        others = (key for key in self._telling if not (buddy and key == to))
        chosen = heapq.nsmallest(self.own.config.rumours - len(first), others, key=self._telling.__getitem__)
        for incarnation in chosen:
            self._telling[incarnation] += 1
            if self._telling[incarnation] >= limit:
                del self._telling[incarnation]
        return (*first, *map(self._rumour, chosen))

    def _rumour(self, incarnation: int) -> Rumour:
        peer = self.peers[incarnation]
        return Rumour(incarnation, peer.count, peer.told, peer.accusers)

    def touch(self, peer: Peer) -> None:
        """Note a peer's state before a change, for `changes`."""
        self._touched.setdefault(peer.sibling.incarnation, peer.state(self.own.config.bridged_after))

    def changes(self) -> list[Changed]:
        """What has changed since the last call."""
        found = []
        for incarnation, old in self._touched.items():
            new = self.peers[incarnation].state(self.own.config.bridged_after)
            if new is not old:
                found.append(Changed(incarnation, old, new))
        self._touched.clear()
        return found
