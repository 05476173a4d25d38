"""Route versions: parsing of tables, races of an activation, three simulated nodes under random faults."""

from __future__ import annotations

import heapq
import pickle
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.endpoints import Endpoint, EndpointStatus, RouteVersion, TrafficSplit
from loadbalancer.routing import (
    NEUTRAL,
    ActivationCoordinator,
    Apply,
    CastVote,
    Delete,
    Fetch,
    RouteParticipant,
    Store,
    find_objections,
    parse_table,
)
from loadbalancer.routing.coordinator import MAX_VERSIONS
from loadbalancer.routing.route_table import MAX_CLASSES

READ = '[[class.read.group]]\nmodel = "m2"\naz = "a"\nweight = 3.0\n'
DEFAULT = "[[class.default.group]]\nweight = 1\n"
TTL, BOUND = 400.0, 20.0
SERVERS = (Endpoint("s0", "a", model="m1"), Endpoint("s1", "a", model="m2"))


# -------------------------------------------------------------------- route table


def test_table_has_groups_of_named_classes_and_default_for_others() -> None:
    table = parse_table(7, READ + DEFAULT)
    assert table.splits_by_class(("read", "write")) == {
        "read": (TrafficSplit("m2", "a", 3.0),),
        "write": (TrafficSplit(None, None, 1.0),),
    }
    assert parse_table(7, READ).splits_by_class(("read", "write")).keys() == {"read"}
    assert parse_table(0, NEUTRAL).splits_by_class(("read",)) == {}


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (
            READ + "\n[[class.read.group]]\nmodel = 'm'\nweight = -1\n",
            "class.read.group[1].weight (line 8): ",
        ),
        (READ + "wight = 3", "class.read.group[0].wight (line 5): unknown key"),
        (DEFAULT + "[[class.read.group]]\naz = 'a'", "class.read.group[0].weight (line 3): missing"),
        (READ.replace("3.0", "nan"), "class.read.group[0].weight (line 4): Input should be a finite number"),
        (READ.replace("3.0", "true"), "class.read.group[0].weight (line 4): "),
        (READ.replace("3.0", "9" * 350), "class.read.group[0].weight (line 4): "),
        (READ.replace("3.0", "0"), "class.read (line 1): no weight is above 0"),
        (DEFAULT + READ.replace("read", "default"), "class.default.group[1] (line 3): takes no server"),
        ("[class.x]\ngroup = [\n{weight = 1},\n{az = 3},\n]", "class.x.group[1].az (line 2): "),
        ('[class]\n"a\\nb" = 3', "class.a b (line 2): not a table"),
        (
            "".join(f"[[class.c{at}.group]]\nweight = 1\n" for at in range(MAX_CLASSES + 1)),
            "class (line 1): ",
        ),
        ("", "class: a table names classes, or"),
        (NEUTRAL + READ, "class: a table names classes, or"),
        (READ + READ.replace("= 3.0", ""), "text: Expected '=' after a key in a key/value pair (at line 8"),
        ("x = '''\n1\n", "line 2)"),
        (b"\xff", "text: not UTF-8"),
        ("\ud800", "text: not UTF-8"),
        ("x" + ".x" * 300 + " = 1", "text (line 1): 605 characters"),
        ("x = " + "[" * 390, "text: "),
        ("#\n" * 9000, "text: 18000 bytes, over 16384"),
    ],
)
def test_invalid_table_error_is_one_line_with_key_and_line(text: str | bytes, expected: str) -> None:
    with pytest.raises(ValueError, match=re.escape(expected)) as raised:
        parse_table(1, text)
    assert str(raised.value).isprintable()


FRAGMENTS = st.sampled_from(
    [*READ.split("\n"), *"[]{}'\"=.,\n\x00", "class", "é", "1e999", '"""', "group = [", "neutral"]
)


@given(st.lists(FRAGMENTS, max_size=30).map("".join) | st.binary(max_size=60))
def test_any_text_parses_or_raises_a_printable_error(text: str | bytes) -> None:
    message = "parsed"
    try:
        parse_table(1, text)
    except ValueError as error:
        message = str(error)
    assert message.isprintable()


