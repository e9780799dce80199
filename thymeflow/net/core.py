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

from thymeflow import Gateway
from thymeflow import interface as api
from thymeflow.net import clock, log
from thymeflow.net.flow import Flow
from thymeflow.net.table import Table
from thymeflow.net.tally import Tally

MOST_TRANSACTIONS = 1 << 16
COUNTED = 0.4   # s: for the counter's answer, which comes however late (PROTOCOL); under the module's pause between
#                 two calls of a name, so that each has ended before the next


class Verdict(Enum):
    """What a final answer says."""

    SERVED = "served"
    UNAVAILABLE = "unavailable"   # trying again is harmless
    FAILED = "failed"             # no promise about its effect


class Answer(NamedTuple):
    """The one final answer; `value` when served, `wait` in seconds when unavailable (0: no advice).

    A long value is served from its first bytes on: `flow` brings it, in place of `value`.
    """

    verdict: Verdict
    value: bytes = b""
    wait: float = 0.0
    flow: Flow | None = None


class Offer(NamedTuple):
    """A transaction as a front hands it in; `payload` is what the upstream will know how to pass on.

    One whose body still comes has no deadline (inf) until `Core.whole` is told. `present` is asked before each proxy
    pass: whoever has left is served nothing more, also where the front could not read of it yet.
    """

    request: api.Request
    deadline: float
    payload: object
    size: int
    present: Callable[[], bool] = lambda: True


class Order(NamedTuple):
    """A proxy pass for the upstream to make.

    `began` takes a long answer, and says whether anybody wants it. With None it is told that a long body goes
    into this pass, and so into no other. One that has to wait is not written past `latest`, nor where nobody is
    `present` any more.
    """

    backend: int
    payload: object
    deadline: float
    began: Callable[[Flow | None], bool] = lambda flow: False
    latest: float = inf
    present: Callable[[], bool] = lambda: True


class Outcome(NamedTuple):
    """How a proxy pass ended, and what came with the end."""

    status: api.Status
    value: bytes = b""
    used: float | None = None
    units: float | None = None
    load: api.LoadReport | None = None


class Upstream(Protocol):
    """Makes proxy passes; cancelling the Deferred ends one, with the outcome CANCELLED."""

    def begin(self, order: Order) -> Deferred[Outcome]: ...
    def close_idle(self, backend: int) -> None: ...


class Counter(Protocol):
    """Adds to a named number; the Deferred gives the status and the total."""

    def add(self, name: int, amount: float, ttl: float,
            deadline: float) -> Deferred[tuple[api.Status, float]]: ...


class Discovery(Protocol):
    """Tells of the list; the watch runs from the start, so only a whole list can be asked for."""

    def fetch(self) -> None: ...


class Transaction:
    """What was taken on, until it is answered and its last proxy pass has ended."""

    __slots__ = ("answered", "began", "deadline", "due", "guard", "id", "most", "offer", "out", "passes", "settled",
                 "since")

    def __init__(self, offer: Offer, due: Deferred[Answer], most: int) -> None:
        self.most = most                                # proxy passes, as the settings had it when it was taken
        self.offer, self.id, self.deadline, self.due = offer, offer.request.id, offer.deadline, due
        self.passes = 0                                 # proxy passes so far, and so the next one's number
        self.out: dict[int, Deferred[Outcome]] = {}     # those not ended
        self.answered, self.settled = False, False      # final answer given; true units told
        self.guard: clock.Entry = []
        self.since = 0.0                                # when the body had come whole, where it is a long one
        self.began = -1.0                               # s: to the first bytes of a long answer


