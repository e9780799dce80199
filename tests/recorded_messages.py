"""Messages between processes as an earlier version wrote them, and the comparison with what is written now.

A rolling restart runs two versions side by side, so that each kind of message outlives a change of names. Values that
differ from run to run are masked by their keys.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Collection
from pathlib import Path
from typing import Any

import pytest

Json = Any  # a JSON value, as it is read

RECORDED_PATH = Path(__file__).resolve().parent / "data" / "before-rename" / "messages.json"
ALLOCATION: dict[str, Json] = {
    "era": 3,
    "number": 9,
    "base": [1, 2, 3, 4, 5],
    "lease": [6, 7, 8, 9, 10],
    "end": 1234.5,
}
VOLATILE_KEYS = frozenset(
    (
        "pid",
        "life",
        "listen",
        "uptime_s",
        "at",
        "age_s",
        "bytes",
        "path",
        "site",
        "offer",
        "end",
        "era",
        "number",
        "demand",
        "pressure",
        "in_force",
    )
)
# Keys of allocations: the amounts grow in a fleet's first second.
AMOUNT_KEYS = frozenset(["base", "lease", "free", "state", "told", "ends_in_s"])
JSON_TYPE_NAMES: dict[type, str | None] = {
    bool: "true or false",
    int: "number",
    float: "number",
    str: "text",
    type(None): None,
}


def recorded(name: str) -> Json:
    """Return what the earlier version wrote."""
    return json.loads(RECORDED_PATH.read_text())[name]


def assert_as_recorded(name: str, message: Json) -> None:
    """Require that a message, its keys in order, is what the earlier version wrote; else show its present form."""
    text = json.dumps(message)
    assert text == json.dumps(recorded(name)), f"{name} is now {text}"


def type_names(value: Json) -> Json:
    """Return a value with each scalar in it replaced by the name of its JSON type; the keys of objects stay."""
    if isinstance(value, dict):
        return {key: type_names(item) for key, item in value.items()}
    if isinstance(value, list):
        return [type_names(item) for item in value]
    return JSON_TYPE_NAMES[type(value)]


def masked(value: Json, keys: Collection[str] = VOLATILE_KEYS) -> Json:
    """Return a message with the values that differ from run to run replaced by the names of their JSON types."""
    if isinstance(value, dict):
        return {key: type_names(item) if key in keys else masked(item, keys) for key, item in value.items()}
    if isinstance(value, str):
        return re.sub(r"127\.0\.0\.1:[0-9]+", "127.0.0.1:PORT", value)
    return [masked(item, keys) for item in value] if isinstance(value, list) else value


def rejection_text(parse: Callable[[Json], object], value: Json) -> str:
    """Return the text of the ValueError that a value is rejected with."""
    with pytest.raises(ValueError) as caught:
        parse(value)
    return str(caught.value)
