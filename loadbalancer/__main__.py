"""One real node: `python -m loadbalancer`, told what it is by the file that PROXY_CONFIG names.

`python -m loadbalancer state show FILE [--node NAME]` prints a state file's verdict and contents as JSON;
it exits 0 where the file is whole, 1 where a rule rejects it, 2 on a wrong command line.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import os
import signal
import sys
from pathlib import Path

from loadbalancer.node.config import NodeConfig, parse_config
from loadbalancer.node.node import Node
from loadbalancer.node.state.snapshot import describe_state

LONGEST_SAID = 400  # characters of what is wrong: a value that it quotes may be of any length


def read_config() -> NodeConfig:
    path = os.environ.get("PROXY_CONFIG")
    if not path:
        raise ValueError("PROXY_CONFIG is not set")
    return parse_config(Path(path).read_bytes(), os.environ)


def reload(node: Node) -> None:
    """SIGHUP: the configuration file has been replaced, and discovery may have moved."""
    try:
        config = read_config()
    except (OSError, ValueError) as error:
        # Guard: a bad file must not end a node in service; it goes on with what it was told before.
        logging.error("configuration not read again, the old one holds: %s", " ".join(str(error).split()))
        node.metrics.reloads["failure"] += 1
        return
    node.metrics.reloads["success"] += 1
    logging.info("%s follows discovery at %s:%d", config.name, *config.discovery)
    node.watcher.change_address(config.discovery)


async def serve(config: NodeConfig) -> None:
    """Run the node until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = Node(config)
    loop.add_signal_handler(signal.SIGHUP, reload, node)
    await node.start()
    gc.collect()
    gc.freeze()  # what is there for good need not be looked at again
    logging.info("%s serves on %s:%d", config.name, *node.server.address)
    await stop.wait()
    logging.info("%s stops", config.name)
    await node.stop()


def state(argv: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="python -m loadbalancer state", description="Inspect a state file.")
    parser.add_argument("verb", choices=["show"])
    parser.add_argument("file", type=Path)
    parser.add_argument("--node", help="check it against this node's name, as a start would")
    told = parser.parse_args(argv)
    text, whole = describe_state(told.file, told.node)
    print(text)
    return 0 if whole else 1


def main() -> int:
    if sys.argv[1:2] == ["state"]:
        return state(sys.argv[2:])
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        config = read_config()
    except (OSError, ValueError) as error:
        said = " ".join(str(error).split())[:LONGEST_SAID]
        print(f"loadbalancer: bad configuration: {said}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(config))
    except OSError as error:
        print(f"loadbalancer: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
