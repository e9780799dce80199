"""Long responses on a connection that carries more commands.

The tests guard against a backend's failure in the middle of a long response that also takes the responses of other
commands with it.
"""

from __future__ import annotations

from typing import Any

import pytest

from tests.limiter import request
from tests.network_support import InMemoryNetwork, make_limiter_with_client, make_served_reply, network
from thymeflow.frontend.response_buffering import MAX_BUFFERING_FRACTION, MAX_BUFFERING_SECONDS
from thymeflow.frontend.timeouts import RESET_GRACE
from thymeflow.transport import resp

__all__ = ["network"]

VALUE = b"v" * (2 * resp.MAX_VALUE)
LONG_REPLY = make_served_reply(VALUE)
RECEIVED_BYTES = 1000  # bytes of the long reply that the limiter reads at first
SERVED = make_served_reply(b"value")
SERVED_RESPONSE = resp.bulk(b"value")
FAILED_RESPONSE = b"-ERR failed\r\n"


def forward_three_requests(network: InMemoryNetwork, client: Any) -> list[Any]:
    """Let the client send three commands at once, and return the backend connections that they are forwarded on."""
    client.dataReceived(request(1) + request(2) + request(3))
    return [network.complete_dial(number) for number in range(-3, 0)]


def test_other_commands_are_answered_when_a_backend_is_lost_before_the_turn_of_its_long_response(
    network: InMemoryNetwork,
) -> None:
    # Guards against a long response that is begun after its backend has died, and closes the connection.
    _, client = make_limiter_with_client(network)
    first, second, third = forward_three_requests(network, client)
    second.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    second.transport.handle.is_peer_closed = True
    first.dataReceived(SERVED)
    third.dataReceived(SERVED)
    assert client.transport.value() == SERVED_RESPONSE + FAILED_RESPONSE + SERVED_RESPONSE
    assert not client.transport.handle.is_half_closed


def test_long_response_is_complete_when_its_backend_closed_after_its_last_byte(network: InMemoryNetwork) -> None:
    # Guards against failing a response of which all bytes have arrived at this machine.
    _, client = make_limiter_with_client(network)
    first, second, third = forward_three_requests(network, client)
    second.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    second.transport.handle.is_peer_closed = True
    second.transport.handle.unread = LONG_REPLY[RECEIVED_BYTES:]
    first.dataReceived(SERVED)
    second.dataReceived(LONG_REPLY[RECEIVED_BYTES:])
    third.dataReceived(SERVED)
    assert client.transport.value() == SERVED_RESPONSE + resp.bulk(VALUE) + SERVED_RESPONSE


def test_request_is_rejected_when_its_backend_was_lost_before_the_long_response_was_read(
    network: InMemoryNetwork,
) -> None:
    # Guards against beginning a long response that is already known to be incomplete.
    _, client = make_limiter_with_client(network)
    client.dataReceived(request(1))
    backend = network.complete_dial(-1)
    backend.transport.handle.is_peer_closed = True
    backend.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    assert client.transport.value().startswith(b"-BUSY ")  # the class is idempotent, and there is no other backend
    assert not client.transport.handle.is_half_closed


def test_long_response_begins_only_when_it_is_complete_and_commands_are_behind_it(network: InMemoryNetwork) -> None:
    # Guards against a backend that dies in the middle of a long response and takes the responses behind it along.
    limiter, client = make_limiter_with_client(network)
    first, second, third = forward_three_requests(network, client)
    first.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    second.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    third.dataReceived(SERVED)
    assert client.transport.value() == b""
    first.dataReceived(LONG_REPLY[RECEIVED_BYTES:])
    assert client.transport.value() == resp.bulk(VALUE)
    second.connectionLost()
    assert client.transport.value() == resp.bulk(VALUE) + FAILED_RESPONSE + SERVED_RESPONSE
    assert limiter.frontend.response_memory.used_bytes == 0
    assert limiter.frontend.response_memory.reserved_bytes == 0


def test_long_response_begins_incomplete_when_the_time_for_buffering_it_is_over(network: InMemoryNetwork) -> None:
    # Guards against a response that is late because its backend writes it slowly.
    limiter, client = make_limiter_with_client(network)
    first, second, third = forward_three_requests(network, client)
    first.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    network.reactor.pump([0.1] * int(MAX_BUFFERING_SECONDS / 0.1 - 1))
    assert client.transport.value() == b""
    network.reactor.pump([0.1] * 3)
    assert client.transport.value().startswith(resp.bulk_head(len(VALUE)) + b"v")
    first.dataReceived(LONG_REPLY[RECEIVED_BYTES:])
    second.dataReceived(SERVED)
    third.dataReceived(SERVED)
    assert client.transport.value() == resp.bulk(VALUE) + SERVED_RESPONSE + SERVED_RESPONSE
    assert limiter.frontend.response_memory.used_bytes == 0
    assert limiter.frontend.response_memory.reserved_bytes == 0


