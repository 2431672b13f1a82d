"""The process of the stand-ins: all cache nodes, the origin and discovery of a run on one loop. One process
is enough: 1,000 requests a second, with 1,500 attempts, take it a third of a core.

It hears `{"experiment", "seed", "result"}`, says where discovery listens and what routers hold at first,
hears `{"begin": milliseconds on the monotonic clock}` and `{"end": true}`, and leaves a `Seen`.
"""

from __future__ import annotations

import time

from ... import logs
from ...net.loop import Loop
from ..experiment import Experiment
from ..measure import Measure
from .control import Peer, Words, hand_over, many_sockets, settle
from .records import Seen
from .world import LiveWorld


class StandIns:
    """One run's stand-ins."""

    def __init__(self) -> None:
        self.loop = Loop()
        self.world: LiveWorld
        self._result = ""
        self._cpu = 0.0
        self.peer = Peer(self.loop, self._heard)

    def _heard(self, words: Words) -> None:
        if "experiment" in words:
            self._set_up(words)
        elif "begin" in words:
            self._cpu = time.process_time()
            self.world.begin(words["begin"])
        elif "end" in words:
            hand_over(self._result, self._seen())
            self.peer.tell({"done": True})

    def _set_up(self, words: Words) -> None:
        experiment = Experiment.model_validate_json(words["experiment"])
        self._result = words["result"]
        self.world = world = LiveWorld(self.loop, experiment, words["seed"], Measure(experiment))
        world.open()
        settle()
        known = [world.listing.held(zone) for zone in range(world.listing.zones)]
        doors = [door.port for door in world.listing.doors]
        self.peer.tell({"discovery": doors, "known": known})

    def _seen(self) -> Seen:
        world, measure = self.world, self.world.measure
        return Seen(
            attempts=world.attempts,
            seconds=measure.seconds,
            spans=measure.spans,
            broken=measure.broken,
            fell=measure.fell,
            late=world.pace.pulse.lateness(),
            cpu_s=time.process_time() - self._cpu,
            events=world.kernel.events,
            faults=self.loop.faults,
        )


def main() -> None:
    """Serve until who started us has gone."""
    logs.set_up()
    many_sockets()
    StandIns().loop.run()


if __name__ == "__main__":
    main()
