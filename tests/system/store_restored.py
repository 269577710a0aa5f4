#!/usr/bin/env python3
"""Checks that nodes follow a store that comes back from an outage, whatever it knows of what it had acknowledged.

Usage: store_restored.py counter|copy|overtaken|history|partial
"""
import contextlib
import sys
import tempfile
import threading
import time

from fleet import FleetError, wait_until
from store_deployment import HOSTS, Deployment, Load, Target, check, configuration

READY_TIMEOUT_S = 6
CALLS_PER_S = 60
# Bounds of the deployment, from the store's acknowledgement.
CONFIG_S = 2
DRAIN_S = 2
# Time for which a version that is late is still waited for.
GIVE_UP_S = 4
CHANGES, CHANGE_INTERVAL_S = 40, 0.03
# Changes that an older copy lacks.
LOST = 14
OUTAGE_S = 2
PUBLISHED_AFTER_S = 0.6
MARKED_AFTER_S = 2
# The nodes have found the store again by then.
LATER_START_S = 0.9
# A target writes its entry again this long after the store's return.
REWRITTEN_AFTER_S = 1.2
EMPTY_S = 1
SHOWN_EVENTS = 24
REST_S = 3
# A node in touch makes at most one call per 0.6 s: 5 calls. Twice that allows for retries; a loop makes over 80.
MAX_CALLS_AT_REST = 2 * 5 * len(HOSTS)


