"""Bad configurations: each has the same text and the same exit code as an earlier version gave it.

The commands run in this process, with their output caught; what the platform's run line says is taken from a process.
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


def changed(**parts: Any) -> str:
    """The platform's JSON with some parts of it changed; those that are None are left out."""
    return json.dumps({key: value for key, value in {**GOOD, **parts}.items() if value is not None})


def with_settings(**parts: Any) -> str:
    """The platform's JSON with some of its settings changed."""
    return changed(settings={**SETTINGS, **parts})


def with_server(**parts: Any) -> str:
    """The platform's JSON with its one server changed."""
    server = {**GOOD["known"]["instances"][0], **parts}
    return changed(known={**GOOD["known"], "instances": [server]})


PLATFORM = {
    "good": changed(),
    "empty": "",
    "cut": '{"listen": ',
    "list": "[]",
    "unknown key": changed(listn="127.0.0.1:7000"),
    "unknown keys and a bad seed": changed(seed="xyz", extra=1),
    "listen without port": changed(listen="127.0.0.1"),
    "listen port too high": changed(listen="127.0.0.1:65536"),
    "discovery port 0": changed(discovery="127.0.0.1:0"),
    "counter a number": changed(counter=9),
    "counter left out": changed(counter=None),
    "listen left out": changed(listen=None),
    "settings left out": changed(settings=None),
    "settings a list": changed(settings=[]),
    "settings empty": changed(settings={}),
    "few sockets": changed(limits={"sockets": 10}),
    "sockets no number": changed(limits={"sockets": "many"}),
    "limits a list": changed(limits=[]),
    "memory infinite": '{"limits": {"memory_mb": 1e999}, ' + changed(limits=None)[1:],
    "known a number": changed(known=7),
    "known without generation": changed(known={"instances": []}),
    "known generation a text": changed(known={"generation": "x", "instances": []}),
    "server without port": with_server(hostPort="nowhere"),
    "server without name": with_server(instanceId=""),
    "server weight no number": with_server(weight="heavy"),
    "server entry a number": changed(known={"generation": 1, "instances": [7]}),
    "units unknown": changed(units="lots"),
    "class without name": with_settings(classes=[{**CLASS, "name": None}]),
    "class without deadline": with_settings(classes=[{k: v for k, v in CLASS.items() if k != "deadline"}]),
    "class deadline 0": with_settings(classes=[{**CLASS, "deadline": 0}]),
    "class deadline a text": with_settings(classes=[{**CLASS, "deadline": "long"}]),
    "class twice": with_settings(classes=[CLASS, CLASS]),
    "class a text": with_settings(classes=["look"]),
    "tier negative": with_settings(**{"tiers-of-service": [{**TIER, "refill": -1.0}]}),
    "tier without name": with_settings(**{"tiers-of-service": [{"refill": 1.0}]}),
    "tier twice": with_settings(**{"tiers-of-service": [TIER, TIER]}),
    "rules a number": with_settings(rules=7),
    "rules negative": with_settings(rules={"drain-grace": -1.0}),
    "caps null": with_settings(caps=None),
    "no attempts": with_settings(caps={**SETTINGS["caps"], "max-attempts": 0}),
    "index beyond the set": with_settings(index=3),
    "set of none": with_settings(balancers=0),
    "no zones": with_settings(azs=[]),
    "step negative": with_settings(step=-0.002),
}
INI = {
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
RUN_LINE = ["known generation a text", "cut", "settings a list", "counter left out", "few sockets", "units unknown"]


def expected(kind: str, name: str) -> Any:
    """The text and the exit code that the earlier version gave."""
    return json.loads((DATA / "bad-configuration.json").read_text())[kind][name]


def same(kind: str, name: str, found: Any) -> None:
    """The text and the exit code are what the earlier version gave; else the present ones are printed."""
    assert found == expected(kind, name), f"{kind} {name!r} is now {json.dumps(found)}"


def command(folder: Path, *words: str, **environment: str) -> list[Any]:
    """Exit code, standard output and standard error of a command, without the path of its folder."""
    clean = {"BALANCER_CONFIG": "", **environment}
    result = CliRunner().invoke(main, list(words), env=clean, prog_name="thymeflow")
    return [result.exit_code, *(text.replace(str(folder), "FOLDER") for text in (result.stdout, result.stderr))]


def written(folder: Path, name: str, text: str) -> str:
    """A file with that text: its path."""
    path = folder / name
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize("name", PLATFORM)
def test_check_prints_the_recorded_text_and_code_when_the_platform_file_is_invalid(name: str, tmp_path: Path) -> None:
    path = written(tmp_path, "platform.json", PLATFORM[name])
    same("check platform", name, command(tmp_path, "check", "--platform", path))


@pytest.mark.parametrize("name", PLATFORM)
def test_start_fails_with_the_recorded_text_when_the_platform_file_is_invalid(name: str) -> None:
    try:
        found = str(configuration.parse_configuration(json.loads(PLATFORM[name]), "platform.json", {}).listen)
    except (configuration.ConfigurationError, json.JSONDecodeError) as fault:
        found = str(fault)
    same("start", name, found)


@pytest.mark.parametrize("name", INI)
def test_check_prints_the_recorded_text_and_code_when_the_settings_file_is_invalid(name: str, tmp_path: Path) -> None:
    same("check ini", name, command(tmp_path, "check", "--settings", written(tmp_path, "our.ini", INI[name])))


def test_check_prints_the_recorded_json_when_json_is_requested(tmp_path: Path) -> None:
    settings = written(tmp_path, "our.ini", INI["many at once"])
    platform = written(tmp_path, "p.json", '{"seed": "x"}')
    found = [command(tmp_path, "check", "--json", "--settings", settings, "--platform", platform)]
    found.append(command(tmp_path, "check", "--json"))
    same("check", "json", found)


def test_check_prints_the_recorded_text_when_the_environment_is_invalid(tmp_path: Path) -> None:
    same("check", "environment", command(tmp_path, "check", **ENVIRONMENT))


def test_check_prints_the_recorded_text_when_a_file_cannot_be_read(tmp_path: Path) -> None:
    latin = tmp_path / "latin"
    latin.write_bytes(b"[log]\nfile = \xe9\n")
    large = written(tmp_path, "large", "#" * ((1 << 20) + 1))
    paths = [str(tmp_path / "none"), str(latin), large]
    found = [command(tmp_path, "check", "--settings", path) for path in paths]
    found += [command(tmp_path, "check", "--platform", path) for path in paths[:2]]
    found.append(command(tmp_path, "check", BALANCER_CONFIG=paths[0]))
    same("check", "files", found)


def test_check_prints_the_recorded_settings_in_force_when_all_is_valid(tmp_path: Path) -> None:
    same("check", "show", command(tmp_path, "check", "--show", "--settings", written(tmp_path, "our.ini", INI["good"])))


def test_commands_fail_with_the_recorded_text_when_the_settings_are_invalid(tmp_path: Path) -> None:
    bad = written(tmp_path, "our.ini", INI["many at once"])
    found = [
        command(tmp_path, *words, "--settings", bad)
        for words in (["serve"], ["status", "n0"], ["drain", "n0"], ["fleet", "status"], ["fleet", "up"])
    ]
    found += [command(tmp_path, "status", "n0"), command(tmp_path, "fleet", "up")]
    found.append(command(tmp_path, "fly"))
    same("check", "commands", found)


@pytest.mark.parametrize("key", ["classes", "tiers-of-service"])
def test_missing_key_is_reported_with_its_place_when_a_later_entry_lacks_it(key: str) -> None:
    with pytest.raises(ValueError) as caught:
        parse_platform_settings({**SETTINGS, key: [SETTINGS[key][0], {}]})
    same("place", key, str(caught.value))


@pytest.mark.parametrize("name", RUN_LINE)
def test_run_line_exits_with_the_recorded_text_and_code_when_its_file_is_invalid(name: str, tmp_path: Path) -> None:
    path = written(tmp_path, "platform.json", PLATFORM[name])
    done = subprocess.run(
        [sys.executable, "-m", "thymeflow"], cwd=ROOT, text=True, capture_output=True, env={"BALANCER_CONFIG": path}
    )
    same("run line", name, [done.returncode, done.stdout, done.stderr.replace(str(tmp_path), "FOLDER")])
