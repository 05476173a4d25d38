"""The list service's components without processes: configuration, catalog, HTTP limits, watch queries."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest

from loadbalancer.node.http.service_server import (
    MAX_HEAD_BYTES,
    HttpRequest,
    HttpResponse,
    ServerLimits,
    serve,
)
from loadbalancer.registry import watch
from loadbalancer.registry.catalog import TargetCatalog
from loadbalancer.registry.errors import ConfigError
from loadbalancer.registry.settings import load_agent, load_instance
from loadbalancer.registry.target import validate_target

VALID_CONFIG = (
    '[instance]\nname = "r0"\nlisten = "127.0.0.1:7401"\nraft = "127.0.0.1:7501"\npeers = []\ndata = "d"\n'
)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (
            VALID_CONFIG.replace('"127.0.0.1:7401"', '"10.0.0.1:7401"'),
            "instance.listen (line 3): '10.0.0.1:7401' is not",
        ),
        (VALID_CONFIG + "[lease]\nttl_ms = -5\n", "lease.ttl_ms (line 8): -5 is not above 0"),
        (
            VALID_CONFIG + "[raft]\nelection_min_ms = 900\nelection_max_ms = 800\n",
            "election_max_ms (line 9): not above",
        ),
        (VALID_CONFIG + "[raft]\nelection_max_ms = 1501\n", "election_max_ms (line 8): 1501 is over 1500"),
        (
            VALID_CONFIG + "[raft]\nappend_period_ms = 100\nelection_min_ms = 300\n",
            "election_min_ms (line 9): not above 3 x append_period_ms",
        ),
        (VALID_CONFIG.replace('name = "r0"\n', ""), "instance.name: missing"),
        (
            VALID_CONFIG + "[lease]\nttl_ms = 9\n[members]\nttl_ms = 9\n",
            "members.ttl_ms (line 10): 9 is not from 200",
        ),
        (VALID_CONFIG + "[watch\n", "Expected ']'"),
    ],
)
def test_configuration_error_names_key_and_line(tmp_path: Path, text: str, message: str) -> None:
    (tmp_path / "r.toml").write_text(text)
    with pytest.raises(ConfigError) as raised:
        load_instance(tmp_path / "r.toml")
    assert message in str(raised.value)


def test_agent_configuration_requires_an_instance(tmp_path: Path) -> None:
    (tmp_path / "a.toml").write_text('[agent]\nlisten = "127.0.0.1:7400"\nregistries = []\n')
    with pytest.raises(ConfigError, match=r"agent.registries \(line 3\): empty"):
        load_agent(tmp_path / "a.toml")


def test_catalog_ignores_equal_write_and_sends_complete_list_to_late_watch() -> None:
    catalog = TargetCatalog(max_tombstones=1, on_change=lambda revision: None)
    target = validate_target({"uid": "s-1", "endpoint": "127.0.0.1:1"})
    assert [catalog.put(target, 5, _doApply=True) for _ in range(2)] == [1, 1]
    catalog.put(validate_target({"uid": "s-2", "endpoint": "127.0.0.1:2"}), 6, _doApply=True)
    catalog.remove("s-1", 7, _doApply=True)
    assert [target["state"] for target in catalog.page(2).targets] == ["Gone"]
    catalog.remove("s-2", 8, _doApply=True)  # drops s-1's tombstone
    late, recent = catalog.page(2), catalog.page(3)
    assert (late.complete, late.targets, recent.complete) == (True, (), False)
    assert catalog.expire(10_000, 1_000, _doApply=True) == []


def test_http_server_closes_idle_malformed_endless_and_surplus_connections() -> None:
    async def main() -> tuple[bytes, ...]:
        async def handle(call: HttpRequest) -> HttpResponse:
            raise AssertionError("no request should reach the handler")

        limits = ServerLimits(body=10, idle_s=0.05, connections=3)
        server = await serve(("127.0.0.1", 0), handle, limits)
        address = server.sockets[0].getsockname()[:2]
        idle_reader, _ = await asyncio.open_connection(*address)
        malformed_reader, malformed = await asyncio.open_connection(*address)
        malformed.write(b"\x00\x01 not HTTP\r\n\r\n")
        async with asyncio.timeout(5):
            received = [await idle_reader.read(), await malformed_reader.read()]
            endless_reader, endless = await asyncio.open_connection(*address)
            endless.write(b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * MAX_HEAD_BYTES)
            # the server's reset may arrive before its response
            with contextlib.suppress(ConnectionError):
                await endless_reader.read()
            surplus = [await asyncio.open_connection(*address) for _ in range(4)]
            with contextlib.suppress(ConnectionError):
                received.append(await surplus[0][0].read())
        server.close()
        return tuple(received)

    idle, malformed, first = asyncio.run(main())
    assert (idle, first) == (b"", b"")
    assert malformed.startswith(b"HTTP/1.1 400 ")


@pytest.mark.parametrize("fields", [{}, {"since": "", "timeout_ms": ""}, {"timeout_ms": "0"}])
def test_empty_watch_field_is_treated_as_missing(fields: dict[str, str]) -> None:
    assert watch.parse_query(HttpRequest("GET", "/discovery/hosts", fields, {}, b"")) == (None, 0.0)
