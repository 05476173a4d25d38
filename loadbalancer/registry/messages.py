"""The bodies of the fleet's calls, checked by type, range and length as they are read."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=100)]
Counter = Annotated[int, Meta(ge=0, lt=2**53)]
CounterOrNone = Annotated[int, Meta(ge=-1, lt=2**53)]


class EnrolRequest(Struct, frozen=True):
    name: Name
    address: Name
    start: Name
    zone: Annotated[str, Meta(max_length=100)] = ""
    service: Annotated[str, Meta(max_length=100)] = ""  # the one that the process balances to


class RenewRequest(Struct, frozen=True):
    incarnation: Counter
    seq: Counter
    acked: CounterOrNone
    using: Annotated[float, Meta(ge=0.0, le=1.0)]
    sent: Annotated[float, Meta(ge=-1e15, le=1e15)] | None = None
    answered: CounterOrNone = -1  # the last renewal whose answer was used
    delta: bool = False  # the process takes changes of the member list in place of the whole


class MemberRequest(Struct, frozen=True):
    incarnation: Counter


class VoteRequest(Struct, frozen=True):
    incarnation: Counter
    number: Counter
    yes: bool
    why: Annotated[str, Meta(max_length=300)] = ""


class HaltRequest(Struct, frozen=True):
    number: Counter | None = None


class RollbackRequest(Struct, frozen=True):
    number: Counter
