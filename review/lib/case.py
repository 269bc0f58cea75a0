"""What the scripts of all cases have in common."""

import asyncio
import os
import shutil
import sys
import tempfile
import traceback

from fleet import Fleet, Record, Server
from store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 100.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("salle-coupe", "entrepot", "bureau")
HOST = "hulo84.example"


async def start_fleet(folder, record, configuration, services):
    """Starts a store, and a node with its server for each of the services."""
    store = Store()
    fleet = Fleet(folder, record, store)
    await store.start(fleet.net + ".200")
    fleet.choose_ports(len(services))
    store.put("config", "main", configuration)
    for zone, service in zip(ZONES, services):
        m = fleet.add(zone, service)
        m.start()
        m.server = Server(m, "i-%s-%d" % (service, len(fleet.machines)))
        await m.server.start()
    return store, fleet


async def stop_fleet(fleet):
    for m in fleet.machines:
        await m.server.stop()
    fleet.stop()


async def run(play, folder, record):
    held = []  # the fleet, once it is started

    async def guarded():
        try:
            return await play(folder, record, held)
        finally:
            for fleet in held:
                await stop_fleet(fleet)

    try:
        return await asyncio.wait_for(guarded(), LIMIT_S)
    except (Exception, asyncio.TimeoutError):  # noqa: BLE001
        record("not run: " + traceback.format_exc())
        return NOT_RUN


def main(play, here):
    folder = tempfile.mkdtemp(prefix="review-")
    record = Record(os.path.join(here, "record.txt"))
    record("TROUBLE=%d" % TROUBLE)
    try:
        code = asyncio.run(run(play, folder, record))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    record("exit %d" % code)
    print(record.last_finding)
    sys.exit(code)
