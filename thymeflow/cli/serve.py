"""`thymeflow serve`: runs one limiter as a daemon."""

from __future__ import annotations

import contextlib
import os
import sys
from dataclasses import replace

import click

from thymeflow.cli.options import platform_option, read_settings_or_exit, settings_option
from thymeflow.settings import Settings, read_settings


@click.command()
@settings_option
@platform_option
@click.option(
    "--state", type=click.Path(file_okay=False), default=None, help="The state folder; overrides [daemon] state."
)
@click.option("--joins", is_flag=True, help="Join a running set of limiters: token buckets start empty.")
@click.option(
    "--take-over",
    is_flag=True,
    help="Take over socket, name and state from the running process of this name, which then drains.",
)
@click.option(
    "--detach", is_flag=True, help="Run in a new session, so that the process outlives the shell that started it."
)
def serve(
    settings_path: str | None, platform: str | None, state: str | None, joins: bool, take_over: bool, detach: bool
) -> None:
    """Run one limiter as a daemon, in the foreground."""
    settings = read_settings_or_exit(settings_path)
    if detach:
        with contextlib.suppress(OSError):  # The process is already a session leader
            os.setsid()

    from thymeflow.daemon import service
    from thymeflow.platform import configuration

    platform_path = platform or settings.daemon.platform or os.environ.get("BALANCER_CONFIG", "")
    environment = {**os.environ, "BALANCER_CONFIG": platform_path}
    exit_code = service.serve(
        _override_state_folder(settings, state),
        lambda: configuration.load(environment),
        service.Options(joins, take_over),
        lambda: _override_state_folder(read_settings(settings_path), state),
    )
    sys.exit(exit_code)


def _override_state_folder(settings: Settings, state: str | None) -> Settings:
    """Return the settings with their state folder replaced by that of the command line, if it names one."""
    return replace(settings, daemon=replace(settings.daemon, state=state)) if state else settings
