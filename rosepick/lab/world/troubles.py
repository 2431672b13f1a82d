"""The timeline of troubles: each begins and ends at its times, and says whom it met."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from functools import partial

from ..experiment import ExperimentError, Trouble
from ..results import Span
from .fleet import CacheNode, Node
from .patching import Patching
from .world import World

Undo = Callable[[], None]
Play = Callable[[World, Trouble], tuple[str, Undo]]  # begins a trouble: whom it met, and how it ends
NO_MORE: Mapping[str, Play] = {}


def set_up(world: World, more: Mapping[str, Play] = NO_MORE) -> None:
    """Set all troubles of a world's experiment; `more` are kinds that only this world can play.
    ExperimentError if one of them can be played on sockets only.
    """
    kinds = {**_KINDS, **more}
    only_live = [
        f"troubles[{place}].kind {trouble.kind!r} is played with --live only"
        for place, trouble in enumerate(world.experiment.troubles)
        if trouble.kind not in kinds
    ]
    if only_live:
        raise ExperimentError(tuple(only_live))
    for trouble in world.experiment.troubles:
        world.kernel.at(1000.0 * trouble.at, partial(_begin, world, trouble, kinds[trouble.kind]))


def _begin(world: World, trouble: Trouble, play: Play) -> None:
    what, undo = play(world, trouble)
    until = trouble.at + trouble.last
    world.measure.spans.append(Span(trouble.kind, trouble.at, until, what))
    if trouble.last:
        world.kernel.at(1000.0 * until, undo)


def nothing() -> None:
    """What happened cannot be taken back."""


def chosen(world: World, trouble: Trouble) -> list[CacheNode]:
    """The cache nodes that a trouble meets."""
    return world.choose(world.cache_nodes(trouble.zone), trouble.nodes, trouble.part)


def met(world: World, trouble: Trouble) -> list[Node]:
    """The cache nodes that a trouble meets; all of them and the origin if none is named."""
    if trouble.nodes is not None or trouble.part is not None or trouble.zone:
        return list(chosen(world, trouble))
    return [*world.cache_nodes(), world.origin]


def named(nodes: Sequence[Node]) -> str:
    """The names of some nodes, for who reads."""
    more = f" and {len(nodes) - 8} more" if len(nodes) > 8 else ""
    return ", ".join(node.uid for node in nodes[:8]) + more


def _each(
    world: World, trouble: Trouble, begin: Callable[[CacheNode], None], end: Callable[[CacheNode], None]
) -> tuple[str, Undo]:
    nodes = chosen(world, trouble)
    for node in nodes:
        begin(node)

    def undo() -> None:
        for node in nodes:
            end(node)

    return named(nodes), undo


def _slow(world: World, trouble: Trouble) -> tuple[str, Undo]:
    return _each(
        world, trouble, lambda node: node.slow(trouble.by, True), lambda node: node.slow(trouble.by, False)
    )


def _stop(world: World, trouble: Trouble) -> tuple[str, Undo]:
    def back(node: CacheNode) -> None:
        if not node.server.up:
            world.restart(node, 0.0)

    return _each(world, trouble, CacheNode.stop, back)


def _restart(world: World, trouble: Trouble) -> tuple[str, Undo]:
    return _each(world, trouble, lambda node: world.restart(node, 1000.0 * trouble.down), lambda node: None)


def _replace(world: World, trouble: Trouble) -> tuple[str, Undo]:
    """Each is replaced by a new one, one after another over the time of the trouble."""
    nodes = chosen(world, trouble)
    step = 1000.0 * trouble.last / max(1, len(nodes))

    def replace(node: CacheNode) -> None:
        world.add_node(node.group, node.zone, world.kernel.time).zone = node.zone
        world.drain(node)

    for place, node in enumerate(nodes):
        world.kernel.after(place * step, lambda node=node: replace(node))  # type: ignore[misc]
    return named(nodes), nothing


def _shrink(world: World, trouble: Trouble) -> tuple[str, Undo]:
    nodes = chosen(world, trouble)
    step = 1000.0 * trouble.last / max(1, len(nodes))
    for place, node in enumerate(nodes):
        world.kernel.after(place * step, lambda node=node: world.drain(node))  # type: ignore[misc]
    return named(nodes), nothing


def _grow(world: World, trouble: Trouble) -> tuple[str, Undo]:
    among = world.cache_nodes(trouble.zone)
    count = (trouble.nodes or max(1, round((trouble.part or 0.0) * len(among)))) if among else 0
    alike = [among[place % len(among)] for place in range(count)]
    made = [world.add_node(node.group, node.zone, world.kernel.time) for node in alike]
    return named(made), nothing


def _cut(world: World, trouble: Trouble) -> tuple[str, Undo]:
    assert trouble.zones is not None
    here, there = (world.zone(zone) for zone in trouble.zones)
    world.network.cut(here, there, True)
    return f"{trouble.zones[0]} from {trouble.zones[1]}", lambda: world.network.cut(here, there, False)


def _isolate(world: World, trouble: Trouble) -> tuple[str, Undo]:
    here = world.zone(trouble.zone)
    others = [zone for zone in range(len(world.experiment.zones)) if zone != here]
    for there in others:
        world.network.cut(here, there, True)

    def undo() -> None:
        for there in others:
            world.network.cut(here, there, False)

    return f"{trouble.zone} from all others", undo


def _silent(world: World, trouble: Trouble) -> tuple[str, Undo]:
    def turn(by: int) -> Callable[[CacheNode], None]:
        return lambda node: setattr(node, "silences", node.silences + by)

    return _each(world, trouble, turn(1), turn(-1))


def _share(name: str) -> Play:
    """Such a part of the attempts at some nodes, or at all of them and the origin if none is named."""

    def begin(world: World, trouble: Trouble) -> tuple[str, Undo]:
        nodes = met(world, trouble)
        for node in nodes:
            getattr(node, name).append(trouble.share)

        def undo() -> None:
            for node in nodes:
                getattr(node, name).remove(trouble.share)

        return f"{trouble.share:.0%} of the attempts at {len(nodes)}", undo

    return begin


def _stale(world: World, trouble: Trouble) -> tuple[str, Undo]:
    world.discovery.more_delay += 1000.0 * trouble.by

    def undo() -> None:
        world.discovery.more_delay -= 1000.0 * trouble.by

    return f"by {trouble.by:g} s", undo


def _discovery_down(world: World, trouble: Trouble) -> tuple[str, Undo]:
    world.discovery.turn(False)
    return "discovery", lambda: world.discovery.turn(True)


def _origin_slow(world: World, trouble: Trouble) -> tuple[str, Undo]:
    world.origin.slow(trouble.by, True)
    return f"{trouble.by:g} times", lambda: world.origin.slow(trouble.by, False)


def _origin_stop(world: World, trouble: Trouble) -> tuple[str, Undo]:
    world.origin.stop()
    return "origin", world.origin.start


def _flash(world: World, trouble: Trouble) -> tuple[str, Undo]:
    world.requests.flashes.append(trouble.share)
    return f"{trouble.share:.0%} of the reads", lambda: world.requests.flashes.remove(trouble.share)


def _surge(world: World, trouble: Trouble) -> tuple[str, Undo]:
    world.requests.surges.append(trouble.by)
    return f"{trouble.by:g} times", lambda: world.requests.surges.remove(trouble.by)


def _routers(back: bool) -> Play:
    def begin(world: World, trouble: Trouble) -> tuple[str, Undo]:
        many = len(world.routers)
        count = trouble.routers or (1 if trouble.part is None else round(trouble.part * many))
        places = range(min(count, many))
        down = trouble.down if back else trouble.last or None
        step = 100.0 * trouble.last if back else 0.0  # milliseconds between tenths
        for place in places:
            world.kernel.after(
                10 * place // max(1, len(places)) * step,
                partial(world.kill_router, place, None if down is None else 1000.0 * down),
            )
        named = ", ".join(f"router-{place}" for place in places[:8])
        return named + (f" and {len(places) - 8} more" if len(places) > 8 else ""), nothing

    return begin


def _patch(world: World, trouble: Trouble) -> tuple[str, Undo]:
    Patching(world, trouble)
    return f"every cache node, {trouble.manner}", nothing


_KINDS: dict[str, Play] = {
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
    "router_kill": _routers(False),
    "router_restart": _routers(True),
    "hang": _share("hang_shares"),
    "reset": _share("reset_shares"),
    "patch": _patch,
}
