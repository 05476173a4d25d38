"""Groups of one and two node processes with faults between them, and nodes that change their service.

Such a group has no third node that could forward an indirect probe. In each test, `under_load` checks the
quotas of each service, the response to every request, and the recovery from faults.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from tests.support.invariant_sampler import Sample, Status, StatusSampler
from tests.support.node_fleet import TTL_MS, WAIT_LIMIT_S, Fleet
from tests.support.registry_processes import until

ALONE, FIRST, SECOND = 0, 1, 2  # ALONE is the only node of service `pay`; the other two are of `find`
PAIR = (FIRST, SECOND)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    nodes = Fleet(tmp_path_factory.mktemp("small"), size=3, services=("pay", "find", "find"))
    yield nodes
    nodes.close()


def lease_expired(status: Status) -> bool:
    return bool(status["lease_ms"] == 0.0)


def sibling_verdicts(status: Status) -> set[str]:
    return {sibling["verdict"] for sibling in status["siblings"]}


def has_quota(quota: float) -> Any:
    """Return a check for `Fleet.wait_until_all`."""
    return lambda status: abs(status["share"] - quota) < 1e-6


def quotas(samples: list[Sample]) -> set[float]:
    return {round(sample.quota, 6) for sample in samples}


def member_records(fleet: Fleet, service: str) -> list[dict[str, Any]]:
    records: list[dict[str, Any]] = fleet.call_service("GET", f"members?service={service}")[1]["members"]
    return records


def until_records(fleet: Fleet, service: str, expected: list[tuple[str, str]]) -> None:
    """Wait until the list service has exactly these member records of the service, by name and state."""

    def equal() -> bool:
        return (
            sorted((record["name"], record["state"]) for record in member_records(fleet, service)) == expected
        )

    until(equal, WAIT_LIMIT_S, f"{expected} as the members of {service}")


def older_and_younger(fleet: Fleet) -> tuple[int, int]:
    """Return the two nodes of `find` by rank; in a group of two, the older one wins the tie."""
    rank = {record["name"]: record["rank"] for record in member_records(fleet, "find")}
    older, younger = sorted(PAIR, key=lambda index: rank[f"n{index}"])
    return older, younger


def until_samples(sampler: StatusSampler, count: int) -> None:
    """Wait until there are `count` further samples of every node."""
    before = [len(samples) for samples in sampler.samples]
    until(
        lambda: all(len(now) >= was + count for now, was in zip(sampler.samples, before, strict=True)),
        WAIT_LIMIT_S,
        "samples of all nodes",
    )


def test_small_groups_keep_quotas_detached_and_younger_yields_if_isolated(fleet: Fleet) -> None:
    with fleet.under_load() as sampler:
        older, younger = older_and_younger(fleet)
        fleet.cut_service(ALONE, FIRST, SECOND)
        fleet.wait_until_all("expired leases", lease_expired)
        assert fleet.status(ALONE)["standing"] == fleet.status(older)["standing"] == "holding"
        until_samples(sampler, 20)
        for index, quota in ((ALONE, 1.0), (FIRST, 0.5), (SECOND, 0.5)):
            assert quotas(sampler.samples[index]) == {quota}
        fleet.net.partition(*((index,) for index in PAIR))
        fleet.wait_until_all("quota yielded by the younger node", has_quota(0.0), younger)
        until_samples(sampler, 20)
        assert quotas(sampler.samples[older]) == {0.5}
        assert quotas(sampler.samples[ALONE]) == {1.0}


def test_pair_with_link_fault_keeps_quotas_while_attached(fleet: Fleet) -> None:
    with fleet.under_load() as sampler:
        fleet.net.partition(*((index,) for index in PAIR))
        fleet.wait_until_all(
            "neither node of the pair present at the other",
            lambda status: "present" not in sibling_verdicts(status),
            *PAIR,
        )
        until_samples(sampler, int(2 * TTL_MS / 30))
        assert [quotas(samples) for samples in sampler.samples] == [{1.0}, {0.5}, {0.5}]


def test_older_of_pair_gets_all_after_death_of_younger_but_not_vice_versa(fleet: Fleet) -> None:
    """Of a pair, only the older node may get the other's quota; the younger one waits for its return."""
    with fleet.under_load() as sampler:
        older, younger = older_and_younger(fleet)
        fleet.kill(younger)
        fleet.wait_until_shared(older)
        fleet.start(younger)
        fleet.wait_until_shared(*PAIR)
        fleet.kill(older)
        until_records(
            fleet, "find", [(f"n{index}", "lapsed" if index == older else "live") for index in PAIR]
        )
        until_samples_of(sampler, younger, 20)
        assert fleet.status(younger)["share"] == 0.5
        before = {record["name"]: record["incarnation"] for record in member_records(fleet, "find")}
        fleet.start(older)
        fleet.wait_until_shared(*PAIR)
        after = {record["name"]: record["incarnation"] for record in member_records(fleet, "find")}
        assert after[f"n{older}"] > max(before.values())
        assert after[f"n{younger}"] == before[f"n{younger}"]


def until_samples_of(sampler: StatusSampler, index: int, count: int) -> None:
    before = len(sampler.samples[index])
    until(lambda: len(sampler.samples[index]) >= before + count, WAIT_LIMIT_S, f"samples of n{index}")


def configure_service(fleet: Fleet, index: int, service: str) -> None:
    """Configure another service for this node, from its next start on."""
    fleet.services[index] = service
    fleet.nodes[index].row["members"]["service"] = service


def test_node_with_new_service_after_restart_changes_group(fleet: Fleet) -> None:
    """The first restart follows a SIGTERM, at which the node leaves its group, the second a SIGKILL."""
    with fleet.under_load():
        older, younger = older_and_younger(fleet)
        first = fleet.status(younger)["incarnation"]
        fleet.terminate(younger)
        until_records(fleet, "find", [(f"n{older}", "live")])
        fleet.wait_until_shared(older)
        configure_service(fleet, younger, "pay")
        fleet.start(younger)
        fleet.wait_until_shared(ALONE, younger)
        second = fleet.status(younger)["incarnation"]
        assert second > first
        fleet.kill(younger)  # without a leave
        configure_service(fleet, younger, "find")
        fleet.start(younger)
        fleet.wait_until_shared(older, younger)
        assert fleet.status(younger)["incarnation"] > second
        fleet.wait_until_shared(ALONE)  # the earlier lease has expired, and n0 is the older of the two


def test_no_record_remains_after_last_node_of_service_changes_service(fleet: Fleet) -> None:
    """The node is killed, and no other member of its group remains to report that. Its own first renewal in
    the other group does."""
    with fleet.under_load():
        first = fleet.status(ALONE)["incarnation"]
        fleet.kill(ALONE)
        configure_service(fleet, ALONE, "find")
        fleet.start(ALONE)
        fleet.wait_until_shared(ALONE, *PAIR)
        until_records(fleet, "pay", [])
        fleet.terminate(ALONE)
        configure_service(fleet, ALONE, "pay")
        fleet.start(ALONE)
        fleet.wait_until_shared(ALONE)
        fleet.wait_until_shared(*PAIR)
        until_records(fleet, "pay", [("n0", "live")])
        until_records(fleet, "find", [("n1", "live"), ("n2", "live")])
        assert fleet.status(ALONE)["incarnation"] > first + 1
