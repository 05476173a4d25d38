"""The sum of all quotas in use stays at most 1 through partitions, lost responses, restarts and new leaders.

Simulates nodes with a `MemberLease`, the quota ledger, and leaders with a `LeaseClock`. Links between nodes,
and between nodes and the list service, are blocked both ways, blocked one way or delayed at random, from a
seed.
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

TTL_MS = 1000.0
STEP_MS = 10.0
MAX_QUOTA_SUM = 1.0 + 1e-6


@dataclass
class SimulatedNode:
    name: str
    lease: MemberLease
    reports: dict[int, SiblingReport] = field(default_factory=dict)
    alive: bool = True


class QuotaSimulation:
    def __init__(self, seed: int, count: int) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.ledger, self.clock = QuotaLedger(), LeaseClock(TTL_MS)
        self.has_leader = True
        self.starts = 0
        self.in_transit: list[tuple[float, int, Any]] = []  # (arrival time, sequence number, delivery)
        self.blocked_links: set[tuple[str, str]] = set()  # (sender, receiver); "" is the service
        self.link_delays: dict[tuple[str, str], float] = {}
        self.nodes = [self.start(f"n{at}") for at in range(count)]
        self.quota_sums: list[float] = []

    def start(self, name: str) -> SimulatedNode:
        self.starts += 1
        return SimulatedNode(
            name, MemberLease(name, f"a-{name}", "", f"t{self.starts}", Random(self.rng.random()))
        )

    def send(self, sender: str, to: str, deliver: Any) -> None:
        if (sender, to) not in self.blocked_links:
            delay_ms = self.link_delays.get((sender, to), 0.0) + self.rng.uniform(0.0, 30.0)
            self.in_transit.append((self.now + delay_ms, len(self.in_transit), deliver))

    def call_service(self, node: SimulatedNode) -> None:
        call = node.lease.tick(self.now, self.now - 5.0)
        if call is None:
            return
        sent = self.now

        def time_out() -> None:
            node.lease.on_failure(self.now, call.number)

        def arrive() -> None:
            if not self.has_leader or self.now - sent > TTL_MS * MAX_DELAY_TERM_FRACTION:
                return
            record = self.apply_command(call.path, call.body)
            if record is None:
                self.send("", node.name, lambda: node.lease.on_failure(self.now, call.number, unknown=True))
                return
            grant = self.ledger.grant(record, call.body.get("acked", -1), call.body.get("delta", False))
            self.send("", node.name, lambda: node.lease.on_grant(self.now, call.number, grant, TTL_MS))

        self.send(node.name, "", arrive)
        self.in_transit.append((self.now + call.timeout_ms, len(self.in_transit), time_out))

    def apply_command(self, path: str, body: dict[str, Any]) -> MemberRecord | None:
        if path == "enrol":
            record = self.ledger.enrol(**body)
            self.clock.record_renewal(self.now, record.incarnation, record.renewal_seq, -1)
            return record
        renewed = self.ledger.renew(body["incarnation"], body["seq"], body["acked"], body["using"])
        if renewed is not None:
            self.clock.record_renewal(self.now, renewed.incarnation, body["seq"], body["answered"])
        return renewed

    def gossip(self, node: SimulatedNode) -> None:
        """Send this node's quota report, and all that it has received, to a random sibling."""
        other = self.rng.choice(self.nodes)
        if node.lease.incarnation is None or other is node:
            return
        sent_reports = dict(node.reports)
        sent_reports[node.lease.incarnation] = SiblingReport(node.lease.quota_status(self.now), self.now)

        def arrive() -> None:
            for number, report in sent_reports.items():
                if number not in other.reports or other.reports[number].made_at_ms < report.made_at_ms:
                    other.reports[number] = report
            if other.alive:
                other.lease.on_sibling_reports(self.now, other.reports)

        self.send(node.name, other.name, arrive)

    def step(self) -> None:
        self.now += STEP_MS
        arrived = [message for message in self.in_transit if message[0] <= self.now]
        self.in_transit = [message for message in self.in_transit if message[0] > self.now]
        for _, _, deliver in sorted(arrived, key=lambda message: message[:2]):
            deliver()
        if self.has_leader:
            expired, attached = self.clock.expired_and_attached(self.now)
            if self.ledger.would_expire(expired, attached):
                self.ledger.expire(expired, attached)
                self.clock.retain(self.ledger.records_by_incarnation)
        for node in self.nodes:
            if node.alive:
                self.call_service(node)
                if self.rng.random() < 0.3:
                    self.gossip(node)
        self.quota_sums.append(
            math.fsum(node.lease.quota_in_force(self.now) for node in self.nodes if node.alive)
        )
        assert self.quota_sums[-1] <= MAX_QUOTA_SUM, f"quotas sum to {self.quota_sums[-1]} at {self.now}"
        assert self.ledger.granted_quota() <= MAX_QUOTA_SUM

    def run_for(self, ms: float) -> None:
        for _ in range(int(ms / STEP_MS)):
            self.step()

    def inject_fault(self) -> None:
        names = [node.name for node in self.nodes] + [""]
        kind = self.rng.randrange(8)
        one_side = {name for name in names if self.rng.random() < self.rng.choice((0.2, 0.4, 0.6))}
        if kind <= 2:  # partition, the service on one of the sides
            self.blocked_links |= {(a, b) for a in names for b in names if (a in one_side) != (b in one_side)}
        elif kind == 3:  # partition in one direction
            self.blocked_links |= {(a, b) for a in one_side for b in names if b not in one_side}
        elif kind == 4:  # responses of the service are lost
            self.blocked_links |= {("", name) for name in one_side}
        elif kind == 5:
            self.link_delays = {(a, b): self.rng.uniform(0.0, 700.0) for a in names for b in one_side}
        elif kind == 6:
            node = self.rng.choice(self.nodes)
            node.alive = False
            if self.rng.random() < 0.7:
                self.nodes[self.nodes.index(node)] = self.start(node.name)
        else:
            self.has_leader = False


