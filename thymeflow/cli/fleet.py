"""`thymeflow fleet`: many instances from one settings file."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from thymeflow.cli.control import FLEET_SOCKET, FLEET_TIMEOUT_SECONDS, STATUS_TIMEOUT_SECONDS, send_request
from thymeflow.cli.options import (
    ControlOptions,
    control_options,
    find_state_folder,
    read_settings_or_exit,
    settings_option,
    state_option,
)
from thymeflow.cli.output import BAD_SETTINGS, build_progress_printer, exit_with_error, print_response
from thymeflow.settings import read_settings

if TYPE_CHECKING:
    from thymeflow.handover.control_socket import Message


@click.group()
def fleet() -> None:
    """Run many instances as one fleet: start, upgrade, scale and stop them."""


@fleet.command()
@settings_option
@state_option
@click.option(
    "--platform",
    type=click.Path(dir_okay=False),
    default=None,
    help="The platform's JSON for every member; default: [daemon] platform.",
)
@click.option("--program", default="", help="Command line of the members; default: this program.")
def up(settings_path: str | None, state: str | None, platform: str | None, program: str) -> None:
    """Start the fleet, or adopt the running one, and supervise it in the foreground."""
    settings = read_settings_or_exit(settings_path)
    platform_path = platform or settings.daemon.platform or os.environ.get("BALANCER_CONFIG", "")
    if not platform_path:
        exit_with_error("no platform configuration: set [daemon] platform, or give --platform", BAD_SETTINGS)
    from thymeflow.fleet.supervisor import SupervisorOptions, supervise

    absolute_settings_path = str(Path(settings_path).absolute()) if settings_path else ""
    options = SupervisorOptions(
        lambda: read_settings(absolute_settings_path or None),
        absolute_settings_path,
        Path(platform_path).absolute(),
        find_state_folder(settings, state).absolute(),
        program,
    )
    sys.exit(supervise(options))


def _run_operation(options: ControlOptions, message: Message) -> None:
    """Ask the supervisor for an operation, and print its progress and its result."""
    path = options.find_socket_path(FLEET_SOCKET)
    response = send_request(path, message, FLEET_TIMEOUT_SECONDS, build_progress_printer(time.monotonic()))
    print_response(response, options.as_json, "")


def format_table(status: Message) -> str:
    """Return the status of a fleet as a readable table."""
    operation = f"; {status['working']}" if status["working"] else ""
    rows = [
        f"{status['ready']} of {status['wanted']} members are ready{operation}",
        f"{'name':8} {'state':11} {'pid':>8} {'listen':22} {'up s':>8} {'open':>5} {'served':>8} "
        f"{'rejected':>8} {'failed':>6}",
    ]
    rows.extend(_format_member(member) for member in status["members"])
    return "\n".join(rows)


def _format_member(member: Message) -> str:
    reported = member["told"]
    responses = reported.get("answers", {})
    reason = f"  {member['why']}" if member["why"] else ""
    return (
        f"{member['name']:8} {member['state']:11} {member['pid'] or '-':>8} {member['listen']:22} "
        f"{reported.get('uptime_s', 0.0):8.1f} {reported.get('open', 0):5} {responses.get('served', 0):8} "
        f"{responses.get('unavailable', 0):8} {responses.get('failed', 0):6}{reason}"
    )


@fleet.command()
@control_options
def status(options: ControlOptions) -> None:
    """Show the state of every member."""
    response = send_request(options.find_socket_path(FLEET_SOCKET), {"do": "status"}, STATUS_TIMEOUT_SECONDS)
    print_response(response, options.as_json, format_table(response) if response.get("ok") else "")


@fleet.command()
@click.argument("count", type=click.IntRange(1, 256))
@control_options
def scale(options: ControlOptions, count: int) -> None:
    """Change the number of members to COUNT, while serving."""
    _run_operation(options, {"do": "scale", "count": count})


@fleet.command()
@control_options
def restart(options: ControlOptions) -> None:
    """Stop and start all members one by one, including members in a crash loop."""
    _run_operation(options, {"do": "restart"})


@fleet.command()
@click.option("--program", default=None, help="Command line of the new program; default: the current program.")
@control_options
def upgrade(options: ControlOptions, program: str | None) -> None:
    """Replace members one by one; each successor takes over the socket and the state of its predecessor."""
    _run_operation(options, {"do": "upgrade", **({"program": program} if program else {})})


@fleet.command()
@control_options
def reload(options: ControlOptions) -> None:
    """Let every member reload the platform's configuration."""
    _run_operation(options, {"do": "reload"})


@fleet.command()
@control_options
def down(options: ControlOptions) -> None:
    """Shut down every member gracefully, and then the supervisor."""
    _run_operation(options, {"do": "down"})


@fleet.command()
@control_options
def leave(options: ControlOptions) -> None:
    """Stop the supervisor only; its members continue to serve, and the next `up` adopts them."""
    _run_operation(options, {"do": "leave"})
