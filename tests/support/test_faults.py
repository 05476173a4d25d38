"""The fault-injecting relays themselves: each fault does what it says, that way only, and by its seed."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import ClassVar

import pytest

from tests.support.faults import LoopThread, Net, Relay
from tests.support.loopback import Message, StubServer, http_response

ASK = b"GET /read/%d HTTP/1.1\r\n\r\n"
SHORT_S = 0.15  # for what must not come: a wait that is too short can't fail a good relay


class Echo:
    """Answers each call with its path."""

    all_made: ClassVar[list[Echo]] = []  # since the fixture began, which ends them

    def __init__(self, loops: LoopThread) -> None:
        async def answer(message: Message) -> bytes:
            return http_response(200, message.start_line[1].encode())

        self.peer = loops.run(StubServer(answer).start())
        self.address = ("127.0.0.1", self.peer.port)
        Echo.all_made.append(self)

    @property
    def paths(self) -> list[str]:
        return [message.start_line[1] for message in self.peer.seen]


@pytest.fixture
def loops() -> Iterator[LoopThread]:
    thread = LoopThread()
    yield thread
    while Echo.all_made:
        thread.call(Echo.all_made.pop().peer.stop)
    thread.close()


def dial(address: tuple[str, int], timeout_s: float = 5.0) -> socket.socket:
    return socket.create_connection(address, timeout=timeout_s)


def tried(address: tuple[str, int]) -> socket.socket | None:
    with contextlib.suppress(TimeoutError):
        return dial(address, SHORT_S)
    return None


def answer(asker: socket.socket, timeout_s: float = 5.0) -> bytes:
    """The next answer's body; b"" if none came in time, or the connection ended."""
    asker.settimeout(timeout_s)
    data = b""
    with contextlib.suppress(TimeoutError, ConnectionError):
        while b"\r\n\r\n" not in data or not data.split(b"\r\n\r\n", 1)[1]:
            piece = asker.recv(65536)
            if not piece:
                break
            data += piece
    return data.partition(b"\r\n\r\n")[2]


def ask(asker: socket.socket, number: int, timeout_s: float = 5.0) -> bytes:
    asker.sendall(ASK % number)
    return answer(asker, timeout_s)


def eventually(check: Callable[[], bool]) -> None:
    deadline = time.monotonic() + 5.0
    while not check():
        assert time.monotonic() < deadline
        time.sleep(0.005)


def test_a_one_way_cut_holds_what_one_sends_whoever_dialled_and_healing_passes_it(loops: LoopThread) -> None:
    echoes = [Echo(loops) for _ in range(3)]
    net = Net([echo.address for echo in echoes])
    callers = {pair: dial(net.address(*pair)) for pair in net.links}
    try:
        for number, caller in enumerate(callers.values()):
            assert ask(caller, number) == b"/read/%d" % number
        net.cut_one_way(0, [1])
        assert ask(callers[0, 1], 7, SHORT_S) == b""  # what 0 asks is held
        assert "/read/7" not in echoes[1].paths
        assert ask(callers[1, 0], 8, SHORT_S) == b""  # what 1 asks arrives, and 0's answer is held
        assert "/read/8" in echoes[0].paths
        for pair in callers.keys() - {(0, 1), (1, 0)}:
            assert ask(callers[pair], 9) == b"/read/9"
        net.heal()
        assert answer(callers[0, 1]) == b"/read/7"
        assert answer(callers[1, 0]) == b"/read/8"
    finally:
        for caller in callers.values():
            caller.close()
        net.close()


def test_a_cut_takes_new_connections_without_setting_them_up_and_hides_the_end_of_old_ones(
    loops: LoopThread,
) -> None:
    echoes = [Echo(loops) for _ in range(2)]
    net = Net([echo.address for echo in echoes])
    try:
        with dial(net.address(0, 1)) as old:
            assert ask(old, 1) == b"/read/1"
            net.cut(0, 1)
            with dial(net.address(0, 1)) as new:
                assert ask(new, 2, SHORT_S) == b""
                assert echoes[1].peer.connections == 1
                loops.call(echoes[1].peer.stop)  # its connection closes, which a cut cable does not tell
                old.settimeout(SHORT_S)
                with pytest.raises(TimeoutError):
                    old.recv(1)
                net.heal()
                old.settimeout(5)
                assert old.recv(1) == b""
    finally:
        net.close()


