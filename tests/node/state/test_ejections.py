"""Ejections by operators: their files, the admin requests and their effect in the balancer."""

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
from tests.support.loopback import (
    BlockedServer,
    Client,
    Discovery,
    StubServer,
    exchange,
    list_response,
    loopback_node,
    request,
    wait_until,
)

ENTER, EXIT = "/maintenance/enter", "/maintenance/exit"

# ------------------------------------------------------------------------ files


def test_ejection_in_one_process_is_read_by_others_and_by_later_ones(tmp_path):
    first, second = EjectionStore(tmp_path / "x"), EjectionStore(tmp_path / "x")
    assert second.read_changes(0.0) == []  # nothing has ever been ejected
    assert first.eject("s/1 ü", 1000.0)
    assert second.read_changes(2000.0) == ["s/1 ü"]
    assert second.get("s/1 ü") == Ejection(1000.0)
    assert second.read_changes(2100.0) == []  # the change is reported only once
    assert second.restore("s/1 ü", 5000.0)
    assert first.read_changes(5100.0) == ["s/1 ü"]
    assert first.get("s/1 ü") == Ejection(1000.0, 5000.0)
    later = EjectionStore(tmp_path / "x")
    later.read_changes(6000.0)
    assert later.get("s/1 ü") == Ejection(1000.0, 5000.0)
    assert not later.is_ejected("s/1 ü")


def test_repeated_ejection_is_ended_by_one_restore(tmp_path):
    store = EjectionStore(tmp_path)
    store.eject("s", 1000.0)
    store.eject("s", 2000.0)
    assert store.get("s") == Ejection(1000.0)
    store.restore("s", 3000.0)
    assert not store.is_ejected("s")


def test_ended_ejection_is_removed_with_its_file_after_retention(tmp_path):
    store = EjectionStore(tmp_path)
    store.eject("s", 0.0)
    store.restore("s", 1.0)
    store.read_changes(RETENTION_MS)
    assert list(tmp_path.iterdir())
    store.read_changes(RETENTION_MS + 2.0)
    assert not list(tmp_path.iterdir())


@pytest.mark.parametrize("text", ["", "{", "[]", '{"out_ms": "x", "back_ms": null}', "\0" * 4096])
def test_unreadable_file_ejects_its_endpoint_and_is_logged(tmp_path, caplog, text):
    (tmp_path / (FILE_PREFIX + "s")).write_text(text)
    (tmp_path / "something else").write_text(text)
    store = EjectionStore(tmp_path)
    assert store.read_changes(0.0) == ["s"]
    assert store.is_ejected("s")
    assert len(caplog.records) == 1
    store.restore("s", 10.0)
    assert not store.is_ejected("s")


def test_unwritable_folder_fails_request_and_ejection_holds_in_process(tmp_path, caplog):
    (tmp_path / "file").write_text("")
    store = EjectionStore(tmp_path / "file")
    assert store.read_changes(0.0) == []
    assert not store.eject("s", 0.0)
    assert store.is_ejected("s")
    assert not store.restore("s", 1.0)
    assert store.is_ejected("s")
    assert len(caplog.records) == 1  # once for consecutive failures


def test_ejections_without_folder_are_held_in_memory():
    store = EjectionStore(None)
    assert store.eject("s", 0.0)
    assert store.read_changes(1.0) == []
    assert store.is_ejected("s")


# ------------------------------------------------------------- admin requests


def test_ejected_endpoint_gets_no_new_requests_and_finishes_those_in_flight():
    async def main():
        first, second = BlockedServer(), BlockedServer()
        async with loopback_node(first, second, **ADMIN_SETTINGS) as node:
            clients = [await Client.connect(node) for _ in range(2)]
            for index, client in enumerate(clients):
                client.writer.write(request(name=f"q{index}"))
            await wait_until(lambda: first.requests and second.requests)
            assert await status(node, "PUT", ENTER, b"s0\n") == 200
            assert await status(node, "PUT", ENTER, b"s0") == 200
            first.release.set()
            second.release.set()
            assert [(await client.read_response()).status for client in clients] == [200, 200]
            for index in range(20):
                assert (await exchange(node, request(name=f"r{index}"))).status == 200
            assert len(first.requests) == 1
            assert await status(node, "PUT", EXIT, b"s0") == 200
            for index in range(20):
                await exchange(node, request(name=f"t{index}"))
            assert len(first.requests) > 1

    asyncio.run(main())


