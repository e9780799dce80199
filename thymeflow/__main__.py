"""The platform's start, with nothing imported that it does not use; sub-commands are in `cli`."""

from __future__ import annotations

import gc

gc.disable()  # nothing that is imported is garbage, and looking for it was a twentieth of the start

import importlib.util  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from collections.abc import Callable  # noqa: E402
from typing import Any, NamedTuple  # noqa: E402

from thymeflow.platform import configuration  # noqa: E402
from thymeflow.runtime import log  # noqa: E402

BAD_CONFIGURATION = 2  # exit code
CANNOT_LISTEN = 3  # exit code


class Program(NamedTuple):
    """A limiter that was started, as its signals and its end need it."""

    reload: Callable[[], None]
    terminate: Callable[[], None]
    exit_code: Callable[[], int]


def import_lazily(package: str, name: str) -> None:
    """Load a package's module only once something of it is used, though others import it by name."""
    spec = importlib.util.find_spec(f"{package}.{name}")
    if spec is not None and spec.loader is not None and spec.name not in sys.modules:
        spec.loader = importlib.util.LazyLoader(spec.loader)
        module = sys.modules[spec.name] = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
        setattr(sys.modules[package], name, module)  # found there, an import looks no further into it


def start_limiter(settings: configuration.Configuration, reactor: Any) -> Program:  # noqa: ANN401 (Twisted's reactor)
    """Start the limiter; where operators may call it, one that hands over to a new version under load."""
    if settings.management is None:
        from thymeflow.limiter.assembly import Limiter

        limiter = Limiter(settings, reactor)
        limiter.start()
        lifecycle = limiter.lifecycle
        return Program(lifecycle.reload_settings, lifecycle.terminate, lambda: limiter.exit_code)
    from thymeflow.handover.upgradable_limiter import UpgradableLimiter

    upgradable = UpgradableLimiter(settings, reactor)
    upgradable.start()
    return Program(upgradable.limiter.lifecycle.reload_settings, upgradable.end, upgradable.finish)


def main() -> int:
    """Run until a signal ends it; a configuration that cannot be used is one line and a failure."""
    # The default action of SIGHUP would end the program; one that comes too early to be served is remembered.
    early_reloads: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))
    try:
        settings = configuration.load()
    except configuration.ConfigurationError as fault:
        print(f"thymeflow: bad configuration: {fault}", file=sys.stderr)
        return BAD_CONFIGURATION
    import_lazily("http", "cookiejar")  # with urllib and email behind it a tenth of the start; Twisted only names it
    log.set_up(settings.name)
    from twisted.internet import reactor as installed_reactor
    from twisted.internet.error import CannotListenError  # where the operators' address is taken

    reactor: Any = installed_reactor
    try:
        program = start_limiter(settings, reactor)
    except (CannotListenError, OSError) as fault:
        print(f"thymeflow: cannot listen: {fault}", file=sys.stderr)
        return CANNOT_LISTEN
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(program.terminate))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(program.reload))
    if early_reloads:
        reactor.callFromThread(program.reload)
    gc.freeze()  # what exists by now lasts, and need not be looked through again and again
    gc.enable()
    reactor.run(installSignalHandlers=False)
    return program.exit_code()


def entry() -> int:
    """Run the console command: a sub-command where one is named, else the platform's start."""
    if len(sys.argv) > 1:
        from thymeflow.cli import run

        gc.enable()
        return run()
    return main()


if __name__ == "__main__":
    sys.exit(entry())
