"""Settings of all files, with their names, defaults and accepted values.

The rules of golden_forms apply: only the golden_*_forms modules import names of the program, values are
built by position, and enumerations by value.
"""

from __future__ import annotations

import json
import tomllib
from pathlib import Path

from rosepick.decisions import api
from rosepick.lab import experiment
from rosepick.lab.live import router_config
from rosepick.settings import fleet_file, operator_file, reader

from .golden_support import Form, as_json
from .scenario import SETTINGS

ROOT = Path(__file__).resolve().parent.parent


def operator_settings() -> object:
    """Return the default, the reload flag and the accepted values of each setting of operators."""
    probes = (
        "-1",
        "0",
        "1",
        "4",
        "10",
        "50",
        "100",
        "768",
        "1024",
        "65535",
        "1000000",
        "2147483648",
        "0.05",
        "1.5",
        "1.5 s",
        "60 s",
        "3600",
        "86400",
        "on",
        "off",
        "optional",
        "required",
        "1.2",
        "1.3",
        "1.4",
        "/some/path",
    )
    found = {}
    for setting in operator_file.SETTINGS:
        accepted = {}
        for text in probes:
            try:
                accepted[text] = setting.parse(text)
            except ValueError:
                continue
        found[setting.name] = [
            setting.default,
            setting.format_value(setting.default),
            setting.is_reloadable,
            accepted,
        ]
    return found


def router_settings() -> object:
    """Return the settings that are read from a document with all settings and from a minimal one."""
    full = {
        **SETTINGS,
        "zone": 1,
        "balancers": 3,
        "position": 2,
        "over_share_worth": 0.5,
        "weights": "nominal",
        "costs": {"probe": 0.25, "cross_zone": 0.125},
        "report": {"fields": ["load", "heat"], "source": "header"},
        "domain": {"mode": "through", "origin_kind": 1, "origin_fall_multiple": 2.5},
        "rules": {
            "stop_sending_within": 1,
            "grace_to_answer": 2,
            "ask_every": 3,
            "cold_from": 0.5,
            "warm_within": 4,
            "tip_multiple": 5,
            "fall": 6,
        },
        "limits": {
            "max_attempts": 4,
            "second_copies": True,
            "cancelling": True,
            "probes": True,
            "peers": True,
            "retry_after": True,
            "max_retry_after": 7,
        },
    }
    short = {"request_classes": [{"deadline": 1000.0}]}
    return [_as_plain_values(reader.parse_settings(json.dumps(env).encode())) for env in (full, short)]


def _as_plain_values(settings: api.RouterSettings) -> object:
    """Return settings as lists of their values in a fixed order."""
    classes = [
        [
            c.objective_ms,
            c.deadline_ms,
            c.worth,
            c.late_share,
            c.effect.value,
            c.group.value,
            c.repeat_window_ms,
            c.streaming,
        ]
        for c in settings.classes
    ]
    rules, limits = settings.rules, settings.limits
    return {
        "classes": classes,
        "tenants": [[tenant.share, tenant.quota_per_s] for tenant in settings.tenants],
        "rules": [
            rules.stop_sending_within,
            rules.grace_to_answer,
            rules.ask_every,
            rules.cold_from,
            rules.warm_within,
            rules.tip_multiple,
            rules.fall,
        ],
        "limits": [
            limits.max_attempts,
            limits.allow_hedging,
            limits.allow_cancel,
            limits.allow_probes,
            limits.allow_peer_messages,
            limits.max_retry_after_ms,
        ],
        "rest": [
            settings.mode.value,
            settings.origin_kind,
            settings.origin_fall_multiple,
            settings.zone,
            settings.subscribe,
            settings.pushed,
            settings.sized_weights,
            list(settings.report_fields),
            settings.routers,
            settings.position,
            settings.over_share_worth,
            settings.probe_cost,
            settings.cross_zone_cost,
        ],
    }


def fleet_settings() -> object:
    """Return the defaults of the fleet file, and the values of deploy/fleet.toml."""
    defaults = fleet_file.FleetFile.model_validate({"witnesses": {"w1": "h:1"}, "drains": {"back": {}}})
    return [
        defaults.model_dump(mode="json"),
        fleet_file.load(ROOT / "deploy" / "fleet.toml")[0].model_dump(mode="json"),
    ]


def lab_configuration() -> object:
    """Return the configuration that the lab writes for a router, and the settings of its experiment."""
    calm = experiment.load_experiment(ROOT / "experiments" / "calm.toml")
    router = router_config.RouterInstance("n1", "127.0.0.1:1", "127.0.0.1:2", {"rev": 1}, position=1)
    document = router_config.router_config_document(calm, router)
    return [document, calm.model_dump(mode="json")]


def deploy_keys() -> object:
    """Return the keys of deploy/balancer.toml, by table."""
    document = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text("utf-8"))
    return {name: sorted(part) if isinstance(part, dict) else None for name, part in document.items()}


SETTINGS_FORMS: dict[str, Form] = {
    "settings-operators.json": Form(operator_settings, as_json, grows=True),
    "settings-router.json": Form(router_settings, as_json),
    "settings-fleet.json": Form(fleet_settings, as_json, grows=True),
    "deploy-keys.json": Form(deploy_keys, as_json),
    "lab-configuration.json": Form(lab_configuration, as_json),
}
