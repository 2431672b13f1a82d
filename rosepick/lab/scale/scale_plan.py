"""Plan of a scale run: the fleet, its load and the changes of its endpoint list. No I/O, no clock."""

from __future__ import annotations

import random
from dataclasses import asdict, dataclass
from typing import Any

NODE_LISTENERS = 8  # listening sockets that all cache nodes share
ORIGIN_UID = "s-origin"
ZONE_NAMES = ("a", "b", "c")
KILL_AFTER_DEADLINE_S = 0.7  # SIGKILL follows SIGTERM after the longest deadline and this time


@dataclass(frozen=True, slots=True)
class NodeReplacement:
    """Cache nodes that leave the endpoint list in steps; each step returns cold `away_s` seconds later."""

    at_s: float
    steps: int
    nodes_per_step: int
    away_s: float
    interval_s: float = 0.75


@dataclass(frozen=True, slots=True)
class RouterKill:
    """Routers that are killed at `at_s` seconds and started again after `down_s` seconds."""

    at_s: float
    down_s: float
    routers: int


def replace_two_thirds(nodes: int) -> tuple[NodeReplacement, ...]:
    """Return the replacement of two thirds of a fleet, in four steps within about five seconds."""
    return (NodeReplacement(at_s=1.0, steps=4, nodes_per_step=nodes // 6, away_s=2.5),)


@dataclass(frozen=True, slots=True)
class RouterSignals:
    """A series of signals to one router, which is killed and started again if SIGTERM is one of them.

    The kill comes at the earliest permitted time: the longest deadline and `KILL_AFTER_DEADLINE_S` after the
    first SIGTERM.
    """

    at_s: float
    router: int
    names: tuple[str, ...]  # such as SIGTERM
    spacing_s: float = 0.05


@dataclass(frozen=True, slots=True)
class ScalePlan:
    """Parameters of one run.

    `rate` is in requests per second for each router. `cpu_share` is the share of the time in which routers
    may run.
    """

    nodes: int
    routers: int = 1
    rate: float = 100.0
    length_s: float = 8.0
    deadline_s: float = 1.2
    seed: int = 1
    keys: int = 20_000
    hit_share: float = 0.8
    service_s: float = 0.004
    hang_share: float = 0.0  # probability that a cache node never answers an attempt
    cpu_share: float = 1.0
    replacements: tuple[NodeReplacement, ...] = ()
    kills: tuple[RouterKill, ...] = ()
    signals: tuple[RouterSignals, ...] = ()
    idle_clients: int = 0  # per router: connections that send nothing, reopened during the whole run
    crowd: str = ""  # how a crowd of clients misbehaves (`crowd.CROWD_KINDS`); empty for none
    crowd_clients: int = 0  # per router
    sockets: int = 1_024  # file descriptors that a router may use

    def sigterm_times(self, router: int) -> list[float]:
        """Return the times of the first SIGTERM of each series to a router, in seconds of the run."""
        series = [each for each in self.signals if each.router == router and "SIGTERM" in each.names]
        return [each.at_s + each.names.index("SIGTERM") * each.spacing_s for each in series]

    def summary(self) -> str:
        """Return a summary of the plan on one line."""
        parts = [
            f"{self.nodes} nodes, {self.routers} routers, {self.rate:.0f} a second each",
            f"deadline {self.deadline_s:g} s, processor {self.cpu_share:g}",
            f"{sum(each.steps * each.nodes_per_step for each in self.replacements)} nodes replaced",
            f"{sum(each.routers for each in self.kills)} routers killed",
            f"{len(self.signals)} get {' '.join(self.signals[0].names) if self.signals else 'no signals'}",
            f"{self.idle_clients} idle clients, {100 * self.hang_share:g}% of attempts hang",
            f"a crowd of {self.crowd_clients} sends {self.crowd}" if self.crowd else "no crowd",
        ]
        return "; ".join(parts)

    def to_document(self) -> dict[str, Any]:
        """Return the plan as a JSON object, for `plan_from_document`."""
        return asdict(self)


def plan_from_document(document: dict[str, Any]) -> ScalePlan:
    """Return the plan that `to_document` wrote."""
    replacements = tuple(NodeReplacement(**entry) for entry in document["replacements"])
    kills = tuple(RouterKill(**entry) for entry in document["kills"])
    signals = tuple(
        RouterSignals(**{**entry, "names": tuple(entry["names"])}) for entry in document["signals"]
    )
    return ScalePlan(**{**document, "replacements": replacements, "kills": kills, "signals": signals})


@dataclass(frozen=True, slots=True)
class ListChange:
    """A new revision of the endpoint list: the uids of nodes that leave and of nodes that return."""

    at_s: float
    left: tuple[str, ...]
    joined: tuple[str, ...]


class EndpointTimeline:
    """Computes the revisions of the endpoint list of a run.

    Args:
        plan: The plan, which contains the replacements.
        node_ports: The ports that the cache nodes share.
        origin_port: The port of the origin.
        unix_ms: The Unix time at which the run begins, in milliseconds.
    """

    FIRST_REVISION = 10

    def __init__(self, plan: ScalePlan, node_ports: list[int], origin_port: int, unix_ms: float) -> None:
        self._unix_ms = unix_ms
        self._ports = node_ports
        self._origin_port = origin_port
        self._uids = [f"s-{number:05d}" for number in range(plan.nodes)]
        self.changes = sorted(_draw_changes(plan, self._uids), key=lambda change: change.at_s)

    def revision_at(self, at_s: float) -> int:
        """Return the latest revision at a time of the run, in seconds."""
        return self.FIRST_REVISION + sum(change.at_s <= at_s for change in self.changes)

    def full_document(self, revision: int) -> dict[str, Any]:
        """Return the full list of a revision, in the format of the discovery service."""
        entries = {uid: self._endpoint_entry(uid) for uid in self._uids}
        for change in self.changes[: revision - self.FIRST_REVISION]:
            for uid in change.left:
                del entries[uid]
            for uid in change.joined:
                entries[uid] = self._endpoint_entry(uid, born_s=change.at_s)
        targets = [*entries.values(), self._origin_entry()]
        return {"rev": revision, "all": True, "targets": targets}

    def delta_document(self, after: int, revision: int) -> dict[str, Any]:
        """Return the changes after a revision up to another one, in the format of the discovery service."""
        entries: dict[str, dict[str, Any]] = {}
        for change in self.changes[after - self.FIRST_REVISION : revision - self.FIRST_REVISION]:
            for uid in change.left:
                entries[uid] = self._endpoint_entry(uid, state="left")
            for uid in change.joined:
                entries[uid] = self._endpoint_entry(uid, born_s=change.at_s)
        return {"rev": revision, "all": False, "targets": list(entries.values())}

    def _endpoint_entry(self, uid: str, state: str = "active", born_s: float | None = None) -> dict[str, Any]:
        number = int(uid[2:])
        return {
            "uid": uid,
            "endpoint": f"127.0.0.1:{self._ports[number % len(self._ports)]}",
            "az": ZONE_NAMES[number % len(ZONE_NAMES)],
            "model": "std",
            "pod_group": number % 16,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0 if born_s is None else int(self._unix_ms + 1000.0 * born_s),
        }

    def _origin_entry(self) -> dict[str, Any]:
        return {
            **self._endpoint_entry("s-00000"),
            "uid": ORIGIN_UID,
            "endpoint": f"127.0.0.1:{self._origin_port}",
        } | {"model": "origin"}


def _draw_changes(plan: ScalePlan, uids: list[str]) -> list[ListChange]:
    rng = random.Random(plan.seed)
    changes = []
    for replacement in plan.replacements:
        chosen = rng.sample(uids, min(len(uids), replacement.steps * replacement.nodes_per_step))
        for step in range(replacement.steps):
            uids_of_step = tuple(
                chosen[step * replacement.nodes_per_step : (step + 1) * replacement.nodes_per_step]
            )
            leave_s = replacement.at_s + step * replacement.interval_s
            changes.append(ListChange(leave_s, uids_of_step, ()))
            changes.append(ListChange(leave_s + replacement.away_s, (), uids_of_step))
    return changes
