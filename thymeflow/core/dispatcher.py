"""Transactions: what is told to the decision module, and its actions carried out.

Knows no protocol. A front hands in an Offer and gets a Deferred of the one final Answer; proxy passes,
counter calls and the watch on discovery are carried out by whoever is plugged in as Upstream, Counter
and Discovery. A second front would hand in its offers here just as the first does.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from enum import Enum
from math import inf
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

from thymeflow.core.request_counters import RequestCounters
from thymeflow.decision.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    RejectRequest,
    SetTimer,
    StartAttempt,
    SubscribeEndpoints,
    WriteLog,
)
from thymeflow.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    EndpointsChanged,
    Event,
    RequestBodyStarted,
    RequestReceived,
    ResponseStarted,
    SettingsChanged,
    TimerFired,
)
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import GatewaySettings
from thymeflow.decision.types import LoadReport, Status
from thymeflow.runtime import clock, log
from thymeflow.runtime.slot_table import SlotTable
from thymeflow.transport.flow import Flow

MOST_TRANSACTIONS = 1 << 16
COUNTED = 0.4  # s: for the counter's answer, which comes however late (PROTOCOL); under the module's pause between
#                 two calls of a name, so that each has ended before the next


class ResponseKind(Enum):
    """What a final answer says."""

    SERVED = "served"
    REJECTED = "unavailable"  # trying again is harmless
    FAILED = "failed"  # no promise about its effect


class Response(NamedTuple):
    """The one final answer; `value` when served, `wait` in seconds when unavailable (0: no advice).

    A long value is served from its first bytes on: `flow` brings it, in place of `value`.
    """

    kind: ResponseKind
    value: bytes = b""
    retry_after: float = 0.0
    stream: Flow | None = None


class IncomingRequest(NamedTuple):
    """A transaction as a front hands it in; `payload` is what the upstream will know how to pass on.

    One whose body still comes has no deadline (inf) until `Core.whole` is told. `present` is asked before each proxy
    pass: whoever has left is served nothing more, also where the front could not read of it yet.
    """

    request: RequestReceived
    deadline: float
    payload: object
    size: int
    is_connected: Callable[[], bool] = lambda: True


class AttemptSpec(NamedTuple):
    """A proxy pass for the upstream to make.

    `began` takes a long answer, and says whether anybody wants it. With None it is told that a long body goes
    into this pass, and so into no other. One that has to wait is not written past `latest`, nor where nobody is
    `present` any more.
    """

    backend: int
    payload: object
    deadline: float
    on_response_started: Callable[[Flow | None], bool] = lambda flow: False
    start_before: float = inf
    is_connected: Callable[[], bool] = lambda: True


class AttemptResult(NamedTuple):
    """How a proxy pass ended, and what came with the end."""

    status: Status
    value: bytes = b""
    quota_usage: float | None = None
    actual_units: float | None = None
    load_report: LoadReport | None = None


class AttemptRunner(Protocol):
    """Makes proxy passes; cancelling the Deferred ends one, with the outcome CANCELLED."""

    def begin(self, order: AttemptSpec) -> Deferred[AttemptResult]: ...
    def close_idle(self, backend: int) -> None: ...


class Counter(Protocol):
    """Adds to a named number; the Deferred gives the status and the total."""

    def add(self, name: int, amount: float, ttl: float, deadline: float) -> Deferred[tuple[Status, float]]: ...


class Discovery(Protocol):
    """Tells of the list; the watch runs from the start, so only a whole list can be asked for."""

    def fetch(self) -> None: ...


class PendingRequest:
    """What was taken on, until it is answered and its last proxy pass has ended."""

    __slots__ = (
        "attempt_count",
        "body_received_at",
        "deadline",
        "id",
        "incoming",
        "is_answered",
        "is_settled",
        "max_attempts",
        "open_attempts",
        "overdue_timer",
        "response_deferred",
        "response_latency",
    )

    def __init__(self, offer: IncomingRequest, due: Deferred[Response], most: int) -> None:
        self.max_attempts = most  # proxy passes, as the settings had it when it was taken
        self.incoming, self.id, self.deadline, self.response_deferred = offer, offer.request.id, offer.deadline, due
        self.attempt_count = 0  # proxy passes so far, and so the next one's number
        self.open_attempts: dict[int, Deferred[AttemptResult]] = {}  # those not ended
        self.is_answered, self.is_settled = False, False  # final answer given; true units told
        self.overdue_timer: clock.Entry = []
        self.body_received_at = 0.0  # when the body had come whole, where it is a long one
        self.response_latency = -1.0  # s: to the first bytes of a long answer


class RequestDispatcher:
    """The transactions in their table, with the module's events and actions in strict order."""

    def __init__(self, settings: GatewaySettings, gateway: Gateway, deadlines: clock.Deadlines, memory: int) -> None:
        self._settings, self._deadlines = settings, deadlines
        self._gateway = gateway
        self._table: SlotTable[PendingRequest] = SlotTable(
            min(MOST_TRANSACTIONS, int(settings.limits.max_concurrent_requests) or 1)
        )
        self._by_id: dict[str, int] = {}
        self._memory, self._held = memory, 0  # bytes of transactions that may be, and are, held
        self._events: deque[Event] = deque()
        self.response_counts = dict.fromkeys(ResponseKind, 0)  # final answers so far
        self._busy = False
        self._counts = RequestCounters(deadlines)
        self.upstream: AttemptRunner
        self.counter: Counter | None = None
        self.discovery: Discovery | None = None

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Other settings hold from now on, for what is taken from now on."""
        self._settings = settings
        self._table.set_limit(min(MOST_TRANSACTIONS, int(settings.limits.max_concurrent_requests) or 1))
        self.handle(SettingsChanged(settings))

    def set_memory_limit(self, memory: int) -> None:
        """Another bound on the bytes held, for what is taken from now on."""
        self._memory = memory

    def open_count(self) -> int:
        """How many transactions have not ended."""
        return len(self._table)

    def is_open(self, request: str) -> bool:
        """Whether a transaction of that id is open."""
        return request in self._by_id

    def submit(self, offer: IncomingRequest) -> Deferred[Response]:
        """Take a transaction on. Cancelling the Deferred says that the user agent has left."""
        due: Deferred[Response] = Deferred(lambda _: self._left(handle))
        if self._table.is_full() or self._held + offer.size > self._memory:
            # Turned away before the module, as the open cap has it: nothing was sent on.
            log.say(
                "unavailable",
                f"{len(self._table)} transactions hold {self._held} bytes",
                transactions=len(self._table),
                held=self._held,
            )
            handle = -1
            due.callback(Response(ResponseKind.REJECTED, retry_after=0.1))
            return due
        transaction = PendingRequest(offer, due, self._settings.limits.max_attempts)
        handle = self._table.add(transaction)
        self._by_id[transaction.id] = handle
        self._held += offer.size
        if offer.deadline < inf:
            self._guard(handle, transaction)
        due.addBoth(self._spent, transaction)
        self.handle(offer.request)
        return due

    def _guard(self, handle: int, transaction: PendingRequest) -> None:
        end = transaction.deadline + self._settings.rules.response_grace
        transaction.overdue_timer = self._deadlines.at(end, self._overdue, handle)

    def body_received(self, request: str, deadline: float) -> None:
        """The long body of a transaction has come whole: its time starts now."""
        transaction = self._find(request)
        if transaction is not None and not transaction.is_answered:
            transaction.deadline, transaction.body_received_at = deadline, clock.now()
            self._guard(self._by_id[request], transaction)

    def _spent(self, result: Response, transaction: PendingRequest) -> Response:
        if transaction.overdue_timer:
            self._deadlines.cancel(transaction.overdue_timer)
        return result

    def handle(self, event: Event) -> None:
        """Hand an event to the module, behind those that wait, and carry out what it decides."""
        self._events.append(event)
        if not self._busy:
            self._run()

    def apply_endpoints(self, event: EndpointsChanged, apply: Callable[[], None]) -> None:
        """Tell of the list, before what its change ends: `apply` puts it in force for proxy passes."""
        busy, self._busy = self._busy, True
        try:
            self._events.append(event)
            apply()
        finally:
            self._busy = busy
        if not busy:
            self._run()

    def _run(self) -> None:
        self._busy = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    actions = self._gateway.handle(clock.now(), event)
                except Exception as fault:
                    # A fault of the module ends the one transaction that it met, not the program.
                    self._fault(event, fault)
                    continue
                for action in actions:
                    self._carry_out(action)
        finally:
            self._busy = False

    def _fault(self, event: Event, fault: Exception) -> None:
        logging.getLogger("thymeflow").error("module fault on %s", type(event).__name__, exc_info=fault)
        transaction = self._find(getattr(event, "id", ""))
        if transaction is not None:
            self._answer(transaction, Response(ResponseKind.FAILED))

    def _find(self, request: str) -> PendingRequest | None:
        handle = self._by_id.get(request)
        return None if handle is None else self._table.get(handle)

    def _carry_out(self, action: Action) -> None:
        kind = type(action)
        if isinstance(action, StartAttempt):
            self._send(action)
        elif isinstance(action, SetTimer):
            self._deadlines.at(clock.now() + action.delay, self._timer, action.token)
        elif isinstance(action, RejectRequest):
            self._counts.add(self._counts.rejections, action.reason)
            self._finish(action.id, Response(ResponseKind.REJECTED, retry_after=action.retry_after))
        elif isinstance(action, FailRequest):
            self._finish(action.id, Response(ResponseKind.FAILED))
        elif isinstance(action, CancelAttempt):
            transaction = self._find(action.id)
            going = transaction.open_attempts.get(action.attempt) if transaction else None
            if going is not None:
                going.cancel()
        elif isinstance(action, AddToCounter) and self.counter is not None:
            self._count(action, self.counter)
        elif isinstance(action, CloseIdleConnections):
            self.upstream.close_idle(action.backend)
        elif isinstance(action, FetchEndpoints) and self.discovery is not None:
            self.discovery.fetch()
        elif isinstance(action, WriteLog):
            log.say("module", action.text)
        elif not isinstance(action, SubscribeEndpoints):  # the watch is always on
            log.say("module", f"{kind.__name__} is not to be had at this site")

    def _timer(self, token: int) -> None:
        self.handle(TimerFired(token))

    def _send(self, action: StartAttempt) -> None:
        transaction, now = self._find(action.id), clock.now()
        if transaction is None:
            log.say("module", f"proxy pass for {action.id}, which is over")
            return
        number, transaction.attempt_count = transaction.attempt_count, transaction.attempt_count + 1
        if not transaction.is_answered and not transaction.incoming.is_connected():
            self._left(self._by_id[transaction.id])
        moot = transaction.is_answered or number >= transaction.max_attempts or now >= transaction.deadline
        deadline = transaction.deadline
        if action.timeout and deadline < inf:
            deadline = min(deadline, now + max(0.0, action.timeout))
        if moot:
            self._ended(AttemptResult(Status.MOOT), transaction, number, action.backend, now)
            return
        going = self.upstream.begin(
            AttemptSpec(
                action.backend,
                transaction.incoming.payload,
                deadline,
                lambda flow: self._began(transaction, number, action.backend, now, flow),
                now + action.start_within,
                transaction.incoming.is_connected,
            )
        )
        transaction.open_attempts[number] = going
        going.addCallback(self._ended, transaction, number, action.backend, now)
        going.addErrback(self._broken)

    def _began(self, transaction: PendingRequest, number: int, backend: int, begun: float, flow: Flow | None) -> bool:
        if flow is None:
            self.handle(RequestBodyStarted(transaction.id))
            return True
        # From its first bytes on a long answer is the user agent's: no other pass, and no deadline.
        if transaction.is_answered:
            return False
        transaction.response_latency = clock.now() - max(begun, transaction.body_received_at)
        self._answer(transaction, Response(ResponseKind.SERVED, stream=flow))
        self.handle(ResponseStarted(transaction.id, number, backend, transaction.response_latency))
        return True

    def _broken(self, failure: object) -> None:
        logging.getLogger("thymeflow").error("proxy pass fault: %s", failure)

    def _ended(
        self, outcome: AttemptResult, transaction: PendingRequest, number: int, backend: int, begun: float
    ) -> None:
        transaction.open_attempts.pop(number, None)
        self._counts.add(self._counts.attempts, outcome.status.name.lower())
        good, units = outcome.status is Status.OK, None
        if good and not transaction.is_settled:
            # The true units go with the first good answer only, as the simulator tells them.
            transaction.is_settled, units = True, outcome.actual_units
        if good and not transaction.is_answered:
            self._answer(transaction, Response(ResponseKind.SERVED, outcome.value))
        # How long a user agent takes to send or to read says nothing of the application server.
        took = (
            clock.now() - max(begun, transaction.body_received_at)
            if transaction.response_latency < 0.0
            else transaction.response_latency
        )
        self.handle(
            AttemptEnded(
                transaction.id,
                number,
                backend,
                outcome.status,
                took,
                transaction.is_answered,
                outcome.quota_usage,
                units,
                outcome.load_report,
            )
        )
        self._drop(transaction)

    def _finish(self, request: str, answer: Response) -> None:
        transaction = self._find(request)
        if transaction is not None and not transaction.is_answered:
            self._answer(transaction, answer)
            self._drop(transaction)

    def _answer(self, transaction: PendingRequest, answer: Response) -> None:
        transaction.is_answered = True
        self.response_counts[answer.kind] += 1
        self._held -= transaction.incoming.size
        if not transaction.response_deferred.called:
            transaction.response_deferred.callback(answer)
        self._drop(transaction)

    def _drop(self, transaction: PendingRequest) -> None:
        # The slot is kept while passes are out, so that late ends are still told to the module.
        if transaction.is_answered and not transaction.open_attempts:
            handle = self._by_id.pop(transaction.id, None)
            if handle is not None:
                self._table.remove(handle)

    def _left(self, handle: int) -> None:
        transaction = self._table.get(handle)
        if transaction is not None and not transaction.is_answered:
            transaction.is_answered = True
            self._held -= transaction.incoming.size
            self.handle(ClientDisconnected(transaction.id))
            self._drop(transaction)

    def _overdue(self, handle: int) -> None:
        # Guards the rule that each transaction gets one final answer: the module should have given it.
        transaction = self._table.get(handle)
        if transaction is not None and not transaction.is_answered:
            log.say(
                "overdue", f"{transaction.id} had no answer from the module by its deadline", request=transaction.id
            )
            self._answer(transaction, Response(ResponseKind.FAILED))
            self.handle(ClientDisconnected(transaction.id))

    def _count(self, action: AddToCounter, counter: Counter) -> None:
        begun = clock.now()

        def told(result: tuple[Status, float]) -> None:
            self.handle(CounterReplied(action.name, result[0], result[1], clock.now() - begun))

        counter.add(action.name, action.amount, action.ttl, begun + COUNTED).addCallback(told)
