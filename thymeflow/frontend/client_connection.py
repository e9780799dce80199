"""One client connection: its commands, its timeouts and its departure.

The protocol is RESP2. A request goes to the dispatcher, which answers it through a Deferred; nothing else here
depends on what a request means.
"""

from __future__ import annotations

from math import inf
from typing import Protocol

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from thymeflow.core.dispatcher import RequestDispatcher
from thymeflow.core.types import IncomingRequest, Response
from thymeflow.frontend import timeouts
from thymeflow.frontend.body_receiver import BodyReceiver
from thymeflow.frontend.connection_commands import QUIT, ReadinessSource, answer_connection_command
from thymeflow.frontend.pipeline import PipelineSlot, ResponseMemory, ResponsePipeline, encode_response
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.transport import resp
from thymeflow.transport.commands import QUERY, SUBMIT, CallError, CallReader
from thymeflow.transport.connections import has_unread_bytes
from thymeflow.transport.value_stream import ValueStream

BODY_INDEX = 4  # of the item of a command that may come slowly, in pieces; the others are its head
MAX_PIPELINED_COMMANDS = 64  # commands of one client that are not answered; then it is not read from
REQUEST_OVERHEAD = 2048  # bytes that a request takes beside its own
MAX_DISCARDED = 256 * 1024  # bytes that are read meanwhile and thrown away
LATE_ARRIVAL = 0.005  # s: less than that a request has waited unread in any turn
LONG_VALUE_EVENTS = (resp.LongValueChunk, resp.LongValueEnd, resp.LongValueArrayEnd)
# Eviction scores: clients without a use for their connection go first, then those that sent no request, then by
# idle time, which is far below these.
NO_USE_SCORE = 2e6
NO_REQUEST_SCORE = 1e6


class ClientConnectionOwner(ReadinessSource, Protocol):
    """What a client connection needs of the frontend that accepted it."""

    deadlines: clock.Deadlines
    dispatcher: RequestDispatcher
    reader: CallReader
    is_draining: bool
    is_closing: bool
    exit_deadline: float

    def on_client_connected(self, connection: ClientConnection) -> int:
        """Register a connection and return its handle."""

    def on_input_buffered(self, change: int) -> None:
        """Count bytes of incomplete commands."""

    def on_client_lost(self, connection: ClientConnection) -> None:
        """Take note that a connection has ended and that nothing is open on it any more."""


