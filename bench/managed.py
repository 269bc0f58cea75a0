"""A small fleet that the users' platform manages: nodes as processes on
loopback addresses, backend servers that send heartbeats, and bg-platform as the
store. Unlike cluster.py, it starts nodes with the platform's settings file."""

import json
import os
import random
import shutil
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from cluster import (CHILDREN, bin_path, free_base_port, http,
                     wait_for)

HOST = "mesh.example"
PREFIX = "/orders/"
LOOKUP_PREFIX = "/lookups/"
PORTS = ("inbound", "outbound", "readiness", "control", "server")
METRICS_PORT = 9464
# A longer body is not read while the server is deaf.
SMALL_BODY_BYTES = 1024
APPLY_S = 2.0
CONTACT_S = 3.0
DRAIN_S = 2.0

SETTINGS = """NodeName = "{name}"
Ip = "{ip}"
Zone = "{zone}"
Region = "region"
PortRange = [{inbound},{inbound}]
Seeds = []
HeartbeatS = {heartbeat_s}
Thresholds = ["DrainS=2","GraceS=6","RetryBudget=0.2","RetryWindowS=10",\
"BudgetSlack=60","CanaryShare=0.1"{thresholds}]
AppAddr = "{ip}:{server}"
Service = "{service}"
[Bind]
Inbound = "{ip}:{inbound}"
Outbound = "{ip}:{outbound}"
Readiness = "{ip}:{readiness}"
ControlPlane = "{ip}:{control}"
[Limits]
CpuShare = 1.0
MemoryMb = {memory_mb}
MaxFds = {max_fds}
LinkMbps = 1000.0
[Platform]
Address = "{store}"
form = "objects"
"""


def route(service, timeout_s):
    return {"Host": HOST, "TimeoutS": timeout_s, "TargetLatencyS": 0.4, "Priority": 1,
            "Service": service, "Attempts": 2}


def configuration(version, service, services, timeout_s=1,
                  max_body_bytes=1048576):
    """The platform's configuration with two routes, to a service."""
    return {
        "Version": "r%d" % version,
        "Routes": {
            "orders": dict(route(service, timeout_s), PathPrefix=PREFIX,
                           Kind="non_idempotent"),
            "lookups": dict(route(service, timeout_s), PathPrefix=LOOKUP_PREFIX,
                            Kind="idempotent")},
        "Services": {s: {"HealthPath": "/healthz", "MaxConns": 120,
                         "Protocol": "h1", "Tls": False} for s in services},
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": max_body_bytes,
                   "HeaderTimeoutS": 3, "IdleTimeoutS": 15}}


