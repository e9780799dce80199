"""The counter's client: a few persistent connections, each with pipelined calls whose replies arrive in order.

All calls for a name use the same connection, so that their replies arrive in the order of the calls. An abandoned call
keeps its position in the pipeline, because its reply still arrives and must not be assigned to the next call.
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

CONNECTION_COUNT = 3  # The counter may be split into as many partitions.
# Seconds without a further byte of an incomplete reply. The counter writes some replies in pieces.
REPLY_STALL_TIMEOUT = 0.3
# Seconds without a reply while calls are pending. A host can fail without closing its connections.
DEAD_PEER_TIMEOUT = 1.0
MAX_PENDING_CALLS = 512  # per connection
CONNECT_TIMEOUT = 0.25  # seconds
RECONNECT_WAIT = 0.2  # seconds between a failed connect and the next attempt
MOVE_TIMEOUT = 2.0  # seconds for the calls in flight after the counter's address has changed
MIN_TTL_MS = 1

MAX_TOTAL = 1e15  # A larger total is malformed: no sum of plausible amounts reaches it.
_TOTAL = re.compile(rb"-?[0-9]{1,18}(\.[0-9]{1,18})?([eE][+-]?[0-9]{1,2})?")

CounterResult = tuple[Status, float]  # The status and the new total. A plain tuple, because each call builds one.


class PendingCall:
    """One call whose reply has not arrived; its result may already have been reported, as a timeout."""

    __slots__ = ("data", "is_reported", "result_deferred", "started_at", "timeout_call")

    def __init__(self, data: bytes, started_at: float, result_deferred: Deferred[CounterResult]) -> None:
        self.data = data
        self.started_at = started_at
        self.result_deferred = result_deferred
        self.is_reported = False
        self.timeout_call = clock.NOT_SCHEDULED


class CounterConnection(RespConnection):
    """One connection to the counter."""

    def __init__(self, pipeline: CallPipeline) -> None:
        super().__init__()
        self._pipeline = pipeline
        self._last_received_at = 0.0

    def resumeProducing(self) -> None:
        """Tell the pipeline that the kernel has accepted all written bytes."""
        super().resumeProducing()
        self._pipeline.on_flushed()

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes, which may contain several replies or a part of one."""
        self._last_received_at = clock.now()
        super().dataReceived(data)

    def on_message(self, value: resp.Value) -> None:
        """Pass a reply to the pipeline, which assigns it to the oldest call."""
        self._pipeline.on_reply(value)

    def is_stalled(self) -> bool:
        """Return whether a reply is incomplete and no byte has arrived for `REPLY_STALL_TIMEOUT` seconds."""
        return self._parser.buffered_bytes() > 0 and clock.now() - self._last_received_at > REPLY_STALL_TIMEOUT

    def on_malformed(self, fault: str) -> None:
        """Close the connection, because its replies can no longer be assigned to calls."""
        log.emit_rate_limited(LogKind.COUNTER_REPLY_MALFORMED, f"{fault}; the counter connection is closed")
        self.abort_connection()
        self.on_lost()

    def on_lost(self) -> None:
        """Tell the pipeline that the connection has ended."""
        self._pipeline.on_connection_lost()


