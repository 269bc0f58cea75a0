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
    ("P1", "floor from a leased relay only", "mesh/src/mesh/floor.c",
     "if (!answer->is_leased || answer->remaining_ms == 0 ||",
     "if (0 && answer->remaining_ms == 0 &&", "test_mesh_rules",
     "floor_needs_own_read_or_leased_answer"),
    ("P2", "every dependency present", "config/src/contract_set.c",
     "for (j = 0; j < ctr->dependency_count; j++)",
     "for (j = ctr->dependency_count; j < ctr->dependency_count; j++)", "test_snapshot",
     "snapshot_is_refused_as_a_whole"),
    ("P3", "digest of every contract", "config/src/snapshot.c",
     "if (digest != svc->head.digest)",
     "if (0 && digest != svc->head.digest)", "test_snapshot",
     "snapshot_is_refused_as_a_whole"),
    ("P4", "share cap", "proxy/src/share/share.c",
     "return (sent_new + 1) * PERMILLE <= (total + 1) * move->share_permille;",
     "return sent_new <= total && move->share_permille > 0;", "test_share",
     "few_calls_stay_with_the_old_version"),
    ("P4", "rollback on a bad verdict", "moves/src/plan/plan.c",
     "if (in->is_marked || in->verdict == BG_VERDICT_BAD) {",
     "if (in->is_marked) {", "test_plan",
     "bad_verdict_rolls_back_at_each_step"),
    ("P5", "identity of an answer", "proxy/src/gatekeeper/answer.c",
     ": strcmp(id, request_id) != 0 ||", ": 0 ||", "test_proxy_process",
     "unusable_answer_is_discarded"),
    ("P6", "unknown once a call was written", "proxy/src/call/judge.c",
     "rc.outcome = BG_XOUTCOME_UNKNOWN;", "rc.outcome = BG_XOUTCOME_NOT_RUN;",
     "test_proxy_process", "link_lost_after_sending_gives_unknown"),
    ("P7", "refusal of a lower epoch", "record/src/group/copy.c",
     "if (args->epoch != grp->view.epoch || out->epoch == 0)",
     "if (out->epoch == 0)", "test_group", "replaced_holder_grants_nothing"),
    ("P8", "only ready servers get work", "proxy/src/router/candidates.c",
     "return m->state == BG_MEMBER_READY && !m->is_dead;",
     "return !m->is_dead;", "test_router", "only_ready_servers_are_used"),
    ("P9", "a stop waits for calls in flight", "proxy/src/drain/drain.c",
     "if (in_flight > 0 && !is_over_bound(drn, now_ms))",
     "if (0 && !is_over_bound(drn, now_ms))",
     "test_drain", "waits_for_calls_in_flight"),
    ("P10", "a held SYNC is answered by news", "mesh/src/mesh/children.c",
     "if (bg_table_has_news(chn->table, &sel) ||",
     "if ((0 && bg_table_has_news(chn->table, &sel)) ||",
     "test_mesh_sync", "news_are_sent_at_once"),
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
