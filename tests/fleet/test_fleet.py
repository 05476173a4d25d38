"""Failure detection, leases and quotas of a group of node processes with faults injected between them.

In each test, `under_load` checks the sum of quotas, the response to every request, and the recovery.
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

Reading = tuple[float, float, int]  # request time in s, quota, route version


def make_samples(*readings: Reading) -> list[Sample]:
    return [
        Sample(
            requested_s,
            requested_s + 0.01,
            {"incarnation": 1, "share": quota, "routes": {"stand": "following", "version": version}},
        )
        for requested_s, quota, version in readings
    ]


def test_sampler_finds_violations_of_both_invariants_and_tolerates_skew() -> None:
    releases = make_samples((0.0, 1.0, 0), (0.03, 1.0, 0), (0.06, 0.5, 1), (0.09, 0.5, 1))
    # Each of these samples falls between two samples of the other node.
    receives = make_samples((0.02, 0.0, 0), (0.05, 0.5, 0), (0.08, 0.5, 1))
    assert quota_violations([releases, receives]) == []
    assert version_conflicts([releases, receives], 0.05) == []
    keeps = make_samples(*((0.03 * number, 1.0, 0) for number in range(8)))
    early = make_samples((0.0, 0.0, 0), (0.05, 0.5, 1), (0.08, 0.5, 1), (0.2, 0.5, 1))
    assert quota_violations([keeps, early])
    assert version_conflicts([keeps, early], 0.05)
    paused = make_samples((0.0, 1.0, 0), (0.05 + MAX_GAP_S, 1.0, 0))  # it may not have run in between
    assert quota_violations([paused, make_samples(*((0.1 * number, 0.5, 1) for number in range(5)))]) == []


def verdict(status: Status, name: str) -> str | None:
    """Return a node's verdict on the sibling of this name, or None if it does not list it."""
    return next((sibling["verdict"] for sibling in status["siblings"] if sibling["name"] == name), None)


def test_killed_node_is_failed_at_siblings_and_returns_with_new_incarnation(fleet: Fleet) -> None:
    with fleet.under_load():
        before = fleet.status(4)["incarnation"]
        fleet.kill(4)
        fleet.wait_until_all("n4 failed", lambda status: verdict(status, "n4") == "failed", 0, 1, 2, 3)
        fleet.wait_until_shared(0, 1, 2, 3)
        fleet.start(4)
        fleet.wait_until_shared(0, 1, 2, 3, 4)
        assert fleet.status(4)["incarnation"] > before


def test_short_pauses_are_no_failures_and_long_pause_loses_quota(fleet: Fleet) -> None:
    with fleet.under_load() as sampler:
        start = time.monotonic()
        for _ in range(5):
            fleet.pause(2)
            time.sleep(0.3)
            fleet.resume(2)
            time.sleep(0.3)
        short = sampler.since(start)
        assert {sample.verdicts().get("n2", "itself") for sample in short} <= {"itself", "present", "suspect"}
        assert {(sample.status["rows"], round(sample.quota, 6)) for sample in short} == {(5, 0.2)}
        before = fleet.status(3)["incarnation"]
        fleet.pause(3)
        fleet.wait_until_shared(0, 1, 2, 4)
        start = time.monotonic()
        fleet.resume(3)
        fleet.wait_until_shared(0, 1, 2, 3, 4)

        def enrolled_again() -> list[Sample]:
            resumed = sampler.since(start, 3)
            return resumed if resumed and (resumed[-1].status["incarnation"] or 0) > before else []

        resumed = until(enrolled_again, WAIT_LIMIT_S, "n3 seen with a new incarnation")
        assert {sample.quota for sample in resumed if sample.status["incarnation"] in (before, None)} <= {0.0}


HALVES = ((0, 1, 2), (3, 4))


