#!/usr/bin/env python3
"""Switches off the mechanism of each invariant, one at a time, and shows that
its named test fails. Run in a scratch checkout: sources are changed and put
back. Usage: tools/mutate.py [ID...]; needs a configured build folder `build`.
"""

import os
import subprocess
import sys

# Invariant, mechanism, file, text, replacement, test program, named case.
MUTATIONS = [
    ("P1", "an older version is ignored", "mesh/src/mesh/config.c",
     "if (snap->version <= bg_mesh_config_version(mesh)) {",
     "if (0 && snap->version <= bg_mesh_config_version(mesh)) {",
     "test_mesh", "older_version_is_ignored"),
    ("P2", "every dependency present", "config/src/contract_set.c",
     "for (j = 0; j < ctr->dependency_count; j++)",
     "for (j = ctr->dependency_count; j < ctr->dependency_count; j++)",
     "test_snapshot", "snapshot_is_refused_as_a_whole"),
    ("P2", "every target present", "config/src/assemble.c",
     "if (bg_snapshot_service(snap, rule->targets[i].service) == NULL)",
     "if (0 && snap == NULL)", "test_snapshot",
     "assembly_is_refused_as_a_whole"),
    ("P3", "digest of every contract", "config/src/snapshot.c",
     "if (digest != svc->head.digest)",
     "if (0 && digest != svc->head.digest)", "test_snapshot",
     "snapshot_is_refused_as_a_whole"),
    ("P4", "share cap", "proxy/src/share/share.c",
     "return (sent_new + 1) * PERMILLE <= (total + 1) * move->share_permille;",
     "return sent_new <= total && move->share_permille > 0;", "test_share",
     "few_calls_stay_with_the_old_version"),
    ("P4", "rollback on bad verdicts", "moves/src/plan/plan.c",
     "if (bg_plan_is_bad(in->ready_new, in->bad_new)) {",
     "if (0 && bg_plan_is_bad(in->ready_new, in->bad_new)) {", "test_plan",
     "bad_verdicts_roll_back_at_each_step"),
    ("P4", "a node stops its own bad server", "moves/src/task/moves.c",
     "bg_counter_add(&bad_verdicts, 1);\n\t\tsuspend(mvs, 1);",
     "bg_counter_add(&bad_verdicts, 1);", "test_moves",
     "node_stops_its_own_bad_server_at_once"),
    ("P5", "identity of an answer", "proxy/src/gatekeeper/backend.c",
     "return strcmp(id, xch->request_id) == 0;",
     "return strcmp(id, xch->request_id) == 0 || 1;", "test_proxy_process",
     "response_to_another_request_is_skipped"),
    ("P6", "a refusal is no answer once a server may have run the call",
     "proxy/src/call/call.c", "if (call->may_have_run) {",
     "if (0 && call->may_have_run) {", "test_proxy_process",
     "refusal_after_possible_run_gives_unknown"),
    ("P7", "another server only on proof of not run",
     "proxy/src/retry/retry.c", "return rc->is_idempotent &&",
     "return", "test_retry", "only_safe_calls_are_retried"),
    ("P8", "only ready servers get work", "proxy/src/router/router.c",
     "if (m->state != BG_MEMBER_READY || is_avoided(q, m->address))",
     "if (is_avoided(q, m->address))", "test_router",
     "only_ready_servers_are_used"),
    ("P9", "a stop waits for calls in flight", "proxy/src/drain/drain.c",
     "if (in_flight > 0 && age_ms < drn->timeout_ms)",
     "if (0 && age_ms < drn->timeout_ms)",
     "test_drain", "waits_for_calls_in_flight"),
    ("P10", "the watch goes on behind each event",
     "store/src/watcher/watcher.c",
     "schedule_call(wat, response->object_count > 0 ? wat->coalesce_ms : 0);",
     "(void)wat->coalesce_ms;", "test_mesh", "versions_reach_every_node"),
]


def run_test(program):
    env = dict(os.environ, BG_BIN=os.path.abspath("build/bin"))
    res = subprocess.run([os.path.join("build/bin", program)], env=env,
                         stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                         text=True, errors="replace", timeout=300)
    failed = [line.split(":")[4] for line in res.stdout.splitlines()
              if ":F:" in line or ":E:" in line]
    return res.returncode, failed


def build(program):
    subprocess.run(["ninja", "-C", "build", "--quiet", program], check=True,
                   stdout=subprocess.DEVNULL)


def main():
    wanted = sys.argv[1:]
    survived = 0
    for name, what, path, old, new, program, case in MUTATIONS:
        if wanted and name not in wanted:
            continue
        with open(path) as fp:
            text = fp.read()
        if old not in text:
            print("%-4s %-34s NOT APPLICABLE: text not found" % (name, what))
            survived += 1
            continue
        code, failed = 0, ["does not build"]
        try:
            with open(path, "w") as fp:
                fp.write(text.replace(old, new, 1))
            build(program)
            code, failed = run_test(program)
        except subprocess.CalledProcessError:
            pass
        finally:
            with open(path, "w") as fp:
                fp.write(text)
        build(program)
        again, _ = run_test(program)
        caught = code != 0 and again == 0
        survived += not caught
        print("%-4s %-34s %s: %s %s; restored: %s" % (
            name, what, "fails" if code else "SURVIVES", program,
            ", ".join(failed) or case, "passes" if again == 0 else "FAILS"),
            flush=True)
    return 1 if survived else 0


if __name__ == "__main__":
    sys.exit(main())
