"""The simulator adapter on small samples, and the size limits of the policy files."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from thymeflow import simulator

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = json.dumps(
    {
        "azs": ["east"],
        "balancers": 2,
        "index": 0,
        "zone": "east",
        "step": 0.002,
        "new-key": 1,
        "caps": {"cancel": True, "max-attempts": 3, "may-tell": True, "retry-after": True, "max-retry-after": 1.0},
        "classes": [{"name": "get", "on-time": 1.0, "deadline": 4.0, "effect": "retryable"}],
        "family-info": {"trued-up": True, "most-units": 4, "peer-intake": 50.0},
        "tiers-of-service": [{"name": "basic", "refill": 10.0, "most-at-once": 20.0}],
    }
)
START_BATCH = f"""clock wall=5
at i=4
born salt=7 settings={SETTINGS}
table page=0 nodes-list=1
backend group=0 hw=x az=east rating=1 backend=51 lifecycle=1
membership page=0 how=2 revision=1
end
"""
REQUEST = "incoming rid=00000000000000ab cls=get tier=basic user-key=u:1 remaining=2 weight=3 spread=2 first=0"


def run_adapter(text: str) -> tuple[int, str]:
    out = io.StringIO()
    return simulator.main(io.StringIO(text), out), out.getvalue()


def test_replies_match_byte_for_byte_when_a_short_run_is_sent() -> None:
    code, out = run_adapter(
        START_BATCH + f"clock wall=6\nat i=4\nodd thing=1\n{REQUEST} later=9\nend\n"
        "clock wall=6.25\nat i=4\nattempt_end rid=00000000000000ab round-no=0 backend=51 "
        "reason=1 spent=0.25 over=1 fleet-use=51 billed=2 metrics=active:3,other:1\nend\n"
        "clock wall=7\nend\n"
    )
    assert code == 0
    assert out == (
        "for i=4\narm cookie=1 from-now=0.094787\nready\n"
        "for i=4\narm cookie=2 from-now=0.996000\nissue rid=00000000000000ab backend=51\nready\n"
        "ready\nready\n"
    )


def test_rejection_has_a_retry_delay_and_a_halted_instance_does_not_reply() -> None:
    big = REQUEST.replace("weight=3", "weight=8").replace("ab cls", "ac cls")
    _, out = run_adapter(START_BATCH + f"clock wall=6\nat i=4\n{REQUEST}\n{big}\nhalt\n{REQUEST}\nend\n")
    assert "bounce rid=00000000000000ac not-before-for=" in out
    assert out.count("issue") == 1


@pytest.mark.parametrize(
    "line",
    [
        "incoming rid=1",
        "clock wall=x",
        "at",
        "membership page=9 how=1",
        "born salt=1 settings={",
        "table page=0 nodes-list=x",
        "reminder cookie",
    ],
)
def test_program_ends_with_one_message_when_a_line_is_malformed(line: str, capsys: pytest.CaptureFixture[str]) -> None:
    code, out = run_adapter(START_BATCH + f"clock wall=6\nat i=4\n{line}\nend\n")
    assert code == 1
    assert out.count("ready") == 1
    message = capsys.readouterr().err
    assert message.count("\n") == 1
    assert line in message


def test_exception_line_is_written_when_settings_are_invalid() -> None:
    invalid_settings = SETTINGS.replace('"refill": 10.0', '"refill": -1.0')
    _, out = run_adapter(f"clock wall=5\nat i=4\nborn salt=7 settings={invalid_settings}\nend\n")
    assert out.startswith("for i=4\nexception text=ValueError: settings.tiers-of-service[0].refill: -1.0")


def test_actions_are_the_same_when_the_hash_seed_differs() -> None:
    text = START_BATCH
    for number in range(40):
        line = REQUEST.replace("u:1", f"u:{number % 5}").replace("ab cls", f"{number:02x} cls")
        text += f"clock wall={6 + number / 10}\nat i=4\n{line}\nreminder cookie=1\nend\n"
    replies = {
        subprocess.run(
            [sys.executable, "-m", "thymeflow.simulator"],
            input=text,
            text=True,
            cwd=ROOT,
            capture_output=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in "123"
    }
    assert len(replies) == 1


def test_policy_files_are_within_their_size_limits_when_the_deploy_file_lists_them() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    texts = [(ROOT / path).read_text() for path in deploy["policy"]]
    assert max(len(text.splitlines()) for text in texts) <= 250
    assert max(len(line) for text in texts for line in text.splitlines()) <= 110
    assert "HIP-185" in (ROOT / "thymeflow" / "decision" / "gateway.py").read_text().splitlines()[0]
