"""The probes under way: direct ones, indirect ones through helpers, and those on behalf of others."""

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

GRACE_MS = 1000.0  # a request that the caller never ends is dropped this long after its timeout


@dataclass(slots=True)
class _ProbeState:
    """One member being probed: directly, then through helpers."""

    target: int
    refused: bool = False
    waiting: int = 0  # helpers still to answer
    acked: bool = False  # indirectly
    accusers: list[int] = field(default_factory=list)  # helpers whose probe timed out or was refused
    refusals: int = 0
    ended: bool = False


@dataclass(slots=True)
class Request:
    """A request under way: to a probe's target, to its helper, or (`relayed_for`) on another's behalf."""

    to: int  # incarnation
    sent: float
    timeout_ms: float
    probe: _ProbeState | None = None
    relayed_for: int = 0  # the incarnation that asked for it
    call: int = 0  # the caller's id of the call to answer


class Probing:
    """Sends probes and draws conclusions from acks and failures."""

    def __init__(self, local: LocalState, members: MemberList, gossip: Gossip, rng: random.Random) -> None:
        self.order = ProbeOrder(rng)
        self._local = local
        self._members = members
        self._gossip = gossip
        self._rng = rng
        self._config = local.config
        self._ids = itertools.count(1)
        self._requests: dict[int, Request] = {}
        self._targets: set[int] = set()  # being probed
        self._relayed = 0

    def next_probe(self, now: float) -> list[Probe]:
        """Probe the next member, if there is one that is not being probed."""
        target = self.order.next_target(self._members.peers, self._targets)
        if target is None:
            return []
        self._targets.add(target)
        timeout_ms = self._config.probe_timeout_ms * self._local.timeout_factor
        return [self._probe(now, Request(target, now, timeout_ms, _ProbeState(target)))]

    def relay(self, now: float, call: int, message: Message) -> Probe | Ack:
        """Probe on the sender's behalf, if it and the target are known and there is room."""
        known = message.sender in self._members.peers and message.target in self._members.peers
        if not known or self._relayed >= self._config.relayed_probes:
            self._local.ignored["ask for another not taken"] += 1
            return Ack(call, self._gossip.payload(now, message.sender))
        self._relayed += 1
        # Not lengthened by this node's health: the sender waits for twice this.
        timeout_ms = self._config.probe_timeout_ms
        request = Request(message.target, now, timeout_ms, relayed_for=message.sender, call=call)
        return self._probe(now, request)

    @property
    def under_way(self) -> bool:
        """Whether any request awaits its answer."""
        return bool(self._requests)

    def end(self, probe_id: int) -> Request | None:
        """The request of this id, which is over; None if there is none under way."""
        request = self._requests.pop(probe_id, None)
        if request is None:
            self._local.ignored["end of no ask"] += 1
        return request

    def drop_abandoned(self, now: float) -> None:
        """Forget requests that the caller has never ended."""
        abandoned = [
            key
            for key, request in self._requests.items()
            if request.sent + request.timeout_ms + GRACE_MS < now
        ]
        for probe_id in abandoned:
            request = self._requests.pop(probe_id)
            self._local.ignored["ask never ended"] += 1
            if request.probe is None:
                self._relayed -= 1
            else:
                self._targets.discard(request.probe.target)

    def on_ack(self, now: float, request: Request, result: ProbeResult) -> list[Ack]:
        """An answer by the one that the request went to; `result` is that of a helper's probe."""
        if request.probe is None:
            return [self._relayed_ack(now, request, ProbeResult.ACKED)]
        if request.to == request.probe.target:
            self._targets.discard(request.to)
            self._local.improve_health()
            return []
        probe = request.probe
        probe.waiting -= 1
        probe.acked |= result is ProbeResult.ACKED
        probe.refusals += result is ProbeResult.REFUSED
        if result in (ProbeResult.TIMED_OUT, ProbeResult.REFUSED):
            probe.accusers.append(request.to)
        self._conclude(now, probe)
        return []

    def on_failure(self, now: float, request: Request, refused: bool) -> list[Ack] | list[IndirectProbe]:
        """No answer to this request; `refused` if the machine refused the connection."""
        # A request open while this process was paused shows nothing, unless a machine refused it.
        void = request.sent < self._local.awake_since and not refused
        if request.probe is None:
            return [self._relayed_ack(now, request, _failure_result(refused, void))]
        if request.to != request.probe.target:
            self._on_helper_failure(now, request, request.probe, refused, void)
        elif void:
            self._targets.discard(request.to)
            self.order.probe_soon(request.to)
        else:
            return self._probe_indirectly(now, request.probe, refused)
        return []

    def _probe(self, now: float, request: Request) -> Probe:
        probe_id = next(self._ids)
        self._requests[probe_id] = request
        address = self._members.peers[request.to].sibling.address
        payload = self._gossip.payload(now, request.to)
        return Probe(probe_id, request.to, address, request.timeout_ms, payload)

    def _relayed_ack(self, now: float, request: Request, result: ProbeResult) -> Ack:
        self._relayed -= 1
        return Ack(request.call, self._gossip.payload(now, request.relayed_for, result=result))

    def _probe_indirectly(self, now: float, probe: _ProbeState, refused: bool) -> list[IndirectProbe]:
        """The direct probe has failed: through helpers, unless that could show nothing new."""
        peer = self._members.peers.get(probe.target)
        probe.refused = refused
        status = MemberStatus.REFUSED if refused else MemberStatus.SUSPECT
        if peer is None or peer.status is MemberStatus.FAILED:
            self._targets.discard(probe.target)
            return []
        if peer.status >= status and self._local.incarnation in peer.accusers:
            self._targets.discard(probe.target)
            self.order.probe_soon(probe.target)
            return []
        helpers = self._choose_helpers(probe.target)
        probe.waiting = len(helpers)
        if not helpers:
            self._local.worsen_health()  # nobody else to show that it is not this node
            self._conclude(now, probe, unaided=True)
        return [self._indirect_probe(now, probe, helper) for helper in helpers]

    def _choose_helpers(self, target: int) -> list[Peer]:
        fit = [
            peer
            for incarnation, peer in self._members.peers.items()
            if peer.status is MemberStatus.ALIVE and not peer.indirect_acks and incarnation != target
        ]
        return self._rng.sample(fit, min(self._config.helpers, len(fit)))

    def _indirect_probe(self, now: float, probe: _ProbeState, helper: Peer) -> IndirectProbe:
        timeout_ms = 2 * self._config.probe_timeout_ms * self._local.timeout_factor
        probe_id, incarnation = next(self._ids), helper.sibling.incarnation
        self._requests[probe_id] = Request(incarnation, now, timeout_ms, probe)
        payload = self._gossip.payload(now, incarnation, target=probe.target)
        return IndirectProbe(probe_id, incarnation, helper.sibling.address, probe.target, timeout_ms, payload)

    def _on_helper_failure(
        self, now: float, request: Request, probe: _ProbeState, refused: bool, void: bool
    ) -> None:
        probe.waiting -= 1
        if refused:
            self.order.probe_soon(request.to)
        elif not void:
            self._local.worsen_health()  # a helper always answers: the fault may be this node's own
        self._conclude(now, probe)

    def _conclude(self, now: float, probe: _ProbeState, unaided: bool = False) -> None:
        """Reachable indirectly as soon as a helper's probe is acked; suspected once all helpers have come
        back without an ack."""
        if probe.ended or (probe.waiting and not probe.acked):
            return
        probe.ended = True
        self._targets.discard(probe.target)
        peer = self._members.peers.get(probe.target)
        if peer is None:
            return
        if probe.acked:
            self._members.note_change(peer)
            peer.indirect_acks += 1
            if peer.indirect_acks < self._config.indirect_after:
                self.order.probe_soon(probe.target)
            return
        refused = probe.refused and (probe.refusals or unaided)
        status = MemberStatus.REFUSED if refused else MemberStatus.SUSPECT
        accusers = (self._local.incarnation, *probe.accusers)
        self._members.merge(now, MemberUpdate(probe.target, peer.count, status, accusers))
        self.order.probe_soon(probe.target)


def _failure_result(refused: bool, void: bool) -> ProbeResult:
    if void:
        return ProbeResult.INCONCLUSIVE
    return ProbeResult.REFUSED if refused else ProbeResult.TIMED_OUT
