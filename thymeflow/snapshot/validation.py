"""Conversion of values read from JSON to frozen dataclasses, with a check of each field's presence and type."""

from __future__ import annotations

from dataclasses import MISSING, fields, is_dataclass
from functools import lru_cache
from math import isfinite
from typing import TYPE_CHECKING, NamedTuple, TypeVar, get_args, get_origin, get_type_hints

from thymeflow.snapshot.errors import InvalidFieldError as InvalidFieldError

if TYPE_CHECKING:
    from _typeshed import DataclassInstance

MAX_MAGNITUDE = 1e15  # The largest absolute value of an amount, time or total.
MAX_QUOTED_LENGTH = 40  # Characters of a value that an error text quotes.
MAX_CACHED_CLASSES = 32
PLAIN_TYPES = (int, bool, str)

Record = TypeVar("Record")


class FieldSpec(NamedTuple):
    """The type of a record's field, and whether a value is required."""

    kind: object  # A type, or a generic alias such as tuple[int, ...].
    is_required: bool


def convert_record(cls: type[Record], value: object, where: str) -> Record:
    """Return a value that was read from JSON as an instance of a dataclass; `where` names it in error texts.

    :raises InvalidFieldError: if a value has the wrong type or is out of range, or a field is missing or unknown.
    """
    record = _convert(cls, value, where)
    assert isinstance(record, cls)
    return record


@lru_cache(maxsize=MAX_CACHED_CLASSES)
def _find_field_specs(cls: type[DataclassInstance]) -> dict[str, FieldSpec]:
    hints = get_type_hints(cls)
    return {
        field.name: FieldSpec(hints[field.name], field.default is MISSING and field.default_factory is MISSING)
        for field in fields(cls)
    }


def _convert(kind: object, value: object, where: str) -> object:
    if kind is float and isinstance(value, int | float) and not isinstance(value, bool):
        return _convert_number(value, where)
    if isinstance(kind, type) and kind in PLAIN_TYPES:
        return _check_plain(kind, value, where)
    if isinstance(kind, type) and is_dataclass(kind) and isinstance(value, dict):
        return _convert_fields(kind, value, where)
    origin = get_origin(kind)
    arguments = get_args(kind)
    if origin is tuple and isinstance(value, list | tuple) and arguments[-1] is ...:
        return tuple([_convert(arguments[0], item, f"{where}[{index}]") for index, item in enumerate(value)])
    if origin is tuple and isinstance(value, list | tuple) and len(arguments) == len(value):
        pairs = enumerate(zip(arguments, value, strict=True))
        return tuple([_convert(item_kind, item, f"{where}[{index}]") for index, (item_kind, item) in pairs])
    if origin is dict and isinstance(value, dict):
        return {key: _convert(arguments[1], item, f"{where}[{key!r}]") for key, item in value.items()}
    message = f"{where} is {_quote(value)}, which is not of the type that the field requires"
    raise InvalidFieldError(message)


def _convert_number(value: float, where: str) -> float:
    if not isfinite(value) or abs(value) > MAX_MAGNITUDE:
        message = f"{where} is {value}, which is out of range"
        raise InvalidFieldError(message)
    return float(value)


def _check_plain(kind: type, value: object, where: str) -> object:
    if type(value) is not kind:  # The exact type is compared, because a bool is an int too.
        message = f"{where} is {_quote(value)}, not of type {kind.__name__}"
        raise InvalidFieldError(message)
    return value


def _convert_fields(cls: type[DataclassInstance], value: dict[str, object], where: str) -> object:
    specs = _find_field_specs(cls)
    for name in value:
        if name not in specs:
            message = f"{where} has the unknown field {name[:MAX_QUOTED_LENGTH]!r}"
            raise InvalidFieldError(message)
    for name, spec in specs.items():
        if spec.is_required and name not in value:
            message = f"{where}.{name} is missing"
            raise InvalidFieldError(message)
    return cls(**{name: _convert(specs[name].kind, item, f"{where}.{name}") for name, item in value.items()})


def _quote(value: object) -> str:
    return repr(str(value)[:MAX_QUOTED_LENGTH])
