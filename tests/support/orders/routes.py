"""Model of two-phase activation: the model of leases (`shares`) with route versions in the log, and a
`RouteParticipant` in each node, connected to the lease as in the control plane.

Additional actions: `propose`, `rollback` and `halt` (as many as `OperatorCommands` allows); `stored` (an
fsync succeeds) and, as a fault, `unstored` (it fails); `vote` (a vote is sent, applied and acknowledged at
this moment) and, as a fault, `ballot` (the vote is delayed, and its response is lost; `ballot-arrives`, if it
happens, delivers the vote). A crash during a write either loses it or leaves it on disk (`crash` and
`crash-written`). The next process finds what was stored. Fetches end at once: a text never changes, so their
order affects only the start of a later write, and a write may take any time.

Timers are punctual: between two steps each participant gets its tick when it is due, and the invariant is
checked at each such moment. (A process that is paused past a tick serves no requests meanwhile.)

Service time is behind the reference clock by `lag`. A new leader increases the lag by LEADER_CHANGE_LAG_MS,
since it continues from the service time that it last received, which is old by the delay of replication.
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
from tests.support.orders.routes_check import CLOCK_BOUND_MS, PREPARE_MS, route_invariant
from tests.support.orders.shares import QuotaModel

LEADER_CHANGE_LAG_MS = 10.0
MAX_TICKS_PER_STEP = 100
TEXTS = tuple(f'[[class.default.group]]\nmodel = "m{number}"\nweight = 1.0\n' for number in (1, 2, 3))
SERVERS = tuple(
    Endpoint(f"127.0.0.1:{number}", "a", 1, EndpointStatus.UP, model=f"m{number}") for number in (1, 2, 3)
)


@dataclass(frozen=True, slots=True)
class OperatorCommands:
    """The commands that operators may still issue."""

    proposals: int = 1
    rollbacks: int = 0
    halts: int = 0


class ParticipantState(NamedTuple):
    """A node's route participant and its environment; never changed in place."""

    participant: RouteParticipant
    disk: tuple[tuple[int, str], ...] = ()
    pending_writes: tuple[tuple[int, str], ...] = ()
    votes: tuple[CastVote, ...] = ()  # not sent yet
    delayed_votes: tuple[CastVote, ...] = ()  # in flight, including those of earlier processes
    follows_until_ms: float = NEVER  # it has to follow at least until then


