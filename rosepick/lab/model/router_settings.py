"""Derives the settings of simulated routers from an experiment."""

from __future__ import annotations

from ...decisions import api
from ..experiment import Experiment
from .nodes import ORIGIN_KIND

OVER_SHARE_WORTH = 0.05  # factor on the value of a request beyond its tenant's share
CROSS_ZONE_COST = 0.05  # cost of an attempt to another zone, in units of a request's value


def router_settings_for(experiment: Experiment, position: int = 0, zone: int = 0) -> api.RouterSettings:
    """Return the settings of the router at `position` in a zone; times are milliseconds."""
    warming_groups = [group for group in experiment.fleet if group.warm_after > 0]
    total_share = sum(tenant.share for tenant in experiment.tenants)
    return api.RouterSettings(
        classes=tuple(
            api.RequestClass(
                objective_ms=1000.0 * request_class.aim,
                deadline_ms=1000.0 * request_class.deadline,
                worth=request_class.worth,
                effect=api.Effect(request_class.effect),
                group=api.Group(request_class.group),
                repeat_window_ms=1000.0 * request_class.repeat_window,
            )
            for request_class in experiment.classes
        ),
        tenants=tuple(api.Tenant(tenant.share / total_share) for tenant in experiment.tenants),
        rules=api.RoutingRules(
            stop_sending_within=1000.0 * experiment.stop_sending_within,
            cold_from=min((group.cold_from for group in warming_groups), default=1.0),
            warm_within=max((1000.0 * group.warm_after for group in warming_groups), default=0.0),
            tip_multiple=min((group.falls_at for group in warming_groups), default=3.0),
            fall=max((1000.0 * group.falls_within for group in warming_groups), default=3_000.0),
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
        cross_zone_cost=CROSS_ZONE_COST,
    )
