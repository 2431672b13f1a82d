"""Injects the faults of an experiment at their times, and records what each fault affects."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial

from ..experiment import ExperimentError
from ..experiment_config import FaultConfig
from ..results import FaultSpan
from .nodes import SimulatedCacheNode, SimulatedNode
from .patch_campaign import PatchCampaign
from .simulation import Simulation

MAX_LISTED_NAMES = 8  # names that a description lists

RevertFault = Callable[[], None]


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """An active fault and the function that reverts it."""

    description: str  # what the fault affects
    revert: RevertFault


InjectFault = Callable[[Simulation, FaultConfig], InjectedFault]
NO_EXTRA_INJECTORS: Mapping[str, InjectFault] = {}


def schedule_faults(
    simulation: Simulation, extra_injectors: Mapping[str, InjectFault] = NO_EXTRA_INJECTORS
) -> None:
    """Schedule all faults of a simulation's experiment.

    `extra_injectors` holds, by kind, injectors for faults that only this simulation supports.

    Raises:
        ExperimentError: a fault has a kind that can be injected on sockets only.
    """
    injectors = {**_INJECTORS, **extra_injectors}
    faults = simulation.experiment.troubles
    errors = [
        f"troubles[{index}].kind {fault.kind!r} can be injected with --live only"
        for index, fault in enumerate(faults)
        if fault.kind not in injectors
    ]
    if errors:
        raise ExperimentError(tuple(errors))
    for fault in faults:
        simulation.kernel.call_at(
            1000.0 * fault.at, partial(_begin_fault, simulation, fault, injectors[fault.kind])
        )


def _begin_fault(simulation: Simulation, fault: FaultConfig, inject: InjectFault) -> None:
    injected = inject(simulation, fault)
    until = fault.at + fault.last
    simulation.measure.fault_spans.append(FaultSpan(fault.kind, fault.at, until, injected.description))
    if fault.last:
        simulation.kernel.call_at(1000.0 * until, injected.revert)


def no_revert() -> None:
    """Do nothing, for faults that cannot be reverted or that end by themselves."""


def choose_cache_nodes(simulation: Simulation, fault: FaultConfig) -> list[SimulatedCacheNode]:
    """Draw the cache nodes that a fault affects."""
    return simulation.choose_nodes(simulation.cache_nodes(fault.zone), fault.nodes, fault.part)


def choose_nodes_or_all(simulation: Simulation, fault: FaultConfig) -> list[SimulatedNode]:
    """Draw the cache nodes that a fault affects; all of them and the origin if it restricts none."""
    if fault.nodes is not None or fault.part is not None or fault.zone:
        return list(choose_cache_nodes(simulation, fault))
    return [*simulation.cache_nodes(), simulation.origin]


def format_node_names(nodes: Sequence[SimulatedNode]) -> str:
    """Format the names of nodes for a description."""
    return _format_names([node.uid for node in nodes])


def _format_names(names: Sequence[str]) -> str:
    more = f" and {len(names) - MAX_LISTED_NAMES} more" if len(names) > MAX_LISTED_NAMES else ""
    return ", ".join(names[:MAX_LISTED_NAMES]) + more


def _inject_into_each(
    simulation: Simulation,
    fault: FaultConfig,
    inject: Callable[[SimulatedCacheNode], None],
    revert: Callable[[SimulatedCacheNode], None],
) -> InjectedFault:
    nodes = choose_cache_nodes(simulation, fault)
    for node in nodes:
        inject(node)

    def revert_all() -> None:
        for node in nodes:
            revert(node)

    return InjectedFault(format_node_names(nodes), revert_all)


def _inject_one_by_one(
    simulation: Simulation, fault: FaultConfig, inject: Callable[[SimulatedCacheNode], None]
) -> InjectedFault:
    """Inject a fault into one node after another, evenly spread over the fault's duration."""
    nodes = choose_cache_nodes(simulation, fault)
    step_ms = 1000.0 * fault.last / max(1, len(nodes))
    for index, node in enumerate(nodes):
        simulation.kernel.call_after(index * step_ms, partial(inject, node))
    return InjectedFault(format_node_names(nodes), no_revert)


