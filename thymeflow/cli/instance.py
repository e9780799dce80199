"""`thymeflow status`, `drain`, `reload` and `log-level`: one instance, over its control socket."""

from __future__ import annotations

from typing import Any

import click

from thymeflow.cli.common import asked, folder_of, json_option, printed, settings_of, settings_option

PATIENCE = 5.0  # s

state_option = click.option(
    "--state",
    type=click.Path(file_okay=False),
    default=None,
    help="The folder of control sockets; [daemon] state where it is left out.",
)


def _ask(name: str, settings_path: str | None, state: str | None, message: dict[str, Any]) -> dict[str, Any]:
    return asked(folder_of(settings_of(settings_path), state) / f"{name}.sock", message, PATIENCE)


def text_of(status: dict[str, Any]) -> str:
    """A status as lines for people."""
    answers, servers, snapshot = status["answers"], status["servers"], status["snapshot"]
    heard = status["counter_heard_s"]
    lines = [
        f"{status['name']}  {status['phase']}{'' if status['healthy'] else ', not healthy'}  "
        f"pid {status['pid']}, life {status['life']}, up {status['uptime_s']:.1f} s, at {status['listen']}",
        f"set       number {status['index']} of {status['gateways']}",
        f"answers   {', '.join(f'{count} {verdict}' for verdict, count in answers.items())}; "
        f"{status['open']} open, {status['user_agents']} user agents",
        f"servers   {servers['ready']} ready, {servers['ejected']} of them ejected, {servers['other']} other; "
        f"list {status['list_version']}",
        f"counter   {'not heard yet' if heard is None else f'heard {heard:.1f} s ago'}; "
        f"{status['customers']} customers, pressure {status['pressure']:.2f}",
        f"snapshot  {'none yet' if snapshot['age_s'] is None else '{:.1f} s old'.format(snapshot['age_s'])}, "
        f"{snapshot['bytes']} bytes, {snapshot['failed']} failed; remembered from {snapshot['remembered_from']}",
    ]
    return "\n".join(lines)


@click.command()
@click.argument("name")
@settings_option
@state_option
@json_option
def status(name: str, settings_path: str | None, state: str | None, as_json: bool) -> None:
    """Show how instance NAME is."""
    answer = _ask(name, settings_path, state, {"do": "status"})
    printed(answer, as_json, text_of(answer) if answer.get("ok") else "")


@click.command()
@click.argument("name")
@click.option(
    "--linger",
    type=click.FloatRange(0.0, 60.0),
    default=None,
    help="Seconds for which user agents may still come; [daemon] drain-linger where left out.",
)
@settings_option
@state_option
@json_option
def drain(name: str, linger: float | None, settings_path: str | None, state: str | None, as_json: bool) -> None:
    """Let instance NAME finish what it took, and end."""
    answer = _ask(name, settings_path, state, {"do": "drain", "linger": linger})
    printed(answer, as_json, f"{name} drains, {answer.get('open')} transactions are open")


@click.command()
@click.argument("name")
@settings_option
@state_option
@json_option
def reload(name: str, settings_path: str | None, state: str | None, as_json: bool) -> None:
    """Let instance NAME read its files again."""
    printed(_ask(name, settings_path, state, {"do": "reload"}), as_json, "")


@click.command("log-level")
@click.argument("name")
@click.argument("level")
@settings_option
@state_option
@json_option
def log_level(name: str, level: str, settings_path: str | None, state: str | None, as_json: bool) -> None:
    """Let instance NAME log from LEVEL on, until its next reload."""
    printed(_ask(name, settings_path, state, {"do": "level", "level": level}), as_json, f"{name} logs from {level} on")