class RouteModel(QuotaModel):
    __slots__ = ("lag", "operator_commands", "participants")

    def __init__(self, bounds: Bounds, faults: int, operator_commands: OperatorCommands) -> None:
        self.operator_commands, self.lag = operator_commands, 0.0
        super().__init__(bounds, faults)
        self.service.state.clock_bound_ms = CLOCK_BOUND_MS
        self.participants = tuple(self._start_participant(()) for _ in self.nodes)

    # ---------------------------------------------------------------------- transitions

    def transitions(self) -> Iterator[tuple[str, RouteModel]]:
        yield from super().transitions()
        yield from self._operator_transitions()
        for index in range(len(self.nodes)):
            yield from self._participant_transitions(index, self.nodes[index], self.participants[index])

    def _participant_transitions(
        self, index: int, node: Node, entry: ParticipantState
    ) -> Iterator[tuple[str, RouteModel]]:
        for vote in entry.delayed_votes:
            name = f"ballot-arrives {node.name} {vote.number}"
            yield self._transition(name, 0, lambda m, v=vote: m._deliver_delayed_vote(index, v))
        if node.lease is None:
            return
        for vote in entry.votes:
            name = f"{node.name} {vote.number}"
            yield self._transition(f"vote {name}", 0, lambda m, v=vote: m._cast_vote(index, v))
            if self._may_inject("ballot"):
                yield self._transition(f"ballot {name}", 1, lambda m, v=vote: m._delay_vote(index, v))
        for write in entry.pending_writes[:1]:
            name = f"{node.name} {write[0]}"
            yield self._transition(f"stored {name}", 0, lambda m, x=write: m._stored(index, x, True))
            if self._may_inject("unstored"):
                yield self._transition(f"unstored {name}", 1, lambda m, x=write: m._stored(index, x, False))
            if self._may_inject("crash"):
                yield self._transition(
                    f"crash-written {name}", 1, lambda m, x=write: m._crash_written(index, x)
                )

    def _operator_transitions(self) -> Iterator[tuple[str, RouteModel]]:
        operator_commands, routes = self.operator_commands, self.service.state.routes
        if operator_commands.proposals:
            text = TEXTS[routes.last_number % len(TEXTS)]
            remaining_commands = replace(operator_commands, proposals=operator_commands.proposals - 1)
            yield self._transition(
                "propose",
                0,
                lambda m: m._apply_operator_command(
                    remaining_commands, lambda state: state.propose(text, m._service_ms() + PREPARE_MS)
                ),
            )
        if operator_commands.rollbacks and routes.active_number:
            remaining_commands = replace(operator_commands, rollbacks=operator_commands.rollbacks - 1)
            yield self._transition(
                "rollback",
                0,
                lambda m: m._apply_operator_command(
                    remaining_commands, lambda state: state.rollback(0, m._service_ms() + PREPARE_MS)
                ),
            )
        if operator_commands.halts and routes.pending is not None:
            remaining_commands = replace(operator_commands, halts=operator_commands.halts - 1)
            yield self._transition(
                "halt",
                0,
                lambda m: m._apply_operator_command(remaining_commands, lambda state: state.halt(None)),
            )

    def _apply_operator_command(self, remaining_commands: OperatorCommands, act: Any) -> None:
        self.operator_commands = remaining_commands
        state = self._begin_command()
        act(state)
        state.settle()

    def _copy(self) -> RouteModel:
        new = super()._copy()
        new.participants, new.operator_commands, new.lag = self.participants, self.operator_commands, self.lag
        return new

    def _service_ms(self) -> float:
        return self.now - self.lag

    # ------------------------------------------------------------------ participants

    def _start_participant(self, disk: tuple[tuple[int, str], ...]) -> ParticipantState:
        participant = RouteParticipant(("read",), CLOCK_BOUND_MS)
        entry = ParticipantState(participant, disk)
        for action in participant.on_restored(disk):
            assert isinstance(action, Delete)
        participant.endpoints = SERVERS
        return entry

    def _perform(self, index: int, actions: list[Action]) -> None:
        """Perform a participant's actions in order; the participant has been copied into this state
        before."""
        entry, node_now = self.participants[index], self.now + self.nodes[index].skew
        for action in actions:
            match action:
                case Fetch():
                    text = self.service.state.routes.text(action.number)
                    self._set_participant(index, entry)
                    self._perform(index, entry.participant.on_fetched(node_now, action.number, text))
                    entry = self.participants[index]
                case Store():
                    entry = entry._replace(
                        pending_writes=(*entry.pending_writes, (action.number, action.text))
                    )
                case CastVote():
                    entry = entry._replace(votes=(*entry.votes, action))
                case Delete():
                    remaining = tuple(copy for copy in entry.disk if copy[0] != action.number)
                    entry = entry._replace(disk=remaining)
                case Apply():
                    pass
        self._set_participant(index, entry)
        self._check_participation(index)

    def _check_participation(self, index: int) -> None:
        """Check that a following process goes on following while its lease lasts."""
        entry, node_now = self.participants[index], self.now + self.nodes[index].skew
        participation, lease_end_ms = (
            entry.participant.participation(node_now),
            entry.participant.lease_end_ms,
        )
        if participation == "waiting" and node_now < entry.follows_until_ms:
            self.violation = f"{self.nodes[index].name} has stopped following before the end of its lease"
        follows = participation == "following" and lease_end_ms is not None
        self._set_participant(index, entry._replace(follows_until_ms=lease_end_ms if follows else NEVER))

    def _set_participant(self, index: int, entry: ParticipantState) -> None:
        self.participants = (*self.participants[:index], entry, *self.participants[index + 1 :])

    def _copy_participant(self, index: int) -> ParticipantState:
        entry = self.participants[index]
        entry = entry._replace(participant=entry.participant.copy())
        self._set_participant(index, entry)
        return entry

    def _grant(self, state: FleetState, record: MemberRecord, call: RegistryCall) -> LeaseResponse:
        fields = asdict(super()._grant(state, record, call))
        now = self._service_ms()
        return LeaseResponse(
            **fields, routes=state.routes.announcement(), ttl_ms=TTL, received_ms=now, responded_ms=now
        )

    def _on_grant_used(self, node: Node, sent: float, grant: LeaseGrant) -> None:
        assert isinstance(grant, LeaseResponse)
        lease, node_now = node.lease, self.now + node.skew
        assert lease is not None
        assert lease.incarnation is not None
        index = next(number for number, other in enumerate(self.nodes) if other.name == node.name)
        participant = self._copy_participant(index).participant
        service_interval = narrowest_service_time(node_now, sent, grant.responded_ms, participant)
        self._perform(
            index,
            participant.on_lease_response(
                node_now, lease.incarnation, lease.lease_end_ms, service_interval, grant.routes
            ),
        )

    def _on_unregistered(self, node: Node, node_now: float) -> None:
        index = next(number for number, other in enumerate(self.nodes) if other.name == node.name)
        self._perform(index, self._copy_participant(index).participant.on_unregistered(node_now))

    def _stored(self, index: int, write: tuple[int, str], ok: bool) -> None:
        entry = self._copy_participant(index)
        disk = (*(copy for copy in entry.disk if copy[0] != write[0]), write) if ok else entry.disk
        self._set_participant(index, entry._replace(pending_writes=entry.pending_writes[1:], disk=disk))
        node_now = self.now + self.nodes[index].skew
        self._perform(index, entry.participant.on_stored(node_now, write[0], ok, "" if ok else "full"))

    def _crash(self, index: int) -> None:
        super()._crash(index)
        entry = self.participants[index]
        self._set_participant(
            index, ParticipantState(entry.participant, entry.disk, delayed_votes=entry.delayed_votes)
        )

    def _crash_written(self, index: int, write: tuple[int, str]) -> None:
        entry = self.participants[index]
        self._set_participant(
            index, entry._replace(disk=(*(copy for copy in entry.disk if copy[0] != write[0]), write))
        )
        self._crash(index)

    def _restart(self, index: int) -> None:
        super()._restart(index)
        entry = self.participants[index]
        self._set_participant(
            index, self._start_participant(entry.disk)._replace(delayed_votes=entry.delayed_votes)
        )

    # ------------------------------------------------------------------------ votes

    def _cast_vote(self, index: int, vote: CastVote) -> None:
        entry = self._copy_participant(index)
        self._set_participant(
            index, entry._replace(votes=tuple(other for other in entry.votes if other is not vote))
        )
        self._count_vote(index, vote)
        entry.participant.on_vote_acknowledged(vote.incarnation, vote.number)

    def _delay_vote(self, index: int, vote: CastVote) -> None:
        entry = self.participants[index]
        votes = tuple(other for other in entry.votes if other is not vote)
        self._set_participant(index, entry._replace(votes=votes, delayed_votes=(*entry.delayed_votes, vote)))

    def _deliver_delayed_vote(self, index: int, vote: CastVote) -> None:
        entry = self.participants[index]
        delayed_votes = tuple(other for other in entry.delayed_votes if other is not vote)
        self._set_participant(index, entry._replace(delayed_votes=delayed_votes))
        self._count_vote(index, vote)

    def _count_vote(self, index: int, vote: CastVote) -> None:
        state, lease = self._begin_command(), self.nodes[index].lease
        state.routes.vote(vote.incarnation, vote.number, vote.yes, vote.reason)
        pending = state.routes.pending
        counted = (
            pending is not None and pending.number == vote.number and vote.incarnation in pending.yes_voters
        )
        stored = any(number == vote.number for number, _ in self.participants[index].disk)
        if counted and not stored and lease is not None and lease.incarnation == vote.incarnation:
            self.violation = f"the vote of {self.nodes[index].name} is counted before its copy is stored"
        state.settle()

    # ---------------------------------------------------------------------------- time

    def _elect_leader(self) -> None:
        self.lag = min(
            self.lag + LEADER_CHANGE_LAG_MS, self.now - self.service.state.log_ms
        )  # never behind the log
        super()._elect_leader()

    def _tick(self) -> None:
        """Advance to the next step, through each time at which a participant's tick is due."""
        end = self.now + self.bounds.step
        for _ in range(MAX_TICKS_PER_STEP):
            ticks = [self._next_tick(index) for index in range(len(self.nodes))]
            moment = max(self.now, min(ticks, default=math.inf))
            if moment >= end:
                break
            self.now = moment
            for index, tick_at in enumerate(ticks):
                if tick_at <= moment:
                    self._perform(
                        index, self._copy_participant(index).participant.tick(moment + self.nodes[index].skew)
                    )
            self._decide()
            self.violation = route_invariant(self)
            if self.violation is not None:
                return
        else:
            self.violation = f"participants request over {MAX_TICKS_PER_STEP} ticks in one step"
        self.now = end - self.bounds.step
        super()._tick()
        for index, node in enumerate(self.nodes):
            if node.lease is not None:
                self._perform(index, self._copy_participant(index).participant.tick(self.now + node.skew))
        self._decide()

    def _next_tick(self, index: int) -> float:
        node = self.nodes[index]
        due = (
            None
            if node.lease is None
            else self.participants[index].participant.next_tick_ms(self.now + node.skew)
        )
        return math.inf if due is None else due - node.skew

    def _decide(self) -> None:
        if self.service.state.decision_due(self._service_ms()):
            self._begin_command().settle()

    # --------------------------------------------------------------------- state key

    def key(self) -> tuple[Any, ...]:
        state = self.service.state
        routes = state.routes
        versions = tuple(
            (
                version.number,
                version.phase,
                None
                if version.activates_at_ms is None
                else max(version.activates_at_ms - self._service_ms(), -2 * CLOCK_BOUND_MS),
            )
            for version in routes.versions
        )
        pending = None
        if routes.pending is not None:
            voters = (routes.pending.voters, routes.pending.required_voters, routes.pending.yes_voters)
            pending = (voters, routes.pending.deadline_ms - self._service_ms())
        participants = tuple(
            self._participant_key(node, entry)
            for node, entry in zip(self.nodes, self.participants, strict=True)
        )
        return (*super().key(), self.operator_commands, self.lag, versions, pending, participants)

    def _participant_key(self, node: Node, entry: ParticipantState) -> tuple[Any, ...]:
        process_independent = (entry.delayed_votes, tuple(number for number, _ in entry.disk))
        if node.lease is None:
            return process_independent
        participant, node_now = entry.participant, self.now + node.skew
        announced = participant.announced
        known = None
        if announced is not None:
            activates_in_ms = (
                None
                if announced.activates_at_ms is None
                else max(announced.activates_at_ms - self._service_ms(), -2 * CLOCK_BOUND_MS)
            )
            known = (
                self.service.state.routes.revision - announced.revision,
                announced.in_force.number,
                announced.pending,
                activates_in_ms,
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
                max(0.0, copy.retry_at_ms - node_now),
            )
            for number, copy in sorted(participant.copies.items(), key=lambda item: item[0])
        )
        lease_ms = None if participant.lease_end_ms is None else max(0.0, participant.lease_end_ms - node_now)
        offset = tuple(round(limit_ms + node.skew + self.lag, 3) for limit_ms in participant.service_offset)
        return (
            *process_independent,
            entry.pending_writes,
            entry.votes,
            entry.follows_until_ms,
            participant.running_version,
            lease_ms,
            offset,
            known,
            copies,
        )

    # -------------------------------------------------------------- runs without faults

    def _step_without_faults(self) -> None:
        super()._step_without_faults()
        for index in range(len(self.nodes)):
            while self.participants[index].pending_writes:
                self._stored(index, self.participants[index].pending_writes[0], True)
            while self.participants[index].votes:
                self._cast_vote(index, self.participants[index].votes[0])


def narrowest_service_time(
    node_now: float, sent: float, response_ms: float, participant: RouteParticipant
) -> tuple[float, float]:
    """Return the interval of the current service time.

    By this response, it is between the time stated in the response and that time plus the call's duration. A
    narrower interval from an earlier response is kept if the two overlap.
    """
    new = (response_ms, response_ms + node_now - sent)
    known = (participant.service_offset.low_ms + node_now, participant.service_offset.high_ms + node_now)
    disjoint = known[1] < new[0] or new[1] < known[0]
    wider = known[1] - known[0] >= new[1] - new[0]
    return new if participant.announced is None or disjoint or wider else known
