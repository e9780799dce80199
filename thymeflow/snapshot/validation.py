"""Values read from JSON made into frozen dataclasses: each of its type, nothing missing and nothing more."""

from __future__ import annotations

from dataclasses import MISSING, fields, is_dataclass
from functools import lru_cache
from math import isfinite
from typing import Any, get_args, get_origin, get_type_hints

MOST = 1e15  # no amount, time or total is more


class InvalidValueError(Exception):
    """A value is not what its place wants; the text says where."""


@lru_cache(maxsize=32)
def _wanted(cls: Any) -> dict[str, tuple[Any, bool]]:
    hints = get_type_hints(cls)
    return {f.name: (hints[f.name], f.default is MISSING and f.default_factory is MISSING) for f in fields(cls)}


def typed(kind: Any, value: Any, where: str) -> Any:
    """The value as the kind asks: a dataclass, tuple, dict by text, or a plain type; BadValue says what is not."""
    if kind is float and type(value) in (int, float):
        if not isfinite(value) or abs(value) > MOST:
            raise InvalidValueError(f"{where} is {value}, which no amount can be")
        return float(value)
    if kind in (int, bool, str):
        if type(value) is not kind:
            raise InvalidValueError(f"{where} is {str(value)[:40]!r}, no {kind.__name__}")
        return value
    if isinstance(kind, type) and is_dataclass(kind) and isinstance(value, dict):
        return _record(kind, value, where)
    origin, of = get_origin(kind), get_args(kind)
    if origin is tuple and isinstance(value, list | tuple):
        if of[-1] is ...:
            return tuple([typed(of[0], part, f"{where}[{n}]") for n, part in enumerate(value)])
        if len(of) == len(value):
            return tuple([typed(o, part, f"{where}[{n}]") for n, (o, part) in enumerate(zip(of, value, strict=True))])
    if origin is dict and isinstance(value, dict):
        return {key: typed(of[1], part, f"{where}[{key!r}]") for key, part in value.items()}
    raise InvalidValueError(f"{where} is {str(value)[:40]!r}, not what belongs there")


def _record(cls: Any, value: dict[str, Any], where: str) -> Any:
    wanted = _wanted(cls)
    for name in value:
        if name not in wanted:
            raise InvalidValueError(f"{where} has {name[:40]!r}, which is not known")
    for name, (_, needed) in wanted.items():
        if needed and name not in value:
            raise InvalidValueError(f"{where}.{name} is missing")
    return cls(**{name: typed(wanted[name][0], part, f"{where}.{name}") for name, part in value.items()})
