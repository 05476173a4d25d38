"""Groups of one and of two, as node processes with faults between them, and a node whose service changes at a
restart. There is no third node that could bridge.

The quotas of each service, every request's answer and the recovery from the faults are checked by
`under_load` in each.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from tests.support.invariant_sampler import Sample, Status, StatusSampler
from tests.support.node_fleet import TTL_MS, WAIT_LIMIT_S, Fleet
from tests.support.registry_processes import until

ALONE, FIRST, SECOND = 0, 1, 2  # the only node in front of `pay`, and two in front of `find`
PAIR = (FIRST, SECOND)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    nodes = Fleet(tmp_path_factory.mktemp("small"), size=3, services=("pay", "find", "find"))
    yield nodes
    nodes.close()


def lease_ended(status: Status) -> bool:
    return bool(status["lease_ms"] == 0.0)


def verdict_on_others(status: Status) -> set[str]:
    return {row["verdict"] for row in status["siblings"]}


def takes(share: float) -> Any:
    return lambda status: abs(status["share"] - share) < 1e-6


def shares(samples: list[Sample]) -> set[float]:
    return {round(sample.share, 6) for sample in samples}


def rows(fleet: Fleet, service: str) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = fleet.service("GET", f"members?service={service}")[1]["members"]
    return found


def until_rows(fleet: Fleet, service: str, wanted: list[tuple[str, str]]) -> None:
    """Until the log has just these rows of the service, by name and state."""

    def there() -> bool:
        return sorted((row["name"], row["state"]) for row in rows(fleet, service)) == wanted

    until(there, WAIT_LIMIT_S, f"{wanted} in front of {service}")


def older_and_younger(fleet: Fleet) -> tuple[int, int]:
    """The two nodes by rank: of two, the older one wins the tie."""
    rank = {row["name"]: row["rank"] for row in rows(fleet, "find")}
    older, younger = sorted(PAIR, key=lambda at: rank[f"n{at}"])
    return older, younger


def until_samples(watch: StatusSampler, count: int) -> None:
    """Until every node has been read so often again."""
    before = [len(samples) for samples in watch.samples]
    until(
        lambda: all(len(now) >= was + count for now, was in zip(watch.samples, before, strict=True)),
        WAIT_LIMIT_S,
        "samples of all nodes",
    )


def test_one_and_two_keep_serving_without_the_list_service_and_the_older_without_the_other(
    fleet: Fleet,
) -> None:
    with fleet.under_load() as watch:
        older, younger = older_and_younger(fleet)
        fleet.cut_service(ALONE, FIRST, SECOND)
        fleet.wait_until_all("leases at an end", lease_ended)
        assert fleet.status(ALONE)["standing"] == fleet.status(older)["standing"] == "holding"
        until_samples(watch, 20)
        for at, share in ((ALONE, 1.0), (FIRST, 0.5), (SECOND, 0.5)):
            assert shares(watch.samples[at]) == {share}
        fleet.net.partition(*((at,) for at in PAIR))
        fleet.wait_until_all("the younger one's yield", takes(0.0), younger)
        until_samples(watch, 20)
        assert shares(watch.samples[older]) == {0.5}
        assert shares(watch.samples[ALONE]) == {1.0}


def test_two_that_reach_the_list_service_and_not_each_other_keep_their_shares(fleet: Fleet) -> None:
    with fleet.under_load() as watch:
        fleet.net.partition(*((at,) for at in PAIR))
        fleet.wait_until_all(
            "neither hearing the other", lambda status: "present" not in verdict_on_others(status), *PAIR
        )
        until_samples(watch, int(2 * TTL_MS / 30))
        assert [shares(samples) for samples in watch.samples] == [{1.0}, {0.5}, {0.5}]


def test_of_two_the_older_takes_all_once_the_other_has_died_and_the_younger_waits_for_it(
    fleet: Fleet,
) -> None:
    with fleet.under_load() as watch:
        older, younger = older_and_younger(fleet)
        fleet.kill(younger)
        fleet.wait_until_shared(older)
        fleet.start(younger)
        fleet.wait_until_shared(*PAIR)
        fleet.kill(older)
        until_rows(fleet, "find", [(f"n{at}", "lapsed" if at == older else "live") for at in PAIR])
        until_samples_of(watch, younger, 20)
        assert fleet.status(younger)["share"] == 0.5
        before = {row["name"]: row["incarnation"] for row in rows(fleet, "find")}
        fleet.start(older)
        fleet.wait_until_shared(*PAIR)
        after = {row["name"]: row["incarnation"] for row in rows(fleet, "find")}
        assert after[f"n{older}"] > max(before.values())
        assert after[f"n{younger}"] == before[f"n{younger}"]


def until_samples_of(watch: StatusSampler, at: int, count: int) -> None:
    before = len(watch.samples[at])
    until(lambda: len(watch.samples[at]) >= before + count, WAIT_LIMIT_S, f"samples of n{at}")


def rename_service(fleet: Fleet, at: int, service: str) -> None:
    """From its next start on, this node names another service."""
    fleet.services[at] = service
    fleet.nodes[at].row["members"]["service"] = service


def test_a_node_whose_service_changes_at_a_restart_leaves_one_group_and_joins_the_other(
    fleet: Fleet,
) -> None:
    with fleet.under_load():
        older, younger = older_and_younger(fleet)
        first = fleet.status(younger)["incarnation"]
        fleet.terminate(younger)
        until_rows(fleet, "find", [(f"n{older}", "live")])
        fleet.wait_until_shared(older)
        rename_service(fleet, younger, "pay")
        fleet.start(younger)
        fleet.wait_until_shared(ALONE, younger)
        second = fleet.status(younger)["incarnation"]
        assert second > first
        fleet.kill(younger)  # and by no word of its own:
        rename_service(fleet, younger, "find")
        fleet.start(younger)
        fleet.wait_until_shared(older, younger)
        assert fleet.status(younger)["incarnation"] > second
        fleet.wait_until_shared(ALONE)  # the lease of the one before has ended, and n0 is the older of two


def test_the_last_node_of_a_service_leaves_nothing_behind_once_it_runs_under_another(fleet: Fleet) -> None:
    """Killed, and nobody of its group is there to say so: its own first renewal elsewhere does."""
    with fleet.under_load():
        first = fleet.status(ALONE)["incarnation"]
        fleet.kill(ALONE)
        rename_service(fleet, ALONE, "find")
        fleet.start(ALONE)
        fleet.wait_until_shared(ALONE, *PAIR)
        until_rows(fleet, "pay", [])
        fleet.terminate(ALONE)
        rename_service(fleet, ALONE, "pay")
        fleet.start(ALONE)
        fleet.wait_until_shared(ALONE)
        fleet.wait_until_shared(*PAIR)
        until_rows(fleet, "pay", [("n0", "live")])
        until_rows(fleet, "find", [("n1", "live"), ("n2", "live")])
        assert fleet.status(ALONE)["incarnation"] > first + 1