def _inject_slow(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    return _inject_into_each(
        simulation,
        fault,
        lambda node: node.set_slowdown(fault.by, True),
        lambda node: node.set_slowdown(fault.by, False),
    )


def _inject_stop(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    def restart(node: SimulatedCacheNode) -> None:
        if not node.machine.up:
            simulation.restart_node(node, 0.0)

    return _inject_into_each(simulation, fault, SimulatedCacheNode.stop, restart)


def _inject_restart(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    down_ms = 1000.0 * fault.down
    return _inject_into_each(
        simulation, fault, lambda node: simulation.restart_node(node, down_ms), lambda _node: None
    )


def _inject_replace(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    def replace(node: SimulatedCacheNode) -> None:
        replacement = simulation.add_node(node.group, node.zone, simulation.kernel.time)
        replacement.zone = node.zone
        simulation.drain_node(node)

    return _inject_one_by_one(simulation, fault, replace)


def _inject_shrink(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    return _inject_one_by_one(simulation, fault, simulation.drain_node)


def _inject_grow(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    templates = simulation.cache_nodes(fault.zone)
    count = 0
    if templates:
        count = fault.nodes or max(1, round((fault.part or 0.0) * len(templates)))
    added: list[SimulatedNode] = []
    for index in range(count):
        template = templates[index % len(templates)]
        added.append(simulation.add_node(template.group, template.zone, simulation.kernel.time))
    return InjectedFault(format_node_names(added), no_revert)


def _inject_cut(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    assert fault.zones is not None
    first_name, second_name = fault.zones
    first = simulation.zone_number(first_name)
    second = simulation.zone_number(second_name)
    simulation.network.set_cut(first, second, True)
    return InjectedFault(
        f"{first_name} from {second_name}", lambda: simulation.network.set_cut(first, second, False)
    )


def _inject_isolate(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    isolated = simulation.zone_number(fault.zone)
    others = [zone for zone in range(len(simulation.experiment.zones)) if zone != isolated]

    def set_cuts(active: bool) -> None:
        for other in others:
            simulation.network.set_cut(isolated, other, active)

    set_cuts(True)
    return InjectedFault(f"{fault.zone} from all others", lambda: set_cuts(False))


def _inject_silent(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    def silence(node: SimulatedCacheNode) -> None:
        node.silence_count += 1

    def unsilence(node: SimulatedCacheNode) -> None:
        node.silence_count -= 1

    return _inject_into_each(simulation, fault, silence, unsilence)


def _share_injector(shares_of: Callable[[SimulatedNode], list[float]]) -> InjectFault:
    """Return an injector that affects a share of the attempts at some nodes."""

    def inject(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
        nodes = choose_nodes_or_all(simulation, fault)
        for node in nodes:
            shares_of(node).append(fault.share)

        def revert() -> None:
            for node in nodes:
                shares_of(node).remove(fault.share)

        return InjectedFault(f"{fault.share:.0%} of the attempts at {len(nodes)}", revert)

    return inject


def _inject_stale(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    simulation.discovery.extra_delay_ms += 1000.0 * fault.by

    def revert() -> None:
        simulation.discovery.extra_delay_ms -= 1000.0 * fault.by

    return InjectedFault(f"by {fault.by:g} s", revert)


def _inject_discovery_down(simulation: Simulation, _fault: FaultConfig) -> InjectedFault:
    simulation.discovery.set_available(False)
    return InjectedFault("discovery", lambda: simulation.discovery.set_available(True))


def _inject_origin_slow(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    simulation.origin.set_slowdown(fault.by, True)
    return InjectedFault(f"{fault.by:g} times", lambda: simulation.origin.set_slowdown(fault.by, False))


def _inject_origin_stop(simulation: Simulation, _fault: FaultConfig) -> InjectedFault:
    simulation.origin.stop()
    return InjectedFault("origin", simulation.origin.start)


def _inject_flash(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    shares = simulation.workload.flash_shares
    shares.append(fault.share)
    return InjectedFault(f"{fault.share:.0%} of the reads", lambda: shares.remove(fault.share))


def _inject_surge(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    factors = simulation.workload.surge_factors
    factors.append(fault.by)
    return InjectedFault(f"{fault.by:g} times", lambda: factors.remove(fault.by))


def _inject_router_kill(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    down_ms = 1000.0 * fault.last if fault.last else None
    return _kill_routers(simulation, fault, down_ms, 0.0)


def _inject_router_restart(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    tenth_ms = 100.0 * fault.last
    return _kill_routers(simulation, fault, 1000.0 * fault.down, tenth_ms)


def _kill_routers(
    simulation: Simulation, fault: FaultConfig, down_ms: float | None, tenth_ms: float
) -> InjectedFault:
    """Kill the routers that a fault affects, a tenth of them at a time, `tenth_ms` milliseconds apart.

    `down_ms` is the time until a killed router starts again, or None if it never does.
    """
    router_count = len(simulation.routers)
    count = fault.routers or (1 if fault.part is None else round(fault.part * router_count))
    indexes = range(min(count, router_count))
    for index in indexes:
        tenth = 10 * index // max(1, len(indexes))
        simulation.kernel.call_after(tenth * tenth_ms, partial(simulation.kill_router, index, down_ms))
    return InjectedFault(_format_names([f"router-{index}" for index in indexes]), no_revert)


def _inject_patch(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    PatchCampaign(simulation, fault)
    return InjectedFault(f"every cache node, {fault.manner}", no_revert)


_INJECTORS: dict[str, InjectFault] = {
    "slow": _inject_slow,
    "stop": _inject_stop,
    "restart": _inject_restart,
    "replace": _inject_replace,
    "shrink": _inject_shrink,
    "grow": _inject_grow,
    "cut": _inject_cut,
    "isolate": _inject_isolate,
    "silent": _inject_silent,
    "stale": _inject_stale,
    "discovery_down": _inject_discovery_down,
    "origin_slow": _inject_origin_slow,
    "origin_stop": _inject_origin_stop,
    "flash": _inject_flash,
    "surge": _inject_surge,
    "router_kill": _inject_router_kill,
    "router_restart": _inject_router_restart,
    "hang": _share_injector(lambda node: node.hang_shares),
    "reset": _share_injector(lambda node: node.reset_shares),
    "patch": _inject_patch,
}
