"""What tests of several files share, and the settings of all."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, settings

from tests.support.node_fleet import Fleet

pytest_plugins = ["tests.known_red"]

# Seeded, so that a run can be had again; and no limit on the time an example takes, which on a busy machine
# is the machine's.
settings.register_profile(
    "steady", derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("steady")


@pytest.fixture(scope="session")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """One for all tests of a worker: each begins with `watched`, which mends what is broken."""
    nodes = Fleet(tmp_path_factory.mktemp("fleet"))
    yield nodes
    nodes.close()
