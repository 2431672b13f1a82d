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
from ..logs import log_event, log_exception
from .invariants import check_invariant
from .request_counters import RequestCounters, RequestOutcome

logger = logging.getLogger(__name__)
UNSERVED_OUTCOMES = (
    RequestOutcome.REFUSED,
    RequestOutcome.FAILED,
    RequestOutcome.DEADLINE_EXCEEDED,
    RequestOutcome.INTERNAL_ERROR,
)


class DecisionModule(Protocol):
    """What decides: the module, or another policy with the same interface."""

    actions: list[api.Action]  # of the present call, also if it ended in an exception

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on an event."""


class DownstreamPort(Protocol):
    """Who handed an envelope in; it gets exactly one of these calls, unless it has gone."""

    def send_response(self, request: RequestContext, response: object) -> None:
        """A next hop's answer, to be passed on as it is."""

    def start_response_stream(self, request: RequestContext, response: object) -> None:
        """A next hop's answer has begun, to be passed on as it comes. The front says when it is at its end,
        by `Engine.passed_on`, unless its sender side leaves.
        """

    def send_refusal(self, request: RequestContext, retry_after_ms: float) -> None:
        """Turned away; trying again is harmless, best after so many milliseconds."""

    def send_failure(self, request: RequestContext, timed_out: bool) -> None:
        """Failed, because its time was over or otherwise."""

    def send_internal_error(self, request: RequestContext) -> None:
        """Failed by a fault of this program."""


class UpstreamPort(Protocol):
    """What carries delivery attempts out; it tells each one's end once, by `Engine.attempt_ended`."""

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Start a delivery attempt."""

    def cancel_attempt(self, attempt: UpstreamAttempt) -> None:
        """Stop an attempt; its end is not told."""


class EndpointSource(Protocol):
    """Where the transport map comes from."""

    def set_watching(self, enabled: bool) -> None:
        """Follow changes from now on, or no more."""


class TimerHandle(Protocol):
    """A timer that was set."""

    def cancel(self) -> None:
        """Not wanted any more."""


class Clock(Protocol):
    """The loop's clock and its timers."""

    def now(self) -> float:
        """Milliseconds, forward only."""

    def call_at(self, at_ms: float, callback: Callable[[], None], run_first: bool = False) -> TimerHandle:
        """Call at that time or soon after; `run_first`: before the others of the same time."""


class EngineObserver(Protocol):
    """Who is shown all that the module is fed and decides, in order. It changes nothing."""

    def on_request(self, now: float, request: RequestContext, actions: list[api.Action]) -> None:
        """The module was fed a request, and decided so."""

    def on_event(self, now: float, event: api.Event, actions: list[api.Action]) -> None:
        """The module was fed another event, and decided so."""

    def on_outcome(self, now: float, request: RequestContext, outcome: RequestOutcome) -> None:
        """An envelope has its end."""


@dataclass(slots=True, eq=False)
class RequestContext:
    """A request from its arrival until its final answer and the end of its last delivery attempt."""

    class_index: int
    deadline: float
    key: int = 0
    tenant_index: int = 0
    is_write: bool = False
    is_retry: bool = False
    cost_hint: float | None = None
    payload: object = None  # the front's own form, for its next hops
    ref: int = 0
    downstream: DownstreamPort | None = None
    is_finished: bool = False
    is_partial: bool = False  # its last byte has not come; the deadline is provisional
    response_started: bool = False  # an answer is being passed on
    limits: api.RouterLimits = field(default_factory=api.RouterLimits)  # as it was taken with
    attempts: list[UpstreamAttempt] = field(default_factory=list)
    watchdog_timer: TimerHandle | None = None
    started_at: float = 0.0  # when its time began

    def awaits_response(self) -> bool:
        """Whether its final answer is due. Guards against a second one amid an answer that is passed on."""
        return not (self.is_finished or self.response_started)


@dataclass(slots=True, eq=False)
class UpstreamAttempt:
    """One sending of an envelope to a next hop."""

    request: RequestContext
    number: int
    endpoint_id: int
    sent_at: float
    stop_at: float
    begin_by: float  # its first byte is not to be written later
    is_in_flight: bool = True
    is_fully_written: bool = False  # its last byte has been written: only from here on can it run
    timeout_timer: TimerHandle | None = None


