"""Ejections by operators: their files, their admin requests and what the balancer makes of them."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path

import pytest

from loadbalancer.balancing.endpoint_selection import slow_start_admits
from loadbalancer.balancing.events import EndpointEjected, EndpointListUpdate, EndpointRestored
from loadbalancer.endpoints import Endpoint, EndpointListKind
from loadbalancer.node.node import Node
from loadbalancer.node.operator_ejections import EjectionResult
from loadbalancer.node.state.ejections import FILE_PREFIX, FOLDER_NAME, RETENTION_MS, Ejection, EjectionStore
from tests.node.admin.test_admin_server import ADMIN_SETTINGS, status
from tests.support.builders import BalancerEnvironment, make_endpoints, sent
from tests.support.loopback import Caller, Discovery, Held, Peer, ask, listing, request, running, until

ENTER, EXIT = "/maintenance/enter", "/maintenance/exit"

# ------------------------------------------------------------------------ files


def test_a_ban_said_to_one_process_is_read_by_the_other_and_by_a_later_one(tmp_path):
    one, two = EjectionStore(tmp_path / "x"), EjectionStore(tmp_path / "x")
    assert two.read_changes(0.0) == []  # nothing was ever out
    assert one.eject("s/1 ü", 1000.0)
    assert two.read_changes(2000.0) == ["s/1 ü"]
    assert two.get("s/1 ü") == Ejection(1000.0)
    assert two.read_changes(2100.0) == []  # told once
    assert two.restore("s/1 ü", 5000.0)
    assert one.read_changes(5100.0) == ["s/1 ü"]
    assert one.get("s/1 ü") == Ejection(1000.0, 5000.0)
    later = EjectionStore(tmp_path / "x")
    later.read_changes(6000.0)
    assert later.get("s/1 ü") == Ejection(1000.0, 5000.0)
    assert not later.is_ejected("s/1 ü")


def test_putting_a_server_out_twice_is_undone_by_one_call_back(tmp_path):
    store = EjectionStore(tmp_path)
    store.eject("s", 1000.0)
    store.eject("s", 2000.0)
    assert store.get("s") == Ejection(1000.0)
    store.restore("s", 3000.0)
    assert not store.is_ejected("s")


def test_a_return_from_long_ago_is_forgotten_with_its_file(tmp_path):
    store = EjectionStore(tmp_path)
    store.eject("s", 0.0)
    store.restore("s", 1.0)
    store.read_changes(RETENTION_MS)
    assert list(tmp_path.iterdir())
    store.read_changes(RETENTION_MS + 2.0)
    assert not list(tmp_path.iterdir())


@pytest.mark.parametrize("text", ["", "{", "[]", '{"out_ms": "x", "back_ms": null}', "\0" * 4096])
def test_a_file_that_cannot_be_read_keeps_its_server_out_and_is_logged(tmp_path, caplog, text):
    (tmp_path / (FILE_PREFIX + "s")).write_text(text)
    (tmp_path / "something else").write_text(text)
    store = EjectionStore(tmp_path)
    assert store.read_changes(0.0) == ["s"]
    assert store.is_ejected("s")
    assert len(caplog.records) == 1
    store.restore("s", 10.0)
    assert not store.is_ejected("s")


def test_a_folder_that_takes_no_file_is_a_no_and_the_ban_holds_in_this_process(tmp_path, caplog):
    (tmp_path / "file").write_text("")
    store = EjectionStore(tmp_path / "file")
    assert store.read_changes(0.0) == []
    assert not store.eject("s", 0.0)
    assert store.is_ejected("s")
    assert not store.restore("s", 1.0)
    assert store.is_ejected("s")
    assert len(caplog.records) == 1  # once for the stretch


def test_without_a_folder_bans_are_kept_in_memory():
    store = EjectionStore(None)
    assert store.eject("s", 0.0)
    assert store.read_changes(1.0) == []
    assert store.is_ejected("s")


# --------------------------------------------------------------------- the calls


def test_a_server_out_by_hand_gets_nothing_new_and_finishes_what_it_has():
    async def main():
        first, second = Held(), Held()
        async with running(first, second, **ADMIN_SETTINGS) as node:
            callers = [await Caller.to(node) for _ in range(2)]
            for at, caller in enumerate(callers):
                caller.writer.write(request(name=f"q{at}"))
            await until(lambda: first.seen and second.seen)
            assert await status(node, "PUT", ENTER, b"s0\n") == 200
            assert await status(node, "PUT", ENTER, b"s0") == 200
            first.release.set()
            second.release.set()
            assert [(await caller.answer()).status for caller in callers] == [200, 200]
            for at in range(20):
                assert (await ask(node, request(name=f"r{at}"))).status == 200
            assert len(first.seen) == 1
            assert await status(node, "PUT", EXIT, b"s0") == 200
            for at in range(20):
                await ask(node, request(name=f"t{at}"))
            assert len(first.seen) > 1

    asyncio.run(main())


def test_an_attempt_that_waits_to_connect_to_it_goes_elsewhere():
    async def main():
        # A listener whose queue is full: connections to it never come up.
        with socket.create_server(("127.0.0.1", 0), backlog=0) as silent, socket.socket() as filler:
            filler.connect(silent.getsockname())
            server = Peer()
            async with running(server, bounds={"connectTimeoutMs": 10_000.0}, **ADMIN_SETTINGS) as node:
                known = node.endpoint_list.endpoints["s0"][0]
                silent_server = Endpoint("quiet", zone=known.zone)
                node.endpoint_list.endpoints["quiet"] = silent_server, silent.getsockname()[:2]
                assert await status(node, "PUT", ENTER, b"s0") == 200
                node.endpoint_list.apply_change(EndpointListUpdate(EndpointListKind.DELTA, (silent_server,)))
                caller = await Caller.to(node)
                caller.writer.write(request())
                await until(lambda: node.pool.connection_count)
                assert await status(node, "PUT", EXIT, b"s0") == 200
                assert await status(node, "PUT", ENTER, b"quiet") == 200
                assert (await caller.answer()).status == 200

    asyncio.run(main())


@pytest.mark.parametrize("path", [ENTER, EXIT])
@pytest.mark.parametrize(("body", "expected"), [(b"s9", 404), (b"", 404), (b"\xff\xfe", 400)])
def test_an_unknown_id_is_told_no(path, body, expected):
    async def main():
        async with running(Peer(), **ADMIN_SETTINGS) as node:
            assert await status(node, "PUT", path, body) == expected

    asyncio.run(main())


def test_the_ban_holds_whatever_the_list_says():
    async def main():
        server, other = Peer(), Peer()
        await server.start()
        await other.start()
        news = listing(2, True, s0=(server.endpoint, "Ready"), s1=(other.endpoint, "Ready"))
        discovery = Discovery()
        async with running(server, discovery=discovery, **ADMIN_SETTINGS) as node:
            assert await status(node, "PUT", ENTER, b"s0") == 200
            discovery.news.append(news)  # for the next call: the first stays silent and is given up
            await until(lambda: "s1" in node.endpoint_list.endpoints)
            for at in range(10):
                assert (await ask(node, request(name=f"q{at}"))).status == 200
            assert not server.seen
        other.stop()

    asyncio.run(main())


def test_the_ban_binds_a_second_process_and_one_started_later(tmp_path):
    async def main():
        server = Peer()
        async with running(server, tmpdir=str(tmp_path), **ADMIN_SETTINGS) as old:
            new = Node(old.config)
            new.listener.listen = _nowhere  # type: ignore[method-assign]
            await new.start()
            assert await status(old, "PUT", ENTER, b"s0") == 200
            await until(lambda: not new.endpoint_list.available)  # by its own look at the folder
            later = Node(old.config)
            later.listener.listen = _nowhere  # type: ignore[method-assign]
            await later.start()
            assert not later.endpoint_list.available
            assert await status(later, "PUT", EXIT, b"s0") == 200
            await until(lambda: old.endpoint_list.available and new.endpoint_list.available)
            new.close()
            later.close()

    asyncio.run(main())


async def _nowhere(*_: object) -> None:
    """Stands for the clients' address, which the first node has."""


