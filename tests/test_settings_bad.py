"""Bad, missing and odd settings: one clear line, and exit code 2 where the program is started with them."""

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
from tests.support.loopback import config_row, targets

ROOT = Path(__file__).parents[1]
GONE = object()
HUGE = 1e308
SHAPES: tuple[Any, ...] = (
    GONE,
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
    """Every key that a node is told, with settings of each kind."""
    row = config_row(
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
    every = {
        "aimStretch": 1.0,
        "credit": 2.0,
        "lateWorth": 0.5,
        "keyScope": "zone",
        "memorySpanMs": 300.0,
        "stream": False,
    }
    row["settings"]["categories"] = [every | kind for kind in row["settings"]["categories"]]
    return orjson.loads(
        orjson.dumps(row | {"operator": "127.0.0.1:7", "state_every_ms": 500.0, "state": "s"})
    )


def paths(value: Any, at: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    inside = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, item in inside:
        yield (*at, key)
        yield from paths(item, (*at, key))


def changed(path: tuple[Any, ...], value: Any) -> bytes:
    row = at = full_row()
    for key in path[:-1]:
        at = at[key]
    if value is GONE:
        del at[path[-1]]
    else:
        at[path[-1]] = value
    return orjson.dumps(row)


def work(config: NodeConfig) -> None:
    """Requests of each class, served and failed, and some periods: no figure may break the module."""
    module, now = Balancer(config.settings, config.seed, 0.0), 0.0
    module.handle(now, EndpointListUpdate(EndpointListKind.CACHED, config.initial_list.endpoints))
    for turn in range(6):
        for kind in config.settings.classes:
            name, now = f"{kind.name}{turn}", now + 10.0
            request = Request(name, kind.name, now + kind.client_timeout_ms, "north", 3.0)
            for act in module.handle(now, request):
                if isinstance(act, Send):
                    result = AttemptResult.OK if turn % 3 else AttemptResult.ERROR
                    report = {"queue": 1.0, "util": 0.5}
                    module.handle(now, AttemptOutcome(name, 0, act.server, result, 9.0, turn % 3 > 0, report))
        module.handle(now, TimerFired("period"))
    entry = module.threshold(1.0, 1)
    assert 0.0 < entry < 1e30, f"a threshold of {entry} never binds"


@pytest.mark.parametrize("path", list(paths(full_row())), ids=lambda path: ".".join(map(str, path)))
def test_any_key_missing_or_of_any_shape_is_refused_in_one_named_line_or_works(path):
    for value in SHAPES:
        data = changed(path, value)
        try:
            config = parse_config(data, {})
        except ValueError as error:
            said = str(error)
            assert "\n" not in said, said
            assert "object has no attribute" not in said, said
            assert "unhashable" not in said or said.startswith("known: "), said
            continue
        work(config)


CLASS = {"name": "read", "aimMs": 100.0, "giveUpMs": 300.0, "effect": "free"}


@pytest.mark.parametrize(
    ("settings", "said"),
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
def test_a_bad_setting_is_named_with_its_value(settings, said):
    row = config_row("127.0.0.1:9", settings=settings)
    row["settings"] |= settings  # `bounds` are merged with others
    with pytest.raises(ValueError) as refused:  # noqa: PT011
        parse_config(orjson.dumps(row), {})
    assert said in str(refused.value)


@pytest.mark.parametrize(
    ("change", "said"),
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
def test_what_a_node_is_told_is_refused_by_name(change, said):
    with pytest.raises(ValueError) as refused:  # noqa: PT011
        parse_config(orjson.dumps(config_row("127.0.0.1:9") | change), {})
    assert str(refused.value).startswith(said)


NO_CONFIGURATION = (
    *(b"", b"{", b"[]", b"3", b'"x"', b"null", b"[" * 5000, b'{"a":' * 5000, b"\xff\xfe{}"),
    *(b"\xef\xbb\xbf{}", b'{"seed":NaN}', b'{"seed":1e999}', b'{"name":"\\ud800"}'),
)


@pytest.mark.parametrize("data", NO_CONFIGURATION, ids=lambda data: repr(data[:12]))
def test_what_is_no_configuration_is_refused(data):
    with pytest.raises(ValueError) as refused:  # noqa: PT011
        parse_config(data, {})
    assert "\n" not in str(refused.value)


def test_keys_that_are_not_known_are_ignored_and_null_is_absent():
    told = full_row()
    more = {"novel": [1], "limits": told["limits"] | {"novel": {}}}
    settings = told["settings"] | {"novel": {"a": 1}, "valueBy": None, "registryMode": None, "locality": None}
    settings["categories"] = [
        kind | {"novel": 1, "keyScope": None, "credit": None} for kind in settings["categories"]
    ]
    found = parse_config(orjson.dumps(told | more | {"settings": settings}), {}).settings
    assert (found.weight_by_work, found.poll_discovery, found.zone) == (False, False, "")
    assert {(kind.priority_weight, kind.deduplication_scope) for kind in found.classes} == {
        (1.0, DeduplicationScope.ALL)
    }


def test_a_keyed_class_without_its_window_is_never_sent_twice_once_it_may_have_run():
    settings = {
        "categories": [CLASS | {"effect": "guarded", "memorySpanMs": None}],
        "bounds": {"maxAttempts": 9},
    }
    config = parse_config(orjson.dumps(config_row("127.0.0.1:9", settings=settings)), {})
    module = Balancer(config.settings, 1, 0.0)
    module.handle(0.0, EndpointListUpdate(EndpointListKind.CACHED, (Endpoint("s-1"), Endpoint("s-2"))))
    (send,) = [act for act in module.handle(1.0, Request("q", "read", 300.0)) if isinstance(act, Send)]
    acts = module.handle(2.0, AttemptOutcome("q", 0, send.server, AttemptResult.RESET, 1.0, False))
    assert acts == [Fail("q")]


# ------------------------------------------------------------------ the program


def run(path: Path | None, **environment: str) -> subprocess.CompletedProcess[str]:
    told = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")} | environment
    if path is not None:
        told["PROXY_CONFIG"] = str(path)
    command = [sys.executable, "-m", "loadbalancer"]
    return subprocess.run(
        command, cwd=ROOT, env=told, capture_output=True, text=True, timeout=60, check=False
    )


def one_line(done: subprocess.CompletedProcess[str], code: int) -> str:
    assert done.returncode == code, done.stderr
    assert "Traceback" not in done.stderr
    assert done.stderr.count("\n") == 1
    assert len(done.stderr) < 600
    return done.stderr


@pytest.mark.parametrize("content", [None, b"", b"\xff\xfe", b"[]", b"[" * 5000])
def test_the_program_says_one_line_and_ends_with_2(tmp_path, content):
    path = tmp_path / "config.json"
    if content is not None:
        path.write_bytes(content)
    assert "bad configuration" in one_line(run(path), 2)


def test_a_folder_an_unset_and_an_empty_path_end_with_2_too(tmp_path):
    assert "Is a directory" in one_line(run(tmp_path), 2)
    assert "PROXY_CONFIG is not set" in one_line(run(None), 2)
    assert "PROXY_CONFIG is not set" in one_line(run(None, PROXY_CONFIG=""), 2)


@pytest.mark.parametrize("listen", ["a\0b:80", "a" * 300 + ":80", "a..b:80", "x" * 9000])
def test_an_address_that_no_listener_takes_ends_with_2(tmp_path, listen):
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(config_row("127.0.0.1:9") | {"listen": listen}))
    assert "listen: " in one_line(run(path), 2)


def test_a_port_in_use_is_one_line_and_ends_with_1(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = tmp_path / "config.json"
        listen = f"127.0.0.1:{taken.getsockname()[1]}"
        path.write_bytes(orjson.dumps(config_row("127.0.0.1:9") | {"listen": listen}))
        assert "in use" in one_line(run(path), 1)
