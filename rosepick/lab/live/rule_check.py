"""The four rules, judged from what nodes and clients saw; what a router says of itself counts for nothing.

The rules are the model's own (`world.rules`), which is fed here with what was recorded on sockets. One
process sees all attempts, in their order. Another one sees the answers, so an attempt counts as sent after an
answer only if it came by more than `SKEW` later. By what a process was late itself no router is judged.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..experiment import Experiment
from ..measure import Measure
from ..model.router_settings import router_settings_for
from ..model.rule_monitor import ANSWER_GRACE_MS, ClientTry, RuleMonitor, SentAttempt
from .run_records import NodeAttemptRecord, RouterDowntime, TryRecord

CLOCK_SKEW_MS = 20.0  # milliseconds
ANSWERED_OUTCOMES = ("served", "refused", "failed")


def check_rules(
    experiment: Experiment,
    measure: Measure,
    attempts: Iterable[NodeAttemptRecord],
    tries: Iterable[TryRecord],
    router_downtimes: Sequence[RouterDowntime] = (),
    nodes_late_ms: float = 0.0,
    clients_late_ms: float = 0.0,
) -> None:
    """Note all broken rules, in the order of their times. The stand-ins and the clients may have seen what
    happened so many milliseconds late.
    """
    stop_within = 1000.0 * experiment.stop_sending_within + ANSWER_GRACE_MS + nodes_late_ms
    monitor = RuleMonitor(measure, experiment.max_attempts, stop_within)
    classes = router_settings_for(experiment).classes
    sent: dict[str, list[NodeAttemptRecord]] = {}
    for attempt in attempts:
        sent.setdefault(attempt.request_id, []).append(attempt)
    for tried in tries:
        one = ClientTry(tried.request_id, classes[tried.klass], tried.deadline + clients_late_ms)
        course = _TryReplay(
            monitor, tried, one, _is_answer_owed(tried, router_downtimes), CLOCK_SKEW_MS + nodes_late_ms
        )
        course.replay(sent.get(tried.request_id, []))
    measure.violations.sort(key=lambda broken: broken.at)


def _is_answer_owed(record: TryRecord, router_downtimes: Sequence[RouterDowntime]) -> bool:
    """Whether its router owed it an answer: it was sent whole, its client stayed, and the router was not
    killed meanwhile.
    """
    if record.outcome in ("left", "crossed") or record.sent_at > record.ended_at:
        return False
    return not any(
        down.router == record.router and record.sent_at <= down.until and record.ended_at >= down.at
        for down in router_downtimes
    )


class _TryReplay:
    """One try with its attempts."""

    def __init__(
        self, monitor: RuleMonitor, record: TryRecord, client_try: ClientTry, answer_owed: bool, skew: float
    ) -> None:
        self.monitor, self.record, self.client_try, self.skew = monitor, record, client_try, skew
        self.router = f"router-{record.router}"
        self.answer_owed = answer_owed
        client_try.client_gone = not answer_owed
        self._in_flight: list[tuple[NodeAttemptRecord, SentAttempt]] = []
        self._answered = False

    def replay(self, attempts: list[NodeAttemptRecord]) -> None:
        """Feed the rules with what happened, in its order."""
        for attempt in sorted(attempts, key=lambda each: each.started_at):
            if (
                self.record.outcome in ANSWERED_OUTCOMES
                and self.record.ended_at + self.skew < attempt.started_at
            ):
                self._record_answer()
            self._record_ended_by(attempt.started_at)
            sent = SentAttempt(
                sent_at=attempt.started_at,
                node=attempt.node,
                node_name=attempt.node_name,
                zone=attempt.zone,
                cell=attempt.cell,
                drain_known_since=attempt.drain_known_since,
            )
            self.monitor.record_send(self.client_try, sent)
            self._in_flight.append((attempt, sent))
        self._record_ended_by(self.record.ended_at + self.skew)
        if self.record.outcome in ANSWERED_OUTCOMES:
            self._record_answer()
        elif self.answer_owed:
            self._record_unanswered()

    def _record_ended_by(self, when: float) -> None:
        """Attempts that had their end by then."""
        for attempt, sent in [pair for pair in self._in_flight if pair[0].ended_at <= when]:
            self.monitor.record_outcome(sent, attempt.result)
            self._in_flight.remove((attempt, sent))

    def _record_answer(self) -> None:
        if self._answered:
            return
        self._answered = True
        tried = self.record
        self.monitor.record_answer(self.client_try, tried.ended_at, tried.outcome == "refused", self.router)
        if tried.surplus:
            self.monitor.record_answer(self.client_try, tried.ended_at, False, self.router)

    def _record_unanswered(self) -> None:
        tried = self.record
        if tried.outcome == "broke":
            after = tried.ended_at - tried.sent_at
            which = "the kept connection" if tried.reused_connection else "the connection"
            text = f"{which} ended {after:.1f} ms after the request, without a whole answer"
        else:
            text = f"no answer by {tried.ended_at - tried.deadline:.0f} ms after its deadline"
        self.monitor.measure.record_violation("answered", tried.request_id, self.router, tried.ended_at, text)
