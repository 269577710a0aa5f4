"""Stand-ins for the platform and its backends, and nodes started with the deploy file, for the scripts of this review.

Each machine has its own loopback address; the ports are the same on all machines of a run and are free when it begins.
"""
import base64
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import re
import signal
import socket
import socketserver
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PAGE_ITEMS = 500


class CannotRun(Exception):
    """The case could not be run."""


def free_ports(count, hosts):
    """Returns ports that are free on all of the addresses."""
    chosen = []
    for port in range(21000 + os.getpid() * 61 % 7000, 32000):
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    probe = stack.enter_context(socket.socket())
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((host, port))
            except OSError:
                continue
        chosen.append(port)
        if len(chosen) == count:
            return chosen
    raise CannotRun("no free ports")


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, *_):
        pass


class Store:
    """The platform's metadata store: linearizable, with watches and pages; loses nothing that it acknowledged."""

    def __init__(self, address):
        self.address, self.items, self.log, self.revision = address, {}, [], 1
        self.changed, self.mode = threading.Condition(), {}
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                path, _, query = self.path.partition("?")
                status, body = store.respond(path, dict(urllib.parse.parse_qsl(query)), self.client_address[0])
                text = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def log_message(self, *_):
                pass

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def respond(self, path, query, _client):
        with self.changed:
            if path == "/kv-key":
                item = self.items.get(query["key"])
                return (200, {**item, "as-of": self.revision}) if item else (404, {})
            if path == "/kv-range":
                keys = sorted(k for k in self.items if k.startswith(query.get("prefix", ""))
                              and k > query.get("after", ""))
                page = [self.items[k] for k in keys[:PAGE_ITEMS]]
                return 200, {"items": page, "has-more": len(keys) > PAGE_ITEMS, "as-of": self.revision}
            after, end = int(query["after"]), time.monotonic() + int(query["wait-ms"]) / 1000
            while True:
                events = [e for e in self.log if e["rev"] > after and e["key"].startswith(query.get("prefix", ""))]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "as-of": self.revision}
                self.changed.wait(left)

    def put(self, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.revision += 1
            created = self.items[key]["created"] if key in self.items else self.revision
            self.items[key] = {"key": key, "value": base64.b64encode(text).decode(), "rev": self.revision,
                               "created": created, "lease": 0}
            self.log.append(self.items[key])
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self.revision += 1
            del self.items[key]
            self.log.append({"key": key, "rev": self.revision, "tombstone": True})
            self.changed.notify_all()


class Backend:
    """A sound backend. `runs` holds (time, Attempt-Id, path, headers); subclasses change `handle`."""

    def __init__(self, fleet, machine, instance, service, work_s=0.02):
        self.fleet, self.machine, self.instance, self.service, self.work_s = fleet, machine, instance, service, work_s
        self.runs, self.refused, self.sequence, self.born = [], 0, 0, int(time.time() * 1000)
        self.lock, self.connections, self.state = threading.Lock(), set(), "ready"
        backend = self

        class Handler(socketserver.StreamRequestHandler):
            disable_nagle_algorithm = True

            def handle(self):
                backend.connections.add(self.connection)
                with contextlib.suppress(OSError, ValueError):
                    while backend.handle(self):
                        pass
                backend.connections.discard(self.connection)

        class Listener(socketserver.ThreadingTCPServer):
            daemon_threads = True
            allow_reuse_address = True
            request_queue_size = 256

            def handle_error(self, *_):
                pass

        self.listener = Listener((machine.ip, fleet.app_port), Handler)
        threading.Thread(target=self.listener.serve_forever, args=(0.02,), daemon=True).start()

    @staticmethod
    def read_request(stream):
        line = stream.readline(65537).decode("latin-1")
        if not line:
            raise OSError("end")
        method, path, _ = line.split()
        headers = http.client.parse_headers(stream)
        length = int(headers.get("Content-Length", 0))
        return method, path, headers, stream.read(length)

    def handle(self, handler):
        method, path, headers, body = self.read_request(handler.rfile)
        if headers.get("Expect-Instance", self.instance) != self.instance:
            self.reply(handler, 421, headers, [("Instance-Id", self.instance)])
            return True
        return self.run(handler, method, path, headers, body)

    def run(self, handler, method, path, headers, body):
        del method, body
        with self.lock:
            self.runs.append((time.monotonic(), headers.get("Attempt-Id"), path, dict(headers)))
        time.sleep(self.work_s)
        self.answer(handler, headers)
        return True

    def answer(self, handler, headers):
        self.reply(handler, 200, headers, [("Response-Signature", f"sig.{self.instance}.{headers.get('Attempt-Id')}")],
                   f"body of {headers.get('Attempt-Id')}".encode())

    @staticmethod
    def reply(handler, status, headers, fields, body=b""):
        lines = [f"HTTP/1.1 {status} Status", f"Attempt-Id: {headers.get('Attempt-Id', '')}",
                 f"Content-Length: {len(body)}", *(f"{name}: {value}" for name, value in fields)]
        handler.wfile.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def record(self, **changes):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.machine.ip}:{self.fleet.app_port}",
                "zone": self.machine.zone, "version": "v1", "slots": 12, "state": self.state,
                "cold-remaining-ms": 0, "seq": self.sequence, "born": self.born, **changes}

    def beat(self):
        self.fleet.store.put(f"servers/{self.instance}", self.record())

    def end(self):
        """Ends as a crashed process does: the port and all connections are closed."""
        self.listener.shutdown()
        self.listener.server_close()
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


