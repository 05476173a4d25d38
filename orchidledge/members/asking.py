"""The calls under way: direct asks, those through helpers, and those in other nodes' place."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field

from .actions import Ask, AskThrough, Reply
from .own import Own
from .payload import Found, Message, Rumour, Told
from .roll import Peer, Roll
from .rounds import Rounds
from .voice import Voice

GRACE_MS = 1000.0  # an ask that the caller never ends is dropped this long after its timeout


@dataclass(slots=True)
class _Probe:
    """One sibling under question: its direct ask, then those through helpers."""

    target: int
    refused: bool = False
    waiting: int = 0  # helpers still to answer
    answered: bool = False
    accusers: list[int] = field(default_factory=list)  # helpers that found it silent or refused
    refusals: int = 0
    ended: bool = False


@dataclass(slots=True)
class _Call:
    """An ask under way: of a probe's target, of its helper, or (`duty`) in another node's place."""

    asked: int  # incarnation
    sent: float
    timeout_ms: float
    probe: _Probe | None = None
    duty: int = 0  # the caller's id of the call to reply to
    asker: int = 0  # who made that call


class Asking:
    """Asks, and draws what follows from answers and failures."""

    def __init__(self, own: Own, roll: Roll, voice: Voice, rng: random.Random) -> None:
        self.rounds = Rounds(rng)
        self._own = own
        self._roll = roll
        self._voice = voice
        self._rng = rng
        self._config = own.config
        self._ids = itertools.count(1)
        self._calls: dict[int, _Call] = {}
        self._probing: set[int] = set()
        self._duties = 0

    def next(self, now: float) -> list[Ask]:
        """Ask the next sibling, if there is one that is not being asked."""
        target = self.rounds.next(self._roll.peers, self._probing)
        if target is None:
            return []
        self._probing.add(target)
        timeout_ms = self._config.ask_timeout_ms * self._own.slow
        return [self._ask(now, _Call(target, now, timeout_ms, _Probe(target)))]

    def for_another(self, now: float, call: int, message: Message) -> Ask | Reply:
        """Ask in the sender's place, if it and the target are known and there is room."""
        known = message.sender in self._roll.peers and message.target in self._roll.peers
        if not known or self._duties >= self._config.duties:
            self._own.counts["ask for another not taken"] += 1
            return Reply(call, self._voice.payload(now, message.sender))
        self._duties += 1
        # Not lengthened by this node's health: the asker waits for twice this.
        timeout_ms = self._config.ask_timeout_ms
        return self._ask(now, _Call(message.target, now, timeout_ms, duty=call, asker=message.sender))

    def end(self, ask_id: int) -> _Call | None:
        """The call of this id, which is over; None if there is none under way."""
        call = self._calls.pop(ask_id, None)
        if call is None:
            self._own.counts["end of no ask"] += 1
        return call

    def drop_lost(self, now: float) -> None:
        """Forget calls that the caller has never ended."""
        lost = [key for key, call in self._calls.items() if call.sent + call.timeout_ms + GRACE_MS < now]
        for ask_id in lost:
            call = self._calls.pop(ask_id)
            self._own.counts["ask never ended"] += 1
            if call.probe is None:
                self._duties -= 1
            else:
                self._probing.discard(call.probe.target)

    def answered(self, now: float, call: _Call, found: Found) -> list[Reply]:
        """An answer by the one that was asked; `found` is what a helper found."""
        if call.probe is None:
            return [self._reply(now, call, Found.ANSWERED)]
        if call.asked == call.probe.target:
            self._probing.discard(call.asked)
            self._own.better()
            return []
        probe = call.probe
        probe.waiting -= 1
        probe.answered |= found is Found.ANSWERED
        probe.refusals += found is Found.REFUSED
        if found in (Found.SILENT, Found.REFUSED):
            probe.accusers.append(call.asked)
        self._conclude(now, probe)
        return []

    def failed(self, now: float, call: _Call, refused: bool) -> list[Reply] | list[AskThrough]:
        # A call that was open while this node itself did not run shows nothing, unless a machine refused it.
        void = call.sent < self._own.awake_since and not refused
        if call.probe is None:
            found = Found.NOTHING if void else Found.REFUSED if refused else Found.SILENT
            return [self._reply(now, call, found)]
        if call.asked != call.probe.target:
            self._unhelped(now, call, call.probe, refused, void)
        elif void:
            self._probing.discard(call.asked)
            self.rounds.doubt(call.asked)
        else:
            return self._ask_through(now, call.probe, refused)
        return []

    def _ask(self, now: float, call: _Call) -> Ask:
        ask_id = next(self._ids)
        self._calls[ask_id] = call
        address = self._roll.peers[call.asked].sibling.address
        return Ask(ask_id, call.asked, address, call.timeout_ms, self._voice.payload(now, call.asked))

    def _reply(self, now: float, call: _Call, found: Found) -> Reply:
        self._duties -= 1
        return Reply(call.duty, self._voice.payload(now, call.asker, found=found))

    def _ask_through(self, now: float, probe: _Probe, refused: bool) -> list[AskThrough]:
        """The direct ask has failed: through others, unless that could show nothing new."""
        peer = self._roll.peers.get(probe.target)
        probe.refused = refused
        known = Told.REFUSED if refused else Told.SUSPECT
        if peer is None or peer.told is Told.UNHEARD:
            self._probing.discard(probe.target)
            return []
        if peer.told >= known and self._own.incarnation in peer.accusers:
            self._probing.discard(probe.target)
            self.rounds.doubt(probe.target)
            return []
        helpers = self._helpers(probe.target)
        probe.waiting = len(helpers)
        if not helpers:
            self._own.worse()  # nobody else to show that it is not this node
            self._conclude(now, probe, unaided=True)
        return [self._through(now, probe, helper) for helper in helpers]

    def _helpers(self, target: int) -> list[Peer]:
        fit = [
            peer
            for incarnation, peer in self._roll.peers.items()
            if peer.told is Told.HEARD and not peer.missed and incarnation != target
        ]
        return self._rng.sample(fit, min(self._config.helpers, len(fit)))

    def _through(self, now: float, probe: _Probe, helper: Peer) -> AskThrough:
        timeout_ms = 2 * self._config.ask_timeout_ms * self._own.slow
        ask_id, incarnation = next(self._ids), helper.sibling.incarnation
        self._calls[ask_id] = _Call(incarnation, now, timeout_ms, probe)
        payload = self._voice.payload(now, incarnation, target=probe.target)
        return AskThrough(ask_id, incarnation, helper.sibling.address, probe.target, timeout_ms, payload)

    def _unhelped(self, now: float, call: _Call, probe: _Probe, refused: bool, void: bool) -> None:
        probe.waiting -= 1
        if refused:
            self.rounds.doubt(call.asked)
        elif not void:
            self._own.worse()  # a helper always replies: the fault may be this node's own
        self._conclude(now, probe)

    def _conclude(self, now: float, probe: _Probe, unaided: bool = False) -> None:
        """Bridged as soon as a helper was answered; an accusation once all helpers have come back without."""
        if probe.ended or (probe.waiting and not probe.answered):
            return
        probe.ended = True
        self._probing.discard(probe.target)
        peer = self._roll.peers.get(probe.target)
        if peer is None:
            return
        if probe.answered:
            self._roll.touch(peer)
            peer.missed += 1
            if peer.missed < self._config.bridged_after:
                self.rounds.doubt(probe.target)
            return
        told = Told.REFUSED if probe.refused and (probe.refusals or unaided) else Told.SUSPECT
        accusers = (self._own.incarnation, *probe.accusers)
        self._roll.hear(now, Rumour(probe.target, peer.count, told, accusers))
        self.rounds.doubt(probe.target)
