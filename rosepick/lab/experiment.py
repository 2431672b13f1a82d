"""Reads experiment files, which describe a fleet, its traffic, faults and requirements in TOML.

Times in the file are seconds unless the name ends in `_ms` or `_us`; the simulator's clock counts
milliseconds.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from math import ceil
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import Field, ValidationError
from pydantic_core import ErrorDetails

from .experiment_config import (
    ClientsConfig,
    DiscoveryConfig,
    FaultConfig,
    KeysConfig,
    NetworkConfig,
    NodeGroupConfig,
    NonNegativeFloat,
    OriginConfig,
    PositiveFloat,
    RequestClassConfig,
    RequirementConfig,
    RoutersConfig,
    StrictModel,
    TenantConfig,
    TrafficConfig,
)

Location = tuple[int | str, ...]  # path of keys and positions to a value of a document


class Experiment(StrictModel):
    """A whole experiment file; `troubles` are its faults and `must` its requirements."""

    name: str
    seed: Annotated[int, Field(ge=0)] = 1
    length: PositiveFloat = 60.0  # seconds in which requests arrive
    warm_up: NonNegativeFloat = 5.0  # seconds at the start that are not measured
    mode: Literal["aside", "through"] = "aside"
    zones: Annotated[tuple[str, ...], Field(min_length=1)] = ("east",)
    fleet: Annotated[tuple[NodeGroupConfig, ...], Field(min_length=1)] = (NodeGroupConfig(),)
    origin: OriginConfig = OriginConfig()
    discovery: DiscoveryConfig = DiscoveryConfig()
    network: NetworkConfig = NetworkConfig()
    classes: Annotated[tuple[RequestClassConfig, ...], Field(min_length=1)] = (
        RequestClassConfig(name="read"),
    )
    tenants: tuple[TenantConfig, ...] = ()
    keys: KeysConfig = KeysConfig()
    clients: ClientsConfig = ClientsConfig()
    traffic: TrafficConfig = TrafficConfig()
    routers: RoutersConfig = RoutersConfig()
    policy: str = "rosepick"
    troubles: tuple[FaultConfig, ...] = ()
    must: tuple[RequirementConfig, ...] = ()
    max_attempts: Annotated[int, Field(ge=1, le=5)] = 5
    max_retry_after: NonNegativeFloat = 2.0
    # longest time until a router stops sending to a node after a notification of its drain or removal
    stop_sending_within: NonNegativeFloat = 0.75

    def requirement_span(self, requirement: RequirementConfig) -> tuple[float, float]:
        """Return begin and end of a requirement's span, in seconds from the start of the run."""
        since = self.warm_up if requirement.since is None else requirement.since
        if requirement.after is not None:
            fault = self.troubles[requirement.after - 1]
            since = fault.at + fault.last + requirement.within
        return since, self.length if requirement.until is None else requirement.until

    def find_errors(self) -> Iterator[str]:
        """Yield the inconsistencies between tables that are valid by themselves."""
        yield from self._find_zone_errors()
        for number, fault in enumerate(self.troubles):
            yield from self._find_fault_errors(number, fault)
        for number, requirement in enumerate(self.must):
            yield from self._find_requirement_errors(number, requirement)
        for table, names in (
            ("classes", [request_class.name for request_class in self.classes]),
            ("tenants", [tenant.name for tenant in self.tenants]),
        ):
            if len(set(names)) < len(names):
                yield f"{table}: a name comes twice"
        if (self.traffic.arrivals == "trace") != bool(self.traffic.trace):
            yield 'traffic.trace goes with arrivals = "trace"'
        if self.warm_up >= self.length:
            yield "warm_up is not shorter than length"

    def _find_zone_errors(self) -> Iterator[str]:
        zones = [(f"fleet[{n}]", nodes.zone) for n, nodes in enumerate(self.fleet)]
        zones += [(f"troubles[{n}]", fault.zone) for n, fault in enumerate(self.troubles)]
        for path, zone in (*zones, ("origin", self.origin.zone)):
            if zone and zone not in self.zones:
                yield f"{path}.zone {zone!r} is not one of zones"

    def _find_fault_errors(self, number: int, fault: FaultConfig) -> Iterator[str]:
        path = f"troubles[{number}]"
        if fault.at >= self.length:
            yield f"{path}.at is not within length"
        if fault.kind == "isolate" and not fault.zone:
            yield f"{path}.zone: isolate cuts off one zone"
        if fault.kind == "cut" and fault.zones is None:
            yield f"{path}.zones: a cut is between two zones"
        if fault.zones is not None and not set(fault.zones) <= set(self.zones):
            yield f"{path}.zones {fault.zones!r} are not all in zones"
        if fault.part is not None and (fault.nodes, fault.routers) != (None, None):
            yield f"{path}: states both `nodes` or `routers` and `part`"

    def _find_requirement_errors(self, number: int, requirement: RequirementConfig) -> Iterator[str]:
        if requirement.after is not None and requirement.after > len(self.troubles):
            yield f"must[{number}].after: there is no trouble {requirement.after}"
            return
        since, until = self.requirement_span(requirement)
        until = min(until, self.length)
        if ceil(since) >= until:
            yield f"must[{number}]: no whole second from {since:g} to {until:g} s to check"


