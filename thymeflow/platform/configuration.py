"""The platform's configuration file, decoded once into typed values."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from thymeflow.decision.settings import GatewaySettings
from thymeflow.errors import ThymeflowError
from thymeflow.platform.endpoints import Address, EndpointUpdate, address, parse_endpoint_update
from thymeflow.platform.settings import JsonObject, parse_platform_settings

RESERVED_SOCKETS = 40  # descriptors for standard streams, the reactor, the counter and discovery
MIN_SOCKETS = 64
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192

# Ways to divide customers' units, as the file names them: by demand and estimates, or strictly.
UNITS_BY_DEMAND = "demand"
UNITS_BY_RESERVATION = "tickets"


class ConfigurationError(ThymeflowError):
    """The configuration cannot be used; the text says why in one line."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """All that a limiter is given at its start."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    sockets: int
    memory: int
    endpoints: EndpointUpdate
    settings: GatewaySettings
    management: Address | None = None  # where operators call
    keys: frozenset[str] = frozenset()  # of the file, see `keys_of`
    path: str = ""  # of the file
    allocation: object = None  # of the fleet's resources, where a supervisor leases them
    units: str = UNITS_BY_DEMAND


def one_of(key: str, value: object, choices: tuple[str, ...]) -> str:
    """Return a value that has to be one of a few; ValueError names them."""
    if value not in choices:
        message = f"{key}: {value!r} is none of {', '.join(choices)}"
        raise ValueError(message)
    return str(value)


def keys_of(source: object, where: str = "") -> set[str]:
    """Return the keys of the configuration by their paths; of a list, those that each of its items has.

    The endpoint list is left out: whether it can be read shows when it is read.
    """
    if isinstance(source, list):
        keys_of_items = [keys_of(item, where + "[]") for item in source]
        return set.intersection(*keys_of_items) if keys_of_items else set()
    found: set[str] = set()
    if isinstance(source, dict):
        for key, value in source.items():
            if key == "part" and not where:  # the first allocation; later ones come over the control socket
                continue
            path = f"{where}.{key}" if where else key
            found |= {path} | (keys_of(value, path) if path != "known" else set())
    return found


def check_reload(configuration: Configuration, previous: Configuration) -> None:
    """Check that a file may replace the one in force.

    :raises ConfigurationError: where it lacks what the one in force has, as a file that was cut does, or where it is
        another limiter's.
    """
    path = configuration.path
    missing = sorted(previous.keys - configuration.keys, key=lambda key: (key.count("."), key))
    if missing:
        message = f"{path}: {missing[0]} is missing, though the settings in force have it"
        raise ConfigurationError(message)
    if configuration.name != previous.name:
        message = f"{path}: name: it is {configuration.name!r}'s, and this limiter is {previous.name!r}"
        raise ConfigurationError(message)
    plans = {plan.name for plan in previous.settings.plans}
    if plans and plans.isdisjoint(plan.name for plan in configuration.settings.plans):
        message = f"{path}: settings.tiers-of-service: none is a plan in force: another customer's file"
        raise ConfigurationError(message)


def load(environment: Mapping[str, str] = os.environ) -> Configuration:
    """Read the file that the environment names; ConfigurationError says what is wrong in one line."""
    path = environment.get("BALANCER_CONFIG")
    if not path:
        message = "BALANCER_CONFIG is not set"
        raise ConfigurationError(message)
    try:
        source = json.loads(Path(path).read_text())
    except (OSError, ValueError) as fault:
        message = f"{path}: {fault}"
        raise ConfigurationError(message) from None
    return parse_configuration(source, path, environment)


def parse_configuration(source: object, path: str, environment: Mapping[str, str]) -> Configuration:
    """Return the configuration in a JSON value that was read from `path`; ConfigurationError says what is wrong."""
    if not isinstance(source, dict):
        message = f"{path}: no JSON object"
        raise ConfigurationError(message)
    try:
        return _decode(source, path, environment)
    except KeyError as fault:
        message = f"{path}: {fault} is missing"
        raise ConfigurationError(message) from None
    except (ValueError, TypeError, AttributeError, OverflowError) as fault:
        message = f"{path}: {fault}"
        raise ConfigurationError(message) from None


def _decode(source: JsonObject, path: str, environment: Mapping[str, str]) -> Configuration:
    limits = source.get("limits", {})
    sockets = int(limits.get("sockets", DEFAULT_SOCKETS))
    if sockets < MIN_SOCKETS:
        message = f"limits.sockets: {sockets} is under {MIN_SOCKETS}"
        raise ValueError(message)
    settings = parse_platform_settings(source["settings"])
    if settings.information.counter and not source.get("counter"):
        message = "counter is missing, though the settings allow calls"
        raise ValueError(message)
    management = source.get("mgmt") or environment.get("BALANCER_MGMT")
    no_endpoints = {"generation": 0, "reset": True, "instances": []}
    return Configuration(
        name=str(source.get("name") or environment.get("BALANCER_NAME", "limiter")),
        listen=address(source.get("listen") or environment.get("BALANCER_LISTEN"), 0),
        discovery=address(source.get("discovery") or environment.get("BALANCER_DISCOVERY")),
        counter=address(source["counter"]) if source.get("counter") else None,
        seed=int(str(source.get("seed", "0")), 16),
        sockets=sockets,
        memory=int(float(limits.get("memory_mb", DEFAULT_MEMORY_MB)) * 2**20),
        endpoints=parse_endpoint_update(source.get("known") or no_endpoints, cached=True),
        settings=settings,
        management=address(management, 0) if management else None,
        keys=frozenset(keys_of(source)),
        path=path,
        allocation=source.get("part"),
        units=one_of("units", source.get("units", UNITS_BY_DEMAND), (UNITS_BY_DEMAND, UNITS_BY_RESERVATION)),
    )
