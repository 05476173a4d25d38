"""The bodies of the fleet's calls, checked by type, range and length as they are read.

Field names are the keys of the JSON bodies (docs/fleet.md).
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType

from loadbalancer.registry.errors import InvalidBodyError

MAX_NAME_CHARACTERS = 100
MAX_REASON_CHARACTERS = 300
INTEGER_LIMIT = 2**53  # JSON numbers are exact below it
MAX_SERVICE_TIME_MS = 1e15

Body = TypeVar("Body")

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
NameOrEmpty = Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS)]
Counter = Annotated[int, Meta(ge=0, lt=INTEGER_LIMIT)]
CounterOrNone = Annotated[int, Meta(ge=-1, lt=INTEGER_LIMIT)]  # -1: none yet


class EnrolRequest(Struct, frozen=True):
    """A process asks for a row."""

    name: Name
    address: Name  # host:port where it listens
    start: Name  # a random text of the process's start
    zone: NameOrEmpty = ""
    service: NameOrEmpty = ""  # the service that the process balances to
    call: Counter | UnsetType = UNSET  # the number of this call, which the answer repeats


class RenewRequest(Struct, frozen=True):
    """A process renews its lease."""

    incarnation: Counter
    seq: Counter  # counts the process's renewals
    acked: CounterOrNone  # the revision of the member list that it acts on
    using: Annotated[float, Meta(ge=0.0, le=1.0)]  # the most share that it may be taking
    sent: Annotated[float, Meta(ge=-MAX_SERVICE_TIME_MS, le=MAX_SERVICE_TIME_MS)] | None = None  # service ms
    answered: CounterOrNone = -1  # the last renewal whose answer was used
    delta: bool = False  # it takes the changes of the member list in place of the complete list
    call: Counter | UnsetType = UNSET  # the number of this call, which the answer repeats


class MemberRequest(Struct, frozen=True):
    """A call about one row."""

    incarnation: Counter


class VoteRequest(Struct, frozen=True):
    """A process's vote on a route version that is being prepared."""

    incarnation: Counter
    number: Counter  # of the version
    yes: bool
    why: Annotated[str, Meta(max_length=MAX_REASON_CHARACTERS)] = ""


class HaltRequest(Struct, frozen=True):
    """An operator aborts the activation of a route version."""

    number: Counter | None = None  # None: of the pending one


class RollbackRequest(Struct, frozen=True):
    """An operator activates an earlier route version again."""

    number: Counter


def decode_body(kind: type[Body], body: bytes) -> Body:
    """The body as this message; InvalidBodyError names the field that is wrong, in one line."""
    try:
        return msgspec.json.decode(body or b"{}", type=kind)
    except (msgspec.MsgspecError, RecursionError) as failure:
        raise InvalidBodyError(failure) from failure
