#!/usr/bin/env python3
"""Checks that a path which is asked for all the time is served again soon after several targets ended.

The argument names the play: "together", "in-turn", "twice" or "beside-crashing". Such a path runs at each target that
ends, whatever the cause, and was rejected for good.
"""
import contextlib
import sys
import tempfile
import time

from crashing_requests import GUILTY_PATH, MAX_CRASHES, Supervisor
from fleet import FleetError, wait_until
from store_deployment import HOSTS, Deployment, Load, check

READY_TIMEOUT_S = 6
# Time after the return of the last target from which calls are counted.
STABLE_WINDOW_S = 3
COUNTED_S = 3
WORK_S = 0.25
POLLED_PATH = "/a/board"
POLLED_PER_S = 30
OTHERS_PER_S = 6
GUILTY_PER_S = 8
SERVED_SHARE = 0.98


def end_all(deployment):
    for target in deployment.targets:
        target.server.end()


def wait_until_back(deployment):
    wait_until(lambda: not any(target.server.ended for target in deployment.targets), READY_TIMEOUT_S, "all are back")


def play_together(deployment, _supervisor):
    end_all(deployment)


def play_in_turn(deployment, _supervisor):
    for target in [*deployment.targets, deployment.targets[0]]:
        target.server.end()
        time.sleep(0.7)


def play_twice(deployment, _supervisor):
    end_all(deployment)
    wait_until_back(deployment)
    time.sleep(1)
    end_all(deployment)


def play_beside_crashing(deployment, supervisor):
    for target in deployment.targets:
        target.crash_marker = GUILTY_PATH
    known = len(supervisor.ends)
    with contextlib.closing(Load(HOSTS, GUILTY_PER_S, lambda _: GUILTY_PATH)):
        wait_until(lambda: len(supervisor.ends) >= known + MAX_CRASHES, READY_TIMEOUT_S, "two targets ended")
        time.sleep(2)
        wait_until_back(deployment)
        end_all(deployment)
        time.sleep(0.5)


PLAYS = {"together": play_together, "in-turn": play_in_turn, "twice": play_twice,
         "beside-crashing": play_beside_crashing}


def check_served(name, load, since):
    statuses = [status for sent_at, status in load.statuses if sent_at > since]
    served = sum(status == 200 for status in statuses)
    return check(statuses and served > SERVED_SHARE * len(statuses), f"{name}: {served} of {len(statuses)} calls served")


def run(play, deployment):
    for host in HOSTS:
        wait_until(lambda host=host: deployment.ready(host), READY_TIMEOUT_S, f"{host} is ready")
    for target in deployment.targets:
        target.work_s = WORK_S
    with contextlib.closing(Supervisor(deployment)) as supervisor, \
            contextlib.closing(Load(HOSTS, POLLED_PER_S, lambda _: POLLED_PATH)) as polled, \
            contextlib.closing(Load(HOSTS, OTHERS_PER_S, lambda number: f"/a/{number}")) as others:
        time.sleep(1)
        PLAYS[play](deployment, supervisor)
        time.sleep(0.2)
        wait_until_back(deployment)
        time.sleep(STABLE_WINDOW_S)
        since = time.monotonic()
        time.sleep(COUNTED_S)
    passed = check_served("polled path", polled, since)
    return passed & check_served("other paths", others, since)


def main(play):
    with tempfile.TemporaryDirectory() as directory, contextlib.closing(Deployment(directory)) as deployment:
        return 0 if run(play, deployment) else 1


if __name__ == "__main__":
    try:
        sys.exit(main(sys.argv[1]))
    except FleetError as error:
        print(f"FAILED: {error}")
        sys.exit(1)
