"""Invalid configurations: each gives the error text and the exit code that an earlier version gave.

The tests guard against a change of a text or an exit code that operators' tools match. The commands run in this process
and their output is captured; the run line of the platform runs in a process of its own.
"""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from tests.limiter import ROOT, SETTINGS
from thymeflow.cli import thymeflow as main
from thymeflow.platform import configuration
from thymeflow.platform.settings import parse_platform_settings

DATA = Path(__file__).resolve().parents[1] / "data" / "before-rename"
GOOD: dict[str, Any] = {
    "name": "n0", "listen": "127.0.0.1:7000", "discovery": "127.0.0.1:9100", "counter": "127.0.0.1:9200",
    "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
    "known": {"generation": 41, "reset": True, "instances": [
        {"instanceId": "s-00000001", "hostPort": "127.0.0.1:9300", "zone": "east", "lifecycle": "active"}]},
    "settings": SETTINGS,
}  # fmt: skip
CLASS = SETTINGS["classes"][0]
TIER = SETTINGS["tiers-of-service"][0]


def build_platform_json(**replacements: Any) -> str:
    """Return the platform's JSON with some values replaced; a key whose value is None is left out."""
    return json.dumps({key: value for key, value in {**GOOD, **replacements}.items() if value is not None})


def build_json_with_settings(**replacements: Any) -> str:
    """Return the platform's JSON with some of its settings replaced."""
    return build_platform_json(settings={**SETTINGS, **replacements})


def build_json_with_backend(**replacements: Any) -> str:
    """Return the platform's JSON with some values of its only backend replaced."""
    backend = {**GOOD["known"]["instances"][0], **replacements}
    return build_platform_json(known={**GOOD["known"], "instances": [backend]})


