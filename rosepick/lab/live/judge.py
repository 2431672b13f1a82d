"""The four rules, judged from what nodes and clients saw; what a router says of itself counts for nothing.

The rules are the model's own (`world.rules`), which is fed here with what was recorded on sockets. One
process sees all attempts, in their order. Another one sees the answers, so an attempt counts as sent after an
answer only if it came by more than `SKEW` later. By what a process was late itself no router is judged.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..experiment import Experiment
from ..measure import Measure
from ..world.rules import GRACE, Monitor, Sent, Try
from ..world.settings import settings_of
from .records import Attempt, Down, Tried

SKEW = 20.0  # milliseconds
ANSWERS = ("served", "refused", "failed")


def judge(
    experiment: Experiment,
    measure: Measure,
    attempts: Iterable[Attempt],
    tries: Iterable[Tried],
    downs: Sequence[Down] = (),
    nodes_late: float = 0.0,
    clients_late: float = 0.0,
) -> None:
    """Note all broken rules, in the order of their times. The stand-ins and the clients may have seen what
    happened so many milliseconds late.
    """
    stop_within = 1000.0 * experiment.stop_sending_within + GRACE + nodes_late
    monitor = Monitor(measure, experiment.max_attempts, stop_within)
    classes = settings_of(experiment).classes
    sent: dict[str, list[Attempt]] = {}
    for attempt in attempts:
        sent.setdefault(attempt.request, []).append(attempt)
    for tried in tries:
        one = Try(tried.request, classes[tried.klass], tried.deadline + clients_late)
        course = _Course(monitor, tried, one, _is_owed(tried, downs), SKEW + nodes_late)
        course.judge(sent.get(tried.request, []))
    measure.broken.sort(key=lambda broken: broken.at)


def _is_owed(tried: Tried, downs: Sequence[Down]) -> bool:
    """Whether its router owed it an answer: it was sent whole, its client stayed, and the router was not
    killed meanwhile.
    """
    if tried.how in ("left", "crossed") or tried.sent > tried.ended:
        return False
    return not any(
        down.router == tried.router and tried.sent <= down.until and tried.ended >= down.at for down in downs
    )


class _Course:
    """One try with its attempts."""

    def __init__(self, monitor: Monitor, tried: Tried, one: Try, owed: bool, skew: float) -> None:
        self.monitor, self.tried, self.one, self.skew = monitor, tried, one, skew
        self.router = f"router-{tried.router}"
        self.owed = owed
        one.gone = not owed
        self._out: list[tuple[Attempt, Sent]] = []
        self._answered = False

    def judge(self, attempts: list[Attempt]) -> None:
        """Feed the rules with what happened, in its order."""
        for attempt in sorted(attempts, key=lambda each: each.begin):
            if self.tried.how in ANSWERS and self.tried.ended + self.skew < attempt.begin:
                self._answer()
            self._ended_by(attempt.begin)
            sent = self.monitor.sending(
                self.one, attempt.begin, attempt.node, attempt.name, attempt.zone, attempt.cell, attempt.told
            )
            self._out.append((attempt, sent))
        self._ended_by(self.tried.ended + self.skew)
        if self.tried.how in ANSWERS:
            self._answer()
        elif self.owed:
            self._unanswered()

    def _ended_by(self, when: float) -> None:
        """Attempts that had their end by then."""
        for attempt, sent in [pair for pair in self._out if pair[0].end <= when]:
            self.monitor.outcome(sent, attempt.result)
            self._out.remove((attempt, sent))

    def _answer(self) -> None:
        if self._answered:
            return
        self._answered = True
        tried = self.tried
        self.monitor.answered(self.one, tried.ended, tried.how == "refused", self.router)
        if tried.again:
            self.monitor.answered(self.one, tried.ended, False, self.router)

    def _unanswered(self) -> None:
        tried = self.tried
        if tried.how == "broke":
            after = tried.ended - tried.sent
            which = "the kept connection" if tried.kept else "the connection"
            text = f"{which} ended {after:.1f} ms after the request, without a whole answer"
        else:
            text = f"no answer by {tried.ended - tried.deadline:.0f} ms after its deadline"
        self.monitor.measure.broke("answered", tried.request, self.router, tried.ended, text)
