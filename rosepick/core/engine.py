"""The protocol-neutral core: one `Router`, the open envelopes, their delivery attempts and timers.

It turns what happens into `api` events and carries out `api` actions through the ports below. It decides
nothing, and knows no socket, no HTTP and no clock of its own. A front is whatever hands envelopes in.
"""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ..decisions import api
from ..decisions.api import Result
from ..decisions.decide import Router
from ..logs import fault, say
from .account import Account, End
from .invariants import holds

log = logging.getLogger(__name__)
UNSERVED = (End.REFUSED, End.FAILED, End.LATE, End.BROKE)


class Decider(Protocol):
    """What decides: the module, or another policy with the same interface."""

    actions: list[api.Action]  # of the present call, also if it ended in an exception

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on an event."""


class SenderSide(Protocol):
    """Who handed an envelope in; it gets exactly one of these calls, unless it has gone."""

    def served(self, envelope: Envelope, answer: object) -> None:
        """A next hop's answer, to be passed on as it is."""

    def begins(self, envelope: Envelope, answer: object) -> None:
        """A next hop's answer has begun, to be passed on as it comes. The front says when it is at its end,
        by `Engine.passed_on`, unless its sender side leaves.
        """

    def refused(self, envelope: Envelope, retry_after: float) -> None:
        """Turned away; trying again is harmless, best after so many milliseconds."""

    def failed(self, envelope: Envelope, late: bool) -> None:
        """Failed, because its time was over or otherwise."""

    def broke(self, envelope: Envelope) -> None:
        """Failed by a fault of this program."""


class NextHops(Protocol):
    """What carries delivery attempts out; it tells each one's end once, by `Engine.attempt_ended`."""

    def deliver(self, attempt: DeliveryAttempt) -> None:
        """Start a delivery attempt."""

    def give_up(self, attempt: DeliveryAttempt) -> None:
        """Stop an attempt; its end is not told."""


class MapSource(Protocol):
    """Where the transport map comes from."""

    def watch(self, on: bool) -> None:
        """Follow changes from now on, or no more."""


class TimerHandle(Protocol):
    """A timer that was set."""

    def cancel(self) -> None:
        """Not wanted any more."""


class Clock(Protocol):
    """The loop's clock and its timers."""

    def now(self) -> float:
        """Milliseconds, forward only."""

    def at(self, when: float, call: Callable[[], None], first: bool = False) -> TimerHandle:
        """Call at that time or soon after; `first`: before the others of the same time."""


class Observer(Protocol):
    """Who is shown all that the module is fed and decides, in order. It changes nothing."""

    def taken(self, now: float, envelope: Envelope, actions: list[api.Action]) -> None:
        """The module was fed a request, and decided so."""

    def fed(self, now: float, event: api.Event, actions: list[api.Action]) -> None:
        """The module was fed another event, and decided so."""

    def answered(self, now: float, envelope: Envelope, end: End) -> None:
        """An envelope has its end."""


@dataclass(slots=True, eq=False)
class Envelope:
    """A request from its arrival until its final answer and the end of its last delivery attempt."""

    klass: int
    deadline: float
    key: int = 0
    tenant: int = 0
    write: bool = False
    retry: bool = False
    cost_hint: float | None = None
    payload: object = None  # the front's own form, for its next hops
    ref: int = 0
    sender: SenderSide | None = None
    over: bool = False
    coming: bool = False  # its last byte has not come; the deadline is provisional
    begun: bool = False  # an answer is being passed on
    limits: api.Limits = field(default_factory=api.Limits)  # as it was taken with
    attempts: list[DeliveryAttempt] = field(default_factory=list)
    net: TimerHandle | None = None
    born: float = 0.0  # when its time began

    def due(self) -> bool:
        """Whether its final answer is due. Guards against a second one amid an answer that is passed on."""
        return not (self.over or self.begun)


