"""The file form of schedules: TOML, the test cluster as keys and the faults as `[[step]]` tables.

limiters = 10
seconds = 8.0
[[step]]
at = 2.0
do = "kill"
who = [0, 1, 2]
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, replace
from enum import Enum
from math import isfinite
from typing import Any, NamedTuple, TypeGuard, TypeVar

from thymeflow.testkit.faults.schedule import (
    ACTIONS_WITH_AMOUNT,
    BACKEND_ACTIONS,
    COMMANDS,
    COUNTER_ACTIONS,
    LINK_ACTIONS,
    QUOTA_MODES,
    Direction,
    FaultAction,
    FaultStep,
    Link,
    Schedule,
    ScheduleError,
    in_order,
)

MAX_LIMITERS = 64
MAX_BACKENDS = 64
MAX_LOAD_SECONDS = 600.0
MAX_CUSTOMERS = 100_000
MAX_SEED = 2**48
MAX_STEPS = 2000
STEP_KEYS = ("at", "do", "who", "link", "way", "amount")

# Keys of the file, in the order in which they are written, and the attributes of the schedule that they name.
ATTRIBUTES_BY_KEY = {
    "limiters": "limiter_count",
    "servers": "backend_count",
    "seconds": "load_seconds",
    "seed": "seed",
    "line": "command",
    "units": "quota_mode",
    "demand": "demand_fraction",
    "customers": "customer_count",
    "work": "mean_work_seconds",
}
CHOICES_BY_KEY = {"line": COMMANDS, "units": QUOTA_MODES}


TomlTable = dict[str, Any]


class _Range(NamedTuple):
    """The values that a number of the file may have."""

    kind: type[int] | type[float]
    minimum: float
    maximum: float

    def contains(self, value: object) -> bool:
        """Return whether the value is a number of this kind and within the range."""
        if self.kind is int:
            return type(value) is int and self.minimum <= value <= self.maximum
        return _is_number(value) and self.minimum <= value <= self.maximum

    def __str__(self) -> str:
        return f"{self.kind.__name__} from {self.minimum:g} to {self.maximum:g}"


RANGES_BY_KEY = {
    "limiters": _Range(int, 1, MAX_LIMITERS),
    "servers": _Range(int, 1, MAX_BACKENDS),
    "seconds": _Range(float, 0.1, MAX_LOAD_SECONDS),
    "seed": _Range(int, 0, MAX_SEED),
    "demand": _Range(float, 0.0, 100.0),
    "customers": _Range(int, 1, MAX_CUSTOMERS),
    "work": _Range(float, 0.0001, 10.0),
}


def _is_number(value: object) -> TypeGuard[float]:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and isfinite(value)


def parse(text: str) -> Schedule:
    """Parse the text of a file.

    :raises ScheduleError: with every error and its place.
    """
    try:
        source = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScheduleError([str(error)]) from None
    errors: list[str] = []
    schedule = _parse_cluster(source, errors)
    tables = source.get("step", [])
    if not isinstance(tables, list) or len(tables) > MAX_STEPS:
        errors.append(f"step is no list of at most {MAX_STEPS} tables")
        tables = []
    steps = [
        _StepParser(f"step {number}", schedule, errors).parse(table) for number, table in enumerate(tables, start=1)
    ]
    if errors:
        raise ScheduleError(errors)
    return replace(schedule, steps=in_order([step for step in steps if step is not None]))


def _parse_cluster(source: TomlTable, errors: list[str]) -> Schedule:
    attributes: TomlTable = {}
    for key, value in source.items():
        if key in CHOICES_BY_KEY:
            choices = CHOICES_BY_KEY[key]
            if value in choices:
                attributes[ATTRIBUTES_BY_KEY[key]] = value
            else:
                errors.append(f"{key} = {value!r} is none of {', '.join(choices)}")
        elif key in RANGES_BY_KEY:
            valid_range = RANGES_BY_KEY[key]
            if valid_range.contains(value):
                attributes[ATTRIBUTES_BY_KEY[key]] = valid_range.kind(value)
            else:
                errors.append(f"{key} = {value!r} is no {valid_range}")
        elif key != "step":
            errors.append(f"{key} is not known")
    return replace(Schedule(), **attributes)


class _InvalidStepError(ScheduleError):
    """A step has an error after which the rest of it cannot be checked."""


_EnumType = TypeVar("_EnumType", bound=Enum)


@dataclass(frozen=True, slots=True)
class _StepParser:
    """Parses one `[[step]]` table; errors are appended to the list, with the location of the table."""

    location: str
    schedule: Schedule
    errors: list[str]

    def parse(self, table: object) -> FaultStep | None:
        """Return the step, None where it is too malformed for one."""
        try:
            return self._parse(table)
        except _InvalidStepError as error:
            self.errors.extend(error.errors)
            return None

    def _parse(self, table: object) -> FaultStep:
        if not isinstance(table, dict):
            text = "a table is wanted"
            raise self._invalid(text)
        known = ", ".join(sorted(STEP_KEYS))
        for key in table.keys() - set(STEP_KEYS):
            self._report(f"{key} is not known; known are {known}")
        action = self._parse_enum(table, "do", FaultAction)
        link = self._parse_enum(table, "link", Link)
        direction = self._parse_enum(table, "way", Direction)
        if action is None:
            text = "do is missing"
            raise self._invalid(text)
        at = self._parse_time(table)
        amount = self._parse_amount(table, action)
        targets = self._parse_targets(table, action)
        if (action in LINK_ACTIONS) is not (link is not None):
            needs_link = action in LINK_ACTIONS
            self._report(f"{action.value!r} {'wants a link' if needs_link else 'has no link'}")
        return FaultStep(at, action, targets, link, direction or Direction.BOTH, amount)

    def _report(self, text: str) -> None:
        self.errors.append(f"{self.location}: {text}")

    def _invalid(self, text: str) -> _InvalidStepError:
        return _InvalidStepError([f"{self.location}: {text}"])

    def _parse_enum(self, table: TomlTable, key: str, kind: type[_EnumType]) -> _EnumType | None:
        if key not in table:
            return None
        try:
            return kind(table[key])
        except ValueError:
            choices = ", ".join(member.value for member in kind)
            text = f"{key} = {table[key]!r} is none of {choices}"
            raise self._invalid(text) from None

    def _parse_time(self, table: TomlTable) -> float:
        at = table.get("at")
        if not _is_number(at) or not 0.0 <= at <= self.schedule.load_seconds:
            text = f"at = {at!r} is no time from 0 to {self.schedule.load_seconds:g} s"
            raise self._invalid(text)
        return float(at)

    def _parse_amount(self, table: TomlTable, action: FaultAction) -> float:
        amount = table.get("amount", 0.0)
        is_missing = action in ACTIONS_WITH_AMOUNT and "amount" not in table
        if not _is_number(amount) or amount < 0.0 or is_missing:
            self._report(f"amount = {table.get('amount')!r} is no amount for {action.value!r}")
            return 0.0
        return float(amount)

    def _parse_targets(self, table: TomlTable, action: FaultAction) -> tuple[int, ...]:
        targets = table.get("who", [])
        target_count = self.schedule.backend_count if action in BACKEND_ACTIONS else self.schedule.limiter_count
        if not isinstance(targets, list) or not all(type(n) is int and 0 <= n < target_count for n in targets):
            text = f"who = {targets!r} is no list of numbers from 0 to {target_count - 1}"
            raise self._invalid(text)
        if not targets and action not in COUNTER_ACTIONS:
            self._report("who is missing")
        return tuple(targets)


def text_of(schedule: Schedule) -> str:
    """Return the text that `parse` reads back as this schedule."""
    lines: list[str] = []
    for key, attribute in ATTRIBUTES_BY_KEY.items():
        value = getattr(schedule, attribute)
        lines.append(f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}")
    for step in schedule.steps:
        lines += ["[[step]]", f"at = {step.at}", f'do = "{step.action.value}"']
        if step.targets:
            lines.append(f"who = {list(step.targets)}")
        if step.link is not None:
            lines.append(f'link = "{step.link.value}"')
        if step.direction is not Direction.BOTH:
            lines.append(f'way = "{step.direction.value}"')
        if step.amount:
            lines.append(f"amount = {step.amount}")
    return "\n".join(lines) + "\n"
