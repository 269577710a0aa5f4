"""A planned stop while requests wait for a slot: are all that were read answered before the process is gone?"""
import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins_2 import CannotRun, Machines, Store, TROUBLE, configuration, entry, read_message, route, run_case

HOSTS = ["127.18.6.1", "127.18.6.2"]
SERVICE, OTHER = "wuno96b", "huvo11a"
# Two slots, so that of six requests two run, two more begin after WORK_S, and two have not begun when grace-s is over.
SLOTS, REQUESTS, WORK_S, GRACE_S, BEFORE_S = 2, 6, 3.5, 6, 0.3
DEADLINE_MS, TIMEOUT_MS, LATENCY_MS = 8000, 8000, 1200


class Server:
    """A sound server: runs SLOTS requests at a time and stops work at the deadline that it receives."""

    def __init__(self, record, instance):
        self.record, self.instance, self.slots, self.begun = record, instance, asyncio.Semaphore(SLOTS), {}

    async def serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            _, fields, _ = message
            attempt = fields.get("attempt-id")
            async with self.slots:
                self.begun[attempt] = time.monotonic()
                self.record.write(f"server: {attempt} begins")
                left = int(fields["deadline-ms"]) / 1000
                await asyncio.sleep(min(WORK_S, left))
                self.record.write(f"server: {attempt} ends")
            status = "200 OK" if left > WORK_S else "504 Gateway Timeout"
            writer.write(f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s.{attempt}\r\n"
                         "Content-Length: 2\r\n\r\nok".encode())
            await writer.drain()


async def send(record, port, attempt):
    """Returns the status, or None if the connection ends without an answer."""
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


async def stop(record, node):
    """Stops a node as the platform does."""
    record.write("platform: SIGTERM")
    node.send_signal(signal.SIGTERM)
    end = time.monotonic() + GRACE_S
    while node.poll() is None and time.monotonic() < end:
        await asyncio.sleep(0.01)
    if node.poll() is None:
        record.write("platform: SIGKILL after grace-s")
        node.kill()
    else:
        record.write(f"the node has ended with {node.returncode}")


async def case(record):
    machines = Machines(HOSTS, {HOSTS[0]: OTHER, HOSTS[1]: SERVICE}, bounds={"grace-s": GRACE_S})
    store, server = Store(), Server(record, "i-7f3a91c2")
    try:
        await store.start(machines.store_host, machines.store_port)
        await asyncio.start_server(server.serve, HOSTS[1], machines.app)
        await store.put("servers/i-02d9e6b4", entry(OTHER, f"{HOSTS[0]}:{machines.app}", "kalamaria", SLOTS, 1))
        await store.put(f"servers/{server.instance}",
                        entry(SERVICE, f"{HOSTS[1]}:{machines.app}", "kalamaria", SLOTS, 1))
        await store.put("op/config", configuration(
            7, [route("puka111", "non_idempotent", SERVICE, TIMEOUT_MS, LATENCY_MS)], [SERVICE, OTHER]))
        for host in HOSTS:
            machines.start(host)
        await machines.until_ready()
        await asyncio.sleep(1)
        attempts = [f"r{number}" for number in range(1, REQUESTS + 1)]
        calls = {attempt: asyncio.create_task(send(record, machines.outbound, attempt)) for attempt in attempts}
        await asyncio.sleep(BEFORE_S)
        if any(call.done() for call in calls.values()):
            raise CannotRun("a request was answered at once")
        if TROUBLE:
            await stop(record, machines.current[HOSTS[0]])
        stopped_at = time.monotonic()
        statuses = dict(zip(calls, await asyncio.gather(*calls.values())))
        # What was at work at the end of the grace time is excused.
        cut = [attempt for attempt in attempts if statuses[attempt] is None
               and not (attempt in server.begun and server.begun[attempt] <= stopped_at)]
        record.write(f"statuses: {statuses}; cut and never begun: {cut}")
        return bool(cut)
    finally:
        machines.end()


run_case(case, HERE)
