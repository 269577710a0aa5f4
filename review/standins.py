"""Stand-ins for the platform (store, process starter), backends and clients of a small deployment on loopback addresses.

They follow the users' pages: the store answers kv-range and kv-watch linearizably, backends register under servers/ID,
nodes are started with the command and the settings template of the deploy file, and a node that ends is started again.
"""
import asyncio
import base64
import bisect
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PAGE_BYTES, PAGE_ITEMS = 1_000_000, 500
VALUE_BYTES = 1_048_576
HISTORY_S = 20
MEMORY_MB = 260
RESTART_DELAY_S = 0.3
GRACE_S = 6
ZONES = ["kalamaria", "sindos", "epanomi"]


class Record:
    """record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


def render(template, fields):
    """Fills in a settings template as the deploy page describes (values and sections)."""
    def look_up(name, scopes):
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text_of(each) for each in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def fill(text, scopes, item=None, key=None):
        def section(match):
            value = look_up(match[1], scopes)
            if not value:
                return ""
            entries = value.items() if isinstance(value, dict) else enumerate(value)
            return "".join(fill(match[2], scopes + [each], each, name) for name, each in entries)
        text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

        def single(match):
            if match[1] == ".":
                return text_of(item)
            return str(key) if match[1] == "@" else text_of(look_up(match[1], scopes))
        return re.sub(r"\{\{([\w.@-]+)\}\}", single, text)
    return fill(template, [fields])


class HttpReader:
    """Reads HTTP/1.1 messages from a stream."""

    @staticmethod
    async def head(reader):
        data = await reader.readuntil(b"\r\n\r\n")
        lines = data.decode("latin-1").split("\r\n")
        headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
        return lines[0], headers

    @staticmethod
    def get(headers, name, default=None):
        return next((value for key, value in headers if key.lower() == name.lower()), default)

    @staticmethod
    async def body(reader, headers):
        if (HttpReader.get(headers, "Transfer-Encoding") or "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                if size == 0:
                    while (await reader.readline()).strip():
                        pass
                    return b"".join(parts)
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
        return await reader.readexactly(int(HttpReader.get(headers, "Content-Length", "0")))


class Item(dict):
    """An item or event, with its JSON text, so that a large one is encoded once only."""

    def __init__(self, fields):
        super().__init__(fields)
        self.text = json.dumps(fields, separators=(",", ":")).encode()


def encode(body):
    """JSON of a reply of the store."""
    lists = {name: b"[" + b",".join(each.text for each in value) + b"]"
             for name, value in body.items() if isinstance(value, list)}
    parts = [b'"%s":%s' % (name.encode(), lists.get(name) or json.dumps(value).encode()) for name, value in body.items()]
    return b"{" + b",".join(parts) + b"}"


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record, self.revision, self.items, self.log = record, 1, {}, []
        self.changed = asyncio.Condition()
        self.compacted = 0
        self.servers, self.calls, self.largest_reply = [], 0, 0

    async def listen(self, ip, port):
        self.servers.append(await asyncio.start_server(self.serve, ip, port, limit=1 << 20))

    async def put(self, key, value):
        """`value` is bytes, or an object that is written as JSON. The return is the acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value, separators=(",", ":")).encode()
        assert len(data) <= VALUE_BYTES and len(key.encode()) <= 200
        async with self.changed:
            self.revision += 1
            created = self.items[key]["created"] if key in self.items else self.revision
            item = Item({"key": key, "value": base64.b64encode(data).decode(), "rev": self.revision,
                         "created": created, "lease": 0})
            self.items[key] = item
            self.log.append((time.monotonic(), item))
            self.changed.notify_all()
        self.record(f"store: {key} written, {len(data)} bytes, revision {self.revision}")

    async def remove(self, key):
        async with self.changed:
            if key not in self.items:
                return
            self.revision += 1
            del self.items[key]
            self.log.append((time.monotonic(), Item({"key": key, "rev": self.revision, "tombstone": True})))
            self.changed.notify_all()
        self.record(f"store: {key} removed, revision {self.revision}")

    def forget_history(self):
        while self.log and self.log[0][0] < time.monotonic() - HISTORY_S:
            self.compacted = self.log.pop(0)[1]["rev"]

    def events(self, prefix, after):
        return [event for _, event in self.log if event["rev"] > after and event["key"].startswith(prefix)]

    async def respond(self, target):
        path, _, query = target.partition("?")
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        prefix = values.get("prefix", "")
        if path == "/kv-key":
            item = self.items.get(values.get("key", ""))
            return (404, {}) if item is None else (200, {**item, "as-of": self.revision})
        if path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix))
            keys = keys[bisect.bisect_right(keys, values.get("after", "")):] if "after" in values else keys
            page, size = [], 0
            for key in keys[:PAGE_ITEMS]:
                size += len(self.items[key]["value"])
                if page and size > PAGE_BYTES:
                    break
                page.append(self.items[key])
            return 200, {"items": page, "has-more": len(page) < len(keys), "as-of": self.revision}
        if path != "/kv-watch":
            return 404, {}
        after, end = int(values["after"]), time.monotonic() + min(int(values["wait-ms"]), 30_000) / 1000
        async with self.changed:
            while True:
                self.forget_history()
                if after < self.compacted:
                    return 410, {}
                found = self.events(prefix, after)
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "as-of": max(self.revision, after)}
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line, headers = await HttpReader.head(reader)
                await HttpReader.body(reader, headers)
                self.calls += 1
                await asyncio.sleep(0.004)
                status, body = await self.respond(line.split(" ")[1])
                text = encode(body)
                if len(text) > self.largest_reply:
                    self.largest_reply = len(text)
                    self.record(f"store: largest reply so far {len(text)} bytes, to {line.split(' ')[1]}")
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" %
                             (status, len(text)) + text)
                await writer.drain()
        writer.close()