class Server(ThreadingHTTPServer):
    """A backend server. `runs` has the monotonic time of each request, and
    `requests`, if it is a list, gets what its head says. `raw`, if it is set, is
    sent as its response; %s stands for the request id. It does not read large
    bodies for `deaf_s`. `body_bytes` is the length of the last body. It is cold
    for `warmup_s` after its start."""

    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, node, server_id, version="v1", warmup_s=0.0):
        super().__init__((node.ip, node.ports["server"]), Handler)
        self.node = node
        self.id = server_id
        self.version = version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.requests = None
        self.raw = None
        self.capacity = 6
        self.work_s = 0.0
        self.deaf_s = 0.0
        self.is_leaving = False  # its status says so
        self.body_bytes = 0
        self.warm_at = time.monotonic() + warmup_s
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def ping(self, state):
        """Returns a heartbeat; deliver() sends it, now or later."""
        self.is_leaving |= state == "draining"
        self.sequence += 1
        return ("heartbeat", {
            "Service": self.node.service, "Zone": self.node.zone,
            "Version": self.version,
            "Address": "%s:%d" % (self.node.ip, self.node.ports["server"]),
            "Capacity": self.capacity, "State": state,
            "WarmupLeftS": max(0.0, self.warm_at - time.monotonic()),
            "Sequence": self.sequence, "born": self.born})

    def deliver(self, message):
        """Returns the status of the node's answer, or 0."""
        call, body = message
        status, _, _ = http(
            "POST", "%s:%d" % (self.node.ip, self.node.ports["control"]),
            "/api/rpc?call=instances.%s&of=%s" % (call, self.id),
            json.dumps(body).encode(), timeout_s=1.0,
            headers={"Content-Type": "application/json"})
        return status

    def deregister(self):
        self.is_leaving = True
        return self.deliver(("deregister", {"born": self.born}))

    def handle_error(self, request, client_address):
        """A node may close a connection at any time."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)

    def stop(self):
        self.shutdown()
        self.server_close()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def record(self):
        self.server.requests.append(
            (time.monotonic(), self.headers.get("X-Request-Id"),
             self.headers.get_all("X-Tenant", []),
             self.headers.get_all("X-Credential", [])))

    def read_body(self):
        """Returns the length of the body."""
        if "chunked" not in self.headers.get("Transfer-Encoding", ""):
            length = int(self.headers.get("Content-Length", 0))
            if length > SMALL_BODY_BYTES and self.server.deaf_s > 0:
                time.sleep(self.server.deaf_s)
            return len(self.rfile.read(length))
        total = 0
        while True:
            size = int(self.rfile.readline().split(b";")[0], 16)
            self.rfile.read(size + 2)
            total += size
            if size == 0:
                return total

    def answer(self):
        self.server.body_bytes = self.read_body()
        if self.path != "/healthz":
            self.server.runs.append(time.monotonic())
            if self.server.requests is not None:
                self.record()
            if self.server.work_s > 0:
                time.sleep(self.server.work_s)
        if self.server.raw is not None:
            request_id = self.headers.get("X-Request-Id", "").encode()
            self.wfile.write(self.server.raw.replace(b"%s", request_id))
            return
        body = self.server.id.encode()
        is_probe = self.path == "/healthz"
        self.send_response(503 if is_probe and self.server.is_leaving else 200)
        self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
        self.send_header("X-Instance-Id", self.server.id)
        self.send_header("X-Response-Signature", "s")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = answer

    def log_message(self, *args):
        pass


class Node:
    def __init__(self, fleet, index, service, zone):
        self.fleet = fleet
        self.zone = zone
        self.name = "node-%d" % index
        self.ip = "%s.%d" % (fleet.net, index + 1)
        self.service = service
        self.ports = fleet.ports
        self.child = None
        self.log_path = os.path.join(fleet.dir, self.name + ".log")

    def start(self):
        settings = os.path.join(self.fleet.dir, self.name + ".toml")
        with open(settings, "w", encoding="ascii") as out:
            out.write(SETTINGS.format(
                name=self.name, ip=self.ip, service=self.service,
                zone=self.zone, thresholds="".join(
                    ',"%s"' % t for t in self.fleet.thresholds),
                store=self.fleet.store, memory_mb=self.fleet.memory_mb,
                max_fds=self.fleet.max_fds,
                heartbeat_s=self.fleet.heartbeat_s, **self.ports))
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                [bin_path("burdockgraded")], stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
                env=dict(os.environ, BURDOCKGRADE_BOOT=settings))
        CHILDREN.append(self.child)

    def kill(self):
        self.child.kill()
        self.child.wait()

    def is_ready(self):
        status, _, _ = http("GET", "%s:%d" % (self.ip, self.ports["readiness"]),
                            "/api/ready")
        return status == 200

    def wait_ready(self):
        try:
            wait_for("ready " + self.name, self.is_ready)
        except TimeoutError:
            print(self.read_log())
            raise

    def read_log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()

    def metric(self, name):
        _, _, text = http("GET", "%s:%d" % (self.ip, METRICS_PORT), "/metrics")
        for line in text.splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        return None

    def order(self):
        """Sends an order. Returns (status, id of the server that ran it)."""
        status, headers, _ = self.send("POST", PREFIX + "1", b"x")
        return status, headers.get("X-Instance-Id")

    def send(self, method, path, body=None):
        """Sends a request. Returns status, headers and body."""
        self.fleet.request_count += 1
        return http(
            method, "%s:%d" % (self.ip, self.ports["outbound"]), path, body,
            headers={
                "Host": HOST, "X-Deadline-Ms": "1000",
                "X-Request-Id": "request-%d" % self.fleet.request_count})


class Fleet:
    """Nodes 0, 1, ... with one of the services each; none is started. Zones go
    to the nodes in turn, thresholds ("Name=number") to their settings."""

    def __init__(self, services, memory_mb=260, max_fds=4100, zones=("dc-a",),
                 thresholds=(), heartbeat_s=1.5):
        self.thresholds = thresholds
        self.heartbeat_s = heartbeat_s
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.dir = tempfile.mkdtemp(prefix="bg-managed-")
        self.net = "127.%d.%d" % (64 + os.getpid() % 180,
                                  1 + os.getpid() // 180 % 250)
        self.request_count = 0
        addresses = ["%s.%d" % (self.net, i + 1) for i in range(len(services))]
        base = free_base_port(random.Random(), addresses)
        self.ports = {name: base + i for i, name in enumerate(PORTS)}
        self.nodes = [Node(self, i, s, zones[i % len(zones)])
                      for i, s in enumerate(services)]
        self.start_store()

    def start_store(self):
        log_path = os.path.join(self.dir, "store.log")
        with open(log_path, "wb") as log:
            self.store_child = subprocess.Popen(
                [bin_path("bg-platform"), "--listen", "%s.200:0" % self.net],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        CHILDREN.append(self.store_child)

        def address():
            with open(log_path, encoding="utf-8") as out:
                words = out.readline().split()
            return words[1] if len(words) == 2 else None
        self.store = wait_for("store", address)

    def start_nodes(self):
        for node in self.nodes:
            node.start()

    def wait_ready(self):
        for node in self.nodes:
            node.wait_ready()

    def lose_power(self, away_s=0.0):
        """Kills all nodes at once and starts them again."""
        for node in self.nodes:
            node.kill()
        time.sleep(away_s)
        self.start_nodes()

    def control(self, **switches):
        status, _, text = http("POST", self.store, "/control",
                               json.dumps(switches).encode())
        assert status == 200, text

    def stored_nodes(self):
        _, _, text = http("GET", self.store, "/api/objects/burdock-nodes")
        return len(json.loads(text)["items"])

    def accept(self, version, service, timeout_s=1, max_body_bytes=1048576):
        """Writes a configuration; the answer acknowledges it."""
        spec = configuration(version, service,
                             sorted({n.service for n in self.nodes}),
                             timeout_s, max_body_bytes)
        self.put("config", "main", spec)

    def order_rollout(self, service, version, ramp_s):
        """Orders a service's traffic to be moved to a server version."""
        self.put("rollouts", service, {
            "Service": service, "TargetVersion": version, "RampS": ramp_s})

    def rollout_state(self, service):
        _, _, text = http("GET", self.store, "/api/objects/rollouts/" + service)
        status = json.loads(text).get("Status")
        return status["State"] if status else None

    def put(self, kind, name, spec):
        """Writes an object; the answer acknowledges it."""
        body = json.dumps({"Metadata": {"Name": name}, "Spec": spec}).encode()
        path = "/api/objects/" + kind
        status, _, text = http("PUT", self.store, path + "/" + name, body)
        if status == 404:
            status, _, text = http("POST", self.store, path, body)
        assert status == 200, text

    def remove(self, kind, name):
        """Removes an object; the answer acknowledges it."""
        status, _, text = http(
            "DELETE", self.store, "/api/objects/%s/%s" % (kind, name))
        assert status == 200, text

    def stop(self):
        for child in [n.child for n in self.nodes] + [self.store_child]:
            if child is not None and child.poll() is None:
                child.kill()
                child.wait()
        shutil.rmtree(self.dir, ignore_errors=True)
