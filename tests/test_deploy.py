"""What the deploy file names exists and starts."""

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
    """The command under this key, with the interpreter of these tests in place of the built one."""
    words = shlex.split(DEPLOY[key])
    assert words[:3] == ["exec", ".venv/bin/python", "-m"]
    return [sys.executable, *words[2:]]


@pytest.mark.parametrize("key", ["policy", "node"])
def test_the_files_exist(key):
    assert DEPLOY[key]
    assert all((ROOT / name).exists() for name in DEPLOY[key])


def test_sim_answers_an_empty_batch():
    said = subprocess.run(
        command("sim"),
        cwd=ROOT,
        input=b'{"kind":"FRAME","nowMs":1.0,"seq":7}\n{"kind":"GO"}\n',
        capture_output=True,
        timeout=60,
        check=True,
    ).stdout
    assert orjson.loads(said) == {"kind": "READY", "seq": 7}


def test_run_starts_the_node_which_asks_for_its_configuration():
    done = subprocess.run(
        command("run"), cwd=ROOT, env={}, capture_output=True, timeout=60, text=True, check=False
    )
    assert done.returncode == 2
    assert "PROXY_CONFIG is not set" in done.stderr