@pytest.mark.parametrize(
    ("cut_off", "quotas"), [((3, 4), (1 / 3, 0.0)), ((0, 1, 2), (0.2, 0.2)), ((0, 1, 2, 3, 4), (0.2, 0.0))]
)
def test_partitioned_halves_never_exceed_total_quota(
    fleet: Fleet, cut_off: tuple[int, ...], quotas: tuple[float, float]
) -> None:
    """The nodes in `cut_off` can't reach the list service either; `quotas` has the final one per half."""
    with fleet.under_load() as sampler:
        fleet.net.partition(*HALVES)
        fleet.cut_service(*cut_off)

        def expired(status: Status) -> bool:
            return status["lease_ms"] == 0.0 and status["stand"] == "adrift"

        fleet.wait_until_all("expired leases", expired, *cut_off)
        for half, quota in zip(HALVES, quotas, strict=True):
            fleet.wait_until_all(
                f"{quota} at {half}",
                lambda status, quota=quota: abs(status["share"] - quota) < 1e-6,
                *half,
            )
        settled = time.monotonic()
        wait_ms(fleet, 2 * TTL_MS)
        for half, quota in zip(HALVES, quotas, strict=True):
            assert {round(sample.quota - quota, 6) for sample in sampler.since(settled, *half)} == {0.0}
        quota_status = {index: fleet.status(index)["standing"] for index in cut_off}
        assert quota_status == {index: "holding" if quotas[index > 2] else "yielded" for index in cut_off}


def test_node_without_renewal_responses_yields_and_no_sibling_gets_its_quota(fleet: Fleet) -> None:
    """The service receives the renewals and extends the leases, but at the nodes the leases expire."""
    with fleet.under_load() as sampler:
        start = time.monotonic()
        held = [fleet.agent_proxies[index].hold("/fleet/renew", responses=True) for index in (3, 4)]
        fleet.wait_until_all("quotas yielded", lambda status: status["share"] == 0.0, 3, 4)
        wait_ms(fleet, TTL_MS)
        assert {
            (sample.status["rows"], round(sample.quota, 6)) for sample in sampler.since(start, 0, 1, 2)
        } == {(5, 0.2)}
        for hold in held:
            hold.release()
        fleet.wait_until_shared(0, 1, 2, 3, 4)


def wait_ms(fleet: Fleet, ms: float) -> None:
    """Wait until this time has passed by the clock of node 0."""
    start = fleet.status(0)["now_ms"]
    until(lambda: fleet.status(0)["now_ms"] > start + ms, WAIT_LIMIT_S, f"{ms} ms later")


def test_nodes_hold_quotas_and_incarnations_without_registry_quorum(fleet: Fleet) -> None:
    with fleet.under_load() as sampler:
        before = {index: fleet.status(index)["incarnation"] for index in range(5)}
        leader = fleet.registry.leader()
        start = time.monotonic()
        for index in (leader, (leader + 1) % 3):
            fleet.registry.kill(index)
        fleet.wait_until_all(
            "all hold", lambda status: status["standing"] == "holding" and not status["lease_ms"]
        )
        wait_ms(fleet, 2 * TTL_MS)
        assert {round(sample.quota, 6) for sample in sampler.since(start)} == {0.2}
        fleet.wait_until_stable()
        assert before == {index: fleet.status(index)["incarnation"] for index in range(5)}


def test_cut_link_is_link_fault_and_loss_or_asymmetric_delay_is_none(fleet: Fleet) -> None:
    """No link problem makes a node count as failed or changes a quota, and with asymmetric delays every
    estimate of service time remains correct."""
    with fleet.under_load() as sampler:
        start = time.monotonic()
        fleet.net.partition(0, 1)
        fleet.net.partition_one_way(2, 3)
        for index, other in ((0, 1), (1, 0), (2, 3), (3, 2)):
            fleet.wait_until_all(
                f"verdict parted of n{index} on n{other}",
                lambda status, name=f"n{other}": verdict(status, name) == "parted",
                index,
            )
        fleet.net.heal()
        fleet.wait_until_stable()
        fleet.net.lose(range(5), range(5), 0.02)
        fleet.net.delay(0, (1, 2, 3, 4), 5.0)
        fleet.net.delay((1, 2, 3, 4), 0, 80.0)
        fleet.agent_proxies[0].delay(5.0, 80.0)
        asymmetric_since = time.monotonic()
        wait_ms(fleet, 2 * TTL_MS)
        samples = sampler.since(start)
        assert "failed" not in {found for sample in samples for found in sample.verdicts().values()}
        assert {round(sample.quota, 6) for sample in samples} == {0.2}
        # Each sample bounds the offset of service time to this process's clock; a common offset must exist.
        offsets_ms = [
            (low - sample.answered_s * 1000.0, high - sample.requested_s * 1000.0)
            for sample in sampler.since(asymmetric_since)
            for low, high in [sample.status["service_ms"]]
        ]
        assert max(low for low, _ in offsets_ms) <= min(high for _, high in offsets_ms)


