"""The upgrade from the first release with a fleet to groups: its journals and responses, and instances and
nodes upgraded one by one. The quotas of each service and of the members without a service must always sum to
at most 1.
"""

from __future__ import annotations

import tarfile
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from typing import Any

import orjson
import pytest
from msgspec import UNSET

from loadbalancer.membership import MemberLease
from loadbalancer.node.control.registry_client import decode_lease_response
from loadbalancer.node.http.service_client import ReceivedResponse
from tests.registry.test_registry_fleet import Member
from tests.support.group_registry import LIMIT_S, GroupRegistry, GroupSampler
from tests.support.hollow_members import HollowMember, HollowMembers, Send
from tests.support.registry_processes import until

DATA = Path(__file__).parents[1] / "data"
TTL_MS = 4_000
ADDED_FIELDS = ("aim", "service", "since", "removed")  # added to responses since the first release


@pytest.fixture
def registry(tmp_path: Path) -> Iterator[GroupRegistry]:
    """Instances without groups, started on the data folders that a test may have prepared."""
    cluster = GroupRegistry(tmp_path, TTL_MS, grouped=())
    yield cluster
    cluster.stop()


# ------------------------------------------------------------------ journal of the first release


@pytest.fixture
def written(tmp_path: Path) -> dict[str, Any]:
    """Extract each instance's data folder as the first release wrote it; return its expected responses."""
    for index in range(3):
        with tarfile.open(DATA / "fleet-of-first-release.tar.xz") as archive:
            archive.extractall(tmp_path / f"data-r{index}", filter="data")
    return orjson.loads((tmp_path / "data-r0" / "expected.json").read_bytes())  # type: ignore[no-any-return]


class RestoredMember(Member):
    """A process of the first release with this record, which renews after the service's restart."""

    def __init__(self, registry: GroupRegistry, entry: dict[str, Any], revision: int) -> None:
        self.fleet, self.seq, self.answered = registry, entry["seq"], entry["seq"]
        self.grant = {"incarnation": entry["incarnation"], "rev": revision, "share": entry["share"]}

    @property
    def quota(self) -> float:
        return float(self.grant["share"])


def renew_until_quota(
    members: list[RestoredMember], quota: float, condition: Callable[[], bool] = lambda: True
) -> None:
    """Renew these members until each has this quota and the condition holds."""

    def reached() -> bool:
        for member in members:
            member.renew()
        return all(abs(member.quota - quota) < 1e-6 for member in members) and condition()

    until(reached, LIMIT_S, f"a quota of {quota}")


def test_members_of_first_release_journal_renew_and_migrate_to_groups(
    written: dict[str, Any], registry: GroupRegistry, hollows: HollowMembers
) -> None:
    expected = written["members"]
    restored = registry.call("GET", "members")[1]
    assert [
        {key: entry[key] for key in entry if key != "service"} for entry in restored["members"]
    ] == expected["members"]
    assert {entry["service"] for entry in restored["members"]} == {""}
    assert restored["rev"] == expected["rev"]
    assert restored["log_ms"] >= expected["log_ms"]
    routes = registry.call("GET", "routes")[1]
    assert (routes["in_force"], routes["history"]) == (
        written["routes"]["in_force"],
        written["routes"]["history"],
    )
    sampler = GroupSampler(registry)  # type: ignore[arg-type]
    a, b, c = (RestoredMember(registry, entry, expected["rev"]) for entry in expected["members"][:3])
    quotas = [entry["share"] for entry in expected["members"][:3]]
    assert [member.renew()["share"] for member in (b, c)] == quotas[1:]
    # Its lease had expired, and without a majority its quota stayed reserved.
    assert a.renew()["state"] == "live"
    renew_until_quota([a, b, c], 1 / 3)
    assert all(member.grant["elector"] for member in (a, b, c))
    assert [member.grant["incarnation"] for member in (a, b, c)] == [1, 2, 3]

    registry.grouped = {0, 1, 2}
    registry.restart(0, 1, 2)
    renew_until_quota([a, b, c], 1 / 3)
    migrated: list[HollowMember] = []
    for member, name in ((a, "a"), (b, "b"), (c, "c")):
        assert registry.call("POST", "leave", {"incarnation": member.grant["incarnation"]})[0] == 200
        [new] = hollows.add("pay", 1)
        new.name, new.address = name, f"127.0.0.1:{9000 + ord(name)}"
        hollows.start([new])
        migrated.append(new)
        rest = [a, b, c][len(migrated) :]  # they keep their records, so renewals succeed
        renew_until_quota(rest, 1 / 3, lambda: hollows.holds(have_quota(migrated, 1 / 3)))
    hollows.until_equal_quotas(migrated)
    assert min(member.incarnations[0] for member in migrated) > 4
    hollows.leave(migrated)
    sampler.stop()


