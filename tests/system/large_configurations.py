#!/usr/bin/env python3
"""Checks that departures and versions are in force in time while large configurations follow one another.

Each reply of the store arrives at the rate of a small machine's link. Followers must receive the versions from the
nodes that they follow.
"""
import contextlib
import re
import sys
import tempfile
import time

from fleet import FleetError, wait_until
from store_deployment import HOSTS, Deployment, Load, check, configuration

READY_TIMEOUT_S = 6
CALLS_PER_S = 40
# Bounds of the deployment, from the store's acknowledgement.
DRAIN_S = 2
CONFIG_S = 2
# Routes that no caller uses: a configuration of some 290 KB.
IDLE_ROUTES = 1500
LINK_BYTES_PER_S = 2_500_000
VERSION_INTERVAL_S = 0.7
VERSIONS = 10


def large_configuration(version):
    """Returns a configuration whose route /a/ stays, with a new route for the version."""
    result = configuration(version)
    used = result["routes"][0]
    prefixes = [f"/idle-{number}/" for number in range(IDLE_ROUTES)] + [f"/v{version}/"]
    result["routes"] += [{**used, "name": prefix, "prefix": prefix} for prefix in prefixes]
    return result


def check_series(deployment, first):
    """A target's entry is removed in the middle of a series of versions."""
    with contextlib.closing(Load(HOSTS, CALLS_PER_S)) as load:
        for number in range(VERSIONS):
            deployment.store.put("op/config", large_configuration(first + number))
            published_at = time.monotonic()
            if number == VERSIONS // 2:
                deployment.store.remove(f"servers/{deployment.targets[0].instance}")
                left_at = time.monotonic()
            time.sleep(VERSION_INTERVAL_S)
        wait_until(lambda: all(deployment.call(host, f"/v{first + VERSIONS - 1}/x")[0] == 200 for host in HOSTS),
                   2 * CONFIG_S, "the last version is in force")
        elapsed_s = time.monotonic() - published_at
        time.sleep(max(left_at + DRAIN_S + 1 - time.monotonic(), 0))
    late = sum(float(request.get("Sent-At", 0)) > left_at + DRAIN_S for request in deployment.targets[0].requests)
    served = [status for _, status in load.statuses].count(200)
    passed = check(elapsed_s < CONFIG_S, f"the last version of a series is in force after {elapsed_s:.2f} s")
    passed &= check(late == 0, f"{late} late requests at the target whose entry was removed")
    return passed & check(served == len(load.statuses), f"{served} of {len(load.statuses)} calls served")


def check_way(deployment):
    """Some node received nearly all versions from a node that it follows."""
    from_feed = max(len(re.findall(r"event=201 .*origin=feed", node.log.read_text())) for node in deployment.nodes)
    return check(from_feed >= VERSIONS / 2, f"a node received {from_feed} versions from a feed")


def main():
    with tempfile.TemporaryDirectory() as directory, contextlib.closing(Deployment(directory)) as deployment:
        for host in HOSTS:
            wait_until(lambda host=host: deployment.ready(host), READY_TIMEOUT_S, f"{host} is ready")
        deployment.store.put("op/config", large_configuration(10))
        wait_until(lambda: all(deployment.call(host, "/v10/x")[0] == 200 for host in HOSTS), READY_TIMEOUT_S,
                   "the large configuration is in force")
        deployment.store.link_bytes_per_s = LINK_BYTES_PER_S
        passed = check_series(deployment, 11)
        passed &= check_way(deployment)
    return 0 if passed else 1


if __name__ == "__main__":
    try:
        sys.exit(main())
    except FleetError as error:
        print(f"FAILED: {error}")
        sys.exit(1)
