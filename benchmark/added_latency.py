#!/usr/bin/env python3
"""Measures the latency that two nodes add to a call; see latency_probe.cpp. The last line is key=value pairs."""
import os
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "system"))

from fleet import Fleet  # noqa: E402
from process_cost import cpu_seconds  # noqa: E402

RATE = os.environ.get("RATE", "371")
SECONDS = os.environ.get("SECONDS_RUN", "10")


def main():
    # All calls go to one target and enter at the node of another, so these two nodes are in the path of each call.
    with Fleet("thessaloniki", settings={"log": {"trace_requests": "false"}},
               target_options=["--service_ms=0", "--connect_cost_ms=0"]) as fleet:
        fleet.wait_ready()
        target = fleet.targets["slotboard-1"]
        ingress = next(node for node in fleet.nodes if node.target_name == "escortdesk-1")
        time.sleep(1)
        cpu_before = [cpu_seconds(node.process.pid) for node in fleet.nodes]
        run = subprocess.run([fleet.build_directory / "benchmark" / "latency_probe", f"--direct={target.address}",
                              f"--carried={ingress.caller_address}", f"--rate={RATE}", f"--seconds={SECONDS}"],
                             capture_output=True, text=True, check=True)
        cpu_s = sum(cpu_seconds(node.process.pid) for node in fleet.nodes) - sum(cpu_before)
        calls = float(RATE) * float(SECONDS)
        print(run.stdout.strip() + f" rate={RATE} calls_s_per_core={calls / max(cpu_s, 1e-3):.0f}")


if __name__ == "__main__":
    main()
