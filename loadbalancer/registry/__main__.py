"""`python -m loadbalancer.registry`: run or query the list service's programs.

    serve --config registry.toml     one instance of the list service
    agent --config agent.toml        the per-machine agent of a node ($PROXY_DISCOVERY)
    status HOST:PORT                 an instance's Raft state, revision and counts, as JSON
    list HOST:PORT                   the complete list of an instance or agent, as JSON
    local [--dir D --port P]         a node, three instances, an agent and stub servers on loopback

Exit status: 0 on success; 1 if a program could not be started or reached, or its response is not 200; 2 if
the configuration is invalid.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from http import HTTPStatus
from pathlib import Path

import orjson
import structlog

from loadbalancer.node.http.service_client import send_request
from loadbalancer.registry import agent, local, service
from loadbalancer.registry.addresses import parse_address
from loadbalancer.registry.errors import ConfigError
from loadbalancer.registry.logs import start_logs
from loadbalancer.registry.settings import load_agent, load_instance


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m loadbalancer.registry", description=__doc__.split("\n")[0]
    )
    parser.add_argument("--log-level", default="info", choices=["debug", "info", "warning", "error"])
    commands = parser.add_subparsers(dest="command", required=True)
    for name in ("serve", "agent"):
        commands.add_parser(name).add_argument("--config", type=Path, required=True)
    for name in ("status", "list"):
        commands.add_parser(name).add_argument("address", help="host:port of an instance or an agent")
    local_command = commands.add_parser("local")
    local_command.add_argument(
        "--dir", type=Path, default=Path("var/local"), help="folder for configurations, data and logs"
    )
    local_command.add_argument(
        "--port", type=int, default=8080, help="the port on which the node serves clients"
    )
    local_command.add_argument("--servers", type=int, default=3, help="number of stub servers")
    return parser


async def _print_response(address: str, path: str) -> int:
    """Print the JSON response of the program at host:port; return the exit status."""
    try:
        response = await send_request(parse_address(address), "GET", path)
    except (OSError, TimeoutError, ValueError) as failure:
        print(f"{address}: {type(failure).__name__}: {failure}", file=sys.stderr)
        return 1
    stale = response.headers.get("registry-stale") == "1"
    body = orjson.loads(response.body) | ({"stale": True} if stale else {})
    sys.stdout.write(orjson.dumps(body, option=orjson.OPT_INDENT_2).decode() + "\n")
    return 0 if response.status == HTTPStatus.OK else 1


async def _run(arguments: argparse.Namespace, log: structlog.stdlib.BoundLogger) -> int:
    match arguments.command:
        case "serve":
            await service.run_instance(load_instance(arguments.config), log)
        case "agent":
            await agent.run_agent(load_agent(arguments.config), log)
        case "local":
            await local.run_local(arguments.dir.resolve(), arguments.servers, arguments.port, log)
        case "status":
            return await _print_response(arguments.address, "/registry/status")
        case _:
            return await _print_response(arguments.address, "/discovery/hosts")
    return 0


def main(argv: list[str] | None = None) -> int:
    """Run a command; return the exit status."""
    arguments = _parser().parse_args(argv)
    log = start_logs(f"registry.{arguments.command}", arguments.log_level)
    try:
        return asyncio.run(_run(arguments, log))
    except ConfigError as failure:
        log.error("bad_configuration", why=str(failure))
        return 2
    except OSError as failure:
        log.error("cannot_start", why=f"{type(failure).__name__}: {failure}")
        return 1


if __name__ == "__main__":
    sys.exit(main())
