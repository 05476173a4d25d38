"""Shares through partitions, lost answers, restarts and new leaders: their sum over all running processes.

A world in simulated time: nodes with the enrolment core, one log with the ledger, leaders that count
leases. Links between nodes, and between a node and the service, are cut, cut one way, or slow, as a seed
draws them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random
from typing import Any

import pytest

from loadbalancer.membership.lease_calls import SiblingReport
from loadbalancer.membership.lease_clock import MAX_DELAY_TERM_FRACTION, LeaseClock
from loadbalancer.membership.member_lease import MemberLease
from loadbalancer.membership.member_record import MemberRecord, MemberState, is_majority
from loadbalancer.membership.payload import QuotaStatus
from loadbalancer.membership.quota_ledger import QuotaLedger

TTL = 1000.0
STEP = 10.0
BOUND = 1.0 + 1e-6


@dataclass
class Node:
    name: str
    core: MemberLease
    said: dict[int, SiblingReport] = field(default_factory=dict)
    alive: bool = True


class World:
    def __init__(self, seed: int, count: int) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.ledger, self.clock = QuotaLedger(), LeaseClock(TTL)
        self.leads = True
        self.starts = 0
        self.mail: list[tuple[float, int, Any]] = []  # what arrives when
        self.cut: set[tuple[str, str]] = set()  # directed links that pass nothing; "" is the service
        self.slow: dict[tuple[str, str], float] = {}
        self.nodes = [self.start(f"n{at}") for at in range(count)]
        self.sums: list[float] = []

    def start(self, name: str) -> Node:
        self.starts += 1
        return Node(name, MemberLease(name, f"a-{name}", "", f"t{self.starts}", Random(self.rng.random())))

    def post(self, sender: str, to: str, act: Any) -> None:
        if (sender, to) not in self.cut:
            late = self.slow.get((sender, to), 0.0) + self.rng.uniform(0.0, 30.0)
            self.mail.append((self.now + late, len(self.mail), act))

    def ask_service(self, node: Node) -> None:
        call = node.core.tick(self.now, self.now - 5.0)
        if call is None:
            return
        sent = self.now

        def lost() -> None:
            node.core.on_failure(self.now, call.number)

        def arrive() -> None:
            if not self.leads or self.now - sent > TTL * MAX_DELAY_TERM_FRACTION:
                return
            row = self.run(call.path, call.body)
            if row is None:
                self.post("", node.name, lambda: node.core.on_failure(self.now, call.number, unknown=True))
                return
            grant = self.ledger.grant(row, call.body.get("acked", -1), call.body.get("delta", False))
            self.post("", node.name, lambda: node.core.on_grant(self.now, call.number, grant, TTL))

        self.post(node.name, "", arrive)
        self.mail.append((self.now + call.timeout_ms, len(self.mail), lost))

    def run(self, path: str, body: dict[str, Any]) -> MemberRecord | None:
        if path == "enrol":
            row = self.ledger.enrol(**body)
            self.clock.record_renewal(self.now, row.incarnation, row.renewal_seq, -1)
            return row
        found = self.ledger.renew(body["incarnation"], body["seq"], body["acked"], body["using"])
        if found is not None:
            self.clock.record_renewal(self.now, found.incarnation, body["seq"], body["answered"])
        return found

    def gossip(self, node: Node) -> None:
        """One sibling hears this node's word and all it has heard; words carry the time they were said."""
        other = self.rng.choice(self.nodes)
        if node.core.incarnation is None or other is node:
            return
        words = dict(node.said)
        words[node.core.incarnation] = SiblingReport(node.core.quota_status(self.now), self.now)

        def arrive() -> None:
            for number, word in words.items():
                if number not in other.said or other.said[number].made_at_ms < word.made_at_ms:
                    other.said[number] = word
            if other.alive:
                other.core.on_sibling_reports(self.now, other.said)

        self.post(node.name, other.name, arrive)

    def step(self) -> None:
        self.now += STEP
        ready = [item for item in self.mail if item[0] <= self.now]
        self.mail = [item for item in self.mail if item[0] > self.now]
        for _, _, act in sorted(ready, key=lambda item: item[:2]):
            act()
        if self.leads:
            lapsed, support = self.clock.expired_and_attached(self.now)
            if self.ledger.would_expire(lapsed, support):
                self.ledger.expire(lapsed, support)
                self.clock.retain(self.ledger.records_by_incarnation)
        for node in self.nodes:
            if node.alive:
                self.ask_service(node)
                if self.rng.random() < 0.3:
                    self.gossip(node)
        self.sums.append(math.fsum(node.core.quota_in_force(self.now) for node in self.nodes if node.alive))
        assert self.sums[-1] <= BOUND, f"shares sum to {self.sums[-1]} at {self.now}"
        assert self.ledger.granted_quota() <= BOUND

    def run_for(self, ms: float) -> None:
        for _ in range(int(ms / STEP)):
            self.step()

    def fault(self) -> None:
        names = [node.name for node in self.nodes] + [""]
        kind = self.rng.randrange(8)
        side = {name for name in names if self.rng.random() < self.rng.choice((0.2, 0.4, 0.6))}
        if kind <= 2:  # two halves, the service on one of the sides
            self.cut |= {(a, b) for a in names for b in names if (a in side) != (b in side)}
        elif kind == 3:  # one way only
            self.cut |= {(a, b) for a in side for b in names if b not in side}
        elif kind == 4:  # answers of the service get lost
            self.cut |= {("", name) for name in side}
        elif kind == 5:
            self.slow = {(a, b): self.rng.uniform(0.0, 700.0) for a in names for b in side}
        elif kind == 6:
            node = self.rng.choice(self.nodes)
            node.alive = False
            if self.rng.random() < 0.7:
                self.nodes[self.nodes.index(node)] = self.start(node.name)
        else:
            self.leads = False


