"""Start of the limiter by the platform. It imports only what it uses; the sub-commands are in `cli`."""

from __future__ import annotations

import gc

# Imports create no garbage, and garbage collection took a twentieth of the start time.
gc.disable()

import importlib.util  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from collections.abc import Callable  # noqa: E402
from typing import Any, NamedTuple  # noqa: E402

from thymeflow.platform import configuration  # noqa: E402
from thymeflow.runtime import log  # noqa: E402

# Exit codes
BAD_CONFIGURATION = 2
CANNOT_LISTEN = 3


class StartedLimiter(NamedTuple):
    """The functions of a started limiter that the signal handlers and the process exit call."""

    reload: Callable[[], None]
    terminate: Callable[[], None]
    exit_code: Callable[[], int]


def import_lazily(package: str, name: str) -> None:
    """Register a module of a package so that its code is run on the first access to one of its attributes."""
    spec = importlib.util.find_spec(f"{package}.{name}")
    if spec is not None and spec.loader is not None and spec.name not in sys.modules:
        spec.loader = importlib.util.LazyLoader(spec.loader)
        module = sys.modules[spec.name] = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
        setattr(sys.modules[package], name, module)  # an import statement finds it here and does not run it


def start_limiter(settings: configuration.Configuration, reactor: Any) -> StartedLimiter:  # noqa: ANN401 (Twisted's reactor)
    """Start the limiter; with a management address, start one that can hand over to a new version under load."""
    if settings.management is None:
        from thymeflow.limiter.assembly import Limiter

        limiter = Limiter(settings, reactor)
        limiter.start()
        lifecycle = limiter.lifecycle
        return StartedLimiter(lifecycle.reload_settings, lifecycle.terminate, lambda: limiter.exit_code)
    from thymeflow.handover.upgradable_limiter import UpgradableLimiter

    upgradable = UpgradableLimiter(settings, reactor)
    upgradable.start()
    return StartedLimiter(upgradable.limiter.lifecycle.reload_settings, upgradable.end, upgradable.finish)


def main() -> int:
    """Run the limiter until a signal ends it, and return the exit code.

    A configuration that cannot be used is reported as one line on standard error.
    """
    # The default action of SIGHUP would end the program. A SIGHUP before the limiter is started causes a reload
    # after the start.
    early_reloads: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))
    try:
        settings = configuration.load()
    except configuration.ConfigurationError as fault:
        print(f"thymeflow: bad configuration: {fault}", file=sys.stderr)
        return BAD_CONFIGURATION
    # Twisted imports http.cookiejar and does not use it here; with urllib and email it took a tenth of the start time.
    import_lazily("http", "cookiejar")
    log.set_up(settings.name)
    from twisted.internet import reactor as installed_reactor
    from twisted.internet.error import CannotListenError  # raised if the management address is in use

    reactor: Any = installed_reactor
    try:
        started = start_limiter(settings, reactor)
    except (CannotListenError, OSError) as fault:
        print(f"thymeflow: cannot listen: {fault}", file=sys.stderr)
        return CANNOT_LISTEN
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(started.terminate))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(started.reload))
    if early_reloads:
        reactor.callFromThread(started.reload)
    gc.freeze()  # the objects that exist now live until the exit, so the collector need not scan them again
    gc.enable()
    reactor.run(installSignalHandlers=False)
    return started.exit_code()


def entry() -> int:
    """Run the console command: the sub-command if there are arguments, otherwise the limiter."""
    if len(sys.argv) > 1:
        from thymeflow.cli import run

        gc.enable()
        return run()
    return main()


if __name__ == "__main__":
    sys.exit(entry())
