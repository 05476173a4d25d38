"""Command line of a node: `python -m loadbalancer`, configured by the JSON file that PROXY_CONFIG names.

`python -m loadbalancer state show FILE [--node NAME]` prints a state file's verdict and contents as JSON.
It exits with 0 if the file is accepted, 1 if a rule rejects it, and 2 on a wrong command line.
"""

from __future__ import annotations

import sys

if __name__ == "__main__":
    # The node has no TLS. Without this module asyncio doesn't load OpenSSL, which takes 4 MB.
    sys.modules["ssl"] = None  # type: ignore[assignment]

import argparse
import asyncio
import gc
import logging
import os
import signal
from pathlib import Path

from loadbalancer.node.config import NodeConfig, parse_config
from loadbalancer.node.errors import ConfigPathError
from loadbalancer.node.failure_log import one_line
from loadbalancer.node.memory_budget import MIB, PROGRAM_BYTES, resident_bytes
from loadbalancer.node.node import Node
from loadbalancer.node.state.inspection import describe_state

CONFIG_VARIABLE = "PROXY_CONFIG"
COLLECTOR_THRESHOLDS = (700, 4, 2)
START_BYTES = 1 * MIB  # memory of the node's components, which are created after the measurement
MAX_ERROR_CHARS = 400  # an error quotes the invalid value, which may have any length
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_CONFIGURATION = 2


def read_config() -> NodeConfig:
    """Return the configuration; raise OSError if its file can't be read, ValueError if it is invalid."""
    path = os.environ.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigPathError(CONFIG_VARIABLE)
    return parse_config(Path(path).read_bytes(), os.environ)


def reload(node: Node) -> None:
    """Handle SIGHUP: read the configuration again and follow discovery at the address in it.

    If the file can't be read or is invalid, the node keeps its current configuration.
    """
    try:
        config = read_config()
    except (OSError, ValueError) as error:
        logging.error("configuration not reloaded, the current one stays in use: %s", one_line(error))
        node.metrics.reloads["failure"] += 1
        return
    node.metrics.reloads["success"] += 1
    logging.info("%s follows discovery at %s:%d", config.name, *config.discovery)
    node.watcher.change_address(config.discovery)


async def serve(config: NodeConfig) -> None:
    """Run the node until SIGTERM or SIGINT; raise OSError if it can't listen at an address."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    resident = resident_bytes()
    node = Node(config, PROGRAM_BYTES if resident is None else resident + START_BYTES)
    loop.add_signal_handler(signal.SIGHUP, reload, node)
    await node.start()
    # Objects created so far live as long as the process; once frozen, the garbage collector skips them.
    gc.collect()
    gc.freeze()
    # Transports of closed connections refer to themselves; they must not accumulate in the older generations.
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
    logging.info("%s serves on %s:%d", config.name, *node.listener.address)
    await stop.wait()
    logging.info("%s stops", config.name)
    await node.stop()


def show_state(arguments: list[str]) -> int:
    """Run the `state` command; return its exit code."""
    parser = argparse.ArgumentParser(prog="python -m loadbalancer state", description="Inspect a state file.")
    parser.add_argument("verb", choices=["show"])
    parser.add_argument("file", type=Path)
    parser.add_argument("--node", help="also check that the file is of this node, as a starting node does")
    options = parser.parse_args(arguments)
    description = describe_state(options.file, options.node)
    print(description.text)
    return EXIT_OK if description.accepted else EXIT_FAILED


def main() -> int:
    """Run the program; return its exit code."""
    if sys.argv[1:2] == ["state"]:
        return show_state(sys.argv[2:])
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        config = read_config()
    except (OSError, ValueError) as error:
        reason = one_line(error)[:MAX_ERROR_CHARS]
        print(f"loadbalancer: bad configuration: {reason}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    try:
        asyncio.run(serve(config))
    except OSError as error:
        print(f"loadbalancer: {error}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
