#!/usr/bin/env python3
"""Measures how fast N nodes apply a change, and the cost of distribution. The last line is key=value pairs.

Usage: convergence.py N [--changes C] [--interval S] [--services S --targets T] [--kill] [--full]

Each node is a separate process without a target. A change edits one service. The nodes' timelines record when each
node held and applied it; all processes use the clock of the same machine, so these times are comparable.
"""
import argparse
import pathlib
import re
import statistics
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "system"))

from checks import CONFIGURATION_APPLIED, event_version  # noqa: E402
from fleet import Fleet, applied_version, wait_until  # noqa: E402
from process_cost import cpu_seconds, memory_mb  # noqa: E402

CONFIGURATION_HELD = 200
FIRST_LINK_PORT = 20000
PLATFORM_PORT = 18000
READY_TIMEOUT_S = 90


def generate(directory, nodes, services, targets):
    generator = ROOT / "build" / "tests" / "standin" / "configuration_generator"
    subprocess.run([generator, f"--services={services}", f"--targets={targets}", f"--nodes={nodes}",
                    f"--first_link_port={FIRST_LINK_PORT}", f"--directory={directory}"], check=True,
                   stdout=subprocess.DEVNULL)


def control_bytes(node):
    return sum(value for name, value in node.metrics().items() if re.search(r"control_(sent|received)_bytes", name))


class Changes:
    """Publishes changes at a fixed interval and records the time of each."""

    def __init__(self, fleet, part, interval_s):
        self.fleet = fleet
        self.part = part
        self.text = fleet.platform.read_part(part)
        self.interval_s = interval_s
        self.published = {}

    def publish(self, version):
        self.fleet.platform.stage_part(self.part, f"{self.text}\n; change {version}\n")
        self.published[version] = time.time()
        self.fleet.platform.commit()

    def run(self, first, count, after_publish=lambda index: None):
        start = time.monotonic()
        for index in range(count):
            time.sleep(max(0.0, start + index * self.interval_s - time.monotonic()))
            self.publish(first + index)
            after_publish(index)
        return first + count - 1


def collect(fleet, published, survivors):
    """Returns the seconds from publication until each node applied the change, the milliseconds from holding to
    applying, and the number of changes that were not applied, summed over the nodes."""
    applied = []
    added_ms = []
    missing = 0
    for node in survivors:
        held_ms = {}
        applied_ms = {}
        for event in node.timeline():
            if event["event"] == CONFIGURATION_HELD:
                held_ms[event_version(event)] = event["wall_ms"]
            elif event["event"] == CONFIGURATION_APPLIED:
                applied_ms[event_version(event)] = event["wall_ms"]
        for version, published_at in published.items():
            later = [wall for number, wall in applied_ms.items() if number >= version]
            if not later:
                missing += 1
                continue
            applied.append(min(later) / 1000 - published_at)
        added_ms += [applied_ms[version] - held_ms[version]
                     for version in applied_ms if version in held_ms and version in published]
    return applied, added_ms, missing


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("nodes", type=int)
    parser.add_argument("--changes", type=int, default=8)
    parser.add_argument("--interval", type=float, default=2.4)
    parser.add_argument("--services", type=int, default=60)
    parser.add_argument("--targets", type=int, default=0, help="0 means as many as nodes")
    parser.add_argument("--full", action="store_true", help="use the intended size: 1,300 services, 14,000 targets")
    parser.add_argument("--budget", type=float, default=2000,
                        help="calls per second that the platform can handle; "
                             "2000 * N / 14000 gives each node the same share as at the intended size")
    parser.add_argument("--kill", action="store_true", help="kill a tenth of the nodes in the middle")
    arguments = parser.parse_args()
    services = 1300 if arguments.full else arguments.services
    targets = 14000 if arguments.full else max(arguments.targets or arguments.nodes, arguments.nodes)
    with tempfile.TemporaryDirectory(prefix="dandelionfall-data-") as directory:
        generate(directory, arguments.nodes, services, targets)
        measure(arguments, directory, services, targets)


def measure(arguments, directory, services, targets):
    start = time.monotonic()
    with Fleet(directory=directory, targets=False, platform_port=PLATFORM_PORT,
               settings={"log": {"trace_requests": "false"},
                         "source": {"budget_calls_per_s": str(arguments.budget)}}) as fleet:
        fleet.wait_ready(READY_TIMEOUT_S)
        ready_s = time.monotonic() - start
        version = max(fleet.applied_versions().values())
        time.sleep(3)
        part = "service/" + sorted(path.name for path in (pathlib.Path(directory) / "service").iterdir())[0]
        changes = Changes(fleet, part, arguments.interval)
        survivors = list(fleet.nodes)

        def after_publish(index):
            if arguments.kill and index == arguments.changes // 2:
                for node in fleet.nodes[::10]:
                    node.process.kill()
                    survivors.remove(node)

        counters_before = fleet.platform.counters()
        bytes_before = {node.host: control_bytes(node) for node in fleet.running_nodes()}
        cpu_before = {node.host: cpu_seconds(node.process.pid) for node in fleet.running_nodes()}
        changes_start = time.monotonic()
        last = changes.run(version + 1, arguments.changes, after_publish)
        time.sleep(max(3.0, arguments.interval))
        elapsed = time.monotonic() - changes_start
        cpu = [cpu_seconds(node.process.pid) - cpu_before[node.host] for node in survivors]
        bytes_used = sum(control_bytes(node) - bytes_before[node.host] for node in survivors)
        calls_used = fleet.platform.counters()["calls"] - counters_before["calls"]
        wait_until(lambda: all(applied_version(node.status()) >= last for node in survivors), 30, "last change", 0.2)
        applied, added_ms, missing = collect(fleet, changes.published, survivors)
        report(arguments, services, targets, {
            "ready_s": ready_s, "applied": applied, "added_ms": added_ms, "missing": missing,
            "bytes_s": bytes_used / len(survivors) / elapsed, "calls_s": calls_used / elapsed,
            "rss_mb": max(memory_mb(node.process.pid) for node in survivors),
            "cpu_pct": 100 * statistics.mean(cpu) / elapsed, "cpu_max_pct": 100 * max(cpu) / elapsed,
            "peak_calls": fleet.platform.counters().get("peak_calls_per_s", 0)})


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


def report(arguments, services, targets, results):
    print(f"nodes={arguments.nodes} services={services} targets={targets} killed={int(arguments.kill)} "
          f"changes={arguments.changes} budget={arguments.budget:.0f} ready_s={results['ready_s']:.1f} "
          f"hold_added_ms={quantile(results['added_ms'], 0.99):.0f} "
          f"convergence_p50_ms={1000 * quantile(results['applied'], 0.5):.0f} "
          f"convergence_p99_ms={1000 * quantile(results['applied'], 0.99):.0f} "
          f"convergence_max_ms={1000 * max(results['applied']):.0f} missing={results['missing']} "
          f"control_bytes_per_node_s={results['bytes_s']:.0f} source_calls_s={results['calls_s']:.2f} "
          f"source_peak_calls_s={results['peak_calls']} "
          f"rss_mb_max={results['rss_mb']:.1f} control_cpu_pct={results['cpu_pct']:.2f} "
          f"control_cpu_max_pct={results['cpu_max_pct']:.2f}")


if __name__ == "__main__":
    main()
