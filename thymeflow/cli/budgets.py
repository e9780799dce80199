"""`thymeflow budgets`: the allocation of the fleet limits, and the time until the lease of each member expires."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from thymeflow.cli.control import FLEET_SOCKET, STATUS_TIMEOUT_SECONDS, send_request
from thymeflow.cli.options import ControlOptions, control_options
from thymeflow.cli.output import print_response
from thymeflow.cli.terms import LEASE_STATES, RESOURCES, get_display_term

if TYPE_CHECKING:
    from thymeflow.handover.control_socket import Message


def format_table(response: Message) -> str:
    """Return the allocations as a readable table, with amounts in percent of the fleet limits."""
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
    write_error = f"; THE GRANT FILE IS NOT WRITTEN: {response['fault']}" if response["fault"] else ""
    return f"epoch {response['era']}; base allocations {base}%, leases {pool}% of the fleet limits{write_error}"


def _format_header(resources: list[str]) -> str:
    columns = " ".join(
        f"{f'{get_display_term(resource, RESOURCES)}: base':>19} {'leased':>6}" for resource in resources
    )
    return f"{'name':8} {'state':13} {'last grant':>12} {'expires s':>9} {'demand/s':>8} {columns}"


def _format_member(name: str, member: Message, resources: list[str], total: int) -> str:
    epoch, number = member["told"]
    grant = f"{epoch}.{number}" if epoch >= 0 else "-"
    columns = " ".join(
        f"{_format_percent(member['base'][resource], total):>19} {_format_percent(member['lease'][resource], total):>6}"
        for resource in resources
    )
    demand = max(member["demand"])
    state = get_display_term(member["state"], LEASE_STATES)
    return f"{name:8} {state:13} {grant:>12} {member['ends_in_s']:9.2f} {demand:8.1f} {columns}"


def _format_free(free: Message, resources: list[str], total: int) -> str:
    columns = " ".join(
        f"{_format_percent(free[resource]['base'], total):>19} {_format_percent(free[resource]['pool'], total):>6}"
        for resource in resources
    )
    return f"{'free':8} {'':13} {'':>12} {'':>9} {'':>8} {columns}"


@click.command()
@control_options
def budgets(options: ControlOptions) -> None:
    """Show how the fleet limits are allocated to the members."""
    response = send_request(options.find_socket_path(FLEET_SOCKET), {"do": "budgets"}, STATUS_TIMEOUT_SECONDS)
    print_response(response, options.as_json, format_table(response) if response.get("ok") else "")
