"""Errors of the control plane."""

from __future__ import annotations


class ControlPlaneError(ValueError):
    """Base of the package's errors."""


class LeaseAnswerError(ControlPlaneError):
    """The body of an answer to an enrolment or a renewal is malformed."""

    def __init__(self, problem: str) -> None:
        """`problem`: what the decoder says, with the place of the wrong value."""
        super().__init__(f"answer: {problem}")


class WatchAnswerError(ControlPlaneError):
    """The list service answered a watch with another status than 200, or with no JSON object."""

    def __init__(self, status: int) -> None:
        """`status`: of the HTTP answer."""
        super().__init__(f"watch answered {status}")
        self.status = status
