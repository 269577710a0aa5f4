#!/usr/bin/env python3
"""Checks what becomes of requests that wait for a slot when what they wait for, or their node, goes away.

Usage: waiting_requests.py ingress-stops|gate-stops|silent-target|target-drains|target-removed|target-leaving
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
LINGER_MS = 2700
DEADLINE_MS = 9000
# Two requests run at once, so that of six two run, two begin after WORK_S, and two after twice that.
SLOTS, REQUESTS, WORK_S = 2, 6, 3.5
# How long the requests have been open when the disturbance begins.
BEFORE_S = 0.3
# Time beyond that of the first requests within which the others are rejected: nothing is known before.
REJECTION_S = 1.0
# Time after which all nodes know that a target is leaving.
DEPARTURE_S = 1.0


class Caller(threading.Thread):
    """Sends one request that must not be repeated, and records its status, the end of the wait and any fault."""

    def __init__(self, number, host):
        super().__init__(daemon=True)
        self.path, self.status, self.elapsed_s, self.fault = f"/booking/{number}", None, None, None
        self.connection = http.client.HTTPConnection(host, CALLER, timeout=3 * GRACE_S)
        self.connection.connect()

    def run(self):
        sent_at = time.monotonic()
        try:
            self.connection.request("POST", self.path, body=b"body", headers={
                "Host": "h.example", "Attempt-Id": "1f", "Deadline-Ms": str(DEADLINE_MS)})
            response = self.connection.getresponse()
            response.read()
            self.status = response.status
        except (OSError, http.client.HTTPException) as error:
            self.fault = repr(error)
        self.elapsed_s = time.monotonic() - sent_at


def routes():
    result = configuration(5)
    result["routes"] = [{**result["routes"][0], "name": "booking", "prefix": "/booking/", "kind": "non_idempotent",
                         "timeout-ms": DEADLINE_MS, "target-latency-ms": DEADLINE_MS}]
    return result


class Play:
    """Requests at the second node that wait for slots of the first node's target, the only one of its service."""

    def __init__(self, deployment, work_s=WORK_S):
        self.deployment, self.target = deployment, deployment.targets[0]
        for other in deployment.targets[1:]:
            deployment.store.remove(f"servers/{other.instance}")
        self.list_target()
        deployment.store.put("op/config", routes())
        # A call of the new route would teach the gate a service time.
        wait_until(lambda: deployment.call(HOSTS[1], "/a/x")[0] == 404, READY_TIMEOUT_S, "the routes are in force")
        self.target.work_s, self.target.paths = work_s, []
        self.callers = [Caller(number, HOSTS[1]) for number in range(REQUESTS)]
        for caller in self.callers:
            caller.start()
        time.sleep(BEFORE_S)

    def list_target(self, state="ready"):
        record = {**self.target.record(state), "slots": SLOTS}
        self.deployment.store.put(f"servers/{self.target.instance}", record)

    def stop(self, node):
        """Stops a node as the platform does."""
        node.send_signal(signal.SIGTERM)
        with contextlib.suppress(Exception):
            node.child.wait(GRACE_S)
        if node.alive():
            node.kill()

    def join(self):
        for caller in self.callers:
            caller.join()

    def having(self, *statuses):
        return [caller for caller in self.callers if caller.status in statuses]

    def check_truth(self):
        """Whether all requests were answered, and those that were rejected have not run."""
        ran = set(self.target.paths)
        cut = self.having(None)
        untrue = [caller for caller in self.having(503) if caller.path in ran]
        passed = check(not cut, f"{len(cut)} requests ended without an answer: {[each.fault for each in cut[:2]]}")
        return passed & check(not untrue, f"{len(untrue)} requests ran and were said not to have run")

    def check_rejected(self, count):
        """Whether the requests that can't be served were rejected as soon as that was known."""
        rejected = self.having(503)
        late = [caller for caller in rejected if caller.elapsed_s > WORK_S + REJECTION_S]
        passed = check(len(rejected) == count, f"{len(rejected)} of {count} waiting requests were rejected as not run")
        return passed & check(not late, f"{len(late)} of them later than {REJECTION_S} s after it was known")


def check_ingress_stops(deployment):
    """The node that took the requests stops: those that can't be done by its end are rejected."""
    play = Play(deployment)
    play.stop(deployment.nodes[1])
    play.join()
    passed = play.check_truth() & play.check_rejected(REQUESTS - SLOTS)
    return passed & check(len(play.having(200)) == SLOTS, f"{len(play.having(200))} of {SLOTS} were served")


def check_gate_stops(deployment):
    """The node beside the target stops: a waiting request hasn't run, and its caller must not learn otherwise."""
    play = Play(deployment)
    play.stop(deployment.nodes[0])
    play.join()
    passed = play.check_truth() & play.check_rejected(REQUESTS - SLOTS)
    return passed & check(len(play.having(200)) == SLOTS, f"{len(play.having(200))} of {SLOTS} were served")


def check_silent_target(deployment):
    """The target answers nothing: what runs there is answered before the node is killed."""
    play = Play(deployment, work_s=2 * GRACE_S)
    play.stop(deployment.nodes[1])
    play.join()
    passed = play.check_truth()
    unknown = [caller.path for caller in play.having(504)]
    return passed & check(set(play.target.paths) <= set(unknown), f"{len(unknown)} requests may have run")


def check_departure(deployment, leave):
    """The target leaves, and another one has room: the waiting requests run there, none at the old one."""
    play = Play(deployment)
    other = deployment.targets[1]
    other.work_s = WORK_S
    deployment.store.put(f"servers/{other.instance}", other.record())
    leave(play)
    left_at = time.monotonic()
    play.join()
    late = [at for at in play.target.arrivals if at > left_at + DEPARTURE_S]
    passed = check(not late, f"{len(late)} requests began at a target that had left")
    return passed & check(len(play.having(200)) == REQUESTS, f"{len(play.having(200))} of {REQUESTS} were served")


def check_target_drains(deployment):
    return check_departure(deployment, lambda play: play.list_target("draining"))


def check_target_removed(deployment):
    return check_departure(deployment, lambda play: deployment.store.remove(f"servers/{play.target.instance}"))


def check_target_leaving(deployment):
    """The target states in its responses that it is leaving: after the first of them nothing begins there."""
    def leave(play):
        play.target.extra_headers = {"Server-Leaving": "1"}

    passed = check_departure(deployment, leave)
    begun = len(deployment.targets[0].paths)
    return passed & check(begun == SLOTS, f"{begun} requests began at the target, {SLOTS} before its statement")


SCENARIOS = {"ingress-stops": check_ingress_stops, "gate-stops": check_gate_stops,
             "silent-target": check_silent_target, "target-drains": check_target_drains,
             "target-removed": check_target_removed, "target-leaving": check_target_leaving}


def main():
    store_deployment.STOP_SETTINGS = [f"linger_ms = {LINGER_MS}", f"grace_s = {GRACE_S}"]
    with tempfile.TemporaryDirectory() as directory, contextlib.closing(Deployment(directory)) as deployment:
        for host in HOSTS:
            wait_until(lambda host=host: deployment.ready(host), READY_TIMEOUT_S, f"{host} is ready")
        return 0 if SCENARIOS[sys.argv[1]](deployment) else 1


if __name__ == "__main__":
    try:
        sys.exit(main())
    except FleetError as error:
        print(f"FAILED: {error}")
        sys.exit(1)
