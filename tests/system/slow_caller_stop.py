#!/usr/bin/env python3
"""Checks that a planned stop waits for callers that still receive their last responses.

The process ended once the system had taken the responses, and the caller's next request reset the connection.
"""
import contextlib
import signal
import socket
import sys
import tempfile
import time

import store_deployment
from fleet import FleetError, wait_until
from store_deployment import CALLER, HOSTS, Deployment, check

READY_TIMEOUT_S = 6
GRACE_S = 6
LINGER_MS = 500
RECEIVE_WINDOW = 4096
BODY = b"b" * 30_000
READ_BYTES, READ_PAUSE_S = 1000, 0.1
NEXT_REQUEST_S = 1.5
REQUEST = b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1f\r\nDeadline-Ms: 1000\r\n\r\n"


def receive(connection):
    """Reads slowly, and sends one more request meanwhile. Returns what came before the connection ended, and how."""
    received, start, is_sent = b"", time.monotonic(), False
    while True:
        time.sleep(READ_PAUSE_S)
        try:
            if not is_sent and time.monotonic() - start > NEXT_REQUEST_S:
                is_sent = True
                connection.sendall(REQUEST)
            data = connection.recv(READ_BYTES)
        except OSError as error:
            return received, str(error)
        if not data:
            return received, "closed"
        received += data


def run(deployment):
    node = deployment.nodes[0]
    wait_until(lambda: deployment.ready(HOSTS[0]), READY_TIMEOUT_S, "the node is ready")
    for target in deployment.targets:
        target.body = BODY
    with socket.socket() as connection, socket.create_connection((HOSTS[0], CALLER)):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_WINDOW)
        connection.settimeout(GRACE_S)
        connection.connect((HOSTS[0], CALLER))
        connection.sendall(REQUEST)
        wait_until(lambda: deployment.served() == 1, READY_TIMEOUT_S, "the request runs")
        time.sleep(0.2)
        stopped_at = time.monotonic()
        node.send_signal(signal.SIGTERM)
        received, end = receive(connection)
    wait_until(lambda: not node.alive(), GRACE_S, "the process has ended")
    elapsed_s = time.monotonic() - stopped_at
    passed = check(received.endswith(BODY), f"{len(received)} bytes received, then {end}")
    passed &= check(deployment.served() == 1, "the request behind the last response is not run")
    return passed & check(elapsed_s < GRACE_S, f"the process ends {elapsed_s:.1f} s after SIGTERM")


def main():
    store_deployment.STOP_SETTINGS = [f"linger_ms = {LINGER_MS}", f"grace_s = {GRACE_S}"]
    with tempfile.TemporaryDirectory() as directory, contextlib.closing(Deployment(directory)) as deployment:
        return 0 if run(deployment) else 1


if __name__ == "__main__":
    try:
        sys.exit(main())
    except FleetError as error:
        print(f"FAILED: {error}")
        sys.exit(1)
