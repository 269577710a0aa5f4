"""Starts a small fleet over loopback: the platform's stand-in, targets and nodes, each in its own process.

Closing the fleet ends every process that it started, by process ID; no process outlives the test.
"""
import configparser
import contextlib
import fcntl
import http.client
import io
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import threading
import time

from relay import Relays

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 15
LOOPBACK = "127.0.0.1"
# Fleets use fixed ports, so only one can run on a machine at a time.
LOCK_FILE = pathlib.Path(tempfile.gettempdir()) / "dandelionfall-fleet.lock"
# Offsets of the other ports of a host from its link port, as laid out in tests/standin/data/LAYOUT.txt.
CALLER_OFFSET = 1000
OPERATOR_OFFSET = 2000
TARGET_OFFSET = -1000
TARGET_ADMIN_OFFSET = -800
PLATFORM_OFFSET = -2000
RELAY_OFFSET = 400


class FleetError(Exception):
    """A condition that the test requires was not met."""


def wait_until(condition, timeout_s, description, poll_interval_s=0.02):
    """Polls until the condition returns a true value, and returns that; raises FleetError after timeout_s."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(poll_interval_s)
    raise FleetError(f"timed out after {timeout_s} s: {description}")


def http_call(address, method, path, body=None, headers=None, timeout_s=10):
    """Makes one HTTP call on a new connection; returns the status, the headers (names in lower case) and the body."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        text = response.read()
        return response.status, {k.lower(): v for k, v in response.getheaders()}, text
    finally:
        connection.close()


class Process:
    """A process that the fleet started."""

    def __init__(self, name, arguments, directory):
        self.name = name
        self.arguments = [str(a) for a in arguments]
        self.log = pathlib.Path(directory) / f"{name}.log"
        self.child = None
        # Two faults of a scenario can restart the same host.
        self.lock = threading.Lock()
        # All children ever started; none may outlive the fleet.
        self.children = []
        self.start()

    def start(self):
        """Starts the program unless it is running; returns whether it started it."""
        with self.lock:
            if self.child is not None and self.child.poll() is None:
                return False
            with open(self.log, "ab") as log:
                self.child = subprocess.Popen(self.arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
            self.children.append(self.child)
            return True

    def running_pids(self):
        """Returns the process IDs of the children that are still running."""
        return [child.pid for child in self.children if child.poll() is None]

    @property
    def pid(self):
        return self.child.pid

    def alive(self):
        return self.child.poll() is None

    def send_signal(self, signal_number):
        if self.alive():
            self.child.send_signal(signal_number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.child.wait()

    def suspend(self):
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        self.send_signal(signal.SIGCONT)

    def stop(self, timeout_s=10):
        """Requests a planned stop (SIGTERM); returns the exit code, or None if the process had to be killed."""
        self.resume()
        self.send_signal(signal.SIGTERM)
        try:
            return self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def tail(self, lines=15):
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-lines:])


class Node:
    """A node, its addresses and its process."""

    def __init__(self, host, zone, link_address, target_name):
        port = int(link_address.rsplit(":", 1)[1])
        self.host = host
        self.zone = zone
        self.link_address = link_address
        self.caller_address = f"{LOOPBACK}:{port + CALLER_OFFSET}"
        self.operator_address = f"{LOOPBACK}:{port + OPERATOR_OFFSET}"
        self.target_name = target_name
        self.target_address = f"{LOOPBACK}:{port + TARGET_OFFSET}"
        self.process = None
        self.stopping = False

    def status(self):
        try:
            return json.loads(http_call(self.operator_address, "GET", "/status", timeout_s=2)[2])
        except (OSError, http.client.HTTPException, ValueError):
            return None

    def timeline(self):
        return json.loads(http_call(self.operator_address, "GET", "/timeline", timeout_s=5)[2])

    def metrics(self):
        values = {}
        for line in http_call(self.operator_address, "GET", "/metrics", timeout_s=5)[2].decode().splitlines():
            if not line.startswith("#"):
                name, value = line.rsplit(" ", 1)
                values[name] = float(value)
        return values


class Target:
    """The stand-in of a target."""

    def __init__(self, node, slots, connections):
        port = int(node.link_address.rsplit(":", 1)[1])
        self.name = node.target_name
        self.address = node.target_address
        self.admin_address = f"{LOOPBACK}:{port + TARGET_ADMIN_OFFSET}"
        self.slots = slots
        self.connections = connections
        self.process = None

    def counters(self):
        return json.loads(http_call(self.admin_address, "GET", "/admin/counters")[2])

    def set_mode(self, text):
        http_call(self.admin_address, "POST", "/admin/mode", body=text)