def test_a_call_back_right_after_the_other_process_was_told_is_not_lost(tmp_path):
    async def main():
        async with running(Peer(), tmpdir=str(tmp_path), **ADMIN_SETTINGS) as node:
            EjectionStore(tmp_path / FOLDER_NAME).eject("s0", 1.0)
            assert node.ejections.restore("s0") is EjectionResult.DONE
            assert not EjectionStore(tmp_path / FOLDER_NAME).is_ejected("s0")
            assert node.endpoint_list.available == {"s0"}

    asyncio.run(main())


def test_without_a_door_the_folder_is_not_looked_at_again(tmp_path):
    async def main():
        async with running(Peer(), tmpdir=str(tmp_path)) as node:
            EjectionStore(tmp_path / FOLDER_NAME).eject("s0", 1.0)
            node.periodic_tasks.tick(node.loop.time())
            assert node.endpoint_list.available == {"s0"}

    asyncio.run(main())
    assert os.listdir(Path(tmp_path)) == [FOLDER_NAME]


# -------------------------------------------------------------------- the module


def test_the_module_sends_nothing_to_a_server_out_by_hand_even_when_it_is_listed_anew():
    bed = BalancerEnvironment(2)
    bed.handle(EndpointEjected("s0"))
    assert {bed.complete_request() for _ in range(20)} == {"s1"}
    bed.handle(EndpointListUpdate(EndpointListKind.FULL, make_endpoints(2, launched_ms=bed.now - 60_000.0)))
    assert {bed.complete_request() for _ in range(20)} == {"s1"}
    assert [peer.listed.name for peer in bed.balancer.ready] == ["s1"]


