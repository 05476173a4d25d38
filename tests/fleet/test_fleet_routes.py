"""Route versions over a fleet of processes: prepared, decided and switched while some end and links break.

`under_load` checks in each that no two nodes followed different versions but for the clock bound around T.
"""

from __future__ import annotations

import random
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.support.faults import Hold
from tests.support.node_fleet import WAIT_LIMIT_S, Fleet
from tests.support.registry_processes import until

ALL = (0, 1, 2, 3, 4)


def until_decided(fleet: Fleet, number: int) -> float:
    """T, in service time."""

    def decided() -> float | None:
        pending = fleet.routes()["pending"]
        return pending["at"] if pending and pending["number"] == number else None

    return float(until(decided, WAIT_LIMIT_S, f"version {number} decided"))


def until_voted(fleet: Fleet, number: int, votes: int) -> None:
    def voted() -> bool:
        pending = fleet.routes()["pending"]
        assert pending["number"] == number
        return len(pending["yes"]) == votes

    until(voted, WAIT_LIMIT_S, f"{votes} votes for {number}")


def until_followed(fleet: Fleet, number: int, *chosen: int) -> None:
    fleet.wait_until_all(f"version {number} followed", Fleet.following(number), *chosen)


def held_vote(fleet: Fleet, at: int) -> Hold:
    return fleet.posts[at].hold("/routes/vote")


def wait_for(hold: Hold) -> None:
    assert hold.reached.wait(WAIT_LIMIT_S), "no call came to be held"


def until_reads_reach(fleet: Fleet, server: str) -> None:
    """Until 20 reads in a row, by the time they were sent, went to this server alone."""
    outcomes = fleet.loads[0].outcomes

    def reached() -> bool:
        start = time.monotonic()

        def sent() -> list[str]:
            return [name for name, one in outcomes.copy().items() if one.sent_s > start and one.status == 200]

        until(lambda: len(sent()) >= 20, WAIT_LIMIT_S, "20 reads")
        reads = sent()
        servers = fleet.pool.servers_reached  # asked for last: a read may come in between
        return {uid for name in reads for uid in servers[name]} == {server}

    until(reached, WAIT_LIMIT_S, f"reads at {server} alone")


@pytest.mark.parametrize("moment", ["stored, not voted", "voted, not decided", "decided, before T"])
@pytest.mark.parametrize("victim", ["node", "node that comes back at once", "leader"])
def test_a_version_is_switched_to_by_all_though_a_process_ends_on_the_way(
    fleet: Fleet, moment: str, victim: str
) -> None:
    with fleet.under_load():
        holder = {"stored, not voted": 0, "voted, not decided": 1}.get(moment)
        held = None if holder is None else held_vote(fleet, holder)
        number = fleet.propose((0.0, 1.0))
        if held is None:
            until_decided(fleet, number)
        else:
            wait_for(held)
            until_voted(fleet, number, 4)
        leader = fleet.registry.leader()
        if victim == "leader":
            fleet.registry.kill(leader)
        else:
            fleet.kill(0)
        if held is not None:
            held.release()
        if victim == "node that comes back at once":
            fleet.start(0)
        until_followed(fleet, number, *(ALL[1:] if victim == "node" else ALL))
        if victim == "node":
            fleet.start(0)
            until_followed(fleet, number, 0)
        else:
            until_reads_reach(fleet, "s1")
        assert fleet.phase(number) == "in force"


