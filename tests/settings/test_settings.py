"""The settings reader: units, reports of every fault, overrides by the environment, and the annotated example.

The tests guard against a value that is read in the wrong unit, a fault that is reported without its line or remedy, and
an example file whose values differ from the defaults.
"""

from __future__ import annotations

from dataclasses import fields
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.limiter import ROOT
from thymeflow.settings import Settings, SettingsError, read_settings
from thymeflow.settings.ini_file import MAX_FILE_BYTES
from thymeflow.settings.reader import format_settings, parse_settings
from thymeflow.settings.units import Count, Duration, InvalidValueError, Size


def read_fault_texts(text: str, **environment: str) -> list[str]:
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, "f.ini", environment)
    return [str(fault) for fault in caught.value.faults]


@pytest.mark.parametrize(("text", "value"), [("500ms", 0.5), ("2s", 2.0), ("1.5 m", 90.0), ("250us", 0.00025)])
def test_duration_is_read_when_it_has_a_unit(text: str, value: float) -> None:
    assert Duration().read(text) == pytest.approx(value)


@pytest.mark.parametrize("text", ["2", "", "s", "-2s", "2 parsecs", "nan s", "inf", "1e9s", "2s 3s", "0x2s", "٣s"])
def test_duration_is_rejected_with_a_remedy_when_it_is_malformed(text: str) -> None:
    with pytest.raises(InvalidValueError) as caught:
        Duration(0.0, 3600.0).read(text)
    assert "such as 500ms" in caught.value.remedy


@given(st.integers(0, 86400_000))
def test_duration_reads_back_as_itself_when_shown(millis: int) -> None:
    assert Duration().read(Duration().show(millis / 1000.0)) == pytest.approx(millis / 1000.0, abs=1e-5, rel=1e-5)


@given(st.integers(0, 1 << 40))
def test_size_reads_back_as_itself_when_shown(size: int) -> None:
    assert Size().read(Size().show(size)) == size


@pytest.mark.parametrize("text", ["-1", "1.0", "²", "1_0", "99999999999999", "257"])
def test_count_is_rejected_when_it_is_malformed_or_out_of_range(text: str) -> None:
    with pytest.raises(InvalidValueError):
        Count(0, 256).read(text)


def test_every_fault_is_reported_with_its_location_and_remedy() -> None:
    texts = read_fault_texts(
        "[deamon]\nx = 1\n[log]\nform = jsn\nfil = 3\n[snapshot]\nevery = 2   ; a comment\n",
        THYMEFLOW_LOG_FROM="x",
        THYMEFLOW_FLEET_INSTANCES="none",
    )
    assert texts == [
        "f.ini:1: [deamon]: is no section; did you mean 'daemon'?",
        "f.ini:4: [log] form: 'jsn' is not known here; write one of text, json",
        "f.ini:5: [log] fil: is no key here; did you mean 'file'?",
        "f.ini:7: [snapshot] every: '2' has no unit; write a time from 100ms to 1h, such as 500ms or 2s",
        "environment: [fleet] THYMEFLOW_FLEET_INSTANCES: 'none' is no whole number; write a whole number from 1 to 256",
        "environment: THYMEFLOW_LOG_FROM: sets nothing; did you mean 'THYMEFLOW_LOG_FORM'?",
    ]


@pytest.mark.parametrize(
    ("text", "line", "cause"),
    [
        ("[log]\nform = text\nform = json\n", 3, "set twice"),
        ("[log]\n[log]\n", 2, "stands twice"),
        ("form = text\n", 1, "before any section"),
        ("[log]\nform text\n", 2, "no key = value"),
    ],
)
def test_syntax_fault_is_reported_at_its_line(text: str, line: int, cause: str) -> None:
    (fault_text,) = read_fault_texts(text)
    assert fault_text.startswith(f"f.ini:{line}:")
    assert cause in fault_text


def test_environment_is_used_when_the_file_sets_the_same_key(tmp_path: Path) -> None:
    path = tmp_path / "a.ini"
    path.write_text("[fleet]\ninstances = 5\nspread = 1s\n")
    settings = read_settings(path, {"THYMEFLOW_FLEET_INSTANCES": "7", "OTHER": "x"})
    assert (settings.fleet.instances, settings.fleet.spread) == (7, 1.0)


def test_file_is_rejected_when_it_cannot_be_read_as_settings(tmp_path: Path) -> None:
    (tmp_path / "latin").write_bytes(b"[log]\nfile = \xe9\n")
    (tmp_path / "large").write_bytes(b"#" * (MAX_FILE_BYTES + 1))
    for name, text in (("latin", ":2: is no UTF-8"), ("large", "holds"), ("none", "No such file"), (".", "directory")):
        with pytest.raises(SettingsError, match=text):
            read_settings(tmp_path / name, {})


def test_annotated_example_has_every_key_with_its_default() -> None:
    text = (ROOT / "deploy" / "thymeflow.ini").read_text()
    assert parse_settings(text, "deploy/thymeflow.ini", {}) == Settings()
    for section in fields(Settings):
        for key in fields(getattr(Settings(), section.name)):
            assert f"\n{key.name.replace('_', '-')} =" in text


def test_settings_read_back_as_themselves_when_formatted() -> None:
    changed = parse_settings("[fleet]\nname = web\nlisten = [::1]:70\n[log]\nmost-line = 1KB\n", "f", {})
    assert parse_settings(format_settings(changed), "f", {}) == changed
