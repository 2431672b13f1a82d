"""Builds configuration documents for the routers of an experiment, with the settings of simulated routers."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from ...core.endpoint_directory import hash_uid
from ..experiment import Experiment
from ..model.router_settings import router_settings_for
from ..model.simulated_router import CONNECT_TIMEOUT_MS

MACHINE_TYPES = ("std", "origin")  # names of machine types, indexed by the node kind of the model
CONNECTION_IDLE_MS = 15_000.0  # a node closes a connection that is idle for this time


@dataclass(frozen=True, slots=True)
class RouterInstance:
    """One router of an experiment."""

    name: str
    listen: str  # host:port
    discovery: str  # host:port of the discovery service
    known_endpoints: dict[str, Any]  # the cached endpoint list in the format of discovery
    position: int = 0  # index of the router in the fleet
    seed: int | None = None  # None: the seed of the experiment


def router_config_document(experiment: Experiment, router: RouterInstance) -> dict[str, Any]:
    """Return the configuration document of a router; its times are milliseconds."""
    seed = experiment.seed if router.seed is None else router.seed
    return {
        "name": router.name,
        "listen": router.listen,
        "discovery": router.discovery,
        "seed": f"{hash_uid(f'{router.name} {seed}'):x}",
        "limits": {
            "cores": 1.0,
            "memory_mb": experiment.routers.memory_mb,
            "sockets": experiment.routers.sockets,
        },
        "known": router.known_endpoints,
        "settings": _settings(experiment, router.position),
    }


def _settings(experiment: Experiment, position: int) -> dict[str, Any]:
    zone = position % len(experiment.zones)
    settings = router_settings_for(experiment, position, zone)
    limits = settings.limits
    return {
        "domain": {"mode": settings.mode.value, "origin_kind": settings.origin_kind},
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
        "membership_mode": "subscribe" if settings.subscribe else "automatic",
        "request_classes": [
            {
                "name": config.name,
                "deadline": request_class.deadline_ms,
                "objective": request_class.objective_ms,
                "worth": request_class.worth,
                "effect": request_class.effect.value,
                "group": request_class.group.value,
                "repeat_window": request_class.repeat_window_ms,
            }
            for config, request_class in zip(experiment.classes, settings.classes, strict=True)
        ],
        "rules": asdict(settings.rules),
        "tenants": [
            {"name": config.name, "share": tenant.share}
            for config, tenant in zip(experiment.tenants, settings.tenants, strict=True)
        ],
        "zone": zone,
        "balancers": settings.routers,
        "position": settings.position,
        "over_share_worth": settings.over_share_worth,
        "costs": {"cross_zone": settings.cross_zone_cost},
    }
