"""Start times of endpoints after the wall clock has stepped."""

from __future__ import annotations

import asyncio
import time

import pytest

from loadbalancer.endpoints import Endpoint, EndpointListKind
from loadbalancer.node.discovery.response import DiscoveryResponse
from tests.support.loopback import StubServer, loopback_node

HOUR_MS = 3_600_000.0


@pytest.mark.parametrize("step_ms", [HOUR_MS, -HOUR_MS, 50.0])
def test_age_of_an_endpoint_is_real_time_after_the_wall_clock_has_stepped(monkeypatch, step_ms: float):
    async def main():
        async with loopback_node(StubServer()) as node:
            balancer, addresses = node.driver.balancer, {"s0": ("127.0.0.1", 1)}

            def list_endpoint(launched_ms: float, revision: int) -> float:
                endpoint = Endpoint("s0", launched_ms=launched_ms)
                update = DiscoveryResponse(revision, True, (endpoint,), addresses)
                node.endpoint_list.apply_update(EndpointListKind.FULL, update)
                assert node.endpoint_list.complete_list().endpoints[0].launched_ms == launched_ms
                return node.clock.unix_ms() - balancer.endpoints["s0"].listed.launched_ms

            before_ms = time.time() * 1000.0
            assert 60_000.0 <= list_endpoint(before_ms - 60_000.0, 2) < 61_000.0
            real = time.time
            monkeypatch.setattr(time, "time", lambda: real() + step_ms / 1000.0)
            # Listed before the step: its age doesn't change. Restarted after it: its age is by the new clock.
            assert 60_000.0 <= list_endpoint(before_ms - 60_000.0, 3) < 61_000.0
            age_ms = list_endpoint(time.time() * 1000.0 - 2_000.0, 4)
            assert abs(age_ms - 2_000.0) < 1_000.0
            assert abs(list_endpoint(time.time() * 1000.0 - 2_000.0, 5) - 2_000.0) < 1_000.0

    asyncio.run(main())
