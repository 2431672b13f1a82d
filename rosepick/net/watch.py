"""The discovery watch: one long poll after another on a connection that is kept."""

from __future__ import annotations

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
WAIT = 20_000.0
SILENCE = 5_000.0  # beyond the wait asked for: a call may wait its turn


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

    def watch(self, on: bool) -> None:
        """Follow changes from now on, or no more. A watch that runs goes on as it is."""
        if on and not self.on:
            self.on = True
            self._call(FIRST_WAIT)
        elif not on:
            self._stop()

    def move(self, endpoint: tuple[str, int]) -> None:
        """Follow another discovery from now on. Its whole list is asked for: guards against a revision held
        that means something else there. The held list stands until then, and nothing has failed."""
        self._stop()
        self.endpoint, self.on = endpoint, True
        self._call(FIRST_WAIT, whole=True)

    def _call(self, wait: float, whole: bool = False) -> None:
        """The next call, from the revision held unless it is to be for the whole list."""
        host = f"{self.endpoint[0]}:{self.endpoint[1]}"
        self._asking = call(host, None if whole else self.revision(), wait)
        self._answer = Told()
        self._silence = self.loop.after(wait + SILENCE, lambda: self._fail("silent"))
        try:
            if self._stream is None:
                self._dial()
            else:
                self._write()
        except OSError as problem:
            self._fail(str(problem))

    def _dial(self) -> None:
        self._dialing = True
        self._stream = Stream(self.loop, self.budget, dial(self.endpoint), self._ready, WRITE, Use.DISCOVERY)

    def _ready(self, mask: int) -> None:
        stream = self._stream
        if stream is None:
            return
        try:
            if self._dialing:
                stream.connected()
                self._dialing = False
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
            self._silence.cancel()
        if not reusable or not data:
            self._close()
        self.told(listed)  # ValueError if it is malformed
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