# ------------------------------------------------------------------ upgrade one by one


async def as_first_release(
    path: str, body: dict[str, Any], timeout_ms: float, send: Send
) -> ReceivedResponse:
    """Reduce a call and its response to the fields of the first release."""
    reduced = {key: value for key, value in body.items() if key not in ("service", "delta")}
    response = await send(path, reduced, timeout_ms)
    if path not in ("enrol", "renew") or response.status != 200:
        return response
    reduced_response = {
        key: value for key, value in orjson.loads(response.body).items() if key not in ADDED_FIELDS
    }
    return ReceivedResponse(response.status, response.headers, orjson.dumps(reduced_response))


def have_quota(members: list[HollowMember], quota: float) -> Callable[[float], bool]:
    return lambda now: all(abs(member.quota_in_use(now) - quota) < 1e-6 for member in members)


def change_leader(registry: GroupRegistry, *excluded: int) -> None:
    """Kill these instances, which `restart` starts again later, and wait until another one leads."""
    for index in excluded:
        registry.kill(index)
    registry.leader()


def test_quotas_hold_while_instances_and_nodes_are_upgraded_one_by_one(
    registry: GroupRegistry, hollows: HollowMembers
) -> None:
    sampler = GroupSampler(registry)  # type: ignore[arg-type]
    old = hollows.add("", 3)
    for member in old:
        member.registry_link.intercept = as_first_release
    hollows.start(old)
    hollows.until_equal_quotas(old)
    for path in ("services/pay", "members/h0?service=pay"):  # calls that require groups at the leader
        status, body = registry.call("DELETE", path)
        assert (status, body) == (400, {"error": "groups are off at the instance that leads"})

    registry.grouped = {0, 1}  # one of these leads once instance 2 is killed
    registry.restart(0, 1)
    change_leader(registry, 2)
    new = hollows.add("pay", 2)
    hollows.start(new)
    hollows.until("equal quotas of old and new members", have_quota(old + new, 1 / 5))
    assert [entry["service"] for entry in registry.records()] == [""] * 3 + ["pay"] * 2

    registry.grouped = set()  # now an instance without groups leads; members stay in their groups
    registry.restart(2, 0)
    change_leader(registry, 1)
    [early] = hollows.add("find", 1)
    hollows.start([early])
    hollows.until("equal quotas of all members", have_quota([*old, *new, early], 1 / 6))
    assert registry.states("find") == {}  # it is in the group without a service, and counts in every group

    registry.grouped = {0, 1, 2}
    registry.restart(1, 0, 2)
    assert [member.lease_losses for member in (*old, *new, early)] == [0] * 6
    hollows.run(early.leave())
    hollows.start([early])
    hollows.until("a group of `find`", lambda now: is_enrolled(registry, "find", early))
    for member in old:
        hollows.run(member.leave())
        member.service, member.registry_link.intercept = "pay", None
        hollows.start([member])
        new.append(member)
        hollows.until("enrolled", lambda now, member=member: member.enrolled)
    hollows.until_equal_quotas(new)
    hollows.until_equal_quotas([early])
    assert [member.lease_losses for member in (*new, early)] == [0] * 6
    hollows.leave([*new, early])
    sampler.stop()


def is_enrolled(registry: GroupRegistry, service: str, member: HollowMember) -> bool:
    return member.name in registry.states(service)


# ------------------------------------------------------------------ new node, old list service


def test_node_with_service_works_with_responses_of_first_release() -> None:
    """Those contain complete lists, but no target quota, service or delta."""
    calls = orjson.loads((DATA / "answers-of-first-release.json").read_bytes())
    core, now = MemberLease("h0", "127.0.0.1:10000", "z", "h0-1", Random(1), "pay"), 0.0
    for recorded in calls:
        now = max(now, core.next_call_at())
        call = core.tick(now, recorded["body"].get("sent"))
        assert call is not None
        assert (call.path, call.body | {"sent": None}) == (
            recorded["path"],
            {"sent": None} | recorded["body"] | {"sent": None},
        )
        if recorded["status"] != 200:
            core.on_failure(now, call.number)
            continue
        response = decode_lease_response(orjson.dumps(recorded["answer"]))
        assert (response.target_quota, response.since_revision, response.service) == (UNSET, UNSET, "")
        assert core.on_grant(now + 1.0, call.number, response, response.ttl_ms)
    assert (core.incarnation, core.revision, core.elector) == (1, 3, True)
    assert [member.name for member in core.members] == ["h0", "h1", "h2"]
    assert core.quota_in_force(now + 2.0) == pytest.approx(1 / 3)
    assert core.next_call_at() == pytest.approx(now + 1.0 + 0.2 * core.ttl_ms)  # the normal renewal period
