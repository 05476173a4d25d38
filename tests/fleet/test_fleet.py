"""Nodes that know each other, as processes with faults between them: failure detection, leases and shares.

The sum of quotas, every request's answer and the recovery from faults are checked by `under_load` in each.
"""

from __future__ import annotations

import random
import socket
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest

from loadbalancer.membership.payload import (
    MAX_COUNT,
    MemberStatus,
    MemberUpdate,
    Message,
    QuotaReport,
    QuotaStatus,
    encode,
)
from tests.support.invariant_sampler import MAX_GAP_S, Sample, Status, quota_violations, version_conflicts
from tests.support.node_fleet import TTL_MS, WAIT_LIMIT_S, Fleet
from tests.support.registry_processes import until

Row = tuple[float, float, int]  # when asked, share, version followed


def sampled(*rows: Row) -> list[Sample]:
    return [
        Sample(
            at,
            at + 0.01,
            {"incarnation": 1, "share": share, "routes": {"stand": "following", "version": version}},
        )
        for at, share, version in rows
    ]


def test_the_sampler_finds_a_violation_of_either_invariant_and_tolerates_skew() -> None:
    gives = sampled((0.0, 1.0, 0), (0.03, 1.0, 0), (0.06, 0.5, 1), (0.09, 0.5, 1))
    takes = sampled((0.02, 0.0, 0), (0.05, 0.5, 0), (0.08, 0.5, 1))  # asked after one answer, before the next
    assert quota_violations([gives, takes]) == []
    assert version_conflicts([gives, takes], 0.05) == []
    keeps = sampled(*((0.03 * at, 1.0, 0) for at in range(8)))
    early = sampled((0.0, 0.0, 0), (0.05, 0.5, 1), (0.08, 0.5, 1), (0.2, 0.5, 1))
    assert quota_violations([keeps, early])
    assert version_conflicts([keeps, early], 0.05)
    stopped = sampled((0.0, 1.0, 0), (0.05 + MAX_GAP_S, 1.0, 0))  # it may not have run in between
    assert quota_violations([stopped, sampled(*((0.1 * at, 0.5, 1) for at in range(5)))]) == []


def verdict(status: Status, name: str) -> str | None:
    return next((row["verdict"] for row in status["siblings"] if row["name"] == name), None)


def test_a_node_killed_is_failed_at_all_others_and_comes_back_under_a_new_incarnation(fleet: Fleet) -> None:
    with fleet.under_load():
        before = fleet.status(4)["incarnation"]
        fleet.kill(4)
        fleet.wait_until_all("n4 failed", lambda status: verdict(status, "n4") == "failed", 0, 1, 2, 3)
        fleet.wait_until_shared(0, 1, 2, 3)
        fleet.start(4)
        fleet.wait_until_shared(0, 1, 2, 3, 4)
        assert fleet.status(4)["incarnation"] > before


def test_short_pauses_are_never_failures_and_a_long_one_costs_the_quota_until_it_is_granted_again(
    fleet: Fleet,
) -> None:
    with fleet.under_load() as watch:
        start = time.monotonic()
        for _ in range(5):
            fleet.freeze(2)
            time.sleep(0.3)
            fleet.thaw(2)
            time.sleep(0.3)
        short = watch.since(start)
        assert {sample.verdicts().get("n2", "itself") for sample in short} <= {"itself", "present", "suspect"}
        assert {(sample.status["rows"], round(sample.share, 6)) for sample in short} == {(5, 0.2)}
        before = fleet.status(3)["incarnation"]
        fleet.freeze(3)
        fleet.wait_until_shared(0, 1, 2, 4)
        start = time.monotonic()
        fleet.thaw(3)
        fleet.wait_until_shared(0, 1, 2, 3, 4)

        def enrolled_anew() -> list[Sample]:
            woken = watch.since(start, 3)
            return woken if woken and (woken[-1].status["incarnation"] or 0) > before else []

        woken = until(enrolled_anew, WAIT_LIMIT_S, "n3 seen under a new incarnation")
        assert {sample.share for sample in woken if sample.status["incarnation"] in (before, None)} <= {0.0}


HALVES = ((0, 1, 2), (3, 4))


