"""The bodies of the fleet's calls, checked by type, range and length as they are read."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Text = Annotated[str, Meta(min_length=1, max_length=100)]
Whole = Annotated[int, Meta(ge=0, lt=2**53)]
Earlier = Annotated[int, Meta(ge=-1, lt=2**53)]


class Enrol(Struct, frozen=True):
    name: Text
    address: Text
    start: Text
    zone: Annotated[str, Meta(max_length=100)] = ""
    service: Annotated[str, Meta(max_length=100)] = ""  # the one that the process balances to


class Renew(Struct, frozen=True):
    incarnation: Whole
    seq: Whole
    acked: Earlier
    using: Annotated[float, Meta(ge=0.0, le=1.0)]
    sent: Annotated[float, Meta(ge=-1e15, le=1e15)] | None = None
    answered: Earlier = -1  # the last renewal whose answer was used
    delta: bool = False  # the process takes changes of the member list in place of the whole


class One(Struct, frozen=True):
    incarnation: Whole


class Vote(Struct, frozen=True):
    incarnation: Whole
    number: Whole
    yes: bool
    why: Annotated[str, Meta(max_length=300)] = ""


class Halt(Struct, frozen=True):
    number: Whole | None = None


class Rollback(Struct, frozen=True):
    number: Whole
