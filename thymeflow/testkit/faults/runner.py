"""Playing a schedule from the command line, and saying what the judges found."""

from __future__ import annotations

import shutil
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from thymeflow.testkit.faults.cluster import Rig
from thymeflow.testkit.faults.invariants import judged
from thymeflow.testkit.faults.schedule import Schedule, text_of

SHOWN = 5  # faults of a judge that are written out


def play(schedule: Schedule, say: Any = print, broken: str = "") -> int:
    """Play it once; 0 where no judge found anything, else 1 with the faults and the schedule to play again.

    `broken`: a way in which the limiters are broken on purpose.
    """
    from twisted.internet import reactor

    loop: Any = reactor
    folder = Path(tempfile.mkdtemp(prefix="thymeflow-lab-"))
    rig, crashed = Rig(loop, schedule, folder, broken), list[str]()

    def failed(failure: Any) -> None:
        crashed.append(f"the rig itself: {failure.getTraceback()}")

    loop.callWhenRunning(lambda: rig.play().addErrback(failed).addBoth(lambda _: loop.stop()))
    loop.run()
    found = {"rig": crashed, **judged(rig)} if rig.begun else {"rig": crashed, "ends": rig.stuck}
    for judge, faults in found.items():
        for fault in faults[:SHOWN]:
            say(f"{judge}: {fault}")
        if len(faults) > SHOWN:
            say(f"{judge}: and {len(faults) - SHOWN} more")
    verdicts = Counter(r.verdict.replace(" ", "_") for r in rig.world.agents.results)
    bad = any(found.values())
    if bad:
        say(f"the schedule, to play it again with `thymeflow lab play FILE` (logs in {folder}):\n{text_of(schedule)}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    said = [
        f"requests={sum(verdicts.values())}",
        *(f"{k}={n}" for k, n in sorted(verdicts.items())),
        f"steps={len(rig.done)}",
        *(f"{k}={len(f)}" for k, f in found.items()),
    ]
    say(f"lab play: {' '.join(said)}")
    return int(bad)