@dataclass(slots=True, eq=False)
class DeliveryAttempt:
    """One sending of an envelope to a next hop."""

    envelope: Envelope
    number: int
    server: int
    sent: float
    stop_at: float
    begin_by: float  # its first byte is not to be written later
    out: bool = True
    written: bool = False  # its last byte has been written: only from here on can it run
    expiry: TimerHandle | None = None


class Engine:
    """Owns one router instance and all that it has in hand."""

    def __init__(
        self, settings: api.Settings, seed: int, clock: Clock, decider: Decider | None = None
    ) -> None:
        self.settings = settings
        self.router: Decider = decider or Router(settings, seed)
        self.clock = clock
        self.next_hops: NextHops
        self.map_source: MapSource
        self.envelopes: dict[int, Envelope] = {}
        self.owed = 0  # envelopes without their final answer
        self.counts: Counter[str] = Counter()
        self.account = Account()
        self.unfit: Counter[int] = Counter()  # requests that could not be taken, by class
        self.written_of: Counter[int] = Counter()  # delivery attempts written whole, by class
        self._last_ref = 0
        self._events: deque[api.Event | Envelope] = deque()
        self._busy = False

    # ------------------------------------------------------------------------------------ what happens

    def accept(self, envelope: Envelope, sender: SenderSide) -> None:
        """Take an envelope; its final answer is owed from here on."""
        self._last_ref += 1
        envelope.ref, envelope.sender = self._last_ref, sender
        envelope.limits, envelope.born = self.settings.limits, self.clock.now()
        self.envelopes[envelope.ref] = envelope
        self.owed += 1
        self.counts["envelopes"] += 1
        self._spread_net(envelope)
        self._tell(envelope)

    def _spread_net(self, envelope: Envelope) -> None:
        if envelope.net is not None:
            envelope.net.cancel()
        grace = 0.5 * self.settings.rules.grace_to_answer
        envelope.net = self.clock.at(envelope.deadline + grace, lambda: self._unanswered(envelope))

    def whole(self, envelope: Envelope, deadline: float) -> None:
        """The last byte of an envelope that was coming is there: its time counts from here."""
        if envelope.over or not envelope.coming:
            return
        envelope.coming, envelope.deadline, envelope.born = False, deadline, self.clock.now()
        self._spread_net(envelope)
        for attempt in envelope.attempts:
            if attempt.out:
                attempt.sent = self.clock.now()
                self._until(attempt, deadline)
        self._tell(api.Whole(envelope.ref, max(0.0, deadline - self.clock.now())))

    def sender_gone(self, envelope: Envelope) -> None:
        """The sender side has left; nothing more is owed."""
        if envelope.over:
            return
        self._close(envelope, End.GONE)
        if envelope.begun:
            self.next_hops.give_up(envelope.attempts[-1])  # the module is through with it
            self._forget(envelope)
            return
        self._tell(api.ClientGone(envelope.ref))
        self._forget(envelope)

    def reconfigure(self, settings: api.Settings) -> None:
        """Other settings, for envelopes that come from here on."""
        self.settings = settings
        self._tell(api.Reconfigured(settings))

    def turned_away(self, klass: int) -> None:
        """A front could not take a request of that class."""
        self.unfit[klass] += 1

    def totals(self) -> Counter[str]:
        """What was counted since the start, and how envelopes ended."""
        found = Counter(self.counts)
        for (_, end), count in self.account.by_end().items():
            found[(End.FAILED if end is End.LATE else end).value] += count
        return found

    def map_told(self, event: api.Members) -> None:
        """Discovery told, or failed."""
        self._tell(event)

    def attempt_ended(
        self,
        attempt: DeliveryAttempt,
        result: Result,
        note: int = 0,
        answer: object = None,
        spoilt: bool = False,
        spent: bool = False,
    ) -> None:
        """A delivery attempt has its outcome. A served one goes to the sender side before anything else."""
        if not holds(attempt.out, "attempt_ends_once", ref=attempt.envelope.ref, result=result.value):
            return
        attempt.out = False
        if attempt.expiry is not None:
            attempt.expiry.cancel()
        envelope = attempt.envelope
        self.counts["attempt_spoilt" if spoilt else f"attempt_{result.value}"] += 1
        if result is Result.OK and not envelope.over:
            sender = self._close(envelope, End.SERVED)
            self._answer("served", lambda: sender.served(envelope, answer))
        lag = max(0.0, self.clock.now() - attempt.sent)
        self._tell(
            api.Outcome(
                envelope.ref,
                attempt.number,
                attempt.server,
                result,
                envelope.over,
                note,
                lag,
                spoilt=spoilt,
                spent=spent,
            )
        )
        self._forget(envelope)

    def attempt_begins(self, attempt: DeliveryAttempt, note: int, answer: object) -> bool:
        """A served answer has begun that is passed on as it comes. That decides the attempt: from here on it
        is the sender side's, no deadline counts, no other attempt is made. False if nobody waits for it.
        """
        envelope = attempt.envelope
        wanted = envelope.due()
        if not (wanted and holds(attempt.out, "attempt_ends_once", ref=envelope.ref, result="begun")):
            return False
        attempt.out, envelope.begun = False, True
        for timer in (attempt.expiry, envelope.net):
            if timer is not None:
                timer.cancel()
        self.counts[f"attempt_{Result.OK.value}"] += 1
        lag = max(0.0, self.clock.now() - attempt.sent)
        sender = envelope.sender
        assert sender is not None
        self._decided(envelope, End.SERVED)
        self._answer("begins", lambda: sender.begins(envelope, answer))
        self._tell(api.Outcome(envelope.ref, attempt.number, attempt.server, Result.OK, True, note, lag))
        return not envelope.over

    def passed_on(self, envelope: Envelope, whole: bool) -> None:
        """An answer that had begun is at its end, whole or not."""
        if not envelope.over:
            self._close(envelope, End.SERVED if whole else End.FAILED)
            self._forget(envelope)

    def attempt_written(self, attempt: DeliveryAttempt) -> None:
        """The last byte of a delivery attempt has been written."""
        attempt.written = True
        self.written_of[attempt.envelope.klass] += 1

    def _decided(self, envelope: Envelope, end: End) -> None:
        """An envelope's final answer is given, or begins."""

    # ----------------------------------------------------------------------------- events and decisions

    def _tell(self, happened: api.Event | Envelope) -> None:
        """Events are decided on one after another, also those that actions bring about at once."""
        self._events.append(happened)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._decide(self._events.popleft())
        finally:
            self._busy = False

    def _decide(self, happened: api.Event | Envelope) -> None:
        now = self.clock.now()
        # The time left is taken at the very moment the module counts it from. Guards against a deadline of
        # its own that differs a little: a time-out just before it would be refused, not failed.
        event = _request(happened, now) if isinstance(happened, Envelope) else happened
        try:
            actions = self._handle(now, event)
        except Exception as problem:
            self._fault(event, problem)
            # What was decided before the fault stands: the module counts those attempts as out, and its
            # tick sets the next one first.
            actions = self.router.actions
        for action in actions:
            try:
                self._carry_out(action)
            except Exception as problem:
                self._fault(event, problem)

    def _handle(self, now: float, event: api.Event) -> list[api.Action]:
        return self.router.handle(now, event)

    def _fault(self, event: api.Event, problem: Exception) -> None:
        """An exception over one envelope: it fails, the process goes on."""
        self.counts["faults"] += 1
        ref = getattr(event, "ref", 0)
        fault(log, "engine_fault", problem, ref=ref, over=type(event).__name__, count=self.counts["faults"])
        envelope = self.envelopes.get(ref)
        if envelope is not None and envelope.due():
            sender = self._close(envelope, End.BROKE)
            self._answer("broke", lambda: sender.broke(envelope))
            self._tell(api.ClientGone(ref))
            self._forget(envelope)

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.SetTimer():
                token = action.token
                self.clock.at(action.at, lambda: self._tell(api.Timer(token)))
            case api.Cancel():
                self._cancel(action)
            case api.Refuse():
                wait = action.retry_after
                self._finish(action.ref, End.REFUSED, lambda e, s: s.refused(e, wait), action.why)
            case api.Fail():
                self._fail(action.ref, action.why)
            case api.Watch():
                self.map_source.watch(action.on)
            case api.Log():
                say(log, logging.INFO, "module", text=action.text)
            case api.Probe():
                holds(False, "no_probes", server=action.server)

    # ------------------------------------------------------------------------------- delivery attempts

    def _send(self, action: api.Send) -> None:
        envelope = self.envelopes.get(action.ref)
        if envelope is None:
            holds(False, "send_of_open_envelope", ref=action.ref)
            return
        now = self.clock.now()
        stop_at = min(envelope.deadline, action.stop_at or envelope.deadline)
        number, begin_by = len(envelope.attempts), action.begin_by
        attempt = DeliveryAttempt(envelope, number, action.server, now, stop_at, begin_by)
        allowed = self._allowed(envelope, attempt)
        envelope.attempts.append(attempt)
        if not allowed:
            self.attempt_ended(attempt, Result.MOOT)
            return
        self.counts["attempts"] += 1
        # before the module's own deadline timer: a time-out says something of its next hop, a cancelled
        # attempt does not
        self._until(attempt, stop_at)
        try:
            self.next_hops.deliver(attempt)
        except Exception as problem:
            self.counts["faults"] += 1
            fault(log, "delivery_fault", problem, ref=envelope.ref, count=self.counts["faults"])
            if attempt.out:
                self.next_hops.give_up(attempt)
                self.attempt_ended(attempt, Result.RESET)  # it may have run

    def _until(self, attempt: DeliveryAttempt, stop_at: float) -> None:
        if attempt.expiry is not None:
            attempt.expiry.cancel()
        attempt.stop_at = stop_at
        attempt.expiry = self.clock.at(stop_at, lambda: self._expire(attempt), first=True)

    def _allowed(self, envelope: Envelope, attempt: DeliveryAttempt) -> bool:
        """Whether an attempt may go out at all. The module keeps these rules; they are checked once more
        where a breach would be seen by the fleet.
        """
        limits = envelope.limits
        alone = limits.second_copies or not any(other.out for other in envelope.attempts)
        return (
            holds(not envelope.over, "no_send_after_the_answer", ref=envelope.ref)
            and holds(attempt.number < limits.max_attempts, "attempts_within_limit", ref=envelope.ref)
            and holds(alone, "one_attempt_at_a_time", ref=envelope.ref)
            and attempt.sent < envelope.deadline
        )

    def _expire(self, attempt: DeliveryAttempt) -> None:
        if attempt.out:
            self.next_hops.give_up(attempt)
            self.attempt_ended(attempt, Result.TIMEOUT)

    def _cancel(self, action: api.Cancel) -> None:
        envelope = self.envelopes.get(action.ref)
        if envelope is None or action.attempt >= len(envelope.attempts):
            return
        attempt = envelope.attempts[action.attempt]
        if attempt.out:
            self.next_hops.give_up(attempt)
            self.attempt_ended(attempt, Result.CANCELLED)

    # ---------------------------------------------------------------------------------- final answers

    def _fail(self, ref: int, why: api.Why) -> None:
        envelope = self.envelopes.get(ref)
        late = envelope is not None and self.clock.now() >= envelope.deadline
        self._finish(ref, End.LATE if late else End.FAILED, lambda e, s: s.failed(e, late), why)

    def _finish(self, ref: int, end: End, call: Callable[[Envelope, SenderSide], None], why: api.Why) -> None:
        envelope = self.envelopes.get(ref)
        if envelope is None or not envelope.due():
            return
        sender = self._close(envelope, end, why.value)
        self._answer(end.value, lambda: call(envelope, sender))
        self._forget(envelope)

    def _answer(self, kind: str, call: Callable[[], None]) -> None:
        """Hand a final answer over; a front that breaks over it must not keep the module from hearing."""
        try:
            call()
        except Exception as problem:
            self.counts["faults"] += 1
            fault(log, "answer_fault", problem, kind=kind, count=self.counts["faults"])

    def _close(self, envelope: Envelope, end: End, cause: str = "") -> SenderSide:
        if not envelope.begun:
            self._decided(envelope, end)
        envelope.over = True
        self._enter(envelope, end, cause)
        self.owed -= 1
        if envelope.net is not None:
            envelope.net.cancel()
            envelope.net = None
        sender, envelope.sender = envelope.sender, None
        assert sender is not None
        return sender

    def _enter(self, envelope: Envelope, end: End, cause: str) -> None:
        """Enter an end into the account."""
        took = self.clock.now() - envelope.born
        classes = self.settings.classes
        if end is End.SERVED and envelope.klass < len(classes) and took > classes[envelope.klass].aim:
            cause = "late"
        # what the platform prices: a client that waited for an answer that nobody was asked for
        if end in UNSERVED and not envelope.attempts and 2 * took > envelope.deadline - envelope.born:
            self.counts["late_unsent"] += 1
        self.account.add(envelope.klass, end, cause, took)

    def _unanswered(self, envelope: Envelope) -> None:
        """The net under rule 1: the module answers at the deadline; if it did not, a failure goes out while
        it still counts.
        """
        if envelope.over:
            return
        sender = self._close(envelope, End.LATE)
        self._answer("failed", lambda: sender.failed(envelope, True))
        self._tell(api.ClientGone(envelope.ref))
        self._forget(envelope)
        holds(False, "answered_at_the_deadline", ref=envelope.ref)

    def _forget(self, envelope: Envelope) -> None:
        """Drop an envelope that is over, once none of its attempts is out. One that is not written whole is
        given up, whatever the module leaves out there: guards against a dial that comes up after the sender
        side has left, whose request would then go out for nobody.
        """
        for attempt in envelope.attempts:
            if envelope.over and attempt.out and not attempt.written:
                self.next_hops.give_up(attempt)
                self.attempt_ended(attempt, Result.MOOT)
        if envelope.over and not any(attempt.out for attempt in envelope.attempts):
            self.envelopes.pop(envelope.ref, None)


