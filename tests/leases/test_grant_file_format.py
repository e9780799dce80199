"""Grant files of earlier versions are read to the recorded values and written again as the recorded bytes.

If a grant were lost after an upgrade, the next issuer would grant its points a second time.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.stored_files import STORED_FOLDER, read_recorded_value, read_stored_file, to_plain_value
from thymeflow.leases import grant_file

GRANT_FILES = ["fleet-v2.grants", "fleet-v1.grants"]


def use_recorded_boot(monkeypatch: pytest.MonkeyPatch, folder: Path) -> None:
    """Replace the machine's boot identifier by the one in the recorded grant files."""
    boot_id = folder / "boot_id"
    boot_id.write_text("0a1b2c3d-0000-4000-8000-00000000beef\n")
    monkeypatch.setattr(grant_file, "BOOT_ID_PATH", boot_id)


@pytest.mark.parametrize("name", GRANT_FILES)
def test_grants_have_the_same_values_when_an_earlier_version_wrote_them(name: str) -> None:
    assert to_plain_value(grant_file.unpack(read_stored_file(name), "web")) == read_recorded_value(name)


@pytest.mark.parametrize("name", GRANT_FILES)
def test_grants_have_the_same_bytes_when_a_restarted_supervisor_writes_them(
    name: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    use_recorded_boot(monkeypatch, tmp_path)
    issuer, error = grant_file.read(STORED_FOLDER / name, "web", 500.0, True)
    grant_file.write(tmp_path / "fleet.grants", issuer, "web")
    assert error == ""
    assert (tmp_path / "fleet.grants").read_bytes() == read_stored_file(f"{name}-rewritten")


def test_grants_of_an_earlier_boot_restore_only_the_epoch_when_they_are_read() -> None:
    issuer, error = grant_file.read(STORED_FOLDER / "fleet-v2.grants", "web", 500.0, True)
    assert (error, issuer.epoch, len(issuer.records)) == ("", 4, 0)
