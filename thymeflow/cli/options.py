"""Command line options that several commands share."""

from __future__ import annotations

import functools
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Concatenate, ParamSpec

import click

from thymeflow.cli.output import BAD_SETTINGS, exit_with_error
from thymeflow.settings import Settings, SettingsError, read_settings

P = ParamSpec("P")

settings_option = click.option(
    "--settings",
    "settings_path",
    type=click.Path(dir_okay=False),
    default=None,
    help="The settings file (INI); default: no file. THYMEFLOW_SECTION_KEY variables override it.",
)
state_option = click.option(
    "--state",
    type=click.Path(file_okay=False),
    default=None,
    help="The folder of control sockets; default: [daemon] state.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON, for programs.")
platform_option = click.option(
    "--platform",
    type=click.Path(dir_okay=False),
    default=None,
    help="The platform's JSON; default: [daemon] platform, or BALANCER_CONFIG.",
)


@dataclass(frozen=True, slots=True)
class ControlOptions:
    """The options of a command that sends a request to a control socket."""

    settings_path: str | None
    state: str | None
    as_json: bool

    def find_socket_path(self, name: str) -> Path:
        """Return the path of the control socket `name`; exit if neither settings nor options name a state folder."""
        return find_state_folder(read_settings_or_exit(self.settings_path), self.state) / f"{name}.sock"


def control_options(command: Callable[Concatenate[ControlOptions, P], None]) -> Callable[..., None]:
    """Add --settings, --state and --json to a command, which receives their values as one `ControlOptions`."""

    @settings_option
    @state_option
    @json_option
    @functools.wraps(command)
    def command_with_options(
        settings_path: str | None, state: str | None, as_json: bool, *args: P.args, **kwargs: P.kwargs
    ) -> None:
        """Run the command with the values of the shared options."""
        command(ControlOptions(settings_path, state, as_json), *args, **kwargs)

    return command_with_options


def read_settings_or_exit(path: str | None) -> Settings:
    """Return the settings; if they cannot be used, print every fault and exit."""
    try:
        return read_settings(path)
    except SettingsError as error:
        for fault in error.faults:
            click.echo(f"thymeflow: {fault}", err=True)
        sys.exit(BAD_SETTINGS)


def find_state_folder(settings: Settings, state: str | None) -> Path:
    """Return the folder of locks, control sockets and snapshots; exit if neither settings nor options name one."""
    folder = state or settings.daemon.state
    if not folder:
        exit_with_error("no state folder: set [daemon] state, or give --state", BAD_SETTINGS)
    return Path(folder)
