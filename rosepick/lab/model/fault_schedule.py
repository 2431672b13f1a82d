"""The timeline of troubles: each begins and ends at its times, and says whom it met."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from functools import partial

from ..experiment import ExperimentError, FaultConfig
from ..results import FaultSpan
from .nodes import SimulatedCacheNode, SimulatedNode
from .patch_campaign import PatchCampaign
from .simulation import Simulation

RevertFault = Callable[[], None]
InjectFault = Callable[
    [Simulation, FaultConfig], tuple[str, RevertFault]
]  # begins a trouble: whom it met, and how it ends
NO_EXTRA_KINDS: Mapping[str, InjectFault] = {}


def schedule_faults(simulation: Simulation, extra_kinds: Mapping[str, InjectFault] = NO_EXTRA_KINDS) -> None:
    """Set all troubles of a world's experiment; `extra_kinds` are kinds that only this world can play.
    ExperimentError if one of them can be played on sockets only.
    """
    kinds = {**_INJECTORS, **extra_kinds}
    only_live = [
        f"troubles[{place}].kind {trouble.kind!r} is played with --live only"
        for place, trouble in enumerate(simulation.experiment.troubles)
        if trouble.kind not in kinds
    ]
    if only_live:
        raise ExperimentError(tuple(only_live))
    for trouble in simulation.experiment.troubles:
        simulation.kernel.call_at(
            1000.0 * trouble.at, partial(_begin_fault, simulation, trouble, kinds[trouble.kind])
        )


def _begin_fault(simulation: Simulation, fault: FaultConfig, play: InjectFault) -> None:
    what, undo = play(simulation, fault)
    until = fault.at + fault.last
    simulation.measure.spans.append(FaultSpan(fault.kind, fault.at, until, what))
    if fault.last:
        simulation.kernel.call_at(1000.0 * until, undo)


def no_revert() -> None:
    """What happened cannot be taken back."""


def choose_cache_nodes(simulation: Simulation, fault: FaultConfig) -> list[SimulatedCacheNode]:
    """The cache nodes that a trouble meets."""
    return simulation.choose_nodes(simulation.cache_nodes(fault.zone), fault.nodes, fault.part)


def choose_nodes_or_all(simulation: Simulation, fault: FaultConfig) -> list[SimulatedNode]:
    """The cache nodes that a trouble meets; all of them and the origin if none is named."""
    if fault.nodes is not None or fault.part is not None or fault.zone:
        return list(choose_cache_nodes(simulation, fault))
    return [*simulation.cache_nodes(), simulation.origin]


def format_node_names(nodes: Sequence[SimulatedNode]) -> str:
    """The names of some nodes, for who reads."""
    more = f" and {len(nodes) - 8} more" if len(nodes) > 8 else ""
    return ", ".join(node.uid for node in nodes[:8]) + more


def _inject_into_each(
    simulation: Simulation,
    fault: FaultConfig,
    inject: Callable[[SimulatedCacheNode], None],
    revert: Callable[[SimulatedCacheNode], None],
) -> tuple[str, RevertFault]:
    nodes = choose_cache_nodes(simulation, fault)
    for node in nodes:
        inject(node)

    def undo() -> None:
        for node in nodes:
            revert(node)

    return format_node_names(nodes), undo


def _slow(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    return _inject_into_each(
        simulation,
        fault,
        lambda node: node.set_slowdown(fault.by, True),
        lambda node: node.set_slowdown(fault.by, False),
    )


def _stop(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    def back(node: SimulatedCacheNode) -> None:
        if not node.machine.up:
            simulation.restart_node(node, 0.0)

    return _inject_into_each(simulation, fault, SimulatedCacheNode.stop, back)


def _restart(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    return _inject_into_each(
        simulation, fault, lambda node: simulation.restart_node(node, 1000.0 * fault.down), lambda node: None
    )


def _replace(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    """Each is replaced by a new one, one after another over the time of the trouble."""
    nodes = choose_cache_nodes(simulation, fault)
    step = 1000.0 * fault.last / max(1, len(nodes))

    def replace(node: SimulatedCacheNode) -> None:
        simulation.add_node(node.group, node.zone, simulation.kernel.time).zone = node.zone
        simulation.drain_node(node)

    for place, node in enumerate(nodes):
        simulation.kernel.call_after(place * step, lambda node=node: replace(node))  # type: ignore[misc]
    return format_node_names(nodes), no_revert


def _shrink(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    nodes = choose_cache_nodes(simulation, fault)
    step = 1000.0 * fault.last / max(1, len(nodes))
    for place, node in enumerate(nodes):
        simulation.kernel.call_after(place * step, lambda node=node: simulation.drain_node(node))  # type: ignore[misc]
    return format_node_names(nodes), no_revert


def _grow(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    among = simulation.cache_nodes(fault.zone)
    count = (fault.nodes or max(1, round((fault.part or 0.0) * len(among)))) if among else 0
    alike = [among[place % len(among)] for place in range(count)]
    made = [simulation.add_node(node.group, node.zone, simulation.kernel.time) for node in alike]
    return format_node_names(made), no_revert


def _cut(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    assert fault.zones is not None
    here, there = (simulation.zone_number(zone) for zone in fault.zones)
    simulation.network.set_cut(here, there, True)
    return f"{fault.zones[0]} from {fault.zones[1]}", lambda: simulation.network.set_cut(here, there, False)


def _isolate(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    here = simulation.zone_number(fault.zone)
    others = [zone for zone in range(len(simulation.experiment.zones)) if zone != here]
    for there in others:
        simulation.network.set_cut(here, there, True)

    def undo() -> None:
        for there in others:
            simulation.network.set_cut(here, there, False)

    return f"{fault.zone} from all others", undo


def _silent(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    def turn(by: int) -> Callable[[SimulatedCacheNode], None]:
        return lambda node: setattr(node, "silences", node.silences + by)

    return _inject_into_each(simulation, fault, turn(1), turn(-1))


def _share_fault(name: str) -> InjectFault:
    """Such a part of the attempts at some nodes, or at all of them and the origin if none is named."""

    def begin(world: Simulation, trouble: FaultConfig) -> tuple[str, RevertFault]:
        nodes = choose_nodes_or_all(world, trouble)
        for node in nodes:
            getattr(node, name).append(trouble.share)

        def undo() -> None:
            for node in nodes:
                getattr(node, name).remove(trouble.share)

        return f"{trouble.share:.0%} of the attempts at {len(nodes)}", undo

    return begin


def _stale(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    simulation.discovery.extra_delay_ms += 1000.0 * fault.by

    def undo() -> None:
        simulation.discovery.extra_delay_ms -= 1000.0 * fault.by

    return f"by {fault.by:g} s", undo


def _discovery_down(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    simulation.discovery.set_available(False)
    return "discovery", lambda: simulation.discovery.set_available(True)


def _origin_slow(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    simulation.origin.set_slowdown(fault.by, True)
    return f"{fault.by:g} times", lambda: simulation.origin.set_slowdown(fault.by, False)


def _origin_stop(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    simulation.origin.stop()
    return "origin", simulation.origin.start


def _flash(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    simulation.requests.flash_shares.append(fault.share)
    return f"{fault.share:.0%} of the reads", lambda: simulation.requests.flash_shares.remove(fault.share)


def _surge(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    simulation.requests.surge_factors.append(fault.by)
    return f"{fault.by:g} times", lambda: simulation.requests.surge_factors.remove(fault.by)


def _router_fault(restarts: bool) -> InjectFault:
    def begin(world: Simulation, trouble: FaultConfig) -> tuple[str, RevertFault]:
        many = len(world.routers)
        count = trouble.routers or (1 if trouble.part is None else round(trouble.part * many))
        places = range(min(count, many))
        down = trouble.down if restarts else trouble.last or None
        step = 100.0 * trouble.last if restarts else 0.0  # milliseconds between tenths
        for place in places:
            world.kernel.call_after(
                10 * place // max(1, len(places)) * step,
                partial(world.kill_router, place, None if down is None else 1000.0 * down),
            )
        named = ", ".join(f"router-{place}" for place in places[:8])
        return named + (f" and {len(places) - 8} more" if len(places) > 8 else ""), no_revert

    return begin


def _patch(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    PatchCampaign(simulation, fault)
    return f"every cache node, {fault.manner}", no_revert


_INJECTORS: dict[str, InjectFault] = {
    "slow": _slow,
    "stop": _stop,
    "restart": _restart,
    "replace": _replace,
    "shrink": _shrink,
    "grow": _grow,
    "cut": _cut,
    "isolate": _isolate,
    "silent": _silent,
    "stale": _stale,
    "discovery_down": _discovery_down,
    "origin_slow": _origin_slow,
    "origin_stop": _origin_stop,
    "flash": _flash,
    "surge": _surge,
    "router_kill": _router_fault(False),
    "router_restart": _router_fault(True),
    "hang": _share_fault("hang_shares"),
    "reset": _share_fault("reset_shares"),
    "patch": _patch,
}
