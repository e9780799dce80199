"""`thymeflow status`, `drain`, `reload` and `log-level`: one instance, over its control socket."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from thymeflow.cli.control import STATUS_TIMEOUT, send_request
from thymeflow.cli.options import ControlOptions, control_options
from thymeflow.cli.output import print_response

if TYPE_CHECKING:
    from thymeflow.handover.control_socket import Message


def _send_to_instance(name: str, options: ControlOptions, message: Message) -> Message:
    return send_request(options.socket_path(name), message, STATUS_TIMEOUT)


def format_status(status: Message) -> str:
    """Return a status as lines for people."""
    responses = ", ".join(f"{count} {kind}" for kind, count in status["answers"].items())
    servers = status["servers"]
    lines = [
        f"{status['name']}  {status['phase']}{'' if status['healthy'] else ', not healthy'}  "
        f"pid {status['pid']}, life {status['life']}, up {status['uptime_s']:.1f} s, at {status['listen']}",
        f"set       number {status['index']} of {status['gateways']}",
        f"answers   {responses}; {status['open']} open, {status['user_agents']} user agents",
        f"servers   {servers['ready']} ready, {servers['ejected']} of them ejected, {servers['other']} other; "
        f"list {status['list_version']}",
        f"counter   {_format_age(status['counter_heard_s'], 'not heard yet', 'heard {:.1f} s ago')}; "
        f"{status['customers']} customers, pressure {status['pressure']:.2f}",
        _format_snapshot(status["snapshot"]),
    ]
    return "\n".join(lines)


def _format_age(age_seconds: float | None, text_without: str, text: str) -> str:
    return text_without if age_seconds is None else text.format(age_seconds)


def _format_snapshot(snapshot: Message) -> str:
    age = _format_age(snapshot["age_s"], "none yet", "{:.1f} s old")
    return (
        f"snapshot  {age}, {snapshot['bytes']} bytes, {snapshot['failed']} failed; "
        f"remembered from {snapshot['remembered_from']}"
    )


@click.command()
@click.argument("name")
@control_options
def status(options: ControlOptions, name: str) -> None:
    """Show how instance NAME is."""
    response = _send_to_instance(name, options, {"do": "status"})
    print_response(response, options.as_json, format_status(response) if response.get("ok") else "")


@click.command()
@click.argument("name")
@click.option(
    "--linger",
    type=click.FloatRange(0.0, 60.0),
    default=None,
    help="Seconds for which user agents may still come; [daemon] drain-linger where left out.",
)
@control_options
def drain(options: ControlOptions, name: str, linger: float | None) -> None:
    """Let instance NAME finish what it took, and end."""
    response = _send_to_instance(name, options, {"do": "drain", "linger": linger})
    print_response(response, options.as_json, f"{name} drains, {response.get('open')} transactions are open")


@click.command()
@click.argument("name")
@control_options
def reload(options: ControlOptions, name: str) -> None:
    """Let instance NAME read its files again."""
    print_response(_send_to_instance(name, options, {"do": "reload"}), options.as_json, "")


@click.command("log-level")
@click.argument("name")
@click.argument("level")
@control_options
def log_level(options: ControlOptions, name: str, level: str) -> None:
    """Let instance NAME log from LEVEL on, until its next reload."""
    response = _send_to_instance(name, options, {"do": "level", "level": level})
    print_response(response, options.as_json, f"{name} logs from {level} on")
