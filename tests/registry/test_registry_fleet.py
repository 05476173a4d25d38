"""The fleet's calls against real instances of the list service: shares, leases, service time, routes."""

from __future__ import annotations

import http.client
import signal
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.support.registry_processes import Registry, ask, until

TTL_MS, BOUND_MS = 3_000, 200  # a term longer than a busy machine holds a renewal up
TABLE = '[[class.default.group]]\nmodel = "m1"\nweight = 3.0\n[[class.default.group]]\nweight = 1.0\n'


class Fleet(Registry):
    """Three instances whose clocks stand apart, each of them by 2 s from the next."""

    def config(self, index: int) -> Path:
        path = super().config(index)
        members = f"[members]\nttl_ms = {TTL_MS}\nclock_bound_ms = {BOUND_MS}\nclock_offset_ms = "
        path.write_text(path.read_text() + members + f"{2_000 * (index - 1)}\n")
        return path

    def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Say it to the live instances in turn until one does it."""

        def done() -> tuple[int, Any] | None:
            for index in self.live():
                status, _, answer = ask(self.http[index], method, f"/fleet/{path}", body)
                if status != 503:
                    return status, answer
            return None

        return until(done, what=f"{method} {path}")  # type: ignore[no-any-return]


class Member:
    """A process as the service sees it: it enrols and renews, and takes what it is told."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.seq, self.answered = fleet, 0, 0
        self.about = {"name": name, "address": f"127.0.0.1:{9000 + ord(name)}", "zone": "z", "start": name}
        self.told = fleet.call("POST", "enrol", self.about)[1]
        self.service_off = 0.0

    def renew(self) -> dict[str, Any]:
        self.seq += 1
        row = {"incarnation": self.told["incarnation"], "seq": self.seq, "answered": self.answered}
        body = row | {"acked": self.told["rev"], "using": self.told["share"], "sent": None}
        status, told = self.fleet.call("POST", "renew", body)
        assert status == 200, told
        self.told, self.answered = told, self.seq
        self.service_off = told["t3"] - time.monotonic() * 1000.0
        return told  # type: ignore[no-any-return]


