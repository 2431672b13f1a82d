"""Answers of discovery that come late, in every order with retries, refusals, resets and switches."""

from __future__ import annotations

import itertools
import json
from collections.abc import Callable, Iterator
from typing import Any, ClassVar
from unittest import mock

import pytest

from rosepick.core.endpoint_directory import EndpointDirectory
from rosepick.core.list_order import ListCall, ListOrder
from rosepick.decisions import api
from rosepick.decisions.decide import Router
from rosepick.decisions.discovery_calls import MAX_RETRY_DELAY_MS, RETRY_DELAYS_MS
from rosepick.http.discovery import EndpointListReply
from rosepick.net import endpoint_watch
from rosepick.net.discovery_connection import Poll
from rosepick.net.endpoint_watch import FIRST_RESPONSE_TIMEOUT_MS, EndpointWatch
from rosepick.settings.config import NameIndexes
from rosepick.settings.reader import SettingsReader

from .scenario import ScenarioConnection, target
from .test_endings import FIRST, EndingScenario

OVERDUE_MS = FIRST_RESPONSE_TIMEOUT_MS + 50.0
RETRY_MS = RETRY_DELAYS_MS[0] + 10.0


class LateLists(EndingScenario):
    """Discovery answers a poll after the router has given it up; `late` is that poll's connection."""

    late: ScenarioConnection

    def make_poll_overdue(self) -> None:
        """Receive the first poll, and leave it unanswered until it is overdue."""
        self.play(FIRST)
        self.late = self.wires["d"][-1]
        self.wait(OVERDUE_MS)

    def answer_late(self, revision: int, is_full: bool = False, **states: str) -> None:
        rows = [target(name, self.port(name), state) for name, state in states.items()]
        body = json.dumps({"rev": revision, "all": is_full, "targets": rows}).encode()
        self.late.sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self.step()

    def assert_watched(self) -> None:
        """Check that a drain which is announced now reaches the router within its time."""
        for _ in range(1_200):  # 6 s
            self.wait(5)
            if any(b"wait_ms=" in wire.seen for wire in self.wires["d"]):
                break
        self.play("d expect GET /v1/endpoints\nd tell 50 s1=leaving")
        self.play("c1 send GET /api/k1\nc1 expect 503\ns1 expect nothing")

    def test_polls_go_on_after_a_late_list(self) -> None:
        """A late list while no poll was under way ended all polls for good."""
        self.make_poll_overdue()
        self.answer_late(41)
        self.assert_watched()

    def test_polls_go_on_after_a_late_list_between_refusals(self) -> None:
        """As in a crowd: new calls get 503 until the answer to the open one comes."""
        self.make_poll_overdue()
        for delay_ms in RETRY_DELAYS_MS[:3]:
            self.wait(delay_ms + 10.0)
            self.play(f"{FIRST}\nd send 503 no Connection=close")
            self.wires["d"] = [self.late]
        self.answer_late(41)
        self.assert_watched()

    def test_a_late_list_does_not_reset_the_backoff(self) -> None:
        """Else every router calls a crowded discovery again within 150 ms."""
        self.make_poll_overdue()
        self.answer_late(41)
        calls = self.module().endpoints.calls
        self.assertEqual((calls.failures_in_a_row, calls.is_subscribed), (1, False))

    def test_a_late_list_applies_while_a_retry_is_under_way(self) -> None:
        self.make_poll_overdue()
        self.wait(RETRY_MS)
        self.answer_late(42, s1="leaving")
        self.play("c1 send GET /api/k1\nc1 expect 503\ns1 expect nothing")
        self.assertFalse(self.module().endpoints.calls.is_subscribed)
        self.wires["d"].remove(self.late)
        self.play(f"{FIRST}\nd tell 42 s1=leaving\nd expect GET /v1/endpoints?after=42&wait_ms=2500")
        self.assertTrue(self.module().endpoints.calls.is_subscribed)

    def test_a_late_whole_list_does_not_take_a_newer_drain_back(self) -> None:
        self.make_poll_overdue()
        self.wait(RETRY_MS)
        self.wires["d"].remove(self.late)
        self.play(f"{FIRST}\nd tell 42 s1=leaving")
        self.answer_late(41, is_full=True, s1="active", origin="active")
        self.play("c1 send GET /api/k1\nc1 expect 503\ns1 expect nothing")
        self.assertEqual(self.server.endpoint_directory.revision, 42)

    def test_a_timely_answer_that_is_not_newer_establishes_the_watch(self) -> None:
        self.make_poll_overdue()
        self.wait(RETRY_MS)
        self.answer_late(43, s1="leaving")
        self.wires["d"].remove(self.late)
        self.play(f"{FIRST}\nd list 42 s1=active origin=active\nd expect GET /v1/endpoints?after=43")
        self.assertTrue(self.module().endpoints.calls.is_subscribed)
        self.play("c1 send GET /api/k1\nc1 expect 503\ns1 expect nothing")

    def test_a_late_answer_that_is_refused_torn_or_reset_changes_nothing(self) -> None:
        answers: dict[str, Callable[[], object]] = {
            "refused": lambda: self.late.sock.send(b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n"),
            "torn": lambda: self.late.sock.send(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"rev":42'),
            "reset": lambda: self.late.sock.close(),
        }
        for name, answer in answers.items():
            for has_retried in (False, True):
                with self.subTest(name, has_retried=has_retried):
                    self.tearDown()
                    self.setUp()
                    self.make_poll_overdue()
                    self.wait(RETRY_MS if has_retried else 0)
                    self.wires["d"].remove(self.late)
                    answer()
                    self.step()
                    self.assert_watched()
                    self.late.sock.close()

    def test_a_long_poll_that_falls_silent_and_answers_late(self) -> None:
        self.start_long_poll()
        self.late = self.wires["d"][-1]
        self.wait(endpoint_watch.LONG_POLL_WAIT_MS + endpoint_watch.RESPONSE_GRACE_MS + 20)
        self.answer_late(41)
        self.assertFalse(self.module().endpoints.calls.is_subscribed)
        self.assert_watched()

    def test_a_switch_forgets_the_poll_that_is_overdue(self) -> None:
        self.make_poll_overdue()
        self.server.endpoint_watch.switch_discovery(self.server.config.discovery)
        self.step()
        self.answer_late(42, s1="leaving")
        self.wires["d"].remove(self.late)
        self.play("d expect GET /v1/endpoints HTTP/1.1\nd list 3 s1=active origin=active")
        self.play(
            "d expect GET /v1/endpoints?after=3&wait_ms=2500\nc1 send GET /api/k1\ns1 expect GET /api/k1"
        )


# ----------------------------------------------------------------------------- which answer may be applied


ORDER_CASES: dict[str, tuple[int | None, int, int, int, bool, bool]] = {
    # call after, numbering of the call, revision, revision held, late, accepted
    "nothing came since the call": (40, 0, 41, 40, False, True),
    "nothing came since the call, late": (40, 0, 41, 40, True, True),
    "no change": (40, 0, 40, 40, False, True),
    "a newer list than the one that came since": (40, 0, 43, 42, False, True),
    "a newer list than the one that came since, late": (40, 0, 43, 42, True, True),
    "an older list than the one that came since": (40, 0, 41, 42, False, False),
    "an older list than the one that came since, late": (40, 0, 41, 42, True, False),
    "the same as the one that came since": (40, 0, 42, 42, False, False),
    "numbered anew": (40, 0, 3, 40, False, True),
    "numbered anew, late": (40, 0, 3, 40, True, True),
    "numbered anew, and an older one came since": (40, 0, 3, 42, False, True),
    "an old list that comes late after another one": (40, 0, 39, 42, True, False),
    "a whole list that was asked for": (None, 0, 4, 41, False, True),
    "a whole list that was asked for, late after another one": (None, 0, 4, 41, True, False),
    "a newer whole list that was asked for, late after another one": (None, 0, 43, 41, True, True),
    "of the numbering before": (40, -1, 41, 3, True, False),
    "of the present numbering, by a call from before": (40, -1, 4, 3, True, True),
    "of the present numbering and older, by a call from before": (40, -1, 2, 3, True, False),
}


@pytest.mark.parametrize("case", ORDER_CASES)
def test_which_answer_may_be_applied(case: str) -> None:
    after, numbering, revision, held, is_late, expected = ORDER_CASES[case]
    assert ListOrder().accepts(ListCall(after, numbering), revision, held, is_late) == expected


def test_after_a_switch_the_first_list_applies_whatever_its_revision() -> None:
    order = ListOrder()
    before = order.next_call(40)
    order.begin_service()
    call = order.next_call(40)
    assert call.after_revision is None
    assert not order.accepts(before, 39, 40, is_late=True)
    assert order.accepts(call, 3, 40, is_late=False)
    order.record_applied(call, 3)
    assert order.next_call(3).after_revision == 3


# --------------------------------------------------------------------------------------- all orders of events


class FakeConnection:
    """A connection to discovery whose answers and failures a test decides."""

    opened: ClassVar[list[FakeConnection]] = []

    def __init__(self, _loop: Any, _budget: Any, _address: Any, *callbacks: Callable[..., None]) -> None:
        self.on_reply, self.on_overdue, self.on_failure = callbacks
        self.poll: Poll | None = None
        self.is_connecting = False
        self.is_open = True
        self.is_awaited = False  # the poll has neither an answer nor failed
        FakeConnection.opened.append(self)

    def send(self, poll: Poll) -> None:
        self.poll = poll
        self.is_awaited = True

    def close(self) -> None:
        self.is_open = self.is_awaited = False


class WatchModel:
    """A watch with its decision module, and discovery with one endpoint that may drain."""

    def __init__(self) -> None:
        FakeConnection.opened = []
        self.now = 1_000.0
        self.revision = 41
        self.is_draining = False
        self.numbering = 0
        self.applied = (0, 41)  # numbering and revision of the list in force
        self.timers: list[tuple[float, int]] = []
        self.directory = EndpointDirectory(NameIndexes({}, {}, {"east": 0}, {"std": 0}), 0.0)
        settings = api.RouterSettings(
            classes=(api.RequestClass(objective_ms=600, deadline_ms=1200),), subscribe=True
        )
        self.router = Router(settings, seed=1)
        self.watch = EndpointWatch(
            mock.Mock(now=lambda: self.now),
            mock.Mock(),
            ("127.0.0.1", 1),
            lambda: self.directory.revision,
            self.apply,
            lambda: self.handle(api.EndpointUpdate(api.UpdateScope.DELTA, (), self.directory.revision)),
            lambda: self.handle(api.EndpointUpdate(api.UpdateScope.FAILED)),
        )
        self.handle(self.directory.apply_update(self.document(is_full=True), is_cached=True).event)
        self.run_timers(100.0)

    def document(self, is_full: bool) -> SettingsReader:
        row = target("s1", 1, "leaving" if self.is_draining else "active")
        # The last key is the test's own: which numbering the revision belongs to.
        data = {"rev": self.revision, "all": is_full, "targets": [row], "numbering": self.numbering}
        return SettingsReader(data, "list")

    def apply(self, document: SettingsReader, is_late: bool) -> None:
        self.handle(self.directory.apply_update(document, is_late=is_late).event)
        self.applied = (document.integer("numbering", 0), self.directory.revision)

    def handle(self, event: api.Event) -> None:
        for action in list(self.router.handle(self.now, event)):
            match action:
                case api.SetTimer():
                    self.timers.append((action.due_at, action.token))
                case api.Watch():
                    self.watch.set_watching(action.enabled)

    def run_timers(self, duration_ms: float) -> None:
        """Advance the clock, and run the timers that become due."""
        until = self.now + duration_ms
        while self.timers and min(self.timers)[0] <= until:
            due_at, token = min(self.timers)
            self.timers.remove((due_at, token))
            self.now = max(self.now, due_at)
            self.handle(api.TimerFired(token))
        self.now = until

    def current(self) -> FakeConnection | None:
        """Return the connection of the present poll, if there is one."""
        connection = FakeConnection.opened[-1]
        return connection if connection.is_awaited and self.watch.is_active else None

    def overdue(self) -> FakeConnection | None:
        """Return the connection of a poll that is overdue and still open, if there is one."""
        awaited = [each for each in FakeConnection.opened if each.is_awaited and each is not self.current()]
        return awaited[-1] if awaited else None

    def reply(self, connection: FakeConnection, document: SettingsReader) -> None:
        connection.is_awaited = False
        connection.on_reply(connection, EndpointListReply(document, reusable=True))

    # ---------------------------------------------------------------------------------------- the events

    def drain(self) -> None:
        self.revision += 1
        self.is_draining = True

    def answer_changes(self) -> None:
        if (connection := self.current()) is not None and connection.poll is not None:
            after = connection.poll.call.after_revision
            self.reply(connection, self.document(is_full=after is None or after > self.revision))

    def answer_whole(self) -> None:
        if (connection := self.current()) is not None:
            self.reply(connection, self.document(is_full=True))

    def number_anew(self) -> None:
        """Discovery loses its state, and knows the endpoint as it is."""
        self.numbering += 1
        self.revision = 3

    def refuse(self) -> None:
        if (connection := self.current()) is not None:
            connection.close()
            connection.on_failure(connection, "status 503")

    def fall_silent(self) -> None:
        if (connection := self.current()) is not None:
            self.now += FIRST_RESPONSE_TIMEOUT_MS
            # What discovery has written for this poll, and what comes late or never.
            self.written = self.document(is_full=True)
            connection.on_overdue(connection)

    def answer_late(self) -> None:
        if (connection := self.overdue()) is not None:
            self.reply(connection, self.written)

    def answer_late_torn(self) -> None:
        if (connection := self.overdue()) is not None:
            connection.close()
            connection.on_failure(connection, "malformed")

    def retry(self) -> None:
        self.run_timers(MAX_RETRY_DELAY_MS)

    def switch(self) -> None:
        self.watch.switch_discovery(("127.0.0.1", 2))


EVENTS = (
    WatchModel.drain,
    WatchModel.number_anew,
    WatchModel.answer_changes,
    WatchModel.answer_whole,
    WatchModel.refuse,
    WatchModel.fall_silent,
    WatchModel.answer_late,
    WatchModel.answer_late_torn,
    WatchModel.retry,
    WatchModel.switch,
)
MAX_EVENTS = 4


def all_orders() -> Iterator[tuple[Callable[[WatchModel], None], ...]]:
    """Return every order of up to `MAX_EVENTS` events."""
    return itertools.chain.from_iterable(
        itertools.product(EVENTS, repeat=count) for count in range(1, MAX_EVENTS + 1)
    )


def check_invariants(model: WatchModel, applied_before: tuple[int, int]) -> None:
    calls = model.router.endpoints.calls
    if calls.is_subscribed:
        assert model.watch.is_active, "subscribed without a call"
    if not model.watch.is_active:
        assert any(due_at <= model.now + MAX_RETRY_DELAY_MS for due_at, _ in model.timers), "no retry is due"
    assert model.applied >= applied_before, "the list went back"


def play_order(events: tuple[Callable[[WatchModel], None], ...]) -> None:
    """Play events, and check that a drain then arrives with the first call that is answered."""
    model = WatchModel()
    for event in events:
        applied_before = model.applied
        failures_before = model.router.endpoints.calls.failures_in_a_row
        event(model)
        check_invariants(model, applied_before)
        if event is WatchModel.answer_late:
            assert model.router.endpoints.calls.failures_in_a_row == failures_before, "the backoff was reset"
    model.drain()
    model.retry()
    assert model.current() is not None, "no call is under way"
    model.answer_changes()
    assert model.directory.revision == model.revision
    assert model.router.endpoints.states[model.directory.ids_by_uid["s1"]].status is api.Status.DRAINING
    assert model.router.endpoints.calls.is_subscribed


def test_in_every_order_of_events_polls_go_on_and_the_list_never_goes_back() -> None:
    """A late list ended all polls, took a newer drain back, or reset the backoff."""
    with (
        mock.patch.object(endpoint_watch, "DiscoveryConnection", FakeConnection),
        mock.patch.object(endpoint_watch, "log_event"),
    ):
        for events in all_orders():
            try:
                play_order(events)
            except AssertionError as error:
                raise AssertionError([event.__name__ for event in events]) from error
