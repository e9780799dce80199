"""The message forms of members' reports and of ejections, between the members and the coordinator's process.

The forms, and the words of the error texts, are part of that protocol.
"""

from __future__ import annotations

from math import isfinite

from thymeflow.outliers.ejection import Ejection, EjectionKey
from thymeflow.outliers.errors import MalformedOutlierMessageError

MAX_ROWS = 512  # of one list in a message
MAX_NAME_LENGTH = 64  # characters of a class or a zone; more are cut off
MAX_SHOWN_LENGTH = 40  # characters of a malformed value in an error text
MAX_SHOWN_ROW_LENGTH = 60
EJECTION_TYPES = [int, str, int, int, bool, bool]  # of the first values of an ejection's row; the last is a time
TIME_DECIMALS = 3


def keys_from_message(rows: object) -> set[EjectionKey]:
    """Parse the keys of backends, or of classes at them, in a report.

    :raises MalformedOutlierMessageError: a ValueError that says what is wrong.
    """
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        text = f"{str(rows)[:MAX_SHOWN_LENGTH]!r} is no list of at most {MAX_ROWS} rows"
        raise MalformedOutlierMessageError(text)
    return {_key_from_row(row) for row in rows}


def zones_from_message(zones: object) -> dict[str, frozenset[int]]:
    """Parse the backends by zone in a report.

    :raises MalformedOutlierMessageError: a ValueError that says what is wrong.
    """
    if (
        not isinstance(zones, dict)
        or len(zones) > MAX_ROWS
        or not all(_is_list_of_backends(backends) for backends in zones.values())
    ):
        text = f"{str(zones)[:MAX_SHOWN_LENGTH]!r} are no zones"
        raise MalformedOutlierMessageError(text)
    return {str(zone)[:MAX_NAME_LENGTH]: frozenset(backends) for zone, backends in zones.items()}


def probes_from_message(results: object) -> dict[int, bool]:
    """Parse the results of half-open probes in a report: by permit, whether the probe succeeded.

    :raises MalformedOutlierMessageError: a ValueError that says what is wrong.
    """
    if not isinstance(results, dict) or not all(
        permit.isascii() and permit.isdigit() and type(succeeded) is bool for permit, succeeded in results.items()
    ):
        text = f"{str(results)[:MAX_SHOWN_LENGTH]!r} are no trials"
        raise MalformedOutlierMessageError(text)
    return {int(permit): succeeded for permit, succeeded in results.items()}


def message_of(ejection: Ejection) -> list[object]:
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

    :raises MalformedOutlierMessageError: a ValueError that says what is wrong.
    """
    if not isinstance(rows, list):
        text = f"{str(rows)[:MAX_SHOWN_LENGTH]!r} is no list"
        raise MalformedOutlierMessageError(text)
    return [_ejection_from_row(row) for row in rows]


def _key_from_row(row: object) -> EjectionKey:
    if (
        not isinstance(row, list)
        or len(row) != len(EjectionKey._fields)
        or type(row[0]) is not int
        or row[0] < 0
        or not isinstance(row[1], str)
    ):
        text = f"{str(row)[:MAX_SHOWN_LENGTH]!r} is no server and class"
        raise MalformedOutlierMessageError(text)
    return EjectionKey(row[0], row[1][:MAX_NAME_LENGTH])


def _is_list_of_backends(backends: object) -> bool:
    if not isinstance(backends, list) or len(backends) > MAX_ROWS:
        return False
    return all(type(backend) is int for backend in backends)


def _ejection_from_row(row: object) -> Ejection:
    type_count = len(EJECTION_TYPES)
    if (
        not isinstance(row, list)
        or [type(value) for value in row[:type_count]] != EJECTION_TYPES
        or len(row) != type_count + 1
        or isinstance(row[type_count], bool)
        or not isinstance(row[type_count], int | float)
        or not isfinite(row[type_count])
    ):
        text = f"{str(row)[:MAX_SHOWN_ROW_LENGTH]!r} is no verdict"
        raise MalformedOutlierMessageError(text)
    backend, name, number, permit, is_allowed, is_cleared, ends_at = row
    return Ejection(EjectionKey(backend, name), number, permit, is_allowed, is_cleared, float(ends_at))
