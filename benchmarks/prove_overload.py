"""`make prove-overload`: backends that fail and backends that slow down, met by 3, 12 and 24 members under one load.

One of six backends responds with errors only, is ejected and probed, and recovers; counted at backends and clients.
Then a member is paused for a while and continues with the state it had. Then all backends slow down to half of the
load, and the more requests they queue the longer each takes, while rejected clients send again; half of the members are
killed in that time; then the backends recover. SIZES=3,12 sets other fleet sizes. FAULT_MODE puts in a fault that the
proof has to find: no-coordination has each member eject and probe by itself, no-shedding has no load shed by pressure
or concurrency.
"""

from __future__ import annotations

import os
import sys

from twisted.internet.defer import inlineCallbacks

from benchmarks.frame import Proof
from benchmarks.overload_run import WELL_TIMEOUT_SECONDS, SizeRun
from thymeflow.testkit.async_steps import Steps

FLEET_SIZES = tuple(int(size) for size in os.environ.get("SIZES", "3,12,24").split(","))
MAX_ATTEMPTS_RATIO = 1.5  # into the failing backend, between the largest and the smallest fleet
MAX_ATTEMPTS_PER_REQUEST = 1.15
MAX_RECOVERY_SECONDS = 10.0
MIN_SERVED_PERCENT = 85.0
MIN_GOODPUT_PERCENT = 85.0  # of the capacity
MAX_INVERSIONS_PERCENT = 5.0  # of the rejections


class OverloadProof:
    """All fleet sizes, one after the other."""

    def __init__(self) -> None:
        self.proof = Proof("prove-overload")
        self._runs: list[SizeRun] = []

    @inlineCallbacks
    def run(self) -> Steps:
        """Run all sizes."""
        for member_count in FLEET_SIZES:
            size_run = SizeRun(self.proof, member_count)
            self._runs.append(size_run)
            try:
                yield size_run.run()
            finally:
                size_run.clean_up()
            self.proof.report(size_run.summary())

    def evaluate(self) -> dict[str, str]:
        """Compare the sizes with the bounds, and return the figures of the last line."""
        proof = self.proof
        runs = self._runs
        first = runs[0]
        last = runs[-1]
        ratio = last.bad_attempts_per_second / max(0.01, first.bad_attempts_per_second)
        attempts = max(run.max_attempts_per_request for run in runs)
        recovery_seconds = max(run.recovery_seconds for run in runs)
        served_percent = min(run.served_percent for run in runs)
        goodput_percent = min(run.goodput_percent for run in runs)
        well_seconds = max(run.well_seconds for run in runs)
        inversions_percent = max(run.inversions_percent for run in runs)
        proof.fail_if(
            ratio > MAX_ATTEMPTS_RATIO,
            f"{ratio:.2f} times the attempts at the failing backend with {last.member_count} members",
        )
        proof.fail_if(attempts > MAX_ATTEMPTS_PER_REQUEST, f"{attempts:.3f} attempts per request")
        proof.fail_if(recovery_seconds > MAX_RECOVERY_SECONDS, f"back after {recovery_seconds:.1f} s")
        proof.fail_if(served_percent < MIN_SERVED_PERCENT, f"{served_percent:.1f}% served")
        proof.fail_if(
            goodput_percent < MIN_GOODPUT_PERCENT, f"goodput at {goodput_percent:.1f}% of the capacity in overload"
        )
        proof.fail_if(
            inversions_percent > MAX_INVERSIONS_PERCENT,
            f"{inversions_percent:.1f}% of rejections were within quota while requests over quota were served",
        )
        proof.fail_if(well_seconds >= WELL_TIMEOUT_SECONDS, f"recovered after {well_seconds:.1f} s")
        return {
            f"bad_passes_ratio_{last.member_count}_to_{first.member_count}": f"{ratio:.2f}",
            "bad_passes_s": f"{last.bad_attempts_per_second:.2f}",
            "attempts_per_first_max": f"{attempts:.3f}",
            "back_s": f"{recovery_seconds:.1f}",
            "served_pct": f"{served_percent:.1f}",
            "shed_inversions_pct": f"{inversions_percent:.1f}",
            "recovered_s": f"{well_seconds:.1f}",
            "goodput_pct_of_capacity": f"{goodput_percent:.1f}",
        }


def main() -> int:
    """Run all sizes, and return the exit code."""
    overload_proof = OverloadProof()
    proof = overload_proof.proof
    if not proof.run(overload_proof.run):
        proof.print_failures()
        return proof.exit_code()
    figures = overload_proof.evaluate()
    proof.print_failures()
    proof.print_last_line(figures)
    return proof.exit_code()


if __name__ == "__main__":
    sys.exit(main())