class Engine:
    """Owns one router instance and all that it has in hand."""

    def __init__(
        self,
        settings: api.RouterSettings,
        seed: int,
        clock: Clock,
        decision_module: DecisionModule | None = None,
    ) -> None:
        self.settings = settings
        self.router: DecisionModule = decision_module or Router(settings, seed)
        self.clock = clock
        self.upstream: UpstreamPort
        self.endpoint_source: EndpointSource
        self.requests: dict[int, RequestContext] = {}
        self.pending_count = 0  # envelopes without their final answer
        self.counts: Counter[str] = Counter()
        self.request_counters = RequestCounters()
        self.rejected_by_class: Counter[int] = Counter()  # requests that could not be taken, by class
        self.written_attempts_by_class: Counter[int] = Counter()  # delivery attempts written whole, by class
        self._last_ref = 0
        self._events: deque[api.Event | RequestContext] = deque()
        self._is_dispatching = False

    # ------------------------------------------------------------------------------------ what happens

    def accept(self, request: RequestContext, downstream: DownstreamPort) -> None:
        """Take an envelope; its final answer is owed from here on."""
        self._last_ref += 1
        request.ref, request.downstream = self._last_ref, downstream
        request.limits, request.started_at = self.settings.limits, self.clock.now()
        self.requests[request.ref] = request
        self.pending_count += 1
        self.counts["requests"] += 1
        self._arm_watchdog(request)
        self._dispatch(request)

    def _arm_watchdog(self, request: RequestContext) -> None:
        if request.watchdog_timer is not None:
            request.watchdog_timer.cancel()
        grace = 0.5 * self.settings.rules.grace_to_answer
        request.watchdog_timer = self.clock.call_at(
            request.deadline + grace, lambda: self._expire_unanswered_request(request)
        )

    def complete_upload(self, request: RequestContext, deadline: float) -> None:
        """The last byte of an envelope that was coming is there: its time counts from here."""
        if request.is_finished or not request.is_partial:
            return
        request.is_partial, request.deadline, request.started_at = False, deadline, self.clock.now()
        self._arm_watchdog(request)
        for attempt in request.attempts:
            if attempt.is_in_flight:
                attempt.sent_at = self.clock.now()
                self._set_attempt_timeout(attempt, deadline)
        self._dispatch(api.RequestCompleted(request.ref, max(0.0, deadline - self.clock.now())))

    def handle_disconnect(self, request: RequestContext) -> None:
        """The sender side has left; nothing more is owed."""
        if request.is_finished:
            return
        self._close_request(request, RequestOutcome.CLIENT_GONE)
        if request.response_started:
            self.upstream.cancel_attempt(request.attempts[-1])  # the module is through with it
            self._release_if_finished(request)
            return
        self._dispatch(api.ClientDisconnected(request.ref))
        self._release_if_finished(request)

    def reconfigure(self, settings: api.RouterSettings) -> None:
        """Other settings, for envelopes that come from here on."""
        self.settings = settings
        self._dispatch(api.Reconfigured(settings))

    def record_rejected_request(self, class_index: int) -> None:
        """A front could not take a request of that class."""
        self.rejected_by_class[class_index] += 1

    def totals(self) -> Counter[str]:
        """Return what was counted since the start, with the outcomes of requests."""
        found = Counter(self.counts)
        for (_, outcome), count in self.request_counters.counts_by_outcome().items():
            counted_as = RequestOutcome.FAILED if outcome is RequestOutcome.DEADLINE_EXCEEDED else outcome
            found[counted_as.name.lower()] += count
        return found

    def update_endpoints(self, event: api.EndpointUpdate) -> None:
        """Discovery told, or failed."""
        self._dispatch(event)

    def finish_attempt(
        self,
        attempt: UpstreamAttempt,
        result: Result,
        cache_status: int = 0,
        response: object = None,
        malformed: bool = False,
        body_consumed: bool = False,
    ) -> None:
        """A delivery attempt has its outcome. A served one goes to the sender side before anything else."""
        if not check_invariant(
            attempt.is_in_flight, "attempt_ends_once", ref=attempt.request.ref, result=result.value
        ):
            return
        attempt.is_in_flight = False
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        envelope = attempt.request
        self.counts["attempt_malformed" if malformed else f"attempt_{result.name.lower()}"] += 1
        if result is Result.OK and not envelope.is_finished:
            sender = self._close_request(envelope, RequestOutcome.SERVED)
            self._deliver_response("served", lambda: sender.send_response(envelope, response))
        lag = max(0.0, self.clock.now() - attempt.sent_at)
        self._dispatch(
            api.AttemptEnded(
                envelope.ref,
                attempt.number,
                attempt.endpoint_id,
                result,
                envelope.is_finished,
                cache_status,
                lag,
                malformed=malformed,
                body_consumed=body_consumed,
            )
        )
        self._release_if_finished(envelope)

    def begin_response_stream(self, attempt: UpstreamAttempt, cache_status: int, response: object) -> bool:
        """A served answer has begun that is passed on as it comes. That decides the attempt: from here on it
        is the sender side's, no deadline counts, no other attempt is made. False if nobody waits for it.
        """
        envelope = attempt.request
        wanted = envelope.awaits_response()
        if not (
            wanted
            and check_invariant(attempt.is_in_flight, "attempt_ends_once", ref=envelope.ref, result="begun")
        ):
            return False
        attempt.is_in_flight, envelope.response_started = False, True
        for timer in (attempt.timeout_timer, envelope.watchdog_timer):
            if timer is not None:
                timer.cancel()
        self.counts[f"attempt_{Result.OK.name.lower()}"] += 1
        lag = max(0.0, self.clock.now() - attempt.sent_at)
        sender = envelope.downstream
        assert sender is not None
        self._observe_outcome(envelope, RequestOutcome.SERVED)
        self._deliver_response("started", lambda: sender.start_response_stream(envelope, response))
        self._dispatch(
            api.AttemptEnded(
                envelope.ref, attempt.number, attempt.endpoint_id, Result.OK, True, cache_status, lag
            )
        )
        return not envelope.is_finished

    def end_response_stream(self, request: RequestContext, is_complete: bool) -> None:
        """An answer that had begun is at its end, whole or not."""
        if not request.is_finished:
            self._close_request(request, RequestOutcome.SERVED if is_complete else RequestOutcome.FAILED)
            self._release_if_finished(request)

    def mark_attempt_written(self, attempt: UpstreamAttempt) -> None:
        """The last byte of a delivery attempt has been written."""
        attempt.is_fully_written = True
        self.written_attempts_by_class[attempt.request.class_index] += 1

    def _observe_outcome(self, request: RequestContext, outcome: RequestOutcome) -> None:
        """An envelope's final answer is given, or begins."""

    # ----------------------------------------------------------------------------- events and decisions

    def _dispatch(self, occurrence: api.Event | RequestContext) -> None:
        """Events are decided on one after another, also those that actions bring about at once."""
        self._events.append(occurrence)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._events:
                self._decide(self._events.popleft())
        finally:
            self._is_dispatching = False

    def _decide(self, occurrence: api.Event | RequestContext) -> None:
        now = self.clock.now()
        # The time left is taken at the very moment the module counts it from. Guards against a deadline of
        # its own that differs a little: a time-out just before it would be refused, not failed.
        event = _to_request_event(occurrence, now) if isinstance(occurrence, RequestContext) else occurrence
        try:
            actions = self._handle(now, event)
        except Exception as problem:
            self._handle_fault(event, problem)
            # What was decided before the fault stands: the module counts those attempts as out, and its
            # tick sets the next one first.
            actions = self.router.actions
        for action in actions:
            try:
                self._execute(action)
            except Exception as problem:
                self._handle_fault(event, problem)

    def _handle(self, now: float, event: api.Event) -> list[api.Action]:
        return self.router.handle(now, event)

    def _handle_fault(self, event: api.Event, error: Exception) -> None:
        """An exception over one envelope: it fails, the process goes on."""
        self.counts["faults"] += 1
        ref = getattr(event, "ref", 0)
        log_exception(
            logger,
            "engine_fault",
            error,
            ref=ref,
            module_event=type(event).__name__,
            count=self.counts["faults"],
        )
        envelope = self.requests.get(ref)
        if envelope is not None and envelope.awaits_response():
            sender = self._close_request(envelope, RequestOutcome.INTERNAL_ERROR)
            self._deliver_response("internal_error", lambda: sender.send_internal_error(envelope))
            self._dispatch(api.ClientDisconnected(ref))
            self._release_if_finished(envelope)

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send_attempt(action)
            case api.SetTimer():
                token = action.token
                self.clock.call_at(action.due_at, lambda: self._dispatch(api.TimerFired(token)))
            case api.Cancel():
                self._cancel_attempt(action)
            case api.Refuse():
                wait = action.retry_after_ms
                self._finish_request(
                    action.ref, RequestOutcome.REFUSED, lambda e, s: s.send_refusal(e, wait), action.reason
                )
            case api.Fail():
                self._fail_request(action.ref, action.reason)
            case api.Watch():
                self.endpoint_source.set_watching(action.enabled)
            case api.Log():
                log_event(logger, logging.INFO, "decision_message", text=action.text)
            case api.Probe():
                check_invariant(False, "no_probes", endpoint=action.endpoint_id)

    # ------------------------------------------------------------------------------- delivery attempts

    def _send_attempt(self, action: api.Send) -> None:
        envelope = self.requests.get(action.ref)
        if envelope is None:
            check_invariant(False, "send_for_open_request", ref=action.ref)
            return
        now = self.clock.now()
        stop_at = min(envelope.deadline, action.stop_at or envelope.deadline)
        number, begin_by = len(envelope.attempts), action.begin_by
        attempt = UpstreamAttempt(envelope, number, action.endpoint_id, now, stop_at, begin_by)
        allowed = self._may_send(envelope, attempt)
        envelope.attempts.append(attempt)
        if not allowed:
            self.finish_attempt(attempt, Result.NEVER_SENT)
            return
        self.counts["attempts"] += 1
        # before the module's own deadline timer: a time-out says something of its next hop, a cancelled
        # attempt does not
        self._set_attempt_timeout(attempt, stop_at)
        try:
            self.upstream.start_attempt(attempt)
        except Exception as problem:
            self.counts["faults"] += 1
            log_exception(logger, "attempt_fault", problem, ref=envelope.ref, count=self.counts["faults"])
            if attempt.is_in_flight:
                self.upstream.cancel_attempt(attempt)
                self.finish_attempt(attempt, Result.RESET)  # it may have run

    def _set_attempt_timeout(self, attempt: UpstreamAttempt, stop_at: float) -> None:
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        attempt.stop_at = stop_at
        attempt.timeout_timer = self.clock.call_at(
            stop_at, lambda: self._expire_attempt(attempt), run_first=True
        )

    def _may_send(self, request: RequestContext, attempt: UpstreamAttempt) -> bool:
        """Whether an attempt may go out at all. The module keeps these rules; they are checked once more
        where a breach would be seen by the fleet.
        """
        limits = request.limits
        alone = limits.allow_hedging or not any(other.is_in_flight for other in request.attempts)
        return (
            check_invariant(not request.is_finished, "no_send_after_the_answer", ref=request.ref)
            and check_invariant(
                attempt.number < limits.max_attempts, "attempts_within_limit", ref=request.ref
            )
            and check_invariant(alone, "one_attempt_at_a_time", ref=request.ref)
            and attempt.sent_at < request.deadline
        )

    def _expire_attempt(self, attempt: UpstreamAttempt) -> None:
        if attempt.is_in_flight:
            self.upstream.cancel_attempt(attempt)
            self.finish_attempt(attempt, Result.TIMEOUT)

    def _cancel_attempt(self, action: api.Cancel) -> None:
        envelope = self.requests.get(action.ref)
        if envelope is None or action.attempt >= len(envelope.attempts):
            return
        attempt = envelope.attempts[action.attempt]
        if attempt.is_in_flight:
            self.upstream.cancel_attempt(attempt)
            self.finish_attempt(attempt, Result.CANCELLED)

    # ---------------------------------------------------------------------------------- final answers

    def _fail_request(self, ref: int, reason: api.EndReason) -> None:
        envelope = self.requests.get(ref)
        late = envelope is not None and self.clock.now() >= envelope.deadline
        self._finish_request(
            ref,
            RequestOutcome.DEADLINE_EXCEEDED if late else RequestOutcome.FAILED,
            lambda e, s: s.send_failure(e, late),
            reason,
        )

    def _finish_request(
        self,
        ref: int,
        outcome: RequestOutcome,
        respond: Callable[[RequestContext, DownstreamPort], None],
        reason: api.EndReason,
    ) -> None:
        envelope = self.requests.get(ref)
        if envelope is None or not envelope.awaits_response():
            return
        sender = self._close_request(envelope, outcome, reason)
        self._deliver_response(outcome.name.lower(), lambda: respond(envelope, sender))
        self._release_if_finished(envelope)

    def _deliver_response(self, kind: str, respond: Callable[[], None]) -> None:
        """Hand a final answer over; a front that breaks over it must not keep the module from hearing."""
        try:
            respond()
        except Exception as problem:
            self.counts["faults"] += 1
            log_exception(logger, "response_fault", problem, response=kind, count=self.counts["faults"])

    def _close_request(
        self,
        request: RequestContext,
        outcome: RequestOutcome,
        reason: api.EndReason = api.EndReason.UNSPECIFIED,
    ) -> DownstreamPort:
        if not request.response_started:
            self._observe_outcome(request, outcome)
        request.is_finished = True
        self._record_outcome(request, outcome, reason)
        self.pending_count -= 1
        if request.watchdog_timer is not None:
            request.watchdog_timer.cancel()
            request.watchdog_timer = None
        sender, request.downstream = request.downstream, None
        assert sender is not None
        return sender

    def _record_outcome(
        self, request: RequestContext, outcome: RequestOutcome, reason: api.EndReason
    ) -> None:
        """Count an outcome with its reason, or that its objective was missed."""
        cause = "" if reason is api.EndReason.UNSPECIFIED else reason.name.lower()
        took = self.clock.now() - request.started_at
        classes = self.settings.classes
        if (
            outcome is RequestOutcome.SERVED
            and request.class_index < len(classes)
            and took > classes[request.class_index].objective_ms
        ):
            cause = "late"
        # what the platform prices: a client that waited for an answer that nobody was asked for
        if (
            outcome in UNSERVED_OUTCOMES
            and not request.attempts
            and 2 * took > request.deadline - request.started_at
        ):
            self.counts["late_without_attempt"] += 1
        self.request_counters.record(request.class_index, outcome, cause, took)

    def _expire_unanswered_request(self, request: RequestContext) -> None:
        """The net under rule 1: the module answers at the deadline; if it did not, a failure goes out while
        it still counts.
        """
        if request.is_finished:
            return
        sender = self._close_request(request, RequestOutcome.DEADLINE_EXCEEDED)
        self._deliver_response("failed", lambda: sender.send_failure(request, True))
        self._dispatch(api.ClientDisconnected(request.ref))
        self._release_if_finished(request)
        check_invariant(False, "answered_at_the_deadline", ref=request.ref)

    def _release_if_finished(self, request: RequestContext) -> None:
        """Drop an envelope that is over, once none of its attempts is out. One that is not written whole is
        given up, whatever the module leaves out there: guards against a dial that comes up after the sender
        side has left, whose request would then go out for nobody.
        """
        for attempt in request.attempts:
            if request.is_finished and attempt.is_in_flight and not attempt.is_fully_written:
                self.upstream.cancel_attempt(attempt)
                self.finish_attempt(attempt, Result.NEVER_SENT)
        if request.is_finished and not any(attempt.is_in_flight for attempt in request.attempts):
            self.requests.pop(request.ref, None)