class ExperimentError(ValueError):
    """An experiment file is invalid; the message has one line for each error, with its location."""

    def __init__(self, errors: tuple[str, ...]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


def load_experiment(path: Path, changes: dict[str, Any] | None = None) -> Experiment:
    """Return the experiment of a file, after `changes` of values by dotted name.

    Raises:
        ExperimentError: the file cannot be read or is invalid.
    """
    try:
        return parse_experiment(path.read_text("utf-8"), path.name, changes)
    except OSError as error:
        raise ExperimentError((f"{path}: {error.strerror or error}",)) from None
    except UnicodeDecodeError:
        raise ExperimentError((f"{path.name}: not UTF-8",)) from None


def parse_experiment(text: str, source_name: str, changes: dict[str, Any] | None = None) -> Experiment:
    """Return the experiment of a file's text, after `changes` of values by dotted name.

    Raises:
        ExperimentError: the text is invalid; the message names all errors.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ExperimentError((f"{source_name}: {error}",)) from None
    for name, value in (changes or {}).items():
        _apply_change(document, name, value, source_name)
    experiment, errors = _validate_parts(document, source_name)
    errors += [f"{source_name}: {error}" for error in experiment.find_errors()]
    if errors:
        raise ExperimentError(tuple(errors))
    return experiment


def _validate_parts(document: dict[str, Any], source_name: str) -> tuple[Experiment, list[str]]:
    """Return the experiment of the valid parts of a document, and the errors of the others.

    Invalid parts are removed from the document, so that errors between the other parts are found too.

    Raises:
        ExperimentError: no experiment is left without the invalid parts.
    """
    messages: list[str] = []
    removed: set[Location] = set()
    while True:
        try:
            return Experiment.model_validate(document), messages
        except ValidationError as error:
            details = [detail for detail in error.errors() if detail["loc"] not in removed]
        locations = {detail["loc"] for detail in details}
        # a list that is too short only because its items are invalid is not reported
        details = [
            detail
            for detail in details
            if not any(_is_nested_in(location, detail["loc"]) for location in locations)
        ]
        messages += [_format_error(source_name, detail) for detail in details]
        if not any([_remove_value(document, detail["loc"]) for detail in details]):
            raise ExperimentError(tuple(messages))
        removed |= locations


def _is_nested_in(location: Location, parent: Location) -> bool:
    return len(location) > len(parent) and location[: len(parent)] == parent


def _remove_value(document: dict[str, Any], location: Location) -> bool:
    """Remove a value from a document; return whether it was there."""
    container: Any = document
    try:
        for step in location[:-1]:
            container = container[step]
        del container[location[-1]]
    except (KeyError, IndexError, TypeError):
        return False
    return True


def _apply_change(document: dict[str, Any], name: str, value: Any, source_name: str) -> None:
    """Set one value by its dotted name, such as `traffic.rate` or `troubles.0.by`.

    Raises:
        ExperimentError: no value has this name.
    """
    *parents, last = name.split(".")
    container: Any = document
    try:
        for step in parents:
            container = (
                container[int(step)] if isinstance(container, list) else container.setdefault(step, {})
            )
        if isinstance(container, list):
            container[int(last)] = value
        else:
            container[last] = value
    except (ValueError, IndexError, TypeError, AttributeError):
        raise ExperimentError((f"{source_name}: {name} names nothing that can be set",)) from None


def _format_error(source_name: str, detail: ErrorDetails) -> str:
    path = ""
    for step in detail["loc"]:
        path += f"[{step}]" if isinstance(step, int) else f".{step}" if path else str(step)
    message = detail["msg"].removeprefix("Value error, ")
    return f"{source_name}: {path}: {message}" if path else f"{source_name}: {message}"
