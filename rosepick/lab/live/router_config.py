"""What GW_CONFIG says to the routers of an experiment: the same settings as `world.settings` gives the
simulated ones.
"""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

from ...core.endpoint_directory import hash_uid
from ..experiment import Experiment
from ..model.router_settings import router_settings_for
from ..model.simulated_router import CONNECT_TIMEOUT_MS

MACHINE_TYPES = ("std", "origin")  # of machines, by the numbers that the model gives them
CONNECTION_IDLE_MS = 15_000.0  # milliseconds after which a node closes an idle connection


def router_config_document(
    experiment: Experiment,
    name: str,
    listen: str,
    discovery: str,
    known: dict[str, Any],
    *,
    position: int = 0,
    seed: int | None = None,
) -> dict[str, Any]:
    """The configuration of one router. `listen` and `discovery` are host:port, `known` is a list in
    discovery's form; `position` counts routers from 0 and gives its zone. Times in it are milliseconds.
    """
    drawn = experiment.seed if seed is None else seed
    return {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": f"{hash_uid(f'{name} {drawn}'):x}",
        "limits": {
            "cores": 1.0,
            "memory_mb": experiment.routers.memory_mb,
            "sockets": experiment.routers.sockets,
        },
        "known": known,
        "settings": _settings(experiment, position),
    }


def _settings(experiment: Experiment, position: int) -> dict[str, Any]:
    zone = position % len(experiment.zones)
    told = router_settings_for(experiment, position, zone)
    limits = told.limits
    return {
        "domain": {"mode": told.mode.value, "origin_kind": told.origin_kind},
        "failure_domains": list(experiment.zones),
        "machine_types": list(MACHINE_TYPES),
        "limits": {
            "cancelling": limits.allow_cancel,
            "conn_idle": CONNECTION_IDLE_MS,
            "dial_timeout": CONNECT_TIMEOUT_MS,
            "max_attempts": limits.max_attempts,
            "max_retry_after": limits.max_retry_after_ms,
            "retry_after": True,
        },
        "membership_mode": "subscribe" if told.subscribe else "automatic",
        "request_classes": [
            {
                "name": named.name,
                "deadline": one.deadline_ms,
                "objective": one.objective_ms,
                "worth": one.worth,
                "effect": one.effect.value,
                "group": one.group.value,
                "repeat_window": one.repeat_window_ms,
            }
            for named, one in zip(experiment.classes, told.classes, strict=True)
        ],
        "rules": asdict(told.rules),
        "tenants": [
            {"name": named.name, "share": one.share}
            for named, one in zip(experiment.tenants, told.tenants, strict=True)
        ],
        "zone": zone,
        "balancers": told.routers,
        "position": told.position,
        "over_share_worth": told.over_share_worth,
        "costs": {"cross_zone": told.cross_zone_cost},
    }
