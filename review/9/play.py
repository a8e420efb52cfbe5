"""A worker in service becomes cold again, as its health path says at once."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins"))
import lab as stand_ins  # noqa: E402

COLD_PER_S = 34           # of the service
FACTOR, SLACK = 1.5, 5    # bounds coldOverageFactor, coldSlack
ALLOWED = COLD_PER_S * FACTOR + SLACK
CRASHES_AT = 3 * COLD_PER_S   # requests in a second: well above coldPerS
COLD_S = 3.0              # coldStartS
REPORT_S = 1.5            # heartbeatIntervalS
INTERVAL_S = 0.006        # between the requests of clients
TOLD = os.environ.get("TOLD") == "1"   # a report says so at once (trial)


class ColdWorker(stand_ins.Worker):
    cold_from = 0.0
    crashed = False

    async def run(self, verb, path, fields, body):
        answer = await super().run(verb, path, fields, body)
        since = max(stand_ins.now() - 1, self.cold_from)
        last = [at for at, _ in self.runs if at > since]
        if self.cold_remaining() and len(last) > CRASHES_AT and not self.crashed:
            self.crashed = True
            self.record.write("worker", self.id, "crashes of the load, with",
                              self.running, "requests")
            await self.close()
        return answer


async def play(lab, trouble):
    for number, service in enumerate(("seats", "routes", "routes")):
        lab.add_machine(service, number)
    lab.configure(
        1,
        {"seat": ("seats.example", "/seat/", "unsafe", "seats", 2),
         "status": ("routes.example", "/status/", "safe", "routes", 2)},
        ["seats", "routes"])
    workers = []
    for machine in lab.machines:
        worker = ColdWorker(lab.record, machine, machine.service)
        worker.work_s = 0.05
        await worker.open()
        await machine.start()
        workers.append(worker)
    for worker in workers:
        await worker.send_report(worker.report())
    await lab.wait_ready()
    worker = workers[0]
    reported = stand_ins.now()

    async def reports():
        nonlocal reported
        while True:
            await worker.send_report(worker.report())
            reported = stand_ins.now()
            await asyncio.sleep(REPORT_S)
    worker.beating = asyncio.ensure_future(reports())
    for other in workers[1:]:
        other.start_reports()
    await asyncio.sleep(COLD_S + 1.5)  # it is warm, machines are in touch
    sent, answers = {}, {}

    async def one():
        at = stand_ins.now()
        identity, status, _ = await lab.request(
            lab.machines[1], "POST", "seats.example", "/seat/x",
            b"a booking", 1000)
        sent[identity], answers[identity] = at, status

    async def clients():
        while True:
            asyncio.ensure_future(one())
            await asyncio.sleep(INTERVAL_S)
    sending = asyncio.ensure_future(clients())
    await asyncio.sleep(2)
    last = reported
    while reported == last:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.1)
    cold_from = stand_ins.now()
    if trouble:
        worker.cold_from = cold_from
        worker.cold_until = cold_from + COLD_S
        lab.record.write("worker", worker.id, "becomes cold for", COLD_S, "s")
        if TOLD:
            await worker.send_report(worker.report())
    await asyncio.sleep(COLD_S)
    sending.cancel()
    await asyncio.sleep(1.5)
    # requests that were sent and arrived inside one second of the cold time
    arrived = sorted((at, request) for at, request in worker.runs
                     if at >= cold_from and request in sent
                     and sent[request] >= cold_from)
    most = 0
    for _, first in arrived if trouble else []:
        most = max(most, sum(
            sent[first] <= sent[request] and at <= sent[first] + 1
            for at, request in arrived))
    lost = sum(status in (0, 502, 504) for status in answers.values())
    before = sum(cold_from - 1 <= at < cold_from for at, _ in worker.runs)
    lab.record.write("requests in the second before:", before,
                     "- most in one second at the cold worker:", most,
                     "- allowed:", ALLOWED, "- health probes meanwhile:",
                     worker.cold_probes, "- crashed:", worker.crashed,
                     "- requests lost:", lost)
    print("in the second before:", before,
          "- most requests in a second of cold:", most, "of", ALLOWED,
          "- crashed:", worker.crashed, "- lost:", lost)
    return most <= ALLOWED and (trouble or lost == 0)

stand_ins.main(HERE, play)
