"""A client connection: reads RESP2 commands, enforces timeouts, and cancels requests when the client leaves.

A request is submitted to the dispatcher, which responds through a Deferred. No other code here depends on the meaning
of a request.
"""

from __future__ import annotations

import logging
from math import inf
from typing import Protocol

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from thymeflow.core.dispatcher import CAPACITY_RETRY_AFTER, RequestDispatcher
from thymeflow.core.types import Response, ResponseKind
from thymeflow.frontend import timeouts
from thymeflow.frontend.body_receiver import BodyReceiver
from thymeflow.frontend.command_input import MAX_READ_AHEAD_BYTES, CommandInput
from thymeflow.frontend.connection_commands import QUIT, ReadinessSource, answer_connection_command
from thymeflow.frontend.eviction import NEVER_EVICTED, compute_eviction_score
from thymeflow.frontend.input_scheduler import InputScheduler
from thymeflow.frontend.pipeline import ResponsePipeline
from thymeflow.frontend.pipeline_slot import PipelineSlot, encode_response
from thymeflow.frontend.read_pace import BODY_READ_BYTES, COMMAND_READ_BYTES, ReadPace
from thymeflow.frontend.request_reading import build_incoming_request, read_request
from thymeflow.frontend.response_memory import ResponseMemory
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.transport import resp
from thymeflow.transport.commands import QUERY, SUBMIT, CallError, CallReader
from thymeflow.transport.connections import DEFAULT_READ_BYTES, has_unread_bytes
from thymeflow.transport.value_stream import BufferMemory, ValueStream

BODY_INDEX = 4  # the index of a command's body, which may arrive slowly; the items before it are the command's head
MAX_PIPELINED_COMMANDS = 64  # the commands of a client with this many unanswered ones wait
MAX_COMMANDS_PER_TURN = 32  # commands of one client that are executed in one turn of the reactor
MAX_REJECTIONS_PER_TURN = 500  # the same for a client whose commands are rejected because it has sent too many
MAX_DISCARDED_BYTES = 256 * 1024  # bytes that are read and discarded after the write side of a connection is closed
LATE_RESPONSE_SECONDS = 0.05  # a response that comes so long after the deadline of its request is logged
LONG_VALUE_EVENTS = (resp.LongValueChunk, resp.LongValueEnd, resp.LongValueArrayEnd)


class ClientConnectionOwner(ReadinessSource, Protocol):
    """The interface of the frontend that accepted a client connection."""

    body_memory: BufferMemory
    read_ahead_memory: BufferMemory
    input_scheduler: InputScheduler
    deadlines: clock.Deadlines
    dispatcher: RequestDispatcher
    reader: CallReader
    is_draining: bool
    is_closing: bool
    is_exiting: bool
    exit_deadline: float

    def on_client_connected(self, connection: ClientConnection) -> int:
        """Register a connection and return its handle."""

    def on_input_buffered(self, change: int) -> None:
        """Add `change` to the number of buffered bytes of incomplete commands."""

    def on_response_memory_exceeded(self) -> None:
        """Release memory, because too many bytes of responses are pending."""

    def on_client_lost(self, connection: ClientConnection) -> None:
        """Handle a connection that has ended and has no open requests left."""


