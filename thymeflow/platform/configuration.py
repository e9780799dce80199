"""Reads the platform's configuration file into typed values, and checks whether it may replace the one in force."""

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

# Descriptors for the standard streams, the reactor, the counter and discovery, which clients and backends do not get.
RESERVED_SOCKETS = 40
MIN_SOCKETS = 64
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192

# Values of the key `units`: how limiters share the units of a customer.
UNITS_BY_DEMAND = "demand"  # by demand and estimates
UNITS_BY_RESERVATION = "tickets"  # strictly, by reservations at the counter


class ConfigurationError(ThymeflowError):
    """The configuration cannot be used; the text is one line with the file, the key and the reason."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration of a limiter."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    sockets: int
    memory: int
    endpoints: EndpointUpdate
    settings: GatewaySettings
    management: Address | None = None  # the address for operators' commands
    keys: frozenset[str] = frozenset()  # the key paths of the file, see `collect_key_paths`
    path: str = ""  # the path of the file
    allocation: object = None  # the first allocation of the fleet's resources, if a supervisor leases them
    units: str = UNITS_BY_DEMAND  # or UNITS_BY_RESERVATION


def check_choice(key: str, value: object, choices: tuple[str, ...]) -> str:
    """Return the value of a key if it is one of the choices.

    :raises ValueError: if it is not; the text lists the choices.
    """
    if value not in choices:
        message = f"{key}: {value!r} is none of {', '.join(choices)}"
        raise ValueError(message)
    return str(value)


def collect_key_paths(source: object, where: str = "") -> set[str]:
    """Return the paths of all keys in the configuration; a list contributes the keys that each of its items has.

    The keys of the endpoint list are left out, because the list is checked when it is parsed.
    """
    if isinstance(source, list):
        item_keys = [collect_key_paths(item, where + "[]") for item in source]
        return set.intersection(*item_keys) if item_keys else set()
    found: set[str] = set()
    if isinstance(source, dict):
        for key, value in source.items():
            if key == "part" and not where:  # The first allocation; later ones arrive over the control socket.
                continue
            path = f"{where}.{key}" if where else key
            found |= {path} | (collect_key_paths(value, path) if path != "known" else set())
    return found


def check_reload(configuration: Configuration, previous: Configuration) -> None:
    """Check that a configuration may replace the one in force.

    :raises ConfigurationError: if it lacks a key of the one in force, as a truncated file does, or belongs to another
        limiter.
    """
    path = configuration.path
    missing = sorted(previous.keys - configuration.keys, key=lambda key: (key.count("."), key))
    if missing:
        message = f"{path}: {missing[0]} is missing, though the settings in force have it"
        raise ConfigurationError(message)
    if configuration.name != previous.name:
        message = f"{path}: name: the file is for limiter {configuration.name!r}, and this limiter is {previous.name!r}"
        raise ConfigurationError(message)
    plans = {plan.name for plan in previous.settings.plans}
    if plans and plans.isdisjoint(plan.name for plan in configuration.settings.plans):
        message = f"{path}: settings.tiers-of-service: no plan of the file is in force; the file is another customer's"
        raise ConfigurationError(message)


def load(environment: Mapping[str, str] = os.environ) -> Configuration:
    """Read the file that the variable BALANCER_CONFIG names.

    :raises ConfigurationError: if the variable is not set, or the file cannot be read or is invalid.
    """
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
    """Return the configuration in a JSON value that was read from `path`.

    :raises ConfigurationError: if the value is invalid.
    """
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
        keys=frozenset(collect_key_paths(source)),
        path=path,
        allocation=source.get("part"),
        units=check_choice("units", source.get("units", UNITS_BY_DEMAND), (UNITS_BY_DEMAND, UNITS_BY_RESERVATION)),
    )
