"""Fault-injecting relays: each fault has its effect, in its direction only, and as its seed decides."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import ClassVar

import pytest

from tests.support.faults import LoopThread, Relay, RelayNetwork
from tests.support.loopback import Message, StubServer, http_response

REQUEST = b"GET /read/%d HTTP/1.1\r\n\r\n"
SHORT_S = 0.15  # to check that nothing arrives: too short a wait can't fail a correct relay


class EchoServer:
    """Responds to each request with its path."""

    running: ClassVar[list[EchoServer]] = []  # the `loops` fixture stops them

    def __init__(self, loops: LoopThread) -> None:
        async def respond(message: Message) -> bytes:
            return http_response(200, message.start_line[1].encode())

        self.peer = loops.run(StubServer(respond).start())
        self.address = ("127.0.0.1", self.peer.port)
        EchoServer.running.append(self)

    @property
    def paths(self) -> list[str]:
        return [message.start_line[1] for message in self.peer.seen]


@pytest.fixture
def loops() -> Iterator[LoopThread]:
    thread = LoopThread()
    yield thread
    while EchoServer.running:
        thread.call(EchoServer.running.pop().peer.stop)
    thread.close()


def connect(address: tuple[str, int], timeout_s: float = 5.0) -> socket.socket:
    return socket.create_connection(address, timeout=timeout_s)


def connect_or_none(address: tuple[str, int]) -> socket.socket | None:
    """Return the connection, or None if it is not accepted in SHORT_S."""
    with contextlib.suppress(TimeoutError):
        return connect(address, SHORT_S)
    return None


def receive_body(client: socket.socket, timeout_s: float = 5.0) -> bytes:
    """Return the next response's body, or b"" after a timeout or if the connection ended."""
    client.settimeout(timeout_s)
    data = b""
    with contextlib.suppress(TimeoutError, ConnectionError):
        while b"\r\n\r\n" not in data or not data.split(b"\r\n\r\n", 1)[1]:
            chunk = client.recv(65536)
            if not chunk:
                break
            data += chunk
    return data.partition(b"\r\n\r\n")[2]


def send_request(client: socket.socket, number: int, timeout_s: float = 5.0) -> bytes:
    client.sendall(REQUEST % number)
    return receive_body(client, timeout_s)


def eventually(check: Callable[[], bool]) -> None:
    deadline = time.monotonic() + 5.0
    while not check():
        assert time.monotonic() < deadline
        time.sleep(0.005)


def test_one_way_partition_blocks_one_sender_on_all_connections_until_healed(loops: LoopThread) -> None:
    servers = [EchoServer(loops) for _ in range(3)]
    network = RelayNetwork([server.address for server in servers])
    clients = {pair: connect(network.address(*pair)) for pair in network.links}
    try:
        for number, client in enumerate(clients.values()):
            assert send_request(client, number) == b"/read/%d" % number
        network.partition_one_way(0, [1])
        # A request of 0 is blocked; a request of 1 arrives, and the response of 0 is blocked.
        assert send_request(clients[0, 1], 7, SHORT_S) == b""
        assert "/read/7" not in servers[1].paths
        assert send_request(clients[1, 0], 8, SHORT_S) == b""
        assert "/read/8" in servers[0].paths
        for pair in clients.keys() - {(0, 1), (1, 0)}:
            assert send_request(clients[pair], 9) == b"/read/9"
        network.heal()
        assert receive_body(clients[0, 1]) == b"/read/7"
        assert receive_body(clients[1, 0]) == b"/read/8"
    finally:
        for client in clients.values():
            client.close()
        network.close()


def test_partition_accepts_without_connecting_and_hides_closed_connections(
    loops: LoopThread,
) -> None:
    servers = [EchoServer(loops) for _ in range(2)]
    network = RelayNetwork([server.address for server in servers])
    try:
        with connect(network.address(0, 1)) as old:
            assert send_request(old, 1) == b"/read/1"
            network.partition(0, 1)
            with connect(network.address(0, 1)) as new:
                assert send_request(new, 2, SHORT_S) == b""
                assert servers[1].peer.connections == 1
                loops.call(servers[1].peer.stop)  # closes its connection, which a partition must hide
                old.settimeout(SHORT_S)
                with pytest.raises(TimeoutError):
                    old.recv(1)
                network.heal()
                old.settimeout(5)
                assert old.recv(1) == b""
    finally:
        network.close()


