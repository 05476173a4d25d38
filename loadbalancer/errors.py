"""Errors in settings. Each names the setting and, if it has one, its value and what is expected."""

from __future__ import annotations

from collections.abc import Iterable


class SettingError(ValueError):
    """A setting is invalid."""

    def __init__(self, setting: str, problem: str) -> None:
        super().__init__(f"{setting}: {problem}")
        self.setting = setting


class SettingMissingError(SettingError):
    """A required setting is missing."""

    def __init__(self, setting: str) -> None:
        super().__init__(setting, "missing")


class SettingTypeError(SettingError):
    """A setting has the wrong type."""

    def __init__(self, setting: str, value: object, expected: str) -> None:
        super().__init__(setting, f"{value!r} is not {expected}")
        self.value = value


class SettingItemError(SettingError):
    """An item of a list has the wrong type."""

    def __init__(self, setting: str, item: object, expected: str) -> None:
        super().__init__(setting, f"{item!r} in the list is not {expected}")
        self.item = item


class SettingRangeError(SettingError):
    """A setting is not a number within its range, ends included."""

    def __init__(self, setting: str, value: object, low: float, high: float) -> None:
        super().__init__(setting, f"{value!r} is not a number from {low:g} to {high:g}")
        self.value = value
        self.low = low
        self.high = high


class SettingChoiceError(SettingError):
    """A setting is not one of the allowed words."""

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
