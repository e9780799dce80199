"""The watch on discovery: an HTTP/1.1 response that does not end, with a JSON object for each change.

The known endpoint list stays in force while discovery sends nothing. A broken watch is opened again from the last
version, so that no change is missed or requested twice. The idle timeout is counted from the last byte that discovery
has sent; opening another stream does not extend it.

Where lists are pushed, discovery is an agent on this machine. Its changes count as notified even while no watch is
connected, so the limiter connects again at once. Where lists are polled, discovery is one service for the whole set,
and a fault that breaks one watch breaks most of them. Each limiter then connects again after a random backoff, which
is short enough to receive each change before it counts as notified.
"""

from __future__ import annotations

from typing import Protocol

from twisted.python.failure import Failure

from thymeflow.discovery.backoff import Backoff
from thymeflow.discovery.complete_list import fetch_complete_list
from thymeflow.discovery.endpoint_stream import EndpointStream, parse_message
from thymeflow.discovery.timeouts import (
    CONNECT_TIMEOUT,
    POLLED_FIRST_MESSAGE_TIMEOUT,
    PUSHED_FIRST_MESSAGE_TIMEOUT,
)
from thymeflow.discovery.timeouts import FIRST_LIST_TIMEOUT as FIRST_LIST_TIMEOUT
from thymeflow.discovery.timeouts import POLLED_IDLE_TIMEOUT as POLLED_IDLE_TIMEOUT
from thymeflow.discovery.timeouts import PUSHED_IDLE_TIMEOUT as PUSHED_IDLE_TIMEOUT
from thymeflow.platform.endpoints import Address, EndpointUpdate
from thymeflow.runtime import clock, log
from thymeflow.runtime.clock import STALL_THRESHOLD
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.transport.connections import dial, has_unread_bytes

# Limit of open and opening streams. When one of them receives a message, the other ones are closed.
MAX_STREAMS = 3
MAX_READS = 64  # Limit of consecutive reads of a socket, so that a fast sender does not block the reactor.


class EndpointObserver(Protocol):
    """The interface by which the watch passes on changes of the endpoint list."""

    def on_endpoints_changed(self, update: EndpointUpdate) -> None:
        """Apply a change of the endpoint list."""

    def on_endpoints_ready(self) -> None:
        """Start to use the list; called once, after the first message or at the deadline for it."""


