"""What a supervisor is started with."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from thymeflow.settings import Settings


@dataclass(frozen=True, slots=True)
class SupervisorOptions:
    """How the supervisor reads its settings, and the files and the program that its members are to use."""

    read_settings: Callable[[], Settings]
    settings_path: str  # empty: members read their settings from the default place
    platform_path: Path
    state_folder: Path
    program: str = ""  # command line of the members; empty: this program
