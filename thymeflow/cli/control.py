"""Requests to control sockets, from commands."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, cast

from thymeflow.cli.output import NO_RESPONSE, fail

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from thymeflow.daemon.instance import Reactor
    from thymeflow.handover.control_socket import Message

STATUS_TIMEOUT_SECONDS = 5.0
FLEET_TIMEOUT_SECONDS = 3600.0  # a rollout to many members takes long
FLEET_SOCKET = "fleet"  # name of the supervisor's control socket


def _ignore(_: Message) -> None:
    pass


def send_request(
    path: Path, message: Message, timeout: float, on_progress: Callable[[Message], None] = _ignore
) -> Message:
    """Send one request to a control socket and return its response; exit if there is none.

    `timeout` is in seconds. `on_progress` is called with messages that arrive before the response. The reactor runs
    once in a process, so there can be only one request.
    """
    from twisted.internet import reactor as installed_reactor

    from thymeflow.handover.control_client import NoAnswerError, send_request
    from thymeflow.runtime import clock

    reactor = cast("Reactor", installed_reactor)
    results: list[Message | Failure] = []

    def begin() -> None:
        """Send the request, and stop the reactor when there is a result."""
        deadline = clock.now() + timeout
        response = send_request(reactor, clock.Deadlines(reactor), path, message, deadline, on_progress)
        response.addBoth(results.append).addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    result = results[0]
    if not isinstance(result, dict):
        fail(str(result.value if isinstance(result.value, NoAnswerError) else result), NO_RESPONSE)
    return result
