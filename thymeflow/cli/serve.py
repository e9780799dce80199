"""`thymeflow serve`: one limiter as a daemon."""

from __future__ import annotations

import contextlib
import os
import sys
from dataclasses import replace

import click

from thymeflow.cli.options import platform_option, read_or_exit, settings_option
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
    "--detach", is_flag=True, help="Run in a session of its own, so that it outlives the shell that started it."
)
def serve(
    settings_path: str | None, platform: str | None, state: str | None, joins: bool, take_over: bool, detach: bool
) -> None:
    """Run one limiter as a daemon, in the foreground."""
    settings = read_or_exit(settings_path)
    if detach:
        with contextlib.suppress(OSError):  # it is a session leader already
            os.setsid()

    from thymeflow.daemon import service
    from thymeflow.platform import configuration

    platform_path = platform or settings.daemon.platform or os.environ.get("BALANCER_CONFIG", "")
    environment = {**os.environ, "BALANCER_CONFIG": platform_path}
    exit_code = service.serve(
        _with_state(settings, state),
        lambda: configuration.load(environment),
        service.Options(joins, take_over),
        lambda: _with_state(read_settings(settings_path), state),
    )
    sys.exit(exit_code)


def _with_state(settings: Settings, state: str | None) -> Settings:
    """Return the settings with the state folder of the command line, if there is one."""
    return replace(settings, daemon=replace(settings.daemon, state=state)) if state else settings
