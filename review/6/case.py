"""A planned stop of a node while a server keeps silent: is the request answered before the process is gone?"""
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
SLOTS, QUEUE, WORK_S, GRACE_S = 2, 2, 8, 6
DEADLINE_MS, TIMEOUT_MS = 8000, 8000


class Server:
    """Runs SLOTS requests at a time, queues a few more, and never answers a request that it cannot queue.

    It doesn't drop a request when its connection closes, and stops work at the deadline that it receives.
    """

    def __init__(self, record, instance):
        self.record, self.instance, self.running, self.queued, self.slots = record, instance, 0, 0, asyncio.Semaphore(SLOTS)
        self.silent = []
        self.tasks = set()

    async def serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            first, fields, _ = message
            attempt = fields.get("attempt-id")
            if fields.get("expect-instance") != self.instance:
                writer.write(f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.instance}\r\nContent-Length: 0\r\n\r\n".encode())
                continue
            if self.running >= SLOTS + QUEUE:
                self.record.write(f"server: {attempt} arrives and cannot be queued, no answer")
                self.silent.append(attempt)
                await asyncio.sleep(3600)
            task = asyncio.create_task(self.work(attempt, fields, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.wait([task])

    async def work(self, attempt, fields, writer):
        self.running += 1
        end = time.monotonic() + int(fields["deadline-ms"]) / 1000
        self.record.write(f"server: {attempt} arrives, {self.running} are here")
        try:
            async with self.slots:
                left = min(WORK_S, end - time.monotonic())
                if left > 0:
                    self.record.write(f"server: {attempt} begins")
                    await asyncio.sleep(left)
                self.record.write(f"server: {attempt} ends")
        finally:
            self.running -= 1
        try:
            writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s.{attempt}\r\nContent-Length: 2\r\n\r\nok".encode())
            await writer.drain()
        except OSError:
            pass


async def send(record, machines, attempt, leave_after_s=None):
    """Returns the status, or None if the connection ends without an answer."""
    reader, writer = await asyncio.open_connection(HOSTS[0], machines.outbound)
    writer.write(f"POST /puka111/2f HTTP/1.1\r\nHost: hulo84.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
                 f"Content-Length: 4\r\n\r\nbody".encode())
    record.write(f"client: {attempt} sent")
    try:
        if leave_after_s is not None:
            await asyncio.sleep(leave_after_s)
            record.write(f"client: {attempt} leaves")
            return None
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split()[1])
        record.write(f"client: {attempt} gets {status}")
        return status
    except (asyncio.IncompleteReadError, OSError) as end:
        record.write(f"client: {attempt} the connection ends without an answer ({end!r})")
        return None
    finally:
        writer.close()


async def case(record):
    machines = Machines(HOSTS, {HOSTS[0]: OTHER, HOSTS[1]: SERVICE}, bounds={"grace-s": GRACE_S})
    store, server = Store(), Server(record, "i-7f3a91c2")
    try:
        await store.start(machines.store_host, machines.store_port)
        await asyncio.start_server(server.serve, HOSTS[1], machines.app)
        await store.put("servers/i-02d9e6b4", entry(OTHER, f"{HOSTS[0]}:{machines.app}", "kalamaria", 2, 1))
        await store.put(f"servers/{server.instance}", entry(SERVICE, f"{HOSTS[1]}:{machines.app}", "kalamaria", SLOTS, 1))
        await store.put("op/config", configuration(7, [route("puka111", "non_idempotent", SERVICE, TIMEOUT_MS, 8000)], [SERVICE, OTHER]))
        for host in HOSTS:
            machines.start(host)
        await machines.until_ready()
        await asyncio.sleep(1)
        left = [send(record, machines, f"a{n}", 0.2) for n in range(2)]
        await asyncio.gather(*left)
        await asyncio.sleep(1.5)
        await asyncio.gather(*[send(record, machines, f"b{n}", 0.2) for n in range(2)])
        await asyncio.sleep(3.2)
        victim = asyncio.create_task(send(record, machines, "c0"))
        await asyncio.sleep(0.3)
        if server.silent != ["c0"]:
            raise CannotRun(f"the server is not full: {server.silent}")
        node = machines.current[HOSTS[0]]
        if TROUBLE:
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
        status = await asyncio.wait_for(victim, 20)
        return status is None
    finally:
        machines.end()


run_case(case, HERE)
