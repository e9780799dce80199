"""The RESP2 parser, with messages split at random positions and with arbitrary bytes.

The tests guard against a parser whose result depends on how the bytes arrive, and against bytes of a hostile peer that
raise an unexpected exception.
"""

from __future__ import annotations

import contextlib

from hypothesis import given
from hypothesis import strategies as st

from tests.limiter import command
from thymeflow.discovery.http import HttpError, ResponseParser
from thymeflow.transport import resp


@given(st.lists(st.binary(max_size=40), min_size=1, max_size=5), st.data())
def test_messages_are_the_same_when_the_bytes_are_split_anywhere(chunks: list[bytes], data: st.DataObject) -> None:
    text = command(*chunks) + resp.bulk(b"x") + b"-ERR e\r\n:-5\r\n$-1\r\n"
    parser = resp.Parser()
    found = list[resp.Event]()
    position = 0
    while position < len(text):
        step = data.draw(st.integers(1, 30))
        found += parser.feed(text[position : position + step])[0]
        position += step
    assert found == [chunks, b"x", resp.ErrorReply(b"ERR e"), -5, None]


@given(st.binary(max_size=200))
def test_result_is_messages_or_a_parser_error_when_the_bytes_are_arbitrary(text: bytes) -> None:
    for start in (b"", b"*2\r\n$1\r\nx\r\n", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"):
        assert isinstance(resp.Parser().feed(start + text)[1], str)
        with contextlib.suppress(HttpError):
            ResponseParser().feed(start + text)


@given(
    st.lists(st.binary(max_size=20), min_size=0, max_size=3),
    st.integers(1, 40),
    st.lists(st.binary(max_size=20), min_size=0, max_size=2),
    st.data(),
)
def test_long_value_events_are_the_same_when_the_bytes_are_split_anywhere(
    before: list[bytes], excess: int, after: list[bytes], data: st.DataObject
) -> None:
    value = b"\r\n$" * ((resp.MAX_VALUE + excess) // 3 + 1)
    text = b"*%d\r\n" % (len(before) + 1 + len(after)) + b"".join(map(resp.bulk, [*before, value, *after]))
    text += command(b"PING")
    parser = resp.Parser(resp.MAX_LONG_VALUE)
    found = list[resp.Event]()
    position = 0
    while position < len(text):
        is_near_an_end = position < 40 or position > len(text) - 99
        step = data.draw(st.integers(1, 30) if is_near_an_end else st.integers(2**14, 2**16))
        events, fault = parser.feed(text[position : position + step])
        assert not fault
        assert parser.buffered_bytes() < 200
        found = found + events
        position = position + step
    chunks = [event.data for event in found if isinstance(event, resp.LongValueChunk)]
    assert b"".join(chunks) == value
    assert [event for event in found if not isinstance(event, resp.LongValueChunk)] == [
        resp.LongValueBegin(list(before), len(value), len(after)),
        resp.LongValueEnd(),
        resp.LongValueArrayEnd(list(after)),
        [b"PING"],
    ]
    assert not parser.is_incomplete()
