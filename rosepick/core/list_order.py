"""Decides which answers of discovery may replace the endpoint list in force; no I/O and no clock.

Several calls may be open at one time, and their answers arrive in any order. A revision counts within one
numbering: a service that has lost its state numbers its lists anew, and so does another service.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ListCall:
    """What a call to discovery asks for."""

    after_revision: int | None  # changes after this revision; None for the full list
    numbering: int  # number of the numbering that was in force when the call began


class ListOrder:
    """Tracks the numbering in force. Revisions are those that discovery states with its lists."""

    def __init__(self) -> None:
        self._numbering = 0
        self._needs_full_list = False  # true from a switch of the service until a list is received

    def begin_service(self) -> None:
        """Record a switch to another service: the held revision has no meaning for it."""
        self._numbering += 1
        self._needs_full_list = True

    def next_call(self, held_revision: int) -> ListCall:
        """Return what the next call asks for, while the list in force has `held_revision`."""
        return ListCall(None if self._needs_full_list else held_revision, self._numbering)

    def accepts(self, call: ListCall, revision: int, held_revision: int, is_late: bool) -> bool:
        """Return whether the answer to a call may be applied.

        Args:
            call: the call.
            revision: the revision of the answer.
            held_revision: the revision of the list in force.
            is_late: whether a later call has begun or is due, because this one counted as failed.
        """
        after = call.after_revision
        if call.numbering != self._numbering:
            # Only an answer of the new numbering has a lower revision than the call stated.
            return after is not None and held_revision < revision < after and not self._needs_full_list
        if self._needs_full_list or after == held_revision:
            return True  # no other answer was applied since the call
        if revision > held_revision:
            return True
        is_numbered_anew = after is None or revision < after
        return is_numbered_anew and not is_late

    def record_applied(self, call: ListCall, revision: int) -> None:
        """Record that the answer to a call was applied."""
        self._needs_full_list = False
        is_numbered_anew = call.after_revision is not None and revision < call.after_revision
        if is_numbered_anew and call.numbering == self._numbering:
            self._numbering += 1
