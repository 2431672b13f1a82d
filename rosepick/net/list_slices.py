"""Passes a long change of the endpoint list to the decision module in slices, with other events between them.

Endpoints that drain or leave come first. The endpoint directory has the whole change from the start, so no
request is written to a draining endpoint, even if the decision module has not yet received its slice.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import replace

from ..core.endpoint_directory import DirectoryUpdate
from ..decisions.api import Endpoint, EndpointUpdate, Status, UpdateScope
from .event_loop import EventLoop

SLICE_ROWS = 150  # maximum number of endpoints in a slice
SLICE_PAUSE_MS = 2.0  # pause between slices


class EndpointListSlices:
    """Queue of the slices that were not yet passed to the decision module.

    Args:
        loop: the event loop.
        apply_slice: called with the update event of a slice, and the ids of the endpoints that it retires.
    """

    def __init__(
        self, loop: EventLoop, apply_slice: Callable[[EndpointUpdate, tuple[int, ...]], None]
    ) -> None:
        self._loop = loop
        self._apply_slice = apply_slice
        self._waiting: deque[tuple[EndpointUpdate, tuple[int, ...]]] = deque()
        self._is_scheduled = False

    def apply(self, change: DirectoryUpdate) -> None:
        """Apply the rest of earlier changes and the first slice of this one now, and the others later."""
        self.finish()
        self._waiting.extend(split_update(change))
        self._apply_next()

    def finish(self) -> None:
        """Apply all waiting slices now, before an event that must follow them."""
        while self._waiting:
            self._apply_slice(*self._waiting.popleft())

    def _apply_next(self) -> None:
        if self._waiting:
            self._apply_slice(*self._waiting.popleft())
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_after(SLICE_PAUSE_MS, self._continue)

    def _continue(self) -> None:
        self._is_scheduled = False
        self._apply_next()


def split_update(change: DirectoryUpdate) -> list[tuple[EndpointUpdate, tuple[int, ...]]]:
    """Return the slices of a change; a full list is not split, as endpoints missing from it are removed."""
    event = change.event
    if event.scope is not UpdateScope.DELTA or len(event.endpoints) <= SLICE_ROWS:
        return [(event, change.retired_endpoint_ids)]
    retired_ids = set(change.retired_endpoint_ids)
    latest = {row.endpoint_id: row for row in event.endpoints}  # the last row of each endpoint
    rows = sorted(latest.values(), key=_is_ready)
    slices = []
    for begin in range(0, len(rows), SLICE_ROWS):
        part = tuple(rows[begin : begin + SLICE_ROWS])
        ids = tuple(row.endpoint_id for row in part if row.endpoint_id in retired_ids)
        slices.append((replace(event, endpoints=part, is_continued=begin > 0), ids))
    return slices


def _is_ready(endpoint: Endpoint) -> bool:
    return endpoint.status is Status.READY
