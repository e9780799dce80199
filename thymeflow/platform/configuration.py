"""The configuration and the list of application servers, decoded once into the few values in use.

Settings go through the adapter's own `settings_from`, so that the real limiter and the simulator's
instances cannot read the same object differently.
"""

from __future__ import annotations

import hashlib
import json
import os
import re
from collections.abc import Mapping
from dataclasses import dataclass
from math import isfinite
from pathlib import Path
from typing import Any, NamedTuple

from thymeflow.decision.events import EndpointsChanged
from thymeflow.decision.settings import GatewaySettings
from thymeflow.decision.types import Backend, BackendState, EndpointListKind
from thymeflow.runtime import log
from thymeflow.simulator import settings_from

STATES = {"active": BackendState.READY, "leaving": BackendState.DRAINING, "left": BackendState.GONE}
_PLAIN_ID = re.compile(r"s-[0-9a-f]{8}")
SPARE_SOCKETS = 40  # descriptors for standard streams, the reactor, the counter and discovery
FEWEST_SOCKETS = 64


class ConfigurationError(Exception):
    """The configuration cannot be used; the text says why in one line."""


DEMAND, TICKETS = "demand", "tickets"  # ways to divide customers' units: by demand and belief, or strictly


class Address(NamedTuple):
    """Where to connect or to listen."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class EndpointUpdate(NamedTuple):
    """A change of the list: what the module is told, and where each application server listens."""

    change: EndpointsChanged
    addresses: dict[int, Address]


@dataclass(frozen=True, slots=True)
class Configuration:
    """All that the limiter is told at its start."""

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
    keys: frozenset[str] = frozenset()  # that the file has, see `keys_of`
    path: str = ""  # of the file
    allocation: object = None  # of what the fleet may do, where a supervisor divides it
    units: str = DEMAND  # how customers' units are divided among the set


def address(text: Any, least: int = 1) -> Address:
    """An address written host:port; `least` 0 lets the system choose a port to listen on."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isascii() or not port.isdigit() or not least <= int(port) < 65536:
        raise ValueError(f"{text!r} is no address")
    return Address(host.strip("[]"), int(port))


def one_of(key: str, value: Any, known: tuple[str, ...]) -> str:
    """A word that has to be one of a few; ValueError says which."""
    if value not in known:
        raise ValueError(f"{key}: {value!r} is none of {', '.join(known)}")
    return str(value)


def application_server_number(name: Any) -> int:
    """The number by which the module knows an application server: its id's digits, or else a digest."""
    if not isinstance(name, str) or not name:
        raise ValueError(f"{name!r} is no instance id")
    if _PLAIN_ID.fullmatch(name):
        return int(name[2:], 16)
    return 1 << 32 | int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "big")


def listed(message: Any, cached: bool = False) -> EndpointUpdate:
    """A message in discovery's form; ValueError, KeyError or TypeError where it is not."""
    backends, addresses = [], {}
    for entry in message["instances"]:
        number, lifecycle = application_server_number(entry["instanceId"]), entry["lifecycle"]
        state = STATES.get(lifecycle, BackendState.DRAINING)
        if lifecycle not in STATES:  # a later discovery's word: whether it wants new work is not known, so none
            log.say("discovery", f"{entry['instanceId']}: lifecycle {lifecycle!r} is unknown, nothing new goes there")
        weight, started = float(entry.get("weight", 1.0)), float(entry.get("startedAtMs", 0))
        if not (isfinite(weight) and weight >= 0.0 and isfinite(started)):
            raise ValueError("weight or startedAtMs is no number")  # NaN would spread through the scores
        backends.append(
            Backend(
                number,
                str(entry.get("zone", "")),
                state,
                int(entry.get("cell", 0)),
                str(entry.get("machineType", "")),
                weight,
                max(0.0, started) / 1000.0,
            )
        )
        if state is not BackendState.GONE:
            addresses[number] = address(entry["hostPort"])
    whole = EndpointListKind.CACHED if cached else EndpointListKind.FULL
    kind = whole if cached or message.get("reset") else EndpointListKind.DELTA
    return EndpointUpdate(EndpointsChanged(kind, tuple(backends), int(message["generation"])), addresses)


