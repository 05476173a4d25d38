"""Errors of the node's configuration and of addresses."""

from __future__ import annotations


class AddressError(ValueError):
    """A text does not name a host and a port."""

    def __init__(self, text: object) -> None:
        super().__init__(f"{text!r} is not an address and a port")
        self.text = text


class ConfigError(ValueError):
    """The node can't run with its configuration."""


class ConfigPathError(ConfigError):
    """No environment variable names the configuration file."""

    def __init__(self, variable: str) -> None:
        super().__init__(f"{variable} is not set")
        self.variable = variable


class ConfigFormError(ConfigError):
    """The configuration is JSON, but no object."""

    def __init__(self) -> None:
        super().__init__("the configuration is not an object")


class MissingSettingError(ConfigError):
    """A setting that has to be there is missing."""

    def __init__(self, setting: str) -> None:
        super().__init__(f"{setting}: missing")
        self.setting = setting


class InvalidSettingError(ConfigError):
    """A setting holds a value of another kind."""

    def __init__(self, setting: str, value: object, expected: str) -> None:
        super().__init__(f"{setting}: {value!r} is not {expected}")
        self.setting = setting
        self.value = value
        self.expected = expected


class MalformedSettingError(ConfigError):
    """A setting can't be decoded; `reason` says why."""

    def __init__(self, setting: str, reason: ValueError) -> None:
        super().__init__(f"{setting}: {reason}")
        self.setting = setting
        self.reason = reason
