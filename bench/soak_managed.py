#!/usr/bin/env python3
"""Randomized fault soak of a fleet on the users' platform: organisations with
keys and caps, cold and leaving backend servers, emptied data centres and hard
clients, with real processes under overlapping faults drawn from a seed. The
promises are checked from what backend servers saw and callers got.

    BG_BIN=build/bin python3 bench/soak_managed.py --seeds 1-50

A seed that failed is kept in SEEDS_FAILED with a line on its cause."""

import bisect
import contextlib
import json
import os
import random
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)

from cluster import http  # noqa: E402
from crowd import Crowd, chunked, half_head, with_length  # noqa: E402
from managed import (DRAIN_S, HOST, LOOKUP_PREFIX, PREFIX, Fleet,  # noqa: E402
                     Server, configuration)
from seeds import play_all  # noqa: E402

# Seeds that found a fault, each with its cause.
SEEDS_FAILED = {}

NODES = 6
ZONES = ("dc-a", "dc-b", "dc-c")
SERVICE = "orders"
APPLY_S = 2.5
EMPTY_S = 5.0
WINDOW_S = 5.0
LEAVING_MAX = 2   # the other servers have to bear the calls
LATE_PINGS = 4    # of each server that leaves
LATE_MAX_S = 4.0  # "seconds", by the users' pages
CAP_SHARE = 0.1
CAP_SLACK = 20
WARMUP_S = 3.0
WARMUP_PER_S = 5.0
WARMUP_BURST = 1.5
WARMUP_SLACK = 8
THRESHOLDS = (
    "EvacuateS=%g" % EMPTY_S, "QuotaWindowS=%g" % WINDOW_S,
    "QuotaBurst=%g" % CAP_SHARE, "QuotaSlack=%d" % CAP_SLACK,
    "WarmupBurst=%g" % WARMUP_BURST, "WarmupSlack=%d" % WARMUP_SLACK)
# Requests a second and burst of an organisation with a cap.
CAPS = {"capped": (15, 10), "small": (6, 5)}
FREE = ("alpha", "beta")
# Of the rate of an organisation: what its callers send. The slack of the rule is
# half as much as the cap, so demand has to be a multiple.
FAULTS_SHARE = 4
CALM_SHARE = 0.5
CALLERS = 4  # of each organisation
HEARTBEAT_S = 1.5
FAULTS = 9
FAULTS_S = 16.0
PAUSE_MAX_S = 3.0
# A node that was paused, or whose store is away, may know an older version.
STALE_S = APPLY_S + PAUSE_MAX_S + 1.0
# Calls sent this long after the last fault are served again.
RECOVERY_S = 8.0
CALM_S = 6.0
SERVED_MIN = 0.95
MEMORY_MB = 260


class Caller(threading.Thread):
    """Sends requests of one organisation, each with a key of its own choice."""

    def __init__(self, soak, organisation, seed):
        super().__init__(daemon=True)
        self.soak = soak
        self.organisation = organisation
        self.rng = random.Random(seed)
        self.calls = []

    def pause_s(self):
        rate = CAPS.get(self.organisation, (12, 0))[0]
        # Far over its cap while faults last, well below it afterwards.
        share = CALM_SHARE if self.soak.is_calm else FAULTS_SHARE
        return self.rng.expovariate(rate * share / CALLERS)

    def run(self):
        soak = self.soak
        while not soak.is_over:
            time.sleep(min(1.0, self.pause_s()))
            node = self.rng.choice(soak.fleet.nodes)
            key = self.rng.choice(
                soak.keys[self.organisation] or ["none-%s" % self.organisation])
            call_id = "c%d-%x" % (id(self) % 997, self.rng.getrandbits(48))
            is_lookup = self.rng.random() < 0.7
            sent = time.monotonic()
            status, _, _ = http(
                "GET" if is_lookup else "POST",
                "%s:%d" % (node.ip, node.ports["outbound"]),
                (LOOKUP_PREFIX if is_lookup else PREFIX) + "1",
                None if is_lookup else b"x", timeout_s=1.5,
                headers={"Host": HOST, "X-Request-Id": call_id,
                         "X-Deadline-Ms": "1000", "X-Credential": key,
                         "X-Tenant": "forged"})
            self.calls.append((sent, call_id, key, status))


