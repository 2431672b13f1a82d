"""Checks the four rules for routers by what nodes and clients observe, not by what routers report.

The rules are: every request gets one final answer in time, a repeated execution does no harm, draining nodes
get no new attempts, and cold nodes are not overloaded.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from ...decisions.api import NEVER_RAN, Effect, Group, RequestClass, Result
from ..measure import Measure

ANSWER_GRACE_MS = 50.0  # accepted delay of a final answer after the deadline, as on sockets


class Rule(StrEnum):
    """The rules; the values are names in results."""

    ANSWERED = "answered"
    EFFECT = "effect"
    DRAINS = "drains"
    COLD = "cold"


@dataclass(slots=True)
class SentAttempt:
    """An attempt that was sent to a node. Times are milliseconds."""

    sent_at: float
    node: int
    node_name: str
    zone: int
    cell: int
    drain_known_since: float | None = None  # when its router was notified of the node's drain
    in_flight: bool = True
    may_have_run: bool = True


@dataclass(slots=True)
class ClientTry:
    """A try of a client's request, which was sent to a router."""

    name: str
    request_class: RequestClass
    deadline: float  # milliseconds
    attempts: list[SentAttempt] = field(default_factory=list)
    answers: int = 0
    client_gone: bool = False  # the client disconnected, or its router was killed


class RuleMonitor:
    """Checks all tries of a run, and records violations of the rules."""

    def __init__(self, measure: Measure, max_attempts: int, stop_sending_within_ms: float) -> None:
        self.measure = measure
        self.max_attempts = max_attempts
        self.stop_sending_within_ms = stop_sending_within_ms

    def record_send(self, client_try: ClientTry, attempt: SentAttempt) -> None:
        """Check an attempt that is sent now, and add it to its try."""
        for rule, text in self._find_send_violations(client_try, attempt):
            self._record_violation(rule, client_try.name, attempt.node_name, attempt.sent_at, text)
        client_try.attempts.append(attempt)

    def _find_send_violations(self, client_try: ClientTry, attempt: SentAttempt) -> list[tuple[Rule, str]]:
        violations: list[tuple[Rule, str]] = []
        if client_try.answers:
            violations.append((Rule.EFFECT, "sent after the final answer"))
        if any(earlier.in_flight for earlier in client_try.attempts):
            violations.append((Rule.EFFECT, "sent while another attempt was out"))
        if len(client_try.attempts) >= self.max_attempts:
            text = f"attempt {len(client_try.attempts) + 1} of {self.max_attempts}"
            violations.append((Rule.EFFECT, text))
        if attempt.drain_known_since is not None:
            known_for_ms = attempt.sent_at - attempt.drain_known_since
            if known_for_ms > self.stop_sending_within_ms:
                violations.append((Rule.DRAINS, f"sent {known_for_ms:.0f} ms after its router was told"))
        repeat_violation = self._find_repeat_violation(client_try, attempt)
        if repeat_violation:
            violations.append((Rule.EFFECT, repeat_violation))
        return violations

    @staticmethod
    def _find_repeat_violation(client_try: ClientTry, attempt: SentAttempt) -> str:
        """Return why a request that may have run must not be repeated; empty if it may be."""
        request_class = client_try.request_class
        if request_class.effect is Effect.RETRYABLE:
            return ""
        for earlier in client_try.attempts:
            if not earlier.may_have_run:
                continue
            if request_class.effect is Effect.FRAGILE:
                return "repeated, though it may have run"
            elapsed_ms = attempt.sent_at - earlier.sent_at
            if elapsed_ms > request_class.repeat_window_ms:
                return f"repeated {elapsed_ms:.0f} ms after an attempt that may have run"
            same_group = {
                Group.ALL: True,
                Group.ZONE: attempt.zone == earlier.zone,
                Group.CELL: attempt.cell == earlier.cell,
            }
            if not same_group[request_class.group]:
                return f"repeated outside its {request_class.group.value}"
        return ""

    def record_outcome(self, attempt: SentAttempt, result: Result) -> None:
        """Record the end of an attempt."""
        attempt.in_flight = False
        if result in NEVER_RAN:
            attempt.may_have_run = False

    def record_answer(self, client_try: ClientTry, now: float, refused: bool, router: str) -> None:
        """Check a final answer of a router; `now` is milliseconds, `refused` whether it is a refusal."""
        client_try.answers += 1
        if client_try.answers > 1:
            self._record_violation(Rule.ANSWERED, client_try.name, router, now, "answered twice")
        if now > client_try.deadline + ANSWER_GRACE_MS and not client_try.client_gone:
            text = f"answered {now - client_try.deadline:.0f} ms late"
            self._record_violation(Rule.ANSWERED, client_try.name, router, now, text)
        may_have_run = any(attempt.may_have_run for attempt in client_try.attempts)
        request_class = client_try.request_class
        repeat_is_harmful = request_class.effect is Effect.FRAGILE or (
            request_class.effect is Effect.DEDUP and request_class.group is not Group.ALL
        )
        if refused and may_have_run and repeat_is_harmful:
            text = "refused, though it may have run"
            self._record_violation(Rule.EFFECT, client_try.name, router, now, text)

    def check_finished(self, client_try: ClientTry, now: float, router: str) -> None:
        """Check, after all deadlines, that a try got a final answer."""
        if not client_try.answers and not client_try.client_gone:
            self._record_violation(Rule.ANSWERED, client_try.name, router, now, "never answered")

    def record_cold_overload(self, node: str, now: float) -> None:
        """Record that a cold node crashed, because all routers together sent it more than its capacity."""
        self.measure.cold_overloads += 1
        self._record_violation(Rule.COLD, "", node, now, "pushed over while it was cold")

    def _record_violation(self, rule: Rule, request: str, node: str, now: float, text: str) -> None:
        self.measure.record_violation(rule.value, request, node, now, text)
