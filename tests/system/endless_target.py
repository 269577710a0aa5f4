#!/usr/bin/env python3
"""A target in a process of its own whose answers have no end, are very large, or break off in silence.

Usage: endless_target.py HOST PORT INSTANCE. Each line on standard input is an order: the name of a kind of answer, to use
from then on, or "report", which prints one JSON line with the paths of the requests received and the largest number of
connections that were answered at a time, and begins anew.
"""
import contextlib
import json
import socket
import sys
import threading

BLOCK_BYTES = 1 << 16
SILENCE_S = 30
LARGE_BYTES = 6 << 20
# Just below the largest response that a node takes.
BEFORE_SILENCE_BYTES = 7_300_000

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: %(id)s\r\nResponse-Signature: %(instance)s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LONG = b"x" * 1000
# For each kind: what an answer begins with, and what follows it again and again until the node closes the connection.
ENDLESS = {
    "chunks": (CHUNKED, b"3e8\r\n" + LONG + b"\r\n"),
    "until-close": (HEAD + b"\r\n", LONG),
    "stated-length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", LONG),
    "fields": (HEAD, b"A: " + LONG + b"\r\n"),
    "one-field": (HEAD + b"A: ", LONG),
    "noise": (b"", LONG),
    "lines": (b"", b"x" * 70 + b"\r\n"),
    "informational": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "other-answers": (b"", b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 2\r\n\r\nhi"),
    "trailers": (CHUNKED + b"0\r\n", b"A: " + LONG + b"\r\n"),
    "chunk-size": (CHUNKED, b"0000000000"),
}
# For each kind: the bytes of an answer that is never completed.
SILENT = {
    "chunks-then-silence": CHUNKED + b"%x\r\n" % BEFORE_SILENCE_BYTES + b"x" * BEFORE_SILENCE_BYTES,
    "length-then-silence": HEAD + b"Content-Length: 8000000\r\n\r\n" + b"x" * BEFORE_SILENCE_BYTES,
}
# For each kind: a complete answer.
WHOLE = {
    "small": HEAD + b"Content-Length: 2\r\n\r\nok",
    "large": HEAD + b"Content-Length: %d\r\n\r\n" % LARGE_BYTES + b"x" * LARGE_BYTES,
    "large-chunked": CHUNKED + b"%x\r\n" % LARGE_BYTES + b"x" * LARGE_BYTES + b"\r\n0\r\n\r\n",
}


def fill(template, values):
    """Like the operator % for the two named values, but linear in the size of the template."""
    for name, value in values.items():
        template = template.replace(b"%%(%s)s" % name, value, 1)
    return template


class EndlessTarget:
    def __init__(self, host, port, instance):
        self.values, self.kind, self.lock = {b"instance": instance.encode()}, "small", threading.Lock()
        self.paths, self.answered, self.most = [], 0, 0
        self.listener = socket.create_server((host, port), backlog=512)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with contextlib.suppress(OSError), connection, connection.makefile("rb") as reader:
            while line := reader.readline():
                headers = {}
                while (field := reader.readline().strip()):
                    name, _, value = field.partition(b":")
                    headers[name.lower()] = value.strip()
                reader.read(int(headers.get(b"content-length", b"0")))
                with self.lock:
                    self.paths.append(line.split(b" ")[1].decode())
                    self.answered += 1
                    self.most = max(self.most, self.answered)
                try:
                    self.answer(connection, {**self.values, b"id": headers.get(b"attempt-id", b"")})
                finally:
                    with self.lock:
                        self.answered -= 1

    def answer(self, connection, values):
        kind = self.kind
        if kind in WHOLE:
            return connection.sendall(fill(WHOLE[kind], values))
        if kind in SILENT:
            connection.sendall(fill(SILENT[kind], values))
            connection.settimeout(SILENCE_S)
            connection.recv(1)
            raise OSError("closed")
        start, repeated = ENDLESS[kind]
        connection.sendall(fill(start, values))
        block = repeated * (BLOCK_BYTES // len(repeated) + 1)
        while True:
            connection.sendall(block)

    def report(self):
        with self.lock:
            text = json.dumps({"paths": self.paths, "most": self.most})
            self.paths, self.most = [], self.answered
        print(text, flush=True)


def main():
    host, port, instance = sys.argv[1:4]
    target = EndlessTarget(host, int(port), instance)
    for line in sys.stdin:
        order = line.strip()
        if order == "report":
            target.report()
        else:
            target.kind = order


if __name__ == "__main__":
    main()