def test_long_response_is_buffering_for_a_fraction_of_the_time_that_its_client_waits(network: InMemoryNetwork) -> None:
    # Guards against a response that is buffered for longer than its client waits.
    _, client = make_limiter_with_client(network)
    client.dataReceived(request(1, wait=2000) + request(2))
    network.complete_dial(-2).dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    assert client.transport.value() == b""
    network.reactor.pump([0.1] * int(2.0 * MAX_BUFFERING_FRACTION / 0.1 + 2))
    assert client.transport.value().startswith(resp.bulk_head(len(VALUE)) + b"v")


def test_long_response_is_streamed_at_once_when_no_memory_is_left_to_buffer_it(network: InMemoryNetwork) -> None:
    # Guards against a limiter that exceeds its memory by buffering long responses.
    limiter, client = make_limiter_with_client(network)
    limiter.frontend.response_memory.set_max_bytes(2 * len(VALUE) - 1)
    first, _, _ = forward_three_requests(network, client)
    first.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    assert client.transport.value().startswith(resp.bulk_head(len(VALUE)) + b"v")


def test_reserved_memory_is_released_when_the_client_leaves(network: InMemoryNetwork) -> None:
    # Guards against reservations that add up until no long response is buffered any more.
    limiter, client = make_limiter_with_client(network)
    first, _, _ = forward_three_requests(network, client)
    first.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    assert limiter.frontend.response_memory.reserved_bytes == len(VALUE)
    client.connectionLost()
    assert limiter.frontend.response_memory.reserved_bytes == 0


def test_long_response_goes_on_when_its_backend_hung_in_the_middle_of_it(network: InMemoryNetwork) -> None:
    # Guards against cutting off what a backend still gives.
    _, client = make_limiter_with_client(network)
    client.dataReceived(request(1))
    backend = network.complete_dial(-1)
    backend.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    network.reactor.pump([0.5] * 30)
    backend.dataReceived(LONG_REPLY[RECEIVED_BYTES:])
    assert client.transport.value() == resp.bulk(VALUE)


def break_off_after(network: InMemoryNetwork, seconds: float, backend: Any) -> None:
    """Let a backend send a part of a long response now, and let it reset its connection later."""
    backend.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    network.reactor.pump([0.05] * int(seconds / 0.05))
    backend.connectionLost()


@pytest.mark.parametrize(("wait_ms", "seconds"), [(500, 0.45), (2000, 0.8), (2000, 1.8), (7500, 1.85)])
def test_next_command_is_answered_when_a_long_response_breaks_off_within_the_allowed_time(
    network: InMemoryNetwork, wait_ms: int, seconds: float
) -> None:
    # Guards against a long response that begins early, breaks off, and takes the response behind it along.
    limiter, client = make_limiter_with_client(network)
    client.dataReceived(request(1, wait=wait_ms) + request(2, wait=wait_ms))
    first, second = [network.complete_dial(number) for number in (-2, -1)]
    second.dataReceived(SERVED)
    break_off_after(network, seconds, first)
    assert client.transport.value() == FAILED_RESPONSE + SERVED_RESPONSE
    assert limiter.frontend.response_memory.reserved_bytes == 0


def test_wait_for_an_earlier_response_does_not_shorten_the_time_for_buffering(network: InMemoryNetwork) -> None:
    # Guards against a long response that begins early because an earlier response took most of its client's time.
    _, client = make_limiter_with_client(network)
    client.dataReceived(request(1) + request(2, wait=2000) + request(3))
    first, second, third = [network.complete_dial(number) for number in range(-3, 0)]
    third.dataReceived(SERVED)
    second.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    network.reactor.pump([0.1] * 19)
    first.dataReceived(SERVED)
    network.reactor.pump([0.1] * 16)
    second.connectionLost()
    assert client.transport.value() == SERVED_RESPONSE + FAILED_RESPONSE + SERVED_RESPONSE


def test_next_command_is_answered_when_it_was_unread_as_the_long_response_arrived(network: InMemoryNetwork) -> None:
    # Guards against a long response that begins at once because the command behind it is not executed yet.
    _, client = make_limiter_with_client(network)
    client.dataReceived(request(1) + request(2)[:20])
    break_off_after(network, 0.8, network.complete_dial(-1))
    assert client.transport.value() == FAILED_RESPONSE
    client.dataReceived(request(2)[20:])
    network.complete_dial(-1).dataReceived(SERVED)
    assert client.transport.value() == FAILED_RESPONSE + SERVED_RESPONSE


def test_next_command_is_answered_when_memory_to_buffer_the_long_response_was_short_at_first(
    network: InMemoryNetwork,
) -> None:
    # Guards against a long response that begins at once because others hold the memory that it needs for a moment.
    limiter, other_client = make_limiter_with_client(network)
    limiter.frontend.response_memory.set_max_bytes(3 * len(VALUE))  # half of it holds one value
    _, other, _ = forward_three_requests(network, other_client)
    other.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    client = network.connect_protocol(limiter.frontend.buildProtocol(None))
    client.dataReceived(request(4) + request(5))
    fourth, fifth = [network.complete_dial(number) for number in (-2, -1)]
    fourth.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    fifth.dataReceived(SERVED)
    network.reactor.pump([0.1] * 5)
    assert client.transport.value() == b""
    other_client.connectionLost()
    network.reactor.pump([0.1] * 2)
    assert limiter.frontend.response_memory.reserved_bytes == len(VALUE)
    fourth.dataReceived(LONG_REPLY[RECEIVED_BYTES:])
    assert client.transport.value() == resp.bulk(VALUE) + SERVED_RESPONSE


