"""The kinds of faults that versions of the router have in tests of releases."""

from __future__ import annotations

from enum import StrEnum


class VersionFault(StrEnum):
    """How a version is worse than a good one; the value is the first part of the version's name."""

    EXITS_AT_START = "dead"
    NEVER_SERVES = "mute"
    EXITS_SOON = "short"  # it serves, and ends soon after
    FAILS_REQUESTS = "fails"  # three in ten
    SLOW = "slow"  # it takes more processor time
    LEAKS_MEMORY = "leaks"
    FAILS_IN_WEST = "west"  # it fails requests in one zone only
