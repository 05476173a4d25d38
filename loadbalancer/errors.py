"""Errors of settings. Each names the setting and, where there is one, its value and what it has to be."""

from __future__ import annotations

from collections.abc import Iterable


class SettingError(ValueError):
    """A setting that can't be used."""

    def __init__(self, setting: str, problem: str) -> None:
        super().__init__(f"{setting}: {problem}")
        self.setting = setting


class SettingMissingError(SettingError):
    """A setting that is required is missing."""

    def __init__(self, setting: str) -> None:
        super().__init__(setting, "missing")


class SettingTypeError(SettingError):
    """A setting is of another type than the expected one."""

    def __init__(self, setting: str, value: object, expected: str) -> None:
        super().__init__(setting, f"{value!r} is not {expected}")
        self.value = value


class SettingItemError(SettingError):
    """An item of a list is of another type than the expected one."""

    def __init__(self, setting: str, item: object, expected: str) -> None:
        super().__init__(setting, f"{item!r} in the list is not {expected}")
        self.item = item


class SettingRangeError(SettingError):
    """A setting is no number within its range, whose ends belong to it."""

    def __init__(self, setting: str, value: object, low: float, high: float) -> None:
        super().__init__(setting, f"{value!r} is not a number from {low:g} to {high:g}")
        self.value = value
        self.low = low
        self.high = high


class SettingChoiceError(SettingError):
    """A setting is none of the words that it may be."""

    def __init__(self, setting: str, value: object, choices: Iterable[str]) -> None:
        super().__init__(setting, f"{value!r} is not one of {', '.join(choices)}")
        self.value = value


class NoServiceClassError(SettingError):
    """The settings have no service class."""

    def __init__(self, setting: str) -> None:
        super().__init__(setting, "at least one class is needed")


class DuplicateNameError(SettingError):
    """Two items of a list have the same name."""

    def __init__(self, setting: str, name: str) -> None:
        super().__init__(setting, f"the name {name!r} occurs twice")
        self.name = name
