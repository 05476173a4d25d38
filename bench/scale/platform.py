"""Model of the platform under test: regions, zones, racks, services, call graph and event rates.

One factor scales the number of nodes, services, racks, calls and events. Service sizes keep their
distribution, and the largest service keeps its size while it is under MAX_LARGEST_FRACTION of all nodes, so
that figures that depend on the size of a service can be compared across factors. The same factor and seed
give the same platform.
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
MAX_LARGEST_FRACTION = 0.4
MIN_SERVICES = 4
EXPONENTS = (0.01, 3.0)  # search range for the exponent of the power law of service sizes
RANDOM_FACTOR = (0.5, 2.0)  # range of the random factor on a service's calls per node and on an edge's weight
FACTOR_LIMITS = (0.005, 4.0)

Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Positive = Annotated[float, Meta(gt=0.0, le=1e9)]
Fraction = Annotated[float, Meta(ge=0.0, lt=1.0)]
Name = Annotated[str, Meta(min_length=1, max_length=40)]


class Region(Struct, frozen=True, forbid_unknown_fields=True):
    """A region and its zones."""

    name: Name
    zones: Annotated[list[Name], Meta(min_length=1)]


class Rates(Struct, frozen=True, forbid_unknown_fields=True):
    """Events per day in the whole platform."""

    failures: Positive
    restarts: Positive
    config_changes: Positive

    def scaled(self, factor: float) -> Rates:
        return Rates(self.failures * factor, self.restarts * factor, self.config_changes * factor)


class Bounds(Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' upper bounds."""

    control_cpu_percent: Positive
    control_memory_mb: Positive
    control_bytes_per_s: Positive
    added_latency_p99_ms: Positive
    config_in_force_s: Positive
    control_machines: Count


class Size(Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of size.toml: the platform at factor 1."""

    nodes: Count
    services: Count
    largest_service: Count
    single_node_share: Fraction
    calls_per_s: Positive
    deepest_chain: Count
    callers_per_service: Count
    nodes_per_rack: Count
    rates_per_day: Rates
    bounds: Bounds
    regions: Annotated[list[Region], Meta(min_length=1)]


class Service(Struct, frozen=True):
    """A service, its tier in the call graph and its number of nodes."""

    index: int
    name: str
    tier: int  # 1: called by clients outside the platform
    nodes: int


class Edge(Struct, frozen=True):
    """Calls from one service to another; `caller` is None for clients outside the platform."""

    caller: int | None
    callee: int
    calls_per_s: float


class NodePlace(Struct, frozen=True):
    """A node (with its server) and its placement."""

    index: int
    name: str
    service: int
    region: str
    zone: str
    rack: str


class Platform(Struct, frozen=True):
    """A platform built for one factor and seed."""

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
        """Return the number of calls on the longest path through the call graph."""
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
    """Read size.toml; raise ValueError that names an invalid key."""
    return msgspec.convert(tomllib.loads(path.read_text()), Size)


def build_platform(factor: float, seed: int, size: Size | None = None) -> Platform:
    """Build the platform; raise ValueError if the factor is out of range."""
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
    """Return sizes that sum to `nodes`: a fraction of single nodes, the others by a power law of their rank.

    Ranks are spread over the range of factor 1, so that all factors have the same distribution.
    """
    largest = min(size.largest_service, int(nodes * MAX_LARGEST_FRACTION))
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
    """Round to integers with this sum: those with the largest remainders are rounded up."""
    whole = [int(size) for size in sizes]
    by_remainder = sorted(range(len(sizes)), key=lambda at: whole[at] - sizes[at])
    for at in range(total - sum(whole)):
        whole[by_remainder[at % len(whole)]] += 1
    return whole


def _services(size: Size, factor: float, random: Random) -> list[Service]:
    nodes = max(MIN_SERVICES * 2, round(size.nodes * factor))
    count = max(MIN_SERVICES, round(size.services * factor))
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
    """Return the call graph.

    Each service is called from the tier directly above, which makes the longest chain as deep as there are
    tiers, and from some further services above. Its calls are proportional to its size.
    """
    edges: list[Edge] = []
    for service in services:
        calls = service.nodes * random.uniform(*RANDOM_FACTOR)
        callers = _callers(size, service, services, random)
        weights = [random.uniform(*RANDOM_FACTOR) for _ in callers]
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
    """Spread the nodes of each service over all zones, and over the racks of each zone."""
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