def test_objections_to_unknown_class_and_group_without_ready_server() -> None:
    table = parse_table(1, READ + DEFAULT + '[[class.read.group]]\nmodel = "m3"\nweight = 0\n')
    assert find_objections(table, ("read",), SERVERS) == []
    assert find_objections(table, ("write",), SERVERS) == ["class 'read': not one of this node's"]
    with_draining = (SERVERS[0], Endpoint("s1", "a", state=EndpointStatus.DRAINING, model="m2"))
    assert find_objections(table, ("read",), with_draining) == [
        "class 'read': no ready server of model m2, az a"
    ]
    objection = "class 'read': only servers whose route is blind of model m2, az a"
    assert find_objections(table, ("read",), SERVERS, {"s1"}) == [objection]
    assert find_objections(table, ("read",), (*SERVERS, Endpoint("s2", "a", model="m2")), {"s1"}) == []


# -------------------------------------------------------------------- coordinator


def proposed(*voters: int) -> ActivationCoordinator:
    coordinator = ActivationCoordinator()
    assert coordinator.propose(1000, READ, voters, 2000).phase == "preparing"
    return coordinator


def decided(at: float = 1000) -> ActivationCoordinator:
    coordinator = proposed(1)
    coordinator.vote(1, 1, yes=True)
    coordinator.apply_due(at, TTL, BOUND)
    return coordinator


def test_last_yes_decides_version_and_activation_time_puts_it_in_force() -> None:
    coordinator = proposed(1, 2)
    coordinator.vote(1, 1, yes=True)
    coordinator.apply_due(1100, TTL, BOUND)
    assert coordinator.outcome(1).phase == "preparing"
    assert coordinator.vote(9, 1, yes=False).phase == coordinator.vote(2, 7, yes=False).phase.replace(
        "unknown", "preparing"
    )
    coordinator.vote(2, 1, yes=True)
    coordinator.apply_due(1200, TTL, BOUND)
    assert coordinator.announcement()["pending"] | {"digest": ""} == {
        "number": 1, "phase": "decided", "at": 1620.0, "deadline": 2000, "digest": "",
    }  # fmt: skip
    assert coordinator.vote(2, 1, yes=False).phase == "decided"
    coordinator.apply_due(1619, TTL, BOUND)
    assert coordinator.active_number == 0
    coordinator.apply_due(1620, TTL, BOUND)
    assert (
        coordinator.active_number,
        coordinator.pending,
        coordinator.announcement()["last"]["outcome"],
    ) == (1, None, "in force")


def test_halt_aborts_before_decision_and_returns_decided_after_it() -> None:
    early, late = proposed(1), decided()
    assert [early.halt(1100).phase, early.halt(1100, 1).phase] == ["aborted", "aborted"]
    early.vote(1, 1, yes=True)
    early.apply_due(1200, TTL, BOUND)
    assert (early.pending, early.outcome(1).reason) == (None, "halted by an operator")
    before = late.key()
    assert late.halt(1100).phase == late.halt(1100, 1).phase == "decided"
    assert late.key() == before
    assert [late.halt(1100, 5).phase, late.halt(1420, 1).phase] == ["unknown", "in force"]


def test_one_activation_is_pending_until_aborted_or_in_force() -> None:
    coordinator = proposed(1)
    assert (
        coordinator.propose(1001, READ, [1], 9000).number,
        coordinator.propose(1001, DEFAULT, [1], 9000).rejected,
    ) == (
        1,
        True,
    )
    coordinator.vote(1, 1, yes=True)
    coordinator.apply_due(1100, TTL, BOUND)
    assert (
        coordinator.propose(1519, DEFAULT, [1], 9000).rejected,
        coordinator.rollback(1519, 0, [1], 9000).rejected,
    ) == (
        True,
        True,
    )
    assert coordinator.propose(1520, DEFAULT, [1], 9000).number == 2
    assert (coordinator.active_number, coordinator.propose(1521, READ, [1], 9000).rejected) == (1, True)
    coordinator.vote(1, 2, yes=False, reason="no ready server")
    assert coordinator.outcome(2).reason == "1 said no: no ready server"
    # READ is in force already, so no activation begins.
    assert coordinator.propose(1522, READ, [1], 9000) == coordinator.outcome(1)


