"""The four rules, watched from the nodes' and the clients' side; what a router says of itself counts for
nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ...decisions.api import NEVER_RAN, Effect, Group, RequestClass, Result
from ..measure import Measure

ANSWER_GRACE_MS = 50.0  # milliseconds after the deadline, as on sockets


@dataclass(slots=True)
class SentAttempt:
    """One delivery attempt as it was sent."""

    sent_at: float
    node: int
    zone: int
    cell: int
    in_flight: bool = True
    may_have_run: bool = True


@dataclass(slots=True)
class ClientTry:
    """One try of a client's request, as a router has it."""

    name: str
    klass: RequestClass
    deadline: float
    attempts: list[SentAttempt] = field(default_factory=list)
    answers: int = 0
    client_gone: bool = False  # its client has left, or its router was killed


class RuleMonitor:
    """Watches all tries of a run."""

    def __init__(self, measure: Measure, max_attempts: int, stop_sending_within_ms: float) -> None:
        self.measure, self.max_attempts = measure, max_attempts
        self.stop_sending_within_ms = stop_sending_within_ms

    def record_send(
        self,
        client_try: ClientTry,
        now: float,
        node: int,
        name: str,
        zone: int,
        cell: int,
        drain_known_since: float | None,
    ) -> SentAttempt:
        """An attempt is sent; `drain_known_since` is since when its router knows that the node wants nothing
        new.
        """
        say = self.measure.record_violation
        if client_try.answers:
            say("effect", client_try.name, name, now, "sent after the final answer")
        if any(one.in_flight for one in client_try.attempts):
            say("effect", client_try.name, name, now, "sent while another attempt was out")
        if len(client_try.attempts) >= self.max_attempts:
            say(
                "effect",
                client_try.name,
                name,
                now,
                f"attempt {len(client_try.attempts) + 1} of {self.max_attempts}",
            )
        if drain_known_since is not None and now - drain_known_since > self.stop_sending_within_ms:
            say(
                "drains",
                client_try.name,
                name,
                now,
                f"sent {now - drain_known_since:.0f} ms after its router was told",
            )
        fault = self._find_repeat_violation(client_try, now, zone, cell)
        if fault:
            say("effect", client_try.name, name, now, fault)
        sent = SentAttempt(now, node, zone, cell)
        client_try.attempts.append(sent)
        return sent

    @staticmethod
    def _find_repeat_violation(client_try: ClientTry, now: float, zone: int, cell: int) -> str:
        """What is wrong with repeating a request that may have run; empty if nothing is."""
        klass = client_try.klass
        if klass.effect is Effect.RETRYABLE:
            return ""
        for one in client_try.attempts:
            if not one.may_have_run:
                continue
            if klass.effect is Effect.FRAGILE:
                return "repeated, though it may have run"
            if now - one.sent_at > klass.repeat_window_ms:
                return f"repeated {now - one.sent_at:.0f} ms after an attempt that may have run"
            same = {Group.ALL: True, Group.ZONE: zone == one.zone, Group.CELL: cell == one.cell}
            if not same[klass.group]:
                return f"repeated outside its {klass.group.value}"
        return ""

    def record_outcome(self, sent: SentAttempt, result: Result) -> None:
        """An attempt has its end."""
        sent.in_flight = False
        if result in NEVER_RAN:
            sent.may_have_run = False

    def record_answer(self, client_try: ClientTry, now: float, refused: bool, name: str) -> None:
        """A final answer was given."""
        client_try.answers += 1
        if client_try.answers > 1:
            self.measure.record_violation("answered", client_try.name, name, now, "answered twice")
        if now > client_try.deadline + ANSWER_GRACE_MS and not client_try.client_gone:
            late = now - client_try.deadline
            self.measure.record_violation(
                "answered", client_try.name, name, now, f"answered {late:.0f} ms late"
            )
        may_have_run = any(one.may_have_run for one in client_try.attempts)
        klass = client_try.klass
        harmful = klass.effect is Effect.FRAGILE or (
            klass.effect is Effect.DEDUP and klass.group is not Group.ALL
        )
        if refused and may_have_run and harmful:
            self.measure.record_violation(
                "effect", client_try.name, name, now, "refused, though it may have run"
            )

    def check_finished(self, client_try: ClientTry, now: float, name: str) -> None:
        """The run has ended, long after all deadlines."""
        if not client_try.answers and not client_try.client_gone:
            self.measure.record_violation("answered", client_try.name, name, now, "never answered")

    def record_cold_overload(self, node: str, now: float) -> None:
        """A cold node was sent more than it could do, by all routers together, and fell over."""
        self.measure.cold_overloads += 1
        self.measure.record_violation("cold", "", node, now, "pushed over while it was cold")