@pytest.mark.parametrize("seed", range(60))
def test_the_sum_of_shares_keeps_its_bound_through_seeded_faults(seed: int) -> None:
    world = World(seed, 2 + seed % 6)
    world.run_for(1500)
    for _ in range(5):
        for _ in range(world.rng.randrange(1, 3)):
            world.fault()
        world.run_for(world.rng.uniform(200, 3500))
        if world.rng.random() < 0.5:
            world.cut, world.slow = set(), {}
        if not world.leads:
            world.leads = True
            world.clock.begin_term(
                world.now, [(row.incarnation, row.renewal_seq) for row in world.ledger.records()]
            )
    world.cut, world.slow = set(), {}
    world.nodes = [node if node.alive else world.start(node.name) for node in world.nodes]
    world.run_for(4 * TTL)
    assert world.sums[-1] > 0.99, "with all faults gone the whole is taken again"


def test_a_minority_cut_off_yields_before_the_others_grow_and_takes_its_part_again() -> None:
    world = World(1, 6)
    world.run_for(2 * TTL)
    assert all(node.core.quota_in_force(world.now) == pytest.approx(1 / 6) for node in world.nodes)
    away = {"n0", "n1"}
    names = [node.name for node in world.nodes] + [""]
    world.cut = {(a, b) for a in names for b in names if (a in away) != (b in away)}
    world.run_for(2.5 * TTL)
    taking = {node.name: node.core.quota_in_force(world.now) for node in world.nodes}
    assert [taking[name] for name in ("n0", "n1")] == [0.0, 0.0]
    assert taking["n2"] == pytest.approx(1 / 4)
    world.cut = set()
    world.run_for(2 * TTL)
    assert world.sums[-1] == pytest.approx(1.0)


def test_all_hold_while_the_list_service_is_down() -> None:
    world = World(2, 7)
    world.run_for(2 * TTL)
    world.leads = False
    world.run_for(6 * TTL)
    assert world.sums[-1] == pytest.approx(1.0)
    assert all(node.core.quota_status(world.now) is QuotaStatus.HOLDING for node in world.nodes)


def test_a_restarted_process_takes_its_rows_place_at_once() -> None:
    ledger = QuotaLedger()
    first = ledger.enrol("n0", "a-n0", "", "t1")
    ledger.renew(first.incarnation, 1, ledger.revision, 1.0)
    again = ledger.enrol("n0", "a-n0", "", "t2")
    assert (again.incarnation, again.quota, again.elector, again.rank) == (2, 1.0, True, 1)
    assert ledger.renew(first.incarnation, 2, 9, 1.0) is None
    assert ledger.enrol("n0", "a-n0", "", "t2") is again


def test_a_lapsed_row_keeps_its_share_until_a_majority_is_attached() -> None:
    ledger = QuotaLedger()
    rows = [ledger.enrol(f"n{at}", f"a-{at}", "", f"t{at}") for at in range(3)]
    for turn in (1, 2):
        for row in rows:
            ledger.renew(row.incarnation, turn, ledger.revision, min(row.quota, ledger.target_quota()))
    assert all(row.elector and row.quota == pytest.approx(1 / 3) for row in rows)
    assert ledger.expire([(1, 2)], [2]) == ([1], [])  # one of three electors is attached
    assert ledger.records_by_incarnation[1].state is MemberState.EXPIRED
    assert ledger.expire([(1, 2)], [2, 3]) == ([], [1])
    # type: ignore[union-attr]
    assert ledger.renew(2, 3, ledger.revision, 1 / 3).quota == pytest.approx(1 / 2)


@pytest.mark.parametrize(
    ("ranks", "electors", "whole"),
    [
        ({1}, {1, 2}, True),
        ({2}, {1, 2}, False),
        ({1, 2}, {1, 2, 3}, True),
        (set(), set(), False),
        ({3}, {1, 2, 3}, False),
    ],
)
def test_a_tie_is_won_with_the_lowest_rank(ranks: set[int], electors: set[int], whole: bool) -> None:
    assert is_majority(ranks, electors) is whole
