"""The message forms of members' reports and of ejections, between the members and the coordinator's process.

The forms and the error texts belong to that protocol and must not change.
"""

from __future__ import annotations

from dataclasses import dataclass

from thymeflow.outliers.ejection import Ejection, EjectionKey
from thymeflow.outliers.errors import MalformedOutlierMessageError
from thymeflow.runtime.value_checks import is_finite_number, is_fraction, is_integer, quote

MAX_ROWS = 512  # longest list in a message
MAX_NAME_LENGTH = 64  # characters; the name of a class or zone is cut off after them
MAX_QUOTED_ROW_CHARACTERS = 60  # an error text quotes a malformed ejection up to this length
# The types of a row's values, except the last, `ends_at`, which may be an integer or a float.
EJECTION_TYPES = [
    int,
    str,
    int,
    int,
    bool,
    bool,
]
TIME_DECIMALS = 3


@dataclass(frozen=True, slots=True)
class OutlierReport:
    """A member's report about the backends."""

    ejecting: set[EjectionKey]  # keys that the member itself ejects
    responding: set[EjectionKey]  # keys with recent successful responses
    probe_results: dict[int, bool]  # whether the probe succeeded, keyed by permit number
    backend_count: int  # the number of backends in the member's endpoint list
    zones: dict[str, frozenset[int]]  # backends by zone, in the same endpoint list
    pressure: float | None  # None if the member's version does not report the pressure


def report_from_message(message: object) -> OutlierReport:
    """Parse a member's report.

    :raises MalformedOutlierMessageError: the message is malformed; the text quotes the value.
    """
    if not isinstance(message, dict):
        text = f"{quote(message)} is no report"
        raise MalformedOutlierMessageError(text)
    # The previous version reports neither zones nor pressure.
    return OutlierReport(
        ejecting=keys_from_message(message.get("against")),
        responding=keys_from_message(message.get("good")),
        probe_results=probes_from_message(message.get("trials")),
        backend_count=_backend_count_from_message(message.get("servers")),
        zones=zones_from_message(message.get("zones", {})),
        pressure=_pressure_from_message(message["pressure"]) if "pressure" in message else None,
    )


def keys_from_message(rows: object) -> set[EjectionKey]:
    """Parse a list of keys of a report; each names a backend and a request class.

    :raises MalformedOutlierMessageError: the message is malformed; the text quotes the value.
    """
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        text = f"{quote(rows)} is no list of at most {MAX_ROWS} rows"
        raise MalformedOutlierMessageError(text)
    return {_key_from_row(row) for row in rows}


def zones_from_message(zones: object) -> dict[str, frozenset[int]]:
    """Parse the zones of a report; return the backends by zone.

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
    """Parse the results of half-open probes in a report; return whether the probe succeeded, by number of its permit.

    :raises MalformedOutlierMessageError: the message is malformed; the text quotes the value.
    """
    if not isinstance(results, dict) or not all(
        permit.isascii() and permit.isdigit() and type(succeeded) is bool for permit, succeeded in results.items()
    ):
        text = f"{quote(results)} are no trials"
        raise MalformedOutlierMessageError(text)
    return {int(permit): succeeded for permit, succeeded in results.items()}


def ejection_to_row(ejection: Ejection) -> list[object]:
    """Return the message form of an ejection, a row; `ejections_from_message` parses a list of rows."""
    return [
        *ejection.key,
        ejection.number,
        ejection.probe_permit,
        ejection.is_admitted,
        ejection.is_recovered,
        round(ejection.ends_at, TIME_DECIMALS),
    ]


def ejections_from_message(rows: object) -> list[Ejection]:
    """Parse a list of rows, each the message form of an ejection.

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
    backend, name, number, permit, is_admitted, is_recovered, ends_at = row
    return Ejection(EjectionKey(backend, name), number, permit, is_admitted, is_recovered, float(ends_at))
