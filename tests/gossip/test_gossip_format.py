"""The bytes of gossip messages: limiters of two versions exchange messages during a rolling restart."""

from __future__ import annotations

from tests.recorded_messages import Json, assert_as_recorded, recorded
from thymeflow.gossip import codec


def encode_gossip(incarnation: int, sequence: int, pressure: float, *entries: codec.Entry) -> bytes:
    """Return a gossip message as bytes."""
    return codec.encode(codec.Message(incarnation, sequence, pressure, entries))


def decode_gossip_values(data: bytes) -> Json:
    """Return the values of a gossip message in the order of its fields, or None if the message is rejected."""
    message = codec.decode(data)
    return None if message is None else [*message[:3], [list(entry) for entry in message[3]]]


def test_gossip_is_encoded_to_the_recorded_bytes() -> None:
    entries = [
        codec.Entry(number * 0x1234567 % 2**32, number % 120, number % 2 == 1, number * 97.3, number * 5000.25)
        for number in range(codec.MAX_ENTRIES + 3)
    ]
    messages = [
        encode_gossip(0, 0, 0.0).hex(),
        encode_gossip(0xFFFF, 0x1FFFF, 7.0, codec.Entry(1, 127, True, -1.0, 1e9)).hex(),
        *(
            encode_gossip(513, 700 + number, 0.456, *chunk).hex()
            for number, chunk in enumerate(codec.split_into_chunks(entries))
        ),
        encode_gossip(1, 2, 0.3, *codec.split_into_chunks([])[0]).hex(),
    ]
    assert_as_recorded("gossip", messages)


def test_gossip_is_decoded_to_the_recorded_values() -> None:
    valid = [bytes.fromhex(text) for text in recorded("gossip")]
    invalid = [b"", valid[0][:-1], valid[1] + b"\0", b"\x02" + valid[0][1:], valid[2] + bytes(9)]
    assert_as_recorded("gossip values", [decode_gossip_values(data) for data in valid + invalid])
    pairs = ((5.0, 2.0), (1.0, 16383.0))
    assert_as_recorded(
        "gossip differences",
        [[codec.compute_unsigned_difference(*pair), codec.compute_signed_difference(*pair)] for pair in pairs],
    )
