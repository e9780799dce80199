"""What commands share: options, questions to control sockets, and how answers are printed."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn

import click

from thymeflow.settings import Settings, SettingsError, read_settings

NOT_REACHED, BAD_SETTINGS, NOBODY = 1, 2, 6  # exit codes; see `thymeflow --help`

settings_option = click.option(
    "--settings",
    "settings_path",
    type=click.Path(dir_okay=False),
    default=None,
    help="Our INI file; start values where it is left out. THYMEFLOW_SECTION_KEY variables go before it.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON, for programs.")


def fail(why: str, code: int) -> NoReturn:
    """One line on standard error, and the end."""
    click.echo(f"thymeflow: {why}", err=True)
    sys.exit(code)


def settings_of(path: str | None) -> Settings:
    """Our settings; every fault is a line, and the end."""
    try:
        return read_settings(path)
    except SettingsError as fault:
        for one in fault.faults:
            click.echo(f"thymeflow: {one}", err=True)
        sys.exit(BAD_SETTINGS)


def folder_of(settings: Settings, state: str | None) -> Path:
    """The folder of locks, control sockets and snapshots."""
    folder = state or settings.daemon.state
    if not folder:
        fail("no state folder: set [daemon] state, or give --state", BAD_SETTINGS)
    return Path(folder)


def asked(
    path: Path, message: dict[str, Any], patience: float, heard: Callable[[dict[str, Any]], None] = lambda _: None
) -> dict[str, Any]:
    """One question over a control socket and its answer; ends the command where nobody answers."""
    from twisted.internet import reactor
    from twisted.internet.defer import Deferred

    from thymeflow.handover.control_client import NoAnswerError, send_request
    from thymeflow.runtime import clock

    loop: Any = reactor
    found: list[Any] = []

    def begin() -> None:
        result: Deferred[Any] = send_request(loop, clock.Deadlines(loop), path, message, clock.now() + patience, heard)
        result.addBoth(found.append).addBoth(lambda _: loop.stop())

    loop.callWhenRunning(begin)
    loop.run()
    answer = found[0]
    if isinstance(answer, dict):
        return answer
    if isinstance(getattr(answer, "value", None), NoAnswerError):
        fail(str(answer.value), NOBODY)
    fail(str(answer), NOBODY)


def progress(begun: float) -> Callable[[dict[str, Any]], None]:
    """Prints what is told on the way, with the seconds since the beginning."""

    def heard(message: dict[str, Any]) -> None:
        if "text" in message:
            click.echo(f"{time.monotonic() - begun:6.1f} s  {message['text']}", err=True)

    return heard


def printed(answer: dict[str, Any], as_json: bool, text: str) -> NoReturn:
    """Print an answer; the exit code says whether it is a good one."""
    good = bool(answer.get("ok"))
    if as_json:
        click.echo(json.dumps(answer))
    elif good:
        click.echo(text or str(answer.get("why", "done")))
    else:
        click.echo(f"thymeflow: {answer.get('why', 'refused')}", err=True)
    sys.exit(0 if good else NOT_REACHED)