def test_deadline_aborts_even_if_last_yes_arrives_at_that_time() -> None:
    coordinator = proposed(1, 2)
    coordinator.vote(1, 1, yes=True)
    coordinator.on_attached(3)
    coordinator.vote(2, 1, yes=True)
    coordinator.apply_due(1999, TTL, BOUND)
    assert coordinator.status()["pending"]["waiting_for"] == [3]
    coordinator.vote(3, 1, yes=True)
    coordinator.apply_due(2000, TTL, BOUND)
    assert coordinator.outcome(1).phase == "aborted"


def test_expired_and_removed_voters_are_skipped_but_one_yes_is_required() -> None:
    coordinator = proposed(1, 2, 3)
    coordinator.on_lease_expired(1)
    coordinator.on_lease_expired(2)
    coordinator.on_removed(3)
    coordinator.apply_due(1500, TTL, BOUND)
    assert coordinator.outcome(1).phase == "preparing"
    coordinator.vote(3, 1, yes=True)  # late vote of a removed member
    coordinator.vote(2, 1, yes=True)  # late vote of a member that may be attached again
    coordinator.on_attached(1)
    coordinator.apply_due(1500, TTL, BOUND)
    assert coordinator.status()["pending"]["waiting_for"] == [1]
    coordinator.on_lease_expired(1)
    coordinator.apply_due(1600, TTL, BOUND)
    assert coordinator.outcome(1).phase == "decided"


def test_rollback_gets_new_number_and_history_is_bounded() -> None:
    coordinator = decided()
    for step in range(MAX_VERSIONS + 5):
        number = coordinator.propose(3000 + step, f"{DEFAULT}# {step}\n", [1], 9000).number
        coordinator.vote(1, number, yes=False)
    assert (len(coordinator.versions), coordinator.text(1), coordinator.text(2)) == (
        MAX_VERSIONS + 2,
        READ,
        None,
    )
    assert (
        coordinator.rollback(4000, 2, [1], 9000).phase,
        coordinator.rollback(4000, number, [1], 9000).rejected,
    ) == (
        "unknown",
        True,
    )
    outcome = coordinator.rollback(4000, 0, [1], 9000)
    assert (outcome.number, coordinator.text(outcome.number), coordinator.status()["history"][-1]["of"]) == (
        number + 1,
        NEUTRAL,
        0,
    )
    assert coordinator.rollback(4001, 0, [1], 9000) == outcome
    restored = pickle.loads(pickle.dumps(coordinator))
    assert (restored.key(), hash(restored.key())) == (coordinator.key(), hash(coordinator.key()))


# -------------------------------------------------------------------- participant


def attached(coordinator: ActivationCoordinator, *events: str) -> tuple[RouteParticipant, list[Any]]:
    """Return a participant after a lease response and these events, and the actions of the last event.

    It is attached as incarnation 1 until time 400, and its local clock shows service time.
    """
    participant = RouteParticipant(("read", "write"), BOUND)
    participant.set_endpoints(0, SERVERS)
    actions = respond(participant, coordinator, 0)
    for event in events:
        actions = {
            "fetched": lambda: participant.on_fetched(
                0, coordinator.last_number, coordinator.text(coordinator.last_number)
            ),
            "stored": lambda: participant.on_stored(0, coordinator.last_number, ok=True),
            "fetch failed": lambda: participant.on_fetched(0, coordinator.last_number, None),
            "fetched other text": lambda: participant.on_fetched(0, coordinator.last_number, DEFAULT),
            "store failed": lambda: participant.on_stored(
                0, coordinator.last_number, ok=False, reason="ENOSPC"
            ),
        }[event]()
    return participant, actions


def respond(
    participant: RouteParticipant, coordinator: ActivationCoordinator, now: float, incarnation: int = 1
) -> list[Any]:
    return participant.on_lease_response(
        now, incarnation, now + TTL, (now - 1, now + 1), coordinator.announcement()
    )


