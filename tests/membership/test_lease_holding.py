"""Partitions between nodes, and between nodes and the list service: which nodes hold or yield their quota.

Simulates the failure detector, `MemberLease`, `QuotaLedger` and `LeaseClock` on an injected clock.
test_fleet.py tests the same partitions with real processes.
"""

from __future__ import annotations

from random import Random

import pytest

from loadbalancer.membership import MemberLease, QuotaStatus, RegistryCall, SiblingReport
from loadbalancer.membership.lease_clock import LeaseClock
from loadbalancer.membership.quota_ledger import QuotaLedger
from tests.support.detector_simulation import DetectorSimulation, SimulatedNode
from tests.support.node_fleet import TTL_MS

RESPONSE_MS = 25.0  # from a renewal to its response
STEP_MS = 5.0
EXPIRE_MS = 50.0
SERVICE_MS = 1e6  # service time minus simulated time, so that service time is never below 0
PAUSE_MS = 0.1 * TTL_MS
MEMBERS = 5
MINORITY, MAJORITY = (4, 5), (1, 2, 3)


class LeaseSimulation:
    """Simulated failure detectors whose nodes have leases from one list service that never fails."""

    def __init__(self, seed: int) -> None:
        self.detectors = DetectorSimulation(MEMBERS, seed)
        self.rng = Random(seed)
        self.disconnected: set[int] = set()
        self.ledger, self.lease_clock = QuotaLedger(), LeaseClock(TTL_MS)
        self.member_leases = {
            number: MemberLease(f"n{number}", f"at-{number}", "", str(number), Random(self.rng.random()))
            for number in self.detectors.nodes
        }
        self.detectors.before_tick = self._before_tick
        for number in self.detectors.nodes:  # in this order, so that numbers equal incarnations
            self.detectors.schedule(float(number), lambda number=number: self._renew(number))  # type: ignore[misc]
        self._expire()

    def quotas(self, *numbers: int) -> tuple[float, ...]:
        """The quotas that these nodes use now."""
        return tuple(
            round(self.member_leases[number].quota_in_force(self.clock(number)), 6) for number in numbers
        )

    def attached(self, number: int) -> bool:
        return self.member_leases[number].is_attached(self.clock(number))

    def clock(self, number: int) -> float:
        return self.detectors.clock(self.detectors.nodes[number])

    def partition(self, *disconnected: int) -> None:
        """Partition the minority from the majority, and `disconnected` nodes from the list service."""
        self.detectors.partition(MINORITY, MAJORITY)
        self.disconnected.update(disconnected)

    # ------------------------------------------------------------------ the list service

    def _renew(self, number: int) -> None:
        node, now = self.detectors.nodes[number], self.clock(number)
        call = None if node.paused else self.member_leases[number].tick(now, None)
        if call is not None:
            self.detectors.schedule(RESPONSE_MS / 2, lambda: self._serve(node, call))
            self.detectors.schedule(
                call.timeout_ms, lambda: self.detectors.run_when_active(node, lambda: self._fail(node, call))
            )
        self.detectors.schedule(STEP_MS, lambda: self._renew(number))

    def _serve(self, node: SimulatedNode, call: RegistryCall) -> None:
        number = node.incarnation
        if number in self.disconnected:
            return
        if call.path == "enrol":
            record = self.ledger.enrol(**call.body)
            assert record.incarnation == number
            self.lease_clock.record_renewal(self.detectors.now, number, record.renewal_seq, -1)
        else:
            seq, acked, using = call.body["seq"], call.body["acked"], call.body["using"]
            renewed = self.ledger.renew(number, seq, acked, using)
            assert renewed is not None
            record = renewed
            self.lease_clock.record_renewal(self.detectors.now, number, seq, call.body["answered"])
        grant = self.ledger.grant(record, call.body.get("acked", -1), call.body.get("delta", False))

        def arrive() -> None:
            if number not in self.disconnected:
                self.member_leases[number].on_grant(self.clock(number), call.number, grant, TTL_MS)

        self.detectors.schedule(RESPONSE_MS / 2, lambda: self.detectors.run_when_active(node, arrive))

    def _fail(self, node: SimulatedNode, call: RegistryCall) -> None:
        """Time out a call; has no effect if the call got a response."""
        self.member_leases[node.incarnation].on_failure(self.detectors.clock(node), call.number)

    def _expire(self) -> None:
        expired, attached = self.lease_clock.expired_and_attached(self.detectors.now)
        if self.ledger.would_expire(expired, attached):
            self.ledger.expire(expired, attached)
            self.lease_clock.retain(self.ledger.records_by_incarnation)
        self.detectors.schedule(EXPIRE_MS, self._expire)

    # ------------------------------------------------------------------------- siblings

    def _before_tick(self, node: SimulatedNode) -> None:
        """Exchange quota reports between lease and detector, as the control plane does before each tick."""
        lease, now = self.member_leases[node.incarnation], self.detectors.clock(node)
        if lease.incarnation is None:
            return
        service_ms = self.detectors.now + SERVICE_MS
        node.detector.set_quota_status(now, lease.quota_status(now), service_ms)
        if not lease.is_attached(now):
            reports = node.detector.quota_reports()
            sibling_reports = {
                number: SiblingReport(status, now + reported_ms - service_ms)
                for number, (status, reported_ms) in reports.items()
            }
            lease.on_sibling_reports(now, sibling_reports)


def settled_simulation(seed: int) -> LeaseSimulation:
    """Return a simulation in which all have their target quota, at a random phase of the renewals."""
    simulation = LeaseSimulation(seed)
    simulation.detectors.run(3 * TTL_MS + simulation.rng.uniform(0.0, TTL_MS))
    assert simulation.quotas(*MAJORITY, *MINORITY) == (0.2,) * MEMBERS
    return simulation


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    ("disconnected", "majority_quota", "minority_quota"),
    [(MINORITY, 1 / 3, 0.0), (MAJORITY, 0.2, 0.2), ((*MAJORITY, *MINORITY), 0.2, 0.0)],
    ids=["minority disconnected", "majority disconnected", "all disconnected"],
)
def test_disconnected_majority_holds_quota_and_minority_yields(
    seed: int, disconnected: tuple[int, ...], majority_quota: float, minority_quota: float
) -> None:
    simulation = settled_simulation(seed)
    simulation.partition(*disconnected)
    if disconnected != MINORITY:  # pause a node that has to hold, as on a busy machine
        paused, delay_ms = simulation.rng.choice(MAJORITY), simulation.rng.uniform(0.0, TTL_MS)
        simulation.detectors.schedule(delay_ms, lambda: simulation.detectors.pause(paused, PAUSE_MS))
    start = simulation.detectors.now
    while simulation.detectors.now - start < 5 * TTL_MS:
        simulation.detectors.run(10.0)
        assert sum(simulation.quotas(*MAJORITY, *MINORITY)) <= 1.0 + 1e-5
        if MAJORITY[0] in disconnected:
            assert simulation.quotas(*MAJORITY) == (majority_quota,) * len(MAJORITY)
        if MINORITY[0] not in disconnected:
            assert simulation.quotas(*MINORITY) == (minority_quota,) * len(MINORITY)
    assert simulation.quotas(*MAJORITY, *MINORITY) == tuple(
        round(quota, 6) for quota in (*(majority_quota,) * len(MAJORITY), *(minority_quota,) * len(MINORITY))
    )
    expected = QuotaStatus.HOLDING if MAJORITY[0] in disconnected else QuotaStatus.ATTACHED
    assert {
        simulation.member_leases[number].quota_status(simulation.clock(number)) for number in MAJORITY
    } == {expected}
