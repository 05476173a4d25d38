"""Several node processes under faults, and the stub servers that these tests use."""

from __future__ import annotations

import http.client
from collections import Counter
from pathlib import Path

import pytest

from tests.support.load import Load
from tests.support.node_processes import Nodes
from tests.support.registry_processes import Registry, until
from tests.support.stub_servers import Behaviour, StubServerPool


def test_killed_and_paused_nodes_lose_only_their_own_requests(tmp_path: Path) -> None:
    pool, registry = StubServerPool(3, latency_ms=2.0), Registry(tmp_path, ttl_ms=60_000)
    nodes = Nodes(
        tmp_path, registry, 3, known=[], row=lambda index: {"state": str(tmp_path / f"n{index}.state")}
    )
    load = None
    try:
        for index in range(3):
            registry.put(f"s{index}", pool.port(index), az="a")
        nodes.start()
        for node in nodes:
            until(lambda node=node: node.endpoint_count() == 3, what="a node's complete list")
        assert nodes.call_admin(0, "/status/metrics")[0] == 200
        load = Load(nodes.ports, kind="post", workers=6)

        def wait_for_more(index: int, count: int, status: int = 200) -> None:
            def seen() -> int:
                return Counter((o.port, o.status) for o in list(load.outcomes.values()))[
                    nodes[index].port, status
                ]

            target = seen() + count
            until(lambda: seen() >= target, what=f"{count} more {status} from node {index}")

        for index in range(3):
            wait_for_more(index, 20)
        nodes.kill(2)
        wait_for_more(2, 1, status=0)
        nodes.pause(1)
        wait_for_more(0, 1)
        nodes.start(2)
        nodes.resume(1)
        for index in range(3):
            wait_for_more(index, 20)
        assert len(nodes[2].log_lines("n2.state:")) == 2  # one per start: keys of `row` reach the node
        load.finish()
        lost = {o.port for o in load.outcomes.values() if o.status == 0}
        assert lost <= {nodes[1].port, nodes[2].port}
        succeeded = {name for name, outcome in load.outcomes.items() if outcome.status == 200}
        assert succeeded <= pool.servers_reached.keys()
        assert pool.max_attempts() == 1, "a single-shot request reached servers twice"
    finally:
        if load is not None:
            load.finish()
        nodes.close()
        registry.stop()
        pool.close()


@pytest.mark.parametrize(("behaviour", "status"), [("respond", 200), ("fail", 500), ("drop", 0), ("hang", 0)])
def test_stub_server_follows_its_behaviour_and_records_the_request(behaviour: Behaviour, status: int) -> None:
    pool = StubServerPool(2)
    connection = http.client.HTTPConnection("127.0.0.1", pool.port(1), timeout=0.2)
    try:
        pool.set_behaviour(1, behaviour)
        connection.request("GET", "/read/1", headers={"Req-Id": "a"})
        try:
            received = connection.getresponse().status
        except (OSError, http.client.HTTPException):
            received = 0
        assert received == status
        assert pool.servers_reached == {"a": ["s1"]}
        assert pool.request_counts == {"s1": 1}
    finally:
        connection.close()
        pool.close()
