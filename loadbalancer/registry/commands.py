"""The fleet's commands on groups, in the form in which the list service's log holds them.

Each is one tagged struct in MessagePack; a log entry holds several (`FleetCatalog.write`). Commands that do
not know groups are replicated methods of `FleetCatalog`. Tags and field names are part of the journal's
format.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct


class EnrolMember(Struct, frozen=True, tag="enrol"):
    """Give a process that listens at its address a row in the group of this service."""

    name: str
    address: str
    zone: str
    start: str
    service: str


class RemoveMembers(Struct, frozen=True, tag="remove"):
    """An operator declares that the processes of this name have ended; service None: in every group."""

    name: str
    service: str | None = None


class EndService(Struct, frozen=True, tag="end-service"):
    """An operator declares that all processes in front of this service have ended."""

    service: str


Command = EnrolMember | RemoveMembers | EndService

encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


def decode(data: bytes) -> Command:
    """The command; msgspec.DecodeError for one that only a later release knows."""
    return _decoder.decode(data)
