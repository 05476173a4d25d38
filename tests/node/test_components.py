"""A further part of the node: it begins, reports and ends with it, and may hear of outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from loadbalancer.endpoints import AttemptResult
from loadbalancer.node import shutdown
from loadbalancer.node.node import Node
from tests.support.loopback import Discovery, Peer, ask, config, request, targets


class Recorded:
    """A part that notes what is asked of it, and whether the node served at that time."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self.seen: list[tuple[str, bool]] = []

    async def start(self) -> None:
        self.seen.append(("start", bool(self._node.listener.address)))

    async def stop(self) -> None:
        self.seen.append(("stop", bool(self._node.request_registry.in_progress)))

    def close(self) -> None:
        self.seen.append(("close", bool(self._node.request_registry.in_progress)))

    def metrics(self) -> str:
        return "proxy.recorded=1\n"


def test_a_part_starts_once_the_node_listens_and_stops_before_it_closes(monkeypatch, tmp_path):
    monkeypatch.setattr(shutdown, "MIN_DRAIN_S", 0.0)

    async def main():
        server, discovery = await Peer().start(), await Discovery().start()
        known = targets(s0=(server.endpoint, "Ready"))
        node = Node(config(discovery.endpoint, known=known, state=str(tmp_path / "state")))
        part = Recorded(node)
        node.components.append(part)
        heard: list[tuple[str, AttemptResult, dict[str, float]]] = []
        node.attempts.outcome_listeners.append(
            lambda outcome: heard.append((outcome.server, outcome.result, node.driver.balancer.in_flight()))
        )
        await node.start()
        assert (await ask(node, request())).status == 200
        # The module had heard of it first: nothing was in flight any more.
        assert heard == [("s0", AttemptResult.OK, {})]
        *_, kept, last = node.render_metrics().splitlines()
        assert (kept.partition(b"=")[0], last) == (b"proxy.state_write_ms", b"proxy.recorded=1")
        await node.stop()
        assert part.seen == [("start", True), ("stop", False), ("close", False)]
        for peer in (server, discovery):
            peer.stop()

    asyncio.run(main())


@pytest.mark.parametrize("state", [False, True])
def test_metrics_have_the_state_files_lines_only_where_one_is_kept(tmp_path, state):
    async def main():
        more = {"state": str(tmp_path / "state")} if state else {}
        node = Node(config("127.0.0.1:1", **more))
        assert (b"proxy.state_writes=0\n" in node.render_metrics()) is state
        assert node.render_metrics().endswith(b"\n")
        node.close()

    asyncio.run(main())


class Faulty(Recorded):
    """A part whose stop ends in this."""

    def __init__(self, node: Node, end: Callable[[], Awaitable[None]]) -> None:
        super().__init__(node)
        self._end = end

    async def stop(self) -> None:
        await self._end()


async def hang() -> None:
    await asyncio.Event().wait()


async def fail() -> None:
    raise RuntimeError("a part's fault")


@pytest.mark.parametrize("end", [hang, fail])
def test_a_part_that_hangs_or_fails_in_its_stop_keeps_no_other_from_its_own(monkeypatch, caplog, end):
    monkeypatch.setattr(shutdown, "MIN_DRAIN_S", 0.0)
    monkeypatch.setattr(shutdown, "COMPONENT_STOP_TIMEOUT_S", 0.05)

    async def main():
        node = Node(config("127.0.0.1:1"))
        faulty, other = Faulty(node, end), Recorded(node)
        node.components += [faulty, other]
        await node.start()
        async with asyncio.timeout(20):
            await node.stop()
        assert [name for name, _ in other.seen] == ["start", "stop", "close"]
        assert [name for name, _ in faulty.seen] == ["start", "close"]

    asyncio.run(main())
    assert [record.message for record in caplog.records if record.levelname == "ERROR"] == [
        "a component failed to stop"
    ]