def test_a_server_brought_back_gets_the_next_call_that_a_cold_one_may_have():
    bed = BalancerEnvironment(3, slow_start_ms=0.0)
    bed.balancer.endpoints["s0"].latency_ratio = 5.0  # ranked last
    bed.balancer.endpoints["s0"].last_outcome_ms = bed.now
    bed.handle(EndpointEjected("s0"))
    assert "s0" not in {bed.complete_request() for _ in range(20)}
    bed.handle(EndpointRestored("s0", bed.now - 3000.0, bed.now))
    assert bed.complete_request() == "s0"
    assert bed.complete_request() != "s0"  # from then on by its rank


@pytest.mark.parametrize(
    ("launched", "cold"),
    [
        (None, True),
        (-50_000.0, True),
        (-9_900.0, False),
    ],  # ms before its return
)
def test_a_server_brought_back_is_paced_as_cold_from_its_return_unless_the_list_tells(launched, cold):
    bed = BalancerEnvironment(1)
    at = None if launched is None else bed.now + launched
    bed.handle(EndpointListUpdate(EndpointListKind.FULL, make_endpoints(1, launched_ms=at)))
    bed.handle(EndpointEjected("s0"))
    out_ms = bed.now - (5_000.0 if cold else 20_000.0)
    bed.handle(EndpointRestored("s0", out_ms, bed.now))
    bed.now += 200.0  # 10.1 s after the launch that the last case lists: warm
    peer = bed.balancer.endpoints["s0"]
    bed.balancer.state.peak_completion_rate, bed.balancer.state.send_rate = (
        1.0,
        100.0,
    )  # as many as 100 servers' ordinary calls
    passed = sum(slow_start_admits(bed.balancer.state, bed.now, peer) for _ in range(200))
    assert (passed < 50) is cold


def test_what_a_server_was_known_for_before_its_stay_is_not_held_against_it():
    bed = BalancerEnvironment(2)
    peer = bed.balancer.endpoints["s0"]
    peer.latency_ratio, peer.error_rate, peer.reported_queue, peer.utilisation = 5.0, 0.9, 7.0, 1.0
    bed.handle(EndpointEjected("s0"))
    bed.handle(EndpointRestored("s0", bed.now - 3000.0, bed.now))
    assert (peer.latency_ratio, peer.error_rate, peer.reported_queue, peer.utilisation) == (
        None,
        0.0,
        0.0,
        None,
    )


def test_a_second_stay_out_starts_anew():
    bed = BalancerEnvironment(2)
    bed.handle(EndpointEjected("s0"))
    bed.handle(EndpointRestored("s0", bed.now, bed.now))
    bed.handle(EndpointEjected("s0"))
    assert "s0" not in bed.balancer.state.restored
    assert {act.server for _ in range(8) for act in sent(bed.send_request()[1])} == {"s1"}
