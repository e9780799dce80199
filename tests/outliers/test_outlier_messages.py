"""The message form of outlier reports: complete, from an earlier version, and malformed."""

from __future__ import annotations

import pytest

from thymeflow.outliers.ejection import EjectionKey
from thymeflow.outliers.errors import MalformedOutlierMessageError
from thymeflow.outliers.messages import OutlierReport, report_from_message

MESSAGE = {
    "against": [[7, "read"]],
    "good": [[8, ""]],
    "trials": {"5": True},
    "servers": 2,
    "zones": {"a": [7, 8]},
    "pressure": 0.5,
}


def test_report_has_all_values_when_its_message_is_complete() -> None:
    assert report_from_message(MESSAGE) == OutlierReport(
        ejecting={EjectionKey(7, "read")},
        responding={EjectionKey(8, "")},
        probe_results={5: True},
        backend_count=2,
        zones={"a": frozenset({7, 8})},
        pressure=0.5,
    )


def test_report_has_no_zones_and_no_pressure_when_an_earlier_version_sent_it() -> None:
    message = {key: value for key, value in MESSAGE.items() if key not in ("zones", "pressure")}
    report = report_from_message(message)
    assert report.zones == {}
    assert report.pressure is None


@pytest.mark.parametrize("missing", ["against", "good", "trials", "servers"])
def test_report_is_rejected_when_a_value_is_missing(missing: str) -> None:
    with pytest.raises(MalformedOutlierMessageError):
        report_from_message({key: value for key, value in MESSAGE.items() if key != missing})


@pytest.mark.parametrize(
    "changed",
    [
        {"against": 7},
        {"good": [[8]]},
        {"trials": {"x": True}},
        {"servers": -1},
        {"servers": True},
        {"zones": []},
        {"pressure": None},
        {"pressure": 1.5},
    ],
)
def test_report_is_rejected_when_a_value_is_malformed(changed: dict[str, object]) -> None:
    with pytest.raises(MalformedOutlierMessageError):
        report_from_message({**MESSAGE, **changed})


def test_report_is_rejected_when_it_is_no_json_object() -> None:
    with pytest.raises(MalformedOutlierMessageError):
        report_from_message([MESSAGE])