class ObservedEngine(Engine):
    """The same engine, with an observer of what goes into the module and comes out."""

    def __init__(self, settings: api.Settings, seed: int, clock: Clock, observer: Observer) -> None:
        super().__init__(settings, seed, clock)
        self.observer = observer

    def _handle(self, now: float, event: api.Event) -> list[api.Action]:
        try:
            return self.router.handle(now, event)
        finally:
            actions = self.router.actions
            if isinstance(event, api.Request):
                self._show(self.observer.taken, now, self.envelopes[event.ref], actions)
            else:
                self._show(self.observer.fed, now, event, actions)

    def _decided(self, envelope: Envelope, end: End) -> None:
        self._show(self.observer.answered, self.clock.now(), envelope, end)

    def _show(self, call: Callable[..., None], *given: object) -> None:
        """An observer that breaks must not keep a request from its answer."""
        try:
            call(*given)
        except Exception as problem:
            self.counts["faults"] += 1
            fault(log, "observer_fault", problem, count=self.counts["faults"])


def _request(envelope: Envelope, now: float) -> api.Request:
    return api.Request(
        envelope.ref,
        envelope.klass,
        max(0.0, envelope.deadline - now),
        envelope.key,
        envelope.tenant,
        envelope.write,
        envelope.retry,
        envelope.cost_hint,
        envelope.coming,
    )
