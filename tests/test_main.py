"""The program `python -m loadbalancer`: configuration, start, reload, and shutdown on SIGTERM."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import orjson
import pytest

from tests.support.loopback import (
    Client,
    Discovery,
    Message,
    StubServer,
    config_document,
    http_response,
    list_response,
    read_message,
    request,
    targets,
    wait_until,
)
from tests.support.ports import free_port

ROOT = Path(__file__).parents[1]
UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"


def start(path: Path | None) -> subprocess.Popen[str]:
    environment = {key: value for key, value in os.environ.items() if key != "PROXY_CONFIG"}
    if path is not None:
        environment["PROXY_CONFIG"] = str(path)
    return subprocess.Popen(
        [sys.executable, "-m", "loadbalancer"], cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True
    )


@pytest.mark.parametrize(
    "change",
    [
        lambda document: document.pop("listen"),
        lambda document: document.update(listen="nowhere"),
        lambda document: document.update(seed="not hex"),
        lambda document: document.update(known=[]),
        lambda document: document.update(settings=None),
        lambda document: document["settings"].update(categories=[]),
        lambda document: document.update(limits={"sockets": "many"}),
    ],
)
def test_invalid_configuration_exits_2_with_one_line(tmp_path, change):
    document = orjson.loads(orjson.dumps(config_document("127.0.0.1:1")))
    change(document)
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(document))
    program = start(path)
    _, errors = program.communicate(timeout=60)
    assert program.returncode == 2
    assert errors.count("\n") == 1


def test_missing_or_unreadable_configuration_exits_2_with_one_line(tmp_path):
    (tmp_path / "bad.json").write_text("{")
    for path in (None, tmp_path / "none.json", tmp_path / "bad.json"):
        program = start(path)
        _, errors = program.communicate(timeout=60)
        assert program.returncode == 2
        assert errors.count("\n") == 1


def test_sighup_changes_discovery_address_unless_file_is_invalid(tmp_path):
    async def main():
        old = await Discovery().start()
        new = await Discovery(list_response(2, True, s0=("127.0.0.1:1", "Ready"))).start()
        address = ("127.0.0.1", free_port())
        document = config_document(old.endpoint, settings={"registryMode": "push"})
        document["listen"] = f"{address[0]}:{address[1]}"
        path = tmp_path / "config.json"
        path.write_bytes(orjson.dumps(document))
        program = start(path)
        try:
            await wait_until(lambda: old.seen)
            path.write_text("{")
            program.send_signal(signal.SIGHUP)
            line = await asyncio.to_thread(next_line, program, "not reloaded")
            assert "the current one stays in use" in line
            path.write_bytes(orjson.dumps(document | {"discovery": new.endpoint}))
            program.send_signal(signal.SIGHUP)
            await wait_until(lambda: len(new.seen) > 1)  # the second poll follows the first response
            client = Client(*await asyncio.open_connection(*address))
            assert (await client.exchange(UP)).status == 200  # ready due to the new address's list
            assert program.poll() is None
        finally:
            program.kill()
            program.communicate()
            old.stop()
            new.stop()

    asyncio.run(main())


def next_line(program: subprocess.Popen[str], text: str) -> str:
    """Return the next log line that contains `text`, or an empty text if the program exits first."""
    assert program.stderr is not None
    return next((line for line in program.stderr if text in line), "")


def test_sigterm_drains_finishes_requests_in_flight_and_exits_0(tmp_path):
    async def main():
        release = asyncio.Event()

        async def script(message):
            if message.headers["req-id"] == "in-flight":
                await release.wait()
            return http_response()

        server, discovery = await StubServer(script).start(), await Discovery().start()
        address = ("127.0.0.1", free_port())
        known = targets(s0=(server.endpoint, "Ready"))
        document = config_document(discovery.endpoint, known=known) | {"listen": f"{address[0]}:{address[1]}"}
        path = tmp_path / "config.json"
        path.write_bytes(orjson.dumps(document))
        program = start(path)
        try:

            async def connect() -> Client:
                return Client(*await asyncio.open_connection(*address))

            async with asyncio.timeout(60):
                while True:
                    try:
                        client = await connect()
                        break
                    except OSError:
                        await asyncio.sleep(0.05)
                assert (await client.exchange(UP)).status == 200
                idle = await connect()
                await idle.exchange(UP)
                client.writer.write(request(name="in-flight"))
                await wait_until(lambda: server.seen)
                program.send_signal(signal.SIGTERM)

                async def exchange_again(data: bytes) -> Message:
                    """Send on a new connection, and again if the node closes it, as a client does."""
                    while True:
                        try:
                            return await (await connect()).exchange(data)
                        except (ConnectionError, asyncio.IncompleteReadError):
                            continue

                while (response := await exchange_again(UP)).status == 200:
                    pass
                assert (response.status, response.headers["connection"]) == (503, "close")
                response = await exchange_again(request(name="new"))
                assert (response.status, response.headers["connection"]) == (200, "close")
                assert await idle.reader.read() == b""  # closed between requests
                assert program.poll() is None
                release.set()
                response = await read_message(client.reader)
                assert (response.status, response.headers["connection"]) == (200, "close")
                assert await asyncio.to_thread(program.wait) == 0
        finally:
            program.kill()
            program.communicate()
            server.stop()
            discovery.stop()

    asyncio.run(main())
