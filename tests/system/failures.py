#!/usr/bin/env python3
"""Injects faults into real processes, one at a time or together, and checks the invariants of the system.

Usage: failures.py [--seed N] [--faults a,b]... [--list short|singles|pairs]

Each scenario starts a fleet of twelve nodes, calls it at a steady rate, injects its faults and removes them,
publishes a last version, and then compares the nodes' time lines, the targets' counters and the callers' responses.
"""
import argparse
import itertools
import random
import sys
import time
import traceback

from callers import THESSALONIKI_MIX, Callers, count_outcomes
from checks import VersionObserver, overloaded_targets
from faults import FAULTS, run_faults
from fleet import Fleet, FleetError, http_call

CALLS_PER_S = 60
CALL_DEADLINE_MS = 2000
# Time after the deadline of a call in which its final response must reach the caller on the test machine.
LATE_ANSWER_MARGIN_S = 0.5
CONVERGENCE_TIMEOUT_S = 10
COLD_TARGET_OPTIONS = ["--cold_requests=40", "--cold_limit=2", "--collapse_factor=20"]

SHORT_LIST = [("kill_third",), ("freeze",), ("silence",), ("source_stale",), ("bad_version",), ("zone_out",),
         ("target_reset",), ("leaving_host",), ("planned_stop",), ("zone_race", "kill_third"), ("cut", "source_down"),
         ("silence", "target_reset")]


class ScenarioContext:
    """State that the faults of one scenario share."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.observer = VersionObserver(fleet)
        self.runs_after_grace = 0
        self.suspended_hosts = set()
        self.extra_breaches = []

    def count_zone_runs(self, zone):
        counters = self.fleet.counters()
        return sum(counters[node.target_name]["runs"] for node in self.fleet.nodes if node.zone == zone)


def late_calls(calls, suspended_hosts):
    """Returns the calls answered too late, except through nodes that were suspended and could not answer."""
    return [call for call in calls if call.duration_s > CALL_DEADLINE_MS / 1000 + LATE_ANSWER_MARGIN_S
            and not call.outcome.startswith("connection") and call.host not in suspended_hosts]


def find_breaches(context, calls, counters, names):
    """Returns the violated invariants as texts, and the counts of call outcomes."""
    counts = count_outcomes(calls, counters)
    breaches = [f"{key}={counts[key]}" for key in ("not_whole", "ran_twice", "false_not_run", "answered_not_run")
                if counts[key]]
    breaches += [f"{key} applied a version that was not higher than the previous one"
                 for key in context.observer.version_regressions()]
    breaches += [f"{name} received more than it can handle: {text}" for name, text in overloaded_targets(counters)]
    if context.runs_after_grace:
        breaches.append(f"{context.runs_after_grace} runs started more than 3 s after a zone was taken out "
                        "or a host was leaving")
    late = late_calls(calls, context.suspended_hosts)
    if late:
        breaches.append(f"{len(late)} callers were answered late")
    if names == ("planned_stop",) and counts["whole"] != counts["calls"]:
        breaches.append(f"a planned stop lost {counts['calls'] - counts['whole']} responses")
    return breaches + context.extra_breaches, counts


def run_scenario(names, seed):
    """Runs one scenario; returns its breaches and a summary line of key=value pairs."""
    with Fleet("thessaloniki", relays=True, target_options=COLD_TARGET_OPTIONS) as fleet:
        fleet.wait_ready()
        context = ScenarioContext(fleet, seed)
        with Callers(fleet, THESSALONIKI_MIX, CALLS_PER_S, seed, CALL_DEADLINE_MS) as callers:
            time.sleep(1)
            run_faults(context, names)
            fleet.platform.set_mode("ok")
            fleet.platform.stage_part("zones", fleet.platform.read_part("zones") + "\n; last edit\n")
            fleet.platform.commit()
            last = published_version(fleet)
            elapsed_s = fleet.wait_version(last, CONVERGENCE_TIMEOUT_S)
            time.sleep(0.5)
        context.observer.collect()
        breaches, counts = find_breaches(context, callers.calls, fleet.counters(), names)
        summary = " ".join(f"{key}={value}" for key, value in counts.items())
        return breaches, f"{summary} converged_s={elapsed_s:.2f}"


def published_version(fleet):
    text = http_call(fleet.platform.address, "GET", "/manifest")[2].decode()
    return int(next(line for line in text.splitlines() if line.startswith("version")).split("=")[1])


def select_scenarios(arguments):
    if arguments.faults:
        return [tuple(names.split(",")) for names in arguments.faults]
    lists = {"short": SHORT_LIST, "singles": [(name,) for name in FAULTS],
             "pairs": list(itertools.combinations(FAULTS, 2))}
    return lists[arguments.list]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", action="append", help="names of faults to inject together, separated by commas")
    parser.add_argument("--list", choices=["short", "singles", "pairs"], default="short")
    arguments = parser.parse_args()
    failed = 0
    selected = select_scenarios(arguments)
    for names in selected:
        label = "+".join(names)
        try:
            breaches, summary = run_scenario(names, arguments.seed)
        except FleetError as error:
            breaches, summary = [str(error)], ""
        except Exception:  # pylint: disable=broad-except
            breaches, summary = [traceback.format_exc()], ""
        failed += bool(breaches)
        print(f"{'FAILED' if breaches else 'ok'} {label} seed={arguments.seed} {summary}", flush=True)
        for breach in breaches:
            print(f"    {breach}", flush=True)
    print(f"{len(selected) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
