#!/usr/bin/env python3
"""Checks nodes whose source is a metadata store."""
import contextlib
import pathlib
import signal
import sys
import tempfile
import time

from fleet import FleetError, Process, wait_until
from store_deployment import BUILD, HOSTS, SERVICE, SPARE_HOST, Deployment, check, configuration, settings

# A host unknown to the other nodes: its target is not in the store.
NEW_HOST = SPARE_HOST
APPLY_TIMEOUT_S = 2
STEP_TIMEOUT_S = 6
# A node pulls from its first seed after 0.3 s.
SEED_TIMEOUT_S = 2


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
            # The line is written after the response has been sent.
            line = wait_until(lambda node=node: refusal_line(node), STEP_TIMEOUT_S, "the refusal is logged")
            passed &= check("caller_id=1f" in line, "the log line of the refusal contains the caller's id")
        node.kill()
    deployment.store.set_available(True)
    return passed


def refusal_line(node):
    lines = node.log.read_text().splitlines(keepends=True)
    return next((text for text in lines if "event=408" in text and text.endswith("\n")), "")


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
