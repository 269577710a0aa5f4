"""Stand-ins of the second review: the platform's store, servers, clients, and the machines that run the nodes.

The store and the servers speak what PROTOCOL.md says; where it is silent they behave soundly. All addresses are
loopback addresses, one for each machine. The nodes are started with the command and the settings template of deploy/.
"""
import asyncio
import base64
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PAGE_BYTES, PAGE_ITEMS = 1_000_000, 500
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.5
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not be set up."""


def free_ports(hosts, count):
    """Returns ports that are free at all hosts."""
    ports = []
    for port in range(18300, 30000):
        sockets = []
        try:
            for host in hosts:
                sockets.append(socket.socket())
                sockets[-1].bind((host, port))
            ports.append(port)
        except OSError:
            pass
        finally:
            for each in sockets:
                each.close()
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


# The settings of a process, filled in from the template of the deploy file.

def look_up(scopes, name):
    if name == ".":
        return scopes[-1]["."]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                break
        else:
            return value
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return str(value).lower()
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)


def render(template, scopes):
    """Fills in a template as DEPLOY.md describes: values, and sections of tables and of true values."""
    section = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def fill(match):
        value = look_up(scopes, match[1])
        if not value:
            return ""
        if isinstance(value, dict):
            return "".join(render(match[2], scopes + [{"@": key, ".": each}]) for key, each in value.items())
        return render(match[2], scopes)

    text = section.sub(fill, template)
    return re.sub(r"\{\{([^}|]+)\}\}", lambda match: as_text(look_up(scopes, match[1])), text)


# The platform's store.

async def read_message(reader):
    """Returns the first line, the fields (names in lower case) and the body of a request, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *rest = head.decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in rest if line)}
    body = await reader.readexactly(int(fields["content-length"])) if "content-length" in fields else b""
    return first, fields, body


class Store:
    """Items by key, one revision, and the changes so far."""

    def __init__(self):
        self.revision, self.items, self.log, self.changed = 1, {}, [], asyncio.Condition()

    async def start(self, host, port):
        await asyncio.start_server(self.serve, host, port)

    async def put(self, key, value):
        """Writes bytes, or a value as JSON; returns the time of the acknowledgement."""
        value = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self.changed:
            self.revision += 1
            created = self.items[key][0] if key in self.items else self.revision
            text = json.dumps({"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision,
                               "created": created, "lease": 0}).encode()
            self.items[key] = (created, text)
            self.log.append((self.revision, key, text))
            self.changed.notify_all()
        return time.monotonic()

    async def remove(self, key):
        async with self.changed:
            self.revision += 1
            del self.items[key]
            text = json.dumps({"key": key, "rev": self.revision, "tombstone": True}).encode()
            self.log.append((self.revision, key, text))
            self.changed.notify_all()
        return time.monotonic()

    def page(self, prefix, after):
        parts, size, more = [], 0, False
        for key in sorted(key for key in self.items if key.startswith(prefix) and key > after):
            text = self.items[key][1]
            if parts and (len(parts) == PAGE_ITEMS or size + len(text) > PAGE_BYTES):
                more = True
                break
            parts.append(text)
            size += len(text)
        return b'{"items":[%s],"has-more":%s,"as-of":%d}' % (b",".join(parts), b"true" if more else b"false",
                                                              self.revision)

    def events(self, prefix, after):
        found = []
        for revision, key, text in reversed(self.log):
            if revision <= after:
                break
            if key.startswith(prefix):
                found.append(text)
        return found[::-1]

    async def watch(self, prefix, after, wait_s):
        end = time.monotonic() + wait_s
        async with self.changed:
            while not (found := self.events(prefix, after)) and (left := end - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            return b'{"events":[%s],"as-of":%d}' % (b",".join(found), self.revision)

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                path, _, query = message[0].split(" ")[1].partition("?")
                values = dict(urllib.parse.parse_qsl(query))
                await asyncio.sleep(STORE_ANSWER_S)
                if path == "/kv-range":
                    body = self.page(values.get("prefix", ""), values.get("after", ""))
                else:
                    body = await self.watch(values.get("prefix", ""), int(values["after"]),
                                            int(values["wait-ms"]) / 1000)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(body), body))
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


