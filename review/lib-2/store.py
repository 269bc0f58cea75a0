"""Stand-in for the platform's metadata store: the objects of PROTOCOL.md, one
revision counter, watches and conditional writes. It loses nothing and answers
at once; a case that wants another store derives one from it."""

import asyncio
import json
import urllib.parse

from wire import build_response, read_message

PREFIX = "/api/objects/"


class Store:
    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}  # (kind, name) -> object
        self.events = []   # (revision, kind, event)
        self.changed = asyncio.Event()
        self.listener = None

    async def start(self, ip, port):
        self.listener = await asyncio.start_server(self.serve, ip, port)

    def stop(self):
        if self.listener is not None:
            self.listener.close()

    def admits(self, method, path):
        """Whether the call is answered; a status to refuse it with, or None
        to answer nothing."""
        return True

    async def serve(self, reader, writer):
        try:
            while (msg := await read_message(reader)) is not None:
                url = urllib.parse.urlsplit(msg.target)
                query = dict(urllib.parse.parse_qsl(url.query))
                verdict = self.admits(msg.method, url.path)
                if verdict is None:
                    await asyncio.sleep(60)
                    break
                if verdict is not True:
                    status, out = verdict, {}
                else:
                    status, out = await self.handle(
                        msg.method, url.path[len(PREFIX):], query, msg.body)
                writer.write(build_response(
                    status, [("Content-Type", "application/json")],
                    json.dumps(out).encode()))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, query, body):
        parts = path.split("/")
        kind = parts[0]
        if method == "GET" and len(parts) == 2:
            found = self.objects.get((kind, parts[1]))
            return (404, {}) if found is None else (200, found)
        if method == "GET" and "Watch" in query:
            return await self.watch(kind, int(query["Watch"]),
                                    int(query.get("WaitMs", 0)))
        if method == "GET":
            items = [o for (k, _), o in sorted(self.objects.items())
                     if k == kind]
            return 200, {"items": items, "HasMore": False,
                         "At": self.revision}
        data = json.loads(body) if body else {}
        meta = data.get("Metadata", {})
        wanted = meta.get("Revision", query.get("Revision"))
        if method == "POST":
            return self.create(kind, meta["Name"], data)
        return self.change(method, kind, parts[1], len(parts) == 3, data,
                           wanted)

    def create(self, kind, name, data):
        if (kind, name) in self.objects:
            return 409, self.objects[kind, name]
        return 200, self.put(kind, name, data.get("Spec"))

    def change(self, method, kind, name, is_status, data, wanted):
        found = self.objects.get((kind, name))
        if found is None:
            return 404, {}
        if wanted is not None and int(wanted) != found["Metadata"]["Revision"]:
            return 409, found
        if method == "DELETE":
            del self.objects[kind, name]
            self.publish(kind, found, True)
            return 200, {"At": self.revision}
        if is_status:
            return 200, self.put(kind, name, found["Spec"], data["Status"])
        return 200, self.put(kind, name, data["Spec"], found["Status"])

    def put(self, kind, name, spec, status=None):
        """Writes an object, as the operator does too. Returns it."""
        old = self.objects.get((kind, name))
        if old and old["Spec"] == spec and old["Status"] == status:
            return old
        self.revision += 1
        meta = {"Name": name, "Revision": self.revision, "Finalizers": [],
                "Created": old["Metadata"]["Created"] if old
                else self.revision, "DeletePending": False}
        new = {"Metadata": meta, "Spec": spec, "Status": status}
        self.objects[kind, name] = new
        self.publish(kind, new, False, is_counted=True)
        return new

    def publish(self, kind, obj, is_deleted, is_counted=False):
        if not is_counted:
            self.revision += 1
        self.events.append(
            (self.revision, kind, {"Deleted": is_deleted, "Object": obj}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def watch(self, kind, since, wait_ms):
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_ms / 1000
        while True:
            found = [e for r, k, e in self.events if r > since and k == kind]
            left = end - loop.time()
            if found or left <= 0:
                return 200, {"events": found, "At": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
