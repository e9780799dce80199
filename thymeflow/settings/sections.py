"""The sections of the settings file. A new subsystem adds its section here and reads it from `Settings`.

The field names are the keys of the file with `_` for `-`; they are part of the file format, so they must not change.
Durations are in seconds. The annotated example is deploy/thymeflow.ini; a test compares it with these defaults.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

from thymeflow.settings.units import Choice, Count, Duration, Size, Switch, Text

ADDRESS = r"(\[[0-9a-fA-F:]+\]|[^:\s]+):[0-9]{1,5}"


@dataclass(frozen=True, slots=True)
class Daemon:
    """Settings of one instance that runs as a daemon."""

    platform: Annotated[str, Text()] = ""  # Path of the platform's JSON; if empty, BALANCER_CONFIG
    state: Annotated[str, Text()] = ""  # Folder of the lock, the control socket and the snapshot
    control: Annotated[bool, Switch()] = True
    control_callers: Annotated[int, Count(1, 64)] = 8  # Maximum number of connections to the control socket
    control_patience: Annotated[float, Duration(0.1, 60.0)] = 5.0  # Timeout of a control connection without a message
    hand_over: Annotated[float, Duration(0.5, 60.0)] = 5.0  # Time limit of each step of a handover
    # How long the instance accepts new connections after SIGTERM.
    drain_linger: Annotated[float, Duration(0.0, 10.0)] = 0.7


@dataclass(frozen=True, slots=True)
class Log:
    """Destination, form and level of log lines."""

    form: Annotated[str, Choice(("text", "json"))] = "text"
    file: Annotated[str, Text()] = ""  # If empty, standard error
    level: Annotated[str, Choice(("debug", "info", "warning", "error"))] = "info"
    most_line: Annotated[int, Size(256, 1 << 16)] = 4096  # Maximum length of a line in bytes


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The snapshot file, which an instance restores after a restart."""

    every: Annotated[float, Duration(0.1, 3600.0)] = 2.0  # Cannot be 0; `keep` turns snapshots off
    fresh: Annotated[float, Duration(0.1, 86400.0)] = 30.0  # Maximum age of a snapshot that is restored
    keep: Annotated[bool, Switch()] = True


@dataclass(frozen=True, slots=True)
class Fleet:
    """A fleet of instances under one supervisor."""

    instances: Annotated[int, Count(1, 256)] = 3
    name: Annotated[str, Text(r"[a-z][a-z0-9]{0,15}", "n")] = "n"  # Prefix of the names of instances: n0, n1, ...
    # Address of the first member; each further member has the next port. Port 0 stands for any free port.
    listen: Annotated[str, Text(ADDRESS, "127.0.0.1:7000")] = "127.0.0.1:0"
    spread: Annotated[float, Duration(0.0, 600.0)] = 2.0  # Period over which the starts of all members are spread
    ready: Annotated[float, Duration(0.2, 600.0)] = 20.0  # Time limit from the start of a member to its readiness
    settle: Annotated[float, Duration(0.0, 600.0)] = 1.0  # Time a member must be healthy before a rollout continues
    stop: Annotated[float, Duration(0.2, 600.0)] = 15.0  # Time limit from the drain request to the exit
    wait: Annotated[float, Duration(0.01, 60.0)] = 0.5  # Backoff before the first restart; doubles, with jitter
    longest_wait: Annotated[float, Duration(0.1, 3600.0)] = 30.0  # Maximum backoff
    crashes: Annotated[int, Count(1, 100)] = 5  # Crashes within `crash_window` that count as a crash loop
    crash_window: Annotated[float, Duration(1.0, 86400.0)] = 60.0
    linger: Annotated[float, Duration(0.0, 10.0)] = 0.1  # Short, because the supervisor keeps the sockets open


@dataclass(frozen=True, slots=True)
class Budgets:
    """How the limits of a fleet are divided among its members."""

    # How customers' quotas are divided: "tickets" by reservation, "demand" by estimated demand.
    units: Annotated[str, Choice(("tickets", "demand"))] = "tickets"
    calls: Annotated[int, Count(1, 1_000_000)] = 500  # Calls of the fleet to the counter per second
    trials: Annotated[int, Count(1, 10_000)] = 1  # Half-open probes of each failed backend per second
    connections: Annotated[int, Count(0, 1_000_000)] = 0  # Connections of the fleet to one backend; 0 means no limit


@dataclass(frozen=True, slots=True)
class Overload:
    """How the members of a fleet eject failing backends."""

    together: Annotated[bool, Switch()] = True  # Eject by quorum; if off, each member by its own observations


@dataclass(frozen=True, slots=True)
class Settings:
    """All sections of the settings file; each field has the name of its section."""

    daemon: Daemon = field(default_factory=Daemon)
    log: Log = field(default_factory=Log)
    snapshot: Snapshot = field(default_factory=Snapshot)
    fleet: Fleet = field(default_factory=Fleet)
    budgets: Budgets = field(default_factory=Budgets)
    overload: Overload = field(default_factory=Overload)
