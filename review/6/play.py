"""A worker is emptied and taken away as planned; its address then goes to a
worker of another service while its node is still within its grace period."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins"))
import lab as stand_ins  # noqa: E402

DRAIN_S = 2.0         # bound drainS
REUSE_AFTER_S = 2.0   # bound reuseAfterS
SIGTERM_AFTER_S = 1.0  # after the worker has ended
INTERVAL_S = 0.02     # between the requests of a client
SERVICES = ("seats", "seats", "routes", "payouts", "payouts", "routes",
            "seats")


class Client:
    """Clients of a machine. Those beside a node that was not ready twice in a
    row send nothing more."""

    def __init__(self, lab, machine):
        self.lab = lab
        self.machine = machine
        self.misses = 0
        self.answers = {}
        self.tasks = [asyncio.ensure_future(self.ask_ready()),
                      asyncio.ensure_future(self.send())]

    async def ask_ready(self):
        while True:
            ready = await self.machine.is_ready()
            self.misses = 0 if ready else self.misses + 1
            await asyncio.sleep(1)

    async def one(self):
        identity, status, _ = await self.lab.request(
            self.machine, "POST", "seats.example", "/seat/x", b"a booking",
            1000)
        self.answers[identity] = status

    async def send(self):
        while True:
            if self.misses < 2:
                asyncio.ensure_future(self.one())
            await asyncio.sleep(INTERVAL_S)

    def stop(self):
        for task in self.tasks:
            task.cancel()


async def play(lab, trouble):
    for number, service in enumerate(SERVICES):
        lab.add_machine(service, number % 3)
    lab.configure(
        1,
        {"seat": ("seats.example", "/seat/", "unsafe", "seats", 2),
         "status": ("routes.example", "/status/", "safe", "routes", 2),
         "payout": ("payouts.example", "/payout/", "unsafe", "payouts", 2)},
        ["seats", "routes", "payouts"])
    workers = []
    for machine in lab.machines:
        worker = stand_ins.Worker(lab.record, machine, machine.service)
        worker.work_s = 0.2
        await worker.open()
        await machine.start()
        worker.start_reports()
        workers.append(worker)
    await lab.wait_ready()
    await asyncio.sleep(3.5)  # contactS
    clients = [Client(lab, lab.machines[i]) for i in (0, 2, 5)]
    await asyncio.sleep(2)

    # planned: the worker says that it drains, serves on, leaves and exits
    machine, worker = lab.machines[0], workers[0]
    worker.beating.cancel()
    worker.state = "draining"
    await worker.send_report(worker.report())
    await asyncio.sleep(DRAIN_S + 0.2)
    await worker.leave()
    worker.left = True
    while worker.running:
        await asyncio.sleep(0.01)
    await worker.close()
    ended = stand_ins.now()

    async def stop_node():
        await asyncio.sleep(SIGTERM_AFTER_S)
        await machine.stop(signal.SIGTERM)
    stopping = asyncio.ensure_future(stop_node())

    other = None
    if trouble:
        await asyncio.sleep(REUSE_AFTER_S + 0.2)
        other = stand_ins.Worker(lab.record, machine, "payouts")
        other.work_s = 0.2
        other.cold_until = stand_ins.now() + lab.COLD_START_S
        await other.open()
        other.start_reports()
        workers.append(other)
        lab.record.write("the address of the worker goes to", other.id,
                         "of payouts")
    await stopping
    await asyncio.sleep(1)
    for client in clients:
        client.stop()
    await asyncio.sleep(1.5)
    # at any worker of the deployment
    owned = {k for client in clients for k in client.answers}
    ran = [(at, identity) for w in workers if w.service != "seats"
           for at, identity in w.runs if identity in owned]
    right = sum(identity in owned for w in workers if w.service == "seats"
                for _, identity in w.runs)
    answers = {k: v for client in clients for k, v in client.answers.items()}
    told = sum(answers[identity] == 200 for _, identity in ran)
    first = round(min(ran)[0] - ended, 2) if ran else "-"
    lab.record.write("bookings for seats run by seats:", right,
                     "- by another service:", len(ran),
                     "- answered to the client with 200:", told,
                     "- first", first, "s after the end of the worker",
                     "- most at once at a worker:",
                     max(w.most_running for w in workers))
    print(right, "bookings for seats were run by seats,", len(ran),
          "by another service,", told, "of these answered with 200")
    return not ran and right > 0

stand_ins.main(HERE, play)
