"""One limiter of a test cluster: its process, its discovery service, and the fault proxies on its links."""

from __future__ import annotations

from pathlib import Path

from thymeflow.testkit.fakes import Environment, FakeBackend, FakeDiscovery
from thymeflow.testkit.faults.process import LimiterProcess
from thymeflow.testkit.faults.proxy import FaultProxy
from thymeflow.testkit.faults.schedule import Link, Schedule
from thymeflow.testkit.listener import LOOPBACK_HOST
from thymeflow.testkit.ports import reserve_port
from thymeflow.testkit.types import Address, JsonObject


class LimiterNode:
    """One limiter and its links; each limiter has a discovery service of its own, so that one alone can be cut off."""

    def __init__(
        self, environment: Environment, schedule: Schedule, number: int, folder: Path, fault_mode: str = ""
    ) -> None:
        """Open the proxies; `fault_mode`: the fault to put into the limiter, see `fault_modes`."""
        self.number = number
        self.proxies: dict[Link, list[FaultProxy]] = {link: [] for link in Link}
        self.discovery = FakeDiscovery(environment.reactor, environment.deadlines)
        self._environment = environment
        self.discovery.start()
        for backend in environment.backends:
            self._open_proxy(Link.BACKENDS, backend.address)
        self.discovery.update(*(self.endpoint(backend) for backend in environment.backends))
        discovery_address = self._open_proxy(Link.DISCOVERY, self.discovery.address)
        counter_address = self._open_proxy(Link.COUNTER, environment.counter.address)
        port = reserve_port()
        environment.limiter_addresses[number] = self._open_proxy(Link.CLIENTS, (LOOPBACK_HOST, port))
        config = environment.config(schedule.limiter_count)
        config |= {
            "name": f"n{number}",
            "listen": f"{LOOPBACK_HOST}:{port}",
            "discovery": "{}:{}".format(*discovery_address),
            "counter": "{}:{}".format(*counter_address),
            "known": self.discovery.complete_list(),
            "units": schedule.quota_mode,
        }
        config["settings"] = {**config["settings"], "index": number}
        self.process = LimiterProcess(number, folder, schedule.command, config, fault_mode)

    def _open_proxy(self, link: Link, target: Address) -> Address:
        proxy = FaultProxy(
            self._environment.reactor,
            self._environment.deadlines,
            target,
            is_opened_by_limiter=link is not Link.CLIENTS,
        )
        proxy.start()
        self.proxies[link].append(proxy)
        return proxy.address

    def endpoint(self, backend: FakeBackend, lifecycle: str = "active") -> JsonObject:
        """Return a backend's entry in this limiter's endpoint list: its address is that of the proxy."""
        host, port = self.proxies[Link.BACKENDS][backend.number].address
        return {**backend.endpoint(lifecycle), "hostPort": f"{host}:{port}"}

    def update_known_endpoints(self) -> None:
        """Have the process start with the complete endpoint list from now on."""
        self.process.config["known"] = self.discovery.complete_list()

    def has_refused_connection(self, local_port: int) -> bool:
        """Return whether the limiter refused a client's connection from this port."""
        return local_port in self.proxies[Link.CLIENTS][0].refused_ports
