"""The checks used by tests of groups detect violations of the quota and incarnation rules."""

from __future__ import annotations

import threading
from types import SimpleNamespace
from typing import Any, cast

import pytest

from tests.support.group_registry import GroupSampler
from tests.support.hollow_members import HollowMember, HollowMembers
from tests.support.registry_processes import Registry, until


def violations_in(*pages: list[dict[str, Any]]) -> int:
    """Return how many of these pages, read one after another, violate a rule."""
    sampler = GroupSampler.__new__(GroupSampler)
    threading.Thread.__init__(sampler)
    sampler.violations, sampler.expired = [], set()
    incarnations: dict[str, int] = {}
    for page in pages:
        sampler.check(page, incarnations)
    return len(sampler.violations)


def member_entry(name: str, service: str, share: float, incarnation: int = 1) -> dict[str, Any]:
    return {"name": name, "service": service, "share": share, "incarnation": incarnation, "state": "live"}


def test_sampler_finds_quota_sums_over_1_and_falling_incarnations() -> None:
    assert violations_in([member_entry("a", "pay", 1.0), member_entry("b", "find", 1.0)]) == 0
    assert violations_in([member_entry("a", "pay", 0.6), member_entry("b", "pay", 0.5)]) == 1
    assert violations_in([member_entry("a", "pay", 0.6), member_entry("b", "", 0.5)]) == 1
    assert violations_in([member_entry("a", "", 0.6), member_entry("b", "", 0.5)]) == 1
    assert violations_in([member_entry("a", "pay", 0.5, 2)], [member_entry("a", "find", 0.5, 1)]) == 1


@pytest.mark.parametrize(
    ("shares", "is_violation"),
    [
        ([("pay", 0.5), ("pay", 0.5), ("find", 1.0)], False),
        ([("pay", 0.6), ("pay", 0.5)], True),
        ([("pay", 0.6), ("", 0.5)], True),
        ([("", 0.6), ("", 0.5)], True),
    ],
)
def test_hollow_members_find_quota_sums_over_1(
    shares: list[tuple[str, float]], is_violation: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    quotas: dict[str, float] = {}
    monkeypatch.setattr(HollowMember, "quota_in_use", lambda self, now: quotas.get(self.name, 0.0))
    hollows = HollowMembers(cast(Registry, SimpleNamespace(http=[])))
    try:
        for service, share in shares:
            [member] = hollows.add(service, 1)
            quotas[member.name] = share
        enough = hollows.samples + 2
        until(lambda: hollows.samples >= enough, condition="samples")
        assert bool(hollows.violations) is is_violation
    finally:
        hollows.close()
