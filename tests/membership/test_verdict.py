"""Verdict on a member, and the local node's connectivity."""

from __future__ import annotations

from itertools import product

import pytest

from loadbalancer.membership import (
    VERDICTS,
    Connectivity,
    LeaseStatus,
    Reachability,
    Verdict,
    connectivity,
    verdict,
)


def test_verdict_is_defined_for_every_pair_and_reachable_member_never_fails() -> None:
    assert set(VERDICTS) == set(product(LeaseStatus, Reachability))
    verdicts_of = {
        state: {value for (_, other), value in VERDICTS.items() if other is state} for state in Reachability
    }
    assert verdicts_of[Reachability.UNREACHABLE] == {Verdict.FAILED}
    assert verdicts_of[Reachability.ALIVE] == {Verdict.PRESENT}
    assert [pair for pair, value in VERDICTS.items() if value is Verdict.LINK_FAULT] == [
        (LeaseStatus.LIVE, Reachability.INDIRECT)
    ]
    assert verdict(LeaseStatus.EXPIRED, Reachability.SUSPECT) is Verdict.FAILED
    assert verdict(LeaseStatus.EXPIRED, Reachability.SUSPECT, leaving=True) is Verdict.LEAVING
    assert verdict(LeaseStatus.LIVE, Reachability.UNREACHABLE, leaving=True) is Verdict.FAILED


@pytest.mark.parametrize(
    ("renewed", "last_ack", "expected"),
    [
        (8501.0, None, Connectivity.ATTACHED),
        (8500.0, 9001.0, Connectivity.DETACHED),
        (None, 9000.0, Connectivity.ISOLATED),
        (None, None, Connectivity.ISOLATED),
    ],
)
def test_connectivity_follows_from_last_renewal_and_last_ack(
    renewed: float | None, last_ack: float | None, expected: Connectivity
) -> None:
    assert connectivity(10_000.0, 3000.0, renewed, last_ack, ack_valid_ms=1000.0) is expected