PLATFORM_CASES = {
    "good": build_platform_json(),
    "empty": "",
    "cut": '{"listen": ',
    "list": "[]",
    "unknown key": build_platform_json(listn="127.0.0.1:7000"),
    "unknown keys and a bad seed": build_platform_json(seed="xyz", extra=1),
    "listen without port": build_platform_json(listen="127.0.0.1"),
    "listen port too high": build_platform_json(listen="127.0.0.1:65536"),
    "discovery port 0": build_platform_json(discovery="127.0.0.1:0"),
    "counter a number": build_platform_json(counter=9),
    "counter left out": build_platform_json(counter=None),
    "listen left out": build_platform_json(listen=None),
    "settings left out": build_platform_json(settings=None),
    "settings a list": build_platform_json(settings=[]),
    "settings empty": build_platform_json(settings={}),
    "few sockets": build_platform_json(limits={"sockets": 10}),
    "sockets no number": build_platform_json(limits={"sockets": "many"}),
    "limits a list": build_platform_json(limits=[]),
    "memory infinite": '{"limits": {"memory_mb": 1e999}, ' + build_platform_json(limits=None)[1:],
    "known a number": build_platform_json(known=7),
    "known without generation": build_platform_json(known={"instances": []}),
    "known generation a text": build_platform_json(known={"generation": "x", "instances": []}),
    "server without port": build_json_with_backend(hostPort="nowhere"),
    "server without name": build_json_with_backend(instanceId=""),
    "server weight no number": build_json_with_backend(weight="heavy"),
    "server entry a number": build_platform_json(known={"generation": 1, "instances": [7]}),
    "units unknown": build_platform_json(units="lots"),
    "class without name": build_json_with_settings(classes=[{**CLASS, "name": None}]),
    "class without deadline": build_json_with_settings(classes=[{k: v for k, v in CLASS.items() if k != "deadline"}]),
    "class deadline 0": build_json_with_settings(classes=[{**CLASS, "deadline": 0}]),
    "class deadline a text": build_json_with_settings(classes=[{**CLASS, "deadline": "long"}]),
    "class twice": build_json_with_settings(classes=[CLASS, CLASS]),
    "class a text": build_json_with_settings(classes=["look"]),
    "tier negative": build_json_with_settings(**{"tiers-of-service": [{**TIER, "refill": -1.0}]}),
    "tier without name": build_json_with_settings(**{"tiers-of-service": [{"refill": 1.0}]}),
    "tier twice": build_json_with_settings(**{"tiers-of-service": [TIER, TIER]}),
    "rules a number": build_json_with_settings(rules=7),
    "rules negative": build_json_with_settings(rules={"drain-grace": -1.0}),
    "caps null": build_json_with_settings(caps=None),
    "no attempts": build_json_with_settings(caps={**SETTINGS["caps"], "max-attempts": 0}),
    "index beyond the set": build_json_with_settings(index=3),
    "set of none": build_json_with_settings(balancers=0),
    "no zones": build_json_with_settings(azs=[]),
    "step negative": build_json_with_settings(step=-0.002),
}
INI_CASES = {
    "good": "[log]\nform = json\n",
    "unknown section": "[deamon]\nx = 1\n",
    "unknown key": "[log]\nfil = 3\n",
    "key set twice": "[log]\nform = text\nform = json\n",
    "section twice": "[log]\n[log]\n",
    "no section": "form = text\n",
    "no value": "[log]\nform text\nfile\n",
    "unknown choice": "[log]\nform = jsn\n",
    "time without unit": "[snapshot]\nevery = 2   ; a comment\n",
    "time with an unknown unit": "[snapshot]\nevery = 2 parsecs\n",
    "time out of range": "[snapshot]\nevery = 2h\n",
    "no time": "[snapshot]\nevery = soon\n",
    "size out of range": "[log]\nmost-line = 1MB\n",
    "size without unit": "[log]\nmost-line = 4096\n",
    "no whole number": "[fleet]\ninstances = 2.5\n",
    "whole number out of range": "[fleet]\ninstances = 257\n",
    "no switch": "[snapshot]\nkeep = perhaps\n",
    "no address": "[fleet]\nlisten = nowhere\n",
    "no name": "[fleet]\nname = Web_1\n",
    "waits the wrong way round": "[fleet]\nwait = 50s\n",
    "snapshots never fresh": "[snapshot]\nevery = 1m\nfresh = 2s\n",
    "ports too high": "[fleet]\nlisten = 127.0.0.1:65530\ninstances = 9\n",
    "many at once": "[deamon]\n[log]\nform = jsn\nfil = 3\n[overload]\ntogether = x\n[budgets]\ncalls = 0\n",
}
ENVIRONMENT = {"THYMEFLOW_LOG_FROM": "x", "THYMEFLOW_FLEET_INSTANCES": "none"}
RUN_LINE_CASES = [
    "known generation a text",
    "cut",
    "settings a list",
    "counter left out",
    "few sockets",
    "units unknown",
]


def read_recorded_result(kind: str, name: str) -> Any:
    """Return the recorded result of the earlier version for a case."""
    return json.loads((DATA / "bad-configuration.json").read_text())[kind][name]


def assert_as_recorded(kind: str, name: str, found: Any) -> None:
    """Check that a result equals the recorded one; the failure message has the present result."""
    assert found == read_recorded_result(kind, name), f"{kind} {name!r} is now {json.dumps(found)}"


def run_command(folder: Path, *arguments: str, **environment: str) -> list[Any]:
    """Run a command; return its exit code, standard output and standard error, with the path of `folder` replaced."""
    variables = {"BALANCER_CONFIG": "", **environment}
    result = CliRunner().invoke(main, list(arguments), env=variables, prog_name="thymeflow")
    return [result.exit_code, *(text.replace(str(folder), "FOLDER") for text in (result.stdout, result.stderr))]


def write_file(folder: Path, name: str, text: str) -> str:
    """Write a file with a text and return its path."""
    path = folder / name
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize("name", PLATFORM_CASES)
def test_check_prints_the_recorded_text_and_code_when_the_platform_file_is_invalid(name: str, tmp_path: Path) -> None:
    path = write_file(tmp_path, "platform.json", PLATFORM_CASES[name])
    assert_as_recorded("check platform", name, run_command(tmp_path, "check", "--platform", path))


