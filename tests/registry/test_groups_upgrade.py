"""From the first release with a fleet to groups: its journals and answers, instances and nodes upgraded one
by one. Shares of each service sum to at most 1 throughout, members that name none counted in all."""

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
from loadbalancer.node.http.service_http import ReceivedResponse
from tests.registry.test_registry_fleet import Member
from tests.support.group_registry import LIMIT_S, GroupRegistry, GroupSampler
from tests.support.hollow_members import Hollow, Hollows, Post
from tests.support.registry_processes import until

DATA = Path(__file__).parents[1] / "data"
TTL_MS = 4_000
ADDED = ("aim", "service", "since", "removed")  # to an answer, since the first release


@pytest.fixture
def hollows(registry: GroupRegistry) -> Iterator[Hollows]:
    members = Hollows(registry)
    yield members
    try:
        members.check()
    finally:
        members.close()


@pytest.fixture
def registry(tmp_path: Path) -> Iterator[GroupRegistry]:
    """Without groups, on the data folders that a test may have put there."""
    cluster = GroupRegistry(tmp_path, TTL_MS, grouped=())
    yield cluster
    cluster.stop()


# ------------------------------------------------------------------ an old journal


@pytest.fixture
def written(tmp_path: Path) -> dict[str, Any]:
    """Each instance's data folder as the first release wrote it; what it had answered."""
    for index in range(3):
        with tarfile.open(DATA / "fleet-of-first-release.tar.xz") as archive:
            archive.extractall(tmp_path / f"data-r{index}", filter="data")
    return orjson.loads((tmp_path / "data-r0" / "expected.json").read_bytes())  # type: ignore[no-any-return]


class Enrolled(Member):
    """A process of the first release that has this row, as it would go on after the service's restart."""

    def __init__(self, registry: GroupRegistry, row: dict[str, Any], revision: int) -> None:
        self.fleet, self.seq, self.answered = registry, row["seq"], row["seq"]
        self.told = {"incarnation": row["incarnation"], "rev": revision, "share": row["share"]}

    @property
    def share(self) -> float:
        return float(self.told["share"])


def renew_until_shared(
    members: list[Enrolled], share: float, also: Callable[[], bool] = lambda: True
) -> None:
    """Renew these until each is told this share and the other condition holds."""

    def shared() -> bool:
        for member in members:
            member.renew()
        return all(abs(member.share - share) < 1e-6 for member in members) and also()

    until(shared, LIMIT_S, f"a share of {share}")


def test_a_journal_of_the_first_release_is_read_and_its_members_go_on_and_move_into_groups(
    written: dict[str, Any], registry: GroupRegistry, hollows: Hollows
) -> None:
    there = written["members"]
    restored = registry.call("GET", "members")[1]
    assert [{key: row[key] for key in row if key != "service"} for row in restored["members"]] == there[
        "members"
    ]
    assert {row["service"] for row in restored["members"]} == {""}
    assert restored["rev"] == there["rev"]
    assert restored["log_ms"] >= there["log_ms"]
    routes = registry.call("GET", "routes")[1]
    assert (routes["in_force"], routes["history"]) == (
        written["routes"]["in_force"],
        written["routes"]["history"],
    )
    sampler = GroupSampler(registry)  # type: ignore[arg-type]
    a, b, c = (Enrolled(registry, row, there["rev"]) for row in there["members"][:3])
    shares = [row["share"] for row in there["members"][:3]]
    assert [member.renew()["share"] for member in (b, c)] == shares[1:]
    assert a.renew()["state"] == "live"  # it had lapsed, and there was no majority to give its share away
    renew_until_shared([a, b, c], 1 / 3)
    assert all(member.told["elector"] for member in (a, b, c))
    assert [member.told["incarnation"] for member in (a, b, c)] == [1, 2, 3]

    registry.grouped = {0, 1, 2}
    registry.restart(0, 1, 2)
    renew_until_shared([a, b, c], 1 / 3)
    moved: list[Hollow] = []
    for member, name in ((a, "a"), (b, "b"), (c, "c")):
        assert registry.call("POST", "leave", {"incarnation": member.told["incarnation"]})[0] == 200
        [new] = hollows.add("pay", 1)
        new.name, new.address = name, f"127.0.0.1:{9000 + ord(name)}"
        hollows.start([new])
        moved.append(new)
        rest = [a, b, c][len(moved) :]  # none of them has lost its row: it renews and is told its share
        renew_until_shared(rest, 1 / 3, lambda: hollows.holds(takes(moved, 1 / 3)))
    hollows.until_shared(moved)
    assert min(one.incarnations[0] for one in moved) > 4
    hollows.leave(moved)
    sampler.stop()