class ClientConnection(ResponsePipeline):
    """One client's connection, which reads commands and enforces timeouts."""

    def __init__(self, owner: ClientConnectionOwner, memory: ResponseMemory) -> None:
        super().__init__(memory, owner.deadlines)
        self._owner = owner
        self._input = CommandInput(owner.read_ahead_memory)
        self._command_started_at = 0.0  # time at which the incomplete command began
        self._connected_at = 0.0  # the earliest time at which the connection can have arrived
        self._arrived_at = 0.0  # the earliest time at which the last byte of the command can have arrived
        self._pace = ReadPace()
        self._is_scheduled = False  # the scheduler will call `process_input`
        self._is_executing = False  # a command is being executed
        self._incomplete_bytes = 0  # bytes of an incomplete command as reported to the owner
        self._body = BodyReceiver()
        self.handle = -1
        self.is_evicted = False  # the slot of this connection was given to another client
        self._has_sent_command = False
        self._has_sent_request = False  # commands without a request, such as PING, do not count
        self._discarded_bytes = 0

    def connectionMade(self) -> None:
        """Register with the frontend."""
        self.handle = self._owner.on_client_connected(self)
        self._idle_since = clock.now()
        self._last_activity_at = self._idle_since
        self._connected_at = self._owner.deadlines.earliest_arrival(self._idle_since)
        super().connectionMade()
        self.set_max_read_bytes(COMMAND_READ_BYTES)

    def _update_reading(self) -> None:
        if self._body.slot is not None:  # the body is read even if no further command is accepted
            should_read = not self._body.is_blocked
        elif self._is_write_closed:
            is_left_unread = self._is_reset_due or self._owner.is_exiting
            should_read = self._discarded_bytes < MAX_DISCARDED_BYTES and not is_left_unread
        else:
            has_capacity = self._input.has_capacity()
            is_accepting = not self._is_closing and not self._owner.is_exiting
            should_read = is_accepting and has_capacity and not self._can_break_off()
            self._pace.is_overrun = self._pace.is_overrun or not (has_capacity or self._is_closing)
        now = clock.now()
        if self._pace.set_reading(should_read, now):
            if should_read:
                self._command_started_at = now  # the time in which the client was not read from does not count
                self.transport.resumeProducing()
            else:
                self.transport.pauseProducing()
        self._schedule_input()

    def _has_input(self) -> bool:
        return not self._is_closing and (self._input.is_incomplete() or self.count_received_bytes() > 0)

    def dataReceived(self, data: bytes) -> None:
        """Execute each command once it is complete; responses are sent in the order of the commands."""
        if self._is_closing and self._body.slot is None:
            self._discarded_bytes += len(data)
            self._update_reading()
            return
        now = self._last_activity_at = clock.now()
        if not self._input.is_incomplete():
            self._command_started_at = now
        self._input.append(data, self._find_arrival(now))
        if self._pace.is_overrun:
            self._pace.on_read(now, is_all_read=not self.count_received_bytes())
        if self._is_scheduled:
            self._read_ahead()
            self._update_reading()
        else:
            self._execute_waiting()
        if self._body.slot is not None:
            self._record_unread_body(now)
        else:
            has_memory = self._owner.read_ahead_memory.has_capacity()
            self.set_max_read_bytes(self._pace.choose_command_read_bytes(has_memory))

    def _read_ahead(self) -> None:
        # Reads all that waits unread behind commands that wait, so that a close behind it is found at once. The reactor
        # reads the end of the connection.
        self._input.update_memory()
        if not self._input.is_waiting or self._body.slot is not None:
            return
        if self._can_break_off() or self._owner.is_exiting:
            return
        while self._input.is_waiting and self._input.has_capacity():
            try:
                data = self.transport.getHandle().recv(DEFAULT_READ_BYTES, 0)
            except OSError:
                return
            if not data:
                return
            self._input.append(data, self._find_arrival(clock.now()))
            self._input.update_memory()

    def _find_arrival(self, now: float) -> float:
        # The first command of a connection may have arrived as early as the connection itself, if that was accepted a
        # moment ago. Its time then includes a stall of this process since the connection arrived. The time of a command
        # that arrives in pieces or after a pause begins with its last byte.
        arrived_at = self._owner.deadlines.earliest_arrival(now)
        is_first = not self._has_sent_command and not self._input.is_incomplete()
        if is_first and now - self._idle_since < clock.STALL_THRESHOLD:
            arrived_at = min(arrived_at, self._connected_at)
        return arrived_at

    def _can_execute(self) -> bool:
        # A client that does not read its responses, or has too many open commands, waits. One that has sent more than
        # may wait is rejected instead: its close could not be found before all that it has sent is read. No command is
        # taken behind a response that may still break off, because the close of the connection would lose it.
        if self._body.slot is not None:
            return True
        if self._can_break_off():
            return False
        if not self.flushed or self._is_closing or (self._pending_bytes and not self._memory.has_capacity()):
            return False
        return self._is_rejecting() or len(self._slots) < MAX_PIPELINED_COMMANDS

    def _is_rejecting(self) -> bool:
        # Returns whether requests are rejected unread, because too many wait or the process is about to exit.
        return self._pace.is_overrun or self._owner.is_exiting

    def _schedule_input(self) -> None:
        if self._input.is_waiting and not self._is_scheduled and not self._is_executing and self._can_execute():
            self._is_scheduled = True
            self._owner.input_scheduler.add(self)

    def process_input(self) -> None:
        """Execute some of the commands that wait; called by the scheduler."""
        self._is_scheduled = False
        if not self._is_lost:
            self._execute_waiting()

    def on_fault(self, error: Exception) -> None:
        """Close the connection after an unexpected error, which must not keep other connections from being served."""
        logging.getLogger("thymeflow").error("client connection fault", exc_info=error)
        self.transport.abortConnection()

    def _execute_waiting(self) -> None:
        incomplete_before = self._incomplete_bytes
        self._is_executing = True
        for _ in range(MAX_REJECTIONS_PER_TURN if self._is_rejecting() else MAX_COMMANDS_PER_TURN):
            if not self._input.is_waiting or not self._can_execute():
                break
            events = self._input.take_events()
            self._command_started_at = self._last_activity_at if events else self._command_started_at
            for event in events:
                self._on_event(event)
        self._is_executing = False
        if self._input.fault and (not self._is_closing or self._body.slot is not None):
            self._on_malformed_input(self._input.fault)
        elif self._is_closing and self._body.slot is None:
            self._input.clear()
        self._read_ahead()
        self._incomplete_bytes = 0 if self._input.is_waiting else self._input.count_bytes()
        self._owner.on_input_buffered(self._incomplete_bytes - incomplete_before)
        self._flush()

    def _on_idle(self) -> None:
        if self._owner.is_draining and (self._has_sent_request or self._owner.is_closing):
            self.finish_if_idle()

    def finish_if_idle(self) -> None:
        """Close the connection, unless a command is open, waits, or is on its way.

        A command that arrives while another one is open is served too: the client sees the connection open, and could
        not tell that a command which was read and dropped has not been executed.
        """
        is_idle = not self._slots and self.flushed and not self._is_executing and not self._is_closing
        if not is_idle:
            return
        if self._owner.is_exiting:  # the client may go on sending; what it sends stays unread
            is_all_answered = not self._input.is_waiting
        else:
            is_all_answered = not self._input.is_incomplete() and not has_unread_bytes(self.transport)
        if is_all_answered:
            self.finish()

    def stop_reading_commands(self) -> None:
        """Read no more commands, because the process exits; close the connection once those that were read are over."""
        self._update_reading()
        self.finish_if_idle()

    def _on_event(self, event: resp.Event) -> None:
        if isinstance(event, LONG_VALUE_EVENTS):
            self._on_long_value_event(event)
        elif isinstance(event, list) and all(type(argument) is bytes for argument in event):
            self._has_sent_command = True
            self._idle_since = self._last_activity_at
            self._arrived_at = self._input.get_arrival()
            if event:
                self._on_command(event)  # type: ignore[arg-type]  # checked above
        elif isinstance(event, resp.LongValueBegin):
            self._on_long_command(event)
        else:
            self._on_malformed_input("a command is an array of bulk strings")

    def _on_long_command(self, begin: resp.LongValueBegin) -> None:
        # Submits a command with a long body once its head is complete. It is answered once the body is complete.
        self._has_sent_command = True
        arguments = begin.leading_items
        self.set_max_read_bytes(BODY_READ_BYTES)
        body = self._body.build_body_stream(begin.length, self._on_body_pause_changed, self._owner.body_memory)
        if all(type(item) is bytes for item in arguments) and len(arguments) == BODY_INDEX and not begin.trailing_count:
            self._submit_request([*arguments, b""], body)  # type: ignore[list-item]  # checked above
        else:
            self._reply(resp.error_reply("ERR a value is too long for this command"), can_merge=False)
        self._body.begin(self._slots[-1], body)

    def _on_long_value_event(self, event: resp.LongValueChunk | resp.LongValueEnd | resp.LongValueArrayEnd) -> None:
        if isinstance(event, resp.LongValueChunk):
            self._body.push(event.data)
        elif isinstance(event, resp.LongValueEnd) and self._body.slot is not None:
            slot = self._body.slot
            body = self._body.detach()
            self.set_max_read_bytes(COMMAND_READ_BYTES)
            if slot.request is not None and slot.response is None:
                last_byte_at = self._body.find_earliest_end(self._input.get_arrival())
                body.deadline = min(last_byte_at + slot.request.remaining, self._owner.exit_deadline)
                slot.deadline = max(body.deadline, clock.now())
                self._owner.dispatcher.on_body_received(slot.request.id, body.deadline)
            self._idle_since = self._last_activity_at
            body.finish()

    def fail_requests_before_due_ones(self, now: float) -> None:
        """Fail open requests that may wait longer and keep back the response to one behind them, which is due now."""
        slots = list(self._slots)
        due_indexes = [index for index, slot in enumerate(slots) if slot.deadline <= now]
        for slot in slots[: max(due_indexes, default=0)]:
            if slot.request is not None and slot.response is None and slot.deadline > now:
                self._owner.dispatcher.expire(slot.request.id)

    def _record_unread_body(self, now: float) -> None:
        # Finds out whether the last byte of the incomplete body may have arrived, though it is not read yet.
        unread_bytes = self.count_received_bytes()
        if not unread_bytes:
            self._body.record_all_read(now)
            return
        self._body.record_unread(now)
        if self._input.is_body_end_here(unread_bytes):
            self._body.record_last_byte(self._owner.deadlines.earliest_arrival(now))

    def _on_body_pause_changed(self) -> None:
        self._last_activity_at = clock.now()
        self._update_reading()

    def _on_malformed_input(self, fault: str) -> None:
        # The start of the next command is unknown, so that the connection ends after one error line.
        log.emit_rate_limited(LogKind.CLIENT_COMMAND_MALFORMED, f"a client's connection was closed: {fault}")
        self._body.fail()
        self._input.clear()
        self._reply(resp.error_reply(f"ERR Protocol error: {fault}"))
        self.finish()

    def get_pending_bytes(self) -> int:
        """Return the number of bytes of responses that wait for earlier responses or for the client to read."""
        return self._pending_bytes

    def compute_idle_seconds(self, now: float) -> float:
        """Return the seconds for which no command has been open, or 0 while a command is open."""
        return 0.0 if self._slots else now - self._idle_since

    def is_awaiting_first_command(self, now: float) -> bool:
        """Return whether the client connected less than `DRAIN_GRACE` ago and has sent no command yet."""
        return not self._has_sent_command and now - self._idle_since < timeouts.DRAIN_GRACE

    def get_input_backlog(self) -> tuple[bool, int]:
        """Return whether no command is open, and the number of buffered bytes of an incomplete command."""
        return not self._slots, self._incomplete_bytes

    def compute_eviction_score(self, now: float) -> float:
        """Return the score by which connections are evicted; see `eviction.compute_eviction_score`."""
        if self._is_write_closed and self.has_undelivered_bytes():
            return NEVER_EVICTED
        return compute_eviction_score(
            self.compute_idle_seconds(now),
            is_write_closed=self._is_write_closed,
            has_open_command=bool(self._slots),
            has_sent_command=self._has_sent_command,
            has_sent_request=self._has_sent_request,
        )

    def enforce_timeouts(self, now: float, idle_timeout: float) -> None:
        """Disconnect a client that sends nothing, never completes a command, or does not read its responses."""
        self._wake()
        self._check_body(now)
        idle = self.compute_idle_seconds(now)
        if self._owner.is_draining and idle > timeouts.DRAIN_GRACE:
            idle_timeout = 0.0  # a client that sent nothing for the grace period is disconnected; PING keeps it
        if not self._pace.is_reading and self.has_peer_closed():
            self.transport.abortConnection()
        elif self._is_write_closed or not self.flushed:
            self._close_after_delivery(now)
        elif self._body.slot is not None:
            if not self._body.is_blocked and now - self._last_activity_at > timeouts.COMMAND_TIMEOUT:
                self._on_malformed_input("a value was begun and not ended")
        elif self._is_closing or self._input.is_waiting or not self._pace.is_reading:
            return
        elif self._input.is_incomplete():
            is_head = (
                self._input.get_incomplete_item() != BODY_INDEX
            )  # a body may arrive slowly, but without long pauses
            if now - (self._command_started_at if is_head else self._last_activity_at) > timeouts.COMMAND_TIMEOUT:
                self._on_malformed_input("a command was begun and not ended")
        elif idle > (
            idle_timeout if self._has_sent_request else min(idle_timeout, timeouts.COMMAND_TIMEOUT)
        ) and not has_unread_bytes(self.transport):
            self.finish()

    def _wake(self) -> None:
        # Continues what waits, because another connection may have released the memory that it waits for.
        if self._slots and self._slots[0].is_awaiting_memory():
            self._flush()
        if not self._pace.is_reading or self._input.is_waiting:
            self._update_reading()
        if self._owner.is_exiting:
            self.finish_if_idle()

    def _check_body(self, now: float) -> None:
        # Ends the attempt of a request whose time is over, or may be over because its client is not read from.
        slot = self._body.slot
        if slot is not None:
            self._body.resume()
            if self._body.expire(now) and slot.request is not None:
                self._owner.dispatcher.on_body_received(slot.request.id, now)

    def evict(self) -> None:
        """Close the connection now, because its slot is given to another client."""
        self.is_evicted = True
        self._is_closing = True  # commands that wait are not executed in the turn before the end of the connection
        self.transport.abortConnection()

    def _on_command(self, arguments: list[bytes]) -> None:
        name = arguments[0].upper()
        if name in (QUERY, SUBMIT):
            self._submit_request(arguments)
        else:
            self._reply(answer_connection_command(name, arguments, self._owner))
            if name == QUIT:
                self.finish()

    def _reject_command(self, reason: str, *, can_merge: bool) -> None:
        log.emit_rate_limited(LogKind.CLIENT_COMMAND_INVALID, f"command answered with an error: {reason}")
        self._reply(resp.error_reply(f"ERR {reason}"), can_merge=can_merge)

    def _reject_request(self, *, can_merge: bool) -> None:
        if self._pace.is_overrun:
            log.emit_rate_limited(
                LogKind.BACKLOG,
                f"a request was rejected: more than {MAX_READ_AHEAD_BYTES} bytes wait on its connection",
            )
        rejection = encode_response(Response(ResponseKind.REJECTED, retry_after=CAPACITY_RETRY_AFTER))
        self._reply(rejection, can_merge=can_merge)

    def _submit_request(self, arguments: list[bytes], body: ValueStream | None = None) -> None:
        if self._is_rejecting():
            self._reject_request(can_merge=body is None)
            return
        dispatcher = self._owner.dispatcher
        try:
            call, request = read_request(self._owner.reader, dispatcher, arguments)
        except CallError as error:
            self._reject_command(str(error), can_merge=body is None)
            return
        slot = PipelineSlot(None, request, body)
        self._has_sent_request = True
        self._slots.append(slot)
        exit_deadline = self._owner.exit_deadline
        deadline = min(self._arrived_at + request.remaining, exit_deadline) if body is None else inf
        now = clock.now()
        # A command that waited for earlier ones may be past its deadline; the response to it is not late for that.
        slot.deadline = max(deadline, now)
        incoming = build_incoming_request(
            call if body is None else call._replace(body_stream=body),
            request,
            arrived_at=self._arrived_at,
            now=now,
            deadline=deadline,
            exit_deadline=exit_deadline,
            is_connected=self.is_connected,
        )
        slot.response_deferred = dispatcher.submit(incoming)
        slot.response_deferred.addCallbacks(self._on_response, lambda _: None, callbackArgs=(slot,))

    def _on_response(self, response: Response, slot: PipelineSlot, /) -> None:
        seconds_late = clock.now() - slot.deadline
        if seconds_late > LATE_RESPONSE_SECONDS:
            log.emit_rate_limited(
                LogKind.LATE,
                f"request {slot.get_request_id()} was answered ({response.kind.value}) {seconds_late:.3f} s after its "
                "deadline",
                request=slot.get_request_id(),
                seconds=round(seconds_late, 3),
            )
        self._store_response(slot, response)
        if slot.request_body is not None and response.stream is None:
            slot.request_body.cancel()
            slot.request_body = None
        if self._slots and self._slots[0] is slot:
            self._flush()
        if self._memory.is_exceeded():
            self._owner.on_response_memory_exceeded()

    def is_connected(self) -> bool:
        """Return whether the client can get a response; its close is detected even if it has not been read."""
        return not self._is_cancelled and not self.has_peer_closed()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  # Twisted passes it
        """Cancel all open requests, because no response can reach the client any more."""
        self._is_closing = True
        self._is_lost = True
        self._body.fail()
        self._input.clear()
        self._owner.on_input_buffered(-self._incomplete_bytes)
        self._incomplete_bytes = 0
        self._cancel_slots()
        self._owner.on_client_lost(self)
