"""A planned shutdown of a server while requests wait for a slot of it: does it get them after drain-s?"""
import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins_2 import (CannotRun, HEARTBEAT_S, Machines, Store, TROUBLE, configuration, entry, read_message, route,
                        run_case)

HOSTS = ["127.18.8.1", "127.18.8.2", "127.18.8.3"]
SERVICE, OTHER = "wuno96b", "huvo11a"
SLOTS, REQUESTS, WORK_S, DRAIN_S, BEFORE_S = 2, 6, 3.5, 2, 0.3
# How long the server serves after its report has been accepted: drain-s and a little longer.
SERVES_S = 4
DEADLINE_MS, TIMEOUT_MS, LATENCY_MS = 8000, 8000, 1200


class Server:
    """A sound server: runs SLOTS requests at a time; `end` closes its port and all connections, as its exit does."""

    def __init__(self, record, name, instance):
        self.record, self.name, self.instance, self.sequence = record, name, instance, 0
        self.slots, self.arrived, self.writers, self.listener = asyncio.Semaphore(SLOTS), {}, set(), None

    async def start(self, host, port):
        self.listener = await asyncio.start_server(self.serve, host, port)

    def entry(self, address, state="ready"):
        self.sequence += 1
        return entry(SERVICE, address, "kalamaria", SLOTS, self.sequence, state)

    def end(self):
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        while (message := await read_message(reader)) is not None:
            _, fields, _ = message
            attempt = fields.get("attempt-id")
            if fields.get("expect-instance") != self.instance:
                writer.write(f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.instance}\r\n"
                             "Content-Length: 0\r\n\r\n".encode())
                continue
            self.arrived[attempt] = time.monotonic()
            self.record.write(f"{self.name}: {attempt} arrives")
            async with self.slots:
                await asyncio.sleep(WORK_S)
            if writer.transport.is_closing():
                self.record.write(f"{self.name}: {attempt} was broken off by the exit")
                return
            self.record.write(f"{self.name}: {attempt} ends")
            writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s.{attempt}\r\n"
                         "Content-Length: 2\r\n\r\nok".encode())
            await writer.drain()


async def send(record, port, attempt):
    reader, writer = await asyncio.open_connection(HOSTS[0], port)
    writer.write(f"POST /puka111/2f HTTP/1.1\r\nHost: hulo84.example\r\nAttempt-Id: {attempt}\r\n"
                 f"Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 4\r\n\r\nbody".encode())
    record.write(f"client: {attempt} sent")
    try:
        status = int((await reader.readuntil(b"\r\n\r\n")).split()[1])
        record.write(f"client: {attempt} gets {status}")
        return status
    except (asyncio.IncompleteReadError, OSError) as end:
        record.write(f"client: {attempt}: the connection ends without an answer ({end!r})")
        return None
    finally:
        writer.close()


async def case(record):
    machines = Machines(HOSTS, {HOSTS[0]: OTHER, HOSTS[1]: SERVICE, HOSTS[2]: SERVICE})
    store = Store()
    old, new = Server(record, "old server", "i-7f3a91c2"), Server(record, "new server", "i-45b0c6de")
    addresses = {old: f"{HOSTS[1]}:{machines.app}", new: f"{HOSTS[2]}:{machines.app}"}
    state = {old: "ready"}

    async def beat():
        while True:
            for server in list(state):
                await store.put(f"servers/{server.instance}", server.entry(addresses[server], state[server]))
            await asyncio.sleep(HEARTBEAT_S)

    try:
        await store.start(machines.store_host, machines.store_port)
        await old.start(HOSTS[1], machines.app)
        await new.start(HOSTS[2], machines.app)
        await store.put("servers/i-02d9e6b4", entry(OTHER, f"{HOSTS[0]}:{machines.app}", "kalamaria", SLOTS, 1))
        beats = asyncio.create_task(beat())
        await store.put("op/config", configuration(
            7, [route("puka111", "non_idempotent", SERVICE, TIMEOUT_MS, LATENCY_MS)], [SERVICE, OTHER]))
        for host in HOSTS:
            machines.start(host)
        await machines.until_ready()
        await asyncio.sleep(4)  # stable-window-s is 3.
        attempts = [f"r{number}" for number in range(1, REQUESTS + 1)]
        calls = {attempt: asyncio.create_task(send(record, machines.outbound, attempt)) for attempt in attempts}
        await asyncio.sleep(BEFORE_S)
        if any(call.done() for call in calls.values()):
            raise CannotRun("a request was answered at once")
        # The new server starts first, then the old one drains.
        state[new] = "ready"
        await store.put(f"servers/{new.instance}", new.entry(addresses[new]))
        record.write("store: the new server is listed")
        accepted = float("inf")
        if TROUBLE:
            state[old] = "draining"
            accepted = await store.put(f"servers/{old.instance}", old.entry(addresses[old], "draining"))
            record.write("store: accepts that the old server is draining")
            await asyncio.sleep(SERVES_S)
            record.write("old server: exits")
            old.end()
            del state[old]
            await store.remove(f"servers/{old.instance}")
        statuses = dict(zip(calls, await asyncio.gather(*calls.values())))
        late = {attempt: round(at - accepted, 2) for attempt, at in old.arrived.items() if at > accepted + DRAIN_S}
        record.write(f"statuses: {statuses}; at the old server later than drain-s ({DRAIN_S} s): {late}")
        beats.cancel()
        return bool(late)
    finally:
        machines.end()


run_case(case, HERE)
