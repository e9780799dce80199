"""Requests that commands send to control sockets."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, cast

from thymeflow.cli.output import NO_RESPONSE, exit_with_error

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from thymeflow.daemon.instance import Reactor
    from thymeflow.handover.control_socket import Message

STATUS_TIMEOUT_SECONDS = 5.0
FLEET_TIMEOUT_SECONDS = 3600.0  # Long, because a rollout updates many members one by one
FLEET_SOCKET = "fleet"  # Name of the supervisor's control socket


def _ignore_progress(_: Message) -> None:
    pass


def send_request(
    path: Path, message: Message, timeout: float, on_progress: Callable[[Message], None] = _ignore_progress
) -> Message:
    """Send one request to a control socket and return its response; exit if no response arrives.

    `timeout` is in seconds. `on_progress` is called with each message that arrives before the response. A process can
    send only one request, because Twisted's reactor cannot be restarted.
    """
    from twisted.internet import reactor as installed_reactor

    from thymeflow.handover.control_client import NoAnswerError, send_request
    from thymeflow.runtime import clock

    reactor = cast("Reactor", installed_reactor)
    results: list[Message | Failure] = []

    def start_request() -> None:
        """Send the request, and stop the reactor after the response or the failure."""
        deadline = clock.now() + timeout
        response = send_request(reactor, clock.Deadlines(reactor), path, message, deadline, on_progress)
        response.addBoth(results.append).addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start_request)
    reactor.run()
    result = results[0]
    if not isinstance(result, dict):
        exit_with_error(str(result.value if isinstance(result.value, NoAnswerError) else result), NO_RESPONSE)
    return result
