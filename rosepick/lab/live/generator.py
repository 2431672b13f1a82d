"""The process of the clients: the load of a run, drawn ahead and sent when it is due, whatever the answers
do.

It hears `{"experiment", "seed", "ports", "result"}`, says `{"requests"}`, hears `{"begin": milliseconds on
the monotonic clock}`, and says `{"done"}` once all requests have their end, after it left an `Asked`.
"""

from __future__ import annotations

import time

from ... import logs
from ...net.loop import Loop
from ..experiment import Experiment
from ..world.requests import Request
from .clients import Clients
from .control import Peer, Words, hand_over, many_sockets, settle
from .pace import Pulse
from .plan import requests
from .records import Lateness


class Generator:
    """The load of one run."""

    def __init__(self) -> None:
        self.loop = Loop()
        self.pulse = Pulse(self.loop)
        self.clients: Clients
        self._plan: list[Request] = []
        self._next = 0
        self._late: list[float] = []
        self._result = ""
        self._cpu = 0.0
        self.peer = Peer(self.loop, self._heard)

    def _heard(self, words: Words) -> None:
        if "experiment" in words:
            experiment = Experiment.model_validate_json(words["experiment"])
            self._result = words["result"]
            self._plan = requests(experiment, words["seed"])
            self.clients = Clients(self.loop, experiment, words["seed"], words["ports"], self._done)
            settle()
            self.peer.tell({"requests": len(self._plan)})
        elif "begin" in words:
            self._cpu = time.process_time()
            self.clients.begin_at = words["begin"]
            self.pulse.start(words["begin"])
            self._set()

    def _set(self) -> None:
        if self._next < len(self._plan):
            self.clients.at(self._plan[self._next].due, self._come)
        else:
            self.clients.no_more()

    def _come(self) -> None:
        """Take up all that is due."""
        clients = self.clients
        while self._next < len(self._plan) and self._plan[self._next].due <= (now := clients.now()):
            request = self._plan[self._next]
            self._next += 1
            self._late.append(now - request.due)
            clients.come(request)
        self._set()

    def _done(self) -> None:
        clients, found = self.clients, self.clients.found
        clients.close()
        found.late, found.pauses = Lateness.of(self._late), self.pulse.lateness()
        found.waited = sum(pool.waited for pool in clients.pools)
        found.cpu_s, found.faults = time.process_time() - self._cpu, self.loop.faults
        hand_over(self._result, found)
        self.peer.tell({"done": True})


def main() -> None:
    """Send until all is over and who started us has gone."""
    logs.set_up()
    many_sockets()
    Generator().loop.run()


if __name__ == "__main__":
    main()