class EndpointWatcher:
    """Watches discovery, and passes each change of the endpoint list to the observer."""

    def __init__(
        self,
        reactor: object,
        deadlines: clock.Deadlines,
        address: Address,
        version: int,
        observer: EndpointObserver,
        limiters: int,
        seed: int,
        pushed: bool = True,
    ) -> None:
        self._reactor = reactor
        self._deadlines = deadlines
        self._address = address
        self._backoff = Backoff(limiters, seed, pushed)
        self._is_pushed = pushed
        self._idle_timeout = PUSHED_IDLE_TIMEOUT if pushed else POLLED_IDLE_TIMEOUT
        self._first_message_timeout = PUSHED_FIRST_MESSAGE_TIMEOUT if pushed else POLLED_FIRST_MESSAGE_TIMEOUT
        self._version = version
        self._observer = observer
        self.is_ready = False  # True once the first message was received or its deadline has passed.
        self._current: EndpointStream | None = None  # the stream that received the last message, unless it is idle
        self._open: list[EndpointStream] = []  # all open streams, the oldest first
        self._dialing_count = 0
        self._epoch = 0  # number of address changes; events of streams to an earlier address are ignored
        self._is_retry_scheduled = False
        self._idle_timeout_call = clock.NOT_SCHEDULED  # the deadline of the next message

    def start(self, first_message_deadline: float) -> None:
        """Start the watch; without a message by the deadline (Unix seconds), the known list is used."""
        self._deadlines.schedule(first_message_deadline, self._on_first_message_overdue)
        self._open_stream(0)

    def _on_first_message_overdue(self, _: int) -> None:
        now = clock.now()
        if self.is_ready:
            return
        if self._deadlines.is_stalled(now):  # The message may have arrived and wait to be read.
            self._deadlines.schedule(now + STALL_THRESHOLD, self._on_first_message_overdue)
            return
        log.emit(
            LogKind.DISCOVERY,
            f"no message from discovery at {self._address} in time; the known endpoint list is used",
            version=self._version,
        )
        self._set_ready()

    def _set_ready(self) -> None:
        if not self.is_ready:
            self.is_ready = True
            self._observer.on_endpoints_ready()

    def read_pending(self) -> None:
        """Read the bytes that wait at the sockets, as after a stall.

        They count as notified, so they must be applied before the next request is sent.
        """
        for stream in list(self._open):
            for _ in range(MAX_READS):
                if not has_unread_bytes(stream.transport) or stream.transport.doRead() is not None:
                    break  # All bytes are read, or the connection has ended, which the reactor also detects.

    def set_limiter_count(self, limiters: int) -> None:
        """Compute the bounds of the backoff for another number of limiters in the set."""
        self._backoff.resize(limiters)

    def set_address(self, address: Address) -> None:
        """Watch discovery at another address from now on, and keep the list and its version."""
        old_streams = self._open
        self._open = []
        self._current = None
        self._address = address
        self._epoch += 1
        self._dialing_count = 0
        self._backoff.reset()
        for stream in old_streams:
            stream.end("the address of discovery has changed")
        self._open_stream(self._epoch)

    def _set_idle_deadline(self, deadline: float) -> None:
        self._deadlines.cancel(self._idle_timeout_call)
        self._idle_timeout_call = self._deadlines.schedule(deadline, self._on_idle, self._epoch)

    def _open_stream(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._is_retry_scheduled = False
        while self._open and len(self._open) + self._dialing_count >= MAX_STREAMS:
            self._open.pop(0).end("it received no message, and a newer stream replaces it")
        self._set_idle_deadline(clock.now() + self._first_message_timeout)
        if self._dialing_count >= MAX_STREAMS:
            return
        self._dialing_count += 1
        path = f"/api/targets?stream=1&index={self._version}"

        def on_ended(stream: EndpointStream, reason: str) -> None:
            """Report the end together with the epoch in which the stream was opened."""
            self._on_ended(epoch, stream, reason)

        connected = dial(
            self._reactor,
            self._deadlines,
            self._address,
            clock.now() + CONNECT_TIMEOUT,
            lambda: EndpointStream(path, self._address, self._on_message, on_ended),
        )
        connected.addCallbacks(self._on_connected, self._on_connect_failed, callbackArgs=(epoch,), errbackArgs=(epoch,))

    def _on_connected(self, stream: EndpointStream, epoch: int) -> None:
        if epoch != self._epoch:  # The address changed during the connect.
            stream.end("the address of discovery has changed")
            return
        self._dialing_count -= 1
        self._open.append(stream)
        if self._current is not None:  # Another stream received a message during the connect.
            stream.end("another stream received a message")

    def _on_connect_failed(self, failure: Failure, epoch: int) -> None:
        if epoch == self._epoch:
            self._dialing_count -= 1
            self._on_broken(failure.getErrorMessage())

    def _on_ended(self, epoch: int, stream: EndpointStream, reason: str) -> None:
        if epoch != self._epoch or stream not in self._open:
            return
        self._open.remove(stream)
        if self._current in (None, stream):
            self._current = None
            self._on_broken(reason)

    def _on_broken(self, reason: str) -> None:
        log.emit_rate_limited(
            LogKind.DISCOVERY,
            f"watch on discovery at {self._address} failed, the known endpoint list stays in force: {reason}",
            address=self._address,
            version=self._version,
        )
        if self._current is None:
            self._schedule_retry(self._backoff.next_wait())

    def _schedule_retry(self, wait: float) -> None:
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            self._deadlines.schedule(clock.now() + wait, self._open_stream, self._epoch)

    def _on_idle(self, epoch: int) -> None:
        # No byte was received within the timeout, so another stream is opened in addition to the open ones.
        if epoch != self._epoch:
            return
        now = clock.now()
        current = self._current
        if current is not None and current.last_received_at + self._idle_timeout > now:
            self._set_idle_deadline(current.last_received_at + self._idle_timeout)
            return
        if current is None and self._is_first_message_arriving(now):
            self._set_idle_deadline(now + self._first_message_timeout)
            return
        if current is not None:
            log.emit_rate_limited(
                LogKind.DISCOVERY,
                f"watch on discovery at {self._address} received nothing for {self._idle_timeout:g} s; "
                "another one will be opened",
                address=self._address,
                version=self._version,
            )
            self._current = None
            self._schedule_retry(self._backoff.next_wait_after_idle())
        self._set_idle_deadline(now + self._first_message_timeout)
        if current is None:
            self._schedule_retry(0.0 if self._is_pushed else self._backoff.next_wait())

    def _is_first_message_arriving(self, now: float) -> bool:
        # A long list arrives in several pieces.
        return any(stream.last_received_at + self._first_message_timeout > now for stream in self._open)

    def _on_message(self, stream: EndpointStream, message: bytes) -> None:
        self._backoff.reset()
        if self._current is not stream:
            self._keep_only(stream)
        update = parse_message(message)
        if message and update is None:
            # The known list stays in force. The next stream starts from its version, so that discovery repeats the
            # changes of this message.
            stream.end("a message is malformed")
            return
        if update is not None:
            self._apply(update)
        self._set_ready()

    def _keep_only(self, stream: EndpointStream) -> None:
        streams = self._open
        self._current = stream
        self._open = [stream]
        for other in streams:
            if other is not stream:
                other.end("another stream received a message")
        self._set_idle_deadline(stream.last_received_at + self._idle_timeout)

    def _apply(self, update: EndpointUpdate) -> None:
        version = update.change.version
        if version < self._version:
            # The update is late or from a replica that lags; newer changes have been applied.
            log.emit_rate_limited(
                LogKind.DISCOVERY,
                f"ignored endpoint list version {version}: version {self._version} is in use",
                version=self._version,
            )
            return
        self._version = version
        self._observer.on_endpoints_changed(update)

    def fetch_complete_list(self) -> None:
        """Request the complete list once, in addition to the watch; a failure changes neither list nor watch."""
        fetch_complete_list(self._reactor, self._deadlines, self._address, self._apply)