class ObservedEngine(Engine):
    """The same engine, with an observer of what goes into the module and comes out."""

    def __init__(
        self, settings: api.RouterSettings, seed: int, clock: Clock, observer: EngineObserver
    ) -> None:
        super().__init__(settings, seed, clock)
        self.observer = observer

    def _handle(self, now: float, event: api.Event) -> list[api.Action]:
        try:
            return self.router.handle(now, event)
        finally:
            actions = self.router.actions
            if isinstance(event, api.RequestArrived):
                self._notify_observer(self.observer.on_request, now, self.requests[event.ref], actions)
            else:
                self._notify_observer(self.observer.on_event, now, event, actions)

    def _observe_outcome(self, request: RequestContext, outcome: RequestOutcome) -> None:
        self._notify_observer(self.observer.on_outcome, self.clock.now(), request, outcome)

    def _notify_observer(self, call: Callable[..., None], *given: object) -> None:
        """An observer that breaks must not keep a request from its answer."""
        try:
            call(*given)
        except Exception as problem:
            self.counts["faults"] += 1
            log_exception(logger, "observer_fault", problem, count=self.counts["faults"])


def _to_request_event(request: RequestContext, now: float) -> api.RequestArrived:
    return api.RequestArrived(
        request.ref,
        request.class_index,
        max(0.0, request.deadline - now),
        request.key,
        request.tenant_index,
        request.is_write,
        request.is_retry,
        request.cost_hint,
        request.is_partial,
    )
