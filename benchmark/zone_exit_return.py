#!/usr/bin/env python3
"""Measures service while an availability zone is drained and returns, on real processes with targets that start cold.

Usage: zone_exit_return.py [--deployment thessaloniki|kerala] [--seconds S] [--share 0.6] [--seed N]

The call rate is a share of the capacity that remains when the availability zone is out. The targets of that zone become
cold again while it is out, so they collapse if they get full load on its return. The last line is key=value pairs.
"""
import argparse
import pathlib
import re
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "system"))

from fleet import Fleet  # noqa: E402

SERVICE_MS = 20
PRESET_ZONE = {"thessaloniki": "sindos", "kerala": "thrissur"}
COLD_RUNS = 40
# Time after a zone is taken out, after which runs there count as late.
GRACE_S = 3.0


def service_shares(deployment):
    """Returns each service's share of the calls of a preset, from the table in src/app/load_plan.cpp."""
    text = (ROOT / "src" / "app" / "load_plan.cpp").read_text(encoding="utf-8")
    weights = {}
    for service, weight in re.findall(r'LoadCall\{"\w+", "/(\w+)[^"]*", ([\d.]+)', text):
        weights[service] = weights.get(service, 0.0) + float(weight)
    names = {path.name for path in (ROOT / "tests/standin/data" / deployment / "service").iterdir()}
    total = sum(value for name, value in weights.items() if name in names)
    return {name: value / total for name, value in weights.items() if name in names}


def capacity(fleet, zone, deployment):
    """Returns the calls per second of the preset at which the first service outside the zone reaches its capacity."""
    slots = {}
    for node in fleet.nodes:
        if node.zone != zone:
            service = node.target_name.rsplit("-", 1)[0]
            slots[service] = slots.get(service, 0) + fleet.targets[node.target_name].slots
    return min(slots[name] * 1000 / SERVICE_MS / share for name, share in service_shares(deployment).items())


def zone_runs(fleet, zone):
    counters = fleet.counters()
    return sum(counters[node.target_name]["runs"] for node in fleet.nodes if node.zone == zone)


class Load:
    """Runs the load generator of the program in the background."""

    def __init__(self, fleet, deployment, rate, seconds, seed):
        addresses = [node.caller_address for node in fleet.nodes]
        self.process = subprocess.Popen([fleet.build_directory / "dandelionfall", "load", f"--preset={deployment}",
                                         f"--rate={rate:.0f}", f"--duration_s={seconds:.0f}", f"--seed={seed}", "--connections=1000",
                                         *addresses], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        self.lines = []
        self.reader = threading.Thread(target=self._read)
        self.reader.start()

    def _read(self):
        self.lines = self.process.stdout.read().splitlines()

    def finish(self):
        self.process.wait()
        self.reader.join()
        return dict(pair.split("=", 1) for pair in self.lines[-1].split() if "=" in pair), self.lines


def cycle_zone(fleet, zone):
    """Drains the zone, makes its targets cold, and returns it to service.

    Returns the number of runs in the zone during the 2 s after the grace time.
    """
    fleet.platform.set_zone(zone, "out")
    time.sleep(GRACE_S)
    before = zone_runs(fleet, zone)
    time.sleep(2)
    late = zone_runs(fleet, zone) - before
    for node in fleet.nodes:
        if node.zone == zone:
            fleet.targets[node.target_name].set_mode("cold")
    fleet.platform.set_zone(zone, "in")
    return late


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--deployment", choices=sorted(PRESET_ZONE), default="thessaloniki")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--share", type=float, default=0.6)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    zone = PRESET_ZONE[arguments.deployment]
    options = [f"--service_ms={SERVICE_MS}", f"--cold_requests={COLD_RUNS}", "--cold_limit=2", "--collapse_factor=10"]
    with Fleet(arguments.deployment, target_options=options, settings={"log": {"trace_requests": "false"}}) as fleet:
        fleet.wait_ready()
        rate = arguments.share * capacity(fleet, zone, arguments.deployment)
        warm = Load(fleet, arguments.deployment, rate / 4, 8, arguments.seed + 1)
        warm.finish()
        before = fleet.counters()
        load = Load(fleet, arguments.deployment, rate, arguments.seconds, arguments.seed)
        time.sleep(3)
        late = cycle_zone(fleet, zone)
        result, lines = load.finish()
        counters = fleet.counters()
    print("\n".join(lines))
    report(arguments, rate, late, result, before, counters)


def report(arguments, rate, late, result, before, counters):
    runs = {}
    for values in counters.values():
        for booking, count in values["runs_by_booking"].items():
            runs[booking] = runs.get(booking, 0) + count
    over = sum(counters[name][key] - before[name][key] for name in counters
               for key in ("over_slots", "over_cold_limit", "connections_refused"))
    print(f"deployment={arguments.deployment} rate={rate:.0f} dispatched_after_3s={late} "
          f"ran_twice={sum(count > 1 for count in runs.values())} over_limit={over} "
          + " ".join(f"{key}={value}" for key, value in result.items()))


if __name__ == "__main__":
    main()