class Play:
    """A deployment with a history of changes, and calls for a route in force that go on until the end."""

    def __init__(self, name, deployment):
        self.name, self.deployment, self.store, self.targets = name, deployment, deployment.store, deployment.targets
        self.version, self.prefixes, self.passed, self.restarts = 10, ["/a/"], True, []
        self.returned_at, self.leaving = None, self.targets[0]
        for number in range(CHANGES):
            self.change(number)
        self.in_force = self.prefixes[-1]
        self.wait_for(self.in_force, READY_TIMEOUT_S)

    def check(self, condition, description):
        self.passed &= check(condition, f"{self.name}: {description}")

    def change(self, number):
        if number % 2 == 0:
            self.publish()
        else:
            self.write(self.targets[number // 2 % 3])
        time.sleep(CHANGE_INTERVAL_S)

    def publish(self):
        """Writes a version with one route more; returns its prefix."""
        self.version += 2
        self.prefixes.append(f"/v{self.version}/")
        result = configuration(self.version)
        used = result["routes"][0]
        result["routes"] = [{**used, "name": prefix, "prefix": prefix} for prefix in self.prefixes]
        self.store.put("op/config", result)
        return self.prefixes[-1]

    def write(self, target, state="ready"):
        self.store.put(f"servers/{target.instance}", target.record(state))

    def lacking(self, prefix):
        return [host for host in HOSTS if self.status(host, prefix) in (None, 404)]

    def status(self, host, prefix):
        with contextlib.suppress(OSError):
            return self.deployment.call(host, prefix + "x")[0]
        return None

    def wait_for(self, prefix, timeout_s):
        """Returns the time until a route is in force at all nodes, or None."""
        start = time.monotonic()
        while self.lacking(prefix):
            if time.monotonic() - start > timeout_s:
                return None
            time.sleep(0.02)
        return time.monotonic() - start

    def restart(self, index):
        """Starts a node anew; callers do not rely on it until it is ready."""
        killed_at, host = time.monotonic(), HOSTS[index]
        self.deployment.nodes[index].kill()
        self.deployment.nodes[index].start()

        def wait_until_ready():
            wait_until(lambda: self.deployment.ready(host), READY_TIMEOUT_S, f"{host} is ready again")
            self.restarts.append((host, killed_at, time.monotonic()))

        threading.Thread(target=wait_until_ready, daemon=True).start()

    def relied_on(self, host, at):
        return not any(host == each and start <= at <= end for each, start, end in self.restarts)

    def away(self, restore, restart=None, duration_s=OUTAGE_S):
        """Ends the store, lets a node restart meanwhile, and starts the store with what `restore` leaves of it."""
        self.store.close()
        time.sleep(duration_s / 2)
        if restart is not None:
            self.restart(restart)
        time.sleep(duration_s / 2)
        restore()
        self.store.open()
        self.returned_at = time.monotonic()

    def until(self, after_s):
        time.sleep(max(self.returned_at + after_s - time.monotonic(), 0))

    def check_version(self, after_s=PUBLISHED_AFTER_S):
        self.until(after_s)
        elapsed_s = self.wait_for(self.publish(), GIVE_UP_S)
        shown = f"after {elapsed_s:.2f} s" if elapsed_s is not None else f"not within {GIVE_UP_S} s"
        self.check(elapsed_s is not None and elapsed_s <= CONFIG_S, f"a new version is in force {shown}")

    def check_departure(self, marked_at=None):
        """Checks a departure 2 s later, or one at `marked_at`, and the calls at rest after it."""
        calls = [call for call in list(self.store.calls) if call[0] > self.returned_at]
        print(f"{self.name}: {len(calls)} calls in {time.monotonic() - self.returned_at:.1f} s since the return")
        if marked_at is None:
            time.sleep(MARKED_AFTER_S)
            self.write(self.leaving, "draining")
            marked_at = time.monotonic()
        time.sleep(max(marked_at + DRAIN_S - time.monotonic(), 0))
        rest_at = time.monotonic()
        time.sleep(REST_S)
        calls = [call for call in list(self.store.calls) if call[0] > rest_at]
        arrivals = [at for at in list(self.leaving.arrivals) if at > marked_at]
        used = sum(marked_at - DRAIN_S < at <= marked_at for at in list(self.leaving.arrivals))
        self.check(used > 0, f"{used} requests at the target in the {DRAIN_S} s before it leaves")
        late = sum(at > marked_at + DRAIN_S for at in arrivals)
        last_s = max(arrivals, default=marked_at) - marked_at
        self.check(late == 0, f"{late} requests at the leaving target after {DRAIN_S} s, the last at {last_s:.2f} s")
        each = [sum(call[1] == host for call in calls) for host in HOSTS]
        self.check(len(calls) <= MAX_CALLS_AT_REST, f"{len(calls)} calls in {REST_S} s of rest, by node {each}")

    def check_calls(self, load):
        statuses = [status for _, status in load.statuses]
        self.check(404 not in statuses, f"{statuses.count(404)} of {len(statuses)} calls for a route in force get 404")
        missed = [(host, round(at - self.returned_at, 2), status) for at, host, status in load.missed
                  if status != 404 and self.relied_on(host, at)]
        self.check(len(missed) <= 0.02 * len(statuses),
                   f"{len(missed)} of {len(statuses)} calls not served otherwise: {missed[:SHOWN_EVENTS]}")
        for host, start, end in self.restarts:
            print(f"{self.name}: {host} was ready {end - start:.2f} s after its kill")


@contextlib.contextmanager
def started(name, era=None, prepare=lambda _: None):
    """Yields a play beside calls for the newest route, checks these, and prints the nodes' events if a check failed."""
    with tempfile.TemporaryDirectory() as directory, contextlib.closing(Deployment(directory, era)) as deployment:
        for host in HOSTS:
            wait_until(lambda host=host: deployment.ready(host), READY_TIMEOUT_S, f"{host} is ready")
        play = Play(name, deployment)
        prepare(play)
        with contextlib.closing(Load(HOSTS, CALLS_PER_S, lambda _: play.in_force + "x")) as load:
            yield play
        play.check_calls(load)
        if not play.passed:
            print_events(play)


def print_events(play):
    for node in play.deployment.nodes:
        lines = [line for line in node.log.read_text(errors="replace").splitlines()
                 if "event=2" in line or "event=7" in line]
        print(f"{play.name}: events of {node.name}", *lines[-SHOWN_EVENTS:], sep="\n  ", flush=True)


def check_counter():
    """The store keeps its records and counts its revisions from 1 again."""
    passed = True
    for beyond, restart in (("gone", None), ("wait", 1), ("empty", None)):
        with started(f"counted anew, {beyond}{'' if restart is None else ', a node restarted'}") as play:
            play.store.beyond = beyond
            play.away(play.store.restore_renumbered, restart)
            play.check_version()
            play.check_departure()
        passed &= play.passed
    return passed


class Departures:
    """Departures that an older copy lacks: a target is draining, and another one was replaced at its address."""

    def __init__(self, play):
        self.play, self.replaced, self.draining = play, play.targets[1], play.targets[2]
        self.replaced.server.end()
        self.successor = play.targets[1] = Target(HOSTS[1], "i-successor")
        play.store.remove(f"servers/{self.replaced.instance}")
        self.write()
        time.sleep(DRAIN_S)

    def write(self):
        self.play.write(self.successor)
        self.play.write(self.draining, "draining")

    def check_successor(self):
        """Checks that a target which the copy lacks is used until it writes its entry again."""
        self.play.until(REWRITTEN_AFTER_S)
        reached = sum(at > self.play.returned_at for at in list(self.successor.arrivals))
        self.play.check(reached > 0, f"{reached} requests at a target that the copy lacks")
        self.write()

    def check_unused(self):
        drained = sum(at > self.play.returned_at for at in self.draining.arrivals)
        self.play.check(drained == 0, f"{drained} requests at a draining target that is ready in the copy")
        wrong = sum(at > self.play.returned_at and request.get("Expect-Instance") == self.replaced.instance
                    for at, request in zip(self.successor.arrivals, self.successor.requests))
        self.play.check(wrong == 0, f"{wrong} requests for a replaced target that is ready in the copy")


def check_copy():
    """The store comes back from a copy that lacks its last changes; a node starts meanwhile."""
    passed = True
    for name, era, beyond, start_s in (("copy", None, "wait", 0), ("copy, era", 1, "gone", 0),
                                       ("copy, a later start", None, "gone", LATER_START_S)):
        departures = []
        with started(name, era, lambda play, made=departures: made.append(Departures(play))) as play:
            play.store.beyond = beyond
            play.away(lambda play=play: play.store.restore_copy(LOST))
            play.until(start_s)
            play.restart(0)
            with contextlib.closing(Load(HOSTS[:1], CALLS_PER_S, lambda _, play=play: play.in_force + "x")) as load:
                play.until(start_s + PUBLISHED_AFTER_S)
            statuses = [status for _, status in load.statuses]
            play.check(200 in statuses and 404 not in statuses, "a restarted node serves a route that the copy lacks: "
                       f"{statuses.count(200)} of {len(statuses)} calls, {statuses.count(404)} get 404")
            play.check_version(start_s + PUBLISHED_AFTER_S)
            departures[0].check_successor()
            play.check_departure()
            departures[0].check_unused()
        passed &= play.passed
    return passed


def check_overtaken():
    """The store comes back from a copy and hands all known revisions out again before any node asks."""
    passed = True
    for beyond in ("gone", "wait"):
        with started(f"overtaken, {beyond}") as play:
            play.store.beyond = beyond

            def restore(play=play):
                play.store.restore_copy(LOST)
                play.write(play.leaving, "draining")
                for number in range(LOST + 6):
                    play.write(play.targets[1 + number % 2])

            play.away(restore)
            play.check_version()
            play.check_departure(play.returned_at)
        passed &= play.passed
    return passed


def check_history():
    """The store comes back with all records and with, without or far from its history."""
    passed = True
    for name in ("all kept", "no history", "far higher"):
        with started(name) as play:
            def restore(play=play, name=name):
                if name == "no history":
                    play.write(play.targets[1])
                    play.store.restore_without_history()
                elif name == "far higher":
                    play.store.restore_higher(1_000_000)

            play.away(restore)
            play.check_version()
            play.check_departure()
        passed &= play.passed
    return passed


def check_partial():
    """The store comes back without records at first, for some machines only, or twice."""
    with started("empty at first") as empty:
        empty.store.beyond = "gone"
        empty.away(lambda: empty.store.restore_late(EMPTY_S))
        empty.check_version(EMPTY_S + PUBLISHED_AFTER_S)
        empty.check_departure()
    with started("a machine refused") as refused:
        refused.store.refused_hosts = {HOSTS[2]}
        refused.away(refused.store.restore_renumbered)
        refused.check_version()
        refused.check_departure()
    with started("twice") as twice:
        twice.store.beyond = "gone"
        twice.away(twice.store.restore_renumbered, duration_s=1)
        twice.until(PUBLISHED_AFTER_S)
        twice.publish()
        twice.away(lambda: twice.store.restore_copy(1), duration_s=1)
        twice.check_version()
        twice.check_departure()
    return empty.passed and refused.passed and twice.passed


CHECKS = {"counter": check_counter, "copy": check_copy, "overtaken": check_overtaken, "history": check_history,
          "partial": check_partial}


def main():
    return 0 if CHECKS[sys.argv[1]]() else 1


if __name__ == "__main__":
    try:
        sys.exit(main())
    except FleetError as error:
        print(f"FAILED: {error}")
        sys.exit(1)
