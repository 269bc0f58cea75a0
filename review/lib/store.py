"""A stand-in for the platform's metadata store (PROTOCOL.md), objects form.

Answers take 4 ms. Reads are exact unless AllowStale=1 is given; with
stale_lag_s above 0, such reads see the store as it was that long ago.
"""

import asyncio
import json
import time
from urllib.parse import parse_qs, urlsplit

from http1 import read_message, response

ANSWER_S = 0.004


class Store:
    def __init__(self):
        self.revision = 10
        self.objects = {}  # (kind, name) -> object
        self.events = []  # (revision, made at, kind, object, deleted)
        self.changed = asyncio.Event()
        self.stale_lag_s = 0.0
        self.server = None
        self.watches = {}  # id of a waiting watch -> (peer ip, kind, start)
        self.open_connections = set()
        self.silent = set()  # connections that carry nothing any more

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    # --- state

    def record(self, kind, obj, deleted):
        self.events.append((self.revision, time.monotonic(), kind,
                            json.loads(json.dumps(obj)), deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """What the operator writes. Returns when it is acknowledged."""
        self.revision += 1
        old = self.objects.get((kind, name))
        obj = {"Metadata": {"Name": name, "Revision": self.revision,
                            "Created": old["Metadata"]["Created"] if old
                            else self.revision,
                            "Finalizers": [], "DeletePending": False},
               "Spec": spec}
        if old and "Status" in old:
            obj["Status"] = old["Status"]
        self.objects[(kind, name)] = obj
        self.record(kind, obj, False)

    def visible(self, kind, since, lag_s):
        """Events of a kind after a revision, and the revision they lead to."""
        until = time.monotonic() - lag_s
        seen = [e for e in self.events if e[1] <= until]
        at = seen[-1][0] if seen else 10
        if lag_s == 0:
            at = self.revision
        return ([e for e in seen if e[2] == kind and e[0] > since],
                max(at, since))

    # --- calls

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        self.open_connections.add(writer)
        try:
            while True:
                msg = await read_message(reader)
                if msg is None:
                    break
                if writer in self.silent:
                    await asyncio.Event().wait()
                status, body = await self.handle(msg, peer)
                await asyncio.sleep(ANSWER_S)
                if writer in self.silent:
                    await asyncio.Event().wait()
                data = json.dumps(body).encode()
                writer.write(response(
                    status, [("Content-Type", "application/json")], data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.open_connections.discard(writer)
            writer.close()

    def silence(self):
        """All open connections go silent, without a reset."""
        self.silent |= self.open_connections

    async def handle(self, msg, peer):
        url = urlsplit(msg.target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        parts = url.path.split("/")[3:]
        if not url.path.startswith("/api/objects/"):
            return 404, {}
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else None
        is_status = len(parts) > 2 and parts[2] == "status"
        if msg.method == "GET":
            return await self.read(kind, name, query, peer)
        body = json.loads(msg.body) if msg.body else {}
        return self.write(msg.method, kind, name, is_status, body, query)

    async def read(self, kind, name, query, peer):
        lag_s = self.stale_lag_s if query.get("AllowStale") == "1" else 0.0
        if name is not None:
            obj = self.objects.get((kind, name))
            return (200, obj) if obj else (404, {})
        if "Watch" in query:
            return await self.watch(kind, int(query["Watch"]),
                                    int(query.get("WaitMs", "0")) / 1000,
                                    lag_s, peer)
        items = [o for (k, n), o in sorted(self.objects.items())
                 if k == kind and n > query.get("after", "")]
        return 200, {"items": items, "HasMore": False, "At": self.revision}

    async def watch(self, kind, since, wait_s, lag_s, peer):
        end = time.monotonic() + wait_s
        key = object()
        self.watches[key] = (peer, kind, time.monotonic())
        try:
            while True:
                events, at = self.visible(kind, since, lag_s)
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": [
                        {"Object": e[3], "Deleted": e[4]} for e in events],
                        "At": at}
                try:
                    await asyncio.wait_for(
                        self.changed.wait(),
                        min(left, 0.02) if lag_s else left)
                except asyncio.TimeoutError:
                    pass
        finally:
            del self.watches[key]

    def write(self, method, kind, name, is_status, body, query):
        meta = body.get("Metadata", {})
        wanted = meta.get("Revision", query.get("Revision"))
        if method == "POST":
            name = meta.get("Name")
            old = self.objects.get((kind, name))
            if old:
                return 409, old
            self.put(kind, name, body.get("Spec"))
            return 200, self.objects[(kind, name)]
        old = self.objects.get((kind, name))
        if old is None:
            return 404, {}
        if wanted is not None and int(wanted) != old["Metadata"]["Revision"]:
            return 409, old
        if method == "DELETE":
            self.revision += 1
            old["Metadata"]["Revision"] = self.revision
            del self.objects[(kind, name)]
            self.record(kind, old, True)
            return 200, {"At": self.revision}
        field = "Status" if is_status else "Spec"
        if old.get(field) == body.get(field):
            return 200, old
        self.revision += 1
        old = json.loads(json.dumps(old))
        old["Metadata"]["Revision"] = self.revision
        old[field] = body.get(field)
        self.objects[(kind, name)] = old
        self.record(kind, old, False)
        return 200, old
