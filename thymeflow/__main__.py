"""The platform's start, with nothing imported that it does not use; sub-commands go to `cli`."""

from __future__ import annotations

import gc

gc.disable()  # nothing that is imported is garbage, and looking for it was a twentieth of the start

import importlib.util  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from collections.abc import Callable  # noqa: E402
from typing import Any  # noqa: E402

from thymeflow.platform import configuration  # noqa: E402
from thymeflow.runtime import log  # noqa: E402


def lazily(package: str, name: str) -> None:
    """Load a package's module only once something of it is used, though others import it by name."""
    spec = importlib.util.find_spec(f"{package}.{name}")
    if spec is not None and spec.loader is not None and spec.name not in sys.modules:
        spec.loader = importlib.util.LazyLoader(spec.loader)
        module = sys.modules[spec.name] = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
        setattr(sys.modules[package], name, module)  # found there, an import looks no further into it


def main() -> int:
    """Run until told to end; a configuration that cannot be used is one line and a failure."""
    # Its default action would end the program; one that comes too early to be served is remembered.
    early: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    try:
        given = configuration.load()
    except configuration.ConfigurationError as fault:
        print(f"thymeflow: bad configuration: {fault}", file=sys.stderr)
        return 2
    lazily("http", "cookiejar")  # with urllib and email behind it a tenth of the start; Twisted only names it
    log.set_up(given.name)
    from twisted.internet import reactor
    from twisted.internet.error import CannotListenError  # of the operators' place

    loop: Any = reactor
    running = None
    try:
        if given.management is None:
            from thymeflow.limiter.assembly import Limiter

            limiter = Limiter(given, loop)
            limiter.start()
            end: Callable[[], None] = limiter.lifecycle.terminate
        else:  # staff run it, and new versions come under load
            from thymeflow.handover.upgradable_limiter import UpgradableLimiter

            running = UpgradableLimiter(given, loop)
            running.start()
            limiter, end = running.limiter, running.end
    except (CannotListenError, OSError) as fault:
        print(f"thymeflow: cannot listen: {fault}", file=sys.stderr)
        return 3
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: loop.callFromThread(end))
    signal.signal(signal.SIGHUP, lambda *_: loop.callFromThread(limiter.lifecycle.reload_settings))
    if early:
        loop.callFromThread(limiter.lifecycle.reload_settings)
    gc.freeze()  # what stands by now lasts, and need not be looked through again and again; nor once, for its garbage
    gc.enable()
    loop.run(installSignalHandlers=False)
    return limiter.code if running is None else running.finish()


def entry() -> int:
    """The console's way in: sub-commands where there are any, else the platform's start."""
    if len(sys.argv) > 1:
        from thymeflow.cli import run

        gc.enable()
        return run()
    return main()


if __name__ == "__main__":
    sys.exit(entry())
