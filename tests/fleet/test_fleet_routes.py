"""Activation of route versions in a fleet of processes while processes end and links break.

In each test, `under_load` checks that no two nodes followed different versions, except for the clock bound
around T, the time of the switch.
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
    """Wait until the version is decided; return T in service time (ms)."""

    def decided() -> float | None:
        pending = fleet.routes()["pending"]
        return pending["at"] if pending and pending["number"] == number else None

    return float(until(decided, WAIT_LIMIT_S, f"version {number} decided"))


def until_voted(fleet: Fleet, number: int, votes: int) -> None:
    """Wait until so many nodes have accepted the version."""

    def voted() -> bool:
        pending = fleet.routes()["pending"]
        assert pending["number"] == number
        return len(pending["yes"]) == votes

    until(voted, WAIT_LIMIT_S, f"{votes} votes for {number}")


def until_followed(fleet: Fleet, number: int, *chosen: int) -> None:
    fleet.wait_until_all(f"version {number} followed", Fleet.following(number), *chosen)


def block_vote(fleet: Fleet, index: int) -> Hold:
    """Block the node's next votes on their way to the list service."""
    return fleet.agent_proxies[index].hold("/routes/vote")


def until_blocked(hold: Hold) -> None:
    assert hold.reached.wait(WAIT_LIMIT_S), "no call was blocked"


def until_reads_reach(fleet: Fleet, server: str) -> None:
    """Wait until 20 or more reads, sent one after another, have all gone to this server only."""
    outcomes = fleet.loads[0].outcomes

    def reached() -> bool:
        start = time.monotonic()

        def sent() -> list[str]:
            return [
                name
                for name, outcome in outcomes.copy().items()
                if outcome.sent_s > start and outcome.status == 200
            ]

        until(lambda: len(sent()) >= 20, WAIT_LIMIT_S, "20 reads")
        reads = sent()
        servers = fleet.pool.servers_reached  # taken last, so that it contains every read in `reads`
        return {uid for name in reads for uid in servers[name]} == {server}

    until(reached, WAIT_LIMIT_S, f"reads at {server} only")


@pytest.mark.parametrize("moment", ["stored, not voted", "voted, not decided", "decided, before T"])
@pytest.mark.parametrize("victim", ["node", "node restarted at once", "leader"])
def test_version_is_activated_although_process_is_killed(fleet: Fleet, moment: str, victim: str) -> None:
    """The victim is killed when node 0 has reached `moment` in the activation."""
    with fleet.under_load():
        voter = {"stored, not voted": 0, "voted, not decided": 1}.get(moment)
        blocked = None if voter is None else block_vote(fleet, voter)
        number = fleet.propose((0.0, 1.0))
        if blocked is None:
            until_decided(fleet, number)
        else:
            until_blocked(blocked)
            until_voted(fleet, number, 4)
        leader = fleet.registry.leader()
        if victim == "leader":
            fleet.registry.kill(leader)
        else:
            fleet.kill(0)
        if blocked is not None:
            blocked.release()
        if victim == "node restarted at once":
            fleet.start(0)
        until_followed(fleet, number, *(ALL[1:] if victim == "node" else ALL))
        if victim == "node":
            fleet.start(0)
            until_followed(fleet, number, 0)
        else:
            until_reads_reach(fleet, "s1")
        assert fleet.phase(number) == "in force"


@pytest.mark.parametrize("healed_ms", [-1.0, 600.0])
def test_node_partitioned_before_decision_follows_no_other_version(fleet: Fleet, healed_ms: float) -> None:
    """Node 4 loses the list service before the decision and regains it `healed_ms` after T (negative: before
    T). Node 3 loses it between the decision and T."""
    with fleet.under_load() as sampler:
        blocked = block_vote(fleet, 0)
        number = fleet.propose()
        until_blocked(blocked)
        until_voted(fleet, number, 4)
        fleet.net.partition((0, 1, 2), (3, 4))
        fleet.cut_service(4)
        blocked.release()
        switch_ms = until_decided(fleet, number)
        wait_until(fleet, switch_ms - 200.0)
        notified = fleet.status(3)["routes"]["at"] == switch_ms
        fleet.cut_service(3)  # if it knows T it switches by itself, as its lease expires only after T
        wait_until(fleet, switch_ms + healed_ms)
        fleet.agent_proxies[4].heal()
        fleet.net.heal()
        until_followed(fleet, number, 0, 1, 2, 4)
        fleet.wait_until_all("expired lease of n3", lambda status: status["routes"]["stand"] == "detached", 3)
        assert not notified or number in {sample.followed_version[2] for sample in sampler.since(0.0, 3)}
        assert {sample.followed_version[1:] for sample in sampler.since(0.0, 4)} >= {
            ("following", number),
            ("detached", 0),
        }


