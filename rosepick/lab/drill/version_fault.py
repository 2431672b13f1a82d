"""The kinds of faults that bad versions of the router have in tests of releases."""

from __future__ import annotations

from enum import StrEnum


class VersionFault(StrEnum):
    """The fault of a bad version; the value is the first part of the version's name."""

    EXITS_AT_START = "dead"
    NEVER_SERVES = "mute"
    EXITS_SOON = "short"  # it serves and exits soon after
    FAILS_REQUESTS = "fails"  # about 30 % of its requests
    SLOW = "slow"  # it uses more CPU time per request
    LEAKS_MEMORY = "leaks"
    FAILS_IN_WEST = "west"  # it fails requests in the zone "west" only
