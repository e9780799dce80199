"""The clients: customers that send requests open-loop, and the outcome of each request.

A request is sent on a connection on which nothing else is pending. A connection that ends before any byte of the
response, and has served before, may have been closed while the request was on its way: the request is sent once more on
a new connection, as the protocol allows. Everything else that happens to a request is recorded, and nothing is retried.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from thymeflow.runtime import clock
from thymeflow.testkit.fakes.client_connection import ClientConnection, ClientConnectionFactory
from thymeflow.testkit.fakes.requests import Customer, RequestOutcome, RequestResult
from thymeflow.testkit.fakes.site import KEYED_CLASS
from thymeflow.testkit.types import Address, NetworkReactor
from thymeflow.transport import resp

CONNECT_TIMEOUT_SECONDS = 2.0
RESPONSE_TOLERANCE_SECONDS = 1.0  # past its deadline, after which a request without a response is unanswered
DEADLINE_SECONDS = 2.0
KEYED_DEADLINE_SECONDS = 3.0
REQUEST_BODY = b"table for two"


def _is_never_refused(_limiter: int, _local_port: int) -> bool:
    """Know of no fault proxy that refuses connections."""
    return False


class LoadGenerator:
    """All clients, and the results of all their requests."""

    def __init__(
        self,
        reactor: NetworkReactor,
        deadlines: clock.Deadlines,
        rng: random.Random,
        address_of: Callable[[int], Address],
    ) -> None:
        """`address_of` returns the address of a limiter by its number."""
        self.results: list[RequestResult] = []
        self.pending: dict[str, RequestResult] = {}  # by request id
        self.on_finished: list[Callable[[RequestResult], None]] = []  # called in this order
        # Whether a fault proxy refused the connection from a local port to a limiter.
        self.was_connect_refused: Callable[[int, int], bool] = _is_never_refused
        self.read_bytes_per_second: dict[str, float] = {}  # of long values, by class
        self._reactor = reactor
        self._deadlines = deadlines
        self._rng = rng
        self._address_of = address_of
        self._is_stopped = False
        self._idle: dict[int, list[ClientConnection]] = {}  # by limiter
        self._connections: set[ClientConnection] = set()
        self._request_count = 0
        self._id_prefix = rng.getrandbits(24)
        self._generations: dict[int, int] = {}  # by customer number: how often it was started

    def start_customer(self, customer: Customer, request_classes: tuple[str, ...]) -> None:
        """Send requests of a customer at random times until `stop`, or until the customer is started again."""
        generation = self._generations.get(customer.number, 0) + 1
        self._generations[customer.number] = generation

        def schedule_next() -> None:
            """Schedule the next request after a random interval."""
            interval_seconds = self._rng.expovariate(customer.requests_per_second)
            self._deadlines.schedule(clock.now() + interval_seconds, send_next)

        def send_next(_: int) -> None:
            """Send a request and schedule the next one."""
            if self._is_stopped or self._generations[customer.number] != generation:
                return
            self.send_request(customer, self._rng.choice(request_classes))
            schedule_next()

        schedule_next()

    def stop(self) -> None:
        """Send no more requests; those that are pending still get their responses."""
        self._is_stopped = True

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._connections):
            connection.transport.abortConnection()

    def send_request(
        self,
        customer: Customer,
        request_class: str,
        limiter: int | None = None,
        deadline_seconds: float | None = None,
    ) -> RequestResult:
        """Send one request now, through one of the customer's limiters unless one is given."""
        now = clock.now()
        self._request_count += 1
        if limiter is None:
            limiter = self._select_limiter(customer)
        if deadline_seconds is None:
            deadline_seconds = KEYED_DEADLINE_SECONDS if request_class == KEYED_CLASS else DEADLINE_SECONDS
        request_id = f"{self._id_prefix << 40 | self._request_count:016x}"
        result = RequestResult(request_id, customer, request_class, limiter, now, now + deadline_seconds)
        self.results.append(result)
        self.pending[request_id] = result
        self._deadlines.schedule(result.deadline + RESPONSE_TOLERANCE_SECONDS, lambda _: self._on_overdue(result))
        self._send(result)
        return result

    def _select_limiter(self, customer: Customer) -> int:
        is_first = self._rng.random() < customer.first_limiter_fraction
        offset = 0 if is_first else self._rng.randrange(customer.spread)
        return (customer.first_limiter + offset) % max(customer.limiter_count, customer.first_limiter + 1)

    @staticmethod
    def _command(result: RequestResult) -> bytes:
        customer = result.customer
        has_key = result.request_class == KEYED_CLASS
        remaining_ms = max(1, int((result.deadline - clock.now()) * 1000))
        key_term = f",k={result.request_id}" if has_key else ""
        terms = (
            f"c={result.request_class},t={customer.plan},d={remaining_ms}{key_term},"
            f"units={customer.units:g},spread={customer.spread},first={customer.first_limiter}"
        )
        verb = b"SVC.SUBMIT" if has_key else b"SVC.QUERY"
        body = [REQUEST_BODY] if has_key else []
        return resp.command(verb, customer.name.encode(), result.request_id.encode(), terms.encode(), *body)

    def _send(self, result: RequestResult) -> None:
        idle = self._idle.setdefault(result.limiter, [])
        while idle and not result.is_resent:  # a request that is sent once more needs a new connection
            connection = idle.pop()
            if not connection.is_closed:
                connection.send(result, self._command(result))
                return
        host, port = self._address_of(result.limiter)
        factory = ClientConnectionFactory(self, result.limiter, result, self._command(result))
        self._reactor.connectTCP(host, port, factory, timeout=CONNECT_TIMEOUT_SECONDS)

    def on_connected(self, connection: ClientConnection) -> None:
        """Register an established connection."""
        self._connections.add(connection)

    def on_idle(self, connection: ClientConnection) -> None:
        """Use the connection for another request of its limiter."""
        self._idle.setdefault(connection.limiter, []).append(connection)

    def on_response(self, result: RequestResult, value: resp.Event) -> None:
        """Record a complete response."""
        result.response_count += 1
        if result.is_finished:
            result.details.append("a late answer")
        elif isinstance(value, resp.ErrorReply):
            self._on_error_reply(result, value)
        elif isinstance(value, bytes):
            result.has_wrong_value = not value.startswith(result.request_id.encode() + b":")
            self._finish(result, RequestOutcome.SERVED)
        else:
            self._finish(result, RequestOutcome.FAILED)

    def _on_error_reply(self, result: RequestResult, reply: resp.ErrorReply) -> None:
        words = reply.split()
        if words[:1] == [b"BUSY"]:
            if len(words) > 1 and words[1].isdigit():
                result.retry_after_seconds = int(words[1]) / 1000.0
            self._finish(result, RequestOutcome.REJECTED)
        else:
            result.details.append(reply.decode("ascii", "replace"))
            self._finish(result, RequestOutcome.FAILED)

    def _finish(self, result: RequestResult, outcome: RequestOutcome) -> None:
        result.outcome = outcome
        result.finished_at = self._deadlines.earliest_arrival(clock.now())
        self.pending.pop(result.request_id, None)
        for callback in self.on_finished:
            callback(result)

    def on_connect_failed(self, result: RequestResult) -> None:
        """Record that there was no connection for a request."""
        if not result.is_finished:
            self._finish(result, RequestOutcome.CONNECT_REFUSED)

    def on_disconnected(self, connection: ClientConnection, result: RequestResult | None) -> None:
        """Remove a connection; send its pending request once more where the protocol allows it."""
        self._connections.discard(connection)
        idle = self._idle.get(connection.limiter, [])
        if connection in idle:
            idle.remove(connection)
        if result is None or result.is_finished:
            return
        if not connection.has_response_bytes and self.was_connect_refused(connection.limiter, connection.local_port):
            self._finish(result, RequestOutcome.CONNECT_REFUSED)
        elif self._may_resend(connection, result):
            result.is_resent = True
            self._send(result)
        else:
            state = "used before" if connection.has_served else "new"
            result.details.append(
                f"the connection ({state}{', a second one' if result.is_resent else ''}) ended without an "
                f"answer {clock.now() - result.started_at:.3f} s after the request"
            )
            self._finish(result, RequestOutcome.UNANSWERED)

    @staticmethod
    def _may_resend(connection: ClientConnection, result: RequestResult) -> bool:
        has_crossed_close = connection.has_served and not connection.has_response_bytes
        return has_crossed_close and not result.is_resent and not result.is_limiter_killed

    def _on_overdue(self, result: RequestResult) -> None:
        if not result.is_finished:
            result.details.append("no answer in time")
            self._finish(result, RequestOutcome.UNANSWERED)

    def on_long_value_bytes(self, connection: ClientConnection, byte_count: int) -> None:
        """Read no more for a while, where the class has a reading rate."""
        if connection.result is None:
            return
        bytes_per_second = self.read_bytes_per_second.get(connection.result.request_class)
        if bytes_per_second:
            connection.transport.pauseProducing()
            resume_at = clock.now() + byte_count / bytes_per_second
            self._deadlines.schedule(resume_at, lambda _: connection.transport.resumeProducing())

    def on_limiter_killed(self, limiter: int) -> None:
        """Mark the requests that are pending at a limiter as lost to its kill."""
        for result in self.pending.values():
            if result.limiter == limiter:
                result.is_limiter_killed = True