class Sampler(threading.Thread):
    """Reads all rows from every live instance, over and over, and keeps what breaks a rule."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(daemon=True)  # a test that fails must not keep the run from ending
        self.fleet, self.stopping, self.broken, self.samples = fleet, threading.Event(), [], 0
        self.lapsed: set[int] = set()
        self.start()

    def run(self) -> None:
        incarnations: dict[str, int] = {}
        while not self.stopping.wait(0.02):
            for index in self.fleet.live():
                try:
                    status, _, page = ask(self.fleet.http[index], "GET", "/fleet/members")
                except OSError:
                    continue
                if status == 200:
                    self.samples += 1
                    self.check(page["members"], incarnations)

    def check(self, rows: list[dict[str, Any]], incarnations: dict[str, int]) -> None:
        if sum(row["share"] for row in rows) > 1.0 + 1e-9:
            self.broken.append(rows)
        newest = {row["name"]: row["incarnation"] for row in rows if row["state"] != "left"}
        if any(number < incarnations.get(name, 0) for name, number in newest.items()):
            self.broken.append(rows)
        incarnations.update(newest)
        self.lapsed |= {row["incarnation"] for row in rows if row["state"] == "lapsed"}

    def stop(self) -> None:
        self.stopping.set()
        self.join(10)
        assert self.samples > 20
        assert not self.broken, self.broken[0]


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    cluster = Fleet(tmp_path)
    yield cluster
    cluster.stop()


def renewing(members: list[Member], check: Callable[[], bool], within_s: float = 30.0) -> None:
    """Renew each in a fifth of the term until the check holds."""

    def step() -> bool:
        for member in members:
            member.renew()
        if check():
            return True
        time.sleep(TTL_MS / 5_000.0)
        return False

    until(step, within_s, "what renewals should bring")


def shares(members: list[Member]) -> list[float]:
    return [round(member.told["share"], 6) for member in members]


def test_shares_leases_and_service_time_outlive_the_leader_and_a_lapsed_share_needs_a_majority(
    fleet: Fleet,
) -> None:
    sampler = Sampler(fleet)
    a, b, c = members = [Member(fleet, name) for name in "abc"]
    third = round(1 / 3, 6)
    renewing(members, lambda: shares(members) == [third] * 3 and all(m.told["elector"] for m in members))
    assert [member.told["incarnation"] for member in members] == [1, 2, 3]
    before, leader = a.service_off, fleet.leader()
    fleet.kill(leader)
    renewing(members, lambda: True)
    assert a.service_off == pytest.approx(before, abs=BOUND_MS)
    time.sleep(TTL_MS / 2_000.0)  # past the terms of before, well within the one that the new leader grants
    renewing(members, lambda: True)
    assert not sampler.lapsed
    assert shares(members) == [third] * 3
    renewing([a, b], lambda: shares([a, b]) == [0.5, 0.5])  # c is silent, and two of three are attached
    assert c.fleet.call("POST", "renew", {"incarnation": 3, "seq": 9, "acked": 0, "using": 0.1})[0] == 404
    renewing([b], lambda: 1 in sampler.lapsed)  # b alone is one of two, and not the oldest
    ended = time.monotonic() + 2.5 * TTL_MS / 1000.0
    renewing([b], lambda: time.monotonic() > ended)
    assert shares([b]) == [0.5]
    assert fleet.call("DELETE", "members/a") == (200, {"removed": [1]})
    renewing([b], lambda: shares([b]) == [1.0])
    again = Member(fleet, "b")  # the same start: the same row
    other = Member(fleet, "a")
    assert (again.told["incarnation"], other.told["incarnation"]) == (2, 4)
    for index in fleet.live():  # all at once: what is in the log and in the clock's file outlives it
        fleet.kill(index)
    for index in range(2):  # enough to lead, and the members have to renew soon
        fleet.start(index)
    renewing([b, other], lambda: True)
    assert b.service_off == pytest.approx(before, abs=BOUND_MS)
    assert b.told["incarnation"] == 2
    sampler.stop()


def test_calls_are_passed_on_checked_and_refused_with_one_line(fleet: Fleet) -> None:
    leader = fleet.leader()
    follower = fleet.http[(leader + 1) % 3]
    agent = fleet.agent()
    until(lambda: ask(agent.port, "GET", "/agent/status")[0] == 200, what="the agent")
    member = Member(fleet, "a")
    sent = member.renew()["t3"]
    row = {"incarnation": 1, "seq": 50, "acked": 1, "using": 1.0, "sent": sent, "answered": 1}
    passed = ask(follower, "POST", "/fleet/renew", row)
    assert passed[0] == 200, passed
    fleet.kill((leader + 1) % 3, signal.SIGSTOP)  # whether or not the agent follows that one
    assert ask(agent.port, "POST", "/fleet/renew", row | {"seq": 51, "sent": None}, timeout=5.0)[0] == 200
    fleet.kill((leader + 1) % 3, signal.SIGCONT)
    agent.stop()
    wrong: list[tuple[str, str, Any, int, str]] = [
        ("POST", "renew", row | {"sent": sent - TTL_MS}, 409, "ago"),
        ("POST", "renew", row | {"incarnation": 77, "sent": None}, 404, "enrol anew"),
        ("POST", "renew", row | {"using": 1.5}, 400, "using"),
        ("POST", "renew", row | {"incarnation": True}, 400, "incarnation"),
        ("POST", "renew", row | {"seq": 2**60}, 400, "seq"),
        ("POST", "renew", [1, 2], 400, "body"),
        ("POST", "enrol", member.about | {"address": "10.0.0.1:1"}, 400, "address"),
        ("POST", "enrol", member.about | {"zone": "x" * 9_000}, 400, "bytes"),
        ("GET", "watch?since=x", None, 400, "since"),
        ("GET", "routes/x", None, 400, "version"),
        ("POST", "no-such-call", {}, 404, "no POST"),
    ]
    for method, path, body, status, said in wrong:
        answer = fleet.call(method, path, body)
        assert (answer[0], said in answer[1]["error"]) == (status, True), (path, body, answer)
    assert fleet.call("GET", "members")[1]["rev"] == 1


def propose(fleet: Fleet, table: str) -> tuple[int, str]:
    connection = http.client.HTTPConnection("127.0.0.1", fleet.http[0], timeout=3)
    try:
        connection.request("PUT", "/fleet/routes", body=table.encode())
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def test_a_route_version_is_voted_on_decided_in_force_rolled_back_and_halted(fleet: Fleet) -> None:
    members = [Member(fleet, name) for name in "ab"]
    renewing(members, lambda: True)
    said = propose(fleet, TABLE.replace("3.0", '"much"'))
    assert (said[0], "class.default.group[0].weight (line 3)" in said[1]) == (400, True), said
    assert propose(fleet, TABLE) == propose(fleet, TABLE)
    assert propose(fleet, TABLE.replace("3.0", "4.0"))[0] == 409
    votes = [{"incarnation": member.told["incarnation"], "number": 1, "yes": True} for member in members]
    assert fleet.call("POST", "routes/vote", votes[0])[1] == {"phase": "preparing"}
    assert fleet.call("POST", "routes/vote", votes[1])[1] == {"phase": "decided"}
    at = members[0].renew()["routes"]["pending"]["at"]
    assert at - members[0].told["t3"] == pytest.approx(TTL_MS + BOUND_MS, abs=500)
    renewing(members, lambda: members[0].told["routes"]["in_force"]["number"] == 1)
    assert members[0].told["t3"] >= at == members[0].told["routes"]["in_force"]["at"]
    assert fleet.call("POST", "routes/rollback", {"number": 0})[1]["number"] == 2
    assert fleet.call("POST", "routes/halt")[1] == {"number": 2, "phase": "aborted"}
    assert fleet.call("GET", "routes")[1]["in_force"]["number"] == 1
