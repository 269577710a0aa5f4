#!/usr/bin/env python3
"""Runs the thessaloniki fleet under load while an availability zone is taken out and back and a node is stopped.

Exits 0 only if every call received its complete response, no booking ran twice, nothing ran in the zone while it was
out, and the stopped node exited with 0.
"""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "tests" / "system"))

from callers import THESSALONIKI_MIX, Callers, count_outcomes  # noqa: E402
from fleet import Fleet, wait_until  # noqa: E402

CALLS_PER_S = 100
ZONE = "sindos"


def report(text):
    print(text, flush=True)


def runs_in_zone(fleet, zone):
    counters = fleet.counters()
    return sum(counters[node.target_name]["runs"] for node in fleet.nodes if node.zone == zone)


def cycle_zone(fleet):
    version = max(fleet.applied_versions().values())
    fleet.platform.set_zone(ZONE, "out")
    elapsed_s = fleet.wait_version(version + 1, 10)
    report(f"availability zone {ZONE} out: applied on all nodes after {elapsed_s:.2f} s")
    time.sleep(1)
    before = runs_in_zone(fleet, ZONE)
    time.sleep(1.5)
    after = runs_in_zone(fleet, ZONE)
    report(f"runs in {ZONE} while it is out: {after - before}")
    fleet.platform.set_zone(ZONE, "in")
    elapsed_s = fleet.wait_version(version + 2, 10)
    report(f"availability zone {ZONE} back: applied on all nodes after {elapsed_s:.2f} s")
    wait_until(lambda: runs_in_zone(fleet, ZONE) > after, 5, f"{ZONE} receives requests again")
    report(f"{ZONE} receives requests again")
    return after - before


def planned_stop(fleet):
    node = fleet.nodes[-1]
    node.stopping = True
    time.sleep(0.2)
    exit_code = node.process.stop()
    report(f"planned stop of {node.host}: exit code {exit_code}")
    return exit_code


def main():
    with Fleet("thessaloniki") as fleet:
        fleet.wait_ready()
        report(f"{len(fleet.running_nodes())} nodes are ready, processes " +
               " ".join(str(node.process.pid) for node in fleet.running_nodes()))
        with Callers(fleet, THESSALONIKI_MIX, CALLS_PER_S) as callers:
            time.sleep(1)
            runs_while_out = cycle_zone(fleet)
            exit_code = planned_stop(fleet)
            time.sleep(1)
        result = count_outcomes(callers.calls, fleet.counters())
    for call in callers.calls:
        if not call.complete:
            report(f"no complete response: {call.method} {call.path} {call.status} {call.outcome} "
                   f"after {call.duration_s:.3f} s")
    report(" ".join(f"{key}={value}" for key, value in result.items()))
    passed = (result["whole"] == result["calls"] > 0 and result["ran_twice"] == 0 and runs_while_out == 0
              and exit_code == 0)
    report("demo passed" if passed else "demo failed")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