# Machines and their nodes.

class Machines:
    """One loopback address for each machine; on each a server of a service and a node."""

    def __init__(self, hosts, services, zone="kalamaria", bounds=None):
        self.hosts, self.services, self.zone = hosts, services, zone
        self.store_host = hosts[0].rpartition(".")[0] + ".200"
        self.outbound, self.control, self.readiness, self.app = free_ports(hosts, 4)
        self.store_port, = free_ports([self.store_host], 1)
        self.bounds = {"retry-budget-ratio": 0.2, "budget-slack": 60, "budget-window-s": 10, "grace-s": 6,
                       **(bounds or {})}
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.limits = {}
        self.children, self.current = [], {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        self.command, self.template = deploy["run"].split(), (ROOT / deploy["template"]).read_text()
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is not built")

    def settings(self, host):
        fields = {"node": f"sidecar-{self.hosts.index(host) + 1}", "zone": self.zone, "service": self.services[host],
                  "app": f"{host}:{self.app}", "zones": {self.zone: "gr-north"},
                  "seeds": [f"{each}:{self.control}" for each in self.hosts[:3]],
                  "listen": {"outbound": f"{host}:{self.outbound}", "readiness": f"{host}:{self.readiness}",
                             "control": f"{host}:{self.control}"},
                  "limits": {"cpu-share": 0.2, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0,
                             **self.limits},
                  "bounds": self.bounds,
                  "platform": {"address": f"{self.store_host}:{self.store_port}", "reads-per-s": 2000}}
        return render(self.template, [fields])

    def start(self, host):
        path = self.directory / f"{host}.toml"
        path.write_text(self.settings(host))
        words = [str(path) if word == "/etc/dandelionfall/boot.toml" else word for word in self.command]
        with open(self.directory / f"{host}.log", "ab") as log:
            child = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                     env={**os.environ, "DANDELIONFALL_CONFIG": str(path)})
        self.children.append(child)
        self.current[host] = child
        return child

    def end(self):
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
                child.wait()

    async def until_ready(self, timeout_s=10):
        end = time.monotonic() + timeout_s
        for host in self.hosts:
            while await get_status(host, self.readiness, "/ready") != 200:
                if time.monotonic() > end:
                    raise CannotRun(f"the node at {host} is not ready")
                await asyncio.sleep(0.05)


async def get_status(host, port, path):
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return None
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 1)
        return int(line.split()[1])
    except (OSError, asyncio.TimeoutError, IndexError):
        return None
    finally:
        writer.close()


def entry(service, address, zone, slots, sequence, state="ready", born=1_770_000_000_000):
    """Returns what a server writes about itself."""
    return {"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": state,
            "cold-remaining-ms": 0, "seq": sequence, "born": born}


def route(name, kind, service, timeout_ms, latency_ms, attempts=2, host="hulo84.example"):
    return {"name": f"r-{name}", "host": host, "prefix": f"/{name}/", "kind": kind, "timeout-ms": timeout_ms,
            "target-latency-ms": latency_ms, "priority": 1, "service": service, "max-attempts": attempts}


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health-path": "/healthz", "max-connections": 120, "protocol": "h1",
                          "tls": False, "cold-start-s": 3.0, "cold-per-s": 14.0} for name in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}}


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, directory):
        self.start, self.file = time.monotonic(), open(pathlib.Path(directory) / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


def run_case(case, directory):
    """Runs a case; exits with 1 if it says that the rule was broken, with 0 if it held, with 2 if it couldn't run."""
    record = Record(directory)
    record.write(f"TROUBLE={1 if TROUBLE else 0}")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), 110))
    except Exception as fault:  # Whatever it is, it says nothing of the rule.
        record.write(f"could not run: {fault!r}")
        leave(2)
    record.write("the rule was BROKEN" if broken else "the rule held")
    leave(1 if broken else 0)


def leave(code):
    """Ends without the destructors of connections, which complain that their loop has ended."""
    sys.stdout.flush()
    os._exit(code)
