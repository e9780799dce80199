"""`thymeflow overload`: the ejected backends, the members that reported each of them, and the member that probes it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from thymeflow.cli.control import FLEET_SOCKET, STATUS_TIMEOUT_SECONDS, send_request
from thymeflow.cli.options import ControlOptions, control_options
from thymeflow.cli.output import print_response
from thymeflow.cli.terms import EJECTION_STATES, get_display_term

if TYPE_CHECKING:
    from thymeflow.handover.control_socket import Message


def format_table(response: Message) -> str:
    """Return the ejections as a readable table."""
    rows = [
        f"admission threshold {response['level']:.2f}; pressure of the backends {response['pressure']:.2f}",
        f"{len(response['members'])} members report; {response['left_out']} invalid reports were ignored; "
        f"one member probes an ejected backend every {response['every_s']:g} s",
        f"{'backend':10} {'class':14} {'state':10} {'for s':>8} {'prober':8} {'users':>6}  reported by",
    ]
    rows.extend(_format_ejection(ejection) for ejection in response["cases"])
    return "\n".join(rows)


def _format_ejection(ejection: Message) -> str:
    target = f"zone {ejection['zone']}" if ejection["zone"] else f"{ejection['server']:08x}"
    return (
        f"{target:10} {ejection['class'] or 'all':14} {get_display_term(ejection['state'], EJECTION_STATES):10} "
        f"{ejection['for_s']:8.1f} "
        f"{ejection['trial'] or '-':8} {ejection['let_in']:6}  {', '.join(ejection['words'])}"
    )


@click.command()
@control_options
def overload(options: ControlOptions) -> None:
    """Show the backends that the fleet has ejected, the members that reported them, and the member that probes each."""
    response = send_request(options.find_socket_path(FLEET_SOCKET), {"do": "overload"}, STATUS_TIMEOUT_SECONDS)
    print_response(response, options.as_json, format_table(response) if response.get("ok") else "")
