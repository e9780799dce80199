"""Checks of values from JSON: which values count as an integer, a finite number or a fraction, and quoting."""

from __future__ import annotations

from math import inf, nan

import pytest

from thymeflow.runtime.value_checks import is_finite_number, is_fraction, is_integer, quote

TOO_LARGE_FOR_A_FLOAT = 10**400


@pytest.mark.parametrize(
    ("value", "expected"),
    [(0, True), (-7, True), (TOO_LARGE_FOR_A_FLOAT, True), (True, False), (1.0, False), ("1", False)],
)
def test_only_an_int_other_than_a_bool_is_an_integer(value: object, expected: bool) -> None:
    assert is_integer(value) is expected


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (0, True),
        (-1.5, True),
        (1e308, True),
        (nan, False),
        (inf, False),
        (-inf, False),
        (TOO_LARGE_FOR_A_FLOAT, False),
        (True, False),
        ("1", False),
        (None, False),
    ],
)
def test_only_an_int_or_float_within_the_range_of_a_float_is_a_finite_number(value: object, expected: bool) -> None:
    assert is_finite_number(value) is expected


@pytest.mark.parametrize(
    ("value", "expected"), [(0, True), (1, True), (0.5, True), (-0.1, False), (1.1, False), (nan, False), (True, False)]
)
def test_only_a_number_from_0_to_1_is_a_fraction(value: object, expected: bool) -> None:
    assert is_fraction(value) is expected


def test_quoted_value_is_truncated_when_it_is_long() -> None:
    assert quote("x" * 50) == repr("x" * 40)
    assert quote([1, 2], max_characters=3) == "'[1,'"
