"""The settings that routers of an experiment have, as the platform would tell them."""

from __future__ import annotations

from ...decisions import api
from ..experiment import Experiment
from .nodes import ORIGIN_KIND

OVER_SHARE_WORTH = 0.05
CROSSING_COST = 0.05


def router_settings_for(experiment: Experiment, position: int = 0, zone: int = 0) -> api.RouterSettings:
    """What one router is given at its start; times in milliseconds."""
    cold = [nodes for nodes in experiment.fleet if nodes.warm_after > 0]
    shares = sum(tenant.share for tenant in experiment.tenants)
    return api.RouterSettings(
        classes=tuple(
            api.RequestClass(
                objective_ms=1000.0 * one.aim,
                deadline_ms=1000.0 * one.deadline,
                worth=one.worth,
                effect=api.Effect(one.effect),
                group=api.Group(one.group),
                repeat_window_ms=1000.0 * one.repeat_window,
            )
            for one in experiment.classes
        ),
        tenants=tuple(api.Tenant(tenant.share / shares) for tenant in experiment.tenants),
        rules=api.RoutingRules(
            stop_sending_within=1000.0 * experiment.stop_sending_within,
            cold_from=min((nodes.cold_from for nodes in cold), default=1.0),
            warm_within=max((1000.0 * nodes.warm_after for nodes in cold), default=0.0),
            tip_multiple=min((nodes.falls_at for nodes in cold), default=3.0),
            fall=max((1000.0 * nodes.falls_within for nodes in cold), default=3_000.0),
        ),
        limits=api.RouterLimits(
            max_attempts=experiment.max_attempts,
            allow_cancel=True,
            max_retry_after_ms=1000.0 * experiment.max_retry_after,
        ),
        mode=api.Mode(experiment.mode),
        origin_kind=ORIGIN_KIND if experiment.mode == "aside" else -1,
        zone=zone,
        subscribe=experiment.discovery.watch,
        routers=experiment.routers.count,
        position=position,
        over_share_worth=OVER_SHARE_WORTH if experiment.tenants else 1.0,
        cross_zone_cost=CROSSING_COST,
    )