class ClientConnection(ResponsePipeline):
    """One client's connection: reads its commands and enforces the timeouts."""

    def __init__(self, owner: ClientConnectionOwner, memory: ResponseMemory) -> None:
        super().__init__(memory)
        self._owner = owner
        self._parser = resp.Parser(resp.MAX_LONG_VALUE)
        self._command_started_at = 0.0  # when the incomplete command began
        self._arrived_at = 0.0  # the earliest at which what is read now can have come
        self._body = BodyReceiver()
        self.handle = -1
        self._is_reading = True  # as the transport was last set
        self.is_evicted = False  # its slot was given to another
        self._has_sent_command = False
        self._has_sent_request = False  # a PING alone doesn't count, and doesn't keep a connection open
        self._discarded_bytes = 0

    def connectionMade(self) -> None:
        """Register with the frontend."""
        self.handle = self._owner.on_client_connected(self)
        self._idle_since = clock.now()
        self._last_activity_at = self._idle_since
        self._arrived_at = self._owner.deadlines.earliest_arrival(self._idle_since)
        super().connectionMade()

    def _update_reading(self) -> None:
        # From a client that does not take its responses, nothing more is taken.
        if self._body.slot is not None:  # also where no further command is accepted
            wanted = not self._body.is_blocked
        else:
            wanted = self.flushed and not self._is_closing and len(self._slots) < MAX_PIPELINED_COMMANDS
        wanted = wanted or (self._is_write_closed and self._discarded_bytes < MAX_DISCARDED)
        if wanted != self._is_reading:
            self._is_reading = wanted
            if wanted:
                self.transport.resumeProducing()
            else:
                self.transport.pauseProducing()

    def dataReceived(self, data: bytes) -> None:
        """Begin each command once it is complete; the responses keep the order of the commands."""
        if self._is_closing and self._body.slot is None:
            self._discarded_bytes += len(data)
            self._update_reading()
            return
        owner = self._owner
        buffered_before = self._parser.buffered_bytes()
        was_incomplete = self._parser.is_incomplete()
        parsed, fault = self._parser.feed(data)
        now = self._last_activity_at = clock.now()
        # What comes first on a connection may have come as early as that did, where that was a moment ago: a stall
        # since then is known. What comes slowly or after a rest has its time from its last byte on.
        is_first = not self._has_sent_command and not was_incomplete and now - self._idle_since < clock.STALL_THRESHOLD
        self._arrived_at = min(owner.deadlines.earliest_arrival(now), self._arrived_at if is_first else inf)
        if parsed or not was_incomplete:
            self._command_started_at = now
        for value in parsed:
            if isinstance(value, LONG_VALUE_EVENTS):
                self._on_long_value_event(value)
            elif self._is_closing:
                return
            elif isinstance(value, list) and all(type(word) is bytes for word in value):
                self._has_sent_command = True
                self._idle_since = self._last_activity_at
                if value:
                    self._on_command(value)  # type: ignore[arg-type]  # checked above
            elif isinstance(value, resp.LongValueBegin):
                self._on_long_command(value)
            else:
                fault = "a command is an array of bulk strings"
                break
        owner.on_input_buffered(self._parser.buffered_bytes() - buffered_before)
        if fault and (not self._is_closing or self._body.slot is not None):
            self._on_malformed_input(fault)
        self._flush()
        if owner.is_draining and (self._has_sent_request or owner.is_closing) and not self._parser.is_incomplete():
            self.finish()

    def _on_long_command(self, begin: resp.LongValueBegin) -> None:
        # A command with a long body: it is submitted with its head, and answered once the body has come.
        self._has_sent_command = True
        self.shrink_buffers()
        words = begin.before
        body = self._body.build_flow(begin.length, self._on_body_paced)
        if all(type(word) is bytes for word in words) and len(words) == BODY_INDEX and not begin.after:
            self._submit_request([*words, b""], body)  # type: ignore[list-item]  # checked above
        else:
            self._reply(resp.error_reply("ERR a value is too long for this command"))
        self._body.begin(self._slots[-1], body)

    def _on_long_value_event(self, event: resp.LongValueChunk | resp.LongValueEnd | resp.LongValueArrayEnd) -> None:
        if isinstance(event, resp.LongValueChunk):
            self._body.push(event.data)
        elif isinstance(event, resp.LongValueEnd) and self._body.slot is not None:
            request = self._body.slot.request
            body = self._body.detach()
            if request is not None:
                body.deadline = self._arrived_at + request.remaining
                self._owner.dispatcher.body_received(request.id, body.deadline)
            self._idle_since = self._last_activity_at
            body.finish()

    def _on_body_paced(self) -> None:
        self._last_activity_at = clock.now()
        self._update_reading()

    def _on_malformed_input(self, fault: str) -> None:
        # Where the next command begins is not known any more: one error line, then the end.
        log.emit_rate_limited(LogKind.CLIENT_COMMAND_MALFORMED, fault)
        self._body.fail()
        self._owner.on_input_buffered(-self._parser.buffered_bytes())
        self._parser = resp.Parser()
        self._reply(resp.error_reply(f"ERR Protocol error: {fault}"))
        self.finish()

    def idle_seconds(self, now: float) -> float:
        """Return for how long it has had no open command, in seconds."""
        return 0.0 if self._slots else now - self._idle_since

    def is_awaiting_first_command(self, now: float) -> bool:
        """Return whether it has connected a moment ago and sent no command yet."""
        return not self._has_sent_command and now - self._idle_since < timeouts.DRAIN_GRACE

    def has_incomplete_command(self) -> bool:
        """Return whether a command has begun and is incomplete."""
        return self._parser.is_incomplete()

    def input_backlog(self) -> tuple[bool, int]:
        """Return whether no command is open, and the bytes buffered of an incomplete one."""
        return not self._slots, self._parser.buffered_bytes()

    def eviction_score(self, now: float) -> float:
        """Return how well its connection could be used by another client; 0: not at all."""
        idle = self.idle_seconds(now)
        if self._is_write_closed or (self._has_sent_command and not self._has_sent_request and not self._slots):
            return NO_USE_SCORE + idle
        if not self._has_sent_request:
            return NO_REQUEST_SCORE + idle if idle > timeouts.NEW_CONNECTION_GRACE else 0.0
        return idle if idle > timeouts.CROWDED_IDLE_TIMEOUT else 0.0

    def enforce_timeouts(self, now: float, idle_timeout: float) -> None:
        """Disconnect a client that sends nothing, never completes a command, or takes no response."""
        idle = self.idle_seconds(now)
        if self._owner.is_draining and idle > timeouts.DRAIN_GRACE:
            idle_timeout = 0.0  # who sends no request at once is disconnected, and who often sends PING stays
        if not self._is_reading and self.has_peer_closed():
            self.transport.abortConnection()
        elif self._is_write_closed or not self.flushed:
            stalled = now - self._last_activity_at > timeouts.WRITE_STALL_TIMEOUT
            if idle > timeouts.LINGER_TIMEOUT if self._is_write_closed else stalled:
                self.transport.abortConnection()
        elif self._body.slot is not None:
            if not self._body.is_blocked and now - self._last_activity_at > timeouts.COMMAND_TIMEOUT:
                self._on_malformed_input("a value was begun and not ended")
        elif self._is_closing:
            return
        elif self._parser.is_incomplete():
            is_head = self._parser.awaited_item != BODY_INDEX  # a body may come slowly, but not stand still
            if now - (self._command_started_at if is_head else self._last_activity_at) > timeouts.COMMAND_TIMEOUT:
                self._on_malformed_input("a command was begun and not ended")
        elif idle > (
            idle_timeout if self._has_sent_request else min(idle_timeout, timeouts.COMMAND_TIMEOUT)
        ) and not has_unread_bytes(self.transport):
            self.finish()

    def evict(self) -> None:
        """Close the connection now, as its slot is given to another client."""
        self.is_evicted = True
        self.transport.abortConnection()

    def _on_command(self, words: list[bytes]) -> None:
        name = words[0].upper()
        if name in (QUERY, SUBMIT):
            self._submit_request(words)
        else:
            self._reply(answer_connection_command(name, words, self._owner))
            if name == QUIT:
                self.finish()

    def _reject_command(self, reason: str) -> None:
        log.emit_rate_limited(LogKind.CLIENT_COMMAND_INVALID, reason)
        self._reply(resp.error_reply(f"ERR {reason}"))

    def _submit_request(self, words: list[bytes], body: ValueStream | None = None) -> None:
        dispatcher = self._owner.dispatcher
        try:
            call, request = self._owner.reader.read(words)
        except CallError as error:
            self._reject_command(str(error))
            return
        if dispatcher.is_open(request.id):
            self._reject_command("that id is in hand")
            return
        slot = PipelineSlot(None, request, body)
        self._has_sent_request = True
        self._slots.append(slot)
        if body is not None:
            call = call._replace(flow=body)
        size = REQUEST_OVERHEAD + len(call.before) + len(call.after) + len(call.body or b"")
        exit_deadline = self._owner.exit_deadline
        deadline = min(self._arrived_at + request.remaining, exit_deadline) if body is None else inf
        is_late = self._last_activity_at - self._arrived_at > LATE_ARRIVAL
        if body is None and (is_late or deadline == exit_deadline):
            # Its time runs from when it reached this machine: what a stall took of it is gone, as is what comes
            # after the end of a process that is shutting down.
            request = request._replace(remaining=deadline - self._last_activity_at)
        slot.response_deferred = dispatcher.submit(IncomingRequest(request, deadline, call, size, self.is_present))
        slot.response_deferred.addCallbacks(self._answered, lambda _: None, callbackArgs=(slot,))

    def _answered(self, response: Response, slot: PipelineSlot, /) -> None:
        slot.response = encode_response(response)
        slot.response_stream = response.stream
        if slot.body is not None and response.stream is None:
            slot.body.discard()
        self._add_pending(len(slot.response))
        if self._slots and self._slots[0] is slot:
            self._flush()
        if self._memory.used_bytes > self._memory.max_bytes:
            # Guards the memory limit, past which the process would be killed: one client that
            # pipelines behind its own slow request, or takes no responses, is disconnected instead.
            log.emit_rate_limited(
                LogKind.BACKLOG,
                f"{self._memory.used_bytes} bytes of responses are pending; a connection was closed",
                held=self._memory.used_bytes,
            )
            self.transport.abortConnection()

    def is_present(self) -> bool:
        """Return whether the client is still connected, also where it isn't read from or our turn came late."""
        return not self.has_peer_closed()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  # Twisted passes it
        """Cancel everything that is open: no response can reach the client any more."""
        self._is_closing = True
        self._body.fail()
        self._owner.on_input_buffered(-self._parser.buffered_bytes())
        self._parser = resp.Parser()
        self._cancel_slots()
        self._owner.on_client_lost(self)
