"""The daemon from its start to its end, with its name, sockets, snapshot, limiter, control socket and signals."""

from __future__ import annotations

import contextlib
import gc
import os
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from thymeflow.daemon.activation import take_activation_sockets
from thymeflow.daemon.control_requests import ControlRequestHandler
from thymeflow.daemon.errors import StartError
from thymeflow.daemon.exit_codes import BAD_CONFIGURATION, CANNOT_LISTEN, NAME_TAKEN
from thymeflow.daemon.handover import DaemonHandover
from thymeflow.daemon.instance import Instance, Reactor
from thymeflow.daemon.lock import NameTakenError
from thymeflow.discovery.watch import FIRST_LIST_TIMEOUT
from thymeflow.frontend.listener import bind_listener
from thymeflow.handover.listening_sockets import BadDescriptorError
from thymeflow.handover.sender import HandoverSender
from thymeflow.handover.state_machine import ReceiverEvent, SenderEvent
from thymeflow.limiter.phases import Phase
from thymeflow.platform import configuration
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.settings import Settings, SettingsError
from thymeflow.snapshot import schema


@dataclass(frozen=True, slots=True)
class Options:
    """The options of a start."""

    # The limiter joins a running set, which uses each quota completely already, so token buckets start empty.
    is_joining: bool = False
    # The daemon takes over from a running process of the same name.
    is_taking_over: bool = False


