"""Parser for endpoint lists: an entry with an invalid value is rejected."""

from __future__ import annotations

from typing import Any

import pytest

from thymeflow.platform.endpoints import parse_endpoint_update


@pytest.mark.parametrize(
    "change",
    [
        {"weight": float("nan")},
        {"startedAtMs": float("inf")},
        {"cell": "x"},
        {"hostPort": "nowhere"},
        {"hostPort": None},
        {"lifecycle": ["odd"]},
        {"instanceId": 7},
        {"weight": -1},
    ],
)
def test_endpoint_entry_is_rejected_when_it_is_invalid(change: dict[str, Any]) -> None:
    valid_entry = {"instanceId": "s-00000001", "hostPort": "127.0.0.1:9", "lifecycle": "active"}
    with pytest.raises((ValueError, KeyError, TypeError)):
        parse_endpoint_update({"generation": 1, "instances": [{**valid_entry, **change}]})