@pytest.mark.parametrize(
    ("cut_off", "takes"), [((3, 4), (1 / 3, 0.0)), ((0, 1, 2), (0.2, 0.2)), ((0, 1, 2, 3, 4), (0.2, 0.0))]
)
def test_partitioned_halves_never_exceed_the_total_quota(
    fleet: Fleet, cut_off: tuple[int, ...], takes: tuple[float, float]
) -> None:
    with fleet.under_load() as watch:
        fleet.net.cut(*HALVES)
        fleet.cut_service(*cut_off)

        def ended(status: Status) -> bool:
            return status["lease_ms"] == 0.0 and status["stand"] == "adrift"

        fleet.wait_until_all("leases at an end", ended, *cut_off)
        for half, share in zip(HALVES, takes, strict=True):
            fleet.wait_until_all(
                f"{share} at {half}", lambda status, share=share: abs(status["share"] - share) < 1e-6, *half
            )
        settled = time.monotonic()
        until_later(fleet, 2 * TTL_MS)
        for half, share in zip(HALVES, takes, strict=True):
            assert {round(sample.share - share, 6) for sample in watch.since(settled, *half)} == {0.0}
        standing = {at: fleet.status(at)["standing"] for at in cut_off}
        assert standing == {at: "holding" if takes[at > 2] else "yielded" for at in cut_off}


def test_a_node_whose_renewals_get_no_answer_yields_and_nobody_takes_its_quota(
    fleet: Fleet,
) -> None:
    with fleet.under_load() as watch:
        start = time.monotonic()
        held = [fleet.posts[at].hold("/fleet/renew", answers=True) for at in (3, 4)]
        fleet.wait_until_all("shares yielded", lambda status: status["share"] == 0.0, 3, 4)
        until_later(fleet, TTL_MS)
        assert {
            (sample.status["rows"], round(sample.share, 6)) for sample in watch.since(start, 0, 1, 2)
        } == {(5, 0.2)}
        for one in held:
            one.release()
        fleet.wait_until_shared(0, 1, 2, 3, 4)


def until_later(fleet: Fleet, ms: float) -> None:
    """Until so much time has passed by a node's own clock."""
    start = fleet.status(0)["now_ms"]
    until(lambda: fleet.status(0)["now_ms"] > start + ms, WAIT_LIMIT_S, f"{ms} ms later")


def test_without_a_quorum_of_the_list_service_all_hold_and_no_process_enrols_anew(fleet: Fleet) -> None:
    with fleet.under_load() as watch:
        before = {at: fleet.status(at)["incarnation"] for at in range(5)}
        leader = fleet.registry.leader()
        start = time.monotonic()
        for index in (leader, (leader + 1) % 3):
            fleet.registry.kill(index)
        fleet.wait_until_all(
            "all hold", lambda status: status["standing"] == "holding" and not status["lease_ms"]
        )
        until_later(fleet, 2 * TTL_MS)
        assert {round(sample.share, 6) for sample in watch.since(start)} == {0.2}
        fleet.wait_until_stable()
        assert before == {at: fleet.status(at)["incarnation"] for at in range(5)}


def test_a_broken_link_is_a_link_fault_a_lossy_one_none_and_asymmetric_ones_keep_service_time(
    fleet: Fleet,
) -> None:
    with fleet.under_load() as watch:
        start = time.monotonic()
        fleet.net.cut(0, 1)
        fleet.net.cut_one_way(2, 3)
        for at, other in ((0, 1), (1, 0), (2, 3), (3, 2)):
            fleet.wait_until_all(
                f"n{other} parted at n{at}",
                lambda status, name=f"n{other}": verdict(status, name) == "parted",
                at,
            )
        fleet.net.heal()
        fleet.wait_until_stable()
        fleet.net.lose(range(5), range(5), 0.02)
        fleet.net.delay(0, (1, 2, 3, 4), 5.0)
        fleet.net.delay((1, 2, 3, 4), 0, 80.0)
        fleet.posts[0].delay(5.0, 80.0)
        asymmetric = time.monotonic()
        until_later(fleet, 2 * TTL_MS)
        found = watch.since(start)
        assert "failed" not in {found for sample in found for found in sample.verdicts().values()}
        assert {round(sample.share, 6) for sample in found} == {0.2}
        # S less this process's clock, as each sample bounds it: one figure lies in all of them
        spans = [
            (low - sample.answered_s * 1000.0, high - sample.requested_s * 1000.0)
            for sample in watch.since(asymmetric)
            for low, high in [sample.status["service_ms"]]
        ]
        assert max(low for low, _ in spans) <= min(high for _, high in spans)


