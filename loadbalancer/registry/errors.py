"""Errors of the list service, its agent and their configuration."""

from __future__ import annotations


class RegistryError(Exception):
    """Base class of this package's errors."""


class InvalidFieldError(RegistryError, ValueError):
    """A field of a request has a value that is not allowed; callers read the message in an answer 400."""

    def __init__(self, field: str, value: object, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field, self.value, self.problem = field, value, problem


class InvalidTargetError(RegistryError, ValueError):
    """A body is not the JSON object of a target."""

    def __init__(self) -> None:
        super().__init__("a target is not an object")


class InvalidBodyError(RegistryError, ValueError):
    """A body that can't be decoded as the message it has to be, or is too large."""

    def __init__(self, problem: object) -> None:
        super().__init__(f"body: {problem}")


class InvalidAddressError(RegistryError, ValueError):
    """A text is not the address of a program on loopback."""

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r} is not a loopback host:port")
        self.text = text


class BatchTooLargeError(InvalidBodyError):
    """A batch has more renewals than an instance forwards in one call."""

    def __init__(self, count: int, limit: int) -> None:
        super().__init__(f"{count} renewals, over {limit}")
        self.count, self.limit = count, limit


class ConfigError(RegistryError, ValueError):
    """A configuration that can't be used: the message names the file, the key and its line."""


class MemberLimitError(RegistryError, ValueError):
    """A further member would exceed a limit; members that are enrolled are not affected."""


class ServiceInUseError(RegistryError, ValueError):
    """A service can't be ended while a member of its group has a live lease."""

    def __init__(self, service: str, live: list[str]) -> None:
        super().__init__(f"{len(live)} members of {service!r} have live leases, {live[0]!r} one")
        self.service, self.live = service, live


class GroupsDisabledError(RegistryError, ValueError):
    """A call on the group of one service reached a list service whose `members.groups` setting is off."""

    def __init__(self) -> None:
        super().__init__("groups are off at the instance that leads")


class NotLeadingError(RegistryError, ConnectionError):
    """This instance does not lead the fleet."""

    def __init__(self, problem: str = "not the leader") -> None:
        super().__init__(problem)


class LeaderReplacedError(NotLeadingError):
    """Another instance has begun to lead the fleet since this one did."""

    def __init__(self) -> None:
        super().__init__("replaced as leader")


class NotCommittedError(RegistryError, ConnectionError):
    """Raft or the leader gave no result for a request, which may have been committed nevertheless."""


class UnusableLeaderAnswerError(NotCommittedError):
    """The leader answered a batch of renewals in a way that tells nothing of them."""

    def __init__(self, problem: object) -> None:
        super().__init__(f"the leader's answer: {problem}")


class NoLeaderError(RegistryError, ConnectionError):
    """No instance is known that leads."""

    def __init__(self) -> None:
        super().__init__("no leader in reach")


class ClockNotLeadingError(RegistryError, ValueError):
    """Service time was read on an instance that does not lead."""

    def __init__(self) -> None:
        super().__init__("only the leader tells service time")


class UnusableAnswerError(RegistryError, ValueError):
    """An instance answered with a status or a body that holds no list."""


class StaleAnswerError(RegistryError):
    """An instance answered with a list older than the one cached; another instance may have a newer one."""
