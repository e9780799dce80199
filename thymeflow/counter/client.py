"""The counter's client: a few lasting connections, on each of which calls are pipelined and replies come in order.

A name always takes the same connection, so that its replies come in the order of its calls. A call that is abandoned
keeps its position: its reply still arrives, and must not be taken for that of the next call.
"""

from __future__ import annotations

import re
from collections import deque

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from thymeflow.decision.types import Status
from thymeflow.platform.endpoints import Address
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.transport import resp
from thymeflow.transport.connections import RespConnection, dial

CONNECTIONS = 3  # the counter may be split over as many partitions
REPLY_STALL_TIMEOUT = 0.3  # s: without a byte of a reply that has begun; some are written in pieces
DEAD_PEER_TIMEOUT = 1.0  # s: without a reply while calls wait; the host is gone without closing its connections
MAX_PENDING_CALLS = 512  # on one connection
CONNECT_TIMEOUT = 0.25  # s
RECONNECT_WAIT = 0.2  # s: between a failed connect and the next
MOVE_TIMEOUT = 2.0  # s: for the calls in flight when the counter's address changes
MIN_TTL_MS = 1

MAX_TOTAL = 1e15  # larger sums are malformed: no sum of credible amounts is larger
_TOTAL = re.compile(rb"-?[0-9]{1,18}(\.[0-9]{1,18})?([eE][+-]?[0-9]{1,2})?")

CounterResult = tuple[Status, float]  # the status and the new total; a plain tuple, as each call builds one


class PendingCall:
    """One call, until its reply has arrived; its result may have been reported before."""

    __slots__ = ("data", "is_reported", "result_deferred", "started_at", "timeout_call")

    def __init__(self, data: bytes, started_at: float, result_deferred: Deferred[CounterResult]) -> None:
        self.data = data
        self.started_at = started_at
        self.result_deferred = result_deferred
        self.is_reported = False
        self.timeout_call = clock.NOT_SCHEDULED


class CounterConnection(RespConnection):
    """One connection to the counter."""

    def __init__(self, line: CallPipeline) -> None:
        super().__init__()
        self._line = line
        self._last_received_at = 0.0

    def resumeProducing(self) -> None:
        """Report that all that was written has gone to the kernel."""
        super().resumeProducing()
        self._line.on_flushed()

    def dataReceived(self, data: bytes) -> None:
        """Read replies, or a fragment of one."""
        self._last_received_at = clock.now()
        super().dataReceived(data)

    def message(self, value: resp.Value) -> None:
        """Report the reply to the oldest call."""
        self._line.on_reply(value)

    def is_stalled(self) -> bool:
        """Return whether a reply has arrived incompletely, and for `REPLY_STALL_TIMEOUT` seconds no more of it."""
        return self._parser.buffered_bytes() > 0 and clock.now() - self._last_received_at > REPLY_STALL_TIMEOUT

    def on_malformed(self, fault: str) -> None:
        """Close the connection, as replies can no longer be assigned to calls."""
        log.emit_rate_limited(LogKind.COUNTER_REPLY_MALFORMED, fault)
        self.hang_up()
        self.on_lost()

    def on_lost(self) -> None:
        """Report that the connection has ended."""
        self._line.on_connection_lost()


