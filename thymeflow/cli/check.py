"""`thymeflow check`: prints every fault of the settings and of the platform's configuration, with its remedy."""

from __future__ import annotations

import json
import os
import sys
from dataclasses import asdict

import click

from thymeflow.cli.options import json_option, platform_option, settings_option
from thymeflow.cli.output import BAD_SETTINGS
from thymeflow.cli.platform_check import find_platform_faults
from thymeflow.settings import Fault, Settings, SettingsError, read_settings
from thymeflow.settings.reader import format_settings

PORT_LIMIT = 65536  # Port numbers must be below this value


def find_conflicts(settings: Settings) -> list[Fault]:
    """Return the faults of combinations of values each of which is valid alone."""
    faults = []
    fleet = settings.fleet
    if fleet.longest_wait < fleet.wait:
        faults.append(Fault("settings", 0, "fleet", "longest-wait", "is shorter than wait", "make it the longer"))
    if settings.snapshot.keep and settings.snapshot.fresh < settings.snapshot.every:
        why = "is shorter than every, so that no snapshot taken in passing would be read"
        faults.append(Fault("settings", 0, "snapshot", "fresh", why, "make it some times as long"))
    port = int(fleet.listen.rpartition(":")[2])
    if port and port + fleet.instances > PORT_LIMIT:
        why = f"member {fleet.instances - 1} would listen on port {port + fleet.instances - 1}"
        faults.append(Fault("settings", 0, "fleet", "listen", why, "begin at a lower port"))
    return faults


@click.command()
@settings_option
@platform_option
@click.option("--show", is_flag=True, help="Print all settings in force, defaults included.")
@json_option
def check(settings_path: str | None, platform: str | None, show: bool, as_json: bool) -> None:
    """Check settings and configuration, and print every fault with its remedy."""
    faults: list[Fault] = []
    settings = Settings()
    try:
        settings = read_settings(settings_path)
        faults += find_conflicts(settings)
    except SettingsError as error:
        faults += error.faults
    platform_path = platform or settings.daemon.platform or os.environ.get("BALANCER_CONFIG", "")
    if platform_path:
        faults += find_platform_faults(platform_path)
    if as_json:
        click.echo(json.dumps({"ok": not faults, "faults": [asdict(fault) for fault in faults]}))
    elif faults:
        _print_faults(faults)
    else:
        if show:
            click.echo(format_settings(settings), nl=False)
        checked_platform = f" and {platform_path}" if platform_path else ""
        click.echo(f"good: {settings_path or 'start values'}{checked_platform}")
    sys.exit(BAD_SETTINGS if faults else 0)


def _print_faults(faults: list[Fault]) -> None:
    for fault in faults:
        click.echo(str(fault), err=True)
    click.echo(f"{len(faults)} faults", err=True)