def test_vote_follows_check_and_store_and_is_repeated_until_acknowledged() -> None:
    coordinator = proposed(1)
    assert attached(coordinator)[1] == [Fetch(1)]
    assert attached(coordinator, "fetched")[1] == [Store(1, READ)]
    participant, actions = attached(coordinator, "fetched", "stored")
    assert actions == [CastVote(1, 1, True, "")] == respond(participant, coordinator, 10)
    participant.on_vote_acknowledged(2, 1)  # cast under another incarnation
    assert respond(participant, coordinator, 10) == actions
    participant.on_vote_acknowledged(1, 1)
    assert respond(participant, coordinator, 10) == []
    assert respond(participant, coordinator, 10, incarnation=2) == [CastVote(2, 1, True, "")]
    assert respond(participant, coordinator, 10, incarnation=1) == []  # response to an earlier enrolment
    coordinator.halt(1100)
    assert respond(participant, coordinator, 20, incarnation=2) == [Delete(1)]


def test_node_votes_no_if_it_cannot_apply_store_or_time_a_version() -> None:
    _, actions = attached(proposed(1), "fetched", "store failed")
    assert actions == [CastVote(1, 1, False, "not writable: ENOSPC")]
    for text, reason in (
        ("[[class.x.group]]\nweight = 1", "not one of this node's"),
        ("x = 1", "unreadable: x (line 1)"),
    ):
        coordinator = ActivationCoordinator()
        coordinator.propose(0, text, [1], 500)
        _, (vote,) = attached(coordinator, "fetched")
        assert (vote.yes, reason in vote.reason) == (False, True)
    participant, _ = attached(proposed(1))
    participant.tick(0, (-50, 50))
    (vote,) = participant.on_fetched(0, 1, READ)
    assert (vote.yes, vote.reason) == (False, "service time is known to 50.0 ms only")


def test_vote_waits_for_endpoint_list_and_failed_fetch_is_retried() -> None:
    participant = RouteParticipant(("read",), BOUND)
    respond(participant, proposed(1), 0)
    assert participant.on_fetched(0, 1, READ) == []
    assert participant.set_endpoints(5, SERVERS) == [Store(1, READ)]
    for fault in ("fetch failed", "fetched other text"):
        participant, actions = attached(proposed(1), fault)
        assert (actions, participant.next_tick_ms(0), participant.tick(199)) == ([], 200, [])
        assert participant.tick(200) == [Fetch(1)]
        participant, _ = attached(proposed(1), fault)
        assert (participant.tick(400), participant.next_tick_ms(400)) == ([], None)  # detached: no retry


def test_follower_switches_on_time_and_falls_back_at_lease_end() -> None:
    participant, _ = attached(proposed(1), "fetched", "stored")
    coordinator = decided(at=-150)  # activation time 270
    assert (respond(participant, coordinator, 50), participant.next_tick_ms(50)) == ([], 270)
    participant.tick(60, (62, 68))  # service time is 5 ms ahead of the local clock
    assert (participant.next_tick_ms(60), participant.tick(264.9)) == (265, [])
    (switch,) = participant.tick(266)
    assert (switch.event, switch.due_ms) == (RouteVersion(1, {"read": (TrafficSplit("m2", "a", 3.0),)}), 265)
    assert participant.tick(267, (260, 262)) == []  # a better estimate does not undo the switch
    assert (participant.next_tick_ms(267), participant.tick(449.9)) == (450, [])
    assert participant.tick(451) == [Apply(RouteVersion(0, {}), 450)]
    (switch,) = respond(participant, coordinator, 500)
    assert (switch.event.number, participant.participation(500)) == (1, "following")
    (fallback,) = participant.on_unregistered(510)
    assert (fallback.event.number, participant.participation(510)) == (0, "detached")


