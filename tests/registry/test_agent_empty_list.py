"""An agent without a cached list whose instance has just started or has lost its data."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import orjson
import structlog

from loadbalancer.node.http.service_client import send_request
from loadbalancer.node.http.service_server import HttpRequest, HttpResponse, serve
from loadbalancer.registry.agent import RegistryFollower
from loadbalancer.registry.settings import AgentSettings

TARGET = {"uid": "s-1", "endpoint": "127.0.0.1:1", "az": "", "model": "", "state": "Ready"}
STALE = {"Registry-Stale": "1"}
SILENT_S = 0.5


def list_response(targets: list[dict[str, Any]], headers: dict[str, str], revision: int) -> HttpResponse:
    return HttpResponse(200, orjson.dumps({"rev": revision, "all": True, "targets": targets}), headers)


async def list_from_agent(responses: list[HttpResponse]) -> list[str] | None:
    """Return the uids that a node receives from an agent whose instance sends these responses in turn.

    The last response is repeated. Return None if the agent does not respond within SILENT_S.
    """

    async def handle(call: HttpRequest) -> HttpResponse:
        await asyncio.sleep(0.01)
        return responses.pop(0) if len(responses) > 1 else responses[0]

    instance = await serve(("127.0.0.1", 0), handle)
    address = instance.sockets[0].getsockname()[:2]
    settings = AgentSettings(listen=("127.0.0.1", 0), registries=(address,), retry_max_ms=20)
    follower = RegistryFollower(settings, structlog.stdlib.get_logger())
    agent = await serve(settings.listen, follower.handle)
    following = asyncio.create_task(follower.follow())
    try:
        port = agent.sockets[0].getsockname()[1]
        response = await send_request(("127.0.0.1", port), "GET", "/discovery/hosts", timeout_s=SILENT_S)
        return [target["uid"] for target in orjson.loads(response.body)["targets"]]
    except TimeoutError:
        return None
    finally:
        following.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await following
        agent.close()
        instance.close()


def test_agent_without_list_withholds_empty_stale_list() -> None:
    """A node would replace the list of its state file by the empty list and reject every request."""
    assert asyncio.run(list_from_agent([list_response([], STALE, 0)])) is None


def test_agent_serves_list_once_instance_is_not_stale() -> None:
    responses = [list_response([], STALE, 0), list_response([], STALE, 0), list_response([TARGET], {}, 1)]
    assert asyncio.run(list_from_agent(responses)) == ["s-1"]


def test_agent_without_list_serves_stale_list_with_targets() -> None:
    assert asyncio.run(list_from_agent([list_response([TARGET], STALE, 1)])) == ["s-1"]


def test_agent_without_list_serves_empty_list_that_is_not_stale() -> None:
    assert asyncio.run(list_from_agent([list_response([], {}, 0)])) == []
