"""The options that a supervisor is started with."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from thymeflow.settings import Settings


@dataclass(frozen=True, slots=True)
class SupervisorOptions:
    """The function that reads the supervisor's settings, and the files and the program that its members use."""

    read_settings: Callable[[], Settings]
    settings_path: str  # If empty, members read their settings from the default path.
    platform_path: Path
    state_folder: Path
    program: str = ""  # Command line with which members are started; if empty, that of the running thymeflow.
