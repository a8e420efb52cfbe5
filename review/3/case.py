"""A planned stop cuts answers that are on their way to pipelining clients."""
import asyncio
import os
import random
import signal
import socket
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lab"))
from lab import (TROUBLE, Node, Store, Worker, config, host_of, main,  # noqa: E402
                 now, route, until, write_request, write_response)

GRACE_S = 6.0             # graceS of the site
CLIENTS = 40              # of 128 to 157 in a zone of the site
BODY = 30000              # largest answer of route-status: resp_bytes max = 30000
LINK_BYTES_PER_S = 10e6 / 8  # of a client; the slowest link of the sheets has 10 Mbit/s
WINDOW = 4096             # "small windows"
DEPTH = 3                 # requests that a client sends before the first answer


class Page(Worker):
    """A worker whose answers have a body of the given size."""

    passed_on = None

    async def answer(self, connection, message, writer):
        if message.first.split(" ")[1] == "/health":
            await super().answer(connection, message, writer)
            return
        identity = message.fields["request-id"]
        self.passed_on.add(identity)
        self.record("worker", self.identity, "runs", identity)
        self.running += 1
        await asyncio.sleep(0.02)
        self.running -= 1
        writer.write(write_response(200, [("Request-Id", identity), self.load(),
                                          ("Server-Stamp", self.identity)], b"x" * BODY))


async def client(record, node, number, stopped, passed_on, lost):
    """Sends safe requests on one connection, some before the first is answered."""
    loop = asyncio.get_running_loop()
    count = 0
    while not stopped.is_set():
        link = socket.socket()
        link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
        link.setblocking(False)
        try:
            await loop.sock_connect(link, node.outbound)
        except OSError:
            link.close()
            await asyncio.sleep(0.1)
            continue
        waiting = []
        state = {"closing": False}

        async def send():
            nonlocal count
            while not state["closing"] and not stopped.is_set():
                if len(waiting) < DEPTH:
                    identity = f"{number:02d}{count:06d}"
                    count += 1
                    waiting.append(identity)
                    record("client sends", identity)
                    try:
                        await loop.sock_sendall(link, write_request("GET", "/look/up", [
                            ("Host", "h.example"), ("Request-Id", identity),
                            ("Deadline-Ms", "2000")]))
                    except OSError:
                        return
                await asyncio.sleep(random.uniform(0.02, 0.04))

        sender = asyncio.create_task(send())
        received = b""
        end = "connection closed"
        try:
            while True:
                part = await loop.sock_recv(link, WINDOW)
                if not part:
                    break
                received += part
                await asyncio.sleep(len(part) / LINK_BYTES_PER_S)
                while b"\r\n\r\n" in received:
                    head, _, rest = received.partition(b"\r\n\r\n")
                    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
                    if fields.get(b"connection") == b"close":
                        state["closing"] = True
                    size = int(fields.get(b"content-length", b"0"))
                    if len(rest) < size:
                        break
                    received = rest[size:]
                    record("client gets", waiting.pop(0), head.split(b" ")[1].decode(),
                           size, "bytes", "Connection: close" if state["closing"] else "")
        except OSError as error:
            end = type(error).__name__
        sender.cancel()
        link.close()
        for identity in waiting:
            if identity not in passed_on:
                continue  # not counted: sent behind another and not passed on
            record("BROKEN", identity, "was passed on;", end, "after",
                   len(received), "bytes of an answer",
                   "" if state["closing"] else "and no notice of the close")
            lost.append(identity)


async def play(record, folder, things):
    store = Store(host_of(200))
    await store.start()
    store.put("config", "main", config(7, {"look": route("desk", "safe", "/look/")}, ["desk"]))
    # one node a zone: with one node stopped, fewer than half of its zone's nodes
    # are in, so that its clients stay
    nodes = [Node(i, f"zone-{i}", "desk", store, folder) for i in range(2)]
    workers = [Page(node, f"i-{node.index}", record, slots=40) for node in nodes]
    Page.passed_on = set()
    things += nodes + workers
    for node, worker in zip(nodes, workers):
        node.start()
        await worker.start()
    for node in nodes:
        await until(node.is_ready, 15, "readiness of " + node.name)
    await asyncio.sleep(2)
    stopped = asyncio.Event()
    lost = []
    clients = [asyncio.create_task(client(record, nodes[0], i, stopped, Page.passed_on, lost))
               for i in range(CLIENTS)]
    await asyncio.sleep(3)
    before = len(lost)
    sent = now()
    if TROUBLE:
        nodes[0].send_signal(signal.SIGTERM)
        record("node", nodes[0].name, "gets SIGTERM")
        await until(nodes[0].ended, GRACE_S + 2, "the end of the node")
        record("node", nodes[0].name, f"ends {now() - sent:.2f} s after SIGTERM")
    else:
        await asyncio.sleep(GRACE_S)
    after = len(lost)
    stopped.set()
    await asyncio.sleep(0.3)
    for task in clients:
        task.cancel()
    after = max(after, len(lost)) if TROUBLE else after
    record("requests cut before SIGTERM:", before, "and around the stop:", after - before)
    return after > before


if __name__ == "__main__":
    sys.exit(main(FOLDER, play))
