"""Invariants: asserted in debug builds, counted and logged under `python -O`."""

from __future__ import annotations

import logging
from collections import Counter

from ..logs import log_event

logger = logging.getLogger(__name__)
violation_counts: Counter[str] = Counter()
"""How often each invariant was violated since the start, by its name."""


def record_violation(name: str, **context: object) -> None:
    """Count and log a violation, in every build; the caller must handle it.

    Args:
        name: the name of the invariant.
        **context: further fields of the log line.
    """
    violation_counts[name] += 1
    log_event(logger, logging.ERROR, "invariant_violated", name=name, count=violation_counts[name], **context)


def check_invariant(condition: bool, name: str, **context: object) -> bool:
    """Return whether an invariant holds; count and log a violation.

    The caller must handle False, as release builds continue.

    Args:
        condition: whether the invariant holds.
        name: the name of the invariant.
        **context: further fields of the log line.

    Raises:
        AssertionError: the invariant is violated, and this is a debug build.
    """
    if condition:
        return True
    record_violation(name, **context)
    if __debug__:
        raise AssertionError(f"{name} {context}")
    return False
