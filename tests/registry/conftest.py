"""Fixtures of the tests of members in groups; each test file has its own `registry`."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.support.group_registry import GroupRegistry
from tests.support.hollow_members import HollowMembers


@pytest.fixture
def hollows(registry: GroupRegistry) -> Iterator[HollowMembers]:
    """Simulated members. Each test ends its own, so that no group with a live lease remains."""
    members = HollowMembers(registry)
    yield members
    try:
        members.check()
    finally:
        members.close()
