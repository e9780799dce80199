"""The sections of the settings file. A new subsystem adds its section here and finds it in `Settings`.

Field names are the keys of the file with `_` for `-`: they are a format, and stay as they are. Durations are in
seconds. The annotated example is deploy/thymeflow.ini, and a test reads it and compares it with these defaults.
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
    hand_over: Annotated[float, Duration(0.5, 60.0)] = 5.0  # time limit of one step of a handover
    drain_linger: Annotated[float, Duration(0.0, 10.0)] = 0.7  # after SIGTERM, new connections are still accepted


@dataclass(frozen=True, slots=True)
class Log:
    """Where log lines go and in which form."""

    form: Annotated[str, Choice(("text", "json"))] = "text"
    file: Annotated[str, Text()] = ""  # standard error if empty
    level: Annotated[str, Choice(("debug", "info", "warning", "error"))] = "info"
    most_line: Annotated[int, Size(256, 1 << 16)] = 4096  # maximum length of a line, in bytes


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The snapshot file, which a restart restores."""

    every: Annotated[float, Duration(0.1, 3600.0)] = 2.0  # 0 is not allowed: switch it off with `keep`
    fresh: Annotated[float, Duration(0.1, 86400.0)] = 30.0  # older snapshots are not restored at a start
    keep: Annotated[bool, Switch()] = True


@dataclass(frozen=True, slots=True)
class Fleet:
    """A fleet of instances under one supervisor."""

    instances: Annotated[int, Count(1, 256)] = 3
    name: Annotated[str, Text(r"[a-z][a-z0-9]{0,15}", "n")] = "n"  # instances are n0, n1, ...
    listen: Annotated[str, Text(ADDRESS, "127.0.0.1:7000")] = "127.0.0.1:0"  # +1 for each member; port 0: any free port
    spread: Annotated[float, Duration(0.0, 600.0)] = 2.0  # the starts of all members are spread over this time
    ready: Annotated[float, Duration(0.2, 600.0)] = 20.0  # time limit from a start to readiness
    settle: Annotated[float, Duration(0.0, 600.0)] = 1.0  # healthy for this long before a rollout continues
    stop: Annotated[float, Duration(0.2, 600.0)] = 15.0  # time limit from drain to exit
    wait: Annotated[float, Duration(0.01, 60.0)] = 0.5  # backoff before the first restart; doubles, with jitter
    longest_wait: Annotated[float, Duration(0.1, 3600.0)] = 30.0  # longest backoff
    crashes: Annotated[int, Count(1, 100)] = 5  # this many within `crash_window` are a crash loop
    crash_window: Annotated[float, Duration(1.0, 86400.0)] = 60.0
    linger: Annotated[float, Duration(0.0, 10.0)] = 0.1  # short: the supervisor keeps the sockets open


@dataclass(frozen=True, slots=True)
class Budgets:
    """How the fleet limits are divided among its members."""

    units: Annotated[str, Choice(("tickets", "demand"))] = (
        "tickets"  # customers' quotas: by reservation, or by estimated demand
    )
    calls: Annotated[int, Count(1, 1_000_000)] = 500  # to the counter, per second
    trials: Annotated[int, Count(1, 10_000)] = 1  # half-open probes of each failed backend, per second
    connections: Annotated[int, Count(0, 1_000_000)] = 0  # to one backend; 0: no limit


@dataclass(frozen=True, slots=True)
class Overload:
    """What members of a fleet do about failing backends."""

    together: Annotated[bool, Switch()] = True  # eject by quorum; else each member by its own observations


@dataclass(frozen=True, slots=True)
class Settings:
    """All sections; the name of a field is the section's."""

    daemon: Daemon = field(default_factory=Daemon)
    log: Log = field(default_factory=Log)
    snapshot: Snapshot = field(default_factory=Snapshot)
    fleet: Fleet = field(default_factory=Fleet)
    budgets: Budgets = field(default_factory=Budgets)
    overload: Overload = field(default_factory=Overload)
