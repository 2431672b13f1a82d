"""The simulated network between processes and replicas, and the faults that can affect it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from ...consensus import messages as m
from .simulation import SimulatedProcess, Simulation

MAX_REORDER_DELAY_TTLS = 0.6  # extra delay of a reordered message, in multiples of the lease's time to live


class SimulatedServer(SimulatedProcess, ABC):
    """A process that receives requests of the quorum protocol."""

    @abstractmethod
    def handle_request(self, request: m.QuorumRequest, send_reply: Callable[[m.QuorumReply], None]) -> None:
        """Handle a request, and call `send_reply` when the reply may leave the process."""


@dataclass(frozen=True, slots=True)
class _LinkDelay:
    ends: frozenset[str]
    delay_s: float


@dataclass(frozen=True, slots=True)
class _MessageFault:
    """A fault that affects each message from or to a process with a probability."""

    process: str
    probability: float


@dataclass(slots=True)
class NetworkFaults:
    """The active faults, keyed by their index in the fault plan."""

    cuts: dict[int, frozenset[tuple[str, str]]] = field(default_factory=dict)  # (source, target) pairs
    delays: dict[int, _LinkDelay] = field(default_factory=dict)
    losses: dict[int, _MessageFault] = field(default_factory=dict)
    duplicates: dict[int, _MessageFault] = field(default_factory=dict)
    reorderings: dict[int, _MessageFault] = field(default_factory=dict)

    def cut(self, number: int, pairs: Iterable[tuple[str, str]]) -> None:
        """Lose all messages from the first to the second process of each pair."""
        self.cuts[number] = frozenset(pairs)

    def delay(self, number: int, ends: Iterable[str], delay_s: float) -> None:
        """Delay all messages between two processes."""
        self.delays[number] = _LinkDelay(frozenset(ends), delay_s)

    def lose(self, number: int, process: str, probability: float) -> None:
        """Lose some messages from and to a process."""
        self.losses[number] = _MessageFault(process, probability)

    def duplicate(self, number: int, process: str, probability: float) -> None:
        """Deliver some messages from and to a process twice."""
        self.duplicates[number] = _MessageFault(process, probability)

    def reorder(self, number: int, process: str, probability: float) -> None:
        """Deliver some messages from and to a process late, after messages sent later."""
        self.reorderings[number] = _MessageFault(process, probability)

    def remove(self, number: int) -> None:
        """End a fault if it is active."""
        for table in (self.cuts, self.delays, self.losses, self.duplicates, self.reorderings):
            table.pop(number, None)


class SimulatedNetwork:
    """Delivers requests and replies, with delays and faults."""

    def __init__(self, simulation: Simulation) -> None:
        self.faults = NetworkFaults()
        self.servers: Mapping[str, SimulatedServer] = {}
        self._simulation = simulation

    def send_request(
        self,
        source: SimulatedProcess,
        server: SimulatedServer,
        request: m.QuorumRequest,
        on_reply: Callable[[str, m.QuorumReply], None],
    ) -> None:
        """Send a request; `on_reply` gets the server's name and reply unless the source was killed before."""
        incarnation = source.incarnation

        def send_reply(reply: m.QuorumReply) -> None:
            def receive_reply() -> None:
                if source.incarnation == incarnation and source.running:
                    on_reply(server.name, reply)

            self._deliver(server.name, source, receive_reply)

        def receive_request() -> None:
            if server.running:
                server.handle_request(request, send_reply)

        self._deliver(source.name, server, receive_request)

    def _deliver(self, source: str, target: SimulatedProcess, on_arrival: Callable[[], None]) -> None:
        simulation = self._simulation
        faults = self.faults
        rng = simulation.rng
        ends = (source, target.name)
        ttl_s = simulation.config.lease_ttl_s
        delay_s = rng.uniform(*simulation.config.network_delay_s)
        if any(ends in pairs for pairs in faults.cuts.values()):
            return
        if self._draws_any(faults.losses, ends):
            return
        if faults.delays:
            link = frozenset(ends)
            delay_s += sum(delay.delay_s for delay in faults.delays.values() if delay.ends == link)
        if self._draws_any(faults.reorderings, ends):
            delay_s += rng.uniform(0.0, MAX_REORDER_DELAY_TTLS * ttl_s)
        simulation.schedule(simulation.now + delay_s, target, on_arrival)
        if self._draws_any(faults.duplicates, ends):
            second_delay_s = rng.uniform(0.0, ttl_s)
            simulation.schedule(simulation.now + delay_s + second_delay_s, target, on_arrival)

    def _draws_any(self, faults: Mapping[int, _MessageFault], ends: tuple[str, str]) -> bool:
        """Return whether any fault affects a message; draw for each in turn until one does."""
        rng = self._simulation.rng
        return any(fault.process in ends and rng.random() < fault.probability for fault in faults.values())