class CallPipeline:
    """The calls of one connection in their order: those written, and those that wait until it is up."""

    def __init__(self, reactor: object, deadlines: clock.Deadlines, address: Address) -> None:
        self._reactor = reactor
        self._deadlines = deadlines
        self._address = address
        self._connection: CounterConnection | None = None
        self._is_dialing = False
        self._reconnect_at = 0.0
        self._last_reply_at = 0.0
        self._is_retired = False  # the counter has another address: no new calls, and none is awaited for long
        self.written: deque[PendingCall] = deque()
        self._flushed_calls = 0  # how many of the written ones have gone to the kernel
        self._unwritten: deque[PendingCall] = deque()

    def call(self, data: bytes, deadline: float) -> Deferred[CounterResult]:
        """Send a call; the result is due by the deadline, and is never a failure."""
        now = clock.now()
        result_deferred: Deferred[CounterResult] = Deferred()
        call = PendingCall(data, now, result_deferred)
        if self._connection is None:
            self.connect()
        if self._connection is None and not self._is_dialing:
            self._report(call, (Status.CONNECT_FAILED, 0.0))
        elif len(self.written) + len(self._unwritten) >= MAX_PENDING_CALLS:
            self._report(call, (Status.FULL, 0.0))  # nothing was added, as when the counter rejects a call
        else:
            call.timeout_call = self._deadlines.schedule(deadline, lambda _: self._on_deadline(call))
            if self._connection is None:
                self._unwritten.append(call)
            else:
                self._write(call)
        return result_deferred

    def connect(self) -> None:
        """Open the connection, unless that failed a moment ago."""
        now = clock.now()
        if self._is_dialing or self._connection is not None or now < self._reconnect_at or self._is_retired:
            return
        self._is_dialing = True
        deadline = now + CONNECT_TIMEOUT
        connected = dial(self._reactor, self._deadlines, self._address, deadline, lambda: CounterConnection(self))
        connected.addCallbacks(self._on_connected, self._on_connect_failed)

    def retire(self) -> None:
        """Complete the calls in flight, up to a timeout, and close the connection."""
        self._is_retired = True
        self._deadlines.schedule(clock.now() + MOVE_TIMEOUT, self._close)
        self._close_if_retired()

    def _close(self, _: int) -> None:
        if self._connection is not None:
            self._connection.hang_up()
            self.on_connection_lost()

    def _close_if_retired(self) -> None:
        if self._is_retired and not self.written and not self._unwritten:
            self._close(0)

    def _on_connected(self, connection: CounterConnection) -> None:
        self._is_dialing = False
        self._last_reply_at = clock.now()
        if connection.closed:
            self.on_connection_lost()
            return
        self._connection = connection
        while self._unwritten:
            self._write(self._unwritten.popleft())
        self._close_if_retired()

    def _on_connect_failed(self, failure: Failure) -> None:
        self._is_dialing = False
        self._reconnect_at = clock.now() + RECONNECT_WAIT
        log.emit_rate_limited(
            LogKind.COUNTER_DOWN, f"{self._address}: {failure.getErrorMessage()}", address=self._address
        )
        self._fail_unwritten()

    def _fail_unwritten(self) -> None:
        while self._unwritten:
            self._report(self._unwritten.popleft(), (Status.CONNECT_FAILED, 0.0))

    def _write(self, call: PendingCall) -> None:
        assert self._connection is not None
        self.written.append(call)
        self._connection.write(call.data)
        if self._connection.flushed:
            self.on_flushed()

    def on_flushed(self) -> None:
        """Take note that all that was written has gone to the kernel."""
        self._flushed_calls = len(self.written)

    def _on_deadline(self, call: PendingCall) -> None:
        now = clock.now()
        if call in self._unwritten:  # nothing was added
            self._unwritten.remove(call)
            self._report(call, (Status.CONNECT_FAILED, 0.0))
            return
        self._report(call, (Status.TIMEOUT, 0.0))
        if self._connection is not None and self._connection.is_stalled():
            self._connection.on_malformed("a reply has begun and is incomplete")
            return
        oldest = self.written[0] if self.written else call
        if self._connection is not None and now - max(self._last_reply_at, oldest.started_at) > DEAD_PEER_TIMEOUT:
            log.emit_rate_limited(
                LogKind.COUNTER_UNRESPONSIVE,
                f"{self._address}: no reply for {DEAD_PEER_TIMEOUT:g} s, connecting again",
                address=self._address,
                waiting=len(self.written),
            )
            self._connection.hang_up()
            self.on_connection_lost()

    def on_reply(self, value: resp.Value) -> None:
        """End the oldest call, whether or not its result is still awaited."""
        self._last_reply_at = clock.now()
        result = self._parse_result(value) if self.written else None
        if result is None:
            # Replies can no longer be assigned to calls; all that were flushed may have been added.
            if self._connection is not None:
                self._connection.on_malformed(f"no valid reply: {str(value)[:60]}")
            return
        call = self.written.popleft()
        self._flushed_calls = max(0, self._flushed_calls - 1)
        self._report(call, result)
        self._close_if_retired()

    @staticmethod
    def _parse_result(value: resp.Value) -> CounterResult | None:
        if isinstance(value, resp.ErrorReply):
            if value.startswith(b"ERR"):
                log.emit_rate_limited(LogKind.COUNTER_ERROR, repr(bytes(value)[:80]))
            return (Status.FULL, 0.0) if value.split()[:1] in ([b"BUSY"], [b"ERR"]) else None
        if not isinstance(value, bytes) or isinstance(value, resp.SimpleString) or not _TOTAL.fullmatch(value):
            return None
        total = float(value)
        return (Status.OK, total) if abs(total) <= MAX_TOTAL else None

    def on_connection_lost(self) -> None:
        """End all calls: those that were flushed may have been added, the others were not."""
        self._connection = None
        written = list(self.written)
        flushed_calls = self._flushed_calls
        self.written.clear()
        self._flushed_calls = 0
        for position, call in enumerate(written):
            status = Status.TIMEOUT if position < flushed_calls else Status.CONNECT_FAILED
            self._report(call, (status, 0.0))
        self._fail_unwritten()

    def _report(self, call: PendingCall, result: CounterResult) -> None:
        if not call.is_reported:
            call.is_reported = True
            self._deadlines.cancel(call.timeout_call)
            call.result_deferred.callback(result)


class CounterClient:
    """The shared counter, over a few connections."""

    def __init__(self, reactor: object, deadlines: clock.Deadlines, address: Address) -> None:
        self._reactor = reactor
        self._deadlines = deadlines
        self._lines = self._build_lines(address)

    def _build_lines(self, address: Address) -> list[CallPipeline]:
        return [CallPipeline(self._reactor, self._deadlines, address) for _ in range(CONNECTIONS)]

    def connect(self) -> None:
        """Open the connections before the first calls need them."""
        for line in self._lines:
            line.connect()

    def set_address(self, address: Address) -> None:
        """Send new calls to another address; those in flight end where they were sent."""
        old_lines = self._lines
        self._lines = self._build_lines(address)
        self.connect()
        for line in old_lines:
            line.retire()

    def add(self, name: int, amount: float, ttl: float, deadline: float) -> Deferred[CounterResult]:
        """Add to a named number that expires after `ttl` seconds; the result is a status and the total.

        The result comes by the deadline, and is never a failure.
        """
        data = resp.command(b"INCRTTL", b"%d" % name, b"%.6f" % amount, b"%d" % max(MIN_TTL_MS, round(ttl * 1000.0)))
        return self._lines[name % CONNECTIONS].call(data, deadline)
