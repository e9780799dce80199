"""Functions that print responses of control sockets, and the exit codes of the commands."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, NoReturn

import click

if TYPE_CHECKING:
    from thymeflow.handover.control_socket import Message

# Exit codes; `thymeflow --help` lists all of them.
NOT_DONE = 1
BAD_SETTINGS = 2
NO_RESPONSE = 6


def exit_with_error(cause: str, exit_code: int) -> NoReturn:
    """Print one line on standard error and exit with a code."""
    click.echo(f"thymeflow: {cause}", err=True)
    sys.exit(exit_code)


def print_response(response: Message, as_json: bool, text: str) -> NoReturn:
    """Print a response of a control socket, and exit with 0 if the request succeeded, else with `NOT_DONE`.

    `text` is printed for a successful request unless `as_json` is set; if it is empty, the response's `why` is printed.
    """
    is_ok = bool(response.get("ok"))
    if as_json:
        click.echo(json.dumps(response))
    elif is_ok:
        click.echo(text or str(response.get("why", "done")))
    else:
        click.echo(f"thymeflow: {response.get('why', 'rejected')}", err=True)
    sys.exit(0 if is_ok else NOT_DONE)


def build_progress_printer(started_at: float) -> Callable[[Message], None]:
    """Return a callback that prints messages that arrive before a response.

    `started_at` is a time on the monotonic clock, in seconds; each line begins with the seconds since then.
    """

    def print_progress(message: Message) -> None:
        """Print the text of a message, if it has one."""
        if "text" in message:
            click.echo(f"{time.monotonic() - started_at:6.1f} s  {message['text']}", err=True)

    return print_progress
