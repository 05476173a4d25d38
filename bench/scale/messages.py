"""What the run and its hollow processes say to each other: one JSON line a message, over standard streams."""

from __future__ import annotations

import msgspec
from msgspec import Struct


class HollowSpec(Struct, frozen=True):
    """A hollow node. `agent_port`: of a real agent; none: the agent's code runs beside the node."""

    index: int
    name: str
    service: str
    region: str
    zone: str
    port: int  # where siblings call it
    agent_port: int | None = None


class Setup(Struct, frozen=True, tag=True):
    """The first message to a hollow process."""

    nodes: list[HollowSpec]
    instances: list[int]  # HTTP ports of the list service, in the order of its instances
    regions: dict[int, str]  # by port: of each instance and each node's address
    servers: dict[str, list[str]]  # by service: uids of the servers that a node of it has facts on
    scoped: bool  # whether the program has shares by service
    seed: int
    counts: str  # the file of this process's traffic
    probes: bool
    probe_period_ms: float | None  # none: as the program has it
    sample_s: float


class Start(Struct, frozen=True, tag=True):
    """Start these nodes, each at a moment of its own within the time given."""

    indices: list[int]
    spread_s: float


class End(Struct, frozen=True, tag=True):
    """End these nodes: with a word to the list service, or as a machine that has lost its power: connections
    to its address are taken and never answered."""

    indices: list[int]
    leaves: bool


class Part(Struct, frozen=True, tag=True):
    """Cut all that a node dials in another region, or join the regions again."""

    parted: bool


class Ask(Struct, frozen=True, tag=True):
    """Tell how things stand; answered with `State`."""


class Collect(Struct, frozen=True, tag=True):
    """Tell what was measured since the last time; answered with `Measured`."""


class Quit(Struct, frozen=True, tag=True):
    pass


Command = Start | End | Part | Ask | Collect | Quit


class Done(Struct, frozen=True, tag=True):
    """Start, End and Part are begun at once and answered so."""


class State(Struct, frozen=True, tag=True):
    """Of the nodes that run here: how many there are, and of these how many ..."""

    running: int
    enrolled: int
    attached: int  # have had an answer lately
    electors: int
    taking: int  # have a share over 0
    shares: dict[str, float]  # summed by group
    lists: int  # have an agent's code beside them that has a list


class Sample(Struct, frozen=True, array_like=True):
    """What all nodes here took at one moment, summed by group."""

    tick: int  # its number by the machine's monotonic clock
    late_ms: float
    shares: dict[str, float]


class Measured(Struct, frozen=True, tag=True):
    renewals: str  # Times: of each answered renewal or enrolment, from its sending
    by_agent: str  # Times: of these, the ones through an agent process
    enrolments: str  # Times: from a node's start to its first answer
    changes: str  # Times: from a change's writing to an agent's having it
    loop_late: str  # Times: how late this process's own timer ran
    renewed: int
    late: int  # renewals that failed or took over a quarter of the term
    refused: dict[str, int]  # calls by path and status, or the error's name
    unknown: int  # renewals answered that there is no such row
    yielded: int  # times that a node which ran had its share fall to 0
    changes_seen: dict[str, int]  # by change: agents that have it
    probes: int
    probed: int
    verdicts: dict[str, int]  # siblings by what their node makes of them now
    samples: list[Sample]
    faults: int  # tasks of the bench's own that have failed since the process's start; its log says how


Reply = Done | State | Measured

encode = msgspec.json.Encoder().encode
decode_setup = msgspec.json.Decoder(Setup).decode
decode_command = msgspec.json.Decoder(Command).decode
decode_reply = msgspec.json.Decoder(Reply).decode
