"""The watch on discovery: messages in every form and cut, back-off that ends in time, one clock of silence."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.test_net_parts import World, world
from thymeflow.decision.types import BackendState
from thymeflow.discovery.backoff import INITIAL_BACKOFF, MAX_BACKOFF, BackOff
from thymeflow.discovery.http import Body, HttpError, JsonObjectSplitter
from thymeflow.discovery.timeouts import (
    CONNECT_TIMEOUT,
    FIRST,
    HEARTBEATS,
    POLLED_FIRST_MESSAGE_TIMEOUT,
    PUSHED_FIRST_MESSAGE_TIMEOUT,
    SILENCE,
)
from thymeflow.discovery.watch import Discovery
from thymeflow.platform.configuration import Address, EndpointUpdate, listed
from thymeflow.runtime import clock, log

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EMPTY = b"1\r\n\n\r\n"
__all__ = ["world"]

text = st.text(st.sampled_from('ab{}[]"\\ \n\u00e9'), max_size=8)
values = st.recursive(
    st.none() | st.integers(-9, 9) | text,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(text, inner, max_size=3),
    max_leaves=6,
)


def entry(number: int = 1, lifecycle: str = "active") -> dict[str, Any]:
    return {"instanceId": f"s-{number:08x}", "hostPort": f"127.0.0.1:{7000 + number}", "lifecycle": lifecycle}


def message(generation: int, *entries: dict[str, Any], whole: bool = False, indent: int | None = None) -> bytes:
    return json.dumps({"generation": generation, "reset": whole, "instances": entries}, indent=indent).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


@given(
    st.lists(
        st.tuples(
            st.dictionaries(text, values, max_size=4),
            st.sampled_from([None, 0, 3]),
            st.sampled_from([b"\n", b"\r\n", b"", b"\n\n"]),
        ),
        min_size=1,
        max_size=4,
    ),
    st.data(),
)
def test_messages_are_found_in_every_form_and_cut_as_their_last_brace_comes(
    parts: list[tuple[dict[str, Any], int | None, bytes]], data: st.DataObject
) -> None:
    body = b"".join(json.dumps(value, indent=indent, ensure_ascii=False).encode() + end for value, indent, end in parts)
    found, cutter, place = list[bytes](), JsonObjectSplitter(), 0
    while place < len(body):
        step = data.draw(st.integers(1, 40))
        found += cutter.feed(body[place : place + step])
        place += step
    assert [json.loads(one) for one in found if one] == [value for value, _, _ in parts]


@pytest.mark.parametrize("noise", [b"null\n", b"[]\n", b"}", b"]", b"7", b"x{}", b'"a"'])
def test_what_is_no_object_ends_the_reading(noise: bytes) -> None:
    with pytest.raises(HttpError):
        JsonObjectSplitter().feed(b"{}\n" + noise)


@pytest.mark.parametrize("size", [b"zz", b"-1", b"0x3", b"+3", b"1_0", b"", b"fffffffff", b"3\r\nabcd"])
def test_chunk_sizes_that_lie_are_a_fault(size: bytes) -> None:
    with pytest.raises(HttpError):
        Body().feed(HEAD + size + b"\r\n{}\n\r\n\r\n")


def test_a_chunked_body_gives_its_messages_wherever_chunks_end() -> None:
    coming = b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n"
    coming += b'3\r\n{"a\r\n4;x=y\r\n":1}\r\n2\r\n\n\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n'
    body, found = Body(), list[bytes]()
    for place in range(len(coming)):
        found += body.feed(coming[place : place + 1])
    assert ([one for one in found if one], b"" in found, body.done) == ([b'{"a":1}', b"{}"], True, True)


@given(st.sampled_from([1, 3, 30, 200, 1000]), st.booleans(), st.integers(0, 99))
def test_no_wait_lets_a_change_count_as_told_before_it_is_heard(limiters: int, pushed: bool, seed: int) -> None:
    # Of the 6 s: a dial that hangs, the wait, and the first word of the next; pushed, of a drain's grace.
    back_off = BackOff(limiters, seed, pushed)
    waits = [back_off.next_wait() for _ in range(30)]
    assert (
        max(waits) <= (INITIAL_BACKOFF if pushed else MAX_BACKOFF) and CONNECT_TIMEOUT + MAX_BACKOFF + FIRST <= SILENCE
    )
    back_off.reset()
    assert back_off.next_wait() <= (INITIAL_BACKOFF if pushed else max(INITIAL_BACKOFF, 0.025 * limiters))


def test_forty_that_are_refused_together_spread_their_tries_and_back_off_and_none_waits_past_the_bound() -> None:
    tries: list[tuple[float, int]] = []
    for number in range(40):
        back_off, now = BackOff(40, number, False), 0.0
        while (now := now + back_off.next_wait()) < 60.0:  # all refused for a minute
            tries.append((now, number))
    slots = Counter(int(when / 0.1) for when, _ in tries)
    assert max(slots.values()) <= 12, "the first tries come together"
    assert sum(n for slot, n in slots.items() if slot >= 150) <= 45 * 40 / (0.7 * MAX_BACKOFF), (
        "later ones do not back off"
    )
    for number in range(40):
        mine = [when for when, whose in tries if whose == number]
        assert max(b - a for a, b in pairwise(mine)) <= MAX_BACKOFF


def begun(world: World, told: Callable[[EndpointUpdate], None], pushed: bool = True, limiters: int = 200) -> Discovery:
    made = Discovery(world.reactor, world.deadlines, Address("127.0.0.1", 8), 41, told, limiters, 1, pushed)
    made.start(clock.now() + FIRST)
    return made


def up(world: World, number: int) -> Any:
    """The dial of that number succeeds, and the head of its answer has come; how often it was ended is noted."""
    reading = world.up(number)
    reading.ends = 0

    def abort() -> None:
        reading.ends += 1

    reading.transport.abortConnection = abort
    reading.dataReceived(HEAD)
    return reading


def test_an_indented_list_in_pieces_is_taken_whole_and_a_cut_one_not(world: World) -> None:
    told: list[EndpointUpdate] = []
    begun(world, told.append)
    reading = up(world, 0)
    whole = message(43, entry(1), entry(2, "leaving"), whole=True, indent=2)
    for place in range(0, len(whole), 7):
        reading.dataReceived(chunk(whole[place : place + 7]))
    assert [news.change.version for news in told] == [43] and not reading.ends
    reading.dataReceived(chunk(message(44, entry(1, "leaving"), indent=2)[:-9]))
    reading.connectionLost()
    assert len(told) == 1
    world.reactor.advance(INITIAL_BACKOFF)
    again = up(world, 1)
    assert b"index=43 " in again.transport.value()
    again.dataReceived(chunk(message(44, entry(1, "leaving"))))
    assert told[1].change.backends[0].state is BackendState.DRAINING


def test_a_generation_that_goes_back_changes_nothing_and_the_watch_goes_on(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    told, said = list[EndpointUpdate](), list[str]()
    monkeypatch.setattr(log, "say", lambda kind, text, **fields: said.append(text))
    begun(world, told.append)
    reading = up(world, 0)
    for change in (
        message(43, entry(1, "leaving")),
        message(42, entry(1), whole=True),
        message(41),
        EMPTY,
        message(44, entry(2)),
    ):
        reading.dataReceived(chunk(change) if change is not EMPTY else EMPTY)
    assert [news.change.version for news in told] == [43, 44] and not reading.ends
    assert [text.split(",")[0] for text in said] == ["generation 42 is behind 43", "generation 41 is behind 43"]


def test_a_whole_list_asked_for_that_comes_late_or_spoilt_leaves_list_and_watch(world: World) -> None:
    told: list[EndpointUpdate] = []
    discovery = begun(world, told.append)
    reading = up(world, 0)
    discovery.fetch()
    discovery.fetch()
    late, spoilt = up(world, 1), up(world, 2)
    reading.dataReceived(chunk(message(43, entry(1, "leaving"))))
    late.dataReceived(chunk(message(42, entry(1), whole=True)))
    spoilt.dataReceived(chunk(b'{"generation": 50}'))
    assert [news.change.version for news in told] == [43] and not reading.ends
    while not late.ends:
        reading.dataReceived(EMPTY)
        world.reactor.advance(1.0)
    assert not reading.ends


def test_an_unknown_lifecycle_is_sent_nothing_new_and_spoils_no_other_entry() -> None:
    news = listed(json.loads(message(43, entry(1, "resting"), entry(2, "leaving"), entry(3))))
    assert [b.state for b in news.change.backends] == [BackendState.DRAINING, BackendState.DRAINING, BackendState.READY]


def dialled_after(world: World, known: int, wait: float = 9.0) -> float:
    """Lets time pass until there are more dials than those known; how long that took, `wait` at most."""
    begun_at = clock.now()
    while len(world.reactor.tcpClients) <= known and clock.now() - begun_at < wait:
        world.reactor.advance(0.01)
    return clock.now() - begun_at


@pytest.mark.parametrize("pushed", [True, False])
def test_a_new_watch_that_says_nothing_has_no_clock_of_its_own(world: World, pushed: bool) -> None:
    begun(world, lambda news: None, pushed)
    first = up(world, 0)
    first.dataReceived(EMPTY)
    assert dialled_after(world, 1) < (HEARTBEATS if pushed else SILENCE) + INITIAL_BACKOFF + 0.02
    second = up(world, 1)  # connects, and stays silent as the first does
    assert (
        dialled_after(world, 2)
        <= (PUSHED_FIRST_MESSAGE_TIMEOUT if pushed else POLLED_FIRST_MESSAGE_TIMEOUT + MAX_BACKOFF) + 0.02
    )
    third = up(world, 2)
    second.dataReceived(EMPTY)  # a slow answer is an answer
    assert (first.ends, second.ends, third.ends) == (1, 0, 1)


def test_at_an_agent_that_is_silent_while_discovery_is_down_one_is_there_as_it_returns(world: World) -> None:
    discovery = begun(world, lambda news: None)
    readings = [up(world, 0)]
    for _ in range(800):  # 8 s: never long without a try, never many at once
        world.reactor.advance(0.01)
        while len(readings) < len(world.reactor.tcpClients):
            readings.append(up(world, len(readings)))
    assert discovery.is_ready  # user agents were let in all the same
    assert 8.0 / PUSHED_FIRST_MESSAGE_TIMEOUT - 2 <= len(readings) <= 8.0 / PUSHED_FIRST_MESSAGE_TIMEOUT + 2
    assert sum(not reading.ends for reading in readings) == 3
    readings[-2].dataReceived(EMPTY)
    assert sum(not reading.ends for reading in readings) == 1


def test_a_first_list_that_comes_in_pieces_for_long_is_waited_for(world: World) -> None:
    told: list[EndpointUpdate] = []
    begun(world, told.append)
    reading, whole = up(world, 0), message(43, entry(1), whole=True, indent=1)
    for place in range(0, len(whole), 10):
        world.reactor.advance(0.4)
        reading.dataReceived(chunk(whole[place : place + 10]))
    assert len(told) == len(world.reactor.tcpClients) == 1 and not reading.ends


def test_after_a_move_nothing_that_was_grown_or_dialled_at_the_old_address_counts(world: World) -> None:
    told: list[EndpointUpdate] = []
    discovery = begun(world, told.append, pushed=False)
    old = up(world, 0)
    for _ in range(5):
        discovery.back_off.next_wait()
    discovery.move(Address("127.0.0.1", 9))
    assert old.ends and world.reactor.tcpClients[1][1] == 9  # at once
    assert (
        discovery.back_off.next_wait() <= MAX_BACKOFF
        and discovery.back_off._bound > discovery.back_off._initial_bound - 1e-9
    )
    old.dataReceived(chunk(message(50, entry(1))))
    assert not told
    up(world, 1).dataReceived(chunk(message(51, entry(1))))
    assert [news.change.version for news in told] == [51]