class Platform:
    """The stand-in of the platform."""

    def __init__(self, data_directory, work_directory, standin_directory, port):
        self.address = f"{LOOPBACK}:{port}"
        self.admin_address = f"{LOOPBACK}:{port + 1}"
        self.process = Process("platform", [
            standin_directory / "platform_standin", f"--address={self.address}",
            f"--admin_address={self.admin_address}", f"--directory={data_directory}"], work_directory)

    def set_mode(self, text):
        http_call(self.admin_address, "POST", "/admin/mode", body=text)

    def stage_part(self, part, text):
        http_call(self.admin_address, "POST", f"/admin/part/{part}", body=text)

    def commit(self):
        http_call(self.admin_address, "POST", "/admin/commit")

    def counters(self):
        return json.loads(http_call(self.admin_address, "GET", "/admin/counters")[2])

    def read_part(self, part):
        return http_call(self.address, "GET", f"/part/{part}")[2].decode()

    def set_leaving(self, host, leaving):
        """Publishes a revision of the host list in which a host has the state "leaving" or "live"."""
        parser = configparser.ConfigParser(strict=False)
        parser.read_string(http_call(self.address, "GET", "/hosts")[2].decode())
        parser["hosts"]["revision"] = str(int(parser["hosts"]["revision"]) + 1)
        parser[f"host {host}"]["state"] = "leaving" if leaving else "live"
        text = io.StringIO()
        parser.write(text)
        http_call(self.admin_address, "POST", "/admin/hosts", body=text.getvalue())

    def set_zone(self, zone, state):
        """Publishes a version in which an availability zone has a state, "in" or "out"."""
        lines = []
        in_section = False
        for line in self.read_part("zones").splitlines():
            if line.startswith("["):
                in_section = line.strip() == f"[zone {zone}]"
            lines.append(f"state = {state}" if in_section and line.startswith("state") else line)
        self.stage_part("zones", "\n".join(lines) + "\n")
        self.commit()


