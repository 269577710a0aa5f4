#!/usr/bin/env python3
"""Checks that an answer whose status line is no valid one never reaches a caller as an answer.

A target answers with such status lines in several forms; a target of another service beside it is sound.
"""
import contextlib
import socket
import sys
import tempfile
import threading
import time

from fleet import FleetError, wait_until
from store_deployment import CALLER, HOSTS, TARGET, Deployment, check, configuration, http_call

READY_TIMEOUT_S = 6
DEADLINE_MS = 3000
# An answer that is none is known at once, long before the deadline.
ANSWER_S = 1.0
# Calls of one case until one reaches the target; the gate pauses after failures.
TRIES, PAUSE_S = 40, 0.05

BELOW = ["000", "001", "007", "010", "099"]
ABOVE = ["600", "700", "999"]
NO_NUMBERS = ["0200", "2000", "200000", "65736", "20", "2", "20x", "x00", "-20", "+20", "", "\t200", "101"]
STATUS_LINES = [f"HTTP/1.1 {status} Odd" for status in BELOW + ABOVE + NO_NUMBERS]
STATUS_LINES += [f"HTTP/1.0 {status} Odd" for status in BELOW + ABOVE]
SIGNED = "Attempt-Id: %(id)s\r\nResponse-Signature: signed\r\n"
WHOLE = "HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length: 6\r\n\r\nforged"
# What follows the status line.
FORMS = {
    "signed": SIGNED + "Content-Length: 2\r\n\r\nok",
    "unsigned": "Attempt-Id: %(id)s\r\nContent-Length: 2\r\n\r\nok",
    "chunked": SIGNED + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "until the close": SIGNED + "\r\nok",
    "empty": SIGNED + "Content-Length: 0\r\n\r\n",
    "with a response as its body": SIGNED + f"Content-Length: {len(WHOLE % {'id': 'x' * 8})}\r\n\r\n" + WHOLE,
    "stated as not executed": SIGNED + "Not-Executed: 1\r\nContent-Length: 2\r\n\r\nok",
}
# Interim responses that have content, which a reader may take for the response to the request.
INTERIM = "HTTP/1.1 100 Continue\r\nContent-Length: %d\r\n\r\n" % len(WHOLE % {"id": "x" * 8}) + WHOLE
# Answers that are proper, and their status.
PROPER = {
    "success": ("HTTP/1.1 200 OK\r\n" + FORMS["signed"], 200),
    "interim responses before a success": ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                                           "HTTP/1.1 200 OK\r\n" + FORMS["signed"], 200),
    "highest server error": ("HTTP/1.1 599 Odd\r\n" + FORMS["signed"], 599),
}


class RawTarget:
    """Answers each request with the bytes of `answer`; `until_close` says whether it closes the connection then."""

    def __init__(self, host):
        self.answer, self.until_close, self.paths = "", False, []
        self.listener = socket.create_server((host, TARGET), backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with contextlib.suppress(OSError), connection, connection.makefile("rb") as reader:
            while line := reader.readline():
                headers = {}
                while field := reader.readline().strip():
                    name, _, value = field.decode().partition(":")
                    headers[name.lower()] = value.strip()
                reader.read(int(headers.get("content-length", "0")))
                self.paths.append(line.split(b" ")[1].decode())
                connection.sendall(self.answer.replace("%(id)s", headers["attempt-id"]).encode())
                if self.until_close:
                    return


class Caller:
    """Calls of the odd target's service at a node that is not beside it."""

    def __init__(self, target):
        self.target, self.count = target, 0

    def call(self, method):
        """Returns the status, the header fields, the body, the time, and whether the target received the request."""
        self.count += 1
        path = f"/{method.lower()}/{self.count}"
        sent_at = time.monotonic()
        status, headers, body = http_call(f"{HOSTS[1]}:{CALLER}", method, path, body="body" if method == "POST" else None,
                                          headers={"Host": "h.example", "Attempt-Id": f"{self.count:08d}",
                                                   "Deadline-Ms": str(DEADLINE_MS)})
        return status, headers, body, time.monotonic() - sent_at, path in self.target.paths

    def call_until_received(self, method):
        """Repeats a call until the target receives it, and returns the results of all calls."""
        results = []
        for _ in range(TRIES):
            results.append(self.call(method))
            if results[-1][-1]:
                break
            time.sleep(PAUSE_S)
        return results


def find_fault(results):
    """Returns what is wrong with the results of calls that the target answered with what is no answer."""
    if not results[-1][-1]:
        return "no call reached the target"
    for status, headers, body, elapsed_s, received in results:
        signed = any(name == "response-signature" for name in headers)
        if signed or b"forged" in body or status not in (503, 504):
            return f"the caller got {status}{' with a signature' if signed else ''}"
        if received and status != 504:
            return f"a request that may have run got {status}"
        if elapsed_s > ANSWER_S:
            return f"{status} after {elapsed_s:.1f} s"
    return None


def routes():
    result = configuration(5)
    kinds = {"get": "idempotent", "post": "non_idempotent"}
    base = {**result["routes"][0], "timeout-ms": DEADLINE_MS, "target-latency-ms": DEADLINE_MS}
    result["routes"] = [{**base, "name": name, "prefix": f"/{name}/", "kind": kind} for name, kind in kinds.items()]
    result["routes"].append({**base, "name": "beside", "prefix": "/beside/", "service": "beside"})
    result["services"].append({**result["services"][0], "name": "beside"})
    return result


def play(deployment):
    odd, sound = deployment.targets[0], deployment.targets[2]
    odd.server.end()
    target = RawTarget(HOSTS[0])
    deployment.store.remove(f"servers/{deployment.targets[1].instance}")
    deployment.store.put(f"servers/{sound.instance}", {**sound.record(), "service": "beside"})
    deployment.store.put("op/config", routes())
    wait_until(lambda: deployment.call(HOSTS[1], "/beside/x")[0] == 200, READY_TIMEOUT_S, "the routes are in force")
    caller, passed, beside = Caller(target), True, []
    for method in ("GET", "POST"):
        for name, (answer, status) in PROPER.items():
            target.answer, target.until_close = answer, False
            got = caller.call_until_received(method)[-1][0]
            passed &= check(got == status, f"{method}, {name}: {got}")
    cases = [(f"{line!r} {form}", f"{line}\r\n{rest}", form == "until the close")
             for line in STATUS_LINES for form, rest in FORMS.items()] + [("interim with content", INTERIM, False)]
    faults = []
    for method in ("GET", "POST"):
        for name, target.answer, target.until_close in cases:
            fault = find_fault(caller.call_until_received(method))
            if fault is not None:
                faults.append(f"{method} {name}: {fault}")
            beside.append(deployment.call(HOSTS[1], "/beside/x")[0])
    for fault in faults[:20]:
        print(fault)
    passed &= check(not faults, f"{len(faults)} of {2 * len(cases)} answers that are none were taken for one, or late")
    passed &= check(set(beside) == {200}, f"{beside.count(200)} of {len(beside)} calls of the other service are served")
    return passed & check(all(node.alive() for node in deployment.nodes), "no node ended")


def main():
    with tempfile.TemporaryDirectory() as directory, contextlib.closing(Deployment(directory)) as deployment:
        for host in HOSTS:
            wait_until(lambda host=host: deployment.ready(host), READY_TIMEOUT_S, f"{host} is ready")
        return 0 if play(deployment) else 1


if __name__ == "__main__":
    try:
        sys.exit(main())
    except FleetError as error:
        print(f"FAILED: {error}")
        sys.exit(1)
