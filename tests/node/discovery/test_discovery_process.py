"""A node process handles a lost connection and several signals in one iteration of its event loop."""

from __future__ import annotations

import asyncio
import signal

import orjson

from tests.support.loopback import Discovery, config_document, list_response, wait_until
from tests.support.ports import free_port
from tests.test_main import next_line, start


def test_sighups_with_lost_connection_switch_address_and_drain_ignores_sighup(tmp_path):
    """A SIGHUP may be handled together with another one, with a lost connection or with SIGTERM.

    The test pauses the process with SIGSTOP, so that all of them are pending in one iteration of its loop.
    """

    async def main():
        old = await Discovery(list_response(5, True, s0=("127.0.0.1:1", "Ready"))).start()
        new = await Discovery(list_response(7, True, s0=("127.0.0.1:1", "Ready"))).start()
        config = config_document(old.endpoint, settings={"registryMode": "push"})
        config["listen"] = f"127.0.0.1:{free_port()}"
        path = tmp_path / "config.json"
        path.write_bytes(orjson.dumps(config))
        program = start(path)
        try:
            await wait_until(lambda: len(old.seen) > 1)  # the first response has been read
            path.write_text("{")
            program.send_signal(signal.SIGHUP)
            assert "the current one stays in use" in await asyncio.to_thread(
                next_line, program, "not reloaded"
            )
            program.send_signal(signal.SIGSTOP)
            path.write_bytes(orjson.dumps(config | {"discovery": new.endpoint}))
            old.stop()  # the lost connection and the signals wait for the next iteration
            program.send_signal(signal.SIGHUP)
            program.send_signal(signal.SIGHUP)
            program.send_signal(signal.SIGCONT)
            await wait_until(lambda: len(new.seen) > 1)
            assert "since=7" in new.seen[1].start_line[1]
            program.send_signal(signal.SIGSTOP)
            path.write_bytes(orjson.dumps(config))
            program.send_signal(signal.SIGTERM)
            program.send_signal(signal.SIGHUP)
            program.send_signal(signal.SIGCONT)
            assert await asyncio.to_thread(program.wait, 20) == 0
        finally:
            program.kill()
            _, output = program.communicate()
            old.stop()
            new.stop()
        assert "Traceback" not in output

    asyncio.run(main())