def test_a_fleet_restarted_one_by_one_under_load_loses_no_request(fleet: Fleet) -> None:
    with fleet.under_load():
        for at, node in enumerate(fleet.nodes):
            for load in fleet.loads:  # as callers do that are told of it; what they have sent is under way
                load.ports = [other.port for other in fleet.nodes if other is not node]
            node.stop()
            assert node.process is not None
            assert node.process.returncode == 0
            node.start()
            fleet.wait_until_all(f"n{at} back", lambda status: status["share"] > 0.0, at)
            for load in fleet.loads:
                load.ports = [other.port for other in fleet.nodes]


def test_malformed_messages_and_forged_incarnations_are_answered_counted_and_forgotten(
    fleet: Fleet,
) -> None:
    rng = random.Random(18)
    with fleet.under_load() as watch:
        status, port = fleet.status(0), fleet.members_port(0)
        own, sibling = status["incarnation"], status["siblings"][0]["incarnation"]
        size, refused, lines = rss_kb(fleet, 0), fleet.nodes[0].metric("proxy.members_refused"), said(fleet)
        start = time.monotonic()
        stranger = Message(10**9, 0, 1.0, updates=(MemberUpdate(sibling, 900, MemberStatus.FAILED, (own,)),))
        good = msgspec.structs.asdict(stranger)
        bad: list[bytes] = [rng.randbytes(rng.randrange(1, 3000)) for _ in range(200)]
        bad += [encode(stranger)[:cut] for cut in range(1, 20)]
        bad += [
            msgspec.msgpack.encode(list((good | change).values()))
            for change in (
                {"sender": -1}, {"count": MAX_COUNT + 1}, {"sent_at_ms": float("nan")}, {"sent_at_ms": 1e300},
                {"result": 9}, {"updates": [[1, 0, 0, []]] * 65}, {"quota_reports": [[1, 0, 1.0]] * 513},
                {"view": b"x" * 16385},
            )
        ]  # fmt: skip
        for body in bad:
            for path in ("ask", "ask-through"):
                assert post(port, path, body) == 400
        assert post(port, "nothing", b"") == 404
        assert raw(port, b"\x16\x03\x01\x00garbage\r\n\r\n").startswith(b"HTTP/1.1 400")
        forged = (
            Message(sibling, MAX_COUNT, 1.0, updates=(MemberUpdate(own, MAX_COUNT, MemberStatus.FAILED),)),
            Message(own, 5, 1.0),
            Message(
                sibling,
                0,
                1.0,
                quota_reports=(QuotaReport(sibling, QuotaStatus.YIELDED, 1e15),),
                view=b"\xc1",
            ),
        )
        for message in (stranger, *forged):
            assert post(port, "ask", encode(message)) == 200
        for number in range(1500):
            assert post(port, "ask", encode(Message(10**9 + number, 0, 1.0, view=rng.randbytes(8192)))) == 200
        told = fleet.status(0)["ignored"]
        assert told["message of an unknown incarnation"] >= 1502
        assert told["absurd count"] >= 2
        assert told["statement from the future"] >= 1
        assert told["malformed ask"] >= 2 * len(bad)
        count = fleet.nodes[0].metric("proxy.members_refused") - refused
        assert count >= 2 * len(bad) + 1
        assert said(fleet) - lines <= 1 + count / 100
        assert rss_kb(fleet, 0) - size < 8_000
        found = watch.since(start)
        assert {name for sample in found for name in sample.verdicts().values()} <= {"present", "suspect"}
        assert {round(sample.share, 6) for sample in found} == {0.2}


def post(port: int, path: str, body: bytes) -> int:
    return int(
        raw(
            port,
            b"POST /members/%s HTTP/1.1\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s"
            % (path.encode(), len(body), body),
        ).split(b" ", 2)[1]
    )


def raw(port: int, data: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=5.0) as connection:
        connection.sendall(data)
        return connection.recv(65536)


def rss_kb(fleet: Fleet, at: int) -> int:
    process: Any = fleet.nodes[at].process
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0])


def said(fleet: Fleet) -> int:
    return len(fleet.nodes[0].log_lines("members: call rejected"))