class Fleet:
    """Runs a deployment from published data: a directory of tests/standin/data, or another of the same layout."""

    def __init__(self, deployment="thessaloniki", services=None, directory=None, targets=True, holders=2,
                 settings=None, target_options=None, platform_port=None, relays=False):
        self.build_directory = pathlib.Path(os.environ.get("DANDELIONFALL_BUILD", ROOT / "build"))
        self.standin_directory = self.build_directory / "tests" / "standin"
        self.data_directory = pathlib.Path(directory or ROOT / "tests" / "standin" / "data" / deployment)
        self.lock = open(LOCK_FILE, "w", encoding="ascii")  # pylint: disable=consider-using-with
        fcntl.flock(self.lock, fcntl.LOCK_EX)
        self.work_directory = tempfile.TemporaryDirectory(prefix="dandelionfall-")
        self.holders = holders
        self.settings = settings or {}
        self.target_options = target_options or []
        self.with_targets = targets
        self.nodes = []
        self.targets = {}
        self.platform = None
        self._read_hosts()
        self._read_targets(services)
        self.platform_port = platform_port or self._first_port() // 100 * 100 + PLATFORM_OFFSET
        self.relays = None
        if relays:
            self._publish_relay_addresses()

    def _publish_relay_addresses(self):
        """Starts a relay for each node and publishes the relay's address in place of the node's."""
        ports = {}
        for node in self.nodes:
            port = int(node.link_address.rsplit(":", 1)[1])
            ports[port] = port + RELAY_OFFSET
        published = pathlib.Path(self.work_directory.name) / "published"
        shutil.copytree(self.data_directory, published)
        for path in [published / "hosts", *(published / "service").iterdir()]:
            text = path.read_text(encoding="utf-8")
            for port, relay in ports.items():
                text = text.replace(f"{LOOPBACK}:{port}\n", f"{LOOPBACK}:{relay}\n")
            path.chmod(0o644)
            path.write_text(text, encoding="utf-8")
        self.data_directory = published
        self.relays = Relays(ports)

    def relay(self, node):
        return self.relays.relays[int(node.link_address.rsplit(":", 1)[1])]

    def published_address(self, node):
        """Returns the address at which other nodes reach a node: the relay's if there is one."""
        if self.relays is None:
            return node.link_address
        return f"{LOOPBACK}:{self.relay(node).port}"

    def _first_port(self):
        return min(int(node.link_address.rsplit(":", 1)[1]) for node in self.nodes)

    def _read_hosts(self):
        parser = configparser.ConfigParser(strict=False)
        parser.read(self.data_directory / "hosts")
        self.hosts = {section.split(" ", 1)[1]: parser[section]["address"]
                      for section in parser.sections() if section.startswith("host ")}

    def _read_targets(self, services):
        for path in sorted((self.data_directory / "service").iterdir()):
            if services and path.name not in services:
                continue
            parser = configparser.ConfigParser(strict=False)
            parser.read(path)
            for section in parser.sections():
                if section.startswith("target ") and parser[section]["host"] in self.hosts:
                    self._add_node(section.split(" ", 1)[1], parser[section])
        self.nodes.sort(key=lambda node: int(node.link_address.rsplit(":", 1)[1]))

    def _add_node(self, name, values):
        node = Node(values["host"], values["zone"], values["gate"], name)
        self.nodes.append(node)
        if self.with_targets:
            self.targets[name] = Target(node, int(values["slots"]), int(values["connections"]))

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_):
        self.close()

    def start(self):
        self.platform = Platform(self.data_directory, self.work_directory.name, self.standin_directory,
                                 self.platform_port)
        for target in self.targets.values():
            self.start_target(target)
        wait_until(lambda: self._responds_ok(self.platform.address, "/manifest"), START_TIMEOUT_S,
                   "the platform responds")
        for node in self.nodes:
            self.start_node(node)

    def start_target(self, target):
        target.process = Process(f"target-{target.name}", [
            self.standin_directory / "target_standin", f"--address={target.address}",
            f"--admin_address={target.admin_address}", f"--name={target.name}", f"--slots={target.slots}",
            f"--connections={target.connections}", *self.target_options], self.work_directory.name)

    def write_settings(self, node):
        seeds = [self.published_address(other) for other in self.nodes if other is not node][:4]
        sections = {
            "node": {"host": node.host, "zone": node.zone, "caller_address": node.caller_address,
                     "link_address": node.link_address, "operator_address": node.operator_address},
            "target": {"name": node.target_name, "address": node.target_address},
            "source": {"address": self.platform.address, "budget_calls_per_s": "2000"},
            "overlay": {"seeds": ", ".join(seeds), "assumed_hosts": str(len(self.nodes)),
                        "holders": str(self.holders)},
            "log": {"level": "info", "trace_requests": "true"},
        }
        for section, values in self.settings.items():
            sections[section].update(values)
        path = pathlib.Path(self.work_directory.name) / f"{node.host}.ini"
        with open(path, "w", encoding="utf-8") as file:
            for section, values in sections.items():
                file.write(f"[{section}]\n" + "".join(f"{k} = {v}\n" for k, v in values.items()))
        return path

    def start_node(self, node):
        path = self.write_settings(node)
        if node.process is None:
            node.process = Process(node.host, [self.build_directory / "dandelionfall", "node", "--settings", path],
                                   self.work_directory.name)
        else:
            node.process.start()

    @staticmethod
    def _responds_ok(address, path):
        with contextlib.suppress(OSError, http.client.HTTPException):
            return http_call(address, "GET", path, timeout_s=2)[0] == 200
        return False

    def running_nodes(self):
        return [node for node in self.nodes if node.process is not None and node.process.alive()]

    def callable_nodes(self):
        """Returns the nodes that accept new calls: running, and not about to be stopped."""
        return [node for node in self.running_nodes() if not node.stopping]

    def wait_ready(self, timeout_s=START_TIMEOUT_S):
        for node in self.nodes:
            if not node.process.alive():
                raise FleetError(f"{node.host} exited: {node.process.tail()}")
            wait_until(lambda n=node: (n.status() or {}).get("ready"), timeout_s, f"{node.host} is ready")

    def applied_versions(self):
        return {node.host: applied_version(node.status()) for node in self.running_nodes()}

    def wait_version(self, version, timeout_s, nodes=None):
        """Waits until the nodes have applied a version or a later one; returns the seconds it took."""
        start = time.monotonic()
        for node in nodes or self.running_nodes():
            wait_until(lambda n=node: applied_version(n.status()) >= version, timeout_s,
                       f"{node.host} applies version {version}")
        return time.monotonic() - start

    def counters(self):
        return {name: target.counters() for name, target in self.targets.items() if target.process.alive()}

    def close(self):
        for node in self.nodes:
            if node.process is not None and node.process.alive():
                node.process.resume()
                node.process.kill()
        for target in self.targets.values():
            if target.process is not None and target.process.alive():
                target.process.kill()
        if self.platform is not None and self.platform.process.alive():
            self.platform.process.kill()
        remaining_pids = self._running_pids()
        if self.relays is not None:
            self.relays.close()
        self.work_directory.cleanup()
        self.lock.close()
        if remaining_pids:
            raise FleetError(f"processes still running after the scenario: {remaining_pids}")

    def _running_pids(self):
        owners = [*self.nodes, *self.targets.values(), *([self.platform] if self.platform else [])]
        return [pid for owner in owners if owner.process is not None for pid in owner.process.running_pids()]


def applied_version(status):
    """Returns the applied version of a status page, or -1 if there is no page."""
    if not status:
        return -1
    return status["applied"]["version"]
