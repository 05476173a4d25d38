"""A node process that follows the list service through an agent, with faults in both."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.support.load import Load
from tests.support.node_processes import Node
from tests.support.ports import free_port
from tests.support.registry_processes import Registry, until
from tests.support.relay import Relay
from tests.support.stub_servers import StubServerPool

PUSH = {"registryMode": "push"}


@pytest.fixture
def backends() -> Iterator[StubServerPool]:
    servers = StubServerPool(3)
    yield servers
    servers.close()


def test_node_started_without_agent_follows_registry_through_faults(
    tmp_path: Path, backends: StubServerPool
) -> None:
    registry = Registry(tmp_path, ttl_ms=60_000)
    agent_port = free_port()
    relay = Relay(("127.0.0.1", agent_port))  # between the node and its agent, which is not started yet
    node = Node(tmp_path, backends.known_targets(0), relay.address[1], settings=PUSH)
    node.start()
    client = Load(node.port)
    agent = None
    try:
        until(lambda: backends.request_counts["s0"] > 5, condition="requests served from the known list")
        registry.put("s1", backends.port(1), az="a")
        agent = registry.agent(agent_port, wait_ms=500)
        until(lambda: backends.request_counts["s1"] > 5, condition="the node following the agent")

        registry.kill(registry.leader())
        registry.put("s2", backends.port(2), az="a")  # a write after the leader was killed
        registry.remove("s1")
        until(
            lambda: backends.request_counts["s2"] > 5,
            condition="a change committed after the leader was killed",
        )

        relay.set_blocked(True)  # the node's watch gets no response
        before = backends.request_counts["s2"]
        until(
            lambda: backends.request_counts["s2"] > before + 20,
            condition="requests served while discovery is silent",
        )
        relay.set_blocked(False)
        relay.reset()
        dropped = backends.request_counts["s0"]
        registry.put("s0", backends.port(0), az="a")
        registry.remove("s2")
        until(
            lambda: backends.request_counts["s0"] > dropped + 5,
            condition="the node following again after the silence",
        )
        hits_after_removal = backends.request_counts["s2"]
        until(
            lambda: backends.request_counts["s0"] > dropped + 50, condition="requests served after the change"
        )
        assert backends.request_counts["s2"] - hits_after_removal <= 1, "a removed server still gets requests"
    finally:
        outcomes = client.finish()
        node.stop()
        if agent is not None:
            agent.stop()
        relay.close()
        registry.stop()
    assert outcomes[0] == 0, f"requests lost: {outcomes}"
    assert outcomes[200] == sum(outcomes.values()), f"not all served: {outcomes}"


def test_two_nodes_agree_with_registry_after_leader_loss_and_reset(
    tmp_path: Path, backends: StubServerPool
) -> None:
    registry = Registry(tmp_path, ttl_ms=60_000)
    agents = [registry.agent(), registry.agent()]
    relay = Relay(("127.0.0.1", agents[1].port))  # between the second node and its agent
    nodes = [
        Node(tmp_path, backends.known_targets(0), port, settings=PUSH)
        for port in (agents[0].port, relay.address[1])
    ]
    for node in nodes:
        node.start()
    try:
        for number in range(5):
            registry.put(f"s{number}", backends.port(number % 3), az="a")
        for node in nodes:
            until(
                lambda node=node: node.endpoint_count() == 5, within_s=6, condition="five servers at a node"
            )
        registry.kill(registry.leader())
        relay.reset()
        registry.remove("s1")  # a removal after the leader was killed
        for number in range(5, 8):
            registry.put(f"s{number}", backends.port(number % 3), az="a")
        live = len(registry.listed(registry.live()[0]))
        assert live == 7
        for node in nodes:  # within PROTOCOL's 6 s of the last write
            until(
                lambda node=node: node.endpoint_count() == live,
                within_s=6,
                condition="a node's list after the faults",
            )
    finally:
        for node in nodes:
            node.stop()
        for agent in agents:
            agent.stop()
        relay.close()
        registry.stop()