def test_request_waiting_to_connect_to_ejected_endpoint_goes_to_another():
    async def main():
        # The listener's backlog is full, so connections to it are never established.
        with socket.create_server(("127.0.0.1", 0), backlog=0) as silent, socket.socket() as filler:
            filler.connect(silent.getsockname())
            server = StubServer()
            async with loopback_node(server, bounds={"connectTimeoutMs": 10_000.0}, **ADMIN_SETTINGS) as node:
                known = node.endpoint_list.endpoints["s0"][0]
                silent_server = Endpoint("quiet", zone=known.zone)
                node.endpoint_list.endpoints["quiet"] = silent_server, silent.getsockname()[:2]
                assert await status(node, "PUT", ENTER, b"s0") == 200
                node.endpoint_list.apply_change(EndpointListUpdate(EndpointListKind.DELTA, (silent_server,)))
                client = await Client.connect(node)
                client.writer.write(request())
                await wait_until(lambda: node.pool.connection_count)
                assert await status(node, "PUT", EXIT, b"s0") == 200
                assert await status(node, "PUT", ENTER, b"quiet") == 200
                assert (await client.read_response()).status == 200

    asyncio.run(main())


@pytest.mark.parametrize("path", [ENTER, EXIT])
@pytest.mark.parametrize(("body", "expected"), [(b"s9", 404), (b"", 404), (b"\xff\xfe", 400)])
def test_invalid_endpoint_name_is_rejected(path, body, expected):
    async def main():
        async with loopback_node(StubServer(), **ADMIN_SETTINGS) as node:
            assert await status(node, "PUT", path, body) == expected

    asyncio.run(main())


def test_ejection_holds_after_list_update():
    async def main():
        server, second = StubServer(), StubServer()
        await server.start()
        await second.start()
        update = list_response(2, True, s0=(server.endpoint, "Ready"), s1=(second.endpoint, "Ready"))
        discovery = Discovery()
        async with loopback_node(server, discovery=discovery, **ADMIN_SETTINGS) as node:
            assert await status(node, "PUT", ENTER, b"s0") == 200
            discovery.responses.append(update)  # for the next poll: the first gets no response and times out
            await wait_until(lambda: "s1" in node.endpoint_list.endpoints)
            for index in range(10):
                assert (await exchange(node, request(name=f"q{index}"))).status == 200
            assert not server.requests
        second.stop()

    asyncio.run(main())


def test_ejection_applies_to_sibling_process_and_one_started_later(tmp_path):
    async def main():
        server = StubServer()
        async with loopback_node(server, tmpdir=str(tmp_path), **ADMIN_SETTINGS) as old:
            new = Node(old.config)
            new.listener.listen = _skip_listen  # type: ignore[method-assign]
            await new.start()
            assert await status(old, "PUT", ENTER, b"s0") == 200
            await wait_until(lambda: not new.endpoint_list.available)  # it reads the folder periodically
            later = Node(old.config)
            later.listener.listen = _skip_listen  # type: ignore[method-assign]
            await later.start()
            assert not later.endpoint_list.available
            assert await status(later, "PUT", EXIT, b"s0") == 200
            await wait_until(lambda: old.endpoint_list.available and new.endpoint_list.available)
            new.close()
            later.close()

    asyncio.run(main())


async def _skip_listen(*_: object) -> None:
    """Do nothing; replaces `Listener.listen`, since the first node already uses the address."""


def test_restore_right_after_ejection_in_other_process_takes_effect(tmp_path):
    async def main():
        async with loopback_node(StubServer(), tmpdir=str(tmp_path), **ADMIN_SETTINGS) as node:
            EjectionStore(tmp_path / FOLDER_NAME).eject("s0", 1.0)
            assert node.ejections.restore("s0") is EjectionResult.DONE
            assert not EjectionStore(tmp_path / FOLDER_NAME).is_ejected("s0")
            assert node.endpoint_list.available == {"s0"}

    asyncio.run(main())


