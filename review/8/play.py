"""A worker leaves; the process of the node beside it is killed and starts
again; a status report that the worker had sent before arrives late."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins"))
import lab as stand_ins  # noqa: E402

DRAIN_S = 2.0        # bound drainS
CONTACT_S = 3.0      # bound contactS
KILL_AFTER_S = 0.3   # after the confirmation of the leave
RESTART_S = 0.5      # until the process of the node starts again
LATE_S = 1.7         # from the send of the last report to its arrival
SERVES_ON_S = 9.0    # the worker, after its confirmation
SERVICES = ("seats", "seats", "routes", "routes", "seats", "seats")
INTERVAL_S = 0.008   # between the requests of clients


async def play(lab, trouble):
    for number, service in enumerate(SERVICES):
        lab.add_machine(service, number % 3)
    lab.configure(
        1,
        {"seat": ("seats.example", "/seat/", "unsafe", "seats", 2),
         "status": ("routes.example", "/status/", "safe", "routes", 2)},
        ["seats", "routes"])
    workers = []
    for machine in lab.machines:
        worker = stand_ins.Worker(lab.record, machine, machine.service)
        worker.work_s = 0.3
        await worker.open()
        await machine.start()
        worker.start_reports()
        workers.append(worker)
    await lab.wait_ready()
    await asyncio.sleep(CONTACT_S + 0.5)
    answers = {}

    async def one():
        identity, status, _ = await lab.request(
            lab.machines[2], "POST", "seats.example", "/seat/x",
            b"a booking", 1000)
        answers[identity] = status

    async def clients():
        while True:
            asyncio.ensure_future(one())
            await asyncio.sleep(INTERVAL_S)
    sending = asyncio.ensure_future(clients())
    await asyncio.sleep(2)

    machine, worker = lab.machines[0], workers[0]
    worker.beating.cancel()
    late = worker.report()  # sent now, arrives late
    lab.record.write("worker", worker.id, "sends report", worker.sequence)
    sent = stand_ins.now()
    await asyncio.sleep(0.1)
    if not await worker.leave():
        raise RuntimeError("the leave was not confirmed")
    worker.left = True      # its health path says 503 from now on
    confirmed = stand_ins.now()

    async def arrive_late():
        await asyncio.sleep(sent + LATE_S - stand_ins.now())
        await worker.send_report(late)
    reporting = asyncio.ensure_future(arrive_late())
    in_touch = confirmed
    if trouble:
        await asyncio.sleep(KILL_AFTER_S)
        await machine.stop()
        await asyncio.sleep(RESTART_S)
        await machine.start()
        in_touch = stand_ins.now() + CONTACT_S
    await reporting
    await asyncio.sleep(confirmed + SERVES_ON_S - stand_ins.now())
    # a request may have been sent on a little earlier than it arrived
    bound = max(confirmed + DRAIN_S, in_touch) + 0.3
    late_runs = [request for at, request in worker.runs if at > bound]
    running = worker.running
    await worker.close()
    await asyncio.sleep(1.5)
    sending.cancel()
    lost = sum(answers.get(request, 0) in (0, 502, 504)
               for request in late_runs)
    lab.record.write("requests at the worker that has left, later than the "
                     "bound, by machines in touch:", len(late_runs),
                     "- running as it ended:", running,
                     "- without a success at the client:", lost)
    print(len(late_runs), "requests reached the worker that had left,", lost,
          "of them were lost")
    return not late_runs

stand_ins.main(HERE, play)
