"""Errors of the control plane."""

from __future__ import annotations


class ControlPlaneError(ValueError):
    """Base class of the package's errors."""


class LeaseResponseError(ControlPlaneError):
    """The body of the response to an enrolment or a renewal is malformed."""

    def __init__(self, problem: str) -> None:
        """`problem`: the decoder's message, which includes the path of the invalid value."""
        super().__init__(f"malformed response: {problem}")


class WatchResponseError(ControlPlaneError):
    """The response to a watch poll has another status than 200, or its body is not a JSON object."""

    def __init__(self, status: int) -> None:
        """`status`: the status of the HTTP response."""
        super().__init__(f"invalid watch response, status {status}")
        self.status = status
