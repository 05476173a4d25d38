"""The fleet's calls to real instances of the list service: quotas, leases, service time, routes."""

from __future__ import annotations

import http.client
import signal
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.support.registry_processes import Registry, http_request, until

TTL_MS, BOUND_MS = 3_000, 200  # the lease outlasts a delay of renewals on a busy machine
TABLE = '[[class.default.group]]\nmodel = "m1"\nweight = 3.0\n[[class.default.group]]\nweight = 1.0\n'


class Fleet(Registry):
    """Three instances whose clocks differ by 2 s from one to the next."""

    def config(self, index: int) -> Path:
        path = super().config(index)
        members = f"[members]\nttl_ms = {TTL_MS}\nclock_bound_ms = {BOUND_MS}\nclock_offset_ms = "
        path.write_text(path.read_text() + members + f"{2_000 * (index - 1)}\n")
        return path

    def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Call the live instances in turn until one gives a response other than 503."""

        def attempt() -> tuple[int, Any] | None:
            for index in self.live():
                status, _, response = http_request(self.http[index], method, f"/fleet/{path}", body)
                if status != 503:
                    return status, response
            return None

        return until(attempt, condition=f"{method} {path}")  # type: ignore[no-any-return]


class Member:
    """A process as the service sees it: it enrols, renews and uses each grant."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.seq, self.answered = fleet, 0, 0
        self.identity = {"name": name, "address": f"127.0.0.1:{9000 + ord(name)}", "zone": "z", "start": name}
        self.grant = fleet.call("POST", "enrol", self.identity)[1]
        self.service_offset_ms = 0.0

    def renew(self) -> dict[str, Any]:
        self.seq += 1
        lease = {"incarnation": self.grant["incarnation"], "seq": self.seq, "answered": self.answered}
        body = lease | {"acked": self.grant["rev"], "using": self.grant["share"], "sent": None}
        status, grant = self.fleet.call("POST", "renew", body)
        assert status == 200, grant
        self.grant, self.answered = grant, self.seq
        self.service_offset_ms = grant["t3"] - time.monotonic() * 1000.0
        return grant  # type: ignore[no-any-return]


class Sampler(threading.Thread):
    """Repeatedly reads all member records from every live instance and records violations of the rules."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(daemon=True)  # so that a failing test doesn't block the end of the run
        self.fleet, self.stopping, self.violations, self.samples = fleet, threading.Event(), [], 0
        self.expired: set[int] = set()
        self.start()

    def run(self) -> None:
        incarnations: dict[str, int] = {}
        while not self.stopping.wait(0.02):
            for index in self.fleet.live():
                try:
                    status, _, page = http_request(self.fleet.http[index], "GET", "/fleet/members")
                except OSError:
                    continue
                if status == 200:
                    self.samples += 1
                    self.check(page["members"], incarnations)

    def check(self, members: list[dict[str, Any]], incarnations: dict[str, int]) -> None:
        if sum(member["share"] for member in members) > 1.0 + 1e-9:
            self.violations.append(members)
        newest = {member["name"]: member["incarnation"] for member in members if member["state"] != "left"}
        if any(number < incarnations.get(name, 0) for name, number in newest.items()):
            self.violations.append(members)
        incarnations.update(newest)
        self.expired |= {member["incarnation"] for member in members if member["state"] == "lapsed"}

    def stop(self) -> None:
        self.stopping.set()
        self.join(10)
        assert self.samples > 20
        assert not self.violations, self.violations[0]


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    cluster = Fleet(tmp_path)
    yield cluster
    cluster.stop()


def renew_until(members: list[Member], check: Callable[[], bool], within_s: float = 30.0) -> None:
    """Renew the members' leases every fifth of the lease term until check() is true."""

    def step() -> bool:
        for member in members:
            member.renew()
        if check():
            return True
        time.sleep(TTL_MS / 5_000.0)
        return False

    until(step, within_s, "the expected state after renewals")


def quotas(members: list[Member]) -> list[float]:
    return [round(member.grant["share"], 6) for member in members]


