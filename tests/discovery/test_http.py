"""Parsers of HTTP responses and of the JSON objects in them: any layout, any split into pieces, malformed input."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.discovery.support import HEAD
from thymeflow.discovery.http import HttpError, JsonObjectSplitter, ResponseParser

strings = st.text(st.sampled_from('ab{}[]"\\ \n\u00e9'), max_size=8)
values = st.recursive(
    st.none() | st.integers(-9, 9) | strings,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(strings, inner, max_size=3),
    max_leaves=6,
)


@given(
    st.lists(
        st.tuples(
            st.dictionaries(strings, values, max_size=4),
            st.sampled_from([None, 0, 3]),
            st.sampled_from([b"\n", b"\r\n", b"", b"\n\n"]),
        ),
        min_size=1,
        max_size=4,
    ),
    st.data(),
)
def test_objects_are_found_when_they_arrive_in_any_layout_and_in_pieces(
    objects: list[tuple[dict[str, Any], int | None, bytes]], data: st.DataObject
) -> None:
    body = b"".join(
        json.dumps(value, indent=indent, ensure_ascii=False).encode() + end for value, indent, end in objects
    )
    found = list[bytes]()
    splitter = JsonObjectSplitter()
    position = 0
    while position < len(body):
        step = data.draw(st.integers(1, 40))
        found += splitter.feed(body[position : position + step])
        position += step
    assert [json.loads(item) for item in found if item] == [value for value, _, _ in objects]


@pytest.mark.parametrize("malformed_data", [b"null\n", b"[]\n", b"}", b"]", b"7", b"x{}", b'"a"'])
def test_splitter_raises_when_a_value_is_not_an_object(malformed_data: bytes) -> None:
    with pytest.raises(HttpError):
        JsonObjectSplitter().feed(b"{}\n" + malformed_data)


@pytest.mark.parametrize("size", [b"zz", b"-1", b"0x3", b"+3", b"1_0", b"", b"fffffffff", b"3\r\nabcd"])
def test_body_raises_when_a_chunk_size_is_malformed(size: bytes) -> None:
    with pytest.raises(HttpError):
        ResponseParser().feed(HEAD + size + b"\r\n{}\n\r\n\r\n")


def test_body_raises_when_a_chunk_is_not_closed_by_a_line_end() -> None:
    with pytest.raises(HttpError):
        ResponseParser().feed(HEAD + b"2\r\n{}1\r\n\n\r\n")


def test_chunked_body_yields_its_messages_when_chunks_end_inside_them() -> None:
    response = b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n"
    response += b'3\r\n{"a\r\n4;x=y\r\n":1}\r\n2\r\n\n\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n'
    body = ResponseParser()
    found = list[bytes]()
    for position in range(len(response)):
        found += body.feed(response[position : position + 1])
    assert ([item for item in found if item], b"" in found, body.done) == ([b'{"a":1}', b"{}"], True, True)