def keys_of(source: Any, where: str = "") -> set[str]:
    """The keys of the configuration by their paths; of a list, those that each of its parts has.

    The list of servers is left out: whether it can be read shows when it is read.
    """
    if isinstance(source, list):
        parts = [keys_of(part, where + "[]") for part in source]
        return set.intersection(*parts) if parts else set()
    found: set[str] = set()
    if isinstance(source, dict):
        for key, value in source.items():
            if key == "part" and not where:  # what a life starts with; what is granted later comes another way
                continue
            path = f"{where}.{key}" if where else key
            found |= {path} | (keys_of(value, path) if path != "known" else set())
    return found


def complete(given: Configuration, before: Configuration) -> None:
    """ConfigError where the file lacks what the one in force has, as one that was cut, or is not this limiter's."""
    if missing := sorted(before.keys - given.keys, key=lambda path: (path.count("."), path)):
        raise ConfigurationError(f"{given.path}: {missing[0]} is missing, though the settings in force have it")
    if given.name != before.name:
        raise ConfigurationError(f"{given.path}: name: it is {given.name!r}'s, and this limiter is {before.name!r}")
    plans = {plan.name for plan in before.settings.plans}
    if plans and plans.isdisjoint(plan.name for plan in given.settings.plans):
        raise ConfigurationError(
            f"{given.path}: settings.tiers-of-service: none is a plan in force: another customer's file"
        )


def load(environment: Mapping[str, str] = os.environ) -> Configuration:
    """Read the file that the environment names; ConfigError says what is wrong in one line."""
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigurationError("BALANCER_CONFIG is not set")
    try:
        source = json.loads(Path(path).read_text())
    except (OSError, ValueError) as fault:
        raise ConfigurationError(f"{path}: {fault}") from None
    return from_source(source, path, environment)


def from_source(source: Any, path: str, environment: Mapping[str, str]) -> Configuration:
    """The configuration in a JSON value that was read from `path`; ConfigError says what is wrong."""
    if not isinstance(source, dict):
        raise ConfigurationError(f"{path}: no JSON object")
    try:
        limits = source.get("limits", {})
        sockets = int(limits.get("sockets", 1024))
        if sockets < FEWEST_SOCKETS:
            raise ValueError(f"limits.sockets: {sockets} is under {FEWEST_SOCKETS}")
        settings = settings_from(source["settings"])
        if settings.information.counter and not source.get("counter"):
            raise ValueError("counter is missing, though the settings allow calls")
        management = source.get("mgmt") or environment.get("BALANCER_MGMT")
        empty = {"generation": 0, "reset": True, "instances": []}
        return Configuration(
            name=str(source.get("name") or environment.get("BALANCER_NAME", "limiter")),
            listen=address(source.get("listen") or environment.get("BALANCER_LISTEN"), 0),
            discovery=address(source.get("discovery") or environment.get("BALANCER_DISCOVERY")),
            counter=address(source["counter"]) if source.get("counter") else None,
            seed=int(str(source.get("seed", "0")), 16),
            sockets=sockets,
            memory=int(float(limits.get("memory_mb", 192)) * 2**20),
            endpoints=listed(source.get("known") or empty, cached=True),
            settings=settings,
            management=address(management, 0) if management else None,
            keys=frozenset(keys_of(source)),
            path=path,
            allocation=source.get("part"),
            units=one_of("units", source.get("units", DEMAND), (DEMAND, TICKETS)),
        )
    except KeyError as fault:
        raise ConfigurationError(f"{path}: {fault} is missing") from None
    except (ValueError, TypeError, AttributeError, OverflowError) as fault:
        raise ConfigurationError(f"{path}: {fault}") from None
