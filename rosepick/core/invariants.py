"""What must hold: asserted in debug builds, counted and logged under `python -O`."""

from __future__ import annotations

import logging
from collections import Counter

from ..logs import log_event

logger = logging.getLogger(__name__)
violation_counts: Counter[str] = Counter()
"""How often each invariant was found broken since the start."""


def check_invariant(condition: bool, name: str, **context: object) -> bool:
    """Whether an invariant holds. The caller must cope with a False: release builds go on."""
    if condition:
        return True
    violation_counts[name] += 1
    log_event(logger, logging.ERROR, "invariant_violated", name=name, count=violation_counts[name], **context)
    if __debug__:
        raise AssertionError(f"{name} {context}")
    return False
