"""The platform under test: regions, zones, racks, services, a call graph and rates of events, by one factor.

The factor scales the number of nodes, services, racks, calls and events. Service sizes keep their
distribution, and the largest keeps its size where it is under LARGEST_SHARE of all nodes, so that figures
that depend on the size of a service may be compared across factors. The same factor and seed give the same
platform.
"""

from __future__ import annotations

import tomllib
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

SIZE_FILE = Path(__file__).with_name("size.toml")
LARGEST_SHARE = 0.4
FEWEST_SERVICES = 4
EXPONENTS = (0.01, 3.0)  # of the law of sizes: between them the fit is looked for
NOISE = (0.5, 2.0)  # a service's calls a node are the mean times a figure between these
FACTOR_LIMITS = (0.005, 4.0)

Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Positive = Annotated[float, Meta(gt=0.0, le=1e9)]
Share = Annotated[float, Meta(ge=0.0, lt=1.0)]
Name = Annotated[str, Meta(min_length=1, max_length=40)]


class Region(Struct, frozen=True, forbid_unknown_fields=True):
    name: Name
    zones: Annotated[list[Name], Meta(min_length=1)]


class Rates(Struct, frozen=True, forbid_unknown_fields=True):
    """Events a day in the whole platform."""

    failures: Positive
    restarts: Positive
    config_changes: Positive

    def scaled(self, factor: float) -> Rates:
        return Rates(self.failures * factor, self.restarts * factor, self.config_changes * factor)


class Bounds(Struct, frozen=True, forbid_unknown_fields=True):
    """What the operators allow."""

    control_cpu_percent: Positive
    control_memory_mb: Positive
    control_bytes_per_s: Positive
    added_latency_p99_ms: Positive
    config_in_force_s: Positive
    control_machines: Count


class Size(Struct, frozen=True, forbid_unknown_fields=True):
    """The configuration file: the platform at factor 1."""

    nodes: Count
    services: Count
    largest_service: Count
    single_node_share: Share
    calls_per_s: Positive
    deepest_chain: Count
    callers_per_service: Count
    nodes_per_rack: Count
    rates_per_day: Rates
    bounds: Bounds
    regions: Annotated[list[Region], Meta(min_length=1)]


class Service(Struct, frozen=True):
    index: int
    name: str
    tier: int  # 1: called by users
    nodes: int


class Edge(Struct, frozen=True):
    """Calls from one service to another; `caller` is None for users."""

    caller: int | None
    callee: int
    calls_per_s: float


class NodePlace(Struct, frozen=True):
    """A node (and its server) and where it stands."""

    index: int
    name: str
    service: int
    region: str
    zone: str
    rack: str


class Platform(Struct, frozen=True):
    factor: float
    seed: int
    size: Size
    services: list[Service]
    edges: list[Edge]
    nodes: list[NodePlace]
    rates_per_day: Rates

    @property
    def zones(self) -> list[str]:
        return [zone for region in self.size.regions for zone in region.zones]

    def nodes_of(self, service: int) -> list[NodePlace]:
        return [node for node in self.nodes if node.service == service]

    def in_zone(self, zone: str) -> list[NodePlace]:
        return [node for node in self.nodes if node.zone == zone]

    def in_rack(self, rack: str) -> list[NodePlace]:
        return [node for node in self.nodes if node.rack == rack]

    def in_region(self, region: str) -> list[NodePlace]:
        return [node for node in self.nodes if node.region == region]

    def largest(self) -> Service:
        return max(self.services, key=lambda service: service.nodes)

    def depth(self) -> int:
        """Calls on the longest path from a user's call."""
        depth = {service.index: 1 for service in self.services}
        callers: dict[int, list[int]] = {service.index: [] for service in self.services}
        for edge in self.edges:
            if edge.caller is not None:
                callers[edge.callee].append(edge.caller)
        for service in sorted(self.services, key=lambda service: service.tier):
            above = [depth[caller] for caller in callers[service.index]]
            depth[service.index] = 1 + max(above, default=0)
        return max(depth.values())


def read_size(path: Path = SIZE_FILE) -> Size:
    """ValueError says which key of the file is wrong."""
    return msgspec.convert(tomllib.loads(path.read_text()), Size)


def build_platform(factor: float, seed: int, size: Size | None = None) -> Platform:
    """ValueError where the factor is out of range."""
    if not FACTOR_LIMITS[0] <= factor <= FACTOR_LIMITS[1]:
        raise ValueError(f"factor {factor} is not from {FACTOR_LIMITS[0]} to {FACTOR_LIMITS[1]}")
    size = size or read_size()
    random = Random(f"platform-{seed}")
    services = _services(size, factor, random)
    return Platform(
        factor=factor,
        seed=seed,
        size=size,
        services=services,
        edges=_edges(size, factor, services, random),
        nodes=_nodes(size, services, random),
        rates_per_day=size.rates_per_day.scaled(factor),
    )


