"""Injects faults into the links between real processes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TypedDict, Unpack

from .fault_handlers import FaultHandler
from .fault_plan import Fault, FaultName
from .forwarder import Forwarder, LinkFaults
from .process_cluster import ProcessCluster


class _LinkFaultSettings(TypedDict, total=False):
    """The fields of `LinkFaults` that a fault sets."""

    drops_requests: bool
    drops_replies: bool
    delay_ms: float
    bytes_per_second: float
    duplication_rate: float
    reordering_rate: float
    loss_rate: float


@dataclass(frozen=True, slots=True)
class _Link:
    """A link of a process, and whether that process is the caller."""

    forwarder: Forwarder
    is_caller: bool


class LinkFaultInjector:
    """Sets the faults of forwarders, and resets each when its length in time is over."""

    def __init__(self, cluster: ProcessCluster) -> None:
        self._cluster = cluster
        self._loop = cluster.loop

    def handlers(self) -> dict[FaultName, FaultHandler]:
        """Return the handlers of all link faults."""
        return {
            FaultName.CUT: self._cut,
            FaultName.CUT_ONE_WAY: self._cut_one_way,
            FaultName.ISOLATE: self._isolate,
            FaultName.SPLIT: self._split,
            FaultName.MINORITY: self._split,
            FaultName.DEAF: self._deafen,
            FaultName.REFUSE: self._refuse,
            FaultName.HALF_OPEN: self._freeze,
            FaultName.SLOW: self._slow_down,
            FaultName.TRICKLE: self._trickle,
            FaultName.DUPLICATE: self._duplicate,
            FaultName.REORDER: self._reorder,
            FaultName.LOSE: self._lose,
        }

    def heal_all(self) -> None:
        """End all link faults, and accept connections on all links."""
        for link in self._cluster.links.values():
            link.faults = LinkFaults()
            link.open()

    def isolate_replicas(self, names: Iterable[str], duration_s: float) -> None:
        """Cut replicas off from all clients for `duration_s` seconds; replicas still reach each other."""
        isolated = set(names)
        replicas = self._cluster.replicas
        links = [
            link
            for (caller, replica), link in self._cluster.links.items()
            if replica in isolated and caller not in replicas
        ]
        self._apply(links, duration_s, drops_requests=True, drops_replies=True)

    def _apply(
        self, links: Iterable[Forwarder], duration_s: float, **settings: Unpack[_LinkFaultSettings]
    ) -> None:
        affected = list(links)
        for link in affected:
            for field_name, value in settings.items():
                setattr(link.faults, field_name, value)

        def heal() -> None:
            healthy = LinkFaults()
            for link in affected:
                for field_name in settings:
                    setattr(link.faults, field_name, getattr(healthy, field_name))

        self._loop.call_after(1000.0 * duration_s, heal)

    def _links_between(self, first: str, second: str) -> Iterator[_Link]:
        """Yield the links between two processes, as seen from the first one."""
        for ends, is_caller in (((first, second), True), ((second, first), False)):
            if ends in self._cluster.links:
                yield _Link(self._cluster.links[ends], is_caller)

    def _links_of(self, name: str) -> Iterator[_Link]:
        for (caller, replica), link in self._cluster.links.items():
            if name in (caller, replica):
                yield _Link(link, caller == name)

    def _forwarders_between(self, fault: Fault) -> list[Forwarder]:
        return [link.forwarder for link in self._links_between(*fault.target)]

    def _forwarders_of(self, fault: Fault) -> list[Forwarder]:
        return [link.forwarder for link in self._links_of(fault.target[0])]

    def _cut(self, _number: int, fault: Fault) -> None:
        self._apply(self._forwarders_between(fault), fault.length, drops_requests=True, drops_replies=True)

    def _cut_one_way(self, _number: int, fault: Fault) -> None:
        cuts_to_first = self._cluster.rng.random() < 0.5
        for link in self._links_between(*fault.target):
            if link.is_caller is cuts_to_first:
                self._apply([link.forwarder], fault.length, drops_replies=True)
            else:
                self._apply([link.forwarder], fault.length, drops_requests=True)

    def _isolate(self, _number: int, fault: Fault) -> None:
        self._apply(self._forwarders_of(fault), fault.length, drops_requests=True, drops_replies=True)

    def _split(self, _number: int, fault: Fault) -> None:
        side = set(fault.target)
        links = [
            link
            for (caller, replica), link in self._cluster.links.items()
            if (caller in side) != (replica in side)
        ]
        self._apply(links, fault.length, drops_requests=True, drops_replies=True)

    def _deafen(self, _number: int, fault: Fault) -> None:
        calls = [link.forwarder for link in self._links_of(fault.target[0]) if link.is_caller]
        self._apply(calls, fault.length, drops_replies=True)

    def _refuse(self, _number: int, fault: Fault) -> None:
        for link in self._forwarders_between(fault):
            link.refuse()
            self._loop.call_after(1000.0 * fault.length, link.open)

    def _freeze(self, _number: int, fault: Fault) -> None:
        for link in self._forwarders_between(fault):
            link.freeze()

    def _slow_down(self, _number: int, fault: Fault) -> None:
        self._apply(self._forwarders_between(fault), fault.length, delay_ms=1000.0 * fault.amount)

    def _trickle(self, _number: int, fault: Fault) -> None:
        self._apply(self._forwarders_between(fault), fault.length, bytes_per_second=fault.amount)

    def _duplicate(self, _number: int, fault: Fault) -> None:
        self._apply(self._forwarders_of(fault), fault.length, duplication_rate=fault.amount)

    def _reorder(self, _number: int, fault: Fault) -> None:
        self._apply(self._forwarders_of(fault), fault.length, reordering_rate=fault.amount)

    def _lose(self, _number: int, fault: Fault) -> None:
        self._apply(self._forwarders_of(fault), fault.length, loss_rate=fault.amount)
