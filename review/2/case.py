"""A status report with unreadable bytes ends the node."""
import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lab"))
from lab import (TROUBLE, Node, Store, Worker, config, host_of, main,  # noqa: E402
                 read_message, route, until, use_seeds, write_request)

ALLOWED = 3  # requests of kept connections that may end unanswered


async def client(record, node, number, stopped, unanswered):
    """Sends bookings over one kept connection, one after the other."""
    reader = writer = None
    count = answered = 0
    while not stopped.is_set():
        identity = f"{number:02d}{count:06d}"
        count += 1
        answer = None
        try:
            if writer is None:
                answered = 0
                reader, writer = await asyncio.open_connection(*node.outbound)
            record("client sends", identity)
            writer.write(write_request("POST", "/book/seat", [
                ("Host", "h.example"), ("Request-Id", identity), ("Deadline-Ms", "1000")], b"seat"))
            answer = await asyncio.wait_for(read_message(reader, True), 3)
        except (OSError, EOFError, asyncio.TimeoutError):
            pass
        if answer is None:
            record("client gets", identity, "no answer: the connection was closed; answers before:",
                   answered)
            if answered > 0:
                unanswered.append(identity)
            if writer:
                writer.close()
            writer = None
            await asyncio.sleep(0.2)
        else:
            answered += 1
            record("client gets", identity, answer.first.split(" ")[1])
        await asyncio.sleep(0.01)
    if writer:
        writer.close()


async def send_report(node, identity, body):
    """One status report; the id is sent as it is."""
    reader, writer = await asyncio.open_connection(*node.control)
    writer.write(b"POST /api/instances/" + identity + b"/heartbeat HTTP/1.1\r\nHost: control\r\n"
                 b"Content-Type: application/json\r\nContent-Length: " + str(len(body)).encode() +
                 b"\r\n\r\n" + body)
    try:
        answer = await asyncio.wait_for(read_message(reader, True), 1)
    except (OSError, EOFError, asyncio.TimeoutError):
        answer = None
    writer.close()
    return answer.first if answer else "no answer"


async def play(record, folder, things):
    store = Store(host_of(200))
    await store.start()
    store.put("config", "main", config(7, {"book": route("desk")}, ["desk"]))
    node = Node(0, "zone-a", "desk", store, folder)
    use_seeds([node])
    worker = Worker(node, "i-0", record, work_s=0.08)
    things += [node, worker]
    node.start()
    await worker.start()
    await until(node.is_ready, 15, "readiness of " + node.name)
    await asyncio.sleep(2)
    stopped = asyncio.Event()
    unanswered = []
    clients = asyncio.gather(*(client(record, node, i, stopped, unanswered) for i in range(10)))
    await asyncio.sleep(3)
    if TROUBLE:
        # from another writer: of this service and address, with an id that is
        # not valid UTF-8
        body = json.dumps({"address": f"{worker.host}:{worker.port}", "born": worker.born + 1000,
                           "info": {"service": "desk", "version": "v1", "zone": "zone-a",
                                    "slots": 12},
                           "status": {"state": "ready", "sequence": 1, "coldRemainingS": 0}})
        record("status report with the id ff fe:", await send_report(node, b"\xff\xfe", body.encode()))
    await asyncio.sleep(1)
    crashed = node.ended()
    if crashed:
        record("node", node.name, "ended by itself; exit status", node.process.returncode)
    stopped.set()
    await clients
    sound = [i for i in unanswered if i in worker.runs]
    record("requests of kept connections that the worker ran and that got no answer:", len(sound))
    return crashed and len(sound) > ALLOWED


if __name__ == "__main__":
    sys.exit(main(FOLDER, play))
