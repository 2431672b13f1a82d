"""The engine: one decision module, the requests in progress, their attempts and timers.

It converts occurrences to `api` events and executes `api` actions through ports. It makes no decisions, and
has no sockets, no HTTP and no clock of its own. A protocol adapter is a component that passes requests to
the engine.
"""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Callable

from ..decisions import api
from ..decisions.api import Result
from ..decisions.decide import Router
from ..decisions.permissions import (
    AcceptFacts,
    Denial,
    SendFacts,
    WriteFacts,
    check_accept,
    check_send,
    check_write,
)
from ..logs import log_event, log_exception
from .clock import Clock
from .invariants import check_invariant
from .ports import DecisionModule, EndpointSource, UpstreamPort
from .request_context import DownstreamPort, RequestContext, UpstreamAttempt
from .request_counters import RequestCounters, RequestOutcome

logger = logging.getLogger(__name__)
UNSERVED_OUTCOMES = (
    RequestOutcome.REFUSED,
    RequestOutcome.FAILED,
    RequestOutcome.DEADLINE_EXCEEDED,
    RequestOutcome.INTERNAL_ERROR,
)


class Engine:
    """Runs one decision module and holds all requests in progress.

    Args:
        settings: the router's settings.
        seed: the seed of the decision module's random draws.
        clock: the clock and its timers.
        decision_module: a decision module to use in place of `Router`.
    """

    upstream: UpstreamPort
    endpoint_source: EndpointSource

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
        self.requests: dict[int, RequestContext] = {}  # requests in progress, by ref
        self.pending_count = 0  # requests without their final answer
        self.counts: Counter[str] = Counter()
        self.request_counters = RequestCounters()
        self.rejected_by_class: Counter[int] = Counter()  # requests that could not be accepted, by class
        self.written_attempts_by_class: Counter[int] = Counter()  # fully written attempts, by class
        self._last_ref = 0
        self._last_timer = 0  # number of the decision module's latest timer
        self._events: deque[api.Event | RequestContext] = deque()
        self._is_dispatching = False

    # --------------------------------------------------------------- calls of protocol adapters and drivers

    def accept(self, request: RequestContext, downstream: DownstreamPort) -> None:
        """Accept a request; from now on `downstream` is due its final answer."""
        self._last_ref += 1
        request.ref = self._last_ref
        request.downstream = downstream
        request.limits = self.settings.limits
        request.started_at = self.clock.now()
        self.requests[request.ref] = request
        self.pending_count += 1
        self.counts["requests"] += 1
        facts = AcceptFacts(request.read_late_ms, request.deadline - request.started_at, request.busy_ms)
        if check_accept(facts) is not None:
            self._shed(request)
            return
        self._arm_watchdog(request)
        self._dispatch(request)

    def _shed(self, request: RequestContext) -> None:
        """Answer a request that was read too late to be served, at the least cost."""
        is_refused = self.clock.now() < request.deadline
        outcome = RequestOutcome.REFUSED if is_refused else RequestOutcome.DEADLINE_EXCEEDED
        downstream = self._close_request(request, outcome, api.EndReason.READ_LATE)
        del self.requests[request.ref]
        if is_refused:
            retry_after_ms = self.retry_after_ms(request.class_index)
            self._deliver_response("refused", lambda: downstream.send_refusal(request, retry_after_ms))
        else:
            self._deliver_response("failed", lambda: downstream.send_failure(request, timed_out=True))

    def _arm_watchdog(self, request: RequestContext) -> None:
        if request.watchdog_timer is not None:
            request.watchdog_timer.cancel()
        grace_ms = 0.5 * self.settings.rules.grace_to_answer
        request.watchdog_timer = self.clock.call_at(
            request.deadline + grace_ms, lambda: self._expire_unanswered_request(request)
        )

    def complete_upload(self, request: RequestContext, deadline: float) -> None:
        """Record the last byte of a partial request; its time counts from now until `deadline`."""
        if request.is_finished or not request.is_partial:
            return
        request.is_partial = False
        request.deadline = deadline
        request.started_at = self.clock.now()
        self._arm_watchdog(request)
        for attempt in request.attempts:
            if attempt.is_in_flight:
                attempt.sent_at = self.clock.now()
                self._set_attempt_timeout(attempt, deadline)
        self._dispatch(api.RequestCompleted(request.ref, max(0.0, deadline - self.clock.now())))

    def expire_upload(self, request: RequestContext) -> None:
        """Fail a partial request whose last byte may have been written so long ago that its time is over."""
        if request.is_partial and request.awaits_response():
            self._fail_overdue_request(request)

    def fail_requests_begun_by(self, begun_by: float) -> None:
        """Fail the requests that await an answer since `begun_by` or longer and were received completely."""
        for request in list(self.requests.values()):
            if request.awaits_response() and not request.is_partial and request.started_at <= begun_by:
                self._fail_overdue_request(request)

    def handle_disconnect(self, request: RequestContext) -> None:
        """Record that a client disconnected; its request needs no answer any more."""
        if request.is_finished:
            return
        self._close_request(request, RequestOutcome.CLIENT_GONE)
        if request.response_started:
            self.upstream.cancel_attempt(request.attempts[-1])  # the module has already received its end
            self._release_if_finished(request)
            return
        self._dispatch(api.ClientDisconnected(request.ref))
        self._release_if_finished(request)

    def reconfigure(self, settings: api.RouterSettings) -> None:
        """Apply new settings to requests that arrive from now on."""
        self.settings = settings
        self._dispatch(api.Reconfigured(settings))

    def record_rejected_request(self, class_index: int) -> None:
        """Count a request of a class that a protocol adapter could not accept."""
        self.rejected_by_class[class_index] += 1

    def runs_only_once(self, request: RequestContext) -> bool:
        """Return whether a second execution of a request would have a further effect."""
        classes = self.settings.classes
        index = request.class_index
        return index < len(classes) and classes[index].effect is not api.Effect.RETRYABLE

    def retry_after_ms(self, class_index: int) -> float:
        """Return when a client may retry a request that the module has not seen, in ms; 0 for no advice."""
        classes = self.settings.classes
        request_class = classes[class_index] if class_index < len(classes) else classes[0]
        return min(self.settings.limits.max_retry_after_ms, request_class.objective_ms)

    def record_shed(self, class_index: int, late_ms: float, is_refused: bool) -> None:
        """Count a request that was answered before it was accepted, as this router is behind."""
        self.counts["shed_at_accept"] += 1
        self._record_unaccepted(class_index, is_refused, api.EndReason.READ_LATE, late_ms)

    def record_shed_for_memory(self, class_index: int, is_refused: bool) -> None:
        """Count a request that was answered before it was accepted, as no memory was left for it."""
        self.counts["shed_for_memory"] += 1
        self._record_unaccepted(class_index, is_refused, api.EndReason.NO_MEMORY, 0.0)

    def _record_unaccepted(
        self, class_index: int, is_refused: bool, reason: api.EndReason, elapsed_ms: float
    ) -> None:
        self.counts["requests"] += 1
        outcome = RequestOutcome.REFUSED if is_refused else RequestOutcome.DEADLINE_EXCEEDED
        self.request_counters.record(class_index, outcome, reason.name.lower(), elapsed_ms)

    def totals(self) -> Counter[str]:
        """Return all counts since the start, including request outcomes."""
        totals = Counter(self.counts)
        for (_, outcome), count in self.request_counters.counts_by_outcome().items():
            counted_as = RequestOutcome.FAILED if outcome is RequestOutcome.DEADLINE_EXCEEDED else outcome
            totals[counted_as.name.lower()] += count
        return totals

    def update_endpoints(self, event: api.EndpointUpdate) -> None:
        """Pass on an update of the endpoint list, or a failure of discovery."""
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
        """Record the end of an attempt. A served response is forwarded before anything else.

        `malformed`: whether the response cannot be parsed. `body_consumed`: whether the request body cannot
        be sent again.
        """
        request = attempt.request
        if not check_invariant(
            attempt.is_in_flight, "attempt_ends_once", ref=request.ref, result=result.value
        ):
            return
        attempt.is_in_flight = False
        attempt.result = result
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        self.counts["attempt_malformed" if malformed else f"attempt_{result.name.lower()}"] += 1
        if result is Result.OK and not request.is_finished:
            downstream = self._close_request(request, RequestOutcome.SERVED)
            self._deliver_response("served", lambda: downstream.send_response(request, response))
        latency_ms = max(0.0, self.clock.now() - attempt.sent_at)
        self._dispatch(
            api.AttemptEnded(
                request.ref,
                attempt.number,
                attempt.endpoint_id,
                result,
                request.is_finished,
                cache_status,
                latency_ms,
                malformed=malformed,
                body_consumed=body_consumed,
            )
        )
        self._release_if_finished(request)

    def begin_response_stream(self, attempt: UpstreamAttempt, cache_status: int, response: object) -> bool:
        """Begin to forward a served response as it arrives.

        The attempt is decided by this: no deadline applies from now on, and no other attempt is made.

        Returns:
            Whether the client still waits for the response.
        """
        request = attempt.request
        if not request.awaits_response():
            return False
        if not check_invariant(attempt.is_in_flight, "attempt_ends_once", ref=request.ref, result="begun"):
            return False
        attempt.is_in_flight = False
        attempt.result = Result.OK
        request.response_started = True
        for timer in (attempt.timeout_timer, request.watchdog_timer):
            if timer is not None:
                timer.cancel()
        self.counts[f"attempt_{Result.OK.name.lower()}"] += 1
        began_at = self.clock.now() if attempt.first_byte_at is None else attempt.first_byte_at
        latency_ms = max(0.0, began_at - attempt.sent_at)
        downstream = request.downstream
        assert downstream is not None
        self._observe_outcome(request, RequestOutcome.SERVED)
        self._deliver_response("started", lambda: downstream.start_response_stream(request, response))
        self._dispatch(
            api.AttemptEnded(
                request.ref, attempt.number, attempt.endpoint_id, Result.OK, True, cache_status, latency_ms
            )
        )
        return not request.is_finished

    def end_response_stream(self, request: RequestContext, is_complete: bool) -> None:
        """Record the end of a forwarded response, complete or not."""
        if not request.is_finished:
            self._close_request(request, RequestOutcome.SERVED if is_complete else RequestOutcome.FAILED)
            self._release_if_finished(request)

    def mark_attempt_written(self, attempt: UpstreamAttempt) -> None:
        """Record that the last byte of an attempt was written."""
        attempt.is_fully_written = True
        self.written_attempts_by_class[attempt.request.class_index] += 1

    def _observe_outcome(self, request: RequestContext, outcome: RequestOutcome) -> None:
        """Observe a final answer when it is sent or begins; subclasses override this."""

    # ----------------------------------------------------------------------------- events and decisions

    def _dispatch(self, event: api.Event | RequestContext) -> None:
        """Pass events to the module one after another, including those that its actions cause immediately."""
        self._events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._events:
                self._decide(self._events.popleft())
        finally:
            self._is_dispatching = False

    def _decide(self, queued: api.Event | RequestContext) -> None:
        now = self.clock.now()
        # The time left is computed at the moment from which the module counts it. Otherwise the module's
        # deadline would differ slightly, and a timeout just before it would be refused, not failed.
        event = queued.to_event(now) if isinstance(queued, RequestContext) else queued
        try:
            actions = self._handle(now, event)
        except Exception as error:
            self._handle_fault(event, error)
            # Actions decided before the fault are executed: the module counts their attempts as in flight,
            # and the first action of a tick sets the timer of the next one.
            actions = self.router.actions
        for action in actions:
            try:
                self._execute(action)
            except Exception as error:
                self._handle_fault(event, error)

    def _handle(self, now: float, event: api.Event) -> list[api.Action]:
        return self.router.handle(now, event)

    def _handle_fault(self, event: api.Event, error: Exception) -> None:
        """Fail the request that an exception concerns; the process continues."""
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
        request = self.requests.get(ref)
        if request is not None and request.awaits_response():
            downstream = self._close_request(request, RequestOutcome.INTERNAL_ERROR)
            self._deliver_response("internal_error", lambda: downstream.send_internal_error(request))
            self._dispatch(api.ClientDisconnected(ref))
            self._release_if_finished(request)

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send_attempt(action)
            case api.SetTimer():
                self._set_module_timer(action)
            case api.Cancel():
                self._cancel_attempt(action)
            case api.Refuse():
                retry_after_ms = action.retry_after_ms
                self._finish_request(
                    action.ref,
                    RequestOutcome.REFUSED,
                    lambda request, downstream: downstream.send_refusal(request, retry_after_ms),
                    action.reason,
                )
            case api.Fail():
                self._fail_request(action.ref, action.reason)
            case api.Watch():
                self.endpoint_source.set_watching(action.enabled)
            case api.Log():
                log_event(logger, logging.INFO, "decision_message", text=action.text)
            case api.Probe():
                check_invariant(False, "no_probes", endpoint=action.endpoint_id)

    def _set_module_timer(self, action: api.SetTimer) -> None:
        """Set a timer of the decision module; one of a request is cancelled when the request is dropped."""
        self._last_timer += 1
        number = self._last_timer
        request = self.requests.get(action.ref)
        timers = {} if request is None else request.module_timers

        def fire() -> None:
            timers.pop(number, None)
            self._dispatch(api.TimerFired(action.token))

        timers[number] = self.clock.call_at(action.due_at, fire)

    # ------------------------------------------------------------------------------------------ attempts

    def _send_attempt(self, action: api.Send) -> None:
        request = self.requests.get(action.ref)
        if request is None:
            check_invariant(False, "send_for_open_request", ref=action.ref)
            return
        now = self.clock.now()
        stop_at = min(request.deadline, action.stop_at or request.deadline)
        number = len(request.attempts)
        attempt = UpstreamAttempt(request, number, action.endpoint_id, now, stop_at, action.begin_by)
        is_allowed = self._may_send(request, attempt)
        request.attempts.append(attempt)
        if not is_allowed:
            self.finish_attempt(attempt, Result.NEVER_SENT)
            return
        self.counts["attempts"] += 1
        # The timeout fires before the module's deadline timer: a timeout is evidence about the endpoint, and
        # a cancelled attempt is not.
        self._set_attempt_timeout(attempt, stop_at)
        try:
            self.upstream.start_attempt(attempt)
        except Exception as error:
            self.counts["faults"] += 1
            log_exception(logger, "attempt_fault", error, ref=request.ref, count=self.counts["faults"])
            if attempt.is_in_flight:
                self.upstream.cancel_attempt(attempt)
                self.finish_attempt(attempt, Result.RESET)  # the endpoint may have executed the attempt

    def _set_attempt_timeout(self, attempt: UpstreamAttempt, stop_at: float) -> None:
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        attempt.stop_at = stop_at
        attempt.timeout_timer = self.clock.call_at(
            stop_at, lambda: self._expire_attempt(attempt), run_first=True
        )

    def _may_send(self, request: RequestContext, attempt: UpstreamAttempt) -> bool:
        """Return whether an attempt may be sent.

        The module has already checked this. The engine checks again with its own facts, because a violation
        would reach the fleet. Only a deadline may have passed in between.
        """
        facts = SendFacts(
            now=attempt.sent_at,
            deadline=request.deadline,
            is_finished=request.is_finished,
            attempts_made=attempt.number,
            max_attempts=request.limits.max_attempts,
            attempts_in_flight=sum(other.is_in_flight for other in request.attempts),
            allow_hedging=request.limits.allow_hedging,
        )
        denial = check_send(facts)
        if denial is not None and denial is not Denial.DEADLINE_PASSED:
            check_invariant(False, f"send_{denial.value}", ref=request.ref)
        return denial is None

    def check_write(
        self,
        attempt: UpstreamAttempt,
        endpoint_status: api.Status | None,
        had_to_connect: bool,
        is_body_consumed: bool,
    ) -> Denial | None:
        """Return why the first byte of an attempt may not be written now; None if it may.

        If the attempt had to connect first, or is a retry, this also checks whether the client is still
        connected: time has passed, and a disconnect may not have been noticed yet.
        """
        request = attempt.request
        may_have_left = attempt.number > 0 or had_to_connect
        facts = WriteFacts(
            now=self.clock.now(),
            is_finished=request.is_finished or (may_have_left and request.client_has_left()),
            stop_at=attempt.stop_at,
            begin_by=attempt.begin_by,
            endpoint_status=endpoint_status,
            is_body_consumed=is_body_consumed,
        )
        denial = check_write(facts)
        if denial is not None:
            self.counts[f"write_denied_{denial.value}"] += 1
            log_event(
                logger,
                logging.INFO,
                "write_denied",
                ref=request.ref,
                client_id=request.client_id,
                attempt=attempt.number,
                endpoint=attempt.endpoint_id,
                reason=denial.value,
            )
        return denial

    def _expire_attempt(self, attempt: UpstreamAttempt) -> None:
        """End an attempt at its timeout, unless a long response is arriving that can be forwarded."""
        if attempt.is_in_flight and not (
            attempt.request.awaits_response() and self.upstream.stream_response(attempt)
        ):
            self.upstream.cancel_attempt(attempt)
            self.finish_attempt(attempt, Result.TIMEOUT)

    def _cancel_attempt(self, action: api.Cancel) -> None:
        request = self.requests.get(action.ref)
        if request is None or action.attempt >= len(request.attempts):
            return
        attempt = request.attempts[action.attempt]
        # The module knows nothing of the bytes that have arrived: a long response would be cut off.
        is_kept = request.awaits_response() and self.upstream.is_receiving(attempt)
        if attempt.is_in_flight and not is_kept:
            self.upstream.cancel_attempt(attempt)
            self.finish_attempt(attempt, Result.CANCELLED)

    # ------------------------------------------------------------------------------------- final answers

    def _fail_request(self, ref: int, reason: api.EndReason) -> None:
        request = self.requests.get(ref)
        timed_out = request is not None and self.clock.now() >= request.deadline
        self._finish_request(
            ref,
            RequestOutcome.DEADLINE_EXCEEDED if timed_out else RequestOutcome.FAILED,
            lambda request, downstream: downstream.send_failure(request, timed_out),
            reason,
        )

    def _finish_request(
        self,
        ref: int,
        outcome: RequestOutcome,
        respond: Callable[[RequestContext, DownstreamPort], None],
        reason: api.EndReason,
    ) -> None:
        request = self.requests.get(ref)
        if request is None or not request.awaits_response():
            return
        downstream = self._close_request(request, outcome, reason)
        self._deliver_response(outcome.name.lower(), lambda: respond(request, downstream))
        self._release_if_finished(request)

    def _deliver_response(self, kind: str, respond: Callable[[], None]) -> None:
        """Deliver a final answer; a fault of the downstream must not keep events from the module."""
        try:
            respond()
        except Exception as error:
            self.counts["faults"] += 1
            log_exception(logger, "response_fault", error, response=kind, count=self.counts["faults"])

    def _close_request(
        self,
        request: RequestContext,
        outcome: RequestOutcome,
        reason: api.EndReason = api.EndReason.UNSPECIFIED,
    ) -> DownstreamPort:
        """Mark a request as finished, and return the downstream that is due the answer."""
        if not request.response_started:
            self._observe_outcome(request, outcome)
        request.is_finished = True
        self._record_outcome(request, outcome, reason)
        self.pending_count -= 1
        if request.watchdog_timer is not None:
            request.watchdog_timer.cancel()
            request.watchdog_timer = None
        downstream = request.downstream
        request.downstream = None
        assert downstream is not None
        return downstream

    def _record_outcome(
        self, request: RequestContext, outcome: RequestOutcome, reason: api.EndReason
    ) -> None:
        """Count an outcome with its reason; a served request that missed its objective counts as late."""
        cause = "" if reason is api.EndReason.UNSPECIFIED else reason.name.lower()
        elapsed_ms = self.clock.now() - request.started_at
        classes = self.settings.classes
        if (
            outcome is RequestOutcome.SERVED
            and request.class_index < len(classes)
            and elapsed_ms > classes[request.class_index].objective_ms
        ):
            cause = "late"
        # The platform charges for a client that waits for over half its time while no attempt is made for it.
        if (
            outcome in UNSERVED_OUTCOMES
            and not request.attempts
            and 2 * elapsed_ms > request.deadline - request.started_at
        ):
            self.counts["late_without_attempt"] += 1
        self.request_counters.record(request.class_index, outcome, cause, elapsed_ms)
        if outcome is not RequestOutcome.SERVED:
            self._log_unserved(request, outcome, cause, elapsed_ms)

    def _log_unserved(
        self, request: RequestContext, outcome: RequestOutcome, cause: str, elapsed_ms: float
    ) -> None:
        """Log why a request was not served, and the endpoint and result of each of its attempts."""
        log_event(
            logger,
            logging.INFO,
            "request_unserved",
            ref=request.ref,
            client_id=request.client_id,
            request_class=request.class_index,
            outcome=outcome.name.lower(),
            cause=cause or "none",
            elapsed_ms=elapsed_ms,
            read_late_ms=request.read_late_ms,
            attempts=",".join(_describe_attempt(attempt) for attempt in request.attempts) or "none",
        )

    def _expire_unanswered_request(self, request: RequestContext) -> None:
        """Fail a request that the module did not answer by its deadline, while an answer still counts."""
        if request.is_finished:
            return
        self._fail_overdue_request(request)
        check_invariant(False, "answered_at_the_deadline", ref=request.ref)

    def _fail_overdue_request(self, request: RequestContext) -> None:
        downstream = self._close_request(request, RequestOutcome.DEADLINE_EXCEEDED, api.EndReason.DEADLINE)
        self._deliver_response("failed", lambda: downstream.send_failure(request, True))
        self._dispatch(api.ClientDisconnected(request.ref))
        self._release_if_finished(request)

    def _release_if_finished(self, request: RequestContext) -> None:
        """Drop a finished request once none of its attempts is in flight.

        An attempt that is not fully written is cancelled, even if the module leaves it in flight. Guards
        against a connect that succeeds after the client has left: its request would be sent for no client.
        """
        for attempt in request.attempts:
            if request.is_finished and attempt.is_in_flight and not attempt.is_fully_written:
                self.upstream.cancel_attempt(attempt)
                self.finish_attempt(attempt, Result.NEVER_SENT)
        if request.is_finished and not any(attempt.is_in_flight for attempt in request.attempts):
            self._drop_request(request)

    def _drop_request(self, request: RequestContext) -> None:
        """Forget a request that has ended, with its timers, and break its reference cycles."""
        self.requests.pop(request.ref, None)
        request.attempts.clear()
        for timer in request.module_timers.values():
            timer.cancel()
        request.module_timers.clear()


def _describe_attempt(attempt: UpstreamAttempt) -> str:
    """Return an attempt's endpoint and how it ended, for the log."""
    state = "in_flight" if attempt.result is None else attempt.result.name.lower()
    return f"{attempt.endpoint_id}:{state}"
