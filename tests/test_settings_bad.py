"""Invalid, missing and unusual settings: a one-line error, and exit code 2 of the program."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson
import pytest

from loadbalancer.balancing import Balancer
from loadbalancer.balancing.actions import Fail, Send
from loadbalancer.balancing.events import AttemptOutcome, EndpointListUpdate, Request, TimerFired
from loadbalancer.endpoints import AttemptResult, Endpoint, EndpointListKind
from loadbalancer.node.config import NodeConfig, parse_config
from loadbalancer.service_settings import DeduplicationScope
from tests.support.loopback import config_document, targets

ROOT = Path(__file__).parents[1]
ABSENT = object()
HUGE = 1e308
VALUES: tuple[Any, ...] = (
    ABSENT,
    None,
    "",
    "x",
    -1,
    0,
    1e-300,
    HUGE,
    True,
    False,
    [],
    {},
    [1],
    {"a": 1},
    ["x"],
)


def full_row() -> dict[str, Any]:
    """Return a configuration with every key that a node reads."""
    row = config_document(
        "127.0.0.1:9",
        known=targets(s0=("127.0.0.1:8", "Ready")),
        settings={
            "accounts": [{"name": "north", "fraction": 0.5, "quotaPerS": 4.0}],
            "clients": {"marksRetry": True},
            "goal": {"whole": 0.5},
            "granularityMs": 1.0,
            "invariants": {
                "answerSlackMs": 5.0,
                "askWithinMs": 10000.0,
                "coldFrom": 0.3,
                "coldMs": 800.0,
                "drainGraceMs": 2000.0,
                "overloadFactor": 3.0,
                "tipAfterMs": 1500.0,
            },
            "me": 0,
            "overShareWorth": 0.2,
            "prices": {"crossZone": 0.05, "waste": 0.1},
            "siblings": 3,
            "tier": 0,
            "tiers": ["front"],
            "valueBy": "work",
            "zones": ["a", "b"],
        },
    )
    all_keys = {
        "aimStretch": 1.0,
        "credit": 2.0,
        "lateWorth": 0.5,
        "keyScope": "zone",
        "memorySpanMs": 300.0,
        "stream": False,
    }
    row["settings"]["categories"] = [
        all_keys | service_class for service_class in row["settings"]["categories"]
    ]
    return orjson.loads(
        orjson.dumps(row | {"operator": "127.0.0.1:7", "state_every_ms": 500.0, "state": "s"})
    )


def key_paths(value: Any, parent: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, item in items:
        yield (*parent, key)
        yield from key_paths(item, (*parent, key))


def config_with(path: tuple[Any, ...], value: Any) -> bytes:
    row = parent = full_row()
    for key in path[:-1]:
        parent = parent[key]
    if value is ABSENT:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return orjson.dumps(row)


def run_requests(config: NodeConfig) -> None:
    """Run requests of each class, served and failed, and some periods: no setting may break the balancer."""
    balancer, now = Balancer(config.settings, config.seed, 0.0), 0.0
    balancer.handle(now, EndpointListUpdate(EndpointListKind.CACHED, config.initial_list.endpoints))
    for round_number in range(6):
        for service_class in config.settings.classes:
            request_id, now = f"{service_class.name}{round_number}", now + 10.0
            request = Request(
                request_id, service_class.name, now + service_class.client_timeout_ms, "north", 3.0
            )
            for action in balancer.handle(now, request):
                if isinstance(action, Send):
                    result = AttemptResult.OK if round_number % 3 else AttemptResult.ERROR
                    report = {"queue": 1.0, "util": 0.5}
                    balancer.handle(
                        now,
                        AttemptOutcome(
                            request_id, 0, action.server, result, 9.0, round_number % 3 > 0, report
                        ),
                    )
        balancer.handle(now, TimerFired("period"))
    threshold = balancer.threshold(1.0, 1)
    assert 0.0 < threshold < 1e30, f"a threshold of {threshold} never applies"


@pytest.mark.parametrize("path", list(key_paths(full_row())), ids=lambda path: ".".join(map(str, path)))
def test_any_key_with_any_value_gives_one_line_error_or_works(path):
    for value in VALUES:
        data = config_with(path, value)
        try:
            config = parse_config(data, {})
        except ValueError as error:
            message = str(error)
            assert "\n" not in message, message
            assert "object has no attribute" not in message, message
            assert "unhashable" not in message or message.startswith("known: "), message
            continue
        run_requests(config)


CLASS = {"name": "read", "aimMs": 100.0, "giveUpMs": 300.0, "effect": "free"}


@pytest.mark.parametrize(
    ("settings", "message"),
    [
        ({"categories": []}, "classes: at least one class is needed"),
        ({"categories": None}, "classes: at least one class is needed"),
        ({"categories": "read"}, "categories: 'read' is not a list"),
        ({"categories": ["read"]}, "categories: 'read' in the list is not an object"),
        ({"categories": [CLASS, CLASS]}, "classes: the name 'read' occurs twice"),
        ({"categories": [CLASS | {"name": ""}]}, "categories.name: '' is not a string"),
        ({"categories": [CLASS | {"name": 5}]}, "categories.name: 5 is not a string"),
        (
            {"categories": [CLASS | {"aimMs": 0}]},
            "classes[0].latency_objective_ms: 0 is not a number from 0.001 to 1e+12",
        ),
        ({"categories": [CLASS | {"giveUpMs": -1}]}, "classes[0].client_timeout_ms: -1 is not"),
        ({"categories": [CLASS | {"giveUpMs": HUGE}]}, "classes[0].client_timeout_ms: 1e+308 is not"),
        ({"categories": [CLASS | {"effect": "twice"}]}, "categories.effect: 'twice' is not one of free"),
        ({"categories": [CLASS | {"effect": ["free"]}]}, "categories.effect: ['free'] is not one of free"),
        ({"categories": [CLASS | {"keyScope": "rack"}]}, "categories.keyScope: 'rack' is not one of all"),
        ({"categories": [CLASS | {"credit": -1}]}, "classes[0].priority_weight: -1 is not"),
        ({"categories": [CLASS | {"stream": "no"}]}, "classes[0].stream: 'no' is not true or false"),
        ({"accounts": [{"quotaPerS": 3.0}]}, "accounts.name: missing"),
        ({"accounts": [{"name": "a", "quotaPerS": "x"}]}, "tenants[0].quota_per_s: 'x' is not"),
        ({"accounts": [{"name": "a", "quotaPerS": 1}] * 2}, "tenants: the name 'a' occurs twice"),
        ({"bounds": []}, "bounds: [] is not an object"),
        ({"bounds": {"maxOpen": 0}}, "max_open: 0 is not"),
        ({"bounds": {"maxAttempts": 0}}, "max_attempts: 0 is not"),
        ({"bounds": {"cancel": "yes"}}, "may_cancel: 'yes' is not true or false"),
        ({"bounds": {"connIdleMs": True}}, "conn_idle_ms: True is not"),
        ({"invariants": {"coldFrom": 0}}, "slow_start_from: 0 is not"),
        ({"feedback": {"fields": "depth"}}, "fields: 'depth' is not a list"),
        ({"feedback": {"fields": [3]}}, "fields: 3 in the list is not a string"),
        ({"registryMode": "pull"}, "registryMode: 'pull' is not one of push, ask"),
        ({"valueBy": 1}, "valueBy: 1 is not one of request, work"),
        ({"siblings": 0}, "siblings: 0 is not"),
        ({"locality": 3}, "zone: 3 is not a string"),
    ],
)
def test_invalid_setting_is_named_with_its_value(settings, message):
    row = config_document("127.0.0.1:9", settings=settings)
    row["settings"] |= settings  # `bounds` are merged with others
    with pytest.raises(ValueError) as raised:  # noqa: PT011
        parse_config(orjson.dumps(row), {})
    assert message in str(raised.value)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"seed": "hex"}, "seed: 'hex' is not hexadecimal"),
        ({"seed": "-1f"}, "seed: '-1f' is not hexadecimal"),
        ({"seed": 12}, "seed: 12 is not a string"),
        ({"name": None}, "name: missing"),
        ({"settings": None}, "settings: missing"),
        ({"settings": []}, "settings: [] is not an object"),
        ({"listen": "nowhere"}, "listen: 'nowhere' is not an address and a port"),
        ({"listen": "a\0b:80"}, "listen: 'a\\x00b:80' is not an address"),
        ({"discovery": "x" * 300 + ":80"}, "discovery: "),
        ({"discovery": "127.0.0.1:70000"}, "discovery: '127.0.0.1:70000' is not an address"),
        ({"known": []}, "known: a list is not an object"),
        ({"known": {"rev": 1, "all": True, "targets": [{"uid": "a"}]}}, "known: malformed list"),
        ({"limits": 3}, "limits: 3 is not an object"),
        ({"limits": {"memory_mb": HUGE}}, "memory_mb: 1e+308 is not"),
        ({"limits": {"sockets": -4}}, "sockets: -4 is not"),
    ],
)
def test_invalid_configuration_key_is_named(change, message):
    with pytest.raises(ValueError) as raised:  # noqa: PT011
        parse_config(orjson.dumps(config_document("127.0.0.1:9") | change), {})
    assert str(raised.value).startswith(message)


INVALID_DOCUMENTS = (
    *(b"", b"{", b"[]", b"3", b'"x"', b"null", b"[" * 5000, b'{"a":' * 5000, b"\xff\xfe{}"),
    *(b"\xef\xbb\xbf{}", b'{"seed":NaN}', b'{"seed":1e999}', b'{"name":"\\ud800"}'),
)


@pytest.mark.parametrize("data", INVALID_DOCUMENTS, ids=lambda data: repr(data[:12]))
def test_invalid_document_raises_one_line_error(data):
    with pytest.raises(ValueError) as raised:  # noqa: PT011
        parse_config(data, {})
    assert "\n" not in str(raised.value)


def test_unknown_keys_are_ignored_and_null_counts_as_absent():
    row = full_row()
    unknown_keys = {"novel": [1], "limits": row["limits"] | {"novel": {}}}
    settings = row["settings"] | {"novel": {"a": 1}, "valueBy": None, "registryMode": None, "locality": None}
    settings["categories"] = [
        service_class | {"novel": 1, "keyScope": None, "credit": None}
        for service_class in settings["categories"]
    ]
    parsed = parse_config(orjson.dumps(row | unknown_keys | {"settings": settings}), {}).settings
    assert (parsed.weight_by_work, parsed.poll_discovery, parsed.zone) == (False, False, "")
    assert {
        (service_class.priority_weight, service_class.deduplication_scope) for service_class in parsed.classes
    } == {(1.0, DeduplicationScope.ALL)}


def test_request_without_deduplication_window_fails_once_possibly_executed():
    settings = {
        "categories": [CLASS | {"effect": "guarded", "memorySpanMs": None}],
        "bounds": {"maxAttempts": 9},
    }
    config = parse_config(orjson.dumps(config_document("127.0.0.1:9", settings=settings)), {})
    balancer = Balancer(config.settings, 1, 0.0)
    balancer.handle(0.0, EndpointListUpdate(EndpointListKind.CACHED, (Endpoint("s-1"), Endpoint("s-2"))))
    (send,) = [
        action for action in balancer.handle(1.0, Request("q", "read", 300.0)) if isinstance(action, Send)
    ]
    actions = balancer.handle(2.0, AttemptOutcome("q", 0, send.server, AttemptResult.RESET, 1.0, False))
    assert actions == [Fail("q")]


# -------------------------------------------------------------- the program


def run_node(path: Path | None, **environment: str) -> subprocess.CompletedProcess[str]:
    variables = {
        key: value for key, value in os.environ.items() if not key.startswith("PROXY_")
    } | environment
    if path is not None:
        variables["PROXY_CONFIG"] = str(path)
    command = [sys.executable, "-m", "loadbalancer"]
    return subprocess.run(
        command, cwd=ROOT, env=variables, capture_output=True, text=True, timeout=60, check=False
    )


def error_line(process: subprocess.CompletedProcess[str], code: int) -> str:
    assert process.returncode == code, process.stderr
    assert "Traceback" not in process.stderr
    assert process.stderr.count("\n") == 1
    assert len(process.stderr) < 600
    return process.stderr


@pytest.mark.parametrize("content", [None, b"", b"\xff\xfe", b"[]", b"[" * 5000])
def test_program_prints_one_line_and_exits_with_2_on_invalid_file(tmp_path, content):
    path = tmp_path / "config.json"
    if content is not None:
        path.write_bytes(content)
    assert "bad configuration" in error_line(run_node(path), 2)


def test_program_exits_with_2_on_directory_unset_or_empty_path(tmp_path):
    assert "Is a directory" in error_line(run_node(tmp_path), 2)
    assert "PROXY_CONFIG is not set" in error_line(run_node(None), 2)
    assert "PROXY_CONFIG is not set" in error_line(run_node(None, PROXY_CONFIG=""), 2)


@pytest.mark.parametrize("listen", ["a\0b:80", "a" * 300 + ":80", "a..b:80", "x" * 9000])
def test_program_exits_with_2_on_invalid_listen_address(tmp_path, listen):
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(config_document("127.0.0.1:9") | {"listen": listen}))
    assert "listen: " in error_line(run_node(path), 2)


def test_program_prints_one_line_and_exits_with_1_on_port_in_use(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        path = tmp_path / "config.json"
        listen = f"127.0.0.1:{listener.getsockname()[1]}"
        path.write_bytes(orjson.dumps(config_document("127.0.0.1:9") | {"listen": listen}))
        assert "in use" in error_line(run_node(path), 1)
