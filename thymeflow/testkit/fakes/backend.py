"""A fake backend: receives requests, works for a random time, responds, and records each complete request."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from thymeflow.runtime import clock
from thymeflow.testkit.fakes.backend_connection import BackendConnection
from thymeflow.testkit.fakes.backend_records import IdempotencyStore, ReceivedRequest, UsageMeter
from thymeflow.testkit.listener import LoopbackListener
from thymeflow.testkit.types import Address, JsonObject, NetworkReactor
from thymeflow.transport import resp

MAX_USAGE_PERCENT = 999  # that a response reports


@dataclass(slots=True)
class BackendBehavior:
    """How a backend works; callers change it while it runs."""

    mean_work_seconds: float = 0.02
    slots: int = 8  # requests that are worked on at a time
    queue_capacity: int = 64  # requests that wait for a slot; further ones are rejected
    slowdown_per_queued: float = 0.0  # by how much work takes longer, for each queued request and slot
    error_fraction: float = 0.0  # of responses are errors
    cost_factor: float = 1.0  # true units for each declared one
    min_value_bytes: dict[str, int] = field(default_factory=dict)  # by class: shorter values are filled up


@dataclass(slots=True)
class _Execution:
    """A request that was accepted, until its response."""

    request: ReceivedRequest
    used_percent: float
    incarnation: int  # of the backend when the request arrived
    respond: Callable[[bytes], None]


class FakeBackend(Factory):
    """One backend with some slots and a queue."""

    noisy = False

    def __init__(
        self,
        reactor: NetworkReactor,
        deadlines: clock.Deadlines,
        number: int,
        usage: UsageMeter,
        idempotency: IdempotencyStore,
        rng: random.Random,
    ) -> None:
        self.number = number
        self.behavior = BackendBehavior()
        self.received: list[ReceivedRequest] = []
        self.connections: set[BackendConnection] = set()
        self._deadlines = deadlines
        self._usage = usage
        self._idempotency = idempotency
        self._rng = rng
        self._busy_slots = 0
        self._queue: deque[_Execution] = deque()
        self._listener = LoopbackListener(reactor, self)
        self._incarnation = 0  # work of an earlier one gets no response

    @property
    def address(self) -> Address:
        """Return where it listens, or listened last."""
        return self._listener.address

    def buildProtocol(self, addr: IAddress | None) -> BackendConnection:  # noqa: ARG002  # Twisted passes it
        """Return the protocol of a new connection."""
        return BackendConnection(self)

    def is_up(self) -> bool:
        """Return whether it listens."""
        return self._listener.is_open()

    def start(self) -> None:
        """Listen, at its earlier address if there was one; does nothing while it listens."""
        self._listener.open()

    def kill(self) -> None:
        """End as a killed process does: connections are reset and new ones refused."""
        self._incarnation += 1
        self._busy_slots = 0
        self._queue.clear()
        for connection in list(self.connections):
            connection.transport.abortConnection()
        self._listener.close()

    def earliest_arrival(self) -> float:
        """Return the earliest time at which what is read now can have arrived."""
        return self._deadlines.earliest_arrival(clock.now())

    def on_request(
        self,
        customer: str,
        request_id: str,
        terms: dict[str, str],
        has_idempotency_key: bool,
        respond: Callable[[bytes], None],
    ) -> ReceivedRequest | None:
        """Record a request and work on it; return None where it is rejected, as the queue is full."""
        now = clock.now()
        if self._busy_slots >= self.behavior.slots and len(self._queue) >= self.behavior.queue_capacity:
            respond(b"-BUSY\r\n")
            return None
        request = ReceivedRequest(
            now,
            self._deadlines.earliest_arrival(now),
            self.number,
            request_id,
            customer,
            terms.get("c", ""),
            float(terms.get("units", "1")),
            has_idempotency_key,
        )
        self.received.append(request)
        used_percent = self._usage.add(customer, terms.get("t", ""), request.units, now)
        execution = _Execution(request, used_percent, self._incarnation, respond)
        if self._busy_slots < self.behavior.slots:
            self._begin(execution)
        else:
            self._queue.append(execution)
        return request

    def _begin(self, execution: _Execution) -> None:
        self._busy_slots += 1
        slowdown = 1.0 + self.behavior.slowdown_per_queued * len(self._queue) / self.behavior.slots
        work_seconds = slowdown * self._rng.expovariate(1.0 / self.behavior.mean_work_seconds)
        self._deadlines.schedule(clock.now() + work_seconds, lambda _: self._finish(execution, work_seconds))

    def _finish(self, execution: _Execution, work_seconds: float) -> None:
        if execution.incarnation != self._incarnation:
            return
        self._busy_slots -= 1
        request = execution.request
        request.ended_at = min(request.ended_at, clock.now())
        if request.has_idempotency_key:
            self._idempotency.record_effect(request.request_id, clock.now())
        execution.respond(self._response(execution, work_seconds))
        while self._queue and self._busy_slots < self.behavior.slots:
            queued = self._queue.popleft()
            if queued.request.ended_at == inf:  # otherwise its connection has ended
                self._begin(queued)

    def _response(self, execution: _Execution, work_seconds: float) -> bytes:
        request = execution.request
        used = min(MAX_USAGE_PERCENT, round(execution.used_percent))
        figures = b"used=%d,cost=%.3f" % (used, request.units * self.behavior.cost_factor)
        if self._rng.random() < self.behavior.error_fraction:
            return b"-ERR failed " + figures + b"\r\n"
        value = b"%b:%d " % (request.request_id.encode(), self.number)
        value = value.ljust(self.behavior.min_value_bytes.get(request.request_class, 0), b".")
        load_report = b"avg_ms=%.2f" % (work_seconds * 1e3)
        return b"*3\r\n" + resp.bulk(value) + resp.bulk(figures) + resp.bulk(load_report)

    def endpoint(self, lifecycle: str = "active") -> JsonObject:
        """Return its entry in discovery's endpoint list."""
        return {
            "instanceId": f"s-{self.number + 1:08x}",
            "hostPort": "{}:{}".format(*self.address),
            "zone": "floor-2",
            "machineType": "std",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }
