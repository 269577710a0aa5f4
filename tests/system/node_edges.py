#!/usr/bin/env python3
"""Checks on real processes what a single node does at its edges: large bodies and a second signal."""
import http.client
import pathlib
import signal
import sys
import threading
import time

from fleet import Fleet, FleetError, http_call, wait_until

# max_body_bytes of the profile board in the published data.
BODY_LIMIT = 65536
STOPPED_AT_ONCE = 10
SHORT_S = 5


def check(condition, what):
    print(f"{'ok' if condition else 'FAILED'}: {what}", flush=True)
    return bool(condition)


def runs(fleet):
    return sum(counters["runs"] for counters in fleet.counters().values())


def check_large_body(fleet):
    """A body above the profile's bound is refused before it is routed."""
    node = fleet.nodes[0]
    before = runs(fleet)
    status, headers, _ = http_call(node.caller, "POST", "/slotboard/a", body=b"x" * (BODY_LIMIT + 1))
    good = check(status == 413, f"large body: status {status}")
    good &= check(headers.get("dandelionfall-outcome") == "not-run", "large body: outcome not-run")
    good &= check(runs(fleet) == before, "large body: no target ran it")
    status, _, _ = http_call(node.caller, "POST", "/slotboard/a", body=b"x" * BODY_LIMIT)
    return good & check(status == 200, f"largest body: status {status}")


def call_in_background(node):
    def call():
        try:
            http_call(node.caller, "POST", "/slotboard/a", body=b"x", timeout_s=SHORT_S)
        except (OSError, http.client.HTTPException):
            pass
    thread = threading.Thread(target=call, daemon=True)
    thread.start()
    return thread


def check_second_signal(fleet):
    """A planned stop waits for what runs; a second signal cuts it."""
    for target in fleet.targets.values():
        target.mode("silent")
    node = fleet.nodes[0]
    call_in_background(node)
    wait_until(lambda: (node.status() or {}).get("open_calls", 0) > 0, SHORT_S, "the call is open")
    node.process.send(signal.SIGTERM)
    wait_until(lambda: "name=drain-started" in node.process.tail(), SHORT_S, "the stop began")
    time.sleep(0.1)
    good = check(node.process.alive(), "first signal: the node waits for what runs")
    begin = time.monotonic()
    node.process.send(signal.SIGTERM)
    code = node.process.child.wait(SHORT_S)
    return good & check(code == STOPPED_AT_ONCE and time.monotonic() - begin < 0.5,
                        f"second signal: exit code {code}")


def check_hang_up(fleet):
    """SIGHUP reads the settings again; a fault in them changes nothing and ends nothing."""
    node = fleet.nodes[1]
    settings = pathlib.Path(node.process.arguments[-1])
    text = settings.read_text()
    node.process.send(signal.SIGHUP)
    wait_until(lambda: "name=settings-read" in node.process.tail(), SHORT_S, "the settings were read")
    settings.write_text(text + "\n[log]\nlevel = loud\n")
    node.process.send(signal.SIGHUP)
    wait_until(lambda: "name=settings-refused" in node.process.tail(), SHORT_S, "the settings were refused")
    settings.write_text(text)
    status, _, _ = http_call(node.caller, "GET", "/slotboard/a")
    return check(node.process.alive() and status == 200, "SIGHUP: the node goes on serving")


def check_second_start(fleet):
    """A host that runs is not started again, so no process is lost from sight."""
    process = fleet.nodes[1].process
    return check(not process.start() and len(process.children) == 1, "second start: refused")


def main():
    with Fleet(services=["slotboard"]) as fleet:
        fleet.wait_ready()
        good = check_large_body(fleet)
        good &= check_hang_up(fleet)
        good &= check_second_start(fleet)
        good &= check_second_signal(fleet)
    return 0 if good else 1


if __name__ == "__main__":
    try:
        sys.exit(main())
    except FleetError as error:
        print(f"FAILED: {error}")
        sys.exit(1)