@pytest.mark.parametrize("phase", ["stored", "voted", "decided", "in force"])
def test_restarted_process_gets_outcome_from_first_lease_response(phase: str) -> None:
    coordinator = proposed(1) if phase in ("stored", "voted") else decided(at=-150)
    coordinator.on_removed(1)
    coordinator.on_attached(2)
    if phase == "in force":
        coordinator.apply_due(270, TTL, BOUND)
    participant = RouteParticipant(("read",), BOUND)
    assert participant.on_restored([(1, READ), (9, READ), (8, "x = ")]) == [Delete(8)]
    participant.set_endpoints(0, SERVERS)
    deletion, *actions = respond(participant, coordinator, 0, incarnation=2)
    assert (deletion, participant.running_version) == (Delete(9), int(phase == "in force"))
    if phase == "in force":
        assert [action.event.number for action in actions] == [1]
    else:
        assert actions == ([CastVote(2, 1, True, "")] if phase in ("stored", "voted") else [])
        assert participant.next_tick_ms(0) == (270 if phase == "decided" else None)


def test_node_attached_after_decision_waits_until_version_is_stored() -> None:
    participant, actions = attached(decided(at=-150))
    assert (actions, participant.participation(0)) == ([Fetch(1)], "waiting")
    participant.on_fetched(0, 1, READ)
    assert (participant.tick(275), participant.participation(275)) == ([], "waiting")
    assert (participant.on_stored(280, 1, ok=False), participant.next_tick_ms(280)) == ([], 480)
    respond(participant, decided(at=-150), 300)
    assert participant.tick(480) == [Store(1, READ)]
    (switch,) = participant.on_stored(490, 1, ok=True)
    assert (switch.event.number, participant.participation(490)) == (1, "following")


def test_reused_number_of_rebuilt_service_replaces_stored_text() -> None:
    participant, _ = attached(proposed(1), "fetched", "stored")
    coordinator = ActivationCoordinator()
    coordinator.propose(0, DEFAULT, [1], 500)
    participant.on_unregistered(10)
    assert respond(participant, coordinator, 20) == [Delete(1), Fetch(1)]


@pytest.mark.parametrize(
    "routes", [{}, {"in_force": 3}, {"rev": 1, "in_force": {"number": "x", "digest": ""}}]
)
def test_malformed_routes_are_rejected_and_change_nothing(routes: dict[str, Any]) -> None:
    participant, _ = attached(proposed(1), "fetched")
    before = participant.key()
    with pytest.raises(ValueError, match="malformed routes"):
        participant.on_lease_response(10, 1, 500, (0, 20), {"pending": None} | routes)
    assert participant.key() == before


# -------------------------------------------------------------------- three nodes under faults

TEXTS = (READ, DEFAULT, READ + DEFAULT, "[[class.x.group]]\nweight = 1\n")
DELAYS_MS = (1.0, 3.0, 10.0, 40.0, 90.0)


@dataclass(eq=False)
class Process:
    """A simulated process of a node; its local clock is true time plus `skew`."""

    index: int  # index of its node
    skew: float
    disk: dict[int, str]
    participant: RouteParticipant = field(default_factory=lambda: RouteParticipant(("read", "write"), BOUND))
    incarnation: int | None = None
    paused: bool = False
    followed: bool = False  # whether it followed at the last check


