"""TCP relays in front of the nodes' link addresses, which simulate silent links and partitions.

A relay forwards bytes. `silence` permanently stops the connections that are open, without closing them, while new
connections work. `cut` closes all connections and refuses new ones until `heal` is called.
"""
import asyncio
import contextlib
import threading

CHUNK_BYTES = 65536


class Relay:
    """Listens on one port and forwards its connections to another."""

    def __init__(self, loop, port, target_port):
        self.loop = loop
        self.port = port
        self.target_port = target_port
        self.connections = set()
        self.refusing = False
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._handle_connection, "127.0.0.1", self.port)

    async def _handle_connection(self, reader, writer):
        if self.refusing:
            writer.close()
            return
        with contextlib.suppress(OSError, asyncio.CancelledError):
            other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
            connection = RelayedConnection(writer, other_writer)
            self.connections.add(connection)
            await asyncio.gather(connection.forward(reader, other_writer), connection.forward(other_reader, writer))
            self.connections.discard(connection)
        writer.close()

    def silence(self):
        """Permanently stops all open connections without closing them; thread-safe."""
        self.loop.call_soon_threadsafe(self._silence)

    def _silence(self):
        for connection in self.connections:
            connection.silent = True

    def cut(self):
        self.loop.call_soon_threadsafe(self._cut)

    def _cut(self):
        self.refusing = True
        for connection in list(self.connections):
            connection.close()

    def heal(self):
        self.refusing = False

    def stop(self):
        self.server.close()
        self._cut()


class RelayedConnection:
    """The two halves of a forwarded connection: from the client, and to the node."""

    def __init__(self, *writers):
        self.writers = writers
        self.silent = False

    async def forward(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while True:
                data = await reader.read(CHUNK_BYTES)
                if self.silent:
                    # Drops data and the end of the stream, so that neither side can notice.
                    await asyncio.Event().wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        self.close()

    def close(self):
        for writer in self.writers:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()


class Relays:
    """All relays of a fleet, on an event loop in a separate thread. Ports maps a target port to its relay port."""

    def __init__(self, ports):
        self.loop = asyncio.new_event_loop()
        self.relays = {target: Relay(self.loop, port, target) for target, port in ports.items()}
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        for relay in self.relays.values():
            asyncio.run_coroutine_threadsafe(relay.start(), self.loop).result(5)

    def close(self):
        self.loop.call_soon_threadsafe(self._stop)
        self.thread.join(5)
        self.loop.close()

    def _stop(self):
        # A task cancelled before its first step reports an error, which is expected here.
        self.loop.set_exception_handler(lambda *_: None)
        for relay in self.relays.values():
            relay.stop()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.call_later(0.1, self.loop.stop)
