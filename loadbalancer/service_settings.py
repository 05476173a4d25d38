"""Settings of the balancing policy: service classes, tenants and the limits of one tier.

Times are in milliseconds, rates in requests per second. Values are checked when a `Settings` is built.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a repeat of a request does."""

    IDEMPOTENT = "safe"  # may be repeated freely
    IDEMPOTENCY_KEY = "keyed"  # one group of servers drops a repeat while it remembers the key
    NON_IDEMPOTENT = "unsafe"  # must never run twice


class DeduplicationScope(Enum):
    """The group of servers that drops repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


MAX_NUMBER = (
    1e12  # of any figure: products and sums of larger ones overflow, and what they bound never binds again
)


@dataclass(slots=True, frozen=True)
class ServiceClass:
    name: str
    latency_objective_ms: float  # an answer within this earns its whole worth
    client_timeout_ms: float  # the client's patience over all its tries
    priority_weight: float = 1.0
    late_weight: float = 0.0  # share of the worth earned after the aim
    effect: Effect = Effect.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # how long the group remembers a key
    stream: bool = False
    latency_objective_stretch: float = 0.0  # multiple of a request's work by which its aim is later


@dataclass(slots=True, frozen=True)
class Tenant:
    name: str
    quota_per_s: float  # over all balancers of the tier together


@dataclass(slots=True, frozen=True)
class Settings:
    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    tier: int = 0  # 0 is the tier that clients reach
    siblings: int = 1  # balancers that send to this tier, this one included
    poll_discovery: bool = False
    weight_by_work: bool = False
    over_quota_weight: float = 1.0
    load_report_fields: tuple[str, ...] = ()
    may_cancel: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1
    cross_zone_price: float = 0.0
    slow_start_from: float = 1.0
    slow_start_ms: float = 0.0
    overload_factor: float = 2.0  # a cold server sent more than this many times its capacity falls over

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one class is needed")
        for at, item in enumerate(self.classes):
            for key in ("latency_objective_ms", "client_timeout_ms"):
                check_within(f"classes[{at}].{key}", getattr(item, key), 0.001)
            for key in (
                "priority_weight",
                "late_weight",
                "latency_objective_stretch",
                "deduplication_window_ms",
            ):
                check_within(f"classes[{at}].{key}", getattr(item, key), 0)
            check_bool(f"classes[{at}].stream", item.stream)
        for at, tenant in enumerate(self.tenants):
            check_within(f"tenants[{at}].quota_per_s", tenant.quota_per_s, 0)
        for key in ("tier", "max_retry_after_ms", "cross_zone_price", "slow_start_ms"):
            check_within(key, getattr(self, key), 0)
        for key in ("siblings", "max_attempts"):
            check_within(key, getattr(self, key), 1)
        for key in ("poll_discovery", "weight_by_work", "may_cancel", "retry_after"):
            check_bool(key, getattr(self, key))
        if not isinstance(self.zone, str):
            raise ValueError(f"zone: {self.zone!r} is not a text")
        check_within("overload_factor", self.overload_factor, 0.001)
        check_within("over_quota_weight", self.over_quota_weight, 0, 1)
        check_within("slow_start_from", self.slow_start_from, 0.001, 1)
        for key, names in (("classes", self.classes), ("tenants", self.tenants)):
            _check_unique(key, (item.name for item in names))


def check_within(key: str, value: object, low: float, high: float = MAX_NUMBER) -> None:
    if not isinstance(value, int | float) or isinstance(value, bool) or not low <= value <= high:
        raise ValueError(f"{key}: {value!r} is not a number from {low:g} to {high:g}")


def check_bool(key: str, value: object) -> None:
    if not isinstance(value, bool):
        raise ValueError(f"{key}: {value!r} is not true or false")


def _check_unique(key: str, names: Iterable[str]) -> None:
    seen = list(names)
    if len(set(seen)) != len(seen):
        raise ValueError(f"{key}: a name stands twice")
