"""The bodies of the fleet's calls, whose types, ranges and lengths are checked by decoding.

Field names are the keys of the JSON bodies (docs/fleet.md).
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType

from loadbalancer.registry.errors import InvalidBodyError

MAX_NAME_CHARACTERS = 100
MAX_REASON_CHARACTERS = 300
INTEGER_LIMIT = 2**53  # JSON integers below it are exact
MAX_SERVICE_TIME_MS = 1e15

Body = TypeVar("Body")

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
NameOrEmpty = Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS)]
Counter = Annotated[int, Meta(ge=0, lt=INTEGER_LIMIT)]
CounterOrNone = Annotated[int, Meta(ge=-1, lt=INTEGER_LIMIT)]  # -1: none so far


class EnrolRequest(Struct, frozen=True):
    """A process enrols as a member."""

    name: Name
    address: Name  # host:port at which it listens
    start: Name  # a random text, new at each start of the process
    zone: NameOrEmpty = ""
    service: NameOrEmpty = ""  # the service to which the process balances
    call: Counter | UnsetType = UNSET  # the number of this call, repeated in the response


class RenewRequest(Struct, frozen=True):
    """A process renews its lease."""

    incarnation: Counter
    seq: Counter  # the number of this renewal of the process
    acked: CounterOrNone  # the revision of the member list that it acts on
    using: Annotated[float, Meta(ge=0.0, le=1.0)]  # the highest quota that it may be using
    sent: Annotated[float, Meta(ge=-MAX_SERVICE_TIME_MS, le=MAX_SERVICE_TIME_MS)] | None = (
        None  # service time at the send; None if not known
    )
    answered: CounterOrNone = -1  # seq of the last renewal whose response was used
    delta: bool = False  # whether it accepts a delta of the member list
    call: Counter | UnsetType = UNSET  # the number of this call, repeated in the response


class MemberRequest(Struct, frozen=True):
    """A call about one member record."""

    incarnation: Counter


class VoteRequest(Struct, frozen=True):
    """A process's vote on a route version that is being prepared."""

    incarnation: Counter
    number: Counter  # the route version's number
    yes: bool
    why: Annotated[str, Meta(max_length=MAX_REASON_CHARACTERS)] = ""


class HaltRequest(Struct, frozen=True):
    """An operator aborts the activation of a route version."""

    number: Counter | None = None  # None: the pending version


class RollbackRequest(Struct, frozen=True):
    """An operator activates an earlier route version again."""

    number: Counter


def decode_body(kind: type[Body], body: bytes) -> Body:
    """Decode a body as this message; raise InvalidBodyError, which names the invalid field in one line."""
    try:
        return msgspec.json.decode(body or b"{}", type=kind)
    except (msgspec.MsgspecError, RecursionError) as failure:
        raise InvalidBodyError(failure) from failure