class Soak:
    """One seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = Fleet([SERVICE] * NODES, MEMORY_MB, 4100, ZONES,
                           THRESHOLDS)
        self.lock = threading.Lock()
        self.node_locks = {n: threading.Lock() for n in self.fleet.nodes}
        self.servers = {}
        self.every_server = []
        self.keys = {org: ["key-%s-0" % org] for org in FREE + tuple(CAPS)}
        self.every_key = {k for keys in self.keys.values() for k in keys}
        self.mappings = []  # (acknowledged, key -> organisation)
        self.emptied = []   # [zone, acknowledged, removed]
        self.left = []      # (server, acknowledged)
        self.version = 0
        self.is_calm = False
        self.is_over = False
        self.log = []

    def note(self, text):
        self.log.append("%.1f %s" % (time.monotonic() - self.began, text))

    def accept(self):
        """Writes a version with the keys as they are now."""
        self.version += 1
        spec = configuration(self.version, SERVICE, [SERVICE])
        spec["Services"][SERVICE].update(
            WarmupS=WARMUP_S, WarmupPerS=WARMUP_PER_S)
        spec["Tenants"] = {
            org: dict({"ApiKeys": keys}, **(
                {"RatePerS": CAPS[org][0], "Burst": CAPS[org][1]}
                if org in CAPS else {}))
            for org, keys in self.keys.items()}
        self.fleet.put("config", "main", spec)
        self.mappings.append((time.monotonic(), {
            k: org for org, keys in self.keys.items() for k in keys}))

    def beat(self):
        while not self.is_over:
            for server in list(self.servers.values()):
                server.deliver(server.ping("ready"))
            time.sleep(HEARTBEAT_S / 2)

    def serve(self, node, number, warmup_s=0.0):
        server = Server(node, "server-%s-%d" % (node.name, number), "v1",
                        warmup_s)
        server.requests = []
        self.servers[node] = server
        self.every_server.append(server)

    # Faults: each returns a function that runs on a thread of its own.

    def change_keys(self, span_s):
        org = self.rng.choice(sorted(self.keys))
        other = self.rng.choice(sorted(self.keys))
        what = self.rng.choice(("add", "take", "take all", "move"))

        def run():
            with self.lock:
                keys = self.keys[org]
                self.note("%s keys of %s" % (what, org))
                if what == "add" or not keys:
                    keys = keys + ["key-%s-%d" % (org, self.version)]
                    self.every_key.update(keys)
                elif what == "move" and other != org:
                    self.keys[other] = self.keys[other] + keys[:1]
                    keys = keys[1:]
                else:
                    keys = [] if what == "take all" else keys[1:]
                self.keys[org] = keys
                self.write("keys")
        return run

    def write(self, what):
        """Writes until the store acknowledges it: a write whose outcome is not
        known may be in force."""
        while True:
            try:
                self.accept()
                return
            except AssertionError as err:
                self.note("%s not written: %s" % (what, err))
                time.sleep(0.2)

    def kill(self, span_s):
        node = self.rng.choice(self.fleet.nodes)

        def run():
            with self.node_locks[node]:
                self.note("kill " + node.name)
                node.kill()
                time.sleep(min(span_s, 1.0))
                node.start()
        return run

    def stop(self, span_s):
        node = self.rng.choice(self.fleet.nodes)

        def run():
            with self.node_locks[node]:
                self.note("stop " + node.name)
                node.child.send_signal(signal.SIGTERM)
                node.child.wait(timeout=20)
                node.start()
        return run

    def pause(self, span_s):
        node = self.rng.choice(self.fleet.nodes)
        span_s = min(span_s, PAUSE_MAX_S)

        def run():
            with self.node_locks[node]:
                self.note("pause %s for %.1f s" % (node.name, span_s))
                node.child.send_signal(signal.SIGSTOP)
                time.sleep(span_s)
                node.child.send_signal(signal.SIGCONT)
        return run

    def outage(self, span_s):
        how = self.rng.choice((True, "silent"))
        span_s = min(span_s, PAUSE_MAX_S)

        def run():
            with self.lock:
                self.note("store away (%s) for %.1f s" % (how, span_s))
                self.fleet.control(outage=how)
                time.sleep(span_s)
                self.fleet.control(outage=False)
        return run

    def forget_history(self, span_s):
        def run():
            with self.lock:
                self.note("history dropped")
                self.fleet.control(drop_history=True)
        return run

    def empty(self, span_s):
        zone = self.rng.choice(ZONES)

        def run():
            with self.lock:
                if any(e[2] is None for e in self.emptied):
                    return
                self.note("empty " + zone)
                self.fleet.put("evacuations", zone, {})
                entry = [zone, time.monotonic(), None]
                self.emptied.append(entry)
            time.sleep(EMPTY_S + span_s)
            with self.lock:
                self.note("take back " + zone)
                entry[2] = time.monotonic()
                self.fleet.remove("evacuations", zone)
        return run

    def replace_server(self, span_s):
        node = self.rng.choice(self.fleet.nodes)

        def run():
            with self.node_locks[node]:
                if node not in self.servers:
                    return
                self.note("cold server beside " + node.name)
                self.servers.pop(node).stop()
                time.sleep(0.3)
                self.serve(node, len(self.every_server), WARMUP_S)
        return run

    def leave(self, span_s):
        """A server leaves and serves on; its last heartbeats come late."""
        node = self.rng.choice(self.fleet.nodes)
        late_s = sorted(self.rng.uniform(0, LATE_MAX_S)
                        for _ in range(LATE_PINGS))

        def run():
            with self.node_locks[node]:
                if node not in self.servers or len(self.left) == LEAVING_MAX:
                    return
                server = self.servers.pop(node)
                late = [server.ping("ready") for _ in late_s]
                is_acked = server.deregister() == 200
                since = time.monotonic()
                self.left.append((server, since if is_acked else None))
                self.note("leave %s acked=%d" % (node.name, is_acked))
            for at_s, message in zip(late_s, late):
                time.sleep(max(0, since + at_s - time.monotonic()))
                server.deliver(message)
        return run

    def lose_power(self, span_s):
        def run():
            with contextlib.ExitStack() as locks:
                for node in self.fleet.nodes:
                    locks.enter_context(self.node_locks[node])
                self.note("kill all nodes")
                self.fleet.lose_power(min(span_s, 1.0))
        return run

    def crowd(self, span_s):
        node = self.rng.choice(self.fleet.nodes)
        data = self.rng.choice((
            chunked(PREFIX + "1", 60000, 1), half_head(PREFIX + "1", 15000),
            with_length(PREFIX + "1", 1 << 20, (1 << 20) - 1)))

        def run():
            self.note("hard clients at " + node.name)
            clients = Crowd(
                "%s:%d" % (node.ip, node.ports["outbound"]), 40, data)
            clients.send(2.0, lambda: None)
            time.sleep(span_s)
            clients.close()
        return run

    def plan(self):
        kinds = (self.change_keys, self.change_keys, self.change_keys,
                 self.kill, self.stop, self.pause, self.outage,
                 self.forget_history, self.empty, self.replace_server,
                 self.replace_server, self.crowd, self.leave,
                 self.lose_power)
        faults = []
        for _ in range(FAULTS):
            at_s = self.rng.uniform(0, FAULTS_S)
            span_s = self.rng.uniform(0.5, 4)
            faults.append((at_s, self.rng.choice(kinds)(span_s)))
        faults += self.forgotten_leaving()
        return sorted(faults, key=lambda f: f[0])

    def forgotten_leaving(self):
        """A server leaves while the store is away, and all nodes are killed."""
        at_s = self.rng.uniform(0, FAULTS_S)
        return [(at_s, self.outage(self.rng.uniform(1.5, 3))),
                (at_s + 0.5, self.leave(0)),
                (at_s + self.rng.uniform(0.7, 1.5), self.lose_power(0.3))]

    def inject(self):
        start = time.monotonic()
        threads = []
        for at_s, run in self.plan():
            time.sleep(max(0, start + at_s - time.monotonic()))
            threads.append(threading.Thread(target=run))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def restore_keys(self):
        """Each organisation has a key at the end, so that it can be served."""
        with self.lock:
            for org, keys in self.keys.items():
                if not keys:
                    self.keys[org] = ["key-%s-last" % org]
                    self.every_key.update(self.keys[org])
            self.write("keys")

    def run(self):
        self.began = time.monotonic()
        self.accept()
        self.fleet.start_nodes()
        self.fleet.wait_ready()
        for node in self.fleet.nodes:
            self.serve(node, 0)
        threading.Thread(target=self.beat, daemon=True).start()
        callers = [Caller(self, org, self.rng.random())
                   for org in sorted(self.keys) for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(4)
        self.inject()
        self.restore_keys()
        self.is_calm = True
        recovered = time.monotonic() + RECOVERY_S
        time.sleep(RECOVERY_S + CALM_S)
        self.is_over = True
        for caller in callers:
            caller.join()
        calls = {c[1]: c for caller in callers for c in caller.calls}
        return self.judge(calls, recovered)

    # Promises.

    def runs(self):
        return [(server, r) for server in self.every_server
                for r in server.requests]

    def allowed_organisations(self, key, sent, ran):
        """Organisations that the key may stand for, at a node that knows a
        version which was in force less than STALE_S before, or a newer one."""
        allowed = set()
        for i, (acked, mapping) in enumerate(self.mappings):
            is_replaced = i + 1 < len(self.mappings) and \
                self.mappings[i + 1][0] < sent - STALE_S
            if not is_replaced and acked - STALE_S < ran:
                allowed.add(mapping.get(key))
        return allowed

    def wrong_organisations(self, calls):
        wrong = 0
        for _, (ran, call_id, organisations, keys) in self.runs():
            sent, _, key, _ = calls.get(call_id, (ran, "", None, 0))
            allowed = self.allowed_organisations(key, sent, ran)
            wrong += bool(keys) or len(organisations) != 1 or \
                organisations[0] not in allowed
        return wrong

    def over_cap(self, calls):
        """Calls beyond what a window may have, of all organisations."""
        over = 0
        for org, (rate, burst) in CAPS.items():
            bound = (rate * WINDOW_S + burst) * (1 + CAP_SHARE) + CAP_SLACK
            times = sorted(r[0] for _, r in self.runs() if r[2] == [org])
            for i, ran in enumerate(times):
                last = bisect.bisect_right(times, ran + WINDOW_S)
                over = max(over, last - i - bound)
        return max(0, over)

    def over_warmup(self):
        """Calls beyond what a cold server may get in a second."""
        bound = WARMUP_PER_S * WARMUP_BURST + WARMUP_SLACK
        over = 0
        for server in self.every_server:
            times = [t for t in server.runs if t < server.warm_at]
            for i, ran in enumerate(times):
                last = bisect.bisect_right(times, ran + 1.0)
                over = max(over, last - i - bound)
        return max(0, over)

    def run_in_emptied(self, calls):
        late = 0
        for server, (ran, call_id, _, _) in self.runs():
            sent = calls.get(call_id, (ran,))[0]
            for zone, acked, removed in self.emptied:
                late += server.node.zone == zone and \
                    acked + EMPTY_S < sent and ran < removed
        return late

    def used_after_leaving(self, recovered):
        return sum(at > max(acked + DRAIN_S, recovered)
                   for server, acked in self.left if acked is not None
                   for at in server.runs)

    def keys_in_logs(self):
        return sum(key in text
                   for text in (n.read_log() for n in self.fleet.nodes)
                   for key in self.every_key)

    def judge(self, calls, recovered):
        late = [c for c in calls.values() if c[0] > recovered]
        served = sum(c[3] == 200 for c in late)
        verdict = {
            "wrong_organisations": self.wrong_organisations(calls),
            "over_cap": self.over_cap(calls),
            "over_warmup": self.over_warmup(),
            "run_in_emptied": self.run_in_emptied(calls),
            "used_after_leaving": self.used_after_leaving(recovered),
            "keys_in_logs": self.keys_in_logs(),
            "ended": sum(n.child.poll() is not None
                         for n in self.fleet.nodes),
            "not_recovered": int(not late or served < SERVED_MIN * len(late))}
        figures = {"calls": len(calls), "late": len(late), "served": served,
                   "versions": self.version, "emptied": len(self.emptied),
                   "left": len(self.left),
                   "answers": {s: sum(c[3] == s for c in calls.values())
                               for s in sorted({c[3] for c in calls.values()})}}
        figures.update(verdict)
        return figures, [k for k, v in verdict.items() if v]


def play(seed):
    soak = Soak(seed)
    failed = ["error"]
    try:
        figures, failed = soak.run()
        print(json.dumps(dict(figures, seed=seed)), flush=True)
    except Exception as err:  # a promise that was waited for in vain
        print("seed %d: %r" % (seed, err), flush=True)
    finally:
        soak.is_over = True
        for server in [*soak.servers.values(), *(s for s, _ in soak.left)]:
            server.stop()
        if failed:
            print("seed %d failed: %s\n  %s" % (
                seed, ", ".join(failed), "\n  ".join(soak.log)), flush=True)
            os.rename(soak.fleet.dir, soak.fleet.dir + "-kept")
            print("  logs in %s-kept" % soak.fleet.dir, flush=True)
        soak.fleet.stop()
    return not failed


if __name__ == "__main__":
    sys.exit(play_all(play, __doc__))
