"""Optional components of a node: start, stop, metrics, and listening to attempt outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from loadbalancer.endpoints import AttemptResult
from loadbalancer.node import shutdown
from loadbalancer.node.node import Node
from tests.support.loopback import Discovery, StubServer, config, exchange, request, targets


class RecordingComponent:
    """A component that records each call and whether the node listened or had requests in progress."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self.calls: list[tuple[str, bool]] = []

    async def start(self) -> None:
        self.calls.append(("start", bool(self._node.listener.address)))

    async def stop(self) -> None:
        self.calls.append(("stop", bool(self._node.request_registry.in_progress)))

    def close(self) -> None:
        self.calls.append(("close", bool(self._node.request_registry.in_progress)))

    def metrics(self) -> str:
        return "proxy.recorded=1\n"


def test_component_starts_after_listener_and_stops_before_close(monkeypatch, tmp_path):
    monkeypatch.setattr(shutdown, "MIN_DRAIN_S", 0.0)

    async def main():
        server, discovery = await StubServer().start(), await Discovery().start()
        known = targets(s0=(server.endpoint, "Ready"))
        node = Node(config(discovery.endpoint, known=known, state=str(tmp_path / "state")))
        component = RecordingComponent(node)
        node.components.append(component)
        outcomes: list[tuple[str, AttemptResult, dict[str, float]]] = []
        node.attempts.outcome_listeners.append(
            lambda outcome: outcomes.append(
                (outcome.server, outcome.result, node.driver.balancer.in_flight())
            )
        )
        await node.start()
        assert (await exchange(node, request())).status == 200
        # The balancer handles an outcome before the listeners do: nothing is in flight any more.
        assert outcomes == [("s0", AttemptResult.OK, {})]
        *_, node_line, component_line = node.render_metrics().splitlines()
        assert (node_line.partition(b"=")[0], component_line) == (
            b"proxy.state_write_ms",
            b"proxy.recorded=1",
        )
        await node.stop()
        assert component.calls == [("start", True), ("stop", False), ("close", False)]
        for stub in (server, discovery):
            stub.stop()

    asyncio.run(main())


@pytest.mark.parametrize("state", [False, True])
def test_state_file_metrics_appear_only_if_state_is_configured(tmp_path, state):
    async def main():
        more = {"state": str(tmp_path / "state")} if state else {}
        node = Node(config("127.0.0.1:1", **more))
        assert (b"proxy.state_writes=0\n" in node.render_metrics()) is state
        assert node.render_metrics().endswith(b"\n")
        node.close()

    asyncio.run(main())


class FaultyComponent(RecordingComponent):
    """A component whose `stop` runs `end`."""

    def __init__(self, node: Node, end: Callable[[], Awaitable[None]]) -> None:
        super().__init__(node)
        self._end = end

    async def stop(self) -> None:
        await self._end()


async def hang() -> None:
    await asyncio.Event().wait()


async def fail() -> None:
    raise RuntimeError("fault of a component")


@pytest.mark.parametrize("end", [hang, fail])
def test_component_that_hangs_or_fails_in_stop_does_not_block_others(monkeypatch, caplog, end):
    monkeypatch.setattr(shutdown, "MIN_DRAIN_S", 0.0)
    monkeypatch.setattr(shutdown, "COMPONENT_STOP_TIMEOUT_S", 0.05)

    async def main():
        node = Node(config("127.0.0.1:1"))
        faulty, other = FaultyComponent(node, end), RecordingComponent(node)
        node.components += [faulty, other]
        await node.start()
        async with asyncio.timeout(20):
            await node.stop()
        assert [name for name, _ in other.calls] == ["start", "stop", "close"]
        assert [name for name, _ in faulty.calls] == ["start", "close"]

    asyncio.run(main())
    assert [record.message for record in caplog.records if record.levelname == "ERROR"] == [
        "a component failed to stop"
    ]
