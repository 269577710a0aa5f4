#!/usr/bin/env python3
"""Proof under failure: sets faults off on real processes, alone and in pairs, and checks what must always hold.

Usage: failures.py [--seed N] [--faults a,b]... [--list short|singles|pairs]

Each scenario starts a fleet of twelve nodes, calls it at a steady rate, sets its faults off and mends them,
publishes a last version, and then compares time lines, the targets' counts and the callers' answers.
"""
import argparse
import itertools
import random
import sys
import time
import traceback

from callers import THESSALONIKI_MIX, Callers, judge
from checks import Observer, overloaded
from faults import FAULTS, run_together
from fleet import Fleet, FleetError, http_call

CALLS_PER_S = 60
CALL_DEADLINE_MS = 2000
# Time beyond a call's deadline in which its final answer must reach the caller on this machine.
ANSWER_SLACK_S = 0.5
CONVERGENCE_S = 10
COLD_TARGETS = ["--cold_requests=40", "--cold_limit=2", "--collapse_factor=20"]

SHORT = [("kill_third",), ("freeze",), ("silence",), ("source_stale",), ("bad_version",), ("zone_out",),
         ("target_reset",), ("leaving_host",), ("planned_stop",), ("zone_race", "kill_third"), ("cut", "source_down"),
         ("silence", "target_reset")]


class Context:
    """What the faults of one scenario share."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.observer = Observer(fleet)
        self.late_runs = 0
        self.frozen = set()
        self.notes = []

    def zone_runs(self, zone):
        counters = self.fleet.counters()
        return sum(counters[node.target_name]["runs"] for node in self.fleet.nodes if node.zone == zone)


def late_answers(calls, frozen):
    """Calls answered too late; a caller connected to a node that was stopped can get no answer until it wakes."""
    return [call for call in calls if call.seconds > CALL_DEADLINE_MS / 1000 + ANSWER_SLACK_S
            and not call.outcome.startswith("connection") and call.host not in frozen]


def find_breaches(context, calls, counters, names):
    """Lists what did not hold, as texts."""
    result = judge(calls, counters)
    breaches = [f"{key}={result[key]}" for key in ("not_whole", "ran_twice", "false_not_run", "answered_not_run")
                if result[key]]
    breaches += [f"{key} applied a version that was not higher" for key in context.observer.steps_back()]
    breaches += [f"{name} was given more than it can bear: {text}" for name, text in overloaded(counters)]
    if context.late_runs:
        breaches.append(f"{context.late_runs} runs where nothing new may run after 3 s")
    late = late_answers(calls, context.frozen)
    if late:
        breaches.append(f"{len(late)} callers were answered late")
    if names == ("planned_stop",) and result["whole"] != result["calls"]:
        breaches.append(f"a planned stop cost {result['calls'] - result['whole']} answers")
    return breaches + context.notes, result


def run_scenario(names, seed):
    """Runs one scenario; returns its breaches and a line of counts."""
    with Fleet("thessaloniki", relays=True, target_options=COLD_TARGETS) as fleet:
        fleet.wait_ready()
        context = Context(fleet, seed)
        with Callers(fleet, THESSALONIKI_MIX, CALLS_PER_S, seed, CALL_DEADLINE_MS) as callers:
            time.sleep(1)
            run_together(context, names)
            fleet.platform.mode("ok")
            fleet.platform.stage("zones", fleet.platform.read("zones") + "\n; last edit\n")
            fleet.platform.commit()
            last = published_version(fleet)
            took = fleet.wait_version(last, CONVERGENCE_S)
            time.sleep(0.5)
        context.observer.read()
        breaches, result = find_breaches(context, callers.calls, fleet.counters(), names)
        counts = " ".join(f"{key}={value}" for key, value in result.items())
        return breaches, f"{counts} converged_s={took:.2f}"


def published_version(fleet):
    text = http_call(fleet.platform.address, "GET", "/manifest")[2].decode()
    return int(next(line for line in text.splitlines() if line.startswith("version")).split("=")[1])


def scenarios(arguments):
    if arguments.faults:
        return [tuple(names.split(",")) for names in arguments.faults]
    lists = {"short": SHORT, "singles": [(name,) for name in FAULTS],
             "pairs": list(itertools.combinations(FAULTS, 2))}
    return lists[arguments.list]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", action="append", help="names of faults that happen together")
    parser.add_argument("--list", choices=["short", "singles", "pairs"], default="short")
    arguments = parser.parse_args()
    failed = 0
    chosen = scenarios(arguments)
    for names in chosen:
        label = "+".join(names)
        try:
            breaches, counts = run_scenario(names, arguments.seed)
        except FleetError as fault:
            breaches, counts = [str(fault)], ""
        except Exception:  # pylint: disable=broad-except
            breaches, counts = [traceback.format_exc()], ""
        failed += bool(breaches)
        print(f"{'FAILED' if breaches else 'ok'} {label} seed={arguments.seed} {counts}", flush=True)
        for breach in breaches:
            print(f"    {breach}", flush=True)
    print(f"{len(chosen) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
