"""The whole program beside a discovery that falls silent, and SIGHUP, in one turn of its loop."""

from __future__ import annotations

import asyncio
import signal

import orjson

from tests.support.loopback import Discovery, config_row, listing, until
from tests.support.ports import free_port
from tests.test_main import next_line, start


def test_news_a_bad_file_and_two_sighups_in_one_turn_move_the_watch_and_sighup_in_a_drain_harms_nothing(
    tmp_path,
):
    async def main():
        old = await Discovery(listing(5, True, s0=("127.0.0.1:1", "Ready"))).start()
        new = await Discovery(listing(7, True, s0=("127.0.0.1:1", "Ready"))).start()
        row = config_row(old.endpoint, settings={"registryMode": "push"})
        row["listen"] = f"127.0.0.1:{free_port()}"
        path = tmp_path / "config.json"
        path.write_bytes(orjson.dumps(row))
        program = start(path)
        try:
            await until(lambda: len(old.seen) > 1)  # the first answer is read
            path.write_text("{")
            program.send_signal(signal.SIGHUP)
            assert "the present one stays in use" in await asyncio.to_thread(
                next_line, program, "not reloaded"
            )
            program.send_signal(signal.SIGSTOP)
            path.write_bytes(orjson.dumps(row | {"discovery": new.endpoint}))
            old.stop()  # an end on the open watch, and the signal: both await the next turn
            program.send_signal(signal.SIGHUP)
            program.send_signal(signal.SIGHUP)
            program.send_signal(signal.SIGCONT)
            await until(lambda: len(new.seen) > 1)
            assert "since=7" in new.seen[1].first[1]
            program.send_signal(signal.SIGSTOP)
            path.write_bytes(orjson.dumps(row))
            program.send_signal(signal.SIGTERM)
            program.send_signal(signal.SIGHUP)
            program.send_signal(signal.SIGCONT)
            assert await asyncio.to_thread(program.wait, 20) == 0
        finally:
            program.kill()
            _, said = program.communicate()
            old.stop()
            new.stop()
        assert "Traceback" not in said

    asyncio.run(main())
