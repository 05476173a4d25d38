"""The world of two-phase activation: the world of leases (`shares`) with route versions in its log, and in
each node the follower beside the enrolment core, joined as the shell joins them.

Its own moves, beside those of `shares`: `propose`, `rollback` and `halt` (as many as `Talk` gives), `stored`
and, at the cost of a fault, `unstored` (an fsync that succeeds or fails), `vote` (a vote is cast, applied and
answered at this moment) and, at the cost of a fault, `ballot` (it does not arrive now; `ballot-arrives` later
or never, its answer is lost). A crash that comes on an open write either loses it or finds it on the disk
(`crash` and `crash-written`). What was stored before is found again by the next process. Fetches end at the
moment they are asked for: a text never changes, so their order changes nothing but the time that a later
write begins, and a write may take any time.

Timers run on time: between two steps each follower is woken at the moment that it asks for, and each state at
such a moment is checked. A process that sleeps through one serves nobody meanwhile. S stands off the true
clock by `lag`, which a new leader makes larger by LAG: it goes on from what it knew, late by a replication.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

from msgspec.structs import asdict

from loadbalancer.endpoints import Endpoint, EndpointStatus
from loadbalancer.membership.lease_calls import RegistryCall
from loadbalancer.membership.member_record import MemberRecord
from loadbalancer.membership.messages import LeaseGrant, LeaseResponse
from loadbalancer.registry.fleet_state import FleetState
from loadbalancer.routing.actions import Action, Apply, CastVote, Delete, Fetch, Store
from loadbalancer.routing.participant import RouteParticipant
from tests.support.orders.parts import NEVER, TTL, Bounds, Node
from tests.support.orders.routes_check import BOUND, PREPARE, routes_check
from tests.support.orders.shares import Shares

LAG = 10.0
WAKES = 100
TEXTS = tuple(f'[[class.default.group]]\nmodel = "m{at}"\nweight = 1.0\n' for at in (1, 2, 3))
SERVERS = tuple(Endpoint(f"127.0.0.1:{at}", "a", 1, EndpointStatus.UP, model=f"m{at}") for at in (1, 2, 3))


@dataclass(frozen=True, slots=True)
class Talk:
    """What operators may still say."""

    proposals: int = 1
    rollbacks: int = 0
    halts: int = 0


class Edge(NamedTuple):
    """What a node has beside its enrolment: never changed in place."""

    follower: RouteParticipant
    disk: tuple[tuple[int, str], ...] = ()
    writing: tuple[tuple[int, str], ...] = ()
    votes: tuple[CastVote, ...] = ()  # to be sent
    ballots: tuple[CastVote, ...] = ()  # on their way, this process's and those of the ones before it
    followed: float = NEVER  # it follows while its lease goes on: until then at least


class Routes(Shares):
    __slots__ = ("edges", "lag", "talk")

    def __init__(self, bounds: Bounds, faults: int, talk: Talk) -> None:
        self.talk, self.lag = talk, 0.0
        super().__init__(bounds, faults)
        self.service.state.clock_bound_ms = BOUND
        self.edges = tuple(self._process(()) for _ in self.nodes)

    # ---------------------------------------------------------------------- moves

    def moves(self) -> Iterator[tuple[str, Routes]]:
        yield from super().moves()
        yield from self._words_of_operators()
        for at in range(len(self.nodes)):
            yield from self._votes_and_writes(at, self.nodes[at], self.edges[at])

    def _votes_and_writes(self, at: int, node: Node, edge: Edge) -> Iterator[tuple[str, Routes]]:
        for vote in edge.ballots:
            name = f"ballot-arrives {node.name} {vote.number}"
            yield self._move(name, 0, lambda w, v=vote: w._late_ballot(at, v))
        if node.core is None:
            return
        for vote in edge.votes:
            name = f"{node.name} {vote.number}"
            yield self._move(f"vote {name}", 0, lambda w, v=vote: w._cast(at, v))
            if self._may("ballot"):
                yield self._move(f"ballot {name}", 1, lambda w, v=vote: w._ballot(at, v))
        for write in edge.writing[:1]:
            name = f"{node.name} {write[0]}"
            yield self._move(f"stored {name}", 0, lambda w, x=write: w._stored(at, x, True))
            if self._may("unstored"):
                yield self._move(f"unstored {name}", 1, lambda w, x=write: w._stored(at, x, False))
            if self._may("crash"):
                yield self._move(f"crash-written {name}", 1, lambda w, x=write: w._crash_written(at, x))

    def _words_of_operators(self) -> Iterator[tuple[str, Routes]]:
        talk, routes = self.talk, self.service.state.routes
        if talk.proposals:
            text = TEXTS[routes.last_number % len(TEXTS)]
            rest = replace(talk, proposals=talk.proposals - 1)
            yield self._move(
                "propose", 0, lambda w: w._said(rest, lambda state: state.propose(text, w._s() + PREPARE))
            )
        if talk.rollbacks and routes.active_number:
            rest = replace(talk, rollbacks=talk.rollbacks - 1)
            yield self._move(
                "rollback", 0, lambda w: w._said(rest, lambda state: state.rollback(0, w._s() + PREPARE))
            )
        if talk.halts and routes.pending is not None:
            rest = replace(talk, halts=talk.halts - 1)
            yield self._move("halt", 0, lambda w: w._said(rest, lambda state: state.halt(None)))

    def _said(self, rest: Talk, act: Any) -> None:
        self.talk = rest
        state = self._log()
        act(state)
        state.settle()

    def _twin(self) -> Routes:
        new = super()._twin()
        new.edges, new.talk, new.lag = self.edges, self.talk, self.lag
        return new

    def _s(self) -> float:
        return self.now - self.lag

    # ------------------------------------------------------------------ the follower

    def _process(self, disk: tuple[tuple[int, str], ...]) -> Edge:
        follower = RouteParticipant(("read",), BOUND)
        edge = Edge(follower, disk)
        for action in follower.on_restored(disk):
            assert isinstance(action, Delete)
        follower.endpoints = SERVERS
        return edge

    def _act(self, at: int, actions: list[Action]) -> None:
        """Carry a follower's actions out, in order; its core is this world's own copy by now."""
        edge, own = self.edges[at], self.now + self.nodes[at].skew
        for action in actions:
            match action:
                case Fetch():
                    text = self.service.state.routes.text(action.number)
                    self._put(at, edge)
                    self._act(at, edge.follower.on_fetched(own, action.number, text))
                    edge = self.edges[at]
                case Store():
                    edge = edge._replace(writing=(*edge.writing, (action.number, action.text)))
                case CastVote():
                    edge = edge._replace(votes=(*edge.votes, action))
                case Delete():
                    kept = tuple(one for one in edge.disk if one[0] != action.number)
                    edge = edge._replace(disk=kept)
                case Apply():
                    pass
        self._put(at, edge)
        self._note(at)

    def _note(self, at: int) -> None:
        """A process that follows goes on to while its lease does."""
        edge, own = self.edges[at], self.now + self.nodes[at].skew
        stand, until = edge.follower.participation(own), edge.follower.lease_end_ms
        if stand == "waiting" and own < edge.followed:
            self.broken = f"{self.nodes[at].name} has ceased to follow while its lease went on"
        follows = stand == "following" and until is not None
        self._put(at, edge._replace(followed=until if follows else NEVER))

    def _put(self, at: int, edge: Edge) -> None:
        self.edges = (*self.edges[:at], edge, *self.edges[at + 1 :])

    def _touch(self, at: int) -> Edge:
        edge = self.edges[at]
        edge = edge._replace(follower=edge.follower.copy())
        self._put(at, edge)
        return edge

    def _grant(self, state: FleetState, row: MemberRecord, call: RegistryCall) -> LeaseResponse:
        fields = asdict(super()._grant(state, row, call))
        now = self._s()
        return LeaseResponse(
            **fields, routes=state.routes.announcement(), ttl_ms=TTL, received_ms=now, responded_ms=now
        )

    def _used(self, node: Node, sent: float, told: LeaseGrant) -> None:
        assert isinstance(told, LeaseResponse)
        core, own = node.core, self.now + node.skew
        assert core is not None
        assert core.incarnation is not None
        at = next(number for number, other in enumerate(self.nodes) if other.name == node.name)
        follower = self._touch(at).follower
        s = closest(own, sent, told.responded_ms, follower)
        self._act(at, follower.on_answer(own, core.incarnation, core.lease_end_ms, s, told.routes))

    def _unknown(self, node: Node, own: float) -> None:
        at = next(number for number, other in enumerate(self.nodes) if other.name == node.name)
        self._act(at, self._touch(at).follower.on_unregistered(own))

    def _stored(self, at: int, write: tuple[int, str], ok: bool) -> None:
        edge = self._touch(at)
        disk = (*(one for one in edge.disk if one[0] != write[0]), write) if ok else edge.disk
        self._put(at, edge._replace(writing=edge.writing[1:], disk=disk))
        own = self.now + self.nodes[at].skew
        self._act(at, edge.follower.on_stored(own, write[0], ok, "" if ok else "full"))

    def _crash(self, at: int) -> None:
        super()._crash(at)
        edge = self.edges[at]
        self._put(at, Edge(edge.follower, edge.disk, ballots=edge.ballots))

    def _crash_written(self, at: int, write: tuple[int, str]) -> None:
        edge = self.edges[at]
        self._put(at, edge._replace(disk=(*(one for one in edge.disk if one[0] != write[0]), write)))
        self._crash(at)

    def _restart(self, at: int) -> None:
        super()._restart(at)
        edge = self.edges[at]
        self._put(at, self._process(edge.disk)._replace(ballots=edge.ballots))

    # ------------------------------------------------------------------------ votes

    def _cast(self, at: int, vote: CastVote) -> None:
        edge = self._touch(at)
        self._put(at, edge._replace(votes=tuple(other for other in edge.votes if other is not vote)))
        self._count(at, vote)
        edge.follower.on_vote_acknowledged(vote.incarnation, vote.number)

    def _ballot(self, at: int, vote: CastVote) -> None:
        edge = self.edges[at]
        votes = tuple(other for other in edge.votes if other is not vote)
        self._put(at, edge._replace(votes=votes, ballots=(*edge.ballots, vote)))

    def _late_ballot(self, at: int, vote: CastVote) -> None:
        edge = self.edges[at]
        ballots = tuple(other for other in edge.ballots if other is not vote)
        self._put(at, edge._replace(ballots=ballots))
        self._count(at, vote)

    def _count(self, at: int, vote: CastVote) -> None:
        state, core = self._log(), self.nodes[at].core
        state.routes.vote(vote.incarnation, vote.number, vote.yes, vote.reason)
        pending = state.routes.pending
        counted = (
            pending is not None and pending.number == vote.number and vote.incarnation in pending.yes_voters
        )
        stored = any(number == vote.number for number, _ in self.edges[at].disk)
        if counted and not stored and core is not None and core.incarnation == vote.incarnation:
            self.broken = f"the yes of {self.nodes[at].name} is counted before its copy is stored"
        state.settle()

    # ---------------------------------------------------------------------------- time

    def _lead(self) -> None:
        self.lag = min(self.lag + LAG, self.now - self.service.state.log_ms)  # never behind the log
        super()._lead()

    def _tick(self) -> None:
        """To the next step, by way of each moment that a follower asks to be woken at."""
        end = self.now + self.bounds.step
        for _ in range(WAKES):
            wakes = [self._wake(at) for at in range(len(self.nodes))]
            moment = max(self.now, min(wakes, default=math.inf))
            if moment >= end:
                break
            self.now = moment
            for at, wake in enumerate(wakes):
                if wake <= moment:
                    self._act(at, self._touch(at).follower.tick(moment + self.nodes[at].skew))
            self._decide()
            self.broken = routes_check(self)
            if self.broken is not None:
                return
        else:
            self.broken = f"followers ask to be woken over {WAKES} times in one step"
        self.now = end - self.bounds.step
        super()._tick()
        for at, node in enumerate(self.nodes):
            if node.core is not None:
                self._act(at, self._touch(at).follower.tick(self.now + node.skew))
        self._decide()

    def _wake(self, at: int) -> float:
        node = self.nodes[at]
        due = None if node.core is None else self.edges[at].follower.next_tick_ms(self.now + node.skew)
        return math.inf if due is None else due - node.skew

    def _decide(self) -> None:
        if self.service.state.decision_due(self._s()):
            self._log().settle()

    # --------------------------------------------------------------------- states

    def key(self) -> tuple[Any, ...]:
        state = self.service.state
        routes = state.routes
        versions = tuple(
            (
                one.number,
                one.phase,
                None if one.activates_at_ms is None else max(one.activates_at_ms - self._s(), -2 * BOUND),
            )
            for one in routes.versions
        )
        pending = None
        if routes.pending is not None:
            sets = (routes.pending.voters, routes.pending.required_voters, routes.pending.yes_voters)
            pending = (sets, routes.pending.deadline_ms - self._s())
        edges = tuple(self._edge_key(node, edge) for node, edge in zip(self.nodes, self.edges, strict=True))
        return (*super().key(), self.talk, self.lag, versions, pending, edges)

    def _edge_key(self, node: Node, edge: Edge) -> tuple[Any, ...]:
        ballots = (edge.ballots, tuple(number for number, _ in edge.disk))
        if node.core is None:
            return ballots
        follower, own = edge.follower, self.now + node.skew
        told = follower.announced
        known = None
        if told is not None:
            at = None if told.activates_at_ms is None else max(told.activates_at_ms - self._s(), -2 * BOUND)
            known = (
                self.service.state.routes.revision - told.revision,
                told.in_force.number,
                told.pending,
                at,
            )
        copies = tuple(
            (
                number,
                copy.stage.value,
                copy.objection,
                copy.store_error,
                copy.vote_sent,
                copy.vote_acknowledged,
                copy.clock_confirmed,
                max(0.0, copy.retry_at_ms - own),
            )
            for number, copy in sorted(follower.copies.items(), key=lambda one: one[0])
        )
        live = None if follower.lease_end_ms is None else max(0.0, follower.lease_end_ms - own)
        offset = tuple(round(edge + node.skew + self.lag, 3) for edge in follower.service_offset)
        return (
            *ballots,
            edge.writing,
            edge.votes,
            edge.followed,
            follower.running_version,
            live,
            offset,
            known,
            copies,
        )

    # -------------------------------------------------------------------- fair runs

    def _fair_step(self) -> None:
        super()._fair_step()
        for at in range(len(self.nodes)):
            while self.edges[at].writing:
                self._stored(at, self.edges[at].writing[0], True)
            while self.edges[at].votes:
                self._cast(at, self.edges[at].votes[0])


def closest(own: float, sent: float, told_s: float, follower: RouteParticipant) -> tuple[float, float]:
    """S now. By this answer it is what it was at answering or later, by at most the time that the call took;
    where this process knows it more closely from an earlier one, and the two agree, it keeps to that."""
    new = (told_s, told_s + own - sent)
    known = (follower.service_offset.low_ms + own, follower.service_offset.high_ms + own)
    apart = known[1] < new[0] or new[1] < known[0]
    wider = known[1] - known[0] >= new[1] - new[0]
    return new if follower.announced is None or apart or wider else known
