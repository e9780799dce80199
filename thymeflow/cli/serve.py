"""`thymeflow serve`: one limiter as a daemon."""

from __future__ import annotations

import contextlib
import os
import sys
from dataclasses import replace

import click

from thymeflow.cli.common import settings_of, settings_option
from thymeflow.settings import Settings, read_settings


@click.command()
@settings_option
@click.option(
    "--platform",
    type=click.Path(dir_okay=False),
    default=None,
    help="The platform's JSON; [daemon] platform or BALANCER_CONFIG where it is left out.",
)
@click.option("--state", type=click.Path(file_okay=False), default=None, help="Goes before [daemon] state.")
@click.option("--joins", is_flag=True, help="Into a running set: customers' stores start empty.")
@click.option(
    "--take-over",
    is_flag=True,
    help="Take socket, name and state from the running process of this name, then let it drain.",
)
@click.option("--detach", is_flag=True, help="In a session of its own, so that it outlives who started it.")
def serve(
    settings_path: str | None, platform: str | None, state: str | None, joins: bool, take_over: bool, detach: bool
) -> None:
    """Run one limiter as a daemon, in the foreground."""
    settings = settings_of(settings_path)
    if detach:
        with contextlib.suppress(OSError):  # it leads a session already
            os.setsid()

    def merged(found: Settings) -> Settings:
        return replace(found, daemon=replace(found.daemon, state=state)) if state else found

    from thymeflow.daemon.service import Options
    from thymeflow.daemon.service import serve as run
    from thymeflow.platform import configuration

    path = platform or settings.daemon.platform or os.environ.get("BALANCER_CONFIG", "")
    environment = {**os.environ, "BALANCER_CONFIG": path}
    sys.exit(
        run(
            merged(settings),
            lambda: configuration.load(environment),
            Options(joins, take_over),
            lambda: merged(read_settings(settings_path)),
        )
    )
