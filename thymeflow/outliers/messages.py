"""The message forms of members' reports and of ejections, between the members and the coordinator's process.

The forms and the error texts belong to that protocol, and stay as they are.
"""

from __future__ import annotations

from dataclasses import dataclass

from thymeflow.outliers.ejection import Ejection, EjectionKey
from thymeflow.outliers.errors import MalformedOutlierMessageError
from thymeflow.runtime.value_checks import is_finite_number, is_fraction, is_integer, quote

MAX_ROWS = 512  # of one list in a message
MAX_NAME_LENGTH = 64  # characters of a class or a zone; more are cut off
MAX_QUOTED_ROW_CHARACTERS = 60  # of a malformed ejection in an error text
EJECTION_TYPES = [int, str, int, int, bool, bool]  # of the first values of an ejection's row; the last is a time
TIME_DECIMALS = 3


@dataclass(frozen=True, slots=True)
class OutlierReport:
    """What a member reports of the backends."""

    ejecting: set[EjectionKey]
    responding: set[EjectionKey]
    probe_results: dict[int, bool]  # by permit: whether the probe succeeded
    backend_count: int  # in the member's endpoint list
    zones: dict[str, frozenset[int]]  # backends by zone, in the same list
    pressure: float | None  # None: the member's version does not report it


def report_from_message(message: object) -> OutlierReport:
    """Parse a member's report.

    :raises MalformedOutlierMessageError: the message is malformed; the text quotes the value.
    """
    if not isinstance(message, dict):
        text = f"{quote(message)} is no report"
        raise MalformedOutlierMessageError(text)
    return OutlierReport(
        ejecting=keys_from_message(message.get("against")),
        responding=keys_from_message(message.get("good")),
        probe_results=probes_from_message(message.get("trials")),
        backend_count=_backend_count_from_message(message.get("servers")),
        zones=zones_from_message(message.get("zones", {})),  # the previous version reports neither these
        pressure=_pressure_from_message(message["pressure"]) if "pressure" in message else None,  # nor this
    )


def keys_from_message(rows: object) -> set[EjectionKey]:
    """Parse the keys of backends, or of classes at them, in a report.

    :raises MalformedOutlierMessageError: the message is malformed; the text quotes the value.
    """
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        text = f"{quote(rows)} is no list of at most {MAX_ROWS} rows"
        raise MalformedOutlierMessageError(text)
    return {_key_from_row(row) for row in rows}


def zones_from_message(zones: object) -> dict[str, frozenset[int]]:
    """Parse the backends by zone in a report.

    :raises MalformedOutlierMessageError: the message is malformed; the text quotes the value.
    """
    if (
        not isinstance(zones, dict)
        or len(zones) > MAX_ROWS
        or not all(_is_list_of_backends(backends) for backends in zones.values())
    ):
        text = f"{quote(zones)} are no zones"
        raise MalformedOutlierMessageError(text)
    return {str(zone)[:MAX_NAME_LENGTH]: frozenset(backends) for zone, backends in zones.items()}


def probes_from_message(results: object) -> dict[int, bool]:
    """Parse the results of half-open probes in a report: by permit, whether the probe succeeded.

    :raises MalformedOutlierMessageError: the message is malformed; the text quotes the value.
    """
    if not isinstance(results, dict) or not all(
        permit.isascii() and permit.isdigit() and type(succeeded) is bool for permit, succeeded in results.items()
    ):
        text = f"{quote(results)} are no trials"
        raise MalformedOutlierMessageError(text)
    return {int(permit): succeeded for permit, succeeded in results.items()}


def ejection_to_row(ejection: Ejection) -> list[object]:
    """Return the row of an ejection, which `ejections_from_message` parses."""
    return [
        *ejection.key,
        ejection.number,
        ejection.probe_permit,
        ejection.is_admitted,
        ejection.is_recovered,
        round(ejection.ends_at, TIME_DECIMALS),
    ]


def ejections_from_message(rows: object) -> list[Ejection]:
    """Parse the rows of ejections.

    :raises MalformedOutlierMessageError: the message is malformed; the text quotes the value.
    """
    if not isinstance(rows, list):
        text = f"{quote(rows)} is no list"
        raise MalformedOutlierMessageError(text)
    return [_ejection_from_row(row) for row in rows]


def _backend_count_from_message(count: object) -> int:
    if not is_integer(count) or count < 0:
        text = f"servers is {quote(count)}, no count"
        raise MalformedOutlierMessageError(text)
    return count


def _pressure_from_message(pressure: object) -> float:
    if not is_fraction(pressure):
        text = f"pressure is {quote(pressure)}, no figure from 0 to 1"
        raise MalformedOutlierMessageError(text)
    return float(pressure)


def _key_from_row(row: object) -> EjectionKey:
    if (
        not isinstance(row, list)
        or len(row) != len(EjectionKey._fields)
        or not is_integer(row[0])
        or row[0] < 0
        or not isinstance(row[1], str)
    ):
        text = f"{quote(row)} is no server and class"
        raise MalformedOutlierMessageError(text)
    return EjectionKey(row[0], row[1][:MAX_NAME_LENGTH])


def _is_list_of_backends(backends: object) -> bool:
    if not isinstance(backends, list) or len(backends) > MAX_ROWS:
        return False
    return all(is_integer(backend) for backend in backends)


def _ejection_from_row(row: object) -> Ejection:
    type_count = len(EJECTION_TYPES)
    if (
        not isinstance(row, list)
        or [type(value) for value in row[:type_count]] != EJECTION_TYPES
        or len(row) != type_count + 1
        or not is_finite_number(row[type_count])
    ):
        text = f"{quote(row, MAX_QUOTED_ROW_CHARACTERS)} is no verdict"
        raise MalformedOutlierMessageError(text)
    backend, name, number, permit, is_allowed, is_cleared, ends_at = row
    return Ejection(EjectionKey(backend, name), number, permit, is_allowed, is_cleared, float(ends_at))