@pytest.mark.parametrize("seed", range(60))
def test_quota_sum_stays_within_bound_under_random_faults(seed: int) -> None:
    simulation = QuotaSimulation(seed, 2 + seed % 6)
    simulation.run_for(1500)
    for _ in range(5):
        for _ in range(simulation.rng.randrange(1, 3)):
            simulation.inject_fault()
        simulation.run_for(simulation.rng.uniform(200, 3500))
        if simulation.rng.random() < 0.5:
            simulation.blocked_links, simulation.link_delays = set(), {}
        if not simulation.has_leader:
            simulation.has_leader = True
            simulation.clock.begin_term(
                simulation.now,
                [(record.incarnation, record.renewal_seq) for record in simulation.ledger.records()],
            )
    simulation.blocked_links, simulation.link_delays = set(), {}
    simulation.nodes = [node if node.alive else simulation.start(node.name) for node in simulation.nodes]
    simulation.run_for(4 * TTL_MS)
    assert simulation.quota_sums[-1] > 0.99, "the full quota is not used again after all faults have ended"


def test_disconnected_minority_yields_before_others_grow_and_regains_quota() -> None:
    simulation = QuotaSimulation(1, 6)
    simulation.run_for(2 * TTL_MS)
    assert all(node.lease.quota_in_force(simulation.now) == pytest.approx(1 / 6) for node in simulation.nodes)
    minority = {"n0", "n1"}
    names = [node.name for node in simulation.nodes] + [""]
    simulation.blocked_links = {(a, b) for a in names for b in names if (a in minority) != (b in minority)}
    simulation.run_for(2.5 * TTL_MS)
    quotas = {node.name: node.lease.quota_in_force(simulation.now) for node in simulation.nodes}
    assert [quotas[name] for name in ("n0", "n1")] == [0.0, 0.0]
    assert quotas["n2"] == pytest.approx(1 / 4)
    simulation.blocked_links = set()
    simulation.run_for(2 * TTL_MS)
    assert simulation.quota_sums[-1] == pytest.approx(1.0)


def test_all_nodes_hold_quota_while_list_service_is_down() -> None:
    simulation = QuotaSimulation(2, 7)
    simulation.run_for(2 * TTL_MS)
    simulation.has_leader = False
    simulation.run_for(6 * TTL_MS)
    assert simulation.quota_sums[-1] == pytest.approx(1.0)
    assert all(node.lease.quota_status(simulation.now) is QuotaStatus.HOLDING for node in simulation.nodes)


def test_restarted_process_replaces_its_record_at_once() -> None:
    ledger = QuotaLedger()
    first = ledger.enrol("n0", "a-n0", "", "t1")
    ledger.renew(first.incarnation, 1, ledger.revision, 1.0)
    restarted = ledger.enrol("n0", "a-n0", "", "t2")
    assert (restarted.incarnation, restarted.quota, restarted.elector, restarted.rank) == (2, 1.0, True, 1)
    assert ledger.renew(first.incarnation, 2, 9, 1.0) is None
    assert ledger.enrol("n0", "a-n0", "", "t2") is restarted


def test_expired_member_keeps_quota_until_majority_is_attached() -> None:
    ledger = QuotaLedger()
    records = [ledger.enrol(f"n{at}", f"a-{at}", "", f"t{at}") for at in range(3)]
    for turn in (1, 2):
        for record in records:
            ledger.renew(record.incarnation, turn, ledger.revision, min(record.quota, ledger.target_quota()))
    assert all(record.elector and record.quota == pytest.approx(1 / 3) for record in records)
    assert ledger.expire([(1, 2)], [2]) == ([1], [])  # only one of three electors is attached
    assert ledger.records_by_incarnation[1].state is MemberState.EXPIRED
    assert ledger.expire([(1, 2)], [2, 3]) == ([], [1])
    assert ledger.renew(2, 3, ledger.revision, 1 / 3).quota == pytest.approx(1 / 2)


@pytest.mark.parametrize(
    ("ranks", "electors", "expected"),
    [
        ({1}, {1, 2}, True),
        ({2}, {1, 2}, False),
        ({1, 2}, {1, 2, 3}, True),
        (set(), set(), False),
        ({3}, {1, 2, 3}, False),
    ],
)
def test_tie_is_won_by_lowest_rank(ranks: set[int], electors: set[int], expected: bool) -> None:
    assert is_majority(ranks, electors) is expected
