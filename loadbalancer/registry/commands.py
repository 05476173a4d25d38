"""The fleet's commands on groups, in their form in the list service's log.

Each is a tagged struct in MessagePack; a log entry contains several (`FleetCatalog.write`). The commands from
before groups existed are replicated methods of `FleetCatalog`. Tags and field names are part of the journal's
format.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct


class EnrolMember(Struct, frozen=True, tag="enrol"):
    """Enrol the process that listens at `address` as a member of the group of this service."""

    name: str
    address: str
    zone: str
    start: str
    service: str


class RemoveMembers(Struct, frozen=True, tag="remove"):
    """An operator reports that the processes of this name have ended.

    This concerns the group of `service`, or all groups if it is None.
    """

    name: str
    service: str | None = None


class EndService(Struct, frozen=True, tag="end-service"):
    """An operator reports that all processes in front of this service have ended."""

    service: str


Command = EnrolMember | RemoveMembers | EndService

encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


def decode(data: bytes) -> Command:
    """Decode a command; raise msgspec.DecodeError for a command that only a later release knows."""
    return _decoder.decode(data)
