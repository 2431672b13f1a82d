"""The replay of a capture: the module is fed again what it was fed, and its decisions are compared.

Where it decides as it did, it is fed what was recorded, to the letter. Where it decides otherwise, there is
no recorded answer to its choice; docs/capture.md says what it is fed instead.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import chain

from ..decisions import api
from ..decisions.api import Result, Scope
from ..decisions.decide import Router
from ..settings.config import Names
from . import lines
from .lines import Arrival, Due, Ended, Final, Gone, Header, Listed, Lost, Record, Sent

TOGETHER = 5.0  # milliseconds: an attempt called off so shortly before it was then is called off at that time
LATE = 250.0  # a timer may have been so late, at the end of the capture later than that
_ANSWERS = {200: "served", 503: "refused", 502: "failed", 504: "failed", 499: "gone", 500: "broke"}
_OWN_ENDS = (Result.CANCELLED, Result.MOOT)  # outcomes that the router itself brought about


class CannotReplay(Exception):
    """The capture and the settings do not go together."""


@dataclass(slots=True)
class Request:
    """A request as it was recorded and as it goes now."""

    arrival: Arrival
    sends: list[str] = field(default_factory=list)
    final: Final | None = None
    tries: list[Try] = field(default_factory=list)
    answer: int | None = None
    answered_at: float = 0.0

    def differs(self, ends: float) -> bool:
        """Whether the decisions are not the same, in a capture that ends at that time. Which failure is told
        is the clock's choice. Guards against a capture that is cut between an event and what came of it.
        """
        recorded = None if self.final is None else _ANSWERS.get(self.final.status)
        now = None if self.answer is None else _ANSWERS.get(self.answer)
        if self.final is None and self.answered_at >= ends:
            now = None
        last = self.tries[-1] if self.tries else None
        if self.final is not None and self.final.status == 200 and last is not None and last.out:
            recorded = now  # the answer is there, and the outcome that brought it is cut off
        sent = [one.uid for one in self.tries]
        if self.final is None and self.tries and self.tries[-1].sent >= ends and len(self.sends) < len(sent):
            sent.pop()
        return self.sends != sent or recorded != now

    def recorded(self) -> str:
        """The record as it stands in the capture, and whom it tried if that were several."""
        record = self.arrival if self.final is None else self.final
        return record.text().rstrip("\n") + _tried(self.sends)

    def replayed(self) -> str:
        """The same as it goes now."""
        uids = [one.uid for one in self.tries]
        if self.final is None or self.answer is None:
            end = "open" if self.answer is None else str(self.answer)
            return f"-> {uids[-1] if uids else lines.NONE} {end}" + _tried(uids)
        final = self.final._replace(uid=uids[-1] if uids else lines.NONE, status=self.answer)
        return final.text().rstrip("\n") + _tried(uids)


def _tried(uids: list[str]) -> str:
    return f" (tried {', '.join(uids)})" if len(uids) > 1 else ""


@dataclass(slots=True, eq=False)
class Try:
    """A delivery attempt of the replay."""

    server: int
    uid: str
    sent: float
    stop_at: float
    out: bool = True
    called_off: bool = False


@dataclass(slots=True)
class Report:
    """What a replay found."""

    compared: int = 0
    differing: list[Request] = field(default_factory=list)
    before: int = 0
    open: int = 0
    truncated: int = 0
    lost: int = 0
    pieces: int = 0
    headless: int = 0  # pieces without their begin: the module had learned what is not known here

    def lines(self) -> Iterator[str]:
        """Each record whose decision differs, as it was and as it is now; then the counts."""
        for request in self.differing:
            yield f"< {request.recorded()}"
            yield f"> {request.replayed()}"
        yield (
            f"compared {self.compared}, differing {len(self.differing)}, "
            f"begun before the capture {self.before}, still open at its end {self.open}, "
            f"truncated last lines {self.truncated}, records lost {self.lost}, pieces {self.pieces}, "
            f"of them without their begin {self.headless}"
        )


@dataclass(slots=True)
class Piece:
    """Records that follow on one another without a gap."""

    header: Header
    records: list[tuple[int, Record]] = field(default_factory=list)
    lines: int = 0

    def goes_on(self, header: Header) -> bool:
        """Whether a segment that begins so continues this."""
        mine = self.header
        return (mine.seed, mine.offset, mine.lines + self.lines) == (header.seed, header.offset, header.lines)

    def take(self, number: int, record: Record) -> None:
        self.records.append((number, record))
        self.lines += 1 + len(record.members) if isinstance(record, Listed) else 1


def pieces(records: Iterable[tuple[int, Record]]) -> list[Piece]:
    """The pieces of a capture: a new one begins where records are missing, as after a restart."""
    found: list[Piece] = []
    for number, record in records:
        if isinstance(record, Header):
            if not found or not found[-1].goes_on(record):
                found.append(Piece(record))
        elif not found:
            raise lines.BadLine(number)
        else:
            found[-1].take(number, record)
    return found


def replay(sources: Sequence[lines.Lines], settings: api.Settings, names: Names) -> Report:
    """Feed a capture, of one file or several that follow on one another, to the decisions under these
    settings. BadLine or CannotReplay if it cannot be.
    """
    report = Report()
    for piece in pieces(chain.from_iterable(sources)):
        report.pieces += 1
        report.headless += piece.header.lines > 0
        _Replay(piece, settings, names, report).run()
    report.truncated = sum(source.truncated for source in sources)
    return report


class _Replay:
    """One piece, fed to a module of its own."""

    def __init__(self, piece: Piece, settings: api.Settings, names: Names, report: Report) -> None:
        self.piece, self.settings, self.names, self.report = piece, settings, names, report
        self.router = Router(settings, piece.header.seed)
        self.requests: dict[int, Request] = {}
        self.by_id: dict[str, Request] = {}
        self.uids: dict[int, str] = {}
        self.now = piece.header.now
        self.ends = max((_time(record) for _, record in piece.records), default=self.now)
        # what is recorded and still to come: outcomes of attempts, and how often a timer falls due
        self.outcomes: dict[tuple[int, int], Ended] = {}
        self.dues: Counter[int] = Counter()
        self.sent: Counter[int] = Counter()
        for _, record in piece.records:
            match record:
                case Ended():
                    self.outcomes[record.ref, record.attempt] = record
                case Due():
                    self.dues[record.token] += 1
                case Sent():
                    self.sent[record.ref] += 1
        self.past: set[tuple[int, int]] = set()
        self.timers: dict[int, list[float]] = {}
        # what was not recorded: when, ends of attempts before timers, a number, what to do
        self.unrecorded: list[tuple[float, int, int, Callable[[], None]]] = []
        self.count = 0

    def run(self) -> None:
        header = self.piece.header
        if header.lines:  # its begin has given way: the module starts from the list as it was then
            self._list(Listed(header.now, Scope.FULL, header.version, header.members))
        for number, record in self.piece.records:
            self._catch_up(_time(record))
            self._take(number, record)
        for request in self.requests.values():
            self.report.compared += 1
            self.report.open += request.final is None
            if request.differs(self.ends):
                self.report.differing.append(request)

    def _take(self, number: int, record: Record) -> None:
        match record:
            case Arrival():
                self._arrive(number, record)
            case Sent() if record.ref in self.requests:
                self.requests[record.ref].sends.append(record.uid)
            case Ended():
                self._ended(record)
            case Gone():
                self._gone(record)
            case Due():
                self._due(record)
            case Listed():
                self._list(record)
            case Final():
                self._final(record)
            case Lost():
                self.report.lost += 1

    # --------------------------------------------------------------------------------- what was recorded

    def _arrive(self, number: int, record: Arrival) -> None:
        self.requests[record.ref] = self.by_id[record.req_id] = Request(record)
        klass = _place(self.names.classes, record.kind, number)
        tenant = _place(self.names.tenants, record.owner, number) if self.names.tenants else 0
        self._feed(record.now, lines.request(record, klass, tenant))

    def _final(self, record: Final) -> None:
        request = self.by_id.pop(record.req_id, None)
        if request is None:
            self.report.before += 1
        else:
            request.final = record

    def _gone(self, record: Gone) -> None:
        """What ended the request was not the module, and would have ended it now as well."""
        request = self.requests.get(record.ref)
        if request is not None:
            if request.answer is None:
                request.answer = request.final.status if request.final is not None else 499
                request.answered_at = self.now
            self._feed(record.now, api.ClientGone(record.ref))

    def _list(self, record: Listed) -> None:
        self.uids.update((member.server, uid) for member, uid in record.members)
        members = tuple(member for member, _ in record.members)
        self._feed(record.now, api.Members(record.scope, members, record.version))

    def _ended(self, record: Ended) -> None:
        """The recorded outcome of the attempt of that number, if that is out now."""
        self.past.add((record.ref, record.attempt))
        request = self.requests.get(record.ref)
        if request is None or record.attempt >= len(request.tries):
            return
        one = request.tries[record.attempt]
        if not one.out:
            return
        if record.result in _OWN_ENDS and not one.called_off:
            self._at(one.stop_at, lambda: self._outcome(request, one, Result.TIMEOUT), first=True)
            return
        self._outcome(request, one, record.result, record, record.now)

    def _due(self, record: Due) -> None:
        """A timer that falls due, if the module has set it now."""
        token = record.token
        self.dues[token] -= 1
        waiting = self.timers.get(token, [])
        if waiting and waiting[0] <= record.now:
            heapq.heappop(waiting)
            self._feed(record.now, api.Timer(token))
        if not self.dues[token]:
            for at in self.timers.pop(token, []):
                self._at(at, lambda: self._feed(self.now, api.Timer(token)))

    # ----------------------------------------------------------------------------- what was not recorded

    def _at(self, when: float, call: Callable[[], None], first: bool = False) -> None:
        self.count += 1
        heapq.heappush(self.unrecorded, (when, 0 if first else 1, self.count, call))

    def _catch_up(self, until: float) -> None:
        """What falls due before the next record. Not near the end: the capture may lack its record."""
        while self.unrecorded and self.unrecorded[0][0] < min(until, self.ends - LATE):
            when, _, _, call = heapq.heappop(self.unrecorded)
            self.now = max(self.now, when)
            call()

    # ----------------------------------------------------------------------------------------- the module

    def _feed(self, now: float, event: api.Event) -> None:
        self.now = max(self.now, now)
        try:
            actions = self.router.handle(now, event)
        except Exception:  # as the engine does
            actions = self.router.actions
        for action in actions:
            match action:
                case api.Send():
                    self._send(action)
                case api.SetTimer():
                    self._set(action)
                case api.Cancel():
                    self._cancel(action)
                case api.Refuse():
                    self._answer(action.ref, 503)
                case api.Fail():
                    self._answer(action.ref, None)

    def _set(self, action: api.SetTimer) -> None:
        token = action.token
        if self.dues[token]:
            heapq.heappush(self.timers.setdefault(token, []), action.at)
        else:
            self._at(action.at, lambda: self._feed(self.now, api.Timer(token)))

    def _answer(self, ref: int, status: int | None) -> None:
        request = self.requests.get(ref)
        if request is not None and request.answer is None:
            late = self.now >= request.arrival.deadline
            request.answer = status or (504 if late else 502)
            request.answered_at = self.now

    def _send(self, action: api.Send) -> None:
        request = self.requests.get(action.ref)
        if request is None:
            return
        deadline = request.arrival.deadline
        stop_at = min(deadline, action.stop_at or deadline)
        uid = self.uids.get(action.server, f"#{action.server}")
        number = len(request.tries)
        one = Try(action.server, uid, self.now, stop_at)
        request.tries.append(one)
        recorded = self.outcomes.get((action.ref, number))
        if recorded is None:
            if number >= self.sent[action.ref]:  # else the capture ends before its outcome
                self._at(stop_at, lambda: self._outcome(request, one, Result.TIMEOUT), first=True)
        elif (action.ref, number) in self.past:
            self._later(request, one, recorded)
        elif recorded.result is Result.MOOT:
            one.called_off = True

    def _later(self, request: Request, one: Try, recorded: Ended) -> None:
        """The attempt of that number had its outcome before this one went out: the same, after as long."""
        ends = one.sent + recorded.lag
        if recorded.result in _OWN_ENDS or ends >= one.stop_at:
            self._at(one.stop_at, lambda: self._outcome(request, one, Result.TIMEOUT), first=True)
        else:
            self._at(ends, lambda: self._outcome(request, one, recorded.result, recorded), first=True)

    def _cancel(self, action: api.Cancel) -> None:
        request = self.requests.get(action.ref)
        if request is None or action.attempt >= len(request.tries) or not request.tries[action.attempt].out:
            return
        one = request.tries[action.attempt]
        one.called_off = True
        place = action.ref, action.attempt
        recorded = self.outcomes.get(place)
        if recorded is None and action.attempt < self.sent[action.ref] and self.now > self.ends - LATE:
            return  # the capture ends before it
        together = recorded is not None and recorded.now <= self.now + TOGETHER
        if recorded is None or recorded.result is not Result.CANCELLED or place in self.past or not together:
            self._at(self.now, lambda: self._outcome(request, one, Result.CANCELLED), first=True)

    def _outcome(
        self,
        request: Request,
        one: Try,
        result: Result,
        recorded: Ended | None = None,
        now: float | None = None,
    ) -> None:
        """An attempt ends: at `now` as recorded, else as it has to be. One that serves ends its request."""
        if not one.out:
            return
        one.out = False
        number, over = request.tries.index(one), request.answer is not None
        serves = result is Result.OK and not over
        if serves:
            request.answer = 200
            request.answered_at = self.now
        # to the letter for the attempt that was recorded, else as things are now
        same = recorded is not None and now is not None and request.sends[number : number + 1] == [one.uid]
        when = self.now if now is None else now
        self._feed(
            when,
            api.Outcome(
                request.arrival.ref,
                number,
                one.server,
                result,
                serves or (over and (recorded is None or not same or recorded.closed)),
                0 if recorded is None else recorded.note,
                recorded.lag if recorded is not None and same else max(0.0, when - one.sent),
                spoilt=recorded is not None and recorded.spoilt,
            ),
        )


def _time(record: Record) -> float:
    """When; those that follow from another record have no time of their own."""
    return float("-inf") if isinstance(record, Sent | Final) else record.now


def _place(places: Mapping[str, int], name: str, number: int) -> int:
    """The place of a name as a line holds it."""
    for known, place in places.items():
        if lines.word(known.encode()) == name:
            return place
    raise CannotReplay(f"line {number}: {name} is not named in GW_CONFIG")
