"""Messages between the run and its processes of hollow nodes: one JSON line each, over standard streams."""

from __future__ import annotations

import msgspec
from msgspec import Struct


class HollowSpec(Struct, frozen=True):
    """A hollow node. Without `agent_port`, of a real agent, the agent's code runs in the node's process."""

    index: int
    name: str
    service: str
    region: str
    zone: str
    port: int  # for calls of siblings
    agent_port: int | None = None


class Setup(Struct, frozen=True, tag=True):
    """The first message to a process of hollow nodes."""

    nodes: list[HollowSpec]
    instances: list[int]  # HTTP ports of the list service, in the order of its instances
    regions: dict[int, str]  # by port, of each instance and each node
    servers: dict[str, list[str]]  # uids of the servers that nodes of a service observe, by service
    scoped: bool  # whether the program divides quotas by service
    seed: int
    counts: str  # the file in which this process counts its traffic
    probes: bool
    probe_period_ms: float | None  # None: the program's default
    sample_s: float


class Start(Struct, frozen=True, tag=True):
    """Start these nodes, each at a random time within `spread_s`."""

    indices: list[int]
    spread_s: float


class End(Struct, frozen=True, tag=True):
    """End these nodes: gracefully if `leaves`, else as when a machine fails.

    Connections to a failed machine's address are accepted and never get a response.
    """

    indices: list[int]
    leaves: bool


class Partition(Struct, frozen=True, tag=True):
    """Block connections of nodes to another region, or heal the partition."""

    partitioned: bool


class GetState(Struct, frozen=True, tag=True):
    """Request the current `State`."""


class Collect(Struct, frozen=True, tag=True):
    """Request what was `Measured` since the last time."""


class Quit(Struct, frozen=True, tag=True):
    """End all nodes without notice, and the process."""


Command = Start | End | Partition | GetState | Collect | Quit


class Done(Struct, frozen=True, tag=True):
    """The response to a command without results. Start and End continue in the background."""


class State(Struct, frozen=True, tag=True):
    """Counts of the running nodes of a process, and their quotas."""

    running: int
    enrolled: int
    attached: int  # received a response recently
    electors: int
    with_quota: int  # have a quota over 0
    quotas: dict[str, float]  # summed by group
    with_list: int  # have an endpoint list in the agent's code of their process


class Sample(Struct, frozen=True, array_like=True):
    """Quotas of all nodes of a process at one time, summed by group."""

    tick: int  # the time on the machine's monotonic clock, in sampling periods
    late_ms: float
    quotas: dict[str, float]


class Measured(Struct, frozen=True, tag=True):
    """Measurements of a process since the last collection; the strings are encoded histograms (`Times`)."""

    renewals: str  # latency of each successful renewal or enrolment
    by_agent: str  # those of them that went through an agent process
    enrolments: str  # from a node's start to its first response
    changes: str  # from the writing of a list change to its arrival at an agent
    loop_late: str  # delays of this process's sampling timer
    renewed: int
    late: int  # renewals that failed or took over a quarter of the lease term
    failed_calls: dict[str, int]  # failed calls, by path and status or error
    unknown: int  # renewals of a member that the list service doesn't know
    yielded: int  # times that the quota of a running node fell to 0
    changes_seen: dict[str, int]  # agents that have received it, by change
    probes: int  # sent
    probed: int  # received
    verdicts: dict[str, int]  # siblings by the current verdict of their node
    samples: list[Sample]
    faults: int  # failed tasks of the bench since the process's start; details are in its log


Response = Done | State | Measured

encode = msgspec.json.Encoder().encode
decode_setup = msgspec.json.Decoder(Setup).decode
decode_command = msgspec.json.Decoder(Command).decode
decode_response = msgspec.json.Decoder(Response).decode
