"""Errors of the list service, its agent and their configuration."""

from __future__ import annotations


class RegistryError(Exception):
    """Base class of this package's errors."""


class InvalidFieldError(RegistryError, ValueError):
    """A field of a call has an invalid value; the message is the body of the response 400."""

    def __init__(self, field: str, value: object, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field, self.value, self.problem = field, value, problem


class InvalidTargetError(RegistryError, ValueError):
    """The body of a call is not the JSON object of a target."""

    def __init__(self) -> None:
        super().__init__("a target is not an object")


class InvalidBodyError(RegistryError, ValueError):
    """A body can't be decoded as the expected message or is too large."""

    def __init__(self, problem: object) -> None:
        super().__init__(f"body: {problem}")


class InvalidAddressError(RegistryError, ValueError):
    """A text is not a loopback host:port."""

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r} is not a loopback host:port")
        self.text = text


class BatchTooLargeError(InvalidBodyError):
    """A batch contains more renewals than an instance may forward in one call."""

    def __init__(self, count: int, limit: int) -> None:
        super().__init__(f"{count} renewals, over {limit}")
        self.count, self.limit = count, limit


class ConfigError(RegistryError, ValueError):
    """A configuration is invalid; the message names the file, the key and its line."""


class MemberLimitError(RegistryError, ValueError):
    """A further member would exceed a limit; enrolled members are not affected."""


class ServiceInUseError(RegistryError, ValueError):
    """A service can't be removed while a member of its group has a live lease."""

    def __init__(self, service: str, live: list[str]) -> None:
        super().__init__(f"{len(live)} members of {service!r} have live leases, {live[0]!r} one")
        self.service, self.live = service, live


class GroupsDisabledError(RegistryError, ValueError):
    """A call names the group of a service while the leader's `members.groups` setting is off."""

    def __init__(self) -> None:
        super().__init__("groups are off at the instance that leads")


class NotLeadingError(RegistryError, ConnectionError):
    """This instance is not the fleet's leader."""

    def __init__(self, problem: str = "not the leader") -> None:
        super().__init__(problem)


class LeaderReplacedError(NotLeadingError):
    """Another instance has become the fleet's leader since this one did."""

    def __init__(self) -> None:
        super().__init__("replaced as leader")


class NotCommittedError(RegistryError, ConnectionError):
    """Raft or the leader returned no result for a command; it may still have been committed."""


class UnusableLeaderResponseError(NotCommittedError):
    """The leader's response to a batch of renewals has no results for them."""

    def __init__(self, problem: object) -> None:
        super().__init__(f"the leader's response: {problem}")


class NoLeaderError(RegistryError, ConnectionError):
    """No leader is known."""

    def __init__(self) -> None:
        super().__init__("no leader in reach")


class ClockNotLeadingError(RegistryError, ValueError):
    """Service time was read on an instance that is not the leader."""

    def __init__(self) -> None:
        super().__init__("only the leader tells service time")


class UnusableResponseError(RegistryError, ValueError):
    """An instance's response to a watch contains no list."""


class StaleResponseError(RegistryError):
    """An instance sent a list older than the cached one; another instance may have a newer one."""
