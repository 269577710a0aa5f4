#!/usr/bin/env python3
"""Takes a small Thessaloniki through its paces: calls, an availability zone out and back, a planned stop.

Exits 0 only if every call was answered whole and each booking ran once.
"""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "tests" / "system"))

from callers import THESSALONIKI_MIX, Callers, judge  # noqa: E402
from fleet import Fleet, wait_until  # noqa: E402

CALLS_PER_S = 100
ZONE = "sindos"


def say(text):
    print(text, flush=True)


def runs_in_zone(fleet, zone):
    counters = fleet.counters()
    return sum(counters[node.target_name]["runs"] for node in fleet.nodes if node.zone == zone)


def zone_out_and_back(fleet):
    version = max(fleet.versions().values())
    fleet.platform.set_zone(ZONE, "out")
    taken = fleet.wait_version(version + 1, 10)
    say(f"availability zone {ZONE} out: in force on all nodes after {taken:.2f} s")
    time.sleep(1)
    before = runs_in_zone(fleet, ZONE)
    time.sleep(1.5)
    after = runs_in_zone(fleet, ZONE)
    say(f"runs in {ZONE} while it is out: {after - before}")
    fleet.platform.set_zone(ZONE, "in")
    taken = fleet.wait_version(version + 2, 10)
    say(f"availability zone {ZONE} back: in force on all nodes after {taken:.2f} s")
    wait_until(lambda: runs_in_zone(fleet, ZONE) > after, 5, f"{ZONE} gets work again")
    say(f"{ZONE} gets work again")
    return after - before


def planned_stop(fleet):
    node = fleet.nodes[-1]
    node.stopping = True
    time.sleep(0.2)
    code = node.process.stop()
    say(f"planned stop of {node.host}: exit code {code}")
    return code


def main():
    with Fleet("thessaloniki") as fleet:
        fleet.wait_ready()
        say(f"{len(fleet.running())} nodes are ready, processes " +
            " ".join(str(node.process.pid) for node in fleet.running()))
        with Callers(fleet, THESSALONIKI_MIX, CALLS_PER_S) as callers:
            time.sleep(1)
            late = zone_out_and_back(fleet)
            code = planned_stop(fleet)
            time.sleep(1)
        result = judge(callers.calls, fleet.counters())
    for call in callers.calls:
        if not call.whole:
            say(f"not whole: {call.method} {call.path} {call.status} {call.outcome} after {call.seconds:.3f} s")
    say(" ".join(f"{key}={value}" for key, value in result.items()))
    good = (result["whole"] == result["calls"] > 0 and result["ran_twice"] == 0 and late == 0 and code == 0)
    say("demo passed" if good else "demo failed")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
