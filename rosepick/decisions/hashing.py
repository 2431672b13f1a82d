"""A 64-bit hash that is the same in every process, unlike hash()."""

from __future__ import annotations

MASK_64 = (1 << 64) - 1


def hash64(value: int) -> int:
    """Return the hash of a number (splitmix64)."""
    value = (value + 0x9E3779B97F4A7C15) & MASK_64
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK_64
    return value ^ (value >> 31)


def hash_to_unit(value: int) -> float:
    """Return a hash as a number from 0 to 1."""
    return hash64(value) / (MASK_64 + 1)
