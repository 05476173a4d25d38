"""Probes in flight: direct ones, indirect ones through helpers, and those on behalf of other members."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field

from loadbalancer.membership.actions import Ack, IndirectProbe, Probe
from loadbalancer.membership.gossip import Gossip
from loadbalancer.membership.local_state import LocalState
from loadbalancer.membership.member_list import MemberList, Peer
from loadbalancer.membership.payload import MemberStatus, MemberUpdate, Message, ProbeResult
from loadbalancer.membership.probe_order import ProbeOrder

GRACE_MS = 1000.0  # a call that the driver never ends is dropped this long after its timeout


@dataclass(slots=True)
class _ProbeState:
    """State of the probe of one member, which is direct first and then made by helpers."""

    target: int
    refused: bool = False
    awaited_helpers: int = 0  # helpers that have not responded yet
    acked: bool = False  # through a helper
    accusers: list[int] = field(default_factory=list)  # helpers whose probe timed out or was refused
    refusals: int = 0  # helpers whose connection was refused
    ended: bool = False


@dataclass(slots=True)
class PendingCall:
    """A call in flight: to a probe's target, to a helper, or to a target on another member's behalf."""

    to: int  # incarnation
    sent: float
    timeout_ms: float
    probe: _ProbeState | None = None
    relayed_for: int = 0  # incarnation of the member that requested the probe; 0 for this node's own calls
    received_call: int = 0  # id of that member's call, to respond to


class Probing:
    """Sends probes and evaluates acks and failures."""

    def __init__(self, local: LocalState, members: MemberList, gossip: Gossip, rng: random.Random) -> None:
        self.order = ProbeOrder(rng)
        self._local = local
        self._members = members
        self._gossip = gossip
        self._rng = rng
        self._config = local.config
        self._ids = itertools.count(1)
        self._pending: dict[int, PendingCall] = {}
        self._probed_targets: set[int] = set()  # members being probed
        self._relayed_count = 0

    def next_probe(self, now: float) -> list[Probe]:
        """Return a probe of the next member that is not being probed, if any."""
        target = self.order.next_target(self._members.peers, self._probed_targets)
        if target is None:
            return []
        self._probed_targets.add(target)
        timeout_ms = self._config.probe_timeout_ms * self._local.timeout_factor
        return [self._probe(now, PendingCall(target, now, timeout_ms, _ProbeState(target)))]

    def relay(self, now: float, call: int, message: Message) -> Probe | Ack:
        """Probe the message's target on the sender's behalf; `call` is the id of the received call.

        If either is unknown, or `relayed_probes` are in flight already, return an inconclusive ack instead.
        """
        known = message.sender in self._members.peers and message.target in self._members.peers
        if not known or self._relayed_count >= self._config.relayed_probes:
            self._local.ignored["ask for another not taken"] += 1
            return Ack(call, self._gossip.payload(now, message.sender))
        self._relayed_count += 1
        # Independent of this node's health, since the sender waits for twice this timeout.
        timeout_ms = self._config.probe_timeout_ms
        pending = PendingCall(message.target, now, timeout_ms, relayed_for=message.sender, received_call=call)
        return self._probe(now, pending)

    @property
    def has_pending(self) -> bool:
        """Whether any call is in flight."""
        return bool(self._pending)

    def end(self, probe_id: int) -> PendingCall | None:
        """Remove and return the call in flight with this id; None if there is none."""
        pending = self._pending.pop(probe_id, None)
        if pending is None:
            self._local.ignored["end of no ask"] += 1
        return pending

    def drop_abandoned(self, now: float) -> None:
        """Drop calls that the driver has never ended."""
        expired = [
            probe_id
            for probe_id, pending in self._pending.items()
            if pending.sent + pending.timeout_ms + GRACE_MS < now
        ]
        for probe_id in expired:
            pending = self._pending.pop(probe_id)
            self._local.ignored["ask never ended"] += 1
            if pending.probe is None:
                self._relayed_count -= 1
            else:
                self._probed_targets.discard(pending.probe.target)

    def on_ack(self, now: float, pending: PendingCall, result: ProbeResult) -> list[Ack]:
        """Handle a response; `result` is the outcome of the helper's probe if the call was to a helper."""
        if pending.probe is None:
            return [self._relayed_ack(now, pending, ProbeResult.ACKED)]
        if pending.to == pending.probe.target:
            self._probed_targets.discard(pending.to)
            self._local.improve_health()
            return []
        probe = pending.probe
        probe.awaited_helpers -= 1
        probe.acked |= result is ProbeResult.ACKED
        probe.refusals += result is ProbeResult.REFUSED
        if result in (ProbeResult.TIMED_OUT, ProbeResult.REFUSED):
            probe.accusers.append(pending.to)
        self._conclude(now, probe)
        return []

    def on_failure(self, now: float, pending: PendingCall, refused: bool) -> list[Ack] | list[IndirectProbe]:
        """Handle a call that got no response; `refused`: whether the machine refused the connection."""
        # A call in flight during a pause of this process proves nothing, unless a machine refused it.
        inconclusive = pending.sent < self._local.awake_since and not refused
        if pending.probe is None:
            return [self._relayed_ack(now, pending, _failure_result(refused, inconclusive))]
        if pending.to != pending.probe.target:
            self._on_helper_failure(now, pending, pending.probe, refused, inconclusive)
        elif inconclusive:
            self._probed_targets.discard(pending.to)
            self.order.probe_soon(pending.to)
        else:
            return self._probe_indirectly(now, pending.probe, refused)
        return []

    def _probe(self, now: float, pending: PendingCall) -> Probe:
        probe_id = next(self._ids)
        self._pending[probe_id] = pending
        address = self._members.peers[pending.to].sibling.address
        payload = self._gossip.payload(now, pending.to)
        return Probe(probe_id, pending.to, address, pending.timeout_ms, payload)

    def _relayed_ack(self, now: float, pending: PendingCall, result: ProbeResult) -> Ack:
        self._relayed_count -= 1
        return Ack(pending.received_call, self._gossip.payload(now, pending.relayed_for, result=result))

    def _probe_indirectly(self, now: float, probe: _ProbeState, refused: bool) -> list[IndirectProbe]:
        """Probe through helpers after a failed direct probe.

        Send no probe if it could show nothing new: the target has been removed, counts as failed, or is
        suspected by this node already.
        """
        peer = self._members.peers.get(probe.target)
        probe.refused = refused
        status = MemberStatus.REFUSED if refused else MemberStatus.SUSPECT
        if peer is None or peer.status is MemberStatus.FAILED:
            self._probed_targets.discard(probe.target)
            return []
        if peer.status >= status and self._local.incarnation in peer.accusers:
            self._probed_targets.discard(probe.target)
            self.order.probe_soon(probe.target)
            return []
        helpers = self._choose_helpers(probe.target)
        probe.awaited_helpers = len(helpers)
        if not helpers:
            self._local.worsen_health()  # no helper can show that the cause is not this node
            self._conclude(now, probe, no_helpers=True)
        return [self._indirect_probe(now, probe, helper) for helper in helpers]

    def _choose_helpers(self, target: int) -> list[Peer]:
        candidates = [
            peer
            for incarnation, peer in self._members.peers.items()
            if peer.status is MemberStatus.ALIVE and not peer.indirect_acks and incarnation != target
        ]
        return self._rng.sample(candidates, min(self._config.helpers, len(candidates)))

    def _indirect_probe(self, now: float, probe: _ProbeState, helper: Peer) -> IndirectProbe:
        timeout_ms = 2 * self._config.probe_timeout_ms * self._local.timeout_factor
        probe_id, incarnation = next(self._ids), helper.sibling.incarnation
        self._pending[probe_id] = PendingCall(incarnation, now, timeout_ms, probe)
        payload = self._gossip.payload(now, incarnation, target=probe.target)
        return IndirectProbe(probe_id, incarnation, helper.sibling.address, probe.target, timeout_ms, payload)

    def _on_helper_failure(
        self, now: float, pending: PendingCall, probe: _ProbeState, refused: bool, inconclusive: bool
    ) -> None:
        probe.awaited_helpers -= 1
        if refused:
            self.order.probe_soon(pending.to)
        elif not inconclusive:
            self._local.worsen_health()  # a live helper always responds, so the cause may be this node itself
        self._conclude(now, probe)

    def _conclude(self, now: float, probe: _ProbeState, no_helpers: bool = False) -> None:
        """End the probe once its result is known.

        The target is reachable indirectly as soon as one helper's probe is acked. It is suspected once the
        calls to all helpers have ended without an ack of the target.
        """
        if probe.ended or (probe.awaited_helpers and not probe.acked):
            return
        probe.ended = True
        self._probed_targets.discard(probe.target)
        peer = self._members.peers.get(probe.target)
        if peer is None:
            return
        if probe.acked:
            self._members.remember_reachability(peer)
            peer.indirect_acks += 1
            if peer.indirect_acks < self._config.indirect_after:
                self.order.probe_soon(probe.target)
            return
        refused = probe.refused and (probe.refusals or no_helpers)
        status = MemberStatus.REFUSED if refused else MemberStatus.SUSPECT
        accusers = (self._local.incarnation, *probe.accusers)
        self._members.merge(now, MemberUpdate(probe.target, peer.count, status, accusers))
        self.order.probe_soon(probe.target)


def _failure_result(refused: bool, inconclusive: bool) -> ProbeResult:
    if inconclusive:
        return ProbeResult.INCONCLUSIVE
    return ProbeResult.REFUSED if refused else ProbeResult.TIMED_OUT