@pytest.mark.parametrize("name", PLATFORM_CASES)
def test_start_fails_with_the_recorded_text_when_the_platform_file_is_invalid(name: str) -> None:
    try:
        found = str(configuration.parse_configuration(json.loads(PLATFORM_CASES[name]), "platform.json", {}).listen)
    except (configuration.ConfigurationError, json.JSONDecodeError) as fault:
        found = str(fault)
    assert_as_recorded("start", name, found)


@pytest.mark.parametrize("name", INI_CASES)
def test_check_prints_the_recorded_text_and_code_when_the_settings_file_is_invalid(name: str, tmp_path: Path) -> None:
    assert_as_recorded(
        "check ini",
        name,
        run_command(tmp_path, "check", "--settings", write_file(tmp_path, "our.ini", INI_CASES[name])),
    )


def test_check_prints_the_recorded_json_when_json_is_requested(tmp_path: Path) -> None:
    # The JSON of a fault has a stable format, with the keys `why` for the cause and `mend` for the remedy.
    settings = write_file(tmp_path, "our.ini", INI_CASES["many at once"])
    platform = write_file(tmp_path, "p.json", '{"seed": "x"}')
    found = [run_command(tmp_path, "check", "--json", "--settings", settings, "--platform", platform)]
    found.append(run_command(tmp_path, "check", "--json"))
    assert_as_recorded("check", "json", found)


def test_check_prints_the_recorded_text_when_the_environment_is_invalid(tmp_path: Path) -> None:
    assert_as_recorded("check", "environment", run_command(tmp_path, "check", **ENVIRONMENT))


def test_check_prints_the_recorded_text_when_a_file_cannot_be_read(tmp_path: Path) -> None:
    latin = tmp_path / "latin"
    latin.write_bytes(b"[log]\nfile = \xe9\n")
    large = write_file(tmp_path, "large", "#" * ((1 << 20) + 1))
    paths = [str(tmp_path / "none"), str(latin), large]
    found = [run_command(tmp_path, "check", "--settings", path) for path in paths]
    found += [run_command(tmp_path, "check", "--platform", path) for path in paths[:2]]
    found.append(run_command(tmp_path, "check", BALANCER_CONFIG=paths[0]))
    assert_as_recorded("check", "files", found)


def test_check_prints_the_recorded_settings_in_force_when_all_is_valid(tmp_path: Path) -> None:
    assert_as_recorded(
        "check",
        "show",
        run_command(tmp_path, "check", "--show", "--settings", write_file(tmp_path, "our.ini", INI_CASES["good"])),
    )


def test_commands_fail_with_the_recorded_text_when_the_settings_are_invalid(tmp_path: Path) -> None:
    settings_path = write_file(tmp_path, "our.ini", INI_CASES["many at once"])
    found = [
        run_command(tmp_path, *arguments, "--settings", settings_path)
        for arguments in (["serve"], ["status", "n0"], ["drain", "n0"], ["fleet", "status"], ["fleet", "up"])
    ]
    found += [run_command(tmp_path, "status", "n0"), run_command(tmp_path, "fleet", "up")]
    found.append(run_command(tmp_path, "fly"))
    assert_as_recorded("check", "commands", found)


@pytest.mark.parametrize("key", ["classes", "tiers-of-service"])
def test_missing_key_is_reported_with_its_position_when_a_second_entry_omits_it(key: str) -> None:
    with pytest.raises(ValueError) as caught:
        parse_platform_settings({**SETTINGS, key: [SETTINGS[key][0], {}]})
    assert_as_recorded("place", key, str(caught.value))


@pytest.mark.parametrize("name", RUN_LINE_CASES)
def test_run_line_exits_with_the_recorded_text_and_code_when_its_file_is_invalid(name: str, tmp_path: Path) -> None:
    path = write_file(tmp_path, "platform.json", PLATFORM_CASES[name])
    completed = subprocess.run(
        [sys.executable, "-m", "thymeflow"], cwd=ROOT, text=True, capture_output=True, env={"BALANCER_CONFIG": path}
    )
    assert_as_recorded(
        "run line", name, [completed.returncode, completed.stdout, completed.stderr.replace(str(tmp_path), "FOLDER")]
    )
