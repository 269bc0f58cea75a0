"""A leaving is acknowledged while the store is down. Then all processes are
killed, and the acknowledgement is forgotten."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))

import rig  # noqa: E402
from store import Store  # noqa: E402

HOST = "hulo84.example"
SERVICE = "expedition"
DRAIN_S = 2.0
CONTACT_S = 3.0
RESTART_S = 0.5
WORK_S = 0.084


class Outage(Store):
    is_down = False

    def admits(self, method, path):
        return 503 if self.is_down else True


async def requests_forever(r, machine, answers):
    async def one():
        request_id, sent, msg = await rig.send(
            machine, HOST, "/wagu19/2f", "PUT", 1000, b"x" * 300)
        answers[request_id] = (sent, msg.status if msg else None)
    while True:
        r.spawn(one())
        await asyncio.sleep(0.022)


def set_store(r, is_down):
    r.store.is_down = is_down
    r.record("the store is %s", "down" if is_down else "back")


async def play(r):
    r.store.__class__ = Outage
    r.store.put("config", "main", rig.configuration(
        7, {"r-1": rig.route(HOST, "/wagu19/", "non_idempotent", SERVICE, 1)},
        [SERVICE]))
    servers = []
    for number, zone in enumerate(("salle-coupe", "entrepot", "bureau")):
        m = r.add(zone, SERVICE)
        m.start()
        s = rig.Server(m, "i-7f3a91c%d" % number, work_s=WORK_S)
        await s.start()
        s.start_beats()
        servers.append(s)
    await r.ready()
    await asyncio.sleep(4)
    answers = {}
    for m in r.machines:
        r.spawn(requests_forever(r, m, answers))
    await asyncio.sleep(3)

    set_store(r, rig.TROUBLE)
    await asyncio.sleep(1.5)
    leaving = servers[0]
    leaving.stop_beats()
    late = leaving.make_beat()
    if not rig.TROUBLE:
        await leaving.send_beat(late)
    await asyncio.sleep(0.5)
    if not await leaving.deregister():
        return rig.NOT_RUN
    acked = time.monotonic()
    await asyncio.sleep(0.2)
    if rig.TROUBLE:
        for m in r.machines:
            m.signal(signal.SIGKILL)
        await asyncio.sleep(RESTART_S)
        for m in r.machines:
            m.process.wait()
            m.start()
        await asyncio.sleep(0.8)
        set_store(r, False)
        back = time.monotonic()
        await asyncio.sleep(1.7)
        await leaving.send_beat(late, " (late)")
    else:
        back = acked
    await asyncio.sleep(6)
    leaving.stop()
    await asyncio.sleep(1.5)

    def counts(run):
        at, request_id = run
        sent = answers.get(request_id, (at, None))[0]
        return at > acked + DRAIN_S and sent > back + CONTACT_S
    wrong = [run for run in leaving.runs if counts(run)]
    for at, request_id in wrong:
        r.record("finding: %s reached the server %.3f s after the ack",
                 request_id, at - acked)
    r.record("requests that reached the leaving server later than %g s after "
             "the ack, sent %g s and more after the store was back: %d",
             DRAIN_S, CONTACT_S, len(wrong))
    r.record("of these, accepted and without a success: %d",
             sum(answers.get(i, (0, 0))[1] != 200 for _, i in wrong))
    return rig.BROKEN if wrong else rig.HELD


rig.main(play, HERE)
