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
                 now, route, until, use_seeds, write_request, write_response)

GRACE_S = 6.0             # graceS of the site
CLIENTS = 30              # of 128 to 157 in a zone of the site
LIMIT_S = 0.8             # time limit of route-status, and timeoutS of its route
WORK_S = 0.06             # work of route-status, in one of 12 slots
BODY = 30000              # largest answer of route-status: resp_bytes max = 30000
ROUND_TRIP_S = 0.002      # "1 ms to clients", one way
WINDOW = 8192             # "small windows"; one window is received in a round trip
PAUSE_S = 0.2             # of a client between two groups of requests, about
DEPTH = 3                 # requests that a client sends before the first answer


class Page(Worker):
    """A worker whose answers have a body of the given size."""

    completed = None  # requests whose answer the worker has given whole

    async def answer(self, connection, message, writer):
        if message.first.split(" ")[1] == "/health":
            await super().answer(connection, message, writer)
            return
        identity = message.fields["request-id"]
        self.record("worker", self.identity, "runs", identity)
        self.running += 1
        await asyncio.sleep(WORK_S)
        self.running -= 1
        writer.write(write_response(200, [("Request-Id", identity), self.load(),
                                          ("Server-Stamp", self.identity)], b"x" * BODY))
        await writer.drain()
        self.completed.add(identity)


async def client(record, node, number, stopped, completed, lost):
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
        sent_at = {}
        state = {"closing": False}

        async def send():
            nonlocal count
            while not state["closing"] and not stopped.is_set():
                if len(waiting) < DEPTH:
                    identity = f"{number:02d}{count:06d}"
                    count += 1
                    waiting.append(identity)
                    sent_at[identity] = now()
                    record("client sends", identity)
                    try:
                        await loop.sock_sendall(link, write_request("GET", "/look/up", [
                            ("Host", "h.example"), ("Request-Id", identity),
                            ("Deadline-Ms", str(round(1000 * LIMIT_S)))]))
                    except OSError:
                        return
                    await asyncio.sleep(random.uniform(0.002, 0.006))
                else:
                    await asyncio.sleep(PAUSE_S * random.uniform(0.5, 1.5))

        sender = asyncio.create_task(send())
        received = b""
        end = "connection closed"
        try:
            while True:
                part = await loop.sock_recv(link, WINDOW)
                if not part:
                    break
                received += part
                await asyncio.sleep(ROUND_TRIP_S * len(part) / WINDOW)
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
            if identity not in completed:
                continue  # not counted: not passed on, or its worker is still at work
            if now() - sent_at[identity] >= LIMIT_S:
                continue  # not counted: its time limit was reached
            record("BROKEN", identity, "its worker has answered whole;", end, "after",
                   len(received), "bytes of an answer",
                   "" if state["closing"] else "and no notice of the close")
            lost.append(identity)


async def play(record, folder, things):
    store = Store(host_of(200))
    await store.start()
    store.put("config", "main", config(7, {"look": route("desk", "safe", "/look/", LIMIT_S)}, ["desk"]))
    # one node a zone: with one node stopped, fewer than half of its zone's nodes
    # are in, so that its clients stay
    nodes = [Node(i, f"zone-{i}", "desk", store, folder) for i in range(2)]
    use_seeds(nodes)
    workers = [Page(node, f"i-{node.index}", record, slots=12) for node in nodes]
    Page.completed = set()
    things += nodes + workers
    for node, worker in zip(nodes, workers):
        node.start()
        await worker.start()
    for node in nodes:
        await until(node.is_ready, 15, "readiness of " + node.name)
    await asyncio.sleep(2)
    stopped = asyncio.Event()
    lost = []
    clients = [asyncio.create_task(client(record, nodes[0], i, stopped, Page.completed, lost))
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
