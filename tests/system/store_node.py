#!/usr/bin/env python3
"""Checks nodes whose source is a metadata store: stand-ins for the store and the targets, real node processes.

Each host has its own loopback address, because all nodes listen for links on the same port.
"""
import base64
import contextlib
import http.server
import json
import os
import pathlib
import signal
import sys
import tempfile
import threading
import time
import urllib.parse

from fleet import FleetError, Process, http_call, wait_until

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("DANDELIONFALL_BUILD", ROOT / "build"))
HOSTS = ["127.0.0.11", "127.0.0.12", "127.0.0.13"]
# A host unknown to the other nodes: its target is not in the store.
NEW_HOST = "127.0.0.14"
CALLER, LINK, OPERATOR, TARGET = 18304, 18620, 18302, 18301
STORE = ("127.0.0.10", 18309)
SERVICE = "desk"
APPLY_TIMEOUT_S = 2
POLL_INTERVAL_S = 0.02
STEP_TIMEOUT_S = 6
# A node pulls from its first seed after 0.3 s.
SEED_TIMEOUT_S = 2


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, *_):
        """Ignores broken connections, which are expected when nodes are killed."""


class Store:
    """The platform's store: records by key, a revision, and a mode in which it responds 503 to every request.

    Serializable watches see the state of `staleness_s` ago.
    """

    def __init__(self):
        self.records, self.log, self.revision, self.available = {}, [], 1, True
        self.staleness_s, self.changed_at, self.serializable_calls = 0, {1: 0.0}, 0
        self.changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                path, _, query = self.path.partition("?")
                values = dict(urllib.parse.parse_qsl(query))
                status, body = store.respond(path, values)
                text = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def log_message(self, *_):
                pass

        self.server = Server(STORE, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def respond(self, path, values):
        with self.changed:
            if not self.available:
                return 503, {}
            if path == "/kv-range":
                return 200, {"items": list(self.records.values()), "has-more": False, "as-of": self.revision}
            after, stale = int(values["after"]), values.get("serializable") == "1"
            self.serializable_calls += stale
            end = time.monotonic() + int(values["wait-ms"]) / 1000
            while self.available and self.visible(stale) <= after and time.monotonic() < end:
                self.changed.wait(min(POLL_INTERVAL_S, max(end - time.monotonic(), 0)))
            if not self.available:
                return 503, {}
            as_of = self.visible(stale)
            return 200, {"events": [event for event in self.log if after < event["rev"] <= as_of], "as-of": as_of}

    def visible(self, stale):
        if not stale:
            return self.revision
        newest = time.monotonic() - self.staleness_s
        return max(revision for revision, at in self.changed_at.items() if at <= newest)

    def count_change(self):
        self.revision += 1
        self.changed_at[self.revision] = time.monotonic()

    def put(self, key, value):
        with self.changed:
            self.count_change()
            encoded = base64.b64encode(json.dumps(value).encode()).decode()
            self.records[key] = {"key": key, "value": encoded, "rev": self.revision}
            self.log.append(self.records[key])
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self.count_change()
            del self.records[key]
            self.log.append({"key": key, "rev": self.revision, "tombstone": True})
            self.changed.notify_all()

    def set_available(self, available):
        with self.changed:
            self.available = available
            self.changed.notify_all()


class Target:
    """A target that responds with its instance as signature and records the headers of its requests."""

    def __init__(self, host, instance):
        self.host, self.instance, self.requests = host, instance, []
        target = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                target.requests.append(dict(self.headers))
                wrong_instance = self.headers.get("Expect-Instance") != target.instance
                self.send_response(421 if wrong_instance else 200)
                self.send_header("Attempt-Id", self.headers.get("Attempt-Id", ""))
                self.send_header("Instance-Id" if wrong_instance else "Response-Signature", target.instance)
                self.send_header("Content-Length", "2")
                self.end_headers()
                self.wfile.write(b"ok")

            def log_message(self, *_):
                pass

        self.server = Server((host, TARGET), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def record(self, state="ready"):
        return {"service": SERVICE, "address": f"{self.host}:{TARGET}", "zone": "a", "version": "v1", "slots": 4,
                "state": state, "cold-remaining-ms": 0, "seq": 1, "born": 1}


def configuration(version, prefix="/a/"):
    route = {"name": "r", "host": "h.example", "prefix": prefix, "kind": "idempotent", "timeout-ms": 1200,
             "target-latency-ms": 400, "priority": 1, "service": SERVICE, "max-attempts": 2}
    service = {"name": SERVICE, "health-path": "/healthz", "max-connections": 20, "protocol": "h1", "tls": False,
               "cold-start-s": 3.0, "cold-per-s": 14.0}
    return {"version": version, "routes": [route], "services": [service],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}}


def settings(host, seeds=()):
    return "\n".join([
        "[node]", f"host = {host}", "zone = a", f"caller_address = {host}:{CALLER}", f"link_address = {host}:{LINK}",
        f"operator_address = {host}:{OPERATOR}", "[target]", f"name = {host}", f"address = {host}:{TARGET}",
        f"service = {SERVICE}", "[source]", "protocol = store", f"address = {STORE[0]}:{STORE[1]}", "[zones]",
        "a = r", "[overlay]", "seeds = " + ", ".join(f"{seed}:{LINK}" for seed in seeds), "[retries]", "ratio = 0.2", "slack = 60", "[stop]", "linger_ms = 1500", ""])


class Deployment:
    """A store, three targets, and a node next to each target."""

    def __init__(self, directory):
        self.store = Store()
        self.targets = [Target(host, f"i-{index}") for index, host in enumerate(HOSTS)]
        for target in self.targets:
            self.store.put(f"servers/{target.instance}", target.record())
        self.store.put("op/config", configuration(4))
        self.nodes = []
        for host in HOSTS:
            path = pathlib.Path(directory) / f"{host}.ini"
            path.write_text(settings(host))
            self.nodes.append(Process(host, [BUILD / "dandelionfall", "node", "--settings", path], directory))

    def close(self):
        for node in self.nodes:
            if node.alive():
                node.kill()

    @staticmethod
    def ready(host):
        with contextlib.suppress(OSError):
            return http_call(f"{host}:{OPERATOR}", "GET", "/ready")[0] == 200
        return False

    @staticmethod
    def call(host, path="/a/x"):
        return http_call(f"{host}:{CALLER}", "GET", path, headers={
            "Host": "h.example", "Attempt-Id": "1f", "Deadline-Ms": "1000", "Caller-Service": "forged"})

    def served(self):
        return sum(len(target.requests) for target in self.targets)


def check(condition, description):
    print(f"{'ok' if condition else 'FAILED'}: {description}", flush=True)
    return bool(condition)


def check_request(deployment):
    status, headers, body = deployment.call(HOSTS[0])
    passed = check((status, body, headers.get("attempt-id")) == (200, b"ok", "1f"), f"request: status {status}")
    sent = [request for target in deployment.targets for request in target.requests][0]
    passed &= check(sent["Caller-Service"] == SERVICE, "request: the service is the node's own")
    passed &= check(0 < int(sent["Deadline-Ms"]) <= 1000, "request: the deadline is the remaining time")
    return passed & check(deployment.call(HOSTS[0], "/b/x")[0] == 404, "request: no route")


def check_stale_reads(deployment):
    """Nodes whose serializable reads are 6 s old apply a change in time, without calls between them."""
    store = deployment.store
    time.sleep(APPLY_TIMEOUT_S)
    passed = check(store.serializable_calls > 0, f"{store.serializable_calls} watches were serializable")
    store.staleness_s = 6
    statuses = []
    for version, prefix in ((5, "/stale-1/"), (6, "/stale-2/")):
        store.put("op/config", configuration(version, prefix))
        time.sleep(APPLY_TIMEOUT_S)
        statuses += [deployment.call(host, prefix + "x")[0] for host in HOSTS]
    passed &= check(statuses == [200] * len(statuses), f"a change is applied in time beside stale reads: {statuses}")
    leaving = deployment.targets[1]
    store.put(f"servers/{leaving.instance}", leaving.record("draining"))
    time.sleep(APPLY_TIMEOUT_S)
    before = len(leaving.requests)
    for host in HOSTS * 5:
        deployment.call(host, "/stale-2/x")
    passed &= check(len(leaving.requests) == before, "a draining target receives no request beside stale reads")
    store.put(f"servers/{leaving.instance}", leaving.record())
    store.staleness_s = 0
    return passed


def check_node_killed(deployment, killed_host):
    deployment.nodes[HOSTS.index(killed_host)].kill()
    deployment.store.put("op/config", configuration(9, "/new/"))
    running_hosts = [host for host in HOSTS if host != killed_host]
    start = time.monotonic()
    wait_until(lambda: all(deployment.call(host, "/new/x")[0] != 404 for host in running_hosts), APPLY_TIMEOUT_S,
               "a change is applied")
    elapsed_s = time.monotonic() - start
    return check(elapsed_s < APPLY_TIMEOUT_S, f"a change is applied {elapsed_s:.2f} s after a node was killed")


def check_start_without_store(deployment, host):
    """A node that starts while the store is down gets the records from the other nodes."""
    deployment.store.set_available(False)
    deployment.nodes[HOSTS.index(host)].start()
    wait_until(lambda: deployment.ready(host), STEP_TIMEOUT_S, "the node is ready without the store")
    status = deployment.call(host, "/new/x")[0]
    deployment.store.set_available(True)
    return check(status == 200, f"start without the store: status {status}")


def check_seeds(deployment, directory):
    """A node unknown to the others that starts while the store is down gets the records from its seeds.

    Without seeds it refuses calls with status 503.
    """
    deployment.store.set_available(False)
    passed = True
    for seeds, expected_status in (((), 503), ((NEW_HOST, HOSTS[0]), 200)):
        path = pathlib.Path(directory) / "new.ini"
        path.write_text(settings(NEW_HOST, seeds))
        node = Process(f"new-{expected_status}", [BUILD / "dandelionfall", "node", "--settings", path], directory)
        deployment.nodes.append(node)
        start = time.monotonic()
        while not deployment.ready(NEW_HOST) and time.monotonic() - start < SEED_TIMEOUT_S:
            time.sleep(0.05)
        status = deployment.call(NEW_HOST, "/new/x")[0]
        passed &= check(status == expected_status, f"a new node with {len(seeds)} seeds and no store: status {status}")
        if expected_status == 503:
            line = next((text for text in node.log.read_text().splitlines() if "event=408" in text), "")
            passed &= check("caller_id=1f" in line, "the log line of the refusal contains the caller's id")
        node.kill()
    deployment.store.set_available(True)
    return passed


def check_draining(deployment):
    draining = deployment.targets[0]
    deployment.store.put(f"servers/{draining.instance}", draining.record("draining"))
    time.sleep(APPLY_TIMEOUT_S)
    before = len(draining.requests)
    statuses = {deployment.call(host, "/new/x")[0] for host in HOSTS for _ in range(10)}
    return check(statuses == {200} and len(draining.requests) == before,
                 f"a draining target receives no request: {statuses}")


def check_planned_stop(deployment):
    host, node = HOSTS[1], deployment.nodes[1]
    node.send_signal(signal.SIGTERM)
    wait_until(lambda: not deployment.ready(host), STEP_TIMEOUT_S, "the node is not ready")
    passed = check(deployment.call(host, "/new/x")[0] == 200, "planned stop: a caller is still served")
    return passed & check(node.child.wait(STEP_TIMEOUT_S) == 0, "planned stop: exit code 0")


def main():
    with tempfile.TemporaryDirectory() as directory, contextlib.closing(Deployment(directory)) as deployment:
        for host in HOSTS:
            wait_until(lambda host=host: deployment.ready(host), STEP_TIMEOUT_S, f"{host} is ready")
        passed = check_request(deployment)
        passed &= check_stale_reads(deployment)
        passed &= check_node_killed(deployment, HOSTS[2])
        passed &= check_start_without_store(deployment, HOSTS[2])
        passed &= check_seeds(deployment, directory)
        passed &= check_draining(deployment)
        passed &= check_planned_stop(deployment)
    return 0 if passed else 1


if __name__ == "__main__":
    try:
        sys.exit(main())
    except FleetError as error:
        print(f"FAILED: {error}")
        sys.exit(1)
