"""Random scale plans: fleet size, deadline, CPU share, node replacements, kills, signals, idle clients."""

from __future__ import annotations

import random

from .crowd import CROWD_KINDS
from .scale_plan import NodeReplacement, RouterKill, RouterSignals, ScalePlan

FLEET_SIZES = (12, 60, 200, 1_000, 3_200)
ROUTER_COUNTS = (1, 1, 2, 4, 8)
DEADLINES_S = (0.3, 0.6, 1.2, 2.5)
# Share of the CPU time. At the rates below, a router needs 0.05 to 0.4.
CPU_SHARES = (1.0, 1.0, 0.25, 0.12)
TOTAL_RATES = (60.0, 200.0, 400.0)  # requests per second, sum of all routers
MAX_ROUTER_RATE = 250.0
IDLE_CLIENTS = (0, 0, 150)
CROWDS = ("", "", *CROWD_KINDS)
CROWD_CLIENTS = (30, 100)
FIRST_CROWD_SEED = 101  # plans of lower seeds have no crowd
SOCKETS_WITH_IDLE_CLIENTS = 256
LENGTH_S = 9.0
SIGNAL_SERIES = (
    ("SIGTERM",),
    ("SIGTERM", "SIGTERM"),
    ("SIGHUP", "SIGTERM"),
    ("SIGHUP", "SIGHUP", "SIGHUP"),
)
MAX_DOWN_S = 1.5


def draw_scale_plan(seed: int) -> ScalePlan:
    """Return the plan of a seed; the same seed gives the same plan."""
    rng = random.Random(f"scale {seed}")
    nodes = rng.choice(FLEET_SIZES)
    routers = rng.choice(ROUTER_COUNTS)
    idle_clients = rng.choice(IDLE_CLIENTS)
    crowd_rng = random.Random(f"crowd {seed}")  # of its own, so that the rest of each plan stays as it was
    return ScalePlan(
        nodes=nodes,
        routers=routers,
        rate=min(MAX_ROUTER_RATE, rng.choice(TOTAL_RATES) / routers),
        length_s=LENGTH_S,
        deadline_s=rng.choice(DEADLINES_S),
        seed=seed,
        hang_share=rng.choice((0.0, 0.0, 0.02)),
        cpu_share=rng.choice(CPU_SHARES),
        replacements=_draw_replacements(rng, nodes),
        kills=_draw_kills(rng, routers),
        signals=_draw_signals(rng, routers),
        idle_clients=idle_clients,
        crowd=crowd_rng.choice(CROWDS) if seed >= FIRST_CROWD_SEED else "",
        crowd_clients=crowd_rng.choice(CROWD_CLIENTS),
        sockets=SOCKETS_WITH_IDLE_CLIENTS if idle_clients else 1_024,
    )


def _draw_replacements(rng: random.Random, nodes: int) -> tuple[NodeReplacement, ...]:
    steps = rng.randint(0, 4)
    if not steps:
        return ()
    nodes_per_step = max(1, int(nodes * rng.uniform(0.05, 0.5) / steps))
    return (NodeReplacement(rng.uniform(0.5, 3.0), steps, nodes_per_step, rng.uniform(0.5, 3.0)),)


def _draw_kills(rng: random.Random, routers: int) -> tuple[RouterKill, ...]:
    if rng.random() < 0.5:
        return ()
    return (RouterKill(rng.uniform(0.5, 2.0), rng.uniform(0.3, MAX_DOWN_S), rng.randint(1, routers)),)


def _draw_signals(rng: random.Random, routers: int) -> tuple[RouterSignals, ...]:
    """Draw signals that come after the kills; some of them arrive while a router starts."""
    if rng.random() < 0.3:
        return ()
    # The latest restart after a kill is at 3.5 s: killed at 2.0 s, down for `MAX_DOWN_S`.
    at_s = rng.choice((3.6, 3.8, rng.uniform(4.0, 5.0)))
    spacing_s = rng.choice((0.0, 0.05, 0.4))
    names = rng.choice(SIGNAL_SERIES)
    return tuple(RouterSignals(at_s, router, names, spacing_s) for router in range(rng.randint(1, routers)))
