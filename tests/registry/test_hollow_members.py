"""The checks that tests of groups rest on find a break of the rule."""

from __future__ import annotations

import threading
from types import SimpleNamespace
from typing import Any, cast

import pytest

from tests.support.group_registry import GroupSampler
from tests.support.hollow_members import Hollow, Hollows
from tests.support.registry_processes import Registry, until


def seen_by_sampler(*pages: list[dict[str, Any]]) -> int:
    """How many of these pages, read one after another, break a rule."""
    sampler = GroupSampler.__new__(GroupSampler)
    threading.Thread.__init__(sampler)
    sampler.broken, sampler.lapsed = [], set()
    incarnations: dict[str, int] = {}
    for page in pages:
        sampler.check(page, incarnations)
    return len(sampler.broken)


def row(name: str, service: str, share: float, incarnation: int = 1) -> dict[str, Any]:
    return {"name": name, "service": service, "share": share, "incarnation": incarnation, "state": "live"}


def test_rows_that_take_more_than_a_service_has_or_fall_back_are_found() -> None:
    assert seen_by_sampler([row("a", "pay", 1.0), row("b", "find", 1.0)]) == 0
    assert seen_by_sampler([row("a", "pay", 0.6), row("b", "pay", 0.5)]) == 1
    assert seen_by_sampler([row("a", "pay", 0.6), row("b", "", 0.5)]) == 1
    assert seen_by_sampler([row("a", "", 0.6), row("b", "", 0.5)]) == 1
    assert seen_by_sampler([row("a", "pay", 0.5, 2)], [row("a", "find", 0.5, 1)]) == 1


@pytest.mark.parametrize(
    ("shares", "found"),
    [
        ([("pay", 0.5), ("pay", 0.5), ("find", 1.0)], False),
        ([("pay", 0.6), ("pay", 0.5)], True),
        ([("pay", 0.6), ("", 0.5)], True),
        ([("", 0.6), ("", 0.5)], True),
    ],
)
def test_members_that_take_more_than_a_service_has_at_one_moment_are_found(
    shares: list[tuple[str, float]], found: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    taken: dict[str, float] = {}
    monkeypatch.setattr(Hollow, "taking", lambda self, now: taken.get(self.name, 0.0))
    hollows = Hollows(cast(Registry, SimpleNamespace(http=[])))
    try:
        for service, share in shares:
            [member] = hollows.add(service, 1)
            taken[member.name] = share
        aim = hollows.samples + 2
        until(lambda: hollows.samples >= aim, what="samples")
        assert bool(hollows.broken) is found
    finally:
        hollows.close()
