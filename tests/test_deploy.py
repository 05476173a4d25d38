"""The deploy file: its files exist and its commands start."""

from __future__ import annotations

import shlex
import subprocess
import sys
import tomllib
from pathlib import Path

import orjson
import pytest

ROOT = Path(__file__).parents[1]
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def command(key: str) -> list[str]:
    """Return the command under this key, with the interpreter of the tests in place of the deployed one."""
    words = shlex.split(DEPLOY[key])
    assert words[:3] == ["exec", ".venv/bin/python", "-m"]
    return [sys.executable, *words[2:]]


@pytest.mark.parametrize("key", ["policy", "node"])
def test_listed_files_exist(key):
    assert DEPLOY[key]
    assert all((ROOT / name).exists() for name in DEPLOY[key])


def test_simulator_command_responds_to_empty_batch():
    output = subprocess.run(
        command("sim"),
        cwd=ROOT,
        input=b'{"kind":"FRAME","nowMs":1.0,"seq":7}\n{"kind":"GO"}\n',
        capture_output=True,
        timeout=60,
        check=True,
    ).stdout
    assert orjson.loads(output) == {"kind": "READY", "seq": 7}


def test_run_command_starts_node_which_requires_configuration():
    process = subprocess.run(
        command("run"), cwd=ROOT, env={}, capture_output=True, timeout=60, text=True, check=False
    )
    assert process.returncode == 2
    assert "PROXY_CONFIG is not set" in process.stderr
