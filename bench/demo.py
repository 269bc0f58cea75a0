"""The whole path on one machine: Bélanger's three data centres as real
processes, three questionnaires, lookups and cutting orders, one move that is
done and one that is rolled back."""

import json
import os
import subprocess
import sys
import time

from cluster import Cluster, bin_path, wait_for
from judge import judge, read_lines

HERE = os.path.dirname(os.path.abspath(__file__))
PROMISED_S = 30
RATE = 200


def say(text):
    print("\n== %s" % text, flush=True)


def adapt(path, directory):
    """Copies a questionnaire with a promised time that fits a demo."""
    out = os.path.join(directory, os.path.basename(path))
    with open(path) as fp, open(out, "w") as copy:
        for line in fp:
            if line.startswith("take_over_s"):
                line = "take_over_s = %d\n" % PROMISED_S
            if line.startswith("start ="):
                line = 'start = "auto"\n'
            copy.write(line)
    return out


def service_line(cluster, service):
    for line in cluster.servers[0].status().splitlines():
        if " %s version=" % service in line:
            return line
    return ""


def follow(cluster, service, state, version, timeout_s):
    """Prints each new status line until it says what is expected."""
    seen = set()

    def reached():
        line = service_line(cluster, service)
        key = line.split(" since=")[0]
        if line and key not in seen:
            seen.add(key)
            print("   %s" % line, flush=True)
        return line.startswith("%s %s version=%s " % (state, service, version))
    wait_for("%s %s %s" % (state, service, version), reached, timeout_s, 0.2)


def main():
    with Cluster("belanger") as cl:
        say("platform, 12 backend servers with their nodes, 3 data centres "
            "%.0f ms apart" % cl.user["between_ms"])
        cl.populate()
        cl.start(spare=4)
        print("   logs: %s" % cl.dir)

        say("three questionnaires: check, plan, accept")
        files = [adapt(p, cl.dir) for p in cl.questionnaires()]
        print(cl.cli("plan", *files)[1])
        print(cl.cli("accept", *files)[1])
        cl.wait_synced()
        for service in cl.user["services"]:
            follow(cl, service, "done", "1.0", 30)

        say("lookups and cutting orders, %d calls a second" % RATE)
        log = os.path.join(cl.dir, "calls.jsonl")
        argv = [bin_path("bg-load"), "--mix",
                os.path.join(HERE, "mix", "belanger.json"),
                "--rate", str(RATE), "--seconds", "60",
                "--attempts", "3", "--log", log, "--source", cl.client_ip]
        for s in cl.servers:
            argv += ["--target", s.customer]
        load = subprocess.Popen(argv, stdout=subprocess.PIPE, text=True)
        try:
            time.sleep(3)
            say("catalogue 2.0 starts beside 1.0; promised within %d s"
                % PROMISED_S)
            for i in range(3):
                cl.add(i, "catalogue", "2.0").start()
            follow(cl, "catalogue", "done", "2.0", PROMISED_S + 10)

            say("catalogue 3.0 fails every call")
            for i in range(3):
                cl.add(i, "catalogue", "3.0").start(["--fault", "fail"])
            follow(cl, "catalogue", "rolled back", "3.0", PROMISED_S + 10)
        finally:
            out, _ = load.communicate(timeout=60)

        say("what the customers saw, and what the backend servers ran")
        result = json.loads(out)
        print("   %s" % json.dumps(result))
        verdict = judge(read_lines(log), cl.runs())
        print("   %s" % json.dumps(verdict))
        print("\n" + cl.cli("status")[1])
        if any(verdict.values()) or result["done"] == 0:
            say("FAILED: a count that must be zero is not")
            return 1
        say("demo passed")
        return 0


if __name__ == "__main__":
    sys.exit(main())
