"""Requests that a caller sends at once, in pieces: the time of those that wait unread runs too."""

from __future__ import annotations

import asyncio

import pytest
from callers import connect
from clocks import run
from loopback import Held, Message, Peer, reply, request, running, until

DEADLINE_S = 1.0
LATE_S = 0.5  # past its time by so much a request is lost, by the operators' terms
DATA = b"".join(request(name=f"q{at}", Req_Deadline_Ms="1000") for at in range(4))
CUT = len(request(name="q0", Req_Deadline_Ms="1000")) + 30  # the first request and a part of the second


@pytest.mark.parametrize("answered_at_s", [0.3, 0.8, None], ids=["early", "late", "never"])
def test_the_time_of_a_request_runs_while_it_waits_unread_behind_another(answered_at_s: float | None):
    """Guard: it had its whole time once more when it was read, and its answer came a second too late."""

    async def main():
        first_is_due = asyncio.Event()

        async def hang_after_the_first(message: Message) -> bytes:
            await (first_is_due if message.headers["req-id"] == "q0" else asyncio.Event()).wait()
            return reply()

        server = Peer(hang_after_the_first)
        async with running(server) as node:
            caller, loop = connect(node), asyncio.get_running_loop()
            caller.setblocking(False)
            await loop.sock_sendall(caller, DATA[:CUT])
            await until(lambda: server.seen)
            (connection,) = node.server.connections
            assert not connection._transport.is_reading()
            await loop.sock_sendall(caller, DATA[CUT:])
            began = loop.time()
            if answered_at_s is not None:
                await asyncio.sleep(answered_at_s)
                first_is_due.set()
            read = b""
            while read.count(b"HTTP/1.1 ") < 4:
                read += await asyncio.wait_for(loop.sock_recv(caller, 65_536), 20.0)
            assert loop.time() - began < DEADLINE_S + LATE_S / 2
            left_ms = 1000 * (DEADLINE_S - (answered_at_s or 0.0))
            assert all(int(message.headers["req-deadline-ms"]) <= left_ms for message in server.seen[1:])
            assert len(server.seen) == (1 if answered_at_s is None else 2)
            caller.close()

    run(main())


def test_a_request_that_comes_after_the_reading_goes_on_has_its_whole_time():
    async def main():
        server = Held()
        async with running(server) as node:
            caller, loop = connect(node), asyncio.get_running_loop()
            caller.setblocking(False)
            await loop.sock_sendall(caller, DATA[:CUT])
            await until(lambda: server.seen)
            await asyncio.sleep(0.8 * DEADLINE_S)
            server.release.set()  # nothing has come meanwhile: the reading goes on, and then comes the rest
            await until(lambda: node.counts["answered 200"])
            (connection,) = node.server.connections
            await until(connection._transport.is_reading)
            await loop.sock_sendall(caller, DATA[CUT:])
            await until(lambda: len(server.seen) == 4)
            assert int(server.seen[1].headers["req-deadline-ms"]) > 950
            caller.close()

    run(main())