def wait_until(fleet: Fleet, service_ms: float) -> None:
    """Sleep until this service time, as estimated by node 0."""
    requested_s = time.monotonic()
    low, high = fleet.status(0)["service_ms"]
    middle_s = (requested_s + time.monotonic()) / 2
    time.sleep(max(0.0, middle_s + (service_ms - (low + high) / 2) / 1000.0 - time.monotonic()))


def test_one_of_two_concurrent_proposals_is_accepted_and_bad_ones_rejected(fleet: Fleet) -> None:
    """The votes reject a table for a model without servers; the list service rejects a malformed table."""
    with fleet.under_load() as sampler:
        texts = [fleet.route_table(), fleet.route_table()]
        with ThreadPoolExecutor(4) as pool:
            responses = list(
                pool.map(lambda text: fleet.call_service("PUT", "routes", text), [*texts, *texts])
            )
        accepted = {proposal["number"] for status, proposal in responses if status == 200}
        assert len(accepted) == 1
        assert sorted(status for status, _ in responses) == [200, 200, 409, 409]
        (number,) = accepted
        until_followed(fleet, number)
        start = time.monotonic()
        status, proposal = fleet.call_service(
            "PUT", "routes", b'[[class.read.group]]\nmodel = "m9"\nweight = 1.0\n'
        )
        assert status == 200
        until(lambda: fleet.phase(proposal["number"]) == "aborted", WAIT_LIMIT_S, "an aborted proposal")
        reason = {version["number"]: version["why"] for version in fleet.routes()["history"]}[
            proposal["number"]
        ]
        assert "no ready server of model m9" in reason
        fleet.wait_until_stable()
        assert {sample.followed_version[2] for sample in sampler.since(start)} == {number}
        status, rejection = fleet.call_service(
            "PUT", "routes", b'[[class.read.group]]\nmodel = "m9"\nweight = -1.0\n'
        )
        assert (status, "line 3" in rejection["error"]) == (400, True)


def test_halt_aborts_only_undecided_version_and_rollback_restores_earlier_one(fleet: Fleet) -> None:
    """The halts come before the votes are complete and at random times around the decision."""
    rng = random.Random(18)
    with fleet.under_load() as sampler:
        first = fleet.propose((0.0, 1.0))
        until_followed(fleet, first)
        for pause_s in (None, 0.0, *(rng.uniform(0.03, 0.3) for _ in range(3))):
            blocked = block_vote(fleet, 1) if pause_s is None else None
            start = time.monotonic()
            number = fleet.propose()
            if blocked is not None:
                until_blocked(blocked)
            time.sleep(pause_s or 0.0)
            status, response = fleet.nodes[2].call_admin("/routes/halt", "PUT", str(number).encode())
            assert status == 200
            if blocked is not None:
                assert response["phase"] == "aborted"
                blocked.release()
            until(lambda: fleet.routes()["pending"] is None, WAIT_LIMIT_S, "no pending route activation")
            if response["phase"] == "aborted":
                assert fleet.phase(number) == "aborted"
                assert number not in {sample.followed_version[2] for sample in sampler.since(start)}
            else:
                assert response["phase"] == "decided"
                until_followed(fleet, number)
        late = fleet.propose()
        until_decided(fleet, late)
        assert fleet.nodes[2].call_admin("/routes/halt", "PUT")[1]["phase"] == "decided"
        until_followed(fleet, late)
        status, response = fleet.nodes[3].call_admin("/routes/rollback", "PUT", str(first).encode())
        assert (status, response["number"]) == (200, late + 1)
        until_followed(fleet, late + 1)
        until_reads_reach(fleet, "s1")
