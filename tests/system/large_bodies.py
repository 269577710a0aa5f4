#!/usr/bin/env python3
"""Checks that bodies of many callers at once stay within the memory of a node, and that small requests go on.

Each caller is answered: with the target's response, or with 503 and "not run", which must be true.
"""
import contextlib
import http.client
import pathlib
import sys
import tempfile
import threading
import time

import store_deployment
from fleet import FleetError, http_call, wait_until
from store_deployment import CALLER, HOSTS, OPERATOR, Deployment, Load, check, configuration

READY_TIMEOUT_S = 6
MEMORY_MB = 260
# Share of its memory that a node may have used at most.
MAX_SHARE = 0.8
BODY_BYTES = 6 << 20
CALLERS = (60, 120)
BURSTS = 3
DEADLINE_MS = 4000
# Time beyond the deadline after which a caller gives up.
PATIENCE_S = 20
WORK_S = 0.12
SMALL_CALLS_PER_S = 30
CALM_S = 1


class Caller(threading.Thread):
    """Sends one large body, of stated length or in chunks; `status` is None if it wasn't answered."""

    def __init__(self, path, chunked):
        super().__init__(daemon=True)
        self.path, self.chunked, self.status, self.outcome, self.fault = path, chunked, None, None, None
        self.start()

    def run(self):
        connection = http.client.HTTPConnection(HOSTS[0], CALLER, timeout=DEADLINE_MS / 1000 + PATIENCE_S)
        headers = {"Host": "h.example", "Attempt-Id": "1f", "Deadline-Ms": str(DEADLINE_MS)}
        with contextlib.closing(connection):
            try:
                self.exchange(connection, headers)
            except (OSError, http.client.HTTPException) as error:
                self.fault = repr(error)

    def exchange(self, connection, headers):
        body = bytes(BODY_BYTES)
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            if self.chunked:
                pieces = (body[offset:offset + (1 << 18)] for offset in range(0, BODY_BYTES, 1 << 18))
                connection.request("POST", self.path, body=pieces, headers=headers, encode_chunked=True)
            else:
                connection.request("POST", self.path, body=body, headers=headers)
        response = connection.getresponse()
        response.read()
        self.status, self.outcome = response.status, response.getheader("Not-Executed")


def peak_mb(node):
    """Returns the largest resident memory that the process ever had."""
    if not node.alive():
        raise FleetError(f"{node.name} has ended")
    lines = pathlib.Path(f"/proc/{node.pid}/status").read_text(encoding="ascii").splitlines()
    return int(next(line for line in lines if line.startswith("VmHWM:")).split()[1]) * 1024 / 1e6


def check_burst(deployment, callers, kind):
    for target in deployment.targets:
        target.paths = []
    calls = []
    with contextlib.closing(Load(HOSTS[:1], SMALL_CALLS_PER_S)) as load:
        for burst in range(BURSTS):
            started = [Caller(f"/a/{kind}-{callers}-{burst}-{number}", kind == "chunked") for number in range(callers)]
            for each in started:
                each.join()
            calls += started
        time.sleep(CALM_S)
    peaks = [peak_mb(node) for node in deployment.nodes]
    ran = {path for target in deployment.targets for path in target.paths}
    counts = {status: sum(each.status == status for each in calls) for status in {each.status for each in calls}}
    silent = [each for each in calls if each.status is None]
    untrue = [each for each in calls if each.status == 503 and each.path in ran]
    small = [status for _, status in load.statuses]
    print(f"{BURSTS} times {callers} {kind} bodies: {counts}; silent: {[each.fault for each in silent[:3]]}")
    text = ", ".join(f"{peak:.0f}" for peak in peaks)
    passed = check(max(peaks) <= MAX_SHARE * MEMORY_MB, f"peaks of {text} MB of {MEMORY_MB} MB")
    passed &= check(not silent, f"{len(silent)} of {len(calls)} callers got no answer")
    passed &= check(not untrue, f"{len(untrue)} requests ran and were said not to have run")
    passed &= check(counts.get(200, 0) >= callers / 4, f"{counts.get(200, 0)} of {len(calls)} large requests served")
    return passed & check(small.count(200) >= 0.98 * len(small),
                          f"{small.count(200)} of {len(small)} small requests served in the meantime")


def check_pages(deployment):
    """The operators see the bound and what is held."""
    text = http_call(f"{deployment.nodes[0].name}:{OPERATOR}", "GET", "/metrics")[2].decode()
    values = dict(line.split() for line in text.splitlines() if line and not line.startswith("#"))
    names = [f"dandelionfall_body_{name}" for name in ("held_bytes", "limit_bytes", "refused_total")]
    print(", ".join(f"{name}: {values.get(name)}" for name in names))
    passed = check(all(name in values for name in names), "the metrics show what is held, the bound and the refusals")
    return passed and check(float(values[names[0]]) == 0, "nothing is held after the bursts")


def main():
    store_deployment.MACHINE_SETTINGS[:] = [f"memory_mb = {MEMORY_MB}"]
    with tempfile.TemporaryDirectory() as directory, contextlib.closing(Deployment(directory)) as deployment:
        for target in deployment.targets:
            target.work_s = WORK_S
        config = configuration(5)
        config["routes"][0] |= {"timeout-ms": DEADLINE_MS, "target-latency-ms": DEADLINE_MS, "kind": "non_idempotent"}
        config["limits"]["max-body-bytes"] = 64 << 20
        deployment.store.put("op/config", config)
        for host in HOSTS:
            wait_until(lambda host=host: deployment.ready(host) and deployment.call(host)[0] == 200, READY_TIMEOUT_S,
                       f"{host} is ready")
        print("peaks before: " + ", ".join(f"{peak_mb(node):.0f} MB" for node in deployment.nodes))
        passed = True
        for callers in CALLERS:
            passed &= check_burst(deployment, callers, "whole")
        passed &= check_burst(deployment, CALLERS[0], "chunked")
        passed &= check_pages(deployment)
    return 0 if passed else 1


if __name__ == "__main__":
    try:
        sys.exit(main())
    except FleetError as error:
        print(f"FAILED: {error}")
        sys.exit(1)
