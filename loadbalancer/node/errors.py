"""Errors in the node's configuration and in addresses."""

from __future__ import annotations


class AddressError(ValueError):
    """The text is not of the form `host:port`."""

    def __init__(self, text: object) -> None:
        super().__init__(f"{text!r} is not an address and a port")
        self.text = text


class ConfigError(ValueError):
    """The node's configuration is unusable."""


class ConfigPathError(ConfigError):
    """The environment variable with the path of the configuration file is not set."""

    def __init__(self, variable: str) -> None:
        super().__init__(f"{variable} is not set")
        self.variable = variable


class ConfigFormError(ConfigError):
    """The configuration is valid JSON but not an object."""

    def __init__(self) -> None:
        super().__init__("the configuration is not an object")


class MissingSettingError(ConfigError):
    """A required setting is missing."""

    def __init__(self, setting: str) -> None:
        super().__init__(f"{setting}: missing")
        self.setting = setting


class InvalidSettingError(ConfigError):
    """The value of a setting is of the wrong kind or out of range."""

    def __init__(self, setting: str, value: object, expected: str) -> None:
        super().__init__(f"{setting}: {value!r} is not {expected}")
        self.setting = setting
        self.value = value
        self.expected = expected


class MalformedSettingError(ConfigError):
    """A setting can't be decoded; `reason` is the decoder's error."""

    def __init__(self, setting: str, reason: ValueError) -> None:
        super().__init__(f"{setting}: {reason}")
        self.setting = setting
        self.reason = reason
