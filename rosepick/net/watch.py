"""The discovery watch: one long poll after another on a connection that is kept.

A watch may fall silent without a word, and what it misses then counts as told all the same, `TOLD_BY` after
discovery had it and could be reached. `oldest` is how long that may take here, as the sum of its terms.
"""

from __future__ import annotations

import errno
import logging
from collections.abc import Callable

from ..connections.descriptors import Use
from ..http.discovery import CallFailed, Told, call
from ..logs import fault, say
from ..settings.reader import Reader
from .budget import Budget
from .loop import READ, WRITE, Loop, Timer
from .stream import Stream, dial

log = logging.getLogger(__name__)
FIRST_WAIT = 0.0  # a new watch first asks what it has missed, without waiting
WAIT = 2_500.0  # of a long poll: that a watch is silent is seen only after it
LATE = 1_500.0  # beyond that wait, on a connection that answered before
TURN = 3_000.0  # for the first answer of a new watch: all routers may ask anew, and calls take turns
DIAL = 1_000.0  # for the connection to come up: the system sends its first packet again after a second
TOLD_BY = 6_000.0  # after which a change counts as told, whatever became of the calls


def oldest(first: float, last: float, step: float) -> float:
    """The longest from a change that discovery has, and can be reached for, to the call that tells of it, in
    milliseconds. `first`, `last`: what the module lets pass before it calls again, after one failed call and
    at most; `step`: of its timer. The call itself has the rest.
    """
    silent = WAIT + LATE + first  # a long poll that fell silent as it was made
    back = TURN + last  # discovery is back just after a call was made, which is never answered
    return max(silent, back) + step + DIAL


class DiscoveryWatch:
    """Follows the transport map once it is told to; a failure ends the watch."""

    def __init__(
        self,
        loop: Loop,
        budget: Budget,
        endpoint: tuple[str, int],
        revision: Callable[[], int],
        told: Callable[[Reader], None],
        failed: Callable[[], None],
    ) -> None:
        self.loop, self.budget, self.endpoint = loop, budget, endpoint
        self.revision, self.told, self.failed = revision, told, failed
        self.on = False
        self._stream: Stream | None = None
        self._dialing = False
        self._asking = b""
        self._answer = Told()
        self._silence: Timer | None = None
        self._patience = 0.0  # for the answer, once the call can be written
        self._anew = False  # the whole list is asked for until one has come

    def watch(self, on: bool) -> None:
        """Follow changes from now on, or no more. A watch that runs goes on as it is."""
        if on and not self.on:
            self.on = True
            self._call(FIRST_WAIT)
        elif not on:
            self._stop()

    def move(self, endpoint: tuple[str, int]) -> None:
        """Follow another discovery from now on. Its whole list is asked for: guards against a revision held
        that means something else there. The held list stands until then, and nothing has failed.
        """
        self._stop()
        self.endpoint, self.on, self._anew = endpoint, True, True
        self._call(FIRST_WAIT)

    def _call(self, wait: float) -> None:
        """The next call, from the revision held unless it is to be for the whole list."""
        host = f"{self.endpoint[0]}:{self.endpoint[1]}"
        self._asking = call(host, None if self._anew else self.revision(), wait)
        self._answer = Told()
        self._patience = wait + LATE if wait else TURN
        try:
            if self._stream is None:
                self._dial()
            else:
                self._wait_for(self._patience, "silent")
                self._write()
        except OSError as problem:
            self._fail(str(problem))

    def _wait_for(self, span: float, reason: str) -> None:
        """The call fails after so many milliseconds without its next step."""
        if self._silence is not None:
            self._silence.cancel()
        self._silence = self.loop.after(span, lambda: self._fail(reason))

    def _dial(self) -> None:
        """Clients that hold all descriptors give one up for this: without a list there is no next hop."""
        if not self.budget.room(Use.DISCOVERY):
            raise OSError(errno.EMFILE, "no descriptor for discovery")
        self._wait_for(DIAL, "no connection")
        self._dialing = True
        sock = dial(self.endpoint, self.budget.free_one)
        self._stream = Stream(self.loop, self.budget, sock, self._ready, WRITE, Use.DISCOVERY)

    def _ready(self, mask: int) -> None:
        stream = self._stream
        if stream is None:
            return
        try:
            if self._dialing:
                stream.connected()
                self._dialing = False
                self._wait_for(self._patience, "silent")
                stream.want(READ)
                self._write()
            elif mask & READ:
                self._read(stream)
            else:
                self._write()
        except (OSError, CallFailed, ValueError) as problem:
            self._fail(str(problem))
        except Exception as problem:
            self.loop.faults += 1
            fault(log, "discovery_fault", problem, count=self.loop.faults)
            self._fail("fault")

    def _write(self) -> None:
        assert self._stream is not None
        if self._asking:
            self._asking = self._asking[self._stream.write(self._asking) :]
            self._stream.want(READ | WRITE if self._asking else READ)

    def _read(self, stream: Stream) -> None:
        data = stream.read()
        if data is None:
            return
        told = self._answer.feed(data) if data else self._answer.ended()
        if told is None:
            return
        listed, reusable = told
        if self._silence is not None:
            self._silence.cancel()  # before the list is applied, which may take its time
        if not reusable or not data:
            self._close()
        self.told(listed)  # ValueError if it is malformed
        self._anew = False
        if self.on:
            self._call(WAIT)

    def _fail(self, reason: str) -> None:
        say(log, logging.WARNING, "discovery_failed", reason=reason)
        self._stop()
        self.failed()

    def _stop(self) -> None:
        self.on = False
        if self._silence is not None:
            self._silence.cancel()
        self._close()

    def _close(self) -> None:
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.close()
