"""Limiters with a fault put in, one for each invariant checker, so that each is seen to find its fault.

python -m thymeflow.testkit.faults.fault_modes MODE [the arguments of thymeflow]
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from unittest.mock import patch

from twisted.internet.defer import Deferred

from thymeflow import __main__ as program
from thymeflow.backends import backends
from thymeflow.core.types import AttemptResult, AttemptSpec, Response
from thymeflow.discovery import watch
from thymeflow.frontend.client_connection import ClientConnection
from thymeflow.frontend.pipeline_slot import PipelineSlot
from thymeflow.platform.endpoints import EndpointUpdate
from thymeflow.quota.strict import StrictTokenBucket
from thymeflow.transport.commands import SUBMIT, Call

FAULT_INTERVAL = 10  # every tenth request is hit


def ignore_endpoint_updates() -> None:
    """Apply the first message of discovery and none that follows."""
    apply_update = watch.EndpointWatcher._apply

    def apply_first(self: watch.EndpointWatcher, change: EndpointUpdate) -> None:
        """Apply an update before the watcher is ready."""
        if not self.is_ready:
            apply_update(self, change)

    patch.object(watch.EndpointWatcher, "_apply", apply_first).start()


def drop_responses() -> None:
    """Close the connection in place of a response, for some requests and whenever they come."""
    write_response = ClientConnection._on_response

    def write_nine_of_ten(self: ClientConnection, response: Response, slot: PipelineSlot) -> None:
        """Write the response, or close the connection."""
        if slot.request is None or int(slot.request.id, 16) % FAULT_INTERVAL:
            write_response(self, response, slot)
        else:
            self.transport.abortConnection()

    patch.object(ClientConnection, "_on_response", write_nine_of_ten).start()


def duplicate_attempts() -> None:
    """Send attempts to a second backend as well, after every tenth request with an idempotency key."""
    start_attempt = backends.BackendConnections.start_attempt
    keyed_count = 0

    def start_and_duplicate(self: backends.BackendConnections, spec: AttemptSpec) -> Deferred[AttemptResult]:
        """Start the attempt, and at times another one."""
        nonlocal keyed_count
        result = start_attempt(self, spec)
        keyed_count += isinstance(spec.payload, Call) and spec.payload.verb == SUBMIT
        other_backends = [backend for backend in self._pools_by_id if backend != spec.backend]
        if other_backends and keyed_count % FAULT_INTERVAL == 1:
            start_attempt(self, spec._replace(backend=other_backends[0]))
        return result

    patch.object(backends.BackendConnections, "start_attempt", start_and_duplicate).start()


def exit_with_failure() -> None:
    """Exit with status 1 after a graceful shutdown."""
    main = program.main
    patch.object(program, "main", lambda: main() or 1).start()


def overspend_quotas() -> None:
    """Let each limiter use the base fraction of a quota that is meant for all limiters together."""
    patch.object(StrictTokenBucket, "_compute_base_fraction", lambda _: 1.0).start()


FAULT_MODES: dict[str, Callable[[], None]] = {
    "ignore-endpoint-updates": ignore_endpoint_updates,
    "drop-responses": drop_responses,
    "duplicate-attempts": duplicate_attempts,
    "exit-with-failure": exit_with_failure,
    "overspend-quotas": overspend_quotas,
}

if __name__ == "__main__":
    FAULT_MODES[sys.argv.pop(1)]()
    sys.exit(program.entry())