def test_fleet_state_outlives_leader_and_expired_quota_needs_majority(
    fleet: Fleet,
) -> None:
    sampler = Sampler(fleet)
    a, b, c = members = [Member(fleet, name) for name in "abc"]
    third = round(1 / 3, 6)
    renew_until(
        members, lambda: quotas(members) == [third] * 3 and all(member.grant["elector"] for member in members)
    )
    assert [member.grant["incarnation"] for member in members] == [1, 2, 3]
    before, leader = a.service_offset_ms, fleet.leader()
    fleet.kill(leader)
    renew_until(members, lambda: True)
    assert a.service_offset_ms == pytest.approx(before, abs=BOUND_MS)
    time.sleep(TTL_MS / 2_000.0)  # past the end of the old leader's leases, not of the new leader's
    renew_until(members, lambda: True)
    assert not sampler.expired
    assert quotas(members) == [third] * 3
    # c sends nothing. The attached electors a and b are a majority, so they get c's quota.
    renew_until([a, b], lambda: quotas([a, b]) == [0.5, 0.5])
    assert c.fleet.call("POST", "renew", {"incarnation": 3, "seq": 9, "acked": 0, "using": 0.1})[0] == 404
    # b is one of two electors and not the oldest, so it is no majority and does not get a's quota.
    renew_until([b], lambda: 1 in sampler.expired)
    ended = time.monotonic() + 2.5 * TTL_MS / 1000.0
    renew_until([b], lambda: time.monotonic() > ended)
    assert quotas([b]) == [0.5]
    assert fleet.call("DELETE", "members/a") == (200, {"removed": [1]})
    renew_until([b], lambda: quotas([b]) == [1.0])
    again = Member(fleet, "b")  # the same start id: the same record
    other = Member(fleet, "a")
    assert (again.grant["incarnation"], other.grant["incarnation"]) == (2, 4)
    for index in fleet.live():  # all at once, so only the logs and the clock files remain
        fleet.kill(index)
    for index in range(2):  # a majority; the members have to renew soon
        fleet.start(index)
    renew_until([b, other], lambda: True)
    assert b.service_offset_ms == pytest.approx(before, abs=BOUND_MS)
    assert b.grant["incarnation"] == 2
    sampler.stop()


def test_calls_are_forwarded_and_invalid_calls_rejected_with_reason(fleet: Fleet) -> None:
    leader = fleet.leader()
    follower = fleet.http[(leader + 1) % 3]
    agent = fleet.agent()
    until(lambda: http_request(agent.port, "GET", "/agent/status")[0] == 200, condition="the agent")
    member = Member(fleet, "a")
    sent = member.renew()["t3"]
    renewal = {"incarnation": 1, "seq": 50, "acked": 1, "using": 1.0, "sent": sent, "answered": 1}
    forwarded = http_request(follower, "POST", "/fleet/renew", renewal)
    assert forwarded[0] == 200, forwarded
    fleet.kill((leader + 1) % 3, signal.SIGSTOP)  # paused, whether or not the agent follows it
    assert (
        http_request(agent.port, "POST", "/fleet/renew", renewal | {"seq": 51, "sent": None}, timeout=5.0)[0]
        == 200
    )
    fleet.kill((leader + 1) % 3, signal.SIGCONT)
    agent.stop()
    invalid: list[tuple[str, str, Any, int, str]] = [
        ("POST", "renew", renewal | {"sent": sent - TTL_MS}, 409, "ago"),
        ("POST", "renew", renewal | {"incarnation": 77, "sent": None}, 404, "enrol anew"),
        ("POST", "renew", renewal | {"using": 1.5}, 400, "using"),
        ("POST", "renew", renewal | {"incarnation": True}, 400, "incarnation"),
        ("POST", "renew", renewal | {"seq": 2**60}, 400, "seq"),
        ("POST", "renew", [1, 2], 400, "body"),
        ("POST", "enrol", member.identity | {"address": "10.0.0.1:1"}, 400, "address"),
        ("POST", "enrol", member.identity | {"zone": "x" * 9_000}, 400, "bytes"),
        ("GET", "watch?since=x", None, 400, "since"),
        ("GET", "routes/x", None, 400, "version"),
        ("POST", "no-such-call", {}, 404, "no POST"),
    ]
    for method, path, body, status, reason in invalid:
        response = fleet.call(method, path, body)
        assert (response[0], reason in response[1]["error"]) == (status, True), (path, body, response)
    assert fleet.call("GET", "members")[1]["rev"] == 1


def propose(fleet: Fleet, table: str) -> tuple[int, str]:
    connection = http.client.HTTPConnection("127.0.0.1", fleet.http[0], timeout=3)
    try:
        connection.request("PUT", "/fleet/routes", body=table.encode())
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def test_route_version_is_prepared_activated_rolled_back_and_halted(fleet: Fleet) -> None:
    members = [Member(fleet, name) for name in "ab"]
    renew_until(members, lambda: True)
    rejection = propose(fleet, TABLE.replace("3.0", '"much"'))
    assert (rejection[0], "class.default.group[0].weight (line 3)" in rejection[1]) == (400, True), rejection
    assert propose(fleet, TABLE) == propose(fleet, TABLE)
    assert propose(fleet, TABLE.replace("3.0", "4.0"))[0] == 409
    votes = [{"incarnation": member.grant["incarnation"], "number": 1, "yes": True} for member in members]
    assert fleet.call("POST", "routes/vote", votes[0])[1] == {"phase": "preparing"}
    assert fleet.call("POST", "routes/vote", votes[1])[1] == {"phase": "decided"}
    at = members[0].renew()["routes"]["pending"]["at"]
    assert at - members[0].grant["t3"] == pytest.approx(TTL_MS + BOUND_MS, abs=500)
    renew_until(members, lambda: members[0].grant["routes"]["in_force"]["number"] == 1)
    assert members[0].grant["t3"] >= at == members[0].grant["routes"]["in_force"]["at"]
    assert fleet.call("POST", "routes/rollback", {"number": 0})[1]["number"] == 2
    assert fleet.call("POST", "routes/halt")[1] == {"number": 2, "phase": "aborted"}
    assert fleet.call("GET", "routes")[1]["in_force"]["number"] == 1
