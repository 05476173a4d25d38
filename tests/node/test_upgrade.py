"""Upgrades: two processes that accept from one listening socket, which the platform holds."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest

from loadbalancer.node import shutdown
from loadbalancer.node.config import NodeConfig
from loadbalancer.node.listener.listener import inherited_socket
from loadbalancer.node.node import Node
from tests.support.loopback import Caller, Held, Peer, ask, request, running, until

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"


def listening() -> socket.socket:
    return socket.create_server(("127.0.0.1", 0))


def beside(node: Node, raw: socket.socket) -> NodeConfig:
    """The configuration of a second process on the same socket."""
    fields = {name: getattr(node.config, name) for name in NodeConfig.__dataclass_fields__}
    return NodeConfig(**fields | {"accept_fd": str(os.dup(raw.fileno()))})


def test_callers_are_accepted_from_the_inherited_socket():
    async def main():
        raw = listening()
        async with running(Peer(), accept_fd=str(os.dup(raw.fileno()))) as node:
            assert node.listener.address == raw.getsockname()
            assert (await ask(node, request())).status == 200
        # The platform's own copy still listens once the node has gone.
        _, writer = await asyncio.open_connection(*raw.getsockname())
        writer.close()
        raw.close()

    asyncio.run(main())


def test_what_is_no_listening_socket_is_a_failed_start_and_left_alone(tmp_path):
    plain = (tmp_path / "file").open("w")
    unbound = socket.socket()
    datagrams = socket.socket(type=socket.SOCK_DGRAM)
    wrong = [
        "5x",
        "-1",
        "99999",
        "9" * 40,
        str(plain.fileno()),
        str(unbound.fileno()),
        str(datagrams.fileno()),
    ]
    for text in wrong:
        with pytest.raises(OSError, match="descriptor"):
            inherited_socket(text)
    for what in (plain, unbound, datagrams):
        os.fstat(what.fileno())  # it has not been closed
        what.close()


def test_the_new_process_takes_what_comes_while_the_old_one_finishes_what_it_holds():
    async def main():
        raw, server = listening(), Held()
        async with running(server, accept_fd=str(os.dup(raw.fileno()))) as old:
            busy, idle = await Caller.to(old), await Caller.to(old)
            busy.writer.write(request(name="held"))
            assert (await idle.ask(UP)).status == 200
            await until(lambda: server.seen)
            new = Node(beside(old, raw))
            await new.start()
            stopping = asyncio.create_task(old.stop())
            await until(lambda: old.stopping)
            for _ in range(20):  # the old process would say no
                answer = await ask(new, UP)
                assert answer.status == 200
            assert not stopping.done()
            # A kept connection may bring one more request.
            answer = await idle.ask(UP)
            assert answer.headers["connection"] == "close"
            server.release.set()
            answer = await busy.answer()
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            await stopping
            assert (await ask(new, request(name="after"))).status == 200
            new.close()
        raw.close()

    asyncio.run(main())


@pytest.mark.parametrize("shared", [True, False])
def test_idle_callers_are_let_go_later_where_a_new_process_stands_by(monkeypatch, shared):
    async def main():
        raw = listening()
        more = {"accept_fd": str(os.dup(raw.fileno()))} if shared else {}
        async with running(Peer(), **more) as node:
            waits: list[float] = []
            monkeypatch.setattr(
                node.listener,
                "drain",
                lambda grace_s=0.0, close_idle_after_s=0.0: waits.append(close_idle_after_s) or None,
            )
            monkeypatch.setattr(shutdown, "MIN_DRAIN_S", 0.0)
            await node.stop()
            assert waits == [shutdown.SHARED_SOCKET_DRAIN_S if shared else 0.0]
        raw.close()

    asyncio.run(main())
