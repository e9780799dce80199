"""`thymeflow budgets`: what the fleet as a whole may do, and who holds which part of it until when."""

from __future__ import annotations

from typing import Any

import click

from thymeflow.cli.common import asked, folder_of, json_option, printed, settings_of, settings_option
from thymeflow.cli.instance import PATIENCE, state_option


def table(answer: dict[str, Any]) -> str:
    """The division as a table for people, amounts in percent of the whole."""

    def percent(points: int) -> str:
        return f"{100.0 * points / answer['whole']:.1f}"

    rows = [
        f"era {answer['era']}; base parts {percent(answer['base'])}%, pool {percent(answer['pool'])}% of the whole"
        + (f"; THE TABLE IS NOT WRITTEN: {answer['fault']}" if answer["fault"] else "")
    ]
    kinds = list(answer["free"])
    rows.append(
        f"{'name':8} {'state':8} {'has grant':>12} {'ends s':>7} {'asks/s':>8} "
        + " ".join(f"{f'{kind}: base':>15} {'lent':>6}" for kind in kinds)
    )
    for name, row in answer["members"].items():
        era, number = row["told"]
        has = f"{era}.{number}" if era >= 0 else "-"
        rows.append(
            f"{name:8} {row['state']:8} {has:>12} {row['ends_in_s']:7.2f} {max(row['demand']):8.1f} "
            + " ".join(f"{percent(row['base'][k]):>15} {percent(row['lease'][k]):>6}" for k in kinds)
        )
    rows.append(
        f"{'free':8} {'':8} {'':>12} {'':>7} {'':>8} "
        + " ".join(f"{percent(answer['free'][k]['base']):>15} {percent(answer['free'][k]['pool']):>6}" for k in kinds)
    )
    return "\n".join(rows)


@click.command()
@settings_option
@state_option
@json_option
def budgets(settings_path: str | None, state: str | None, as_json: bool) -> None:
    """Show how what the fleet may do is divided among its members."""
    answer = asked(folder_of(settings_of(settings_path), state) / "fleet.sock", {"do": "budgets"}, PATIENCE)
    printed(answer, as_json, table(answer) if answer.get("ok") else "")
