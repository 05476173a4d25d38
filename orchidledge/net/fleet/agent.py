"""The list service as this node reaches it: the fleet's calls, through the agent beside it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any

import msgspec
import orjson
from msgspec import Meta

from orchidledge.members import Member
from orchidledge.net import web
from orchidledge.net.upstream import Address

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Moment = Annotated[float, Meta(ge=0.0, le=1e15)]


class LeaseAnswer(msgspec.Struct, frozen=True):
    """What an enrolment or a renewal is answered; `members` only where they have changed."""

    incarnation: Annotated[int, Meta(ge=1)]
    rev: Annotated[int, Meta(ge=0)]
    share: Share
    elector: bool
    ttl_ms: Annotated[float, Meta(ge=100.0, le=600_000.0)]
    routes: dict[str, Any]
    t2: Moment
    t3: Moment
    term: int = 0  # of the leader whose clock t2 and t3 are by
    members: list[Member] | msgspec.UnsetType = msgspec.UNSET


_lease_answer = msgspec.json.Decoder(LeaseAnswer)


def read_lease(body: bytes) -> LeaseAnswer:
    """ValueError on anything that is not such an answer."""
    try:
        return _lease_answer.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(f"answer: {error}") from error


class Agent:
    """Calls of the fleet; each raises OSError or TimeoutError where there is no answer in time."""

    def __init__(self, address: Callable[[], Address]) -> None:
        self._address = address  # discovery may move

    async def post(self, path: str, body: dict[str, Any], timeout_ms: float) -> web.Reply:
        data = orjson.dumps(body)
        return await web.call(self._address(), "POST", f"/fleet/{path}", data, timeout_ms / 1000.0)

    async def get(self, target: str, timeout_ms: float) -> web.Reply:
        return await web.call(self._address(), "GET", f"/fleet/{target}", b"", timeout_ms / 1000.0)
