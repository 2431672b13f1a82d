"""The four rules, watched from the nodes' and the clients' side; what a router says of itself counts for
nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ...decisions.api import NEVER_RAN, Effect, Group, RequestClass, Result
from ..measure import Measure

GRACE = 50.0  # milliseconds after the deadline, as on sockets


@dataclass(slots=True)
class Sent:
    """One delivery attempt as it was sent."""

    at: float
    node: int
    zone: int
    cell: int
    out: bool = True
    may_have_run: bool = True


@dataclass(slots=True)
class Try:
    """One try of a client's request, as a router has it."""

    name: str
    klass: RequestClass
    deadline: float
    sent: list[Sent] = field(default_factory=list)
    answers: int = 0
    gone: bool = False  # its client has left, or its router was killed


class Monitor:
    """Watches all tries of a run."""

    def __init__(self, measure: Measure, max_attempts: int, stop_sending_within: float) -> None:
        self.measure, self.max_attempts = measure, max_attempts
        self.stop_sending_within = stop_sending_within

    def sending(
        self, tried: Try, now: float, node: int, name: str, zone: int, cell: int, told: float | None
    ) -> Sent:
        """An attempt is sent; `told` is since when its router knows that the node wants nothing new."""
        say = self.measure.broke
        if tried.answers:
            say("effect", tried.name, name, now, "sent after the final answer")
        if any(one.out for one in tried.sent):
            say("effect", tried.name, name, now, "sent while another attempt was out")
        if len(tried.sent) >= self.max_attempts:
            say("effect", tried.name, name, now, f"attempt {len(tried.sent) + 1} of {self.max_attempts}")
        if told is not None and now - told > self.stop_sending_within:
            say("drains", tried.name, name, now, f"sent {now - told:.0f} ms after its router was told")
        fault = self._repeat_fault(tried, now, zone, cell)
        if fault:
            say("effect", tried.name, name, now, fault)
        sent = Sent(now, node, zone, cell)
        tried.sent.append(sent)
        return sent

    @staticmethod
    def _repeat_fault(tried: Try, now: float, zone: int, cell: int) -> str:
        """What is wrong with repeating a request that may have run; empty if nothing is."""
        klass = tried.klass
        if klass.effect is Effect.RETRYABLE:
            return ""
        for one in tried.sent:
            if not one.may_have_run:
                continue
            if klass.effect is Effect.FRAGILE:
                return "repeated, though it may have run"
            if now - one.at > klass.repeat_window:
                return f"repeated {now - one.at:.0f} ms after an attempt that may have run"
            same = {Group.ALL: True, Group.ZONE: zone == one.zone, Group.CELL: cell == one.cell}
            if not same[klass.group]:
                return f"repeated outside its {klass.group.value}"
        return ""

    def outcome(self, sent: Sent, result: Result) -> None:
        """An attempt has its end."""
        sent.out = False
        if result in NEVER_RAN:
            sent.may_have_run = False

    def answered(self, tried: Try, now: float, refused: bool, name: str) -> None:
        """A final answer was given."""
        tried.answers += 1
        if tried.answers > 1:
            self.measure.broke("answered", tried.name, name, now, "answered twice")
        if now > tried.deadline + GRACE and not tried.gone:
            late = now - tried.deadline
            self.measure.broke("answered", tried.name, name, now, f"answered {late:.0f} ms late")
        may_have_run = any(one.may_have_run for one in tried.sent)
        klass = tried.klass
        harmful = klass.effect is Effect.FRAGILE or (
            klass.effect is Effect.DEDUP and klass.group is not Group.ALL
        )
        if refused and may_have_run and harmful:
            self.measure.broke("effect", tried.name, name, now, "refused, though it may have run")

    def over(self, tried: Try, now: float, name: str) -> None:
        """The run has ended, long after all deadlines."""
        if not tried.answers and not tried.gone:
            self.measure.broke("answered", tried.name, name, now, "never answered")

    def fell(self, node: str, now: float) -> None:
        """A cold node was sent more than it could do, by all routers together, and fell over."""
        self.measure.fell += 1
        self.measure.broke("cold", "", node, now, "pushed over while it was cold")
