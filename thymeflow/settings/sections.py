"""The sections of our settings file. A later subsystem adds its section here and finds it in `Settings`.

Field names are the keys of the file with `_` for `-`. The annotated example is deploy/thymeflow.ini, and a
test reads it and compares it with these start values.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

from thymeflow.settings.units import Choice, Count, Duration, Size, Switch, Text

ADDRESS = r"(\[[0-9a-fA-F:]+\]|[^:\s]+):[0-9]{1,5}"


@dataclass(frozen=True, slots=True)
class Daemon:
    """One instance as a daemon."""

    platform: Annotated[str, Text()] = ""  # the platform's JSON; BALANCER_CONFIG if empty
    state: Annotated[str, Text()] = ""  # folder of lock, control socket and snapshot
    control: Annotated[bool, Switch()] = True
    control_callers: Annotated[int, Count(1, 64)] = 8
    control_patience: Annotated[float, Duration(0.1, 60.0)] = 5.0
    hand_over: Annotated[float, Duration(0.5, 60.0)] = 5.0  # one step of it, at most
    drain_linger: Annotated[float, Duration(0.0, 10.0)] = 0.7  # after SIGTERM user agents still come


@dataclass(frozen=True, slots=True)
class Log:
    """Where lines go and in which form."""

    form: Annotated[str, Choice(("text", "json"))] = "text"
    file: Annotated[str, Text()] = ""  # standard error if empty
    level: Annotated[str, Choice(("debug", "info", "warning", "error"))] = "info"
    most_line: Annotated[int, Size(256, 1 << 16)] = 4096


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State that outlives a process."""

    every: Annotated[float, Duration(0.1, 3600.0)] = 2.0  # 0 is no value: switch it off with `keep`
    fresh: Annotated[float, Duration(0.1, 86400.0)] = 30.0  # older ones are not read at a start
    keep: Annotated[bool, Switch()] = True


@dataclass(frozen=True, slots=True)
class Fleet:
    """Many instances from one file."""

    instances: Annotated[int, Count(1, 256)] = 3
    name: Annotated[str, Text(r"[a-z][a-z0-9]{0,15}", "n")] = "n"  # instances are n0, n1, ...
    listen: Annotated[str, Text(ADDRESS, "127.0.0.1:7000")] = "127.0.0.1:0"  # +1 each; 0: the system's choice
    spread: Annotated[float, Duration(0.0, 600.0)] = 2.0  # a start of all is spread over it
    ready: Annotated[float, Duration(0.2, 600.0)] = 20.0  # from a start to readiness, at most
    settle: Annotated[float, Duration(0.0, 600.0)] = 1.0  # healthy for so long before a roll goes on
    stop: Annotated[float, Duration(0.2, 600.0)] = 15.0  # from drain to the end, at most
    wait: Annotated[float, Duration(0.01, 60.0)] = 0.5  # before the first restart; doubles, jittered
    longest_wait: Annotated[float, Duration(0.1, 3600.0)] = 30.0
    crashes: Annotated[int, Count(1, 100)] = 5  # within `crash_window`: a crash loop
    crash_window: Annotated[float, Duration(1.0, 86400.0)] = 60.0
    linger: Annotated[float, Duration(0.0, 10.0)] = 0.1  # its sockets stay open, so nobody need be told


@dataclass(frozen=True, slots=True)
class Budgets:
    """How what the fleet may do is divided among its members."""

    units: Annotated[str, Choice(("tickets", "demand"))] = "tickets"  # of customers: strictly, or by demand and belief
    calls: Annotated[int, Count(1, 1_000_000)] = 500  # to the counter, a second
    trials: Annotated[int, Count(1, 10_000)] = 1  # of a server that has failed, of each, a second
    connections: Annotated[int, Count(0, 1_000_000)] = 0  # that one server holds; 0: as many as it takes


@dataclass(frozen=True, slots=True)
class Overload:
    """What members of a fleet do about servers that fail."""

    together: Annotated[bool, Switch()] = True  # on the word of all; else each by what it has seen itself


@dataclass(frozen=True, slots=True)
class Settings:
    """All sections; the name of a field is the section's."""

    daemon: Daemon = field(default_factory=Daemon)
    log: Log = field(default_factory=Log)
    snapshot: Snapshot = field(default_factory=Snapshot)
    fleet: Fleet = field(default_factory=Fleet)
    budgets: Budgets = field(default_factory=Budgets)
    overload: Overload = field(default_factory=Overload)
