"""Checks the four rules on the records of nodes and clients, independently of what routers report.

The rules are those of the model (`RuleMonitor`). One process records all attempts in order, and another one
the answers, so that an attempt counts as sent after an answer only if it arrived more than `CLOCK_SKEW_MS`
later. The checks allow for the lateness of the recording processes.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..measure import Measure
from ..model.router_settings import router_settings_for
from ..model.rule_monitor import ANSWER_GRACE_MS, ClientTry, RuleMonitor, SentAttempt
from .run_records import NodeAttemptRecord, RouterDowntime, TryRecord

CLOCK_SKEW_MS = 20.0
ANSWERED_OUTCOMES = ("served", "refused", "failed")


@dataclass(frozen=True, slots=True)
class RunObservations:
    """The records of nodes and clients in a run."""

    attempts: Iterable[NodeAttemptRecord]
    tries: Iterable[TryRecord]
    router_downtimes: Sequence[RouterDowntime] = ()
    nodes_late_ms: float = 0.0  # largest lateness of the nodes' records
    clients_late_ms: float = 0.0  # largest lateness of the clients' records
    max_pause_ms: float = 0.0  # the longest pause of a router, by which answers may be late


def check_rules(measure: Measure, observations: RunObservations) -> None:
    """Record all violations of a run in order of time."""
    experiment = measure.experiment
    nodes_late_ms = observations.nodes_late_ms
    stop_within = 1000.0 * experiment.stop_sending_within + ANSWER_GRACE_MS + nodes_late_ms
    monitor = RuleMonitor(measure, experiment.max_attempts, stop_within)
    classes = router_settings_for(experiment).classes
    attempts_by_request: dict[str, list[NodeAttemptRecord]] = {}
    for attempt in observations.attempts:
        attempts_by_request.setdefault(attempt.request_id, []).append(attempt)
    for record in observations.tries:
        client_try = ClientTry(
            record.request_id,
            classes[record.klass],
            record.deadline + observations.clients_late_ms + observations.max_pause_ms,
        )
        is_answer_due = _is_answer_due(record, observations.router_downtimes)
        replay = _TryReplay(monitor, record, client_try, is_answer_due, CLOCK_SKEW_MS + nodes_late_ms)
        replay.run(attempts_by_request.get(record.request_id, []))
    measure.violations.sort(key=lambda violation: violation.at)


def _is_answer_due(record: TryRecord, router_downtimes: Sequence[RouterDowntime]) -> bool:
    """Return whether the router had to answer a try.

    An answer is due if the request was sent completely, the client did not disconnect, and the router was not
    killed meanwhile.
    """
    if record.outcome in ("left", "crossed") or record.sent_at > record.ended_at:
        return False
    return not any(
        down.router == record.router and record.sent_at <= down.until and record.ended_at >= down.at
        for down in router_downtimes
    )


class _TryReplay:
    """Replays a try and its attempts to the rule monitor."""

    def __init__(
        self, monitor: RuleMonitor, record: TryRecord, client_try: ClientTry, is_answer_due: bool, skew: float
    ) -> None:
        self.monitor = monitor
        self.record = record
        self.client_try = client_try
        self.skew = skew
        self.router = f"router-{record.router}"
        self.is_answer_due = is_answer_due
        client_try.client_gone = not is_answer_due
        self._in_flight: list[tuple[NodeAttemptRecord, SentAttempt]] = []
        self._answered = False

    def run(self, attempts: list[NodeAttemptRecord]) -> None:
        """Report all events of the try to the monitor in order of time."""
        for attempt in sorted(attempts, key=lambda attempt: attempt.started_at):
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
        elif self.is_answer_due:
            self._record_unanswered()

    def _record_ended_by(self, at_ms: float) -> None:
        """Report the outcomes of attempts that ended by `at_ms`."""
        for attempt, sent in [pair for pair in self._in_flight if pair[0].ended_at <= at_ms]:
            self.monitor.record_outcome(sent, attempt.result)
            self._in_flight.remove((attempt, sent))

    def _record_answer(self) -> None:
        if self._answered:
            return
        self._answered = True
        record = self.record
        self.monitor.record_answer(self.client_try, record.ended_at, record.outcome == "refused", self.router)
        if record.surplus:
            self.monitor.record_answer(self.client_try, record.ended_at, False, self.router)

    def _record_unanswered(self) -> None:
        record = self.record
        if record.outcome == "broke":
            elapsed_ms = record.ended_at - record.sent_at
            connection = "the reused connection" if record.reused_connection else "the connection"
            text = f"{connection} ended {elapsed_ms:.1f} ms after the request without a complete answer"
        else:
            text = f"no answer by {record.ended_at - record.deadline:.0f} ms after its deadline"
        self.monitor.measure.record_violation(
            "answered", record.request_id, self.router, record.ended_at, text
        )
