"""A set of 64-bit keys that takes 12 to 16 bytes a key, where a set of integers takes some 100."""

from __future__ import annotations

from array import array
from collections.abc import Iterable

KEY_BYTES = 8
MIN_SLOTS = 64
SLOTS_PER_KEY = 2  # after the set has grown
MAX_LOAD_NUMERATOR, MAX_LOAD_DENOMINATOR = 2, 3  # part of the slots in use, removed keys included

# Slot values that are no keys.
_EMPTY = 0
_REMOVED = 1
_RESERVED_VALUES = 2


class KeySet:
    """A hash table with open addressing and linear probing. The keys have to be evenly distributed."""

    __slots__ = ("_count", "_slots", "_used")

    def __init__(self, expected_keys: int = 0) -> None:
        """The set has room for `expected_keys` before it grows."""
        self._slots = _empty_slots(expected_keys)
        self._count = 0
        self._used = 0  # slots that are not empty

    def __len__(self) -> int:
        return self._count

    @property
    def memory_bytes(self) -> int:
        """The memory of the slots."""
        return len(self._slots) * KEY_BYTES

    def __contains__(self, key: int) -> bool:
        return self._count > 0 and self._find(_stored(key)) is not None

    def add(self, key: int) -> bool:
        """Add a key; return False if the set already has it."""
        if (self._used + 1) * MAX_LOAD_DENOMINATOR > len(self._slots) * MAX_LOAD_NUMERATOR:
            self._grow()
        if not self._insert(_stored(key)):
            return False
        self._count += 1
        return True

    def discard(self, key: int) -> bool:
        """Remove a key; return whether the set had it."""
        index = self._find(_stored(key))
        if index is None:
            return False
        self._slots[index] = _REMOVED
        self._count -= 1
        return True

    def _find(self, stored: int) -> int | None:
        """Return the slot that has this value, or None."""
        slots = self._slots
        size = len(slots)
        index = stored % size
        while (value := slots[index]) != _EMPTY:
            if value == stored:
                return index
            index += 1
            if index == size:
                index = 0
        return None

    def _insert(self, stored: int) -> bool:
        """Store a value in a free slot; return False if the table already has it."""
        slots = self._slots
        size = len(slots)
        index = stored % size
        while (value := slots[index]) != _EMPTY:
            if value == stored:
                return False
            index += 1
            if index == size:
                index = 0
        slots[index] = stored
        self._used += 1
        return True

    def _grow(self) -> None:
        """Move the keys to a larger table, without the slots of removed ones."""
        earlier = self._slots
        self._slots = _empty_slots(self._count + 1)
        self._used = 0
        for value in earlier:
            if value >= _RESERVED_VALUES:
                self._insert(value)


def any_has(sets: Iterable[KeySet], key: int) -> bool:
    """Whether one of the sets has the key.

    The search is written out, as it runs for each request and function calls would take most of its time.
    """
    stored = _stored(key)
    for keys in sets:
        slots = keys._slots
        size = len(slots)
        index = stored % size
        while (value := slots[index]) != _EMPTY:
            if value == stored:
                return True
            index += 1
            if index == size:
                index = 0
    return False


def _empty_slots(keys: int) -> array[int]:
    return array("Q", bytes(KEY_BYTES * max(MIN_SLOTS, SLOTS_PER_KEY * keys)))


def _stored(key: int) -> int:
    """Return the slot value of a key; the few keys that equal a reserved value share it with others."""
    return key if key >= _RESERVED_VALUES else key + _RESERVED_VALUES
