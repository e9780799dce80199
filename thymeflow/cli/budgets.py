"""`thymeflow budgets`: how the fleet limits are divided, and until when each member holds its lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from thymeflow.cli.control import FLEET_SOCKET, STATUS_TIMEOUT, send_request
from thymeflow.cli.options import ControlOptions, control_options
from thymeflow.cli.output import print_response

if TYPE_CHECKING:
    from thymeflow.handover.control_socket import Message


def format_table(response: Message) -> str:
    """Return the division as a table for people, amounts in percent of the fleet limits."""
    total = response["whole"]
    resources = list(response["free"])
    rows = [_format_summary(response, total), _format_header(resources)]
    for name, member in response["members"].items():
        rows.append(_format_member(name, member, resources, total))
    rows.append(_format_free(response["free"], resources, total))
    return "\n".join(rows)


def _format_percent(points: int, total: int) -> str:
    return f"{100.0 * points / total:.1f}"


def _format_summary(response: Message, total: int) -> str:
    base = _format_percent(response["base"], total)
    pool = _format_percent(response["pool"], total)
    fault = f"; THE TABLE IS NOT WRITTEN: {response['fault']}" if response["fault"] else ""
    return f"era {response['era']}; base parts {base}%, pool {pool}% of the whole{fault}"


def _format_header(resources: list[str]) -> str:
    columns = " ".join(f"{f'{resource}: base':>15} {'lent':>6}" for resource in resources)
    return f"{'name':8} {'state':8} {'has grant':>12} {'ends s':>7} {'asks/s':>8} {columns}"


def _format_member(name: str, member: Message, resources: list[str], total: int) -> str:
    epoch, number = member["told"]
    grant = f"{epoch}.{number}" if epoch >= 0 else "-"
    columns = " ".join(
        f"{_format_percent(member['base'][resource], total):>15} {_format_percent(member['lease'][resource], total):>6}"
        for resource in resources
    )
    demand = max(member["demand"])
    return f"{name:8} {member['state']:8} {grant:>12} {member['ends_in_s']:7.2f} {demand:8.1f} {columns}"


def _format_free(free: Message, resources: list[str], total: int) -> str:
    columns = " ".join(
        f"{_format_percent(free[resource]['base'], total):>15} {_format_percent(free[resource]['pool'], total):>6}"
        for resource in resources
    )
    return f"{'free':8} {'':8} {'':>12} {'':>7} {'':>8} {columns}"


@click.command()
@control_options
def budgets(options: ControlOptions) -> None:
    """Show how what the fleet may do is divided among its members."""
    response = send_request(options.socket_path(FLEET_SOCKET), {"do": "budgets"}, STATUS_TIMEOUT)
    print_response(response, options.as_json, format_table(response) if response.get("ok") else "")