class Backend:
    """An application backend: `slots` requests at once, a few more queue, the others are rejected as not run."""

    def __init__(self, record, machine, service, slots=12, work_s=0.05):
        self.record, self.machine, self.service, self.slots = record, machine, service, slots
        self.work_s, self.id, self.runs, self.probe = work_s, f"i-{random.getrandbits(32):08x}", [], 0
        self.born, self.limiter, self.server, self.waiting = int(time.time() * 1000), asyncio.Semaphore(slots), None, 0

    def entry(self, state="ready"):
        return {"service": self.service, "address": f"{self.machine.ip}:{self.machine.ports['app']}",
                "zone": self.machine.zone, "version": "v1", "slots": self.slots, "state": state,
                "cold-remaining-ms": 0, "seq": 1, "born": self.born}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.machine.ip, self.machine.ports["app"], limit=1 << 20)

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while True:
                line, headers = await HttpReader.head(reader)
                body = await HttpReader.body(reader, headers)
                method, path, _ = line.split(" ")
                if path == "/healthz":
                    writer.write(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                attempt = HttpReader.get(headers, "Attempt-Id", "")
                if HttpReader.get(headers, "Expect-Instance", self.id) != self.id:
                    writer.write(f"HTTP/1.1 421 X\r\nInstance-Id: {self.id}\r\nAttempt-Id: {attempt}\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                    continue
                if self.limiter.locked() and self.waiting > 2 * self.slots:
                    writer.write(f"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nAttempt-Id: {attempt}\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                    continue
                self.waiting += 1
                async with self.limiter:
                    self.waiting -= 1
                    self.runs.append((time.monotonic(), attempt, method, HttpReader.get(headers, "Host"), path, len(body)))
                    self.record(f"backend {self.service} {self.id} on {self.machine.name}: runs {attempt} {method} "
                                f"{HttpReader.get(headers, 'Host')}{path[:60]} body {len(body)} bytes")
                    await asyncio.sleep(self.work_s)
                answer = f"{self.service} ran {attempt}".encode()
                writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {self.id}.{attempt}\r\n"
                             f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
                await writer.drain()
        writer.close()


class Machine:
    """A machine of the class sidecar: its settings, and its process as the platform starts it."""

    def __init__(self, deployment, index, service):
        self.deployment, self.index, self.zone, self.service = deployment, index, ZONES[index % len(ZONES)], service
        self.name = f"sidecar-{self.zone}-{index // len(ZONES) + 1}"
        self.ip, self.ports = f"127.{deployment.net}.{index + 1}.8", deployment.ports
        self.child, self.ends, self.pids, self.peak_mb, self.stopping = None, [], [], 0, False
        self.settings = deployment.folder / f"{self.name}.ini"
        self.log = deployment.folder / f"{self.name}.log"

    def fields(self):
        ip, ports, machines = self.ip, self.ports, self.deployment.machines
        return {"node": self.name, "zone": self.zone, "region": "gr-north", "app": f"{ip}:{ports['app']}",
                "service": self.service, "seeds": [f"{each.ip}:{ports['control']}" for each in machines[:3]],
                "zones": {zone: "gr-north" for zone in ZONES},
                "listen": {"inbound": f"{ip}:{ports['inbound']}", "outbound": f"{ip}:{ports['outbound']}",
                           "readiness": f"{ip}:{ports['readiness']}", "control": f"{ip}:{ports['control']}"},
                "limits": {"cpu-share": 0.2, "cores": 1, "memory-mb": MEMORY_MB, "max-fds": 4100,
                           "link-mbps": 1000.0, "disk-mb": 0},
                "bounds": {"retry-budget-ratio": 0.2, "budget-slack": 60, "budget-window-s": 10},
                "platform": {"address": f"{self.deployment.store_ip}:{ports['store']}", "form": "read",
                             "reads-per-s": 2000}}

    def start(self):
        role = self.deployment.role
        self.settings.write_text(render((ROOT / role["template"]).read_text(), self.fields()))
        command = [str(self.settings) if word == "/etc/dandelionfall/boot.toml" else word
                   for word in role["run"].split()]
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                          env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "LANG": "C",
                                               "DANDELIONFALL_CONFIG": str(self.settings)})
        self.pids.append(self.child.pid)
        self.deployment.record(f"platform: {self.name} started, process {self.child.pid}")

    def memory_mb(self):
        with contextlib.suppress(OSError, ValueError):
            for line in pathlib.Path(f"/proc/{self.child.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0

    async def watch(self):
        """Restarts a process that ends by itself, and kills one that takes more memory than the machine allows."""
        while True:
            await asyncio.sleep(0.02)
            code = self.child.poll()
            if code is None:
                used = self.memory_mb()
                self.peak_mb = max(self.peak_mb, used)
                if used <= MEMORY_MB:
                    continue
                self.deployment.record(f"platform: {self.name} uses {used:.0f} MB of {MEMORY_MB} MB: killed")
                self.child.kill()
                self.child.wait()
                code = "memory"
            if self.stopping:
                return
            self.ends.append((time.monotonic(), code))
            self.deployment.record.say(f"platform: the process of {self.name} has ended by itself (code {code})")
            await asyncio.sleep(RESTART_DELAY_S)
            if self.stopping:
                return
            self.start()

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status, _, _ = await asyncio.wait_for(
                request(self.ip, self.ports["readiness"], "GET", "/ready", {"Host": self.ip}), 1)
            return status == 200
        return False


async def request(ip, port, method, path, headers, body=b"", chunked=False):
    """Sends one request on a new connection. Returns status, headers and body; status None: closed without an answer."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port, limit=1 << 20), 1)
    try:
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        while True:
            line, answered = await HttpReader.head(reader)
            status = int(line.split(" ")[1])
            if status >= 200:
                break
        return status, answered, await HttpReader.body(reader, answered)
    except (OSError, asyncio.IncompleteReadError):
        return None, [], b""
    finally:
        writer.close()


class Client:
    """A client on a machine, with its own attempt ids."""

    def __init__(self, record):
        self.record, self.count, self.answers = record, 0, []

    async def call(self, machine, method, host, path, body=b"", deadline_ms=2500, quiet=False):
        self.count += 1
        attempt = f"{random.getrandbits(64):016x}"
        sent_at, status, answer = time.monotonic(), None, b""
        with contextlib.suppress(OSError, asyncio.TimeoutError, ValueError):
            status, _, answer = await asyncio.wait_for(request(
                machine.ip, machine.ports["outbound"], method, path,
                {"Host": host, "Attempt-Id": attempt, "Deadline-Ms": deadline_ms}, body), deadline_ms / 1000 + 0.5)
        if not quiet:
            self.record(f"client at {machine.name}: {attempt} {method} {host}{path[:60]} body {len(body)} bytes -> "
                        f"{status} {answer[:60]!r} after {time.monotonic() - sent_at:.3f} s")
        self.answers.append((sent_at, attempt, status, answer))
        return attempt, status, answer


class KeptClients:
    """Clients that keep their connections for many requests; one request at a time on each connection.

    `lost` holds the ids of requests, not the first of their connection, whose connection ended without an answer.
    """

    def __init__(self, deployment, machines, per_machine, host, prefix):
        self.deployment, self.host, self.prefix, self.lost, self.served, self.other = deployment, host, prefix, [], 0, {}
        self.tasks = [asyncio.create_task(self.run(machine)) for machine in machines for _ in range(per_machine)]

    async def run(self, machine):
        while True:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                await self.use_connection(machine)
            await asyncio.sleep(0.2)

    async def use_connection(self, machine):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(machine.ip, machine.ports["outbound"]), 1)
        number = 0
        try:
            while True:
                number += 1
                attempt = f"{random.getrandbits(64):016x}"
                sent_at = time.monotonic()
                writer.write((f"POST {self.prefix}2f HTTP/1.1\r\nHost: {self.host}\r\nAttempt-Id: {attempt}\r\n"
                              "Deadline-Ms: 3000\r\nContent-Length: 7\r\n\r\nbooking").encode())
                try:
                    line, headers = await HttpReader.head(reader)
                    await HttpReader.body(reader, headers)
                except (OSError, asyncio.IncompleteReadError):
                    self.deployment.record(f"client at {machine.name}: {attempt}, request {number} of its connection -> "
                                           f"closed without an answer after {time.monotonic() - sent_at:.3f} s")
                    if number > 1:
                        self.lost.append(attempt)
                    return
                status = int(line.split(" ")[1])
                self.deployment.record(f"client at {machine.name}: {attempt} -> {status}")
                if status == 200:
                    self.served += 1
                else:
                    self.other[status] = self.other.get(status, 0) + 1
                if (HttpReader.get(headers, "Connection") or "").lower() == "close":
                    return
                await asyncio.sleep(0.05)
        finally:
            writer.close()

    def close(self):
        """Returns how many requests were passed on to a backend and lost."""
        for task in self.tasks:
            task.cancel()
        ran = {run[1] for backend in self.deployment.backends for run in backend.runs}
        passed_on = sum(attempt in ran for attempt in self.lost)
        self.deployment.record.say(f"kept connections: {self.served} requests served, other answers {self.other}; "
                                   f"{passed_on} passed on to a backend and closed without an answer")
        return passed_on


def service_record(name):
    return {"name": name, "health-path": "/healthz", "max-connections": 120, "protocol": "h1", "tls": False,
            "cold-start-s": 3.0, "cold-per-s": 14.0}


def route(name, host, prefix, service, kind="idempotent", timeout_ms=2500):
    return {"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout-ms": timeout_ms,
            "target-latency-ms": 400, "priority": 1, "service": service, "max-attempts": 2}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": [service_record(name) for name in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}}


class Deployment:
    """A small deployment; `services` names the service beside each machine."""

    def __init__(self, folder, services, slots=12, work_s=0.05):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        self.net = random.randint(32, 250)
        base = random.randint(200, 280) * 100
        self.ports = {name: base + offset for offset, name in enumerate(
            ["inbound", "app", "readiness", "outbound", "control", "store"])}
        self.store_ip = f"127.{self.net}.200.7"
        self.store = Store(self.record)
        self.machines = []
        for index, service in enumerate(services):
            self.machines.append(Machine(self, index, service))
        self.backends = [Backend(self.record, machine, machine.service, slots, work_s) for machine in self.machines]
        self.tasks = []

    async def start(self, first_configuration):
        if not (ROOT / "target/dandelionfall").exists():
            print("target/dandelionfall is missing: build with the command of the deploy file first")
            raise SystemExit(2)
        await self.store.listen(self.store_ip, self.ports["store"])
        for backend in self.backends:
            await backend.start()
            await self.store.put(f"servers/{backend.id}", backend.entry())
        await self.store.put("op/config", first_configuration)
        for machine in self.machines:
            machine.start()
            self.tasks.append(asyncio.create_task(machine.watch()))
        for _ in range(200):
            if all([await machine.is_ready() for machine in self.machines]):
                break
            await asyncio.sleep(0.05)
        else:
            self.record.say("the nodes are not ready")
            raise SystemExit(2)
        await asyncio.sleep(2)
        self.record.say(f"{len(self.machines)} nodes are ready")

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.stopping = True
            if machine.child is not None and machine.child.poll() is None:
                machine.child.kill()
                machine.child.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(main):
    """Runs `main(deployment factory)`; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    deployments = []

    async def guarded():
        def make(*arguments, **options):
            deployments.append(Deployment(*arguments, **options))
            return deployments[-1]
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(main(make), 112)
        finally:
            for each in deployments:
                each.stop()
    try:
        # Without the clean-up of asyncio.run, which waits for all clients.
        code = asyncio.new_event_loop().run_until_complete(guarded())
    except SystemExit as end:
        code = end.code
    except (OSError, asyncio.TimeoutError, asyncio.CancelledError, AssertionError) as fault:
        print(f"the case couldn't run: {fault!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)
