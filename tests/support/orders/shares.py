"""The world of leases and shares: nodes with the enrolment core, one log with its ledger, the leader's lease
clock, siblings' words.

Time is one true clock that all others are read from: a node's own stands off by a constant skew. It moves in
steps of `Bounds.step`, so what happens between two of them happens at one moment, in any order. A step is a
part of the lease's term, which makes every boundary of the rules (0.25, 0.55, 0.9 and 1 of it) fall on or
between steps. Times in a key are relative to now, numbers of calls to the latest one, revisions to the
latest, and what is too old to count any more is left out: the code only compares them, so worlds that differ
by such a shift go on alike.

Moves that cost nothing: `renew` (a node's due call is sent, applied and answered at this moment), `hear` (a
node hears a sibling's word of now), `expire` (the leader has the due leases expired), `tick`. A link that is
cut is a node that does not renew, or does not hear: neither is ever forced. Moves that cost one of the
world's faults:

    send     a call that does not arrive at this moment. From then on `arrive`, `answer` and `timeout` happen
             in any order, at any time, or never: late, lost and overtaking messages are all of these
    repeat   a message that arrives and stays on its way, to arrive again
    plan     an `expire` worked out now and applied later (or refused, after a new leader)
    crash    the process ends; `start` (free) begins another one at the same address; what it had sent may
             still arrive
    reject   a due renewal is rejected for the time that it states: the node is wrong about service time
    older    in place of the answer to the call in flight comes the one of all used so far with the largest
             share, which is an answer to another call
    lead     a new leader, which grants every lease anew
    snapshot the change logs of the member lists begin anew here, as at an instance that has read a snapshot
             of now and answers from here on
    late     a word of now that siblings may hear later

Nodes may belong to services (`Bounds.services`): they enrol by the command that knows groups, and hear the
words of their own group's only.

Left out for good reason: a sibling's word that it does not hold is heard only where it takes back one that it
does, as any other changes nothing; the answers to calls that were given up, and renewals too late for the
service to take, can change nothing either. Nodes are not taken as alike: the lowest rank wins a tie.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from loadbalancer.membership.change_log import ChangeLog
from loadbalancer.membership.lease_calls import RegistryCall, SiblingReport
from loadbalancer.membership.lease_clock import MAX_DELAY_TERM_FRACTION, LeaseClock, _Lease
from loadbalancer.membership.member_lease import HOLD_TERM_FRACTION, MemberLease
from loadbalancer.membership.member_record import MemberRecord
from loadbalancer.membership.messages import LeaseGrant
from loadbalancer.membership.payload import QuotaStatus
from loadbalancer.registry.fleet_results import DueExpiry
from loadbalancer.registry.fleet_state import NO_SERVICE, FleetState
from tests.support.orders.keys import Keyed
from tests.support.orders.parts import NEVER, RNG, TTL, Bounds, LateWord, Node, Sent, Service, copied, waits


class Shares(Keyed):
    """Never changed from outside; `_twin` begins each move."""

    __slots__ = ("bounds", "broken", "faults", "given", "nodes", "now", "plan", "service")

    def __init__(self, bounds: Bounds, faults: int) -> None:
        self.bounds, self.faults = bounds, faults
        self.now = 100_000.0
        state = FleetState()
        state.start_term(1, "", 0, TTL, 0.0)
        self.service = Service(state, LeaseClock(TTL))
        self.plan: DueExpiry | None = None
        self.given: tuple[tuple[str, int], ...] = ()  # the incarnation that each start was given first
        self.broken: str | None = None
        self.nodes = tuple(self._start(at, Node(f"n{at}", skew)) for at, skew in enumerate(bounds.skews))

    # ---------------------------------------------------------------------- moves

    def moves(self) -> Iterator[tuple[str, Shares]]:
        for at, node in enumerate(self.nodes):
            if node.core is not None:
                yield from self._own_moves(at, node, node.core)
            elif node.starts < 3:
                yield self._move(f"start {node.name}", 0, lambda w, at=at: w._restart(at))
            yield from self._arrivals(at, node)
        yield from self._leader_moves()
        yield self._move("tick", 0, lambda w: w._tick())

    def _own_moves(self, at: int, node: Node, core: MemberLease) -> Iterator[tuple[str, Shares]]:
        own = self.now + node.skew
        if core.next_call_at() <= own:
            yield self._move(f"renew {node.name}", 0, lambda w: w._renew(at))
            if self._may("send", node) and len(node.calls) < self.bounds.on_way:
                yield self._move(f"send {node.name}", 1, lambda w: w._send(at))
            if self._may("reject", node) and core.incarnation is not None and not core._enrols_again:
                yield self._move(f"reject {node.name}", 1, lambda w: w._reject(at))
        elif core._in_flight is not None and own >= core._in_flight[1] + core._in_flight[0].timeout_ms:
            yield self._move(f"timeout {node.name}", 0, lambda w: w._timeout(at))
        if core._in_flight is not None and node.largest is not None and self._may("older", node):
            yield self._move(f"older {node.name}", 1, lambda w: w._older(at))
        if self._may("crash", node):
            yield self._move(f"crash {node.name}", 1, lambda w: w._crash(at))
        if not self.bounds.siblings:
            return
        for other in self.nodes:
            if other is node:
                continue
            for incarnation, word in self._word(node, other):
                name = f"hear {node.name} {other.name}"
                yield self._move(name, 0, lambda w, i=incarnation, x=word: w._hear(at, i, x))
            for incarnation, word in self._late_words(node, other):
                name = f"hear {node.name} {other.name} of {own - word.made_at_ms:g} ms ago"
                yield self._move(name, 0, lambda w, i=incarnation, x=word: w._hear(at, i, x))
        if self._may("late", node) and core.incarnation and core.quota_status(own) is QuotaStatus.HOLDING:
            word = LateWord(core.incarnation, self.now, node.service)
            if word not in node.words:
                yield self._move(f"late {node.name}", 1, lambda w: w._keep_word(at, word))

    def _arrivals(self, at: int, node: Node) -> Iterator[tuple[str, Shares]]:
        for sent in node.calls:
            name = f"{node.name} {sent.call.path} {sent.call.number}"
            yield self._move(f"arrive {name}", 0, lambda w, s=sent: w._arrive(at, s, False))
            if self._may("repeat", node):
                yield self._move(f"repeat {name}", 1, lambda w, s=sent: w._arrive(at, s, True))
        for answer in node.answers:
            yield self._move(f"answer {node.name} {answer[0]}", 0, lambda w, a=answer: w._answer(at, a))

    def _leader_moves(self) -> Iterator[tuple[str, Shares]]:
        lapsed, support = self.service.clock.expired_and_attached(self.now)
        plan = self.service.state.due_expiry(lapsed, support)
        if plan is not None:
            yield self._move("expire", 0, lambda w: w._expire(plan))
            if self.plan is None and self._may("plan"):
                yield self._move("plan", 1, lambda w: setattr(w, "plan", plan))
        if self.plan is not None:
            yield self._move("apply", 0, lambda w: w._apply())
        if self._may("lead"):
            yield self._move("lead", 1, lambda w: w._lead())
        if self._may("snapshot"):
            yield self._move("snapshot", 1, lambda w: w._snapshot())

    def _may(self, kind: str, node: Node | None = None) -> bool:
        if node is not None and self.bounds.faulty is not None and node.name not in self.bounds.faulty:
            return False
        return self.faults > 0 and kind in self.bounds.kinds

    def _move(self, name: str, cost: int, act: Any) -> tuple[str, Any]:
        after = self._twin()
        after.faults -= cost
        act(after)
        return name, after

    def _twin(self) -> Shares:
        new: Shares = object.__new__(type(self))
        new.bounds, new.faults, new.now, new.service = self.bounds, self.faults, self.now, self.service
        new.plan, new.given, new.broken, new.nodes = self.plan, self.given, self.broken, self.nodes
        return new

    def _own(self, at: int) -> Node:
        """The node, copied for this world, as its process is: cores are changed in place."""
        node = self.nodes[at].copy()
        self.nodes = (*self.nodes[:at], node, *self.nodes[at + 1 :])
        return node

    def _s(self) -> float:
        """Service time."""
        return self.now

    def _log(self) -> FleetState:
        """The log's state, copied for this world, for one command."""
        state, clock = self.service
        leases = LeaseClock(TTL)
        leases._leases = {
            number: _Lease(
                lease.last_renewal_ms,
                lease.seq,
                dict(lease.applied_at_ms),
                lease.attached_since_ms,
                lease.attached_until_ms,
            )
            for number, lease in clock._leases.items()
        }
        self.service = Service(copied(state), leases)
        self.service.state.accept(self._s(), 1)
        return self.service.state

    # ------------------------------------------------------------------ calls

    def _start(self, at: int, node: Node) -> Node:
        starts = node.starts + 1
        service = self.bounds.service(at, starts)
        core = MemberLease(node.name, f"a-{node.name}", "", f"{node.name}.{starts}", RNG, service)
        return Node(
            node.name, node.skew, core, starts, calls=node.calls, words=node.words, service=service
        )  # fmt: skip

    def _restart(self, at: int) -> None:
        self.nodes = (*self.nodes[:at], self._start(at, self.nodes[at]), *self.nodes[at + 1 :])

    def _crash(self, at: int) -> None:
        node = self._own(at)
        node.core, node.answers, node.said = None, (), {}

    def _call(self, node: Node) -> Sent:
        assert node.core is not None
        service_ms = None if node.core._last_response_ms == NEVER else self._s()
        call = node.core.tick(self.now + node.skew, service_ms)
        assert call is not None
        return Sent(call, self.now, node.service)

    def _send(self, at: int) -> None:
        node = self._own(at)
        node.calls = (*node.calls, self._call(node))

    def _renew(self, at: int) -> None:
        node = self._own(at)
        sent = self._call(node)
        self._take(node, sent.call.number, self._serve(node, sent.call))

    def _reject(self, at: int) -> None:
        node = self._own(at)
        sent = self._call(node)
        assert node.core is not None
        node.core.on_renewal_rejected(self.now + node.skew, sent.call.number)

    def _older(self, at: int) -> None:
        """As the shell does with it: the answer names its call, and the call that it came to has failed."""
        node = self._own(at)
        assert node.core is not None
        assert node.core._in_flight is not None
        assert node.largest is not None
        own, number = self.now + node.skew, node.core._in_flight[0].number
        if not node.core.on_grant(own, *node.largest, TTL):
            node.core.on_failure(own, number)
        node.answers = ()

    def _arrive(self, at: int, sent: Sent, again: bool) -> None:
        node = self._own(at)
        if not again:
            node.calls = tuple(other for other in node.calls if other is not sent)
        answer = (sent.call.number, self._serve(node, sent.call))
        if waits(node, sent.call.number):
            node.answers = (*node.answers, answer)

    def _serve(self, node: Node, call: RegistryCall) -> LeaseGrant | None:
        """The list service's part: apply the call and count the lease from now."""
        state, body = self._log(), call.body
        if call.path == "enrol":
            row = self._enrol(state, body)
            self._give(row)
            self.service.clock.record_renewal(self.now, row.incarnation, row.renewal_seq, -1)
        else:
            row = state.renew(body["incarnation"], body["seq"], body["acked"], body["using"])
            if row is not None:
                self.service.clock.record_renewal(self.now, row.incarnation, body["seq"], body["answered"])
        state.settle()
        self.service.clock.retain({row.incarnation for row in state.records()})
        return None if row is None else self._grant(state, row, call)

    def _enrol(self, state: FleetState, body: dict[str, Any]) -> MemberRecord:
        if self.bounds.services:
            return state.enrol_in(**({"service": NO_SERVICE} | body))
        row = state.enrol(**body)
        assert row is not None
        return row

    def _grant(self, state: FleetState, row: MemberRecord, call: RegistryCall) -> LeaseGrant:
        return state.grant(row, call.body.get("acked", -1), call.body.get("delta", False))

    def _give(self, row: MemberRecord) -> None:
        if all(start != row.start_id for start, _ in self.given):
            if any(number >= row.incarnation for _, number in self.given):
                self.broken = f"incarnation {row.incarnation} given to {row.start_id} after {self.given}"
            self.given = (*self.given, (row.start_id, row.incarnation))

    def _answer(self, at: int, answer: tuple[int, LeaseGrant | None]) -> None:
        node = self._own(at)
        node.answers = tuple(other for other in node.answers if other is not answer)
        self._take(node, *answer)

    def _take(self, node: Node, number: int, told: LeaseGrant | None) -> None:
        assert node.core is not None
        assert node.core._in_flight is not None
        own, sent = self.now + node.skew, node.core._in_flight[1]
        if told is None:
            node.core.on_failure(own, number, unknown=True)
            self._unknown(node, own)
        elif node.core.on_grant(own, number, told, TTL):
            self._used(node, sent, told)
            if "older" in self.bounds.kinds and (node.largest is None or told.quota > node.largest[1].quota):
                node.largest = (number, told)
        node.answers = tuple(answer for answer in node.answers if waits(node, answer[0]))

    def _used(self, node: Node, sent: float, told: LeaseGrant) -> None:
        """An answer was used; `sent`: its call, by the node's clock."""

    def _unknown(self, node: Node, own: float) -> None:
        """The node has no row any more."""

    def _timeout(self, at: int) -> None:
        node = self._own(at)
        assert node.core is not None
        assert node.core._in_flight is not None
        node.core.on_failure(self.now + node.skew, node.core._in_flight[0].number)
        node.answers = ()

    # ----------------------------------------------------------------- siblings

    def _word(self, node: Node, other: Node) -> list[tuple[int, SiblingReport]]:
        """What the other says now, in this node's time, if it may change what this node rests on."""
        core = other.core
        if core is None or core.incarnation is None or other.service != node.service:
            return []
        word = SiblingReport(core.quota_status(self.now + other.skew), self.now + node.skew)
        known = node.said.get(core.incarnation)
        if known is not None:
            news = known.made_at_ms < word.made_at_ms or known.status is not word.status
        else:
            news = self.bounds.all_words or word.status is QuotaStatus.HOLDING
        return [(core.incarnation, word)] if news else []

    def _late_words(self, node: Node, other: Node) -> list[tuple[int, SiblingReport]]:
        late = []
        for number, at, service in other.words:
            known = node.said.get(number)
            if service != node.service:
                continue
            if at < self.now and (known is None or known.made_at_ms < at + node.skew):
                late.append((number, SiblingReport(QuotaStatus.HOLDING, at + node.skew)))
        return late

    def _hear(self, at: int, incarnation: int, word: SiblingReport) -> None:
        node = self._own(at)
        assert node.core is not None
        node.said = {**node.said, incarnation: word}
        node.core.on_sibling_reports(self.now + node.skew, node.said)
        if word.status is not QuotaStatus.HOLDING and not self.bounds.all_words:
            del node.said[incarnation]  # from here on as if it had never been heard

    def _keep_word(self, at: int, word: LateWord) -> None:
        node = self._own(at)
        node.words = (*node.words, word)

    # -------------------------------------------------------------- leader and time

    def _expire(self, plan: DueExpiry) -> None:
        state = self._log()
        state.expire(plan.lapsed, plan.support, plan.repeated_enrolments)
        state.settle()
        self.service.clock.retain({row.incarnation for row in state.records()})

    def _apply(self) -> None:
        assert self.plan is not None
        self._expire(self.plan)
        self.plan = None

    def _lead(self) -> None:
        state = self._log()
        self.service.clock.begin_term(
            self.now, [(row.incarnation, row.renewal_seq) for row in state.records()]
        )
        self.plan = None  # the log refuses what the one before proposed

    def _snapshot(self) -> None:
        state = self._log()
        for ledger in (state.ledger, *state.services.values()):
            ledger._changes = ChangeLog(ledger.revision)

    def _tick(self) -> None:
        self.now += self.bounds.step
        for at in range(len(self.nodes)):
            node = self._own(at)
            own = self.now + node.skew
            late = self.now - MAX_DELAY_TERM_FRACTION * TTL
            node.calls = tuple(
                sent for sent in node.calls if sent.call.body.get("sent") is None or sent.at >= late
            )
            node.said = {
                number: word
                for number, word in node.said.items()
                if own < word.made_at_ms + HOLD_TERM_FRACTION * TTL
            }
            node.words = tuple(word for word in node.words if self.now < word.at + HOLD_TERM_FRACTION * TTL)
            if node.core is not None:
                node.core.quota_in_force(own)

    # --------------------------------------------------------------------- states

    def takes(self) -> list[float]:
        return [
            0.0 if node.core is None else node.core.quota_in_force(self.now + node.skew)
            for node in self.nodes
        ]

    # -------------------------------------------------------------------- fair runs

    def fair(self, steps: int) -> Shares:
        """Run on without faults: everyone starts, renews and hears, at every step."""
        world = self._twin()
        world.faults, world.plan = 0, None
        for _ in range(steps):
            world._tick()
            world._fair_step()
        return world

    def _fair_step(self) -> None:
        for at, node in enumerate(self.nodes):
            if node.core is None:
                self._restart(at)
            elif node.core._in_flight is not None:
                self._timeout(at)
        for _ in range(3):
            for at, node in enumerate(self.nodes):
                if node.core is not None and node.core.next_call_at() <= self.now + node.skew:
                    self._renew(at)
        lapsed, support = self.service.clock.expired_and_attached(self.now)
        if lapsed:
            self._expire(DueExpiry(lapsed, support, self.service.state.repeated_enrolments))