def render(template, values):
    """Fills in a settings template as the platform's deploy page says (the part that deploy/node.ini uses)."""

    def look_up(name, scopes):
        if name == ".":
            return scopes[0][0]
        if name == "@":
            return scopes[0][1]
        for entry, _ in scopes:
            found = entry
            for part in name.split("."):
                found = found.get(part) if isinstance(found, dict) else None
            if found is not None:
                return found
        return None

    def text_of(value):
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def fill(text, scopes):
        section = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.S)

        def expand(match):
            value = look_up(match.group(1), scopes)
            if isinstance(value, dict):
                return "".join(fill(match.group(2), [(v, k), *scopes]) for k, v in value.items())
            return fill(match.group(2), scopes) if value else ""

        text = section.sub(expand, text)
        return re.sub(r"\{\{([^}#/^]+)\}\}", lambda m: text_of(look_up(m.group(1), scopes)), text)

    return fill(template, [(values, None)])


class Machine:
    """A machine: its address, its zone, and the node on it."""

    def __init__(self, fleet, index, zone, service):
        self.fleet, self.ip, self.zone, self.service = fleet, f"127.0.0.{11 + index}", zone, service
        self.name, self.node, self.children = f"sidecar-{zone}-{index}", None, []
        self.log = pathlib.Path(fleet.directory) / f"{self.name}.log"
        self.settings = pathlib.Path(fleet.directory) / f"{self.name}.boot"

    def write_settings(self):
        fleet = self.fleet
        values = {
            "node": self.name, "zone": self.zone, "app": f"{self.ip}:{fleet.app_port}", "service": self.service,
            "zones": {zone: "r1" for zone in fleet.zones},
            "listen": {"outbound": f"{self.ip}:{fleet.caller_port}", "control": f"{self.ip}:{fleet.link_port}",
                       "readiness": f"{self.ip}:{fleet.ready_port}"},
            "platform": {"address": f"{fleet.store.address[0]}:{fleet.store.address[1]}", "reads-per-s": 2000},
            "seeds": [f"{other.ip}:{fleet.link_port}" for other in fleet.machines[:3]],
            "bounds": {"retry-budget-ratio": 0.2, "budget-slack": 60, "budget-window-s": 10, "grace-s": 6},
            "limits": {"cpu-share": 0.2, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0},
        }
        self.settings.write_text(render(fleet.template, values))

    def start(self):
        self.write_settings()
        words = [str(self.settings) if word.endswith("boot.toml") else word for word in fleet_command()]
        words[0] = str(ROOT / words[0])
        with open(self.log, "ab") as log:
            self.node = subprocess.Popen(words, stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT)
        self.children.append(self.node)

    def ready(self):
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection = http.client.HTTPConnection(self.ip, self.fleet.ready_port, timeout=1)
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        return False

    def alive(self):
        return self.node is not None and self.node.poll() is None

    def signal(self, number):
        if self.alive():
            self.node.send_signal(number)


def fleet_command():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["node"]["run"].split()


class Fleet:
    """A store, and machines with a node each; backends are added by the case."""

    def __init__(self, services, zones=("a", "b")):
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory, self.zones = self.temporary.name, zones
        if not (ROOT / fleet_command()[0]).exists():
            raise CannotRun("the program of the deploy file is not built")
        hosts = ["127.0.0.9"] + [f"127.0.0.{11 + i}" for i in range(len(services))]
        ports = free_ports(5, hosts)
        self.app_port, self.caller_port, self.link_port, self.ready_port = ports[:4]
        self.template = (ROOT / "deploy" / "node.ini").read_text()
        self.store = Store(("127.0.0.9", ports[4]))
        self.machines = [Machine(self, i, zones[i % len(zones)], s) for i, s in enumerate(services)]
        self.backends = []

    def backend(self, kind, machine, instance, **options):
        new = kind(self, machine, instance, machine.service, **options)
        self.backends.append(new)
        return new

    def configure(self, version, routes, limits=None):
        services = sorted({m.service for m in self.machines})
        self.store.put("op/config", {
            "version": version, "routes": routes,
            "services": [{"name": s, "health-path": "/healthz", "max-connections": 120, "protocol": "h1", "tls": False,
                          "cold-start-s": 3.0, "cold-per-s": 14.0} for s in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000, **(limits or {})}})

    def start(self, timeout_s=10):
        for machine in self.machines:
            machine.start()
        self.wait_ready(self.machines, timeout_s)
        time.sleep(1.5)

    @staticmethod
    def wait_ready(machines, timeout_s=10):
        end = time.monotonic() + timeout_s
        for machine in machines:
            while not machine.ready():
                if time.monotonic() > end:
                    raise CannotRun(f"{machine.name} is not ready")
                time.sleep(0.05)

    def close(self):
        for machine in self.machines:
            for child in machine.children:
                if child.poll() is None:
                    child.send_signal(signal.SIGCONT)
                    child.kill()
                child.wait()
        for backend in self.backends:
            with contextlib.suppress(OSError):
                backend.end()
        self.store.server.shutdown()
        self.temporary.cleanup()


def route(prefix, service, kind="idempotent", timeout_ms=5000, attempts=2, **more):
    return {"name": "r" + prefix.strip("/"), "host": "h.example", "prefix": prefix, "kind": kind,
            "timeout-ms": timeout_ms, "target-latency-ms": 800, "priority": 1, "service": service,
            "max-attempts": attempts, **more}


def call(machine, path, attempt, method="GET", deadline_ms=3000, body=None, timeout_s=8, headers=None):
    """Sends one client attempt on a new connection; returns (status, headers, body), status None for a closed one."""
    connection = http.client.HTTPConnection(machine.ip, machine.fleet.caller_port, timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers={
            "Host": "h.example", "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms), **(headers or {})})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException) as fault:
        return None, {}, repr(fault).encode()
    finally:
        connection.close()