def test_rolling_restart_under_load_loses_no_request(fleet: Fleet) -> None:
    with fleet.under_load():
        for index, node in enumerate(fleet.nodes):
            # Clients learn of the restart and send no new requests to the node; earlier ones are in flight.
            for load in fleet.loads:
                load.ports = [other.port for other in fleet.nodes if other is not node]
            node.stop()
            assert node.process is not None
            assert node.process.returncode == 0
            node.start()
            fleet.wait_until_all(f"n{index} back", lambda status: status["share"] > 0.0, index)
            for load in fleet.loads:
                load.ports = [other.port for other in fleet.nodes]


def test_malformed_and_forged_messages_are_counted_without_effect(fleet: Fleet) -> None:
    """Any process can send to the members' port: such messages must not change quotas or verdicts, use up the
    memory, or flood the log."""
    rng = random.Random(18)
    with fleet.under_load() as sampler:
        status, port = fleet.status(0), fleet.members_port(0)
        local, sibling = status["incarnation"], status["siblings"][0]["incarnation"]
        rss_before, rejected_before, lines_before = (
            rss_kb(fleet, 0),
            fleet.nodes[0].metric("proxy.members_refused"),
            count_rejection_lines(fleet),
        )
        start = time.monotonic()
        unknown = Message(10**9, 0, 1.0, updates=(MemberUpdate(sibling, 900, MemberStatus.FAILED, (local,)),))
        valid_fields = msgspec.structs.asdict(unknown)
        malformed: list[bytes] = [rng.randbytes(rng.randrange(1, 3000)) for _ in range(200)]
        malformed += [encode(unknown)[:length] for length in range(1, 20)]
        malformed += [
            msgspec.msgpack.encode(list((valid_fields | change).values()))
            for change in (
                {"sender": -1}, {"count": MAX_COUNT + 1}, {"sent_at_ms": float("nan")}, {"sent_at_ms": 1e300},
                {"result": 9}, {"updates": [[1, 0, 0, []]] * 65}, {"quota_reports": [[1, 0, 1.0]] * 513},
                {"view": b"x" * 16385},
            )
        ]  # fmt: skip
        for body in malformed:
            for path in ("ask", "ask-through"):
                assert post(port, path, body) == 400
        assert post(port, "nothing", b"") == 404
        assert raw(port, b"\x16\x03\x01\x00garbage\r\n\r\n").startswith(b"HTTP/1.1 400")
        forged = (
            Message(sibling, MAX_COUNT, 1.0, updates=(MemberUpdate(local, MAX_COUNT, MemberStatus.FAILED),)),
            Message(local, 5, 1.0),
            Message(
                sibling,
                0,
                1.0,
                quota_reports=(QuotaReport(sibling, QuotaStatus.YIELDED, 1e15),),
                view=b"\xc1",
            ),
        )
        for message in (unknown, *forged):
            assert post(port, "ask", encode(message)) == 200
        for number in range(1500):
            assert post(port, "ask", encode(Message(10**9 + number, 0, 1.0, view=rng.randbytes(8192)))) == 200
        ignored = fleet.status(0)["ignored"]
        assert ignored["message of an unknown incarnation"] >= 1502
        assert ignored["absurd count"] >= 2
        assert ignored["statement from the future"] >= 1
        assert ignored["malformed ask"] >= 2 * len(malformed)
        rejected = fleet.nodes[0].metric("proxy.members_refused") - rejected_before
        assert rejected >= 2 * len(malformed) + 1
        assert count_rejection_lines(fleet) - lines_before <= 1 + rejected / 100
        assert rss_kb(fleet, 0) - rss_before < 8_000
        samples = sampler.since(start)
        assert {found for sample in samples for found in sample.verdicts().values()} <= {"present", "suspect"}
        assert {round(sample.quota, 6) for sample in samples} == {0.2}


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


def rss_kb(fleet: Fleet, index: int) -> int:
    process: Any = fleet.nodes[index].process
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0])


def count_rejection_lines(fleet: Fleet) -> int:
    return len(fleet.nodes[0].log_lines("members: call rejected"))
