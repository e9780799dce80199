"""The registry and a member's configuration: the files equal those that an earlier version wrote."""

from __future__ import annotations

import json
from pathlib import Path

from tests.recorded_messages import ALLOCATION
from tests.stored_files import STORED_FOLDER, read_recorded_value, read_stored_file, to_plain_value
from thymeflow.fleet import registry
from thymeflow.platform import configuration

MASKED_SEED = b"5eed5eed5eed5eed"


def write_member_with_masked_seed(folder: Path) -> bytes:
    """Write a member's configuration as the supervisor does; return the content with the random seed masked."""
    names = registry.FleetNames(folder, "web")
    template = registry.read_template(STORED_FOLDER / "platform.json")
    registry.write_member_configuration(names, template, "127.0.0.1:7402", 2, 3, ALLOCATION)
    written = names.path(2, "json").read_bytes()
    return written.replace(json.loads(written)["seed"].encode(), MASKED_SEED)


def test_registry_has_the_recorded_values_and_the_same_bytes_when_an_earlier_version_wrote_it(tmp_path: Path) -> None:
    content = registry.read_registry(STORED_FOLDER / "fleet.json")
    assert content is not None
    assert to_plain_value(content) == read_recorded_value("fleet.json")
    registry.write_registry(tmp_path / "fleet.json", content)
    assert (tmp_path / "fleet.json").read_bytes() == read_stored_file("fleet.json")


def test_registry_is_read_when_it_has_no_operation() -> None:
    content = registry.read_registry(STORED_FOLDER / "fleet-no-order.json")
    assert to_plain_value(content) == read_recorded_value("fleet-no-order.json")


def test_member_configuration_has_the_same_bytes_when_the_supervisor_writes_it(tmp_path: Path) -> None:
    assert write_member_with_masked_seed(tmp_path) == read_stored_file("web2.json")


def test_member_configuration_has_the_same_values_when_a_member_reads_it() -> None:
    content = configuration.parse_configuration(json.loads(read_stored_file("web2.json")), "web2.json", {})
    assert to_plain_value(content) == read_recorded_value("web2.json")
