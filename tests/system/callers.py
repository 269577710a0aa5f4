"""Callers that send reads and bookings through the nodes of a fleet and record the response to each call."""
import http.client
import itertools
import random
import threading
import time

from fleet import http_call

OUTCOME = "dandelionfall-outcome"


class Call:
    """One call and the response that its caller received.

    `complete` says whether the target's complete response to this very call arrived.
    """

    def __init__(self, method, path, booking):
        self.method = method
        self.path = path
        self.booking = booking
        self.status = None
        self.outcome = None
        self.retry_after_ms = None
        self.complete = False
        self.duration_s = None
        self.started_at = None
        self.host = None


def make_call(address, method, path, booking=None, deadline_ms=None, timeout_s=10):
    """Makes one call and checks that the response is complete and belongs to this call."""
    call = Call(method, path, booking)
    headers = {}
    if booking:
        headers["Booking"] = booking
    if deadline_ms:
        headers["Dandelionfall-Deadline-Ms"] = str(deadline_ms)
    call.started_at = time.monotonic()
    try:
        call.status, fields, body = http_call(address, method, path, body="x" if method == "POST" else None,
                                              headers=headers, timeout_s=timeout_s)
    except (OSError, http.client.HTTPException) as error:
        call.outcome = f"connection: {error!r}"
        call.duration_s = time.monotonic() - call.started_at
        return call
    call.duration_s = time.monotonic() - call.started_at
    call.outcome = fields.get(OUTCOME, "answered")
    call.retry_after_ms = fields.get("dandelionfall-retry-after-ms")
    lines = body.decode(errors="replace").splitlines()
    call.complete = (call.outcome == "answered" and call.status == 200 and f"path={path}" in lines
                     and f"method={method}" in lines and (not booking or f"booking={booking}" in lines))
    return call


class Callers:
    """Issues calls at random (Poisson) intervals with a mean rate until stopped, each through a random running node.

    Booking numbers start with `name`.
    """

    def __init__(self, fleet, mix, rate, seed=1, deadline_ms=None, name="b"):
        self.fleet = fleet
        self.mix = mix
        self.rate = rate
        self.random = random.Random(seed)
        self.deadline_ms = deadline_ms
        self.name = name
        self.calls = []
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.booking_numbers = itertools.count(1)
        self.threads = []

    def __enter__(self):
        self.issuer = threading.Thread(target=self._issue_calls)
        self.issuer.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def _issue_calls(self):
        next_call_at = time.monotonic()
        while not self.stopped.is_set():
            next_call_at += self.random.expovariate(self.rate)
            time.sleep(max(0.0, next_call_at - time.monotonic()))
            method, path = self.random.choice(self.mix)
            nodes = self.fleet.callable_nodes()
            if not nodes:
                continue
            node = self.random.choice(nodes)
            booking = f"{self.name}-{next(self.booking_numbers)}" if method == "POST" else None
            thread = threading.Thread(target=self._make_call, args=(node, method, path, booking))
            thread.start()
            self.threads.append(thread)

    def _make_call(self, node, method, path, booking):
        call = make_call(node.caller_address, method, path, booking, self.deadline_ms)
        call.host = node.host
        with self.lock:
            self.calls.append(call)

    def stop(self):
        if self.stopped.is_set():
            return
        self.stopped.set()
        self.issuer.join()
        for thread in self.threads:
            thread.join()


THESSALONIKI_MIX = [("GET", "/slotboard/now"), ("GET", "/lanewatch/ice"), ("GET", "/chartroom/sheet"),
                    ("POST", "/escortdesk/booking")]
KERALA_MIX = [("GET", "/limitdesk/bridge"), ("GET", "/loadbook/history"), ("GET", "/inspectra/axle"),
              ("POST", "/permitworks/application")]


def count_outcomes(calls, counters):
    """Compares the outcomes that callers received with the runs counted by the targets; returns the counts."""
    runs = {}
    for values in counters.values():
        for booking, count in values["runs_by_booking"].items():
            runs[booking] = runs.get(booking, 0) + count
    bookings = [call for call in calls if call.booking]
    return {
        "calls": len(calls),
        "whole": sum(call.complete for call in calls),
        "not_run": sum(call.outcome == "not-run" for call in calls),
        "unknown": sum(call.outcome == "unknown" for call in calls),
        "other": sum(call.outcome not in ("answered", "not-run", "unknown") for call in calls),
        "not_whole": sum(call.outcome == "answered" and not call.complete for call in calls),
        "ran_twice": sum(count > 1 for count in runs.values()),
        "false_not_run": sum(call.outcome == "not-run" and runs.get(call.booking, 0) > 0 for call in bookings),
        "answered_not_run": sum(call.complete and runs.get(call.booking, 0) == 0 for call in bookings),
    }
