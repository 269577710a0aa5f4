#!/usr/bin/env python3
"""Checks edge cases of a single node on real processes: large bodies, SIGHUP, a second start, a second signal."""
import http.client
import pathlib
import re
import signal
import socket
import sys
import threading
import time

from fleet import Fleet, FleetError, http_call, wait_until

# max_body_bytes of the profile "board" in the published data.
BODY_LIMIT = 65536
IMMEDIATE_STOP_EXIT_CODE = 10
STEP_TIMEOUT_S = 5


def check(condition, description):
    print(f"{'ok' if condition else 'FAILED'}: {description}", flush=True)
    return bool(condition)


def count_runs(fleet):
    return sum(counters["runs"] for counters in fleet.counters().values())


def check_large_body(fleet):
    """A body larger than the limit of the profile is refused before it is routed."""
    node = fleet.nodes[0]
    before = count_runs(fleet)
    status, headers, _ = http_call(node.caller_address, "POST", "/slotboard/a", body=b"x" * (BODY_LIMIT + 1))
    passed = check(status == 413, f"large body: status {status}")
    passed &= check(headers.get("dandelionfall-outcome") == "not-run", "large body: outcome not-run")
    passed &= check(count_runs(fleet) == before, "large body: no target ran it")
    status, _, _ = http_call(node.caller_address, "POST", "/slotboard/a", body=b"x" * BODY_LIMIT)
    return passed & check(status == 200, f"largest body: status {status}")


def check_trace_with_body(fleet):
    """TRACE with a body, with a length or in chunks, is refused; no process ends."""
    before = count_runs(fleet)
    passed = True
    for node in fleet.nodes:
        for body in (b"hello", iter([b"hello"])):
            try:
                status = http_call(node.caller_address, "TRACE", "/slotboard/a", body=body)[0]
            except (OSError, http.client.HTTPException) as error:
                status = error
            passed &= check(status == 400, f"TRACE with a body: status {status}")
    passed &= check(all(node.process.alive() for node in fleet.nodes), "TRACE with a body: all nodes run")
    passed &= check(count_runs(fleet) == before, "TRACE with a body: no target ran it")
    status, _, _ = http_call(fleet.nodes[0].caller_address, "GET", "/slotboard/a")
    return passed & check(status == 200, f"after TRACE: status {status}")


def check_pipelined(fleet):
    """Requests that may be repeated run side by side on a connection, others alone; answers keep their order."""
    node = fleet.nodes[0]
    metric = "dandelionfall_calls_pipelined_total"
    before = node.metrics()[metric]
    methods = ["GET"] * 6 + ["POST", "GET"]
    text = "".join(f"{method} /slotboard/{index} HTTP/1.1\r\nHost: x\r\nservice-ms: {200 - 20 * index}\r\n"
                   f"Content-Length: 0\r\n{'Connection: close' + chr(13) + chr(10) if index == 7 else ''}\r\n"
                   for index, method in enumerate(methods))
    host, port = node.caller_address.rsplit(":", 1)
    received = b""
    with socket.create_connection((host, int(port)), timeout=STEP_TIMEOUT_S) as connection:
        connection.sendall(text.encode())
        while part := connection.recv(65536):
            received += part
    answered = re.findall(rb"method=(\w+)\npath=/slotboard/(\d)", received)
    expected = [(method.encode(), str(index).encode()) for index, method in enumerate(methods)]
    passed = check(answered == expected, f"pipelined: answers in order {answered}")
    begun = node.metrics()[metric] - before
    return passed & check(begun == 5, f"pipelined: {begun:.0f} of 8 begun beside others")


def call_in_background(node):
    def call():
        try:
            http_call(node.caller_address, "POST", "/slotboard/a", body=b"x", timeout_s=STEP_TIMEOUT_S)
        except (OSError, http.client.HTTPException):
            pass
    thread = threading.Thread(target=call, daemon=True)
    thread.start()
    return thread


def check_second_signal(fleet):
    """A planned stop waits for running calls; a second signal stops the node immediately."""
    for target in fleet.targets.values():
        target.set_mode("silent")
    node = fleet.nodes[0]
    call_in_background(node)
    wait_until(lambda: (node.status() or {}).get("open_calls", 0) > 0, STEP_TIMEOUT_S, "the call is open")
    node.process.send_signal(signal.SIGTERM)
    wait_until(lambda: "name=drain-started" in node.process.tail(), STEP_TIMEOUT_S, "the planned stop has started")
    time.sleep(0.1)
    passed = check(node.process.alive(), "first signal: the node waits for running calls")
    start = time.monotonic()
    node.process.send_signal(signal.SIGTERM)
    code = node.process.child.wait(STEP_TIMEOUT_S)
    return passed & check(code == IMMEDIATE_STOP_EXIT_CODE and time.monotonic() - start < 0.5,
                        f"second signal: exit code {code}")


def check_reload(fleet):
    """SIGHUP reloads the settings; invalid settings are refused and the node keeps serving."""
    node = fleet.nodes[1]
    settings = pathlib.Path(node.process.arguments[-1])
    text = settings.read_text()
    node.process.send_signal(signal.SIGHUP)
    wait_until(lambda: "name=settings-read" in node.process.tail(), STEP_TIMEOUT_S, "the settings were read")
    settings.write_text(text + "\n[log]\nlevel = loud\n")
    node.process.send_signal(signal.SIGHUP)
    wait_until(lambda: "name=settings-refused" in node.process.tail(), STEP_TIMEOUT_S, "the settings were refused")
    settings.write_text(text)
    status, _, _ = http_call(node.caller_address, "GET", "/slotboard/a")
    return check(node.process.alive() and status == 200, "SIGHUP: the node keeps serving")


def check_second_start(fleet):
    """A running host is not started a second time: the first process would then no longer be tracked."""
    process = fleet.nodes[1].process
    return check(not process.start() and len(process.children) == 1, "second start: refused")


def main():
    with Fleet(services=["slotboard"]) as fleet:
        fleet.wait_ready()
        passed = check_large_body(fleet)
        passed &= check_trace_with_body(fleet)
        passed &= check_pipelined(fleet)
        passed &= check_reload(fleet)
        passed &= check_second_start(fleet)
        passed &= check_second_signal(fleet)
    return 0 if passed else 1


if __name__ == "__main__":
    try:
        sys.exit(main())
    except FleetError as error:
        print(f"FAILED: {error}")
        sys.exit(1)