class Core:
    """The transactions in their table, with the module's events and actions in strict order."""

    def __init__(self, settings: api.Settings, gateway: Gateway, deadlines: clock.Deadlines,
                 memory: int) -> None:
        self._settings, self._deadlines = settings, deadlines
        self._gateway = gateway
        self._table: Table[Transaction] = Table(min(MOST_TRANSACTIONS, int(settings.limits.max_open) or 1))
        self._by_id: dict[str, int] = {}
        self._memory, self._held = memory, 0     # bytes of transactions that may be, and are, held
        self._events: deque[api.Event] = deque()
        self.tally = dict.fromkeys(Verdict, 0)   # final answers so far
        self._busy = False
        self._counts = Tally(deadlines)
        self.upstream: Upstream
        self.counter: Counter | None = None
        self.discovery: Discovery | None = None

    def resettled(self, settings: api.Settings) -> None:
        """Other settings hold from now on, for what is taken from now on."""
        self._settings = settings
        self._table.limit(min(MOST_TRANSACTIONS, int(settings.limits.max_open) or 1))
        self.tell(api.Resettled(settings))

    def limit(self, memory: int) -> None:
        """Another bound on the bytes held, for what is taken from now on."""
        self._memory = memory

    def open(self) -> int:
        """How many transactions have not ended."""
        return len(self._table)

    def known(self, request: str) -> bool:
        """Whether a transaction of that id is open."""
        return request in self._by_id

    def take(self, offer: Offer) -> Deferred[Answer]:
        """Take a transaction on. Cancelling the Deferred says that the user agent has left."""
        due: Deferred[Answer] = Deferred(lambda _: self._left(handle))
        if self._table.full() or self._held + offer.size > self._memory:
            # Turned away before the module, as the open cap has it: nothing was sent on.
            log.say("unavailable", f"{len(self._table)} transactions hold {self._held} bytes",
                    transactions=len(self._table), held=self._held)
            handle = -1
            due.callback(Answer(Verdict.UNAVAILABLE, wait=0.1))
            return due
        transaction = Transaction(offer, due, self._settings.limits.max_attempts)
        handle = self._table.add(transaction)
        self._by_id[transaction.id] = handle
        self._held += offer.size
        if offer.deadline < inf:
            self._guard(handle, transaction)
        due.addBoth(self._spent, transaction)
        self.tell(offer.request)
        return due

    def _guard(self, handle: int, transaction: Transaction) -> None:
        end = transaction.deadline + self._settings.rules.answer_slack
        transaction.guard = self._deadlines.at(end, self._overdue, handle)

    def whole(self, request: str, deadline: float) -> None:
        """The long body of a transaction has come whole: its time starts now."""
        transaction = self._find(request)
        if transaction is not None and not transaction.answered:
            transaction.deadline, transaction.since = deadline, clock.now()
            self._guard(self._by_id[request], transaction)

    def _spent(self, result: Answer, transaction: Transaction) -> Answer:
        if transaction.guard:
            self._deadlines.cancel(transaction.guard)
        return result

    def tell(self, event: api.Event) -> None:
        """Hand an event to the module, behind those that wait, and carry out what it decides."""
        self._events.append(event)
        if not self._busy:
            self._run()

    def listed(self, event: api.Membership, apply: Callable[[], None]) -> None:
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

    def _fault(self, event: api.Event, fault: Exception) -> None:
        logging.getLogger("thymeflow").error("module fault on %s", type(event).__name__, exc_info=fault)
        transaction = self._find(getattr(event, "id", ""))
        if transaction is not None:
            self._answer(transaction, Answer(Verdict.FAILED))

    def _find(self, request: str) -> Transaction | None:
        handle = self._by_id.get(request)
        return None if handle is None else self._table.get(handle)

    def _carry_out(self, action: api.Action) -> None:
        kind = type(action)
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.SetTimer):
            self._deadlines.at(clock.now() + action.delay, self._timer, action.token)
        elif isinstance(action, api.Refuse):
            self._counts.add(self._counts.refused, action.reason)
            self._finish(action.id, Answer(Verdict.UNAVAILABLE, wait=action.retry_after))
        elif isinstance(action, api.Fail):
            self._finish(action.id, Answer(Verdict.FAILED))
        elif isinstance(action, api.Cancel):
            transaction = self._find(action.id)
            going = transaction.out.get(action.attempt) if transaction else None
            if going is not None:
                going.cancel()
        elif isinstance(action, api.Count) and self.counter is not None:
            self._count(action, self.counter)
        elif isinstance(action, api.CloseIdle):
            self.upstream.close_idle(action.backend)
        elif isinstance(action, api.Fetch) and self.discovery is not None:
            self.discovery.fetch()
        elif isinstance(action, api.Log):
            log.say("module", action.text)
        elif not isinstance(action, api.Subscribe):   # the watch is always on
            log.say("module", f"{kind.__name__} is not to be had at this site")

    def _timer(self, token: int) -> None:
        self.tell(api.TimerFired(token))

    def _send(self, action: api.Send) -> None:
        transaction, now = self._find(action.id), clock.now()
        if transaction is None:
            log.say("module", f"proxy pass for {action.id}, which is over")
            return
        number, transaction.passes = transaction.passes, transaction.passes + 1
        if not transaction.answered and not transaction.offer.present():
            self._left(self._by_id[transaction.id])
        moot = (transaction.answered or number >= transaction.most
                or now >= transaction.deadline)
        deadline = transaction.deadline
        if action.timeout and deadline < inf:
            deadline = min(deadline, now + max(0.0, action.timeout))
        if moot:
            self._ended(Outcome(api.Status.MOOT), transaction, number, action.backend, now)
            return
        going = self.upstream.begin(Order(
            action.backend, transaction.offer.payload, deadline,
            lambda flow: self._began(transaction, number, action.backend, now, flow),
            now + action.within, transaction.offer.present))
        transaction.out[number] = going
        going.addCallback(self._ended, transaction, number, action.backend, now)
        going.addErrback(self._broken)

    def _began(self, transaction: Transaction, number: int, backend: int, begun: float, flow: Flow | None) -> bool:
        if flow is None:
            self.tell(api.BodyBegun(transaction.id))
            return True
        # From its first bytes on a long answer is the user agent's: no other pass, and no deadline.
        if transaction.answered:
            return False
        transaction.began = clock.now() - max(begun, transaction.since)
        self._answer(transaction, Answer(Verdict.SERVED, flow=flow))
        self.tell(api.ResponseStarted(transaction.id, number, backend, transaction.began))
        return True

    def _broken(self, failure: object) -> None:
        logging.getLogger("thymeflow").error("proxy pass fault: %s", failure)

    def _ended(self, outcome: Outcome, transaction: Transaction, number: int, backend: int,
               begun: float) -> None:
        transaction.out.pop(number, None)
        self._counts.add(self._counts.passes, outcome.status.name.lower())
        good, units = outcome.status is api.Status.OK, None
        if good and not transaction.settled:
            # The true units go with the first good answer only, as the simulator tells them.
            transaction.settled, units = True, outcome.units
        if good and not transaction.answered:
            self._answer(transaction, Answer(Verdict.SERVED, outcome.value))
        # How long a user agent takes to send or to read says nothing of the application server.
        took = clock.now() - max(begun, transaction.since) if transaction.began < 0.0 else transaction.began
        self.tell(api.AttemptEnded(transaction.id, number, backend, outcome.status, took, transaction.answered,
                                   outcome.used, units, outcome.load))
        self._drop(transaction)

    def _finish(self, request: str, answer: Answer) -> None:
        transaction = self._find(request)
        if transaction is not None and not transaction.answered:
            self._answer(transaction, answer)
            self._drop(transaction)

    def _answer(self, transaction: Transaction, answer: Answer) -> None:
        transaction.answered = True
        self.tally[answer.verdict] += 1
        self._held -= transaction.offer.size
        if not transaction.due.called:
            transaction.due.callback(answer)
        self._drop(transaction)

    def _drop(self, transaction: Transaction) -> None:
        # The slot is kept while passes are out, so that late ends are still told to the module.
        if transaction.answered and not transaction.out:
            handle = self._by_id.pop(transaction.id, None)
            if handle is not None:
                self._table.remove(handle)

    def _left(self, handle: int) -> None:
        transaction = self._table.get(handle)
        if transaction is not None and not transaction.answered:
            transaction.answered = True
            self._held -= transaction.offer.size
            self.tell(api.ClientLeft(transaction.id))
            self._drop(transaction)

    def _overdue(self, handle: int) -> None:
        # Guards the rule that each transaction gets one final answer: the module should have given it.
        transaction = self._table.get(handle)
        if transaction is not None and not transaction.answered:
            log.say("overdue", f"{transaction.id} had no answer from the module by its deadline",
                    request=transaction.id)
            self._answer(transaction, Answer(Verdict.FAILED))
            self.tell(api.ClientLeft(transaction.id))

    def _count(self, action: api.Count, counter: Counter) -> None:
        begun = clock.now()

        def told(result: tuple[api.Status, float]) -> None:
            self.tell(api.CounterReply(action.name, result[0], result[1], clock.now() - begun))

        counter.add(action.name, action.amount, action.ttl, begun + COUNTED).addCallback(told)
