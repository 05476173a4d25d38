"""An agent without a list, beside an instance that has just started or has lost its data."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import orjson
import structlog

from loadbalancer.node.http.service_http import HttpRequest, HttpResponse, send_request, serve
from loadbalancer.registry.agent import RegistryFollower
from loadbalancer.registry.settings import AgentSettings

TARGET = {"uid": "s-1", "endpoint": "127.0.0.1:1", "az": "", "model": "", "state": "Ready"}
STALE = {"Registry-Stale": "1"}
SILENT_S = 0.5


def answer(targets: list[dict[str, Any]], headers: dict[str, str], revision: int) -> HttpResponse:
    return HttpResponse(200, orjson.dumps({"rev": revision, "all": True, "targets": targets}), headers)


async def listed(answers: list[HttpResponse]) -> list[str] | None:
    """What a node is told by an agent whose instance answers so in turn, the last one on and on.

    None where the agent says nothing.
    """

    async def handle(call: HttpRequest) -> HttpResponse:
        await asyncio.sleep(0.01)
        return answers.pop(0) if len(answers) > 1 else answers[0]

    instance = await serve(("127.0.0.1", 0), handle)
    address = instance.sockets[0].getsockname()[:2]
    settings = AgentSettings(listen=("127.0.0.1", 0), registries=(address,), retry_max_ms=20)
    follower = RegistryFollower(settings, structlog.stdlib.get_logger())
    agent = await serve(settings.listen, follower.handle)
    following = asyncio.create_task(follower.follow())
    try:
        port = agent.sockets[0].getsockname()[1]
        reply = await send_request(("127.0.0.1", port), "GET", "/discovery/hosts", timeout_s=SILENT_S)
        return [row["uid"] for row in orjson.loads(reply.body)["targets"]]
    except TimeoutError:
        return None
    finally:
        following.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await following
        agent.close()
        instance.close()


def test_an_empty_stale_list_is_not_passed_on_to_a_node_that_may_have_a_list_of_its_own() -> None:
    """The node would drop the list of its state file for it, and reject every call."""
    assert asyncio.run(listed([answer([], STALE, 0)])) is None


def test_the_list_is_passed_on_once_the_instance_has_it() -> None:
    answers = [answer([], STALE, 0), answer([], STALE, 0), answer([TARGET], {}, 1)]
    assert asyncio.run(listed(answers)) == ["s-1"]


def test_a_stale_list_with_targets_is_better_than_none() -> None:
    assert asyncio.run(listed([answer([TARGET], STALE, 1)])) == ["s-1"]


def test_an_empty_list_that_is_not_stale_is_passed_on() -> None:
    assert asyncio.run(listed([answer([], {}, 0)])) == []
