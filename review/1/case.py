"""A second copy of an answer comes late, where a worker's health answer is expected."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lab"))
from lab import (TROUBLE, Node, Store, Worker, config, host_of, main,  # noqa: E402
                 now, read_message, route, until, use_seeds, write_request)

SPOILED_SHARE = 0.03  # garble "extra late" of the site file: x = 0.03 ...
SPOILED_S = 5.0       # ... for_s = 5.0 ...
# ... share = 0.6: one of the two workers


async def clients(record, node, number, results):
    """Sends bookings over one kept connection, one after the other, for 8 s."""
    end = now() + 8
    reader = writer = None
    count = 0
    while now() < end:
        if writer is None:
            reader, writer = await asyncio.open_connection(*node.outbound)
        identity = f"{number:02d}{count:06d}"
        count += 1
        record("client sends", identity, "to", node.name)
        writer.write(write_request("POST", "/book/seat", [
            ("Host", "h.example"), ("Request-Id", identity), ("Deadline-Ms", "1000")], b"seat"))
        try:
            answer = await asyncio.wait_for(read_message(reader, True), 3)
        except (OSError, EOFError, asyncio.TimeoutError):
            answer = None
        if answer is None:
            record("client gets", identity, "no answer")
            writer.close()
            writer = None
            continue
        status = int(answer.first.split(" ")[1])
        stamp = answer.fields.get("server-stamp")
        record("client gets", identity, status, "Server-Stamp:", stamp, "Request-Id:",
               answer.fields.get("request-id"), "Instance-Id:", answer.fields.get("instance-id"),
               "body:", answer.body)
        if 200 <= status < 300 and (stamp is None or answer.body != b"ran " + identity.encode()):
            record("BROKEN", identity, "got a success that is not its worker's answer")
            results.append(identity)
        await asyncio.sleep(0.05)
    if writer:
        writer.close()


async def play(record, folder, things):
    store = Store(host_of(200))
    await store.start()
    store.put("config", "main", config(7, {"book": route("desk")}, ["desk"]))
    nodes = [Node(i, f"zone-{i}", "desk", store, folder) for i in range(2)]
    use_seeds(nodes)
    workers = [Worker(node, f"i-{node.index}", record) for node in nodes]
    things += nodes + workers
    for node, worker in zip(nodes, workers):
        node.start()
        await worker.start()
    for node in nodes:
        await until(node.is_ready, 15, "readiness of " + node.name)
    await asyncio.sleep(2)
    answers = spoiled = 0
    begin = now() + 1

    def spoil(connection, identity, text):
        nonlocal answers, spoiled
        if not TROUBLE or not begin <= now() < begin + SPOILED_S:
            return
        answers += 1
        if spoiled + 1 <= SPOILED_SHARE * answers:
            spoiled += 1
            connection["late"].append(text)

    workers[0].after_answer = spoil
    results = []
    await asyncio.gather(*(clients(record, node, 10 * node.index + i, results)
                           for node in nodes for i in range(4)))
    record("answers of the faulty worker meanwhile:", answers, "of these sent twice:", spoiled)
    record("requests with a foreign success:", len(results))
    return bool(results)


if __name__ == "__main__":
    sys.exit(main(FOLDER, play))
