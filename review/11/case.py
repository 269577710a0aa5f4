"""Pipelining clients behind a link of 10 Mbit/s and 1 ms, while their machine's node gets SIGTERM."""
import contextlib
import pathlib
import random
import select
import signal
import socket
import sys
import threading
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins_3 import TROUBLE, Backend, CannotRun, Fleet, route  # noqa: E402  pylint: disable=wrong-import-position

ONE_WAY_S, BYTES_PER_S, CHUNK, BODY_BYTES = 0.001, 10e6 / 8, 1460, 30000
CONNECTIONS, GRACE_S, DEADLINE_MS, RUN_S = 12, 6, 4000, 4.0


class Downloads(Backend):
    def answer(self, handler, headers):
        body = (f"{headers['Attempt-Id']}:" * BODY_BYTES)[:BODY_BYTES].encode()
        self.reply(handler, 200, headers, [("Response-Signature", f"sig.{headers['Attempt-Id']}")], body)
        with self.lock:
            self.answered[headers["Attempt-Id"]] = time.monotonic()

    answered = {}


class Link:
    """The link between the clients and one machine: a delay each way, and a bandwidth towards the clients."""

    def __init__(self, target):
        self.target, self.bandwidth, self.free_at = target, threading.Lock(), 0.0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            threading.Thread(target=self.carry, args=(client,), daemon=True).start()

    def carry(self, client):
        node = socket.socket()
        # The small window of a link: what is not sent yet stays with the sender.
        node.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        try:
            node.connect(self.target)
        except OSError:
            return client.close()
        threading.Thread(target=self.up, args=(client, node), daemon=True).start()
        self.down(node, client)

    @staticmethod
    def up(client, node):
        with contextlib.suppress(OSError):
            while data := client.recv(65536):
                time.sleep(ONE_WAY_S)
                node.sendall(data)
            node.shutdown(socket.SHUT_WR)

    def down(self, node, client):
        """Carries answers; the end of the node's connection reaches the client behind the bytes before it."""
        with contextlib.suppress(OSError):
            while data := node.recv(CHUNK):
                with self.bandwidth:
                    self.free_at = max(time.monotonic(), self.free_at) + len(data) / BYTES_PER_S
                    arrives_at = self.free_at
                time.sleep(max(arrives_at - time.monotonic(), 0))
                client.sendall(data)
        time.sleep(ONE_WAY_S)
        for end in (client, node):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


class Client:
    """Sends a request on a kept connection, half of them bookings, and an idempotent one before its answer is there."""

    def __init__(self, number, link, stop_at):
        self.random, self.number, self.link, self.stop_at = random.Random(number), number, link, stop_at
        self.sent, self.complete, self.cut, self.count, self.bookings = {}, {}, {}, 0, set()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while time.monotonic() < self.stop_at:
            with contextlib.suppress(OSError), socket.create_connection(self.link.address, timeout=5) as connection:
                self.use(connection)
            time.sleep(0.1)

    def send(self, connection, is_first):
        self.count += 1
        is_booking = is_first and self.random.random() < 0.5
        attempt = f"{self.number:x}{'b' if is_booking else 'a'}{self.count:x}"
        self.sent[attempt] = time.monotonic()
        connection.sendall(f"{'POST /book/x' if is_booking else 'GET /dl/x'} HTTP/1.1\r\nHost: h.example\r\n"
                           f"Attempt-Id: {attempt}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
                           f"{'Content-Length: 2' if is_booking else 'Accept: */*'}\r\n\r\n"
                           f"{'ok' if is_booking else ''}".encode())
        if is_booking:
            self.bookings.add(attempt)
        return attempt

    def use(self, connection):
        """Keeps two requests under way until the node says that it closes, and reads all answers."""
        waiting, buffer, closing, second_at = [], b"", False, None
        while True:
            if not closing and time.monotonic() < self.stop_at and not waiting:
                waiting.append(self.send(connection, True))
                second_at = time.monotonic() + self.random.uniform(0, 0.08)
            if not waiting:
                return
            can_send = not closing and len(waiting) == 1 and second_at is not None
            timeout = max(second_at - time.monotonic(), 0) if can_send else 5
            readable, _, _ = select.select([connection], [], [], timeout)
            if not readable:
                if not can_send:
                    return self.end(waiting, buffer, "silent for 5 s")
                waiting.append(self.send(connection, False))
                second_at = None
                continue
            try:
                data = connection.recv(65536)
            except OSError as fault:
                return self.end(waiting, buffer, str(fault))
            if not data:
                return self.end(waiting, buffer, "closed")
            buffer += data
            closing = closing or b"\r\nconnection: close" in buffer.lower()
            while waiting and b"\r\n\r\n" in buffer:
                head, _, rest = buffer.partition(b"\r\n\r\n")
                length = next(int(line.split(b":")[1]) for line in head.split(b"\r\n")
                              if line.lower().startswith(b"content-length"))
                if len(rest) < length:
                    break
                self.complete[waiting.pop(0)] = int(head.split()[1])
                buffer = rest[length:]
                if closing and b"\r\nconnection: close" in head.lower():
                    return self.end(waiting, b"", "closed behind the last answer")

    def end(self, waiting, buffer, how):
        for index, attempt in enumerate(waiting):
            self.cut[attempt] = (time.monotonic(), how, len(buffer) if index == 0 else 0)
        return None


