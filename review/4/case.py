"""Orders are run by the service that they were moved away from, because the
nodes follow the configuration by reads that may be seconds old."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from case import (BROKEN, HELD, HOST, NOT_RUN, TROUBLE, main,  # noqa: E402
                  start_fleet)
from fleet import config  # noqa: E402

APPLY_S = 2.0
STALE_S = 4.0
WATCHED_S = 7.0
OLD, NEW = "wuno96b", "kafi81c"


def configuration(version, service):
    return config(version, [
        ("r-order", HOST, "/xapu221/", "non_idempotent", service)],
        [OLD, NEW])


async def play(folder, record, held):
    store, fleet = await start_fleet(
        folder, record, configuration(7, OLD), [OLD, NEW, NEW])
    held.append(fleet)
    if not await fleet.wait_ready():
        return NOT_RUN
    await asyncio.sleep(5.0)
    if TROUBLE:
        store.stale_lag_s = STALE_S
        record("reads with AllowStale are %.1f s old from now on" % STALE_S)
    await asyncio.sleep(5.0)
    store.put("config", "main", configuration(9, NEW))
    acked = time.monotonic()
    record("configuration r9 acknowledged: orders go to %s" % NEW)

    tasks = []
    while time.monotonic() < acked + WATCHED_S:
        for m in fleet.machines:
            tasks.append(asyncio.ensure_future(fleet.send(
                m, HOST, "/xapu221/2f", "POST", body=b"net panel")))
        await asyncio.sleep(0.1)
    answers = await asyncio.gather(*tasks)
    sent = {a["id"]: a["sent"] for a in answers}
    old_runs = [r for r in fleet.machines[0].server.runs
                if sent[r[1]] > acked + APPLY_S]
    new_runs = sum(len(m.server.runs) for m in fleet.machines[1:])
    if not new_runs:
        record("the new service got no order")
        return NOT_RUN
    record.finding(
        "%d orders sent later than %.1f s after the ack of r9 were run by the "
        "old service; the new one ran %d in all"
        % (len(old_runs), APPLY_S, new_runs))
    return BROKEN if old_runs else HELD


main(play, HERE)