class Fleet:
    """A discrete-event simulation of three nodes and the replicated log, in true time, which is service time.

    The leader's clock lags by up to 8 ms and the nodes' estimates err by up to 6 ms, in sum less than the
    clock bound. Calls have random delays and can overtake each other.
    """

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now, self.leader_lag_ms, self.log_ms, self.faults = 1000.0, 0.0, 0.0, True
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = count()
        self.coordinator, self.switches, self.expirations = ActivationCoordinator(), 0, 0
        self.leases: dict[int, float] = {}  # by incarnation: when the lease expires at the leader
        self.expired: set[int] = set()
        self.partitioned_until = [0.0, 0.0, 0.0]  # by node: its calls are lost until then
        self.nodes = [self.start_process(index, {}) for index in range(3)]
        self.schedule(300, self.run_operator_command)
        self.schedule(100, self.inject_fault)

    def schedule(self, delay_ms: float, callback: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.queue, (self.now + delay_ms, next(self.order), callback, args))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            due_times = [(self.queue[0][0], -1), (end, -1)]
            for process in self.nodes:
                due = None if process.paused else process.participant.next_tick_ms(self.clock(process))
                if due is not None:
                    due_times.append((due - process.skew, process.index))
            self.now, index = min(due_times)
            if index >= 0:
                self.now += 1e-6  # exceeds any rounding error
                self.tick(self.nodes[index])
            elif self.queue[0][0] <= self.now:
                _, _, callback, args = heapq.heappop(self.queue)
                callback(*args)
            self.expire_leases()
            self.check()

    # ---------------- coordinator

    def command(self, change: Callable[..., Any], *args: Any) -> None:
        self.log_ms = max(self.log_ms, self.now - self.leader_lag_ms)
        change(*args)
        self.coordinator.apply_due(self.log_ms, TTL, BOUND)

    def expire_leases(self) -> None:
        for incarnation, due in self.leases.items():
            if due <= self.now and incarnation not in self.expired:
                self.expired.add(incarnation)
                self.expirations += 1
                self.command(self.coordinator.on_lease_expired, incarnation)

    def run_operator_command(self) -> None:
        live, now = self.leases.keys() - self.expired, max(self.log_ms, self.now - self.leader_lag_ms)
        draw = self.rng.random()
        if draw < 0.2:
            self.command(self.coordinator.halt, now)
        elif draw < 0.35:
            self.command(self.coordinator.rollback, now, self.rng.randrange(5), live, now + 900)
        else:
            self.command(self.coordinator.propose, now, self.rng.choice(TEXTS), live, now + 900)
        if self.faults:
            self.schedule(self.rng.uniform(10, 400), self.run_operator_command)

    def inject_fault(self) -> None:
        if not self.faults:
            return
        index, kind = self.rng.randrange(3), self.rng.randrange(6)
        if kind == 0:
            self.kill(index)
        elif kind == 1:
            self.nodes[index].paused = True
            self.schedule(self.rng.choice((60, 300, 700)), self.resume, self.nodes[index])
        elif kind == 2:
            self.leader_lag_ms = self.rng.uniform(0, 8)  # a new leader, which restarts the term of all leases
            self.leases = {incarnation: self.now + TTL for incarnation in self.leases}
        else:
            self.partitioned_until[index] = self.now + self.rng.choice((60, 300, 700))
        self.schedule(self.rng.uniform(10, 600), self.inject_fault)

    # ---------------- nodes

    def start_process(self, index: int, disk: dict[int, str]) -> Process:
        process = Process(index, (0.0, 2000.0, -700.0)[index], disk)
        self.execute(process, process.participant.on_restored(disk.items()))
        self.schedule(1, self.renew_periodically, process)
        self.deliver_later(process, "set_endpoints", SERVERS)
        return process

    def kill(self, index: int) -> None:
        old = self.nodes[index]
        for _, _, callback, args in self.queue:
            if callback == self.store and args[0] is old and self.rng.random() < 0.5:
                old.disk[args[1].number] = args[1].text  # the write in progress reaches the disk
        self.nodes[index] = self.start_process(index, dict(old.disk))

    def clock(self, process: Process) -> float:
        return self.now + process.skew

    def tick(self, process: Process) -> None:
        now = self.clock(process)
        self.execute(process, process.participant.tick(now))
        due = process.participant.next_tick_ms(now)
        assert due is None or due > now

    def resume(self, process: Process) -> None:
        if process is self.nodes[process.index]:
            process.paused = False
            self.tick(process)

    def deliver_later(self, process: Process, event: str, *args: Any) -> None:
        self.schedule(self.rng.choice(DELAYS_MS), self.deliver, process, event, *args)

    def deliver(self, process: Process, event: str, *args: Any) -> None:
        """Call the participant's method `event`; if the process is paused, do so after it resumes."""
        if process is not self.nodes[process.index]:
            return
        if process.paused:
            self.schedule(20, self.deliver, process, event, *args)
            return
        self.tick(process)
        if event == "on_lease_response":
            middle = self.now + self.rng.uniform(-6, 6)
            args = (*args[:2], (middle - 9, middle + 9), args[2])
        self.execute(process, getattr(process.participant, event)(self.clock(process), *args))

    def execute(self, process: Process, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Delete):
                process.disk.pop(action.number)
            elif isinstance(action, Apply):
                self.switches += 1
                text = self.coordinator.text(action.event.number)
                assert action.event.classes == parse_table(0, text or "").splits_by_class(("read", "write"))
            else:
                callback = {Fetch: self.fetch, Store: self.store, CastVote: self.vote}[type(action)]
                self.schedule(self.rng.choice(DELAYS_MS), callback, process, action)

    def is_connected(self, process: Process) -> bool:
        return self.now >= self.partitioned_until[process.index]

    def renew_periodically(self, process: Process) -> None:
        if process is not self.nodes[process.index]:
            return
        if not process.paused:
            delay_ms = self.rng.choice(DELAYS_MS)
            self.schedule(delay_ms, self.handle_renewal, process, process.incarnation, self.now)
        self.schedule(TTL / 4, self.renew_periodically, process)

    def handle_renewal(self, process: Process, incarnation: int | None, sent: float) -> None:
        if not self.is_connected(process):
            return
        if incarnation is None:
            if process is not self.nodes[process.index] or process.incarnation is not None:
                return
            for old in [earlier for earlier in self.leases if earlier % 3 == process.index]:
                self.command(self.coordinator.on_removed, old)
                del self.leases[old]
            incarnation = process.incarnation = next(self.order) * 3 + process.index
        elif incarnation not in self.leases:
            return
        self.leases[incarnation] = self.now + TTL
        self.expired.discard(incarnation)
        self.command(self.coordinator.on_attached, incarnation)
        if self.rng.random() < 0.9 or not self.faults:
            self.deliver_later(
                process,
                "on_lease_response",
                incarnation,
                sent + process.skew + TTL,
                self.coordinator.announcement(),
            )

    def fetch(self, process: Process, action: Fetch) -> None:
        text = self.coordinator.text(action.number) if self.is_connected(process) else None
        self.deliver_later(process, "on_fetched", action.number, text)

    def store(self, process: Process, action: Store) -> None:
        if process is self.nodes[process.index]:
            ok = self.rng.random() < 0.95 or not self.faults
            if ok:
                process.disk[action.number] = action.text
            self.deliver(process, "on_stored", action.number, ok)

    def vote(self, process: Process, action: CastVote) -> None:
        if self.is_connected(process):
            self.command(self.coordinator.vote, action.incarnation, action.number, action.yes, action.reason)
            if self.rng.random() < 0.3:
                self.schedule(50, self.vote, process, action)  # the vote arrives twice
            else:
                process.participant.on_vote_acknowledged(action.incarnation, action.number)

    # ---------------- invariants

    def check(self) -> None:
        running = set()
        for process in self.nodes:
            participant, local_now, pending = (
                process.participant,
                self.clock(process),
                self.coordinator.pending,
            )
            follows = not process.paused and participant.participation(local_now) == "following"
            live = participant.lease_end_ms is not None and local_now < participant.lease_end_ms
            assert follows or not process.followed or not live or process.paused
            process.followed = follows
            running |= {participant.running_version} if follows else set()
            assert (
                pending is None
                or process.incarnation not in pending.yes_voters
                or pending.number in process.disk
            )
        activations = [
            version.activates_at_ms
            for version in self.coordinator.versions
            if version.activates_at_ms is not None
        ]
        assert len(running) <= 1 or any(abs(self.now - at_ms) <= BOUND for at_ms in activations), running


@pytest.mark.parametrize("seed", range(12))
def test_followers_run_one_version_under_faults_and_converge_after_them(seed: int) -> None:
    fleet = Fleet(seed)
    fleet.run(20_000)
    assert fleet.coordinator.active_number > 3
    assert fleet.expirations > 3
    fleet.faults = False
    fleet.run(2_500)
    assert fleet.coordinator.pending is None
    for process in fleet.nodes:
        assert process.participant.participation(fleet.clock(process)) == "following"
        assert process.participant.running_version == fleet.coordinator.active_number
