"""Measurement of the data path (bench/scale): paired requests, failed requests, parsing of rates."""

from __future__ import annotations

import asyncio
import os

import pytest
import typer

from bench.scale.client import CallTime, Client, FailedCallError, is_complete
from bench.scale.core_waits import CoreWaits
from bench.scale.datapath import groups_at, parse_rates
from bench.scale.paired import DIRECT, NOISE, UNDISTURBED_NS, PairedResult, PairedRun, PathTimes
from tests.support.loopback import Message, StubServer, http_response

SLOW_S = 0.02


async def _paired(direct: StubServer, node: StubServer, groups: int) -> PairedResult:
    for peer in (direct, node):
        await peer.start()
    addresses = {DIRECT: direct.port, NOISE: direct.port, "off": node.port}
    clients = {name: Client([("127.0.0.1", port)], seed=1) for name, port in addresses.items()}
    try:
        return await PairedRun(clients, rate=1000.0, seed=1).measure(groups)
    finally:
        for client in clients.values():
            client.close()
        for peer in (direct, node):
            peer.stop()


def test_added_latency_is_relative_to_direct_request_of_same_group() -> None:
    async def slow(_message: Message) -> bytes:
        await asyncio.sleep(SLOW_S)
        return http_response()

    found = asyncio.run(_paired(StubServer(), StubServer(slow), groups=50))

    assert found.groups == 50
    assert found.failed == {}
    through, added = found.paths["off"].total, found.paths["off"].added
    assert through.get_min_value() >= SLOW_S * 1e6 * 0.99  # the histogram has three significant digits
    assert 0 < added.get_value_at_percentile(50) <= through.get_value_at_percentile(50)
    assert found.paths[DIRECT].added.get_max_value() == 0


def test_pairs_that_waited_for_a_core_count_as_disturbed() -> None:
    times = PathTimes()
    direct = CallTime(1_000_000, UNDISTURBED_NS // 2)
    times.record(CallTime(3_000_000, UNDISTURBED_NS // 2), direct)
    times.record(CallTime(9_000_000, UNDISTURBED_NS), direct)
    assert times.added.get_total_count() == 2
    assert times.undisturbed.get_total_count() == 1
    assert times.undisturbed.get_max_value() == pytest.approx(2000, rel=0.01)


def test_core_waits_are_read_from_scheduler() -> None:
    waits = CoreWaits([os.getpid()])
    before = waits()
    assert before > 0
    assert waits() >= before
    waits.close()


def test_group_with_failed_request_is_counted_and_not_measured() -> None:
    async def refuse(_message: Message) -> bytes:
        return http_response(503, b"")

    found = asyncio.run(_paired(StubServer(), StubServer(refuse), groups=5))

    assert found.groups == 0
    assert found.failed == {("off", "HTTP/1.1 503 Word"): 5}
    assert (found.failed_by("off"), found.failed_by(DIRECT)) == (5, 0)


def test_closed_connection_fails_its_request() -> None:
    async def closed() -> None:
        async def close(_message: Message) -> None:
            return None

        peer = await StubServer(close).start()
        client = Client([("127.0.0.1", peer.port)], seed=1)
        try:
            with pytest.raises(FailedCallError, match="closed"):
                await client.call("call-1")
        finally:
            peer.stop()

    asyncio.run(closed())


def test_response_is_complete_with_all_of_its_body() -> None:
    head = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n"
    assert not is_complete(b"HTTP/1.1 200 OK\r\n")
    assert not is_complete(head + b"don")
    assert is_complete(head + b"done")


def test_slow_rate_is_measured_longer_within_time_limit() -> None:
    assert groups_at(400.0, 30.0) == 12_000
    assert groups_at(93.0, 30.0) == 3_000
    assert groups_at(1.0, 30.0) == 150


def test_rates_outside_range_are_rejected() -> None:
    assert parse_rates("23,93") == [23.0, 93.0]
    for text in ("0", "1,9999", "x"):
        with pytest.raises(typer.BadParameter):
            parse_rates(text)