def test_next_command_is_answered_when_the_response_before_it_breaks_off_while_memory_is_short(
    network: InMemoryNetwork,
) -> None:
    # Guards against a break that is not noticed because the backend is not read from for want of memory.
    limiter, other_client = make_limiter_with_client(network)
    limiter.frontend.response_memory.set_max_bytes(3 * len(VALUE))
    _, other, _ = forward_three_requests(network, other_client)
    other.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    client = network.connect_protocol(limiter.frontend.buildProtocol(None))
    client.dataReceived(request(4) + request(5))
    fourth, fifth = [network.complete_dial(number) for number in (-2, -1)]
    fourth.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    fifth.dataReceived(SERVED)
    fourth.transport.handle.is_peer_closed = True
    network.reactor.pump([0.1] * 2)
    assert client.transport.value() == FAILED_RESPONSE + SERVED_RESPONSE


def begin_long_response(network: InMemoryNetwork) -> tuple[Any, Any]:
    """Return a client's connection on which a long response has begun, and the connection of its backend."""
    _, client = make_limiter_with_client(network)
    client.dataReceived(request(1))
    backend = network.complete_dial(-1)
    backend.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    assert client.transport.value().startswith(resp.bulk_head(len(VALUE)) + b"v")
    return client, backend


def test_commands_stay_unread_until_a_long_response_that_has_begun_is_complete(network: InMemoryNetwork) -> None:
    # Guards against reading a command whose response would be lost if the response before it broke off.
    client, backend = begin_long_response(network)
    assert client.transport.producerState == "paused"
    client.transport.handle.unread = request(2)
    network.reactor.pump([0.1] * 30)
    assert client.transport.handle.unread == request(2)
    backend.dataReceived(LONG_REPLY[RECEIVED_BYTES:])
    assert client.transport.producerState == "producing"
    client.dataReceived(request(2))
    backend.dataReceived(SERVED)  # its connection was idle
    assert client.transport.value() == resp.bulk(VALUE) + SERVED_RESPONSE


def test_connection_is_reset_when_a_long_response_breaks_off_before_unread_commands(network: InMemoryNetwork) -> None:
    # Guards against an orderly close, after which the client can't tell that its next command was not read.
    client, backend = begin_long_response(network)
    client.transport.handle.unread = request(2)
    client.transport.handle.unacknowledged_bytes = 10
    backend.connectionLost()
    network.reactor.pump([0.1] * 5)
    assert not client.aborted  # bytes of responses are still on their way
    client.transport.handle.unacknowledged_bytes = 0
    network.reactor.pump([0.1] * 2)
    assert not client.aborted  # the client's network library may discard what the client has not processed
    network.reactor.pump([0.1] * int(RESET_GRACE / 0.1 + 2))
    assert client.aborted
    assert not client.transport.handle.is_half_closed
    assert client.transport.handle.unread == request(2)


def test_half_read_command_is_completed_when_reading_was_paused_for_a_long_time(network: InMemoryNetwork) -> None:
    # Guards against a time-out for a command that could not arrive because its client was not read from.
    _, client = make_limiter_with_client(network)
    client.dataReceived(request(1) + request(2)[:20])
    backend = network.complete_dial(-1)
    backend.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    network.reactor.pump([0.1] * 60)  # the response has begun meanwhile
    assert client.transport.producerState == "paused"
    backend.dataReceived(LONG_REPLY[RECEIVED_BYTES:])
    network.reactor.pump([0.1] * 2)
    client.dataReceived(request(2)[20:])
    backend.dataReceived(SERVED)
    assert client.transport.value() == resp.bulk(VALUE) + SERVED_RESPONSE


def test_commands_stay_unread_while_a_long_response_is_held_back(network: InMemoryNetwork) -> None:
    # Guards against reading commands that are lost if the response before them begins incomplete and breaks off.
    _, client = make_limiter_with_client(network)
    client.dataReceived(request(1, wait=2000) + request(2, wait=2000))
    first, second = [network.complete_dial(number) for number in (-2, -1)]
    second.dataReceived(SERVED)
    first.dataReceived(LONG_REPLY[:RECEIVED_BYTES])
    assert client.transport.producerState == "paused"
    first.connectionLost()
    assert client.transport.producerState == "producing"
    client.dataReceived(request(3))
    second.dataReceived(SERVED)
    assert client.transport.value() == FAILED_RESPONSE + SERVED_RESPONSE + SERVED_RESPONSE
