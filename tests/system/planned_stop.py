#!/usr/bin/env python3
"""Checks that a planned stop cuts off no request that it passed on, also if requests take long.

Callers go on using their open connections until the process is gone; it is killed at the end of the grace time.
"""
import contextlib
import http.client
import signal
import sys
import tempfile
import threading
import time

import store_deployment
from fleet import FleetError, wait_until
from store_deployment import CALLER, HOSTS, Deployment, check, configuration

READY_TIMEOUT_S = 6
GRACE_S = 6
WORK_S = 5
DEADLINE_MS = 9000
CALLERS = 40
# Moments after SIGTERM at which callers send their requests, evenly spread.
FIRST_S, LAST_S = 0.2, 2.6
LINGER_MS = 2700
SHORT_WORK_S = 0.2
SHORT_CALLERS = 8
CALM_S = 4
RETRY_S = 0.05


class Caller(threading.Thread):
    """Opens a connection, uses it once, and uses it again some time after the node was asked to stop."""

    def __init__(self, number, host, kind):
        super().__init__(daemon=True)
        self.path, self.after_s = f"/{kind}/{number}", FIRST_S + (LAST_S - FIRST_S) * number / CALLERS
        self.connection = http.client.HTTPConnection(host, CALLER, timeout=2 * GRACE_S)
        self.stopped, self.status, self.fault = threading.Event(), None, None
        self.connection.connect()

    def run(self):
        self.stopped.wait()
        time.sleep(self.after_s)
        try:
            self.connection.request("GET", self.path, headers={
                "Host": "h.example", "Attempt-Id": "1f", "Deadline-Ms": str(DEADLINE_MS)})
            response = self.connection.getresponse()
            response.read()
            self.status = response.status
        except (OSError, http.client.HTTPException) as error:
            self.fault = repr(error)


class RepeatingCaller(threading.Thread):
    """Makes one request after the other, on the same connection while the node keeps it open, until the node is gone.

    `answers` holds the time and the status of each request, no status if it was not answered.
    """

    def __init__(self, number, host, kind):
        super().__init__(daemon=True)
        self.prefix, self.answers = f"/{kind}/{number}", []
        self.connection = http.client.HTTPConnection(host, CALLER, timeout=2 * GRACE_S)

    def run(self):
        while True:
            path, sent_at, status = f"{self.prefix}-{len(self.answers)}", time.monotonic(), None
            with contextlib.suppress(OSError, http.client.HTTPException):
                self.connection.request("GET", path, headers={
                    "Host": "h.example", "Attempt-Id": "1f", "Deadline-Ms": str(DEADLINE_MS)})
                response = self.connection.getresponse()
                response.read()
                status = response.status
            self.answers.append((sent_at, status, path))
            if status is None:
                return
            if status != 200:
                time.sleep(RETRY_S)


def long_routes():
    result = configuration(5)
    used = {**result["routes"][0], "timeout-ms": 2 * DEADLINE_MS, "target-latency-ms": 2 * DEADLINE_MS}
    result["routes"] = [{**used, "name": kind, "prefix": f"/{kind}/", "kind": kind}
                        for kind in ("idempotent", "non_idempotent")]
    return result


def check_stop(deployment):
    deployment.store.put("op/config", long_routes())
    wait_until(lambda: deployment.call(HOSTS[0], "/idempotent/x")[0] == 200, READY_TIMEOUT_S, "the routes are in force")
    for target in deployment.targets:
        target.work_s, target.paths = WORK_S, []
    callers = [Caller(number, HOSTS[1], ("idempotent", "non_idempotent")[number % 2]) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    node = deployment.nodes[1]
    node.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    for caller in callers:
        caller.stopped.set()
    with contextlib.suppress(Exception):
        node.child.wait(GRACE_S)
    killed = node.alive()
    if killed:
        node.kill()
    elapsed_s = time.monotonic() - stopped_at
    for caller in callers:
        caller.join()
    ran = {path for target in deployment.targets for path in target.paths}
    cut = [caller for caller in callers if caller.status is None and caller.path in ran]
    untrue = [caller for caller in callers if caller.status == 503 and caller.path in ran]
    rejected = [caller for caller in callers if caller.status == 503]
    passed = check(not killed, f"the node ended by itself after {elapsed_s:.2f} s")
    passed &= check(not cut, f"{len(cut)} requests were passed on and cut off: {[each.fault for each in cut[:2]]}")
    passed &= check(not untrue, f"{len(untrue)} requests ran and were said not to have run")
    return passed & check(rejected, f"{len(rejected)} of {CALLERS} requests were rejected as not run")


def check_short_requests(deployment):
    """Requests that will be answered long before the process ends are served, though their deadlines lie later."""
    deployment.store.put("op/config", long_routes())
    wait_until(lambda: deployment.call(HOSTS[0], "/idempotent/x")[0] == 200, READY_TIMEOUT_S, "the routes are in force")
    for target in deployment.targets:
        target.work_s, target.paths = SHORT_WORK_S, []
    callers = [RepeatingCaller(number, HOSTS[1], ("idempotent", "non_idempotent")[number % 2])
               for number in range(SHORT_CALLERS)]
    for caller in callers:
        caller.start()
    time.sleep(CALM_S)
    node = deployment.nodes[1]
    node.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    with contextlib.suppress(Exception):
        node.child.wait(GRACE_S)
    killed = node.alive()
    if killed:
        node.kill()
    for caller in callers:
        caller.join()
    ran = {path for target in deployment.targets for path in target.paths}
    answers = [answer for caller in callers for answer in caller.answers]
    cut = [answer for answer in answers if answer[1] is None and answer[2] in ran]
    untrue = [answer for answer in answers if answer[1] == 503 and answer[2] in ran]
    during = [status for sent_at, status, _ in answers if FIRST_S <= sent_at - stopped_at <= LAST_S]
    passed = check(not killed, "the node ended by itself")
    passed &= check(not cut, f"{len(cut)} short requests were passed on and cut off")
    passed &= check(not untrue, f"{len(untrue)} short requests ran and were said not to have run")
    return passed & check(during and set(during) == {200},
                          f"{during.count(200)} of {len(during)} short requests are served during the stop")


def play(scenario):
    with tempfile.TemporaryDirectory() as directory, contextlib.closing(Deployment(directory)) as deployment:
        for host in HOSTS:
            wait_until(lambda host=host: deployment.ready(host), READY_TIMEOUT_S, f"{host} is ready")
        return scenario(deployment)


def main():
    store_deployment.STOP_SETTINGS = [f"linger_ms = {LINGER_MS}", f"grace_s = {GRACE_S}"]
    passed = play(check_stop)
    passed &= play(check_short_requests)
    return 0 if passed else 1


if __name__ == "__main__":
    try:
        sys.exit(main())
    except FleetError as error:
        print(f"FAILED: {error}")
        sys.exit(1)
