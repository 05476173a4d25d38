"""Fixtures of several test files, and the settings of pytest and Hypothesis."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, settings

from tests.support.node_fleet import Fleet

pytest_plugins = ["tests.known_red"]

# Seeded, so that a run can be repeated. Examples have no time limit, as their duration depends on the load of
# the machine.
settings.register_profile(
    "steady", derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("steady")


@pytest.fixture(scope="session")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """A fleet shared by all tests of a worker; `Fleet.under_load` repairs what an earlier test has broken."""
    nodes = Fleet(tmp_path_factory.mktemp("fleet"))
    yield nodes
    nodes.close()