def test_folder_is_not_read_again_without_admin_server(tmp_path):
    async def main():
        async with loopback_node(StubServer(), tmpdir=str(tmp_path)) as node:
            EjectionStore(tmp_path / FOLDER_NAME).eject("s0", 1.0)
            node.periodic_tasks.tick(node.loop.time())
            assert node.endpoint_list.available == {"s0"}

    asyncio.run(main())
    assert os.listdir(Path(tmp_path)) == [FOLDER_NAME]


# ------------------------------------------------------------------ the balancer


def test_balancer_does_not_select_ejected_endpoint_after_full_list():
    env = BalancerEnvironment(2)
    env.handle(EndpointEjected("s0"))
    assert {env.complete_request() for _ in range(20)} == {"s1"}
    env.handle(EndpointListUpdate(EndpointListKind.FULL, make_endpoints(2, launched_ms=env.now - 60_000.0)))
    assert {env.complete_request() for _ in range(20)} == {"s1"}
    assert [endpoint.listed.name for endpoint in env.balancer.ready] == ["s1"]


def test_restored_endpoint_gets_next_request_allowed_in_slow_start():
    env = BalancerEnvironment(3, slow_start_ms=0.0)
    env.balancer.endpoints["s0"].latency_ratio = 5.0  # so it is ranked last
    env.balancer.endpoints["s0"].last_outcome_ms = env.now
    env.handle(EndpointEjected("s0"))
    assert "s0" not in {env.complete_request() for _ in range(20)}
    env.handle(EndpointRestored("s0", env.now - 3000.0, env.now))
    assert env.complete_request() == "s0"
    assert env.complete_request() != "s0"  # from then on it is selected by its rank


@pytest.mark.parametrize(
    ("launched", "slow_start"),
    [
        (None, True),
        (-50_000.0, True),
        (-9_900.0, False),
    ],  # launch in ms relative to the restoration
)
def test_restored_endpoint_is_in_slow_start_unless_list_shows_it_warm(launched, slow_start):
    env = BalancerEnvironment(1)
    launched_ms = None if launched is None else env.now + launched
    env.handle(EndpointListUpdate(EndpointListKind.FULL, make_endpoints(1, launched_ms=launched_ms)))
    env.handle(EndpointEjected("s0"))
    ejected_ms = env.now - (5_000.0 if slow_start else 20_000.0)
    env.handle(EndpointRestored("s0", ejected_ms, env.now))
    env.now += 200.0  # in the last case 10.1 s after the listed launch, so not in slow start
    endpoint = env.balancer.endpoints["s0"]
    # The balancer sends as many requests as 100 servers usually get.
    env.balancer.state.peak_completion_rate, env.balancer.state.send_rate = 1.0, 100.0
    admitted = sum(slow_start_admits(env.balancer.state, env.now, endpoint) for _ in range(200))
    assert (admitted < 50) is slow_start


def test_restored_endpoint_starts_without_earlier_statistics():
    env = BalancerEnvironment(2)
    endpoint = env.balancer.endpoints["s0"]
    endpoint.latency_ratio, endpoint.error_rate, endpoint.reported_queue, endpoint.utilisation = (
        5.0,
        0.9,
        7.0,
        1.0,
    )
    env.handle(EndpointEjected("s0"))
    env.handle(EndpointRestored("s0", env.now - 3000.0, env.now))
    assert (endpoint.latency_ratio, endpoint.error_rate, endpoint.reported_queue, endpoint.utilisation) == (
        None,
        0.0,
        0.0,
        None,
    )


def test_second_ejection_applies_after_first_has_ended():
    env = BalancerEnvironment(2)
    env.handle(EndpointEjected("s0"))
    env.handle(EndpointRestored("s0", env.now, env.now))
    env.handle(EndpointEjected("s0"))
    assert "s0" not in env.balancer.state.restored
    assert {act.server for _ in range(8) for act in sent(env.send_request()[1])} == {"s1"}