def main():
    record = open(pathlib.Path(__file__).parent / "record.txt", "w", encoding="utf-8")

    def note(text):
        record.write(text + "\n")
        record.flush()

    fleet = Fleet(["downloads"] * 3)
    try:
        for index, machine in enumerate(fleet.machines):
            fleet.backend(Downloads, machine, f"i-{index}", work_s=0.03).beat()
        fleet.configure(4, [route("/dl/", "downloads"), route("/book/", "downloads", kind="non_idempotent")])
        fleet.start()
        start = time.monotonic()
        link = Link((fleet.machines[0].ip, fleet.caller_port))
        clients = [Client(n, link, start + RUN_S) for n in range(CONNECTIONS)]
        time.sleep(RUN_S / 2)
        stopped = time.monotonic()
        ends = []
        if TROUBLE:
            fleet.machines[0].signal(signal.SIGTERM)
            note(f"{stopped - start:.3f} SIGTERM to the node of the clients' machine")
            node = fleet.machines[0].node
            threading.Thread(target=lambda: (node.wait(), ends.append(time.monotonic())), daemon=True).start()
        for client in clients:
            client.thread.join(RUN_S + 8)
        end = ends[0] if ends else float("inf")
        runs = {run[1]: run[0] for backend in fleet.backends for run in backend.runs}
        broken, sent, before_end, bookings = 0, 0, 0, 0
        for client in clients:
            sent += len(client.sent)
            for attempt, at in client.sent.items():
                if attempt in client.complete:
                    continue
                when, how, part = client.cut.get(attempt, (time.monotonic(), "no end seen", 0))
                counted = (attempt in runs and attempt in Downloads.answered and when - at < DEADLINE_MS / 1000 and
                           (not TROUBLE or at <= stopped + 3) and when <= stopped + GRACE_S + 1)
                broken += counted
                before_end += counted and when < end
                bookings += counted and attempt in client.bookings
                kind = "booking" if attempt in client.bookings else "idempotent"
                run, answered = ("yes" if attempt in known else "no" for known in (runs, Downloads.answered))
                note(f"{at - start:.3f} {attempt} sent ({kind}); run {run}; answered by its backend {answered}; "
                     f"{when - start:.3f} connection ended ({how}) after {part} bytes of its answer: "
                     f"{'LOST' if counted else 'not counted'}")
        note(f"the node's process ended at {end - start:.3f}" if ends else "the node's process did not end")
        note(f"sent {sent}, complete answers {sum(len(c.complete) for c in clients)}, runs {len(runs)}, lost {broken}, "
             f"of these {before_end} while the node's process still ran, and {bookings} non_idempotent ones")
        print(f"sent {sent}, lost {broken}, of these {before_end} while the node's process still ran, and {bookings} "
              f"non_idempotent ones")
        if sent < 50 or not runs:
            return 2
        return 1 if broken else 0
    finally:
        fleet.close()


if __name__ == "__main__":
    try:
        sys.exit(main())
    except CannotRun as fault:
        print(f"can't run: {fault}")
        sys.exit(2)
    except Exception:  # pylint: disable=broad-exception-caught
        traceback.print_exc()
        sys.exit(2)
