"""Commands of the fleet's that know groups, as they stand in the list service's log.

They came after the first release of the fleet's state, whose commands are methods of their own
(fleet.py) and stay as they are, so that its journals are read. Each is one tagged struct in MessagePack; a
log entry holds several (`FleetCatalog.write`).
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
    """An operator's word that the processes of this name have ended; service None: in every group."""

    name: str
    service: str | None = None


class EndService(Struct, frozen=True, tag="end-service"):
    """An operator's word that all processes in front of this service have ended."""

    service: str


Command = EnrolMember | RemoveMembers | EndService

encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


def decode(data: bytes) -> Command:
    """msgspec.DecodeError for a command of a later release."""
    return _decoder.decode(data)