@pytest.mark.parametrize("healed_ms", [-1.0, 600.0])
def test_a_node_cut_off_before_the_decision_and_healed_around_t_follows_no_other_version(
    fleet: Fleet, healed_ms: float
) -> None:
    with fleet.under_load() as watch:
        held = held_vote(fleet, 0)
        number = fleet.propose()
        wait_for(held)
        until_voted(fleet, number, 4)
        fleet.net.cut((0, 1, 2), (3, 4))
        fleet.cut_service(4)
        held.release()
        at = until_decided(fleet, number)
        wait_until(fleet, at - 200.0)
        knew = fleet.status(3)["routes"]["at"] == at
        fleet.cut_service(3)  # it knows, and its lease runs past T: it switches by itself
        wait_until(fleet, at + healed_ms)
        fleet.posts[4].heal()
        fleet.net.heal()
        until_followed(fleet, number, 0, 1, 2, 4)
        fleet.wait_until_all(
            "the lease of n3 at an end", lambda status: status["routes"]["stand"] == "detached", 3
        )
        assert not knew or number in {sample.followed_version[2] for sample in watch.since(0.0, 3)}
        assert {sample.followed_version[1:] for sample in watch.since(0.0, 4)} >= {
            ("following", number),
            ("detached", 0),
        }


def wait_until(fleet: Fleet, service_ms: float) -> None:
    """Sleep until a moment of service time, by what node 0 knows of it."""
    asked = time.monotonic()
    low, high = fleet.status(0)["service_ms"]
    middle = (asked + time.monotonic()) / 2
    time.sleep(max(0.0, middle + (service_ms - (low + high) / 2) / 1000.0 - time.monotonic()))


def test_of_two_proposals_at_once_one_is_taken_and_what_no_list_can_satisfy_is_voted_down(
    fleet: Fleet,
) -> None:
    with fleet.under_load() as watch:
        texts = [fleet.table(), fleet.table()]
        with ThreadPoolExecutor(4) as pool:
            said = list(pool.map(lambda text: fleet.service("PUT", "routes", text), [*texts, *texts]))
        taken = {answer["number"] for status, answer in said if status == 200}
        assert len(taken) == 1
        assert sorted(status for status, _ in said) == [200, 200, 409, 409]
        (number,) = taken
        until_followed(fleet, number)
        start = time.monotonic()
        status, told = fleet.service("PUT", "routes", b'[[class.read.group]]\nmodel = "m9"\nweight = 1.0\n')
        assert status == 200
        until(lambda: fleet.phase(told["number"]) == "aborted", WAIT_LIMIT_S, "voted down")
        last = {row["number"]: row["why"] for row in fleet.routes()["history"]}[told["number"]]
        assert "no ready server of model m9" in last
        fleet.wait_until_stable()
        assert {sample.followed_version[2] for sample in watch.since(start)} == {number}
        status, told = fleet.service("PUT", "routes", b'[[class.read.group]]\nmodel = "m9"\nweight = -1.0\n')
        assert (status, "line 3" in told["error"]) == (400, True)


def test_a_halt_ends_what_is_not_decided_and_nothing_else_and_a_rollback_brings_back(fleet: Fleet) -> None:
    rng = random.Random(18)
    with fleet.under_load() as watch:
        first = fleet.propose((0.0, 1.0))
        until_followed(fleet, first)
        for pause_s in (None, 0.0, *(rng.uniform(0.03, 0.3) for _ in range(3))):
            held = held_vote(fleet, 1) if pause_s is None else None
            start = time.monotonic()
            number = fleet.propose()
            if held is not None:
                wait_for(held)
            time.sleep(pause_s or 0.0)
            status, said = fleet.nodes[2].call_admin("/routes/halt", "PUT", str(number).encode())
            assert status == 200
            if held is not None:
                assert said["phase"] == "aborted"
                held.release()
            until(lambda: fleet.routes()["pending"] is None, WAIT_LIMIT_S, "settled")
            if said["phase"] == "aborted":
                assert fleet.phase(number) == "aborted"
                assert number not in {sample.followed_version[2] for sample in watch.since(start)}
            else:
                assert said["phase"] == "decided"
                until_followed(fleet, number)
        late = fleet.propose()
        until_decided(fleet, late)
        assert fleet.nodes[2].call_admin("/routes/halt", "PUT")[1]["phase"] == "decided"
        until_followed(fleet, late)
        status, said = fleet.nodes[3].call_admin("/routes/rollback", "PUT", str(first).encode())
        assert (status, said["number"]) == (200, late + 1)
        until_followed(fleet, late + 1)
        until_reads_reach(fleet, "s1")
