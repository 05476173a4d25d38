"""Nodes cut off from the list service and from half of their siblings, on an injected clock: who holds its
share, who yields, and when.

The real cores of the failure detector, enrolment and leases. The same cuts befall processes in test_fleet.py.
"""

from __future__ import annotations

from random import Random

import pytest

from loadbalancer.membership import MemberLease, QuotaStatus, RegistryCall, SiblingReport
from loadbalancer.membership.lease_clock import LeaseClock
from loadbalancer.membership.quota_ledger import QuotaLedger
from tests.support.detector_simulation import Node, World
from tests.support.node_fleet import TTL_MS

ANSWER_MS = 25.0  # from a renewal to its answer
STEP_MS = 5.0
EXPIRE_MS = 50.0
SERVICE_MS = 1e6  # service time less the world's, so that it is never below 0
STOP_MS = 0.1 * TTL_MS
SIZE = 5
SMALL, LARGE = (4, 5), (1, 2, 3)


class LeasedWorld:
    """A world of failure detectors whose nodes have leases of one list service that never fails."""

    def __init__(self, seed: int) -> None:
        self.world = World(SIZE, seed)
        self.rng = Random(seed)
        self.cut_off: set[int] = set()
        self.ledger, self.leases = QuotaLedger(), LeaseClock(TTL_MS)
        self.enrolments = {
            number: MemberLease(f"n{number}", f"at-{number}", "", str(number), Random(self.rng.random()))
            for number in self.world.nodes
        }
        self.world.before_tick = self._before_tick
        for number in self.world.nodes:  # in this order, so that the numbers are the incarnations too
            self.world.after(float(number), lambda number=number: self._renew(number))  # type: ignore[misc]
        self._expire()

    def shares(self, *numbers: int) -> tuple[float, ...]:
        """What these nodes take now."""
        return tuple(
            round(self.enrolments[number].quota_in_force(self.clock(number)), 6) for number in numbers
        )

    def attached(self, number: int) -> bool:
        return self.enrolments[number].is_attached(self.clock(number))

    def clock(self, number: int) -> float:
        return self.world.clock(self.world.nodes[number])

    def cut(self, *cut_off: int) -> None:
        """Part the halves, and these nodes from the list service."""
        self.world.cut_between(SMALL, LARGE)
        self.cut_off.update(cut_off)

    # ------------------------------------------------------------------ the list service

    def _renew(self, number: int) -> None:
        node, now = self.world.nodes[number], self.clock(number)
        call = None if node.stopped else self.enrolments[number].tick(now, None)
        if call is not None:
            self.world.after(ANSWER_MS / 2, lambda: self._serve(node, call))
            self.world.after(
                call.timeout_ms, lambda: self.world.in_turn(node, lambda: self._fail(node, call))
            )
        self.world.after(STEP_MS, lambda: self._renew(number))

    def _serve(self, node: Node, call: RegistryCall) -> None:
        number = node.incarnation
        if number in self.cut_off:
            return
        if call.path == "enrol":
            row = self.ledger.enrol(**call.body)
            assert row.incarnation == number
            self.leases.record_renewal(self.world.now, number, row.renewal_seq, -1)
        else:
            seq, acked, using = call.body["seq"], call.body["acked"], call.body["using"]
            renewed = self.ledger.renew(number, seq, acked, using)
            assert renewed is not None
            row = renewed
            self.leases.record_renewal(self.world.now, number, seq, call.body["answered"])
        grant = self.ledger.grant(row, call.body.get("acked", -1), call.body.get("delta", False))

        def arrive() -> None:
            if number not in self.cut_off:
                self.enrolments[number].on_grant(self.clock(number), call.number, grant, TTL_MS)

        self.world.after(ANSWER_MS / 2, lambda: self.world.in_turn(node, arrive))

    def _fail(self, node: Node, call: RegistryCall) -> None:
        """Changes nothing where the call was answered."""
        self.enrolments[node.incarnation].on_failure(self.world.clock(node), call.number)

    def _expire(self) -> None:
        lapsed, support = self.leases.expired_and_attached(self.world.now)
        if self.ledger.would_expire(lapsed, support):
            self.ledger.expire(lapsed, support)
            self.leases.retain(self.ledger.records_by_incarnation)
        self.world.after(EXPIRE_MS, self._expire)

    # ------------------------------------------------------------------------- siblings

    def _before_tick(self, node: Node) -> None:
        """As the shell does before each tick of the failure detector."""
        enrolment, now = self.enrolments[node.incarnation], self.world.clock(node)
        if enrolment.incarnation is None:
            return
        service_ms = self.world.now + SERVICE_MS
        node.detector.set_quota_status(now, enrolment.quota_status(now), service_ms)
        if not enrolment.is_attached(now):
            told = node.detector.quota_reports()
            words = {
                number: SiblingReport(standing, now + said - service_ms)
                for number, (standing, said) in told.items()
            }
            enrolment.on_sibling_reports(now, words)


def settled(seed: int) -> LeasedWorld:
    """All have their parts, at a moment drawn anew in the round of renewals."""
    found = LeasedWorld(seed)
    found.world.run(3 * TTL_MS + found.rng.uniform(0.0, TTL_MS))
    assert found.shares(*LARGE, *SMALL) == (0.2,) * SIZE
    return found


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    ("cut_off", "large", "small"),
    [(SMALL, 1 / 3, 0.0), (LARGE, 0.2, 0.2), ((*LARGE, *SMALL), 0.2, 0.0)],
    ids=["small half cut off", "large half cut off", "all cut off"],
)
def test_a_half_cut_off_holds_its_shares_without_a_gap_where_it_is_the_larger_and_yields_where_not(
    seed: int, cut_off: tuple[int, ...], large: float, small: float
) -> None:
    leased = settled(seed)
    leased.cut(*cut_off)
    if cut_off != SMALL:  # one of those that are to hold does not run for a while, as on a busy machine
        stopped, after_ms = leased.rng.choice(LARGE), leased.rng.uniform(0.0, TTL_MS)
        leased.world.after(after_ms, lambda: leased.world.stop(stopped, STOP_MS))
    start = leased.world.now
    while leased.world.now - start < 5 * TTL_MS:
        leased.world.run(10.0)
        assert sum(leased.shares(*LARGE, *SMALL)) <= 1.0 + 1e-5
        if LARGE[0] in cut_off:
            assert leased.shares(*LARGE) == (large,) * len(LARGE)
        if SMALL[0] not in cut_off:
            assert leased.shares(*SMALL) == (small,) * len(SMALL)
    assert leased.shares(*LARGE, *SMALL) == tuple(
        round(share, 6) for share in (*(large,) * len(LARGE), *(small,) * len(SMALL))
    )
    expected = QuotaStatus.HOLDING if LARGE[0] in cut_off else QuotaStatus.ATTACHED
    assert {leased.enrolments[number].quota_status(leased.clock(number)) for number in LARGE} == {expected}
