"""`thymeflow fleet`: many instances from one settings file."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from typing import Any

import click

from thymeflow.cli.common import (
    BAD_SETTINGS,
    asked,
    fail,
    folder_of,
    json_option,
    printed,
    progress,
    settings_of,
    settings_option,
)
from thymeflow.cli.instance import PATIENCE, state_option
from thymeflow.settings import read_settings

LONG = 3600.0  # s: what a roll over many members may take


@click.group()
def fleet() -> None:
    """Run many instances as one: start, roll, scale and stop them."""


@fleet.command()
@settings_option
@state_option
@click.option(
    "--platform",
    type=click.Path(dir_okay=False),
    default=None,
    help="The platform's JSON for every member; [daemon] platform where it is left out.",
)
@click.option("--program", default="", help="Command line of the members; this very program where left out.")
def up(settings_path: str | None, state: str | None, platform: str | None, program: str) -> None:
    """Start the fleet, or adopt the one that runs, and supervise it in the foreground."""
    settings = settings_of(settings_path)
    path = platform or settings.daemon.platform or os.environ.get("BALANCER_CONFIG", "")
    if not path:
        fail("no platform configuration: set [daemon] platform, or give --platform", BAD_SETTINGS)
    from thymeflow.fleet.supervisor import SupervisorOptions, supervise

    absolute = str(Path(settings_path).absolute()) if settings_path else ""
    sys.exit(
        supervise(
            SupervisorOptions(
                lambda: read_settings(absolute or None),
                absolute,
                Path(path).absolute(),
                folder_of(settings, state).absolute(),
                program,
            )
        )
    )


def _ordered(settings_path: str | None, state: str | None, as_json: bool, message: dict[str, Any]) -> None:
    path = folder_of(settings_of(settings_path), state) / "fleet.sock"
    printed(asked(path, message, LONG, progress(time.monotonic())), as_json, "")


def table(status: dict[str, Any]) -> str:
    """A fleet's status as a table for people."""
    rows = [
        f"{status['ready']} of {status['wanted']} members are ready"
        + (f"; {status['working']}" if status["working"] else "")
    ]
    rows.append(
        f"{'name':8} {'state':11} {'pid':>8} {'listen':22} {'up s':>8} {'open':>5} {'served':>8} "
        f"{'refused':>8} {'failed':>6}"
    )
    for member in status["members"]:
        told = member["told"]
        answers = told.get("answers", {})
        rows.append(
            f"{member['name']:8} {member['state']:11} {member['pid'] or '-':>8} {member['listen']:22} "
            f"{told.get('uptime_s', 0.0):8.1f} {told.get('open', 0):5} {answers.get('served', 0):8} "
            f"{answers.get('unavailable', 0):8} {answers.get('failed', 0):6}"
            + (f"  {member['why']}" if member["why"] else "")
        )
    return "\n".join(rows)


@fleet.command()
@settings_option
@state_option
@json_option
def status(settings_path: str | None, state: str | None, as_json: bool) -> None:
    """Show every member."""
    answer = asked(folder_of(settings_of(settings_path), state) / "fleet.sock", {"do": "status"}, PATIENCE)
    printed(answer, as_json, table(answer) if answer.get("ok") else "")


@fleet.command()
@click.argument("count", type=click.IntRange(1, 256))
@settings_option
@state_option
@json_option
def scale(count: int, settings_path: str | None, state: str | None, as_json: bool) -> None:
    """Have COUNT members from now on, while serving."""
    _ordered(settings_path, state, as_json, {"do": "scale", "count": count})


@fleet.command()
@settings_option
@state_option
@json_option
def restart(settings_path: str | None, state: str | None, as_json: bool) -> None:
    """Stop and start members one by one; out of a crash loop, too."""
    _ordered(settings_path, state, as_json, {"do": "restart"})


@fleet.command()
@click.option("--program", default=None, help="Command line of the new program; the present one where left out.")
@settings_option
@state_option
@json_option
def upgrade(program: str | None, settings_path: str | None, state: str | None, as_json: bool) -> None:
    """Replace members one by one, each by a process that takes over its socket and its state."""
    _ordered(settings_path, state, as_json, {"do": "upgrade", **({"program": program} if program else {})})


@fleet.command()
@settings_option
@state_option
@json_option
def reload(settings_path: str | None, state: str | None, as_json: bool) -> None:
    """Let every member read the platform's configuration again."""
    _ordered(settings_path, state, as_json, {"do": "reload"})


@fleet.command()
@settings_option
@state_option
@json_option
def down(settings_path: str | None, state: str | None, as_json: bool) -> None:
    """Let every member finish what it took and end, then the supervisor."""
    _ordered(settings_path, state, as_json, {"do": "down"})


@fleet.command()
@settings_option
@state_option
@json_option
def leave(settings_path: str | None, state: str | None, as_json: bool) -> None:
    """End the supervisor alone; its members go on, and the next `up` adopts them."""
    _ordered(settings_path, state, as_json, {"do": "leave"})