class CallPipeline:
    """The pending calls of one connection in order: the written ones, and those that wait for the connect."""

    def __init__(self, reactor: object, deadlines: clock.Deadlines, address: Address) -> None:
        self._reactor = reactor
        self._deadlines = deadlines
        self._address = address
        self._connection: CounterConnection | None = None
        self._is_dialing = False
        self._reconnect_at = 0.0
        self._last_reply_at = 0.0
        self._is_retired = False  # The counter's address has changed; no new calls are sent here.
        self.written: deque[PendingCall] = deque()
        self._flushed_calls = 0  # number of written calls that the kernel has accepted
        self._unwritten: deque[PendingCall] = deque()

    def call(self, data: bytes, deadline: float) -> Deferred[CounterResult]:
        """Send a call and return its result as a Deferred, which fires by the deadline and never with a failure."""
        now = clock.now()
        result_deferred: Deferred[CounterResult] = Deferred()
        call = PendingCall(data, now, result_deferred)
        if self._connection is None:
            self.connect()
        if self._connection is None and not self._is_dialing:
            self._report(call, (Status.CONNECT_FAILED, 0.0))
        elif len(self.written) + len(self._unwritten) >= MAX_PENDING_CALLS:
            self._report(call, (Status.FULL, 0.0))  # Nothing was added, as after a rejection by the counter.
        else:
            call.timeout_call = self._deadlines.schedule(deadline, lambda _: self._on_deadline(call))
            if self._connection is None:
                self._unwritten.append(call)
            else:
                self._write(call)
        return result_deferred

    def connect(self) -> None:
        """Open the connection unless it exists, is being opened, or failed to open less than `RECONNECT_WAIT` ago."""
        now = clock.now()
        if self._is_dialing or self._connection is not None or now < self._reconnect_at or self._is_retired:
            return
        self._is_dialing = True
        deadline = now + CONNECT_TIMEOUT
        connected = dial(self._reactor, self._deadlines, self._address, deadline, lambda: CounterConnection(self))
        connected.addCallbacks(self._on_connected, self._on_connect_failed)

    def retire(self) -> None:
        """Close the connection once its calls are complete, at the latest after `MOVE_TIMEOUT`."""
        self._is_retired = True
        self._deadlines.schedule(clock.now() + MOVE_TIMEOUT, self._close)
        self._close_if_retired()

    def _close(self, _: int) -> None:
        if self._connection is not None:
            self._connection.abort_connection()
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
            LogKind.COUNTER_DOWN,
            f"connect to the counter at {self._address} failed, next attempt in {RECONNECT_WAIT:g} s at the earliest: "
            f"{failure.getErrorMessage()}",
            address=self._address,
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
        """Record that the kernel has accepted all written calls."""
        self._flushed_calls = len(self.written)

    def _on_deadline(self, call: PendingCall) -> None:
        now = clock.now()
        if call in self._unwritten:  # The counter cannot have added its amount.
            self._unwritten.remove(call)
            self._report(call, (Status.CONNECT_FAILED, 0.0))
            return
        self._report(call, (Status.TIMEOUT, 0.0))
        if self._connection is not None and self._connection.is_stalled():
            self._connection.on_malformed(f"incomplete reply: no further byte for {REPLY_STALL_TIMEOUT:g} s")
            return
        oldest = self.written[0] if self.written else call
        if self._connection is not None and now - max(self._last_reply_at, oldest.started_at) > DEAD_PEER_TIMEOUT:
            log.emit_rate_limited(
                LogKind.COUNTER_UNRESPONSIVE,
                f"no reply from the counter at {self._address} for {DEAD_PEER_TIMEOUT:g} s; the connection is closed, "
                "and the next call opens another one",
                address=self._address,
                waiting=len(self.written),
            )
            self._connection.abort_connection()
            self.on_connection_lost()

    def on_reply(self, value: resp.Value) -> None:
        """Remove the oldest call, and report its result unless that was reported before."""
        self._last_reply_at = clock.now()
        result = self._parse_result(value) if self.written else None
        if result is None:
            # Replies can no longer be assigned to calls. The counter may have added the amounts of all flushed calls.
            if self._connection is not None:
                self._connection.on_malformed(f"invalid reply: {str(value)[:60]}")
            return
        call = self.written.popleft()
        self._flushed_calls = max(0, self._flushed_calls - 1)
        self._report(call, result)
        self._close_if_retired()

    @staticmethod
    def _parse_result(value: resp.Value) -> CounterResult | None:
        if isinstance(value, resp.ErrorReply):
            if value.startswith(b"ERR"):
                log.emit_rate_limited(LogKind.COUNTER_ERROR, f"the counter rejected a call: {bytes(value)[:80]!r}")
            return (Status.FULL, 0.0) if value.split()[:1] in ([b"BUSY"], [b"ERR"]) else None
        if not isinstance(value, bytes) or isinstance(value, resp.SimpleString) or not _TOTAL.fullmatch(value):
            return None
        total = float(value)
        return (Status.OK, total) if abs(total) <= MAX_TOTAL else None

    def on_connection_lost(self) -> None:
        """Report the result of all pending calls.

        Flushed calls get TIMEOUT, because the counter may have added their amounts; the other calls get CONNECT_FAILED.
        """
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
    """The client of the shared counter, with `CONNECTION_COUNT` connections."""

    def __init__(self, reactor: object, deadlines: clock.Deadlines, address: Address) -> None:
        self._reactor = reactor
        self._deadlines = deadlines
        self._pipelines = self._build_pipelines(address)

    def _build_pipelines(self, address: Address) -> list[CallPipeline]:
        return [CallPipeline(self._reactor, self._deadlines, address) for _ in range(CONNECTION_COUNT)]

    def connect(self) -> None:
        """Open the connections before the first call, so that it need not wait for a connect."""
        for pipeline in self._pipelines:
            pipeline.connect()

    def set_address(self, address: Address) -> None:
        """Send new calls to another address; calls in flight are completed at the old one."""
        old_pipelines = self._pipelines
        self._pipelines = self._build_pipelines(address)
        self.connect()
        for pipeline in old_pipelines:
            pipeline.retire()

    def add(self, name: int, amount: float, ttl: float, deadline: float) -> Deferred[CounterResult]:
        """Add an amount to a named number that expires after `ttl` seconds, and return the status and the new total.

        The returned Deferred fires by the deadline and never with a failure.
        """
        data = resp.command(b"INCRTTL", b"%d" % name, b"%.6f" % amount, b"%d" % max(MIN_TTL_MS, round(ttl * 1000.0)))
        return self._pipelines[name % CONNECTION_COUNT].call(data, deadline)
