"""Tests of slices: a long change of the endpoint list is split, draining and leaving endpoints first."""

from __future__ import annotations

from rosepick.core.endpoint_directory import DirectoryUpdate
from rosepick.decisions import api
from rosepick.decisions.api import Endpoint, EndpointUpdate, Status, UpdateScope
from rosepick.net.event_loop import EventLoop
from rosepick.net.list_slices import SLICE_ROWS, EndpointListSlices

from .driver import create_router, fleet

Slice = tuple[EndpointUpdate, tuple[int, ...]]


class SlicesUnderTest:
    """Slices on an event loop with a simulated clock."""

    def __init__(self) -> None:
        self.now_s = 50.0
        self.loop = EventLoop(lambda: self.now_s)
        self.applied: list[Slice] = []
        self.slices = EndpointListSlices(self.loop, lambda *applied: self.applied.append(applied))

    def turn(self) -> None:
        """Advance the clock by 10 ms, and run the loop once."""
        self.now_s += 0.01
        self.loop.step(0)


def change_of(rows: list[Endpoint], scope: UpdateScope = UpdateScope.DELTA) -> DirectoryUpdate:
    """Return a change with these rows; rows that are not ready are retired."""
    retired = tuple(row.endpoint_id for row in rows if row.status is not Status.READY)
    return DirectoryUpdate(EndpointUpdate(scope, tuple(rows), 7), retired, ())


def mixed_rows(count: int) -> list[Endpoint]:
    """Return rows, every second one draining."""
    return [Endpoint(n, Status.READY if n % 2 else Status.DRAINING) for n in range(1, count + 1)]


def test_draining_endpoints_come_first_and_each_endpoint_once() -> None:
    test = SlicesUnderTest()
    rows = mixed_rows(4 * SLICE_ROWS)
    test.slices.apply(change_of(rows))
    assert len(test.applied) == 1
    for _ in range(6):
        test.turn()
    assert len(test.applied) == 4
    order = [row for event, _ in test.applied for row in event.endpoints]
    assert sorted(row.endpoint_id for row in order) == [row.endpoint_id for row in rows]
    assert [row.status for row in order] == sorted(
        (row.status for row in rows), key=lambda s: s is Status.READY
    )
    assert [event.is_continued for event, _ in test.applied] == [False, True, True, True]
    assert sorted(each for _, retired in test.applied for each in retired) == [
        row.endpoint_id for row in rows if row.status is Status.DRAINING
    ]


def test_later_change_is_applied_after_all_slices_of_the_earlier_one() -> None:
    test = SlicesUnderTest()
    test.slices.apply(change_of([Endpoint(n) for n in range(1, 3 * SLICE_ROWS)]))
    test.slices.apply(change_of([Endpoint(5, Status.REMOVED)]))
    seen = [row for event, _ in test.applied for row in event.endpoints if row.endpoint_id == 5]
    assert [row.status for row in seen] == [Status.READY, Status.REMOVED]
    test.turn()
    assert len(test.applied) == 4


def test_duplicate_endpoint_has_its_last_state() -> None:
    test = SlicesUnderTest()
    rows = [*(Endpoint(n) for n in range(1, 2 * SLICE_ROWS)), Endpoint(3, Status.DRAINING)]
    test.slices.apply(change_of(rows))
    test.slices.finish()
    seen = [row.status for event, _ in test.applied for row in event.endpoints if row.endpoint_id == 3]
    assert seen == [Status.DRAINING]


def test_full_list_is_not_split() -> None:
    test = SlicesUnderTest()
    test.slices.apply(change_of(mixed_rows(4 * SLICE_ROWS), UpdateScope.FULL))
    assert len(test.applied) == 1


def test_warmup_of_new_endpoints_does_not_depend_on_slices() -> None:
    rows = [api.Endpoint(2_000 + n, started_at=500.0) for n in range(2)]
    warmups = []
    for parts in ([rows], [rows[:1], rows[1:]]):
        router = create_router()
        router.handle(1_000.0, api.EndpointUpdate(UpdateScope.FULL, tuple(fleet()), 1))
        for number, part in enumerate(parts):
            event = api.EndpointUpdate(UpdateScope.DELTA, tuple(part), 2, is_continued=number > 0)
            router.handle(3_000.0 + 40.0 * number, event)
        warmups.append([router.endpoints.states[row.endpoint_id].warmup_start for row in rows])
    assert warmups[0] == warmups[1]
