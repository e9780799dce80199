"""`thymeflow status`, `drain`, `reload` and `log-level`: requests to one instance over its control socket."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from thymeflow.cli.control import STATUS_TIMEOUT_SECONDS, send_request
from thymeflow.cli.options import ControlOptions, control_options
from thymeflow.cli.output import print_response
from thymeflow.cli.terms import RESPONSE_KINDS, SNAPSHOT_SOURCES, get_display_term

if TYPE_CHECKING:
    from thymeflow.handover.control_socket import Message


def _send_to_instance(name: str, options: ControlOptions, message: Message) -> Message:
    return send_request(options.find_socket_path(name), message, STATUS_TIMEOUT_SECONDS)


def format_status(status: Message) -> str:
    """Return the status of an instance as readable lines."""
    responses = ", ".join(
        f"{count} {get_display_term(kind, RESPONSE_KINDS)}" for kind, count in status["answers"].items()
    )
    backends = status["servers"]
    lines = [
        f"{status['name']}  {status['phase']}{'' if status['healthy'] else ', not healthy'}  "
        f"pid {status['pid']}, incarnation {status['life']}, up {status['uptime_s']:.1f} s, at {status['listen']}",
        f"index     {status['index']} of {status['gateways']} limiters",
        f"responses {responses}; {status['open']} open, {status['user_agents']} clients",
        f"backends  {backends['ready']} ready, {backends['ejected']} of them ejected, {backends['other']} other; "
        f"endpoint list version {status['list_version']}",
        f"gossip    {_format_age(status['counter_heard_s'], 'none received', 'last received {:.1f} s ago')}; "
        f"{status['customers']} customers, pressure {status['pressure']:.2f}",
        _format_snapshot(status["snapshot"]),
    ]
    return "\n".join(lines)


def _format_age(age_seconds: float | None, text_without: str, text: str) -> str:
    return text_without if age_seconds is None else text.format(age_seconds)


def _format_snapshot(snapshot: Message) -> str:
    age = _format_age(snapshot["age_s"], "none yet", "{:.1f} s old")
    source = get_display_term(snapshot["remembered_from"], SNAPSHOT_SOURCES)
    return f"snapshot  {age}, {snapshot['bytes']} bytes, {snapshot['failed']} failed; restored from {source}"


@click.command()
@click.argument("name")
@control_options
def status(options: ControlOptions, name: str) -> None:
    """Show the status of instance NAME."""
    response = _send_to_instance(name, options, {"do": "status"})
    print_response(response, options.as_json, format_status(response) if response.get("ok") else "")


@click.command()
@click.argument("name")
@click.option(
    "--linger",
    type=click.FloatRange(0.0, 60.0),
    default=None,
    help="Seconds for which new connections are accepted; default: [daemon] drain-linger.",
)
@control_options
def drain(options: ControlOptions, name: str, linger: float | None) -> None:
    """Shut instance NAME down gracefully."""
    response = _send_to_instance(name, options, {"do": "drain", "linger": linger})
    print_response(response, options.as_json, f"{name} is draining, with {response.get('open')} open requests")


@click.command()
@click.argument("name")
@control_options
def reload(options: ControlOptions, name: str) -> None:
    """Let instance NAME reload its configuration and its settings."""
    print_response(_send_to_instance(name, options, {"do": "reload"}), options.as_json, "")


@click.command("log-level")
@click.argument("name")
@click.argument("level")
@control_options
def log_level(options: ControlOptions, name: str, level: str) -> None:
    """Set the log level of instance NAME to LEVEL until its next reload."""
    response = _send_to_instance(name, options, {"do": "level", "level": level})
    print_response(response, options.as_json, f"{name} logs lines of level {level} and above")