def lost_calls_with(loops: LoopThread, seed: str) -> tuple[list[bool], list[int]]:
    """Make 60 calls on a connection each; return whether each was lost, and the numbers that arrived."""
    server = EchoServer(loops)
    relay = Relay(server.address, seed)
    relay.lose(0.25)
    lost = []
    try:
        for number in range(60):
            with connect(relay.address) as client:
                before = relay.lost_calls
                client.sendall(REQUEST % number)
                eventually(
                    lambda before=before, n=number: relay.lost_calls > before or was_received(server, n)
                )
                lost.append(relay.lost_calls > before)
                assert (receive_body(client, 0.02 if lost[-1] else 5.0) == b"") == lost[-1]
    finally:
        relay.close()
    return lost, [int(path.rpartition("/")[2]) for path in server.paths]


def was_received(server: EchoServer, number: int) -> bool:
    return f"/read/{number}" in server.paths


def test_loss_of_calls_and_responses_is_decided_by_seed(loops: LoopThread) -> None:
    lost, arrived = lost_calls_with(loops, "a")
    assert 5 <= sum(lost) <= 30
    reached = [number in arrived for number, call_lost in enumerate(lost) if call_lost]
    assert True in reached
    assert False in reached
    assert all(number in arrived for number, call_lost in enumerate(lost) if not call_lost)
    assert lost_calls_with(loops, "a") == (lost, arrived)
    assert lost_calls_with(loops, "b")[0] != lost


def test_delay_applies_per_direction_and_jitter_preserves_order(loops: LoopThread) -> None:
    server = EchoServer(loops)
    relay = Relay(server.address, seed=1)
    try:
        with connect(relay.address) as client:
            assert send_request(client, 0) == b"/read/0"
            relay.delay(60, direction="forward")
            relay.delay(40, direction="reverse")
            started = time.monotonic()
            assert send_request(client, 1) == b"/read/1"
            assert time.monotonic() - started >= 0.1
            relay.delay(0, jitter_ms=20, direction="forward")
            for number in range(2, 22):
                client.sendall(REQUEST % number)
                time.sleep(0.001)  # so that each request is a chunk of its own
            eventually(lambda: len(server.paths) == 22)
            assert server.paths == [f"/read/{number}" for number in range(22)]
    finally:
        relay.close()


def test_reset_ends_connections_and_disabled_accepting_times_out_clients(loops: LoopThread) -> None:
    relay = Relay(EchoServer(loops).address)
    try:
        with connect(relay.address) as client:
            assert send_request(client, 1) == b"/read/1"
            relay.reset()
            with pytest.raises(ConnectionResetError):
                client.recv(1)
        relay.set_accepting(False)
        with connect(relay.address) as queued, contextlib.ExitStack() as stack:
            attempts = [connect_or_none(relay.address) for _ in range(4)]
            for connection in filter(None, attempts):
                stack.enter_context(connection)
            assert None in attempts  # the accept queue has capacity for one or two
            relay.set_accepting(True)
            assert send_request(queued, 2) == b"/read/2"
    finally:
        relay.close()


def test_network_of_20_programs_runs_380_relays_on_one_thread(loops: LoopThread) -> None:
    server = EchoServer(loops)
    threads = threading.active_count()
    network = RelayNetwork([server.address] * 20)
    try:
        assert threading.active_count() == threads + 1
        network.partition(range(10), range(10, 20))
        with connect(network.address(3, 4)) as same_side, connect(network.address(3, 14)) as other_side:
            assert send_request(same_side, 1) == b"/read/1"
            assert send_request(other_side, 2, SHORT_S) == b""
            network.heal()
            assert receive_body(other_side) == b"/read/2"
    finally:
        network.close()