# ------------------------------------------------------------------------ services


def service_sizes(size: Size, nodes: int, services: int) -> list[int]:
    """Sizes that sum to `nodes`: a share of single nodes, the others falling from the largest by a power.

    Ranks are spread over those at factor 1, so that other factors draw from the same distribution.
    """
    largest = min(size.largest_service, int(nodes * LARGEST_SHARE))
    single = round(services * size.single_node_share)
    count = services - single
    spread = (size.services - 1) / max(1, count - 1)
    ranks = [1.0 + spread * at for at in range(count)]
    low, high = EXPONENTS
    for _ in range(60):
        exponent = (low + high) / 2.0
        too_many = sum(_by_rank(ranks, largest, exponent)) > nodes - single
        low, high = (exponent, high) if too_many else (low, exponent)
    return _rounded(_by_rank(ranks, largest, high), nodes - single) + [1] * single


def _by_rank(ranks: Sequence[float], largest: int, exponent: float) -> list[float]:
    return [max(1.0, largest * rank**-exponent) for rank in ranks]


def _rounded(sizes: Sequence[float], total: int) -> list[int]:
    """Whole sizes with this sum: those with the largest remainders are rounded up."""
    whole = [int(size) for size in sizes]
    by_remainder = sorted(range(len(sizes)), key=lambda at: whole[at] - sizes[at])
    for at in range(total - sum(whole)):
        whole[by_remainder[at % len(whole)]] += 1
    return whole


def _services(size: Size, factor: float, random: Random) -> list[Service]:
    nodes = max(FEWEST_SERVICES * 2, round(size.nodes * factor))
    count = max(FEWEST_SERVICES, round(size.services * factor))
    sizes = service_sizes(size, nodes, count)
    random.shuffle(sizes)
    deepest = min(size.deepest_chain, count)
    tiers = [*range(1, deepest + 1), *(random.randint(1, deepest) for _ in range(count - deepest))]
    return [
        Service(index, f"service-{index:03}", tier, nodes_of)
        for index, (tier, nodes_of) in enumerate(zip(tiers, sizes, strict=True))
    ]


# ---------------------------------------------------------------------- call graph


def _edges(size: Size, factor: float, services: Sequence[Service], random: Random) -> list[Edge]:
    """Each service is called from the tier above, so that the chain is as deep as there are tiers, and from
    some further ones above; its calls go with its size."""
    edges: list[Edge] = []
    for service in services:
        calls = service.nodes * random.uniform(*NOISE)
        callers = _callers(size, service, services, random)
        weights = [random.uniform(*NOISE) for _ in callers]
        edges += [
            Edge(caller, service.index, calls * weight / sum(weights))
            for caller, weight in zip(callers, weights, strict=True)
        ]
    scale = size.calls_per_s * factor / sum(edge.calls_per_s for edge in edges)
    return [Edge(edge.caller, edge.callee, edge.calls_per_s * scale) for edge in edges]


def _callers(size: Size, service: Service, services: Sequence[Service], random: Random) -> list[int | None]:
    if service.tier == 1:
        return [None]
    directly_above = [other.index for other in services if other.tier == service.tier - 1]
    first = random.choice(directly_above)
    above = [other.index for other in services if other.tier < service.tier and other.index != first]
    further = random.randint(0, 2 * (size.callers_per_service - 1))
    return [first, *random.sample(above, min(further, len(above)))]


# ----------------------------------------------------------------------- placement


def _nodes(size: Size, services: Sequence[Service], random: Random) -> list[NodePlace]:
    """A service's nodes are spread over all zones, and over the racks of each."""
    zones = [(region.name, zone) for region in size.regions for zone in region.zones]
    total = sum(service.nodes for service in services)
    racks = max(1, round(total / len(zones) / size.nodes_per_rack))
    in_zone = dict.fromkeys((zone for _, zone in zones), 0)
    nodes: list[NodePlace] = []
    for service in services:
        first = random.randrange(len(zones))
        for at in range(service.nodes):
            region, zone = zones[(first + at) % len(zones)]
            rack = f"{zone}-rack-{in_zone[zone] % racks:02}"
            in_zone[zone] += 1
            nodes.append(NodePlace(len(nodes), f"{service.name}-n{at:03}", service.index, region, zone, rack))
    return nodes
