"""What must hold: asserted in debug builds, counted and logged under `python -O`."""

from __future__ import annotations

import logging
from collections import Counter

from ..logs import say

log = logging.getLogger(__name__)
broken: Counter[str] = Counter()
"""How often each invariant was found broken since the start."""


def holds(condition: bool, name: str, **facts: object) -> bool:
    """Whether an invariant holds. The caller must cope with a False: release builds go on."""
    if condition:
        return True
    broken[name] += 1
    say(log, logging.ERROR, "invariant_broken", name=name, count=broken[name], **facts)
    if __debug__:
        raise AssertionError(f"{name} {facts}")
    return False
