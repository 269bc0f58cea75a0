"""A server that has left is in use again after its node was restarted."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from case import (BROKEN, HELD, HOST, NOT_RUN, TROUBLE, main,  # noqa: E402
                  start_fleet)
from fleet import config  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0
PING_LATE_S = 3.0
SERVES_ON_S = 10.0
ORDERS, OTHER = "wuno96b", "huvo11a"
CONFIGURATION = config(
    7, [("r-order", HOST, "/xapu221/", "non_idempotent", ORDERS)],
    [ORDERS, OTHER])


async def send_orders(fleet, machines, stop):
    """Orders from requesters on the machines that are never disturbed."""
    tasks = []
    while not stop.is_set():
        for m in machines:
            tasks.append(asyncio.ensure_future(fleet.send(
                m, HOST, "/xapu221/2f", "POST", body=b"net panel")))
        await asyncio.sleep(0.1)
    return await asyncio.gather(*tasks)


async def play(folder, record, held):
    store, fleet = await start_fleet(
        folder, record, CONFIGURATION, [ORDERS, ORDERS, OTHER])
    held.append(fleet)
    if not await fleet.wait_ready():
        return NOT_RUN
    await asyncio.sleep(5.0)
    stop = asyncio.Event()
    load = asyncio.ensure_future(
        send_orders(fleet, fleet.machines[1:], stop))
    await asyncio.sleep(3.0)
    node = fleet.machines[0]
    server = node.server
    if not server.runs:
        record("the server got no order")
        return NOT_RUN

    # The last ping before the server leaves is held up on its way.
    server.stop_beats()
    sequence, late_ping = server.ping("ready")
    sent = time.monotonic()
    record("ping %s state=ready sequence=%d sent, held up on its way"
           % (server.id, sequence))
    await asyncio.sleep(0.5)
    acked = await server.deregister()
    if acked is None:
        return NOT_RUN
    await asyncio.sleep(0.5)
    if TROUBLE:
        node.kill()
        await asyncio.sleep(0.5)
        node.start()
    restarted = time.monotonic()
    await asyncio.sleep(max(0.0, sent + PING_LATE_S - time.monotonic()))
    status = await server.deliver(late_ping)
    record("ping %s state=ready sequence=%d arrives %.1f s late, ack=%s"
           % (server.id, sequence, time.monotonic() - sent, status))

    await asyncio.sleep(max(0.0, acked + SERVES_ON_S - time.monotonic()))
    stop.set()
    await load
    in_touch = restarted + CONTACT_S
    late = [r for r in server.runs if r[0] > acked + DRAIN_S]
    counted = [r for r in late if r[0] > in_touch]
    record.finding(
        "%d orders reached the server later than %.1f s after the ack of its "
        "leaving, %d of them with every machine in touch"
        % (len(late), DRAIN_S, len(counted)))
    return BROKEN if counted else HELD


main(play, HERE)