# ------------------------------------------------------------------ one by one


async def as_first_release(
    path: str, body: dict[str, Any], timeout_ms: float, through: Post
) -> ReceivedResponse:
    """A call as a node of the first release makes it, and its answer as that understands it."""
    said = {key: value for key, value in body.items() if key not in ("service", "delta")}
    reply = await through(path, said, timeout_ms)
    if path not in ("enrol", "renew") or reply.status != 200:
        return reply
    told = {key: value for key, value in orjson.loads(reply.body).items() if key not in ADDED}
    return ReceivedResponse(reply.status, reply.headers, orjson.dumps(told))


def takes(members: list[Hollow], share: float) -> Callable[[float], bool]:
    return lambda now: all(abs(member.taking(now) - share) < 1e-6 for member in members)


def lead_with(registry: GroupRegistry, *away: int) -> None:
    """Let an instance that is not one of these lead: they are killed, until `restart` starts them again."""
    for index in away:
        registry.kill(index)
    registry.leader()


def test_instances_and_then_nodes_are_upgraded_one_by_one(registry: GroupRegistry, hollows: Hollows) -> None:
    sampler = GroupSampler(registry)  # type: ignore[arg-type]
    old = hollows.add("", 3)
    for member in old:
        member.line.on_post = as_first_release
    hollows.start(old)
    hollows.until_shared(old)
    for path in ("services/pay", "members/h0?service=pay"):  # not as long as an instance may know no groups
        status, said = registry.call("DELETE", path)
        assert (status, said) == (400, {"error": "groups are off at the instance that leads"})

    registry.grouped = {0, 1}  # after this, one of them leads:
    registry.restart(0, 1)
    lead_with(registry, 2)
    new = hollows.add("pay", 2)
    hollows.start(new)
    hollows.until("old and new sharing", takes(old + new, 1 / 5))
    assert [row["service"] for row in registry.records()] == [""] * 3 + ["pay"] * 2

    registry.grouped = set()  # and now one without: what is in a group stays there
    registry.restart(2, 0)
    lead_with(registry, 1)
    [early] = hollows.add("find", 1)
    hollows.start([early])
    hollows.until("all sharing", takes([*old, *new, early], 1 / 6))
    assert registry.states("find") == {}  # it is among those that name no service, and counts everywhere

    registry.grouped = {0, 1, 2}
    registry.restart(1, 0, 2)
    assert [member.gone for member in (*old, *new, early)] == [0] * 6
    hollows.run(early.leave())
    hollows.start([early])
    hollows.until("find has a group", lambda now: registry_has(registry, "find", early))
    for member in old:
        hollows.run(member.leave())
        member.service, member.line.on_post = "pay", None
        hollows.start([member])
        new.append(member)
        hollows.until("enrolled", lambda now, one=member: one.enrolled)
    hollows.until_shared(new)
    hollows.until_shared([early])
    assert [member.gone for member in (*new, early)] == [0] * 6
    hollows.leave([*new, early])
    sampler.stop()


def registry_has(registry: GroupRegistry, service: str, member: Hollow) -> bool:
    return member.name in registry.states(service)


# ------------------------------------------------------------------ a new node at an old service


def test_a_node_that_names_a_service_goes_by_the_answers_of_the_first_release() -> None:
    """It acknowledges, shares and knows its siblings by whole lists, with no aim, group or changes told."""
    calls = orjson.loads((DATA / "answers-of-first-release.json").read_bytes())
    core, now = MemberLease("h0", "127.0.0.1:10000", "z", "h0-1", Random(1), "pay"), 0.0
    for made in calls:
        now = max(now, core.next_call_at())
        call = core.tick(now, made["body"].get("sent"))
        assert call is not None
        assert (call.path, call.body | {"sent": None}) == (
            made["path"],
            {"sent": None} | made["body"] | {"sent": None},
        )
        if made["status"] != 200:
            core.on_failure(now, call.number)
            continue
        answer = decode_lease_response(orjson.dumps(made["answer"]))
        assert (answer.target_quota, answer.since_revision, answer.service) == (UNSET, UNSET, "")
        assert core.on_grant(now + 1.0, call.number, answer, answer.ttl_ms)
    assert (core.incarnation, core.revision, core.elector) == (1, 3, True)
    assert [member.name for member in core.members] == ["h0", "h1", "h2"]
    assert core.quota_in_force(now + 2.0) == pytest.approx(1 / 3)
    assert core.next_call_at() == pytest.approx(now + 1.0 + 0.2 * core.ttl_ms)  # it is settled: no hurry
