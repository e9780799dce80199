"""Files that an earlier version wrote, in `data/before-rename`, and the values that this version read from them.

Values are compared as plain lists in the order of their declaration, so that the names of classes and fields do not
matter. Keys matter where a file has them.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any

STORED_FOLDER = Path(__file__).resolve().parent / "data" / "before-rename"


def read_stored_file(name: str) -> bytes:
    """Return the content of a file that the earlier version wrote."""
    return (STORED_FOLDER / name).read_bytes()


def read_recorded_value(name: str) -> Any:
    """Return the values that the earlier version read from a file or derived from its content."""
    return json.loads((STORED_FOLDER / "stored-values.json").read_text())[name]


def to_plain_value(value: Any) -> Any:  # noqa: PLR0911  # one return for each kind of value
    """Return a value without names of the code: records become lists, sets sorted lists, and enums their values."""
    if is_dataclass(value):
        return [to_plain_value(getattr(value, field.name)) for field in fields(value)]
    if hasattr(value, "__struct_fields__"):
        return [to_plain_value(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, Mapping):
        return [[str(key), to_plain_value(item)] for key, item in value.items()]
    if isinstance(value, frozenset | set):
        return sorted(to_plain_value(item) for item in value)
    if isinstance(value, list | tuple):
        return [to_plain_value(item) for item in value]
    return value
