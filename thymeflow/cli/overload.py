"""`thymeflow overload`: which servers the fleet leaves alone, on whose word, and who tries them."""

from __future__ import annotations

from typing import Any

import click

from thymeflow.cli.common import asked, folder_of, json_option, printed, settings_of, settings_option
from thymeflow.cli.instance import PATIENCE, state_option


def table(answer: dict[str, Any]) -> str:
    """The cases as a table for people."""
    rows = [
        f"shed is what stands under {answer['level']:.2f} of the order; pressure of the back end is "
        f"{answer['pressure']:.2f}",
        f"{len(answer['members'])} members speak; {answer['left_out']} words were left out; "
        f"a condemned server is tried every {answer['every_s']:g} s by one of them",
    ]
    rows.append(f"{'server':10} {'class':14} {'state':10} {'for s':>8} {'trial':8} {'let in':>6}  on the word of")
    for case in answer["cases"]:
        where = f"zone {case['zone']}" if case["zone"] else f"{case['server']:08x}"
        rows.append(
            f"{where:10} {case['class'] or 'all':14} {case['state']:10} {case['for_s']:8.1f} "
            f"{case['trial'] or '-':8} {case['let_in']:6}  {', '.join(case['words'])}"
        )
    return "\n".join(rows)


@click.command()
@settings_option
@state_option
@json_option
def overload(settings_path: str | None, state: str | None, as_json: bool) -> None:
    """Show which servers the fleet leaves alone, on whose word, and who tries them."""
    answer = asked(folder_of(settings_of(settings_path), state) / "fleet.sock", {"do": "overload"}, PATIENCE)
    printed(answer, as_json, table(answer) if answer.get("ok") else "")
