"""The record of one attempt that is in progress."""

from __future__ import annotations

from twisted.internet.defer import Deferred

from thymeflow.backends.connections import Connection
from thymeflow.core.types import AttemptResult, AttemptSpec
from thymeflow.runtime import clock


class Attempt:
    """An attempt that was started and has no result yet."""

    __slots__ = ("connection", "result_deferred", "spec", "timeout_call")

    def __init__(self, spec: AttemptSpec, result_deferred: Deferred[AttemptResult]) -> None:
        self.spec = spec
        self.result_deferred = result_deferred
        self.connection: Connection | None = None  # the connection that it was written to; None while it waits for one
        self.timeout_call = clock.NOT_SCHEDULED