class Service:
    """One limiter as a daemon."""

    def __init__(
        self,
        settings: Settings,
        load_configuration: Callable[[], configuration.Configuration],
        options: Options,
        reactor: Reactor,
        read_settings: Callable[[], Settings],
    ) -> None:
        self._options = options
        self._reactor = reactor
        self._read_settings = read_settings
        self.instance = Instance(settings, load_configuration, options.is_joining, reactor)
        self.last_reload = ""  # A text with the result of the last reload.
        self._requests = ControlRequestHandler(self)
        self._handover = DaemonHandover(self.instance, self._open_control, options.is_taking_over)

    @property
    def sender(self) -> HandoverSender:
        """The sender that hands the instance over to a successor."""
        return self._handover.sender

    def start(self) -> None:
        """Acquire the name and the sockets, restore the snapshot and serve, or request a handover.

        :raises StartError: if the daemon cannot start.
        """
        self._log_start()
        self._make_folder()
        receiver = self._handover.receiver
        if receiver is not None:
            self._build_limiter(None)
            receiver.begin()
            return
        activation_sockets = self._take_sockets_and_name()
        self._build_limiter(self._read_snapshot())
        if cause := self._open_control():
            raise StartError(cause, CANNOT_LISTEN)
        self._listen(activation_sockets)
        self.instance.limiter.connect(clock.now() + FIRST_LIST_TIMEOUT)
        for unused in activation_sockets[1:]:
            log.emit(
                LogKind.SOCKETS,
                f"the service manager passed {unused.getsockname()}, which is not used and is closed",
            )
            unused.close()

    def _log_start(self) -> None:
        instance = self.instance
        instance.log_handler.install()
        log.emit(
            LogKind.START,
            f"incarnation {instance.incarnation} of {instance.name} starts, pid {os.getpid()}",
            joins=self._options.is_joining,
            take_over=self._options.is_taking_over,
        )
        if instance.notifier.error:
            log.emit(LogKind.NOTIFY, instance.notifier.error)

    def _make_folder(self) -> None:
        folder = self.instance.folder
        try:
            folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        except OSError as error:
            message = f"cannot create the folder [daemon] state {folder}: {error.strerror}"
            raise StartError(message, BAD_CONFIGURATION) from None

    def _take_sockets_and_name(self) -> list[socket.socket]:
        instance = self.instance
        try:
            sockets = take_activation_sockets(os.environ, os.getpid())
            instance.acquire_name()
        except BadDescriptorError as error:
            message = f"activation sockets: {error}"
            raise StartError(message, CANNOT_LISTEN) from None
        except NameTakenError as error:
            raise StartError(str(error), NAME_TAKEN) from None
        except OSError as error:
            message = f"cannot lock {instance.get_file_path('lock')}: {error.strerror}"
            raise StartError(message, NAME_TAKEN) from None
        return sockets

    def _read_snapshot(self) -> schema.Snapshot | None:
        instance = self.instance
        snapshot_settings = instance.settings.snapshot
        site = schema.compute_site_digest(instance.configuration.settings)
        return instance.snapshot_file.read_usable(site, snapshot_settings.fresh) if snapshot_settings.keep else None

    def _build_limiter(self, snapshot: schema.Snapshot | None) -> None:
        self.instance.build_limiter(snapshot, self._handover.on_endpoints_known)
        self.instance.limiter.lifecycle.on_phase = self._on_phase

    def _open_control(self) -> str:
        return self.instance.open_control(self._requests.handle)

    def _listen(self, activation_sockets: list[socket.socket]) -> None:
        address = self.instance.configuration.listen
        try:
            listening_socket = (
                activation_sockets[0] if activation_sockets else bind_listener(address.host, address.port)
            )
            self.instance.limiter.listen(listening_socket, was_listening=bool(activation_sockets))
        except OSError as error:
            message = f"cannot listen at {address}: {error.strerror}"
            raise StartError(message, CANNOT_LISTEN) from None

    def install_signal_handlers(self) -> None:
        """Handle signals from now on; signals that arrive before the reactor runs are handled when it starts.

        A process that is notified of READY=1 may send a signal at once, and the reactor starts a moment later.
        """
        for number, handler in ((signal.SIGTERM, self.stop), (signal.SIGINT, self.stop), (signal.SIGHUP, self.reload)):
            signal.signal(number, lambda *_, handler=handler: self._reactor.callFromThread(handler))

    def run(self) -> int:
        """Run the reactor until it stops; return the exit code."""
        self._write_snapshot_at_interval(0)
        self._requests.update_watchers_at_interval()
        gc.collect()
        gc.freeze()
        self._reactor.run(installSignalHandlers=False)
        self._finish()
        return self.instance.exit_code or self.instance.limiter.exit_code

    def _on_phase(self, phase: Phase) -> None:
        instance = self.instance
        if phase is Phase.SERVING:
            start_seconds = clock.now() - instance.started_at
            log.emit(
                LogKind.READY, f"serving since {start_seconds:.3f} s after the start", seconds=round(start_seconds, 3)
            )
            instance.notifier.notify(ready=1, mainpid=os.getpid(), status=f"{instance.name} serves")
        elif phase is Phase.DRAINING:
            instance.notifier.notify(stopping=1, status=f"{instance.name} completes its open requests")
        self._requests.update_watchers()

    def stop(self, linger: float | None = None) -> None:
        """Drain and stop after a signal or a control request; later calls change nothing.

        `linger`: the seconds for which new connections are still accepted; None for the configured time.
        """
        receiver = self._handover.receiver
        if receiver is not None and not receiver.is_serving():
            receiver.step(ReceiverEvent.ABORTED)
            return
        self.sender.step(SenderEvent.SHUTDOWN_REQUESTED)
        self.instance.limiter.lifecycle.terminate(linger)

    def reload(self) -> bool:
        """Read the platform's file and the settings again; a file that cannot be used changes nothing.

        Return whether both have been applied. `last_reload` then has the changes, or the cause of a failure.
        """
        instance = self.instance
        if instance.limiter.lifecycle.phase is Phase.STOPPED:
            return False
        instance.notifier.notify(reloading=1, monotonic_usec=int(clock.monotonic() * 1e6))
        settings_error = self._reload_settings()
        is_reloaded = instance.limiter.reloader.reload_configuration()
        self.last_reload = " | ".join(filter(None, (instance.limiter.reloader.last_result, settings_error)))
        instance.notifier.notify(ready=1)
        self._requests.update_watchers()
        return is_reloaded and not settings_error

    def _reload_settings(self) -> str:
        """Read the settings again; return the cause for which they are unchanged, or an empty string."""
        try:
            settings = self._read_settings()
        except SettingsError as error:
            message = f"the thymeflow settings are unchanged: {' | '.join(map(str, error.faults))}"
            log.emit(LogKind.RELOAD, message)
            return message
        self.instance.apply_reloaded(settings)
        return ""

    def _write_snapshot_at_interval(self, _: int) -> None:
        instance = self.instance
        snapshot_settings = instance.settings.snapshot
        instance.limiter.deadlines.schedule(clock.now() + snapshot_settings.every, self._write_snapshot_at_interval)
        is_serving = instance.limiter.lifecycle.phase is Phase.SERVING
        if snapshot_settings.keep and is_serving and self._handover.is_name_owner():
            instance.snapshot_file.start_write()

    def _finish(self) -> None:
        # After the reactor has stopped, no more requests can be forwarded, so this snapshot is final.
        instance = self.instance
        if instance.control is not None:
            instance.control.close()
        if self._handover.is_name_owner() and instance.lock is not None:
            if instance.settings.snapshot.keep:
                instance.snapshot_file.write_final()
            instance.lock.release()
        instance.log_handler.file.close()


def serve(
    settings: Settings,
    load_configuration: Callable[[], configuration.Configuration],
    options: Options,
    read_settings: Callable[[], Settings],
) -> int:
    """Run one limiter as a daemon; return the exit code."""
    early_signals: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_signals.append(number))
    from twisted.internet import reactor as installed_reactor

    reactor = cast("Reactor", installed_reactor)
    try:
        service = Service(settings, load_configuration, options, reactor, read_settings)
        service.install_signal_handlers()
        service.start()
    except configuration.ConfigurationError as error:
        print(f"thymeflow: bad configuration: {error}", file=sys.stderr)
        return BAD_CONFIGURATION
    except StartError as error:
        print(f"thymeflow: cannot start: {error}", file=sys.stderr)
        return error.exit_code
    if early_signals:
        reactor.callFromThread(service.reload)
    with contextlib.suppress(KeyboardInterrupt):
        return service.run()
    return 0