def lost_by(loops: LoopThread, seed: str) -> tuple[list[bool], list[int]]:
    """Of 60 calls on connections of their own: was each lost, and the numbers of those that arrived."""
    echo = Echo(loops)
    relay = Relay(echo.address, seed)
    relay.lose(0.25)
    lost = []
    try:
        for number in range(60):
            with dial(relay.address) as caller:
                before = relay.lost_calls
                caller.sendall(ASK % number)
                eventually(lambda before=before, n=number: relay.lost_calls > before or said(echo, n))
                lost.append(relay.lost_calls > before)
                assert (answer(caller, 0.02 if lost[-1] else 5.0) == b"") == lost[-1]
    finally:
        relay.close()
    return lost, [int(path.rpartition("/")[2]) for path in echo.paths]


def said(echo: Echo, number: int) -> bool:
    return f"/read/{number}" in echo.paths


def test_loss_takes_the_calls_its_seed_says_some_before_and_some_after_their_effect(
    loops: LoopThread,
) -> None:
    lost, arrived = lost_by(loops, "a")
    assert 5 <= sum(lost) <= 30
    reached = [number in arrived for number, gone in enumerate(lost) if gone]
    assert True in reached
    assert False in reached
    assert all(number in arrived for number, gone in enumerate(lost) if not gone)
    assert lost_by(loops, "a") == (lost, arrived)
    assert lost_by(loops, "b")[0] != lost


def test_each_way_is_as_late_as_it_is_told_and_jitter_keeps_the_order(loops: LoopThread) -> None:
    echo = Echo(loops)
    relay = Relay(echo.address, seed=1)
    try:
        with dial(relay.address) as caller:
            assert ask(caller, 0) == b"/read/0"
            relay.delay(60, way="there")
            relay.delay(40, way="back")
            began = time.monotonic()
            assert ask(caller, 1) == b"/read/1"
            assert time.monotonic() - began >= 0.1
            relay.delay(0, jitter_ms=20, way="there")
            for number in range(2, 22):
                caller.sendall(ASK % number)
                time.sleep(0.001)  # so that they go through as pieces of their own
            eventually(lambda: len(echo.paths) == 22)
            assert echo.paths == [f"/read/{number}" for number in range(22)]
    finally:
        relay.close()


def test_reset_ends_what_is_open_and_a_relay_that_stops_accepting_lets_dialling_time_out(
    loops: LoopThread,
) -> None:
    relay = Relay(Echo(loops).address)
    try:
        with dial(relay.address) as caller:
            assert ask(caller, 1) == b"/read/1"
            relay.reset()
            with pytest.raises(ConnectionResetError):
                caller.recv(1)
        relay.accept(False)
        with dial(relay.address) as queued, contextlib.ExitStack() as more:
            late = [tried(relay.address) for _ in range(4)]
            for one in filter(None, late):
                more.enter_context(one)
            assert None in late  # the queue has room for one or two
            relay.accept(True)
            assert ask(queued, 2) == b"/read/2"
    finally:
        relay.close()


def test_a_net_of_20_programs_runs_its_380_relays_on_one_thread(loops: LoopThread) -> None:
    echo = Echo(loops)
    threads = threading.active_count()
    net = Net([echo.address] * 20)
    try:
        assert threading.active_count() == threads + 1
        net.cut(range(10), range(10, 20))
        with dial(net.address(3, 4)) as within, dial(net.address(3, 14)) as across:
            assert ask(within, 1) == b"/read/1"
            assert ask(across, 2, SHORT_S) == b""
            net.heal()
            assert answer(across) == b"/read/2"
    finally:
        net.close()
