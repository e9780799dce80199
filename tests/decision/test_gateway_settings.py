"""Validation of gateway settings when they are created."""

from __future__ import annotations

from typing import Any

import pytest

from tests.helpers import settings
from thymeflow.decision.settings import Plan


@pytest.mark.parametrize(
    ("changes", "reported_name"),
    [
        ({"zones": ()}, "zones"),
        ({"index": 3}, "index"),
        ({"limiter_count": 0}, "gateways"),
        ({"timer_resolution": -1.0}, "tick"),
    ],
)
def test_settings_are_rejected_when_a_value_is_invalid(changes: dict[str, Any], reported_name: str) -> None:
    with pytest.raises(ValueError, match=reported_name):
        settings(**changes)


def test_plan_is_rejected_when_its_rate_is_negative() -> None:
    with pytest.raises(ValueError, match=r"Plan\.rate"):
        Plan("x", rate=-1.0)
