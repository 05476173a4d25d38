"""Route versions: the table's text, each race of an activation, and three nodes under faults in any order."""

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
REST = "[[class.default.group]]\nweight = 1\n"
TTL, BOUND = 400.0, 20.0
SERVERS = (Endpoint("s0", "a", model="m1"), Endpoint("s1", "a", model="m2"))


# -------------------------------------------------------------------- table


def test_a_table_gives_each_class_its_groups_and_the_rest_the_default() -> None:
    table = parse_table(7, READ + REST)
    assert table.splits_by_class(("read", "write")) == {
        "read": (TrafficSplit("m2", "a", 3.0),),
        "write": (TrafficSplit(None, None, 1.0),),
    }
    assert parse_table(7, READ).splits_by_class(("read", "write")).keys() == {"read"}
    assert parse_table(0, NEUTRAL).splits_by_class(("read",)) == {}


@pytest.mark.parametrize(
    ("text", "said"),
    [
        (
            READ + "\n[[class.read.group]]\nmodel = 'm'\nweight = -1\n",
            "class.read.group[1].weight (line 8): ",
        ),
        (READ + "wight = 3", "class.read.group[0].wight (line 5): unknown key"),
        (REST + "[[class.read.group]]\naz = 'a'", "class.read.group[0].weight (line 3): missing"),
        (READ.replace("3.0", "nan"), "class.read.group[0].weight (line 4): Input should be a finite number"),
        (READ.replace("3.0", "true"), "class.read.group[0].weight (line 4): "),
        (READ.replace("3.0", "9" * 350), "class.read.group[0].weight (line 4): "),
        (READ.replace("3.0", "0"), "class.read (line 1): no weight is above 0"),
        (REST + READ.replace("read", "default"), "class.default.group[1] (line 3): takes no server"),
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
def test_a_bad_table_is_told_in_one_line_by_key_and_line(text: str | bytes, said: str) -> None:
    with pytest.raises(ValueError, match=re.escape(said)) as raised:
        parse_table(1, text)
    assert str(raised.value).isprintable()


PIECES = st.sampled_from(
    [*READ.split("\n"), *"[]{}'\"=.,\n\x00", "class", "é", "1e999", '"""', "group = [", "neutral"]
)


@given(st.lists(PIECES, max_size=30).map("".join) | st.binary(max_size=60))
def test_garbage_is_a_table_or_one_line(text: str | bytes) -> None:
    said = "a table"
    try:
        parse_table(1, text)
    except ValueError as error:
        said = str(error)
    assert said.isprintable()


def test_a_node_can_not_take_an_unknown_class_or_a_group_that_no_ready_server_is_of() -> None:
    table = parse_table(1, READ + REST + '[[class.read.group]]\nmodel = "m3"\nweight = 0\n')
    assert find_objections(table, ("read",), SERVERS) == []
    assert find_objections(table, ("write",), SERVERS) == ["class 'read': not one of this node's"]
    lone = (SERVERS[0], Endpoint("s1", "a", state=EndpointStatus.DRAINING, model="m2"))
    assert find_objections(table, ("read",), lone) == ["class 'read': no ready server of model m2, az a"]
    said = "class 'read': only servers whose route is blind of model m2, az a"
    assert find_objections(table, ("read",), SERVERS, {"s1"}) == [said]
    assert find_objections(table, ("read",), (*SERVERS, Endpoint("s2", "a", model="m2")), {"s1"}) == []


# -------------------------------------------------------------------- the log's part


def proposed(*voters: int) -> ActivationCoordinator:
    log = ActivationCoordinator()
    assert log.propose(1000, READ, voters, 2000).phase == "preparing"
    return log


def decided(at: float = 1000) -> ActivationCoordinator:
    log = proposed(1)
    log.vote(1, 1, yes=True)
    log.apply_due(at, TTL, BOUND)
    return log


def test_a_version_is_decided_by_the_last_yes_and_in_force_at_its_moment() -> None:
    log = proposed(1, 2)
    log.vote(1, 1, yes=True)
    log.apply_due(1100, TTL, BOUND)
    assert log.outcome(1).phase == "preparing"
    assert log.vote(9, 1, yes=False).phase == log.vote(2, 7, yes=False).phase.replace("unknown", "preparing")
    log.vote(2, 1, yes=True)
    log.apply_due(1200, TTL, BOUND)
    assert log.announcement()["pending"] | {"digest": ""} == {
        "number": 1, "phase": "decided", "at": 1620.0, "deadline": 2000, "digest": "",
    }  # fmt: skip
    assert log.vote(2, 1, yes=False).phase == "decided"
    log.apply_due(1619, TTL, BOUND)
    assert log.active_number == 0
    log.apply_due(1620, TTL, BOUND)
    assert (log.active_number, log.pending, log.announcement()["last"]["outcome"]) == (1, None, "in force")


def test_a_halt_before_the_decision_aborts_and_after_it_says_decided() -> None:
    early, late = proposed(1), decided()
    assert [early.halt(1100).phase, early.halt(1100, 1).phase] == ["aborted", "aborted"]
    early.vote(1, 1, yes=True)
    early.apply_due(1200, TTL, BOUND)
    assert (early.pending, early.outcome(1).reason) == (None, "halted by an operator")
    before = late.key()
    assert late.halt(1100).phase == late.halt(1100, 1).phase == "decided"
    assert late.key() == before
    assert [late.halt(1100, 5).phase, late.halt(1420, 1).phase] == ["unknown", "in force"]


def test_one_activation_is_pending_until_it_is_aborted_or_its_moment_has_passed() -> None:
    log = proposed(1)
    assert (log.propose(1001, READ, [1], 9000).number, log.propose(1001, REST, [1], 9000).rejected) == (
        1,
        True,
    )
    log.vote(1, 1, yes=True)
    log.apply_due(1100, TTL, BOUND)
    assert (log.propose(1519, REST, [1], 9000).rejected, log.rollback(1519, 0, [1], 9000).rejected) == (
        True,
        True,
    )
    assert log.propose(1520, REST, [1], 9000).number == 2
    assert (log.active_number, log.propose(1521, READ, [1], 9000).rejected) == (1, True)
    log.vote(1, 2, yes=False, reason="no ready server")
    assert log.outcome(2).reason == "1 said no: no ready server"
    assert log.propose(1522, READ, [1], 9000) == log.outcome(1)  # in force already: nothing begins


def test_the_deadline_aborts_even_where_the_last_yes_comes_with_it() -> None:
    log = proposed(1, 2)
    log.vote(1, 1, yes=True)
    log.on_attached(3)
    log.vote(2, 1, yes=True)
    log.apply_due(1999, TTL, BOUND)
    assert log.status()["pending"]["waiting_for"] == [3]
    log.vote(3, 1, yes=True)
    log.apply_due(2000, TTL, BOUND)
    assert log.outcome(1).phase == "aborted"


def test_who_lapses_or_leaves_is_not_waited_for_but_nothing_is_decided_that_nobody_checked() -> None:
    log = proposed(1, 2, 3)
    log.on_lease_expired(1)
    log.on_lease_expired(2)
    log.on_removed(3)
    log.apply_due(1500, TTL, BOUND)
    assert log.outcome(1).phase == "preparing"
    log.vote(3, 1, yes=True)  # late, of a row that is gone
    log.vote(2, 1, yes=True)  # late, of one that may come back
    log.on_attached(1)
    log.apply_due(1500, TTL, BOUND)
    assert log.status()["pending"]["waiting_for"] == [1]
    log.on_lease_expired(1)
    log.apply_due(1600, TTL, BOUND)
    assert log.outcome(1).phase == "decided"


def test_a_rollback_is_a_new_number_and_history_is_bounded() -> None:
    log = decided()
    for step in range(MAX_VERSIONS + 5):
        number = log.propose(3000 + step, f"{REST}# {step}\n", [1], 9000).number
        log.vote(1, number, yes=False)
    assert (len(log.versions), log.text(1), log.text(2)) == (MAX_VERSIONS + 2, READ, None)
    assert (log.rollback(4000, 2, [1], 9000).phase, log.rollback(4000, number, [1], 9000).rejected) == (
        "unknown",
        True,
    )
    back = log.rollback(4000, 0, [1], 9000)
    assert (back.number, log.text(back.number), log.status()["history"][-1]["of"]) == (number + 1, NEUTRAL, 0)
    assert log.rollback(4001, 0, [1], 9000) == back
    again = pickle.loads(pickle.dumps(log))
    assert (again.key(), hash(again.key())) == (log.key(), hash(log.key()))


# -------------------------------------------------------------------- the node's part


def node(log: ActivationCoordinator, *facts: str) -> tuple[RouteParticipant, list[Any]]:
    """A follower, attached until 400 as incarnation 1, S = own clock, told `log` and given these facts."""
    follower = RouteParticipant(("read", "write"), BOUND)
    follower.set_endpoints(0, SERVERS)
    said = told(follower, log, 0)
    for fact in facts:
        said = {
            "fetched": lambda: follower.on_fetched(0, log.last_number, log.text(log.last_number)),
            "stored": lambda: follower.on_stored(0, log.last_number, ok=True),
            "lost": lambda: follower.on_fetched(0, log.last_number, None),
            "other": lambda: follower.on_fetched(0, log.last_number, REST),
            "unwritten": lambda: follower.on_stored(0, log.last_number, ok=False, reason="ENOSPC"),
        }[fact]()
    return follower, said


def told(
    follower: RouteParticipant, log: ActivationCoordinator, now: float, incarnation: int = 1
) -> list[Any]:
    return follower.on_lease_response(now, incarnation, now + TTL, (now - 1, now + 1), log.announcement())


def test_a_vote_follows_the_check_and_the_store_and_is_repeated_until_heard() -> None:
    log = proposed(1)
    assert node(log)[1] == [Fetch(1)]
    assert node(log, "fetched")[1] == [Store(1, READ)]
    follower, said = node(log, "fetched", "stored")
    assert said == [CastVote(1, 1, True, "")] == told(follower, log, 10)
    follower.on_vote_acknowledged(2, 1)  # cast under another incarnation
    assert told(follower, log, 10) == said
    follower.on_vote_acknowledged(1, 1)
    assert told(follower, log, 10) == []
    assert told(follower, log, 10, incarnation=2) == [CastVote(2, 1, True, "")]
    assert told(follower, log, 10, incarnation=1) == []  # of an earlier enrolment
    log.halt(1100)
    assert told(follower, log, 20, incarnation=2) == [Delete(1)]


def test_a_node_votes_no_where_it_can_not_take_store_or_time_a_version() -> None:
    _, said = node(proposed(1), "fetched", "unwritten")
    assert said == [CastVote(1, 1, False, "not writable: ENOSPC")]
    for text, why in (
        ("[[class.x.group]]\nweight = 1", "not one of this node's"),
        ("x = 1", "unreadable: x (line 1)"),
    ):
        log = ActivationCoordinator()
        log.propose(0, text, [1], 500)
        _, (vote,) = node(log, "fetched")
        assert (vote.yes, why in vote.reason) == (False, True)
    follower, _ = node(proposed(1))
    follower.tick(0, (-50, 50))
    (vote,) = follower.on_fetched(0, 1, READ)
    assert (vote.yes, vote.reason) == (False, "service time is known to 50.0 ms only")


def test_a_node_without_a_list_waits_with_its_vote_and_a_fetch_that_failed_is_made_again() -> None:
    follower = RouteParticipant(("read",), BOUND)
    told(follower, proposed(1), 0)
    assert follower.on_fetched(0, 1, READ) == []
    assert follower.set_endpoints(5, SERVERS) == [Store(1, READ)]
    for fault in ("lost", "other"):
        follower, said = node(proposed(1), fault)
        assert (said, follower.next_tick_ms(0), follower.tick(199)) == ([], 200, [])
        assert follower.tick(200) == [Fetch(1)]
        follower, _ = node(proposed(1), fault)
        assert (follower.tick(400), follower.next_tick_ms(400)) == ([], None)  # detached: it asks for nothing


def test_a_follower_switches_at_its_moment_and_falls_back_when_its_lease_ends() -> None:
    follower, _ = node(proposed(1), "fetched", "stored")
    log = decided(at=-150)  # T = 270
    assert (told(follower, log, 50), follower.next_tick_ms(50)) == ([], 270)
    follower.tick(60, (62, 68))  # S is 5 ms ahead of the own clock
    assert (follower.next_tick_ms(60), follower.tick(264.9)) == (265, [])
    (switch,) = follower.tick(266)
    assert (switch.event, switch.due_ms) == (RouteVersion(1, {"read": (TrafficSplit("m2", "a", 3.0),)}), 265)
    assert follower.tick(267, (260, 262)) == []  # a better estimate does not undo it
    assert (follower.next_tick_ms(267), follower.tick(449.9)) == (450, [])
    assert follower.tick(451) == [Apply(RouteVersion(0, {}), 450)]
    (back,) = told(follower, log, 500)
    assert (back.event.number, follower.participation(500)) == (1, "following")
    (gone,) = follower.on_unregistered(510)
    assert (gone.event.number, follower.participation(510)) == (0, "detached")


@pytest.mark.parametrize("edge", ["stored", "voted", "decided", "in force"])
def test_a_process_that_starts_again_at_any_edge_learns_the_outcome_from_its_first_answer(edge: str) -> None:
    log = proposed(1) if edge in ("stored", "voted") else decided(at=-150)
    log.on_removed(1)
    log.on_attached(2)
    if edge == "in force":
        log.apply_due(270, TTL, BOUND)
    follower = RouteParticipant(("read",), BOUND)
    assert follower.on_restored([(1, READ), (9, READ), (8, "x = ")]) == [Delete(8)]
    follower.set_endpoints(0, SERVERS)
    forget, *said = told(follower, log, 0, incarnation=2)
    assert (forget, follower.running_version) == (Delete(9), int(edge == "in force"))
    if edge == "in force":
        assert [action.event.number for action in said] == [1]
    else:
        assert said == ([CastVote(2, 1, True, "")] if edge in ("stored", "voted") else [])
        assert follower.next_tick_ms(0) == (270 if edge == "decided" else None)


def test_a_node_that_comes_after_the_decision_waits_until_all_that_is_decided_is_on_its_disk() -> None:
    follower, said = node(decided(at=-150))
    assert (said, follower.participation(0)) == ([Fetch(1)], "waiting")
    follower.on_fetched(0, 1, READ)
    assert (follower.tick(275), follower.participation(275)) == ([], "waiting")
    assert (follower.on_stored(280, 1, ok=False), follower.next_tick_ms(280)) == ([], 480)
    told(follower, decided(at=-150), 300)
    assert follower.tick(480) == [Store(1, READ)]
    (switch,) = follower.on_stored(490, 1, ok=True)
    assert (switch.event.number, follower.participation(490)) == (1, "following")


def test_a_catalog_built_anew_that_gives_the_number_to_another_text_is_not_taken_for_the_old() -> None:
    follower, _ = node(proposed(1), "fetched", "stored")
    log = ActivationCoordinator()
    log.propose(0, REST, [1], 500)
    follower.on_unregistered(10)
    assert told(follower, log, 20) == [Delete(1), Fetch(1)]


@pytest.mark.parametrize(
    "routes", [{}, {"in_force": 3}, {"rev": 1, "in_force": {"number": "x", "digest": ""}}]
)
def test_malformed_routes_are_refused_and_change_nothing(routes: dict[str, Any]) -> None:
    follower, _ = node(proposed(1), "fetched")
    before = follower.key()
    with pytest.raises(ValueError, match="malformed routes"):
        follower.on_lease_response(10, 1, 500, (0, 20), {"pending": None} | routes)
    assert follower.key() == before


# -------------------------------------------------------------------- three nodes under faults

TEXTS = (READ, REST, READ + REST, "[[class.x.group]]\nweight = 1\n")
PAUSES = (1.0, 3.0, 10.0, 40.0, 90.0)


@dataclass(eq=False)
class Process:
    """One run of a node's program; its own clock is `skew` from true time."""

    at: int
    skew: float
    disk: dict[int, str]
    follower: RouteParticipant = field(default_factory=lambda: RouteParticipant(("read", "write"), BOUND))
    incarnation: int | None = None
    stopped: bool = False
    followed: bool = False  # when last looked at


class Fleet:
    """Three nodes and the log, run by events in true time, which is S. Leaders lag by up to 8 ms, nodes err
    by up to 6 ms: together less than the bound. Calls take their time and overtake one another."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now, self.lag, self.log_ms, self.faults = 1000.0, 0.0, 0.0, True
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = count()
        self.log, self.switches, self.lapses = ActivationCoordinator(), 0, 0
        self.leases: dict[int, float] = {}  # by incarnation: when the leader lets it lapse
        self.lapsed: set[int] = set()
        self.cut_until = [0.0, 0.0, 0.0]  # no call of the node's comes through
        self.nodes = [self.started(at, {}) for at in range(3)]
        self.soon(300, self.operate)
        self.soon(100, self.fault)

    def soon(self, pause: float, what: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.queue, (self.now + pause, next(self.order), what, args))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            dues = [(self.queue[0][0], -1), (end, -1)]
            for process in self.nodes:
                due = None if process.stopped else process.follower.next_tick_ms(self.clock(process))
                if due is not None:
                    dues.append((due - process.skew, process.at))
            self.now, at = min(dues)
            if at >= 0:
                self.now += 1e-6  # past any rounding
                self.tick(self.nodes[at])
            elif self.queue[0][0] <= self.now:
                _, _, what, args = heapq.heappop(self.queue)
                what(*args)
            self.expire()
            self.check()

    # ---------------- the log

    def command(self, change: Callable[..., Any], *given: Any) -> None:
        self.log_ms = max(self.log_ms, self.now - self.lag)
        change(*given)
        self.log.apply_due(self.log_ms, TTL, BOUND)

    def expire(self) -> None:
        for incarnation, due in self.leases.items():
            if due <= self.now and incarnation not in self.lapsed:
                self.lapsed.add(incarnation)
                self.lapses += 1
                self.command(self.log.on_lease_expired, incarnation)

    def operate(self) -> None:
        live, now = self.leases.keys() - self.lapsed, max(self.log_ms, self.now - self.lag)
        act = self.rng.random()
        if act < 0.2:
            self.command(self.log.halt, now)
        elif act < 0.35:
            self.command(self.log.rollback, now, self.rng.randrange(5), live, now + 900)
        else:
            self.command(self.log.propose, now, self.rng.choice(TEXTS), live, now + 900)
        if self.faults:
            self.soon(self.rng.uniform(10, 400), self.operate)

    def fault(self) -> None:
        if not self.faults:
            return
        at, kind = self.rng.randrange(3), self.rng.randrange(6)
        if kind == 0:
            self.kill(at)
        elif kind == 1:
            self.nodes[at].stopped = True
            self.soon(self.rng.choice((60, 300, 700)), self.go_on, self.nodes[at])
        elif kind == 2:
            self.lag = self.rng.uniform(0, 8)  # a new leader, which counts all leases from its start
            self.leases = {one: self.now + TTL for one in self.leases}
        else:
            self.cut_until[at] = self.now + self.rng.choice((60, 300, 700))
        self.soon(self.rng.uniform(10, 600), self.fault)

    # ---------------- a node's shell

    def started(self, at: int, disk: dict[int, str]) -> Process:
        process = Process(at, (0.0, 2000.0, -700.0)[at], disk)
        self.carry(process, process.follower.on_restored(disk.items()))
        self.soon(1, self.beat, process)
        self.later(process, "set_endpoints", SERVERS)
        return process

    def kill(self, at: int) -> None:
        old = self.nodes[at]
        for _, _, what, args in self.queue:
            if what == self.store and args[0] is old and self.rng.random() < 0.5:
                old.disk[args[1].number] = args[1].text
        self.nodes[at] = self.started(at, dict(old.disk))

    def clock(self, process: Process) -> float:
        return self.now + process.skew

    def tick(self, process: Process) -> None:
        now = self.clock(process)
        self.carry(process, process.follower.tick(now))
        due = process.follower.next_tick_ms(now)
        assert due is None or due > now

    def go_on(self, process: Process) -> None:
        if process is self.nodes[process.at]:
            process.stopped = False
            self.tick(process)

    def later(self, process: Process, fact: str, *given: Any) -> None:
        self.soon(self.rng.choice(PAUSES), self.tell, process, fact, *given)

    def tell(self, process: Process, fact: str, *told: Any) -> None:
        if process is not self.nodes[process.at]:
            return
        if process.stopped:
            self.soon(20, self.tell, process, fact, *told)
            return
        self.tick(process)
        if fact == "on_lease_response":
            middle = self.now + self.rng.uniform(-6, 6)
            told = (*told[:2], (middle - 9, middle + 9), told[2])
        self.carry(process, getattr(process.follower, fact)(self.clock(process), *told))

    def carry(self, process: Process, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Delete):
                process.disk.pop(action.number)
            elif isinstance(action, Apply):
                self.switches += 1
                text = self.log.text(action.event.number)
                assert action.event.classes == parse_table(0, text or "").splits_by_class(("read", "write"))
            else:
                what = {Fetch: self.fetch, Store: self.store, CastVote: self.vote}[type(action)]
                self.soon(self.rng.choice(PAUSES), what, process, action)

    def reached(self, process: Process) -> bool:
        return self.now >= self.cut_until[process.at]

    def beat(self, process: Process) -> None:
        if process is not self.nodes[process.at]:
            return
        if not process.stopped:
            pause = self.rng.choice(PAUSES)
            self.soon(pause, self.renewed, process, process.incarnation, self.now)
        self.soon(TTL / 4, self.beat, process)

    def renewed(self, process: Process, incarnation: int | None, sent: float) -> None:
        if not self.reached(process):
            return
        if incarnation is None:
            if process is not self.nodes[process.at] or process.incarnation is not None:
                return
            for old in [one for one in self.leases if one % 3 == process.at]:
                self.command(self.log.on_removed, old)
                del self.leases[old]
            incarnation = process.incarnation = next(self.order) * 3 + process.at
        elif incarnation not in self.leases:
            return
        self.leases[incarnation] = self.now + TTL
        self.lapsed.discard(incarnation)
        self.command(self.log.on_attached, incarnation)
        if self.rng.random() < 0.9 or not self.faults:
            self.later(
                process, "on_lease_response", incarnation, sent + process.skew + TTL, self.log.announcement()
            )

    def fetch(self, process: Process, action: Fetch) -> None:
        text = self.log.text(action.number) if self.reached(process) else None
        self.later(process, "on_fetched", action.number, text)

    def store(self, process: Process, action: Store) -> None:
        if process is self.nodes[process.at]:
            ok = self.rng.random() < 0.95 or not self.faults
            if ok:
                process.disk[action.number] = action.text
            self.tell(process, "on_stored", action.number, ok)

    def vote(self, process: Process, action: CastVote) -> None:
        if self.reached(process):
            self.command(self.log.vote, action.incarnation, action.number, action.yes, action.reason)
            if self.rng.random() < 0.3:
                self.soon(50, self.vote, process, action)  # it comes twice
            else:
                process.follower.on_vote_acknowledged(action.incarnation, action.number)

    # ---------------- what holds

    def check(self) -> None:
        running = set()
        for process in self.nodes:
            follower, own, pending = process.follower, self.clock(process), self.log.pending
            follows = not process.stopped and follower.participation(own) == "following"
            live = follower.lease_end_ms is not None and own < follower.lease_end_ms
            assert follows or not process.followed or not live or process.stopped
            process.followed = follows
            running |= {follower.running_version} if follows else set()
            assert (
                pending is None
                or process.incarnation not in pending.yes_voters
                or pending.number in process.disk
            )
        moments = [row.activates_at_ms for row in self.log.versions if row.activates_at_ms is not None]
        assert len(running) <= 1 or any(abs(self.now - at) <= BOUND for at in moments), running


@pytest.mark.parametrize("seed", range(12))
def test_followers_run_one_version_under_faults_and_agree_once_they_end(seed: int) -> None:
    fleet = Fleet(seed)
    fleet.run(20_000)
    assert fleet.log.active_number > 3
    assert fleet.lapses > 3
    fleet.faults = False
    fleet.run(2_500)
    assert fleet.log.pending is None
    for process in fleet.nodes:
        assert process.follower.participation(fleet.clock(process)) == "following"
        assert process.follower.running_version == fleet.log.active_number
