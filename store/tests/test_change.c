#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/change.h"
#include "burdockgrade/clock.h"
#include "burdockgrade/document.h"
#include "burdockgrade/platform.h"

#include "change/operation.h"
#include "change/update.h"
#include "standin.h"
#include "suite.h"

/* Longest wait for an event, so that a lost event fails the test instead of
 * blocking it. */
#define LOOP_TIMEOUT_MS 5000
#define NOW_MS 1700000000000
/* Operators that run at the same time. */
#define OPERATORS 6

static struct standin sti;
static struct bg_store_factory factory;
static struct bg_error err;

static struct bg_contract
make_contract(const char *name, uint32_t slots)
{
	struct bg_contract ctr;

	memset(&ctr, 0, sizeof(ctr));
	snprintf(ctr.name, sizeof(ctr.name), "%s", name);
	snprintf(
	    ctr.routes[0].name, sizeof(ctr.routes[0].name), "%s-all", name);
	snprintf(
	    ctr.routes[0].prefix, sizeof(ctr.routes[0].prefix), "/%s", name);
	ctr.routes[0].methods = BG_METHOD_GET;
	ctr.routes[0].is_idempotent = 1;
	ctr.routes[0].deadline_ms = 2000;
	ctr.routes[0].slow_ms = 500;
	ctr.route_count = 1;
	ctr.slots = slots;
	ctr.connections = 120;
	ctr.take_over_ms = 60000;
	ctr.soak_ms = 60000;
	ctr.max_error_permille = 10;
	ctr.slo_permyriad = 9990;
	ctr.slo_window_days = 28;
	return ctr;
}

static void
setup(void)
{
	const struct bg_store_options init = BG_STORE_OPTIONS_INIT;

	standin_start(&sti, "bg-platform", "127.0.0.1:0");
	factory.open = bg_platform_store_init;
	factory.options = init;
	factory.options.address = sti.address;
	factory.options.timeout_ms = 300;
}

static void
teardown(void)
{
	standin_stop(&sti);
}

static int
accept_one(const char *name, uint32_t slots, uint64_t expected_version,
    uint64_t *out_version)
{
	struct bg_contract ctr = make_contract(name, slots);

	return bg_operation_accept(
	    out_version, &factory, &ctr, 1, expected_version, "ann", &err);
}

static struct bg_head
load_head(void)
{
	struct bg_head head;
	uint64_t revision;
	json_t *doc;

	ck_assert_int_eq(bg_read_document(&doc, &revision, &factory, &err), 0);
	ck_assert_int_eq(bg_document_head(&head, doc, &err), 0);
	json_decref(doc);
	return head;
}

static struct bg_history
load_history(void)
{
	struct bg_history hist;

	ck_assert_int_eq(bg_read_history(&hist, &factory, &err), 0);
	return hist;
}

static void
count_object(void *arg, const struct bg_store_object *obj)
{
	size_t *count = arg;

	*count += strncmp(obj->name, "atelier.", 8) == 0;
}

static size_t
count_revisions(void)
{
	struct bg_session ses;
	size_t count = 0;

	ck_assert_int_eq(bg_session_init(&ses, &factory, &err), 0);
	ck_assert_int_eq(bg_session_foreach(&ses, BG_KIND_CONTRACTS,
			     count_object, &count, &err),
	    0);
	bg_session_free(&ses);
	return count;
}

/* Guards against updates that do not advance the version of the head by exactly
 * one, or that mark a service as changed by a later version than the head's. */
START_TEST(update_advances_the_version_by_one)
{
	struct bg_contract a = make_contract("atelier", 6);
	struct bg_contract b = make_contract("catalogue", 6);
	struct bg_head head;

	bg_head_init(&head);
	head.version = 7;
	ck_assert_int_eq(bg_change_accept(&head, &a, 1, NOW_MS, &err), 0);
	ck_assert_uint_eq(head.version, 8);
	ck_assert_int_eq(bg_change_accept(&head, &b, 1, NOW_MS, &err), 0);
	bg_update_finalize(&head, 7, "ann", "n1");
	ck_assert_uint_eq(head.version, 8);
	ck_assert_uint_eq(bg_head_find(&head, "atelier")->changed, 8);
	ck_assert_uint_eq(bg_head_find(&head, "catalogue")->changed, 8);
	ck_assert_str_eq(head.writer, "ann");
	bg_head_free(&head);
}
END_TEST

/* Guards against a withdrawal to a later revision, or one that keeps the digest
 * of the withdrawn content. */
START_TEST(withdraw_restores_earlier_content)
{
	struct bg_contract a = make_contract("atelier", 6);
	struct bg_contract b = make_contract("atelier", 7);
	struct bg_head head;
	uint64_t digest;

	bg_head_init(&head);
	ck_assert_int_eq(
	    bg_change_withdraw(&head, &a, 1, NOW_MS, &err), BG_ENOTFOUND);
	bg_change_accept(&head, &a, 1, NOW_MS, &err);
	bg_change_accept(&head, &b, 2, NOW_MS, &err);
	ck_assert_int_eq(
	    bg_change_withdraw(&head, &a, 3, NOW_MS, &err), BG_EINVAL);
	ck_assert_int_eq(bg_change_withdraw(&head, &a, 1, NOW_MS, &err), 0);
	ck_assert_uint_eq(head.version, 3);
	ck_assert_uint_eq(head.services[0].rev, 1);
	ck_assert_int_eq(head.services[0].is_withdrawn, 1);
	bg_contract_digest(&digest, &a);
	ck_assert_uint_eq(head.services[0].digest, digest);
	bg_head_free(&head);
}
END_TEST

/* Guards against two concurrent moves of a service, and against moves that do
 * not record the version to roll back to. */
START_TEST(moves_of_a_service_are_sequential)
{
	struct bg_contract a = make_contract("atelier", 6);
	struct bg_head head;
	struct bg_move move;

	bg_head_init(&head);
	ck_assert_int_eq(
	    bg_change_move(&head, "atelier", "2.0", 1, NOW_MS, &err),
	    BG_ENOTFOUND);
	bg_change_accept(&head, &a, 1, NOW_MS, &err);
	ck_assert_int_eq(
	    bg_change_move(&head, "atelier", "2 0", 1, NOW_MS, &err),
	    BG_EINVAL);
	ck_assert_int_eq(
	    bg_change_move(&head, "atelier", "1.0", 60000, NOW_MS, &err), 0);
	move = head.services[0].move;
	ck_assert_uint_eq(move.generation, 1);
	ck_assert_uint_eq(move.deadline_ms, NOW_MS + 60000);
	ck_assert_str_eq(move.from, "");
	ck_assert_int_eq(
	    bg_change_move(&head, "atelier", "2.0", 60000, NOW_MS, &err),
	    BG_ECONFLICT);
	move.state = BG_MOVE_DONE;
	ck_assert_int_eq(
	    bg_change_move_state(&head, "atelier", &move, NOW_MS, &err), 0);
	ck_assert_int_eq(
	    bg_change_move(&head, "atelier", "1.0", 60000, NOW_MS, &err),
	    BG_EINVAL);
	ck_assert_int_eq(
	    bg_change_move(&head, "atelier", "2.0", 60000, NOW_MS, &err), 0);
	ck_assert_str_eq(head.services[0].move.from, "1.0");
	ck_assert_int_eq(
	    bg_change_move_state(&head, "atelier", &move, NOW_MS, &err),
	    BG_ESTALE);
	move = head.services[0].move;
	move.state = BG_MOVE_ROLLED_BACK;
	bg_change_move_state(&head, "atelier", &move, NOW_MS, &err);
	ck_assert_int_eq(
	    bg_change_move(&head, "atelier", "3.0", 60000, NOW_MS, &err), 0);
	ck_assert_str_eq(head.services[0].move.from, "1.0");
	ck_assert_uint_eq(head.services[0].move.generation, 3);
	bg_head_free(&head);
}
END_TEST

/* Guards against taking the update of another writer for the own one after a
 * lost response. */
START_TEST(read_back_distinguishes_own_update)
{
	struct bg_head head;

	bg_head_init(&head);
	bg_update_finalize(&head, 4, "ann", "n1");
	ck_assert_int_eq(
	    bg_update_state(&head, 9, 8, "ann", "n1"), BG_UPDATE_APPLIED);
	ck_assert_int_eq(
	    bg_update_state(&head, 8, 8, "ann", "n2"), BG_UPDATE_PENDING);
	ck_assert_int_eq(
	    bg_update_state(&head, 9, 8, "ann", "n2"), BG_UPDATE_SUPERSEDED);
	ck_assert_int_eq(
	    bg_update_state(&head, 9, 8, "bob", "n1"), BG_UPDATE_SUPERSEDED);
}
END_TEST

/* Guards against reporting a conflict for an update that took effect, but was
 * followed by another one before the head was read back. */
START_TEST(superseded_update_is_found_by_its_effect)
{
	struct bg_operation *op = calloc(1, sizeof(*op));
	struct bg_contract a = make_contract("atelier", 6);
	struct bg_head head;

	bg_head_init(&head);
	bg_change_accept(&head, &a, 5, NOW_MS, &err);
	op->contracts = &a;
	op->contract_count = 1;
	op->revs[0] = 5;
	ck_assert_int_eq(bg_operation_has_effect(op, &head), 1);
	op->revs[0] = 4;
	ck_assert_int_eq(bg_operation_has_effect(op, &head), 0);
	op->contract_count = 0;
	op->service = "atelier";
	op->to = "2.0";
	op->now_wall_ms = NOW_MS + 1;
	ck_assert_int_eq(bg_operation_has_effect(op, &head), 0);
	bg_change_move(&head, "atelier", "2.0", 1, NOW_MS + 1, &err);
	ck_assert_int_eq(bg_operation_has_effect(op, &head), 1);
	op->to = NULL;
	op->revs[0] = 5;
	ck_assert_int_eq(bg_operation_has_effect(op, &head), 0);
	bg_head_find(&head, "atelier")->is_withdrawn = 1;
	ck_assert_int_eq(bg_operation_has_effect(op, &head), 1);
	bg_head_free(&head);
	free(op);
}
END_TEST

static void
add_entry(
    struct bg_history *hist, uint64_t version, const char *action, uint64_t rev)
{
	struct bg_history_entry entry = {0};

	entry.version = version;
	entry.rev = rev;
	snprintf(entry.service, sizeof(entry.service), "atelier");
	snprintf(entry.action, sizeof(entry.action), "%s", action);
	ck_assert_int_eq(bg_history_add(hist, &entry), 0);
}

/* Guards against a withdrawal that restores a revision withdrawn before. */
START_TEST(previous_revision_skips_withdrawn_ones)
{
	struct bg_history hist = {0};

	add_entry(&hist, 1, "accept", 1);
	ck_assert_uint_eq(bg_history_previous(&hist, "atelier", 1), 0);
	add_entry(&hist, 2, "accept", 2);
	add_entry(&hist, 3, "accept", 3);
	ck_assert_uint_eq(bg_history_previous(&hist, "atelier", 3), 2);
	add_entry(&hist, 4, "withdraw", 2);
	add_entry(&hist, 5, "move", 0);
	ck_assert_uint_eq(bg_history_previous(&hist, "atelier", 2), 1);
	add_entry(&hist, 6, "accept", 4);
	ck_assert_uint_eq(bg_history_previous(&hist, "atelier", 4), 2);
	/* The history lacks the revision in force. */
	ck_assert_uint_eq(bg_history_previous(&hist, "atelier", 5), 0);
	bg_history_free(&hist);
}
END_TEST

/* Guards against a history that lacks a change whose writer stopped after the
 * update of the head, that grows without bound, or that gets the same missing
 * entry again and again. */
START_TEST(history_is_repaired_and_bounded)
{
	struct bg_contract a = make_contract("atelier", 6);
	struct bg_history hist = {0};
	struct bg_history back;
	struct bg_head head;
	uint64_t i;
	json_t *json;

	bg_head_init(&head);
	bg_change_accept(&head, &a, 3, NOW_MS, &err);
	bg_update_finalize(&head, 0, "bob", "n");
	ck_assert_int_eq(bg_history_repair(&hist, &head), 1);
	ck_assert_int_eq(bg_history_repair(&hist, &head), 0);
	ck_assert_str_eq(hist.entries[0].operator_name, "bob");
	ck_assert_uint_eq(hist.entries[0].rev, 3);
	for (i = 2; i < 250; i++)
		add_entry(&hist, i, "move", 0);
	ck_assert_uint_eq(hist.entry_count, BG_HISTORY_MAX);
	ck_assert_uint_eq(hist.entries[0].version, 50);
	/* The entry was dropped because of its age and is not added again. */
	ck_assert_int_eq(bg_history_repair(&hist, &head), 0);
	json = bg_history_encode(&hist);
	ck_assert_ptr_nonnull(json);
	ck_assert_int_eq(bg_history_decode(&back, json), 0);
	ck_assert_uint_eq(back.entry_count, BG_HISTORY_MAX);
	bg_history_free(&back);
	json_decref(json);
	json = json_object();
	ck_assert_int_eq(bg_history_decode(&back, json), BG_EPROTO);
	json_decref(json);
	bg_history_free(&hist);
	bg_head_free(&head);
}
END_TEST

/* Guards against deleting a revision that the head or a withdrawal needs. */
START_TEST(needed_revisions_are_not_garbage)
{
	const struct bg_revision revs[] = {{1, 1}, {2, 2}, {3, 3}, {4, 4},
	    {5, 5}, {6, 6}, {7, 7}, {8, 8}, {9, 9}};
	/* 6 was in force before 8; 7 was never accepted; 9 was stored by
	 * another operator whose accept is not complete. */
	const int expected[] = {1, 1, 0, 0, 0, 0, 1, 0, 0};
	size_t i;

	for (i = 0; i < 9; i++)
		ck_assert_int_eq(
		    bg_revision_is_garbage(revs, 9, i, 6, 8), expected[i]);
}
END_TEST

/* Guards against an accept that does not store the head, all contracts and the
 * history. */
START_TEST(accept_stores_head_contract_and_history)
{
	struct bg_contract both[] = {
	    make_contract("atelier", 6), make_contract("expedition", 3)};
	struct bg_history hist;
	struct bg_head head;
	uint64_t version;

	/* Services that depend on each other have to be accepted together. */
	snprintf(both[0].dependencies[0], BG_NAME_BYTES, "expedition");
	both[0].dependency_count = 1;
	snprintf(both[1].dependencies[0], BG_NAME_BYTES, "atelier");
	both[1].dependency_count = 1;
	ck_assert_int_eq(
	    bg_operation_accept(&version, &factory, both, 1, 0, "ann", &err),
	    BG_EINVAL);
	ck_assert_int_eq(
	    bg_operation_accept(&version, &factory, both, 2, 0, "ann", &err),
	    0);
	ck_assert_uint_eq(version, 1);
	head = load_head();
	ck_assert_uint_eq(head.version, 1);
	ck_assert_uint_eq(head.service_count, 2);
	bg_head_free(&head);
	hist = load_history();
	ck_assert_uint_eq(hist.entry_count, 2);
	ck_assert_str_eq(hist.entries[1].service, "expedition");
	bg_history_free(&hist);
	/* Accepting the same content again changes nothing. */
	ck_assert_int_eq(
	    bg_operation_accept(&version, &factory, both, 2, 0, "ann", &err),
	    0);
	ck_assert_uint_eq(version, 1);
}
END_TEST

/* Guards against accepting a configuration that every node would reject. */
START_TEST(accept_rejects_what_nodes_would_reject)
{
	struct bg_contract ctr = make_contract("catalogue", 6);
	uint64_t version;

	ck_assert_int_eq(accept_one("atelier", 6, 0, &version), 0);
	snprintf(ctr.routes[0].prefix, BG_PREFIX_BYTES, "/atelier");
	ck_assert_int_eq(
	    bg_operation_accept(&version, &factory, &ctr, 1, 0, "ann", &err),
	    BG_EINVAL);
	ctr = make_contract("catalogue", 6);
	snprintf(ctr.dependencies[0], BG_NAME_BYTES, "missing");
	ctr.dependency_count = 1;
	ck_assert_int_eq(
	    bg_operation_accept(&version, &factory, &ctr, 1, 0, "ann", &err),
	    BG_EINVAL);
	ctr = make_contract("catalogue", 0);
	ck_assert_int_eq(
	    bg_operation_accept(&version, &factory, &ctr, 1, 0, "ann", &err),
	    BG_EINVAL);
}
END_TEST

/* Guards against withdrawals that restore the wrong revision, and against
 * revisions that accumulate or are deleted too early. */
START_TEST(withdraw_and_garbage_collection)
{
	struct bg_head head;
	uint64_t version;
	uint32_t slots;

	ck_assert_int_eq(accept_one("atelier", 1, 0, &version), 0);
	ck_assert_int_eq(bg_operation_withdraw(
			     &version, &factory, "atelier", 0, "ann", &err),
	    BG_ENOTFOUND);
	for (slots = 2; slots <= 8; slots++)
		ck_assert_int_eq(accept_one("atelier", slots, 0, &version), 0);
	ck_assert_uint_eq(version, 8);
	ck_assert_uint_eq(count_revisions(), BG_REVISIONS_KEPT);
	ck_assert_int_eq(bg_operation_withdraw(
			     &version, &factory, "atelier", 8, "ann", &err),
	    0);
	ck_assert_int_eq(bg_operation_withdraw(
			     &version, &factory, "atelier", 0, "ann", &err),
	    0);
	head = load_head();
	ck_assert_uint_eq(head.version, 10);
	ck_assert_uint_eq(head.services[0].rev, 6);
	ck_assert_int_eq(head.services[0].is_withdrawn, 1);
	bg_head_free(&head);
	ck_assert_int_eq(accept_one("atelier", 9, 0, &version), 0);
	head = load_head();
	ck_assert_uint_eq(head.services[0].rev, 9);
	ck_assert_int_eq(head.services[0].is_withdrawn, 0);
	bg_head_free(&head);
	/* 4, 5, 6 and 9 are left; the withdrawn 7 and 8 were deleted. */
	ck_assert_uint_eq(count_revisions(), 4);
	ck_assert_int_eq(bg_operation_withdraw(
			     &version, &factory, "atelier", 0, "ann", &err),
	    0);
	head = load_head();
	ck_assert_uint_eq(head.services[0].rev, 6);
	bg_head_free(&head);
}
END_TEST

/* Accepts a contract in a child process. @return its pid */
static pid_t
start_operator(uint32_t slots, uint64_t expected_version)
{
	struct bg_contract ctr = make_contract("atelier", slots);
	char name[16];
	uint64_t version;
	pid_t pid = fork();

	ck_assert_int_ge(pid, 0);
	if (pid != 0)
		return pid;
	snprintf(name, sizeof(name), "op%u", slots);
	_exit(-bg_operation_accept(
	    &version, &factory, &ctr, 1, expected_version, name, &err));
}

static void
count_results(const pid_t *pids, int *successes, int *conflicts)
{
	int status;
	int i;

	*successes = 0;
	*conflicts = 0;
	for (i = 0; i < OPERATORS; i++) {
		ck_assert_int_eq(waitpid(pids[i], &status, 0), pids[i]);
		ck_assert(WIFEXITED(status));
		*successes += WEXITSTATUS(status) == 0;
		*conflicts += WEXITSTATUS(status) == -BG_ECONFLICT;
	}
}

/* Guards against two operators who change the same version and are both told
 * that they succeeded, also if responses are lost or writes and responses are
 * delayed. */
START_TEST(one_of_concurrent_operators_succeeds)
{
	static const char *const switches[] = {"{}",
	    "{\"lose_next_write_answers\":5}", "{\"write_delay_ms\":20}",
	    "{\"write_delay_ms\":0,\"answer_delay_ms\":20}"};
	pid_t pids[OPERATORS];
	struct bg_head head;
	uint64_t version;
	size_t round;
	int successes;
	int conflicts;
	int i;

	factory.options.timeout_ms = 2000;
	ck_assert_int_eq(accept_one("atelier", 100, 0, &version), 0);
	for (round = 0; round < 4; round++) {
		standin_control(&sti, switches[round]);
		for (i = 0; i < OPERATORS; i++)
			pids[i] = start_operator(
			    (uint32_t)(10 * round + i + 1), version);
		count_results(pids, &successes, &conflicts);
		ck_assert_int_eq(successes, 1);
		ck_assert_int_eq(conflicts, OPERATORS - 1);
		head = load_head();
		ck_assert_uint_eq(head.version, ++version);
		bg_head_free(&head);
	}
}
END_TEST

/* Guards against an operation without an expected version that silently
 * overwrites a concurrent change of the same service. The delayed writes make
 * all operations start from the same head. */
START_TEST(one_of_operators_without_version_succeeds)
{
	pid_t pids[OPERATORS];
	struct bg_head head;
	uint64_t version;
	int successes;
	int conflicts;
	int i;

	factory.options.timeout_ms = 5000;
	ck_assert_int_eq(accept_one("atelier", 100, 0, &version), 0);
	standin_control(&sti, "{\"write_delay_ms\":800}");
	for (i = 0; i < OPERATORS; i++)
		pids[i] = start_operator((uint32_t)(i + 1), 0);
	count_results(pids, &successes, &conflicts);
	standin_control(&sti, "{\"write_delay_ms\":0}");
	ck_assert_int_eq(successes, 1);
	ck_assert_int_eq(conflicts, OPERATORS - 1);
	head = load_head();
	ck_assert_uint_eq(head.version, 2);
	bg_head_free(&head);
}
END_TEST

/* Guards against operations that fail because of a concurrent change of another
 * service. */
START_TEST(operators_of_different_services_succeed)
{
	static const char *const names[OPERATORS] = {
	    "a", "b", "c", "d", "e", "f"};
	pid_t pids[OPERATORS];
	struct bg_head head;
	uint64_t version;
	int successes;
	int conflicts;
	int i;

	for (i = 0; i < OPERATORS; i++) {
		if ((pids[i] = fork()) == 0)
			_exit(-accept_one(names[i], 5, 0, &version));
	}
	count_results(pids, &successes, &conflicts);
	ck_assert_int_eq(successes, OPERATORS);
	head = load_head();
	ck_assert_uint_eq(head.version, OPERATORS);
	ck_assert_uint_eq(head.service_count, OPERATORS);
	bg_head_free(&head);
}
END_TEST

/* Guards against a change that is made twice or reported as failed because the
 * response to each of its writes was lost or came after the timeout. */
START_TEST(lost_and_late_responses_are_resolved)
{
	struct bg_history hist;
	struct bg_head head;
	uint64_t version;

	standin_control(&sti, "{\"lose_next_write_answers\":9}");
	ck_assert_int_eq(accept_one("atelier", 6, 0, &version), 0);
	ck_assert_uint_eq(version, 1);
	ck_assert_int_ge(standin_stat(&sti, "lost_answers"), 3);
	standin_control(
	    &sti, "{\"lose_next_write_answers\":0,\"write_delay_ms\":500}");
	ck_assert_int_eq(accept_one("atelier", 7, 0, &version), 0);
	ck_assert_uint_eq(version, 2);
	standin_control(&sti, "{\"write_delay_ms\":0}");
	head = load_head();
	ck_assert_uint_eq(head.version, 2);
	ck_assert_uint_eq(head.services[0].rev, 2);
	bg_head_free(&head);
	hist = load_history();
	ck_assert_uint_eq(hist.entry_count, 2);
	bg_history_free(&hist);
}
END_TEST

/* Guards against an outage that is reported as another error, and against an
 * unknown outcome that is reported as a failure. */
START_TEST(outage_is_reported)
{
	uint64_t version;

	ck_assert_int_eq(accept_one("atelier", 6, 0, &version), 0);
	standin_control(&sti, "{\"outage\":true}");
	ck_assert_int_eq(
	    accept_one("atelier", 7, 0, &version), BG_EUNAVAILABLE);
	standin_control(&sti, "{\"outage\":\"silent\"}");
	ck_assert_int_eq(accept_one("atelier", 7, 0, &version), BG_ETIMEOUT);
	ck_assert_str_eq(err.peer, sti.address);
	standin_control(&sti, "{\"outage\":false}");
	ck_assert_int_eq(accept_one("atelier", 7, 0, &version), 0);
	ck_assert_uint_eq(version, 2);
}
END_TEST

/* A client and the results of its asynchronous changes. */
struct async {
	struct event_base *base;
	struct bg_store *store;
	int count;
	int codes[4];
	uint64_t versions[4];
	uint32_t step;
};

static int
decide_step(void *arg, struct bg_head *head, struct bg_error *e)
{
	struct async *asy = arg;
	struct bg_move move;

	if (head->service_count == 0)
		return BG_ENOTFOUND;
	move = head->services[0].move;
	if (move.step >= asy->step)
		return 0;
	move.step++;
	return bg_change_move_state(
	    head, head->services[0].name, &move, NOW_MS, e);
}

static void
on_changed(void *arg, int code, uint64_t version)
{
	struct async *asy = arg;

	asy->codes[asy->count] = code;
	asy->versions[asy->count++] = version;
}

static void
async_run(struct async *asy, int count)
{
	uint64_t end_ms = bg_clock_now_ms() + LOOP_TIMEOUT_MS;
	struct timeval tick = {0, 10000};

	while (asy->count < count && bg_clock_now_ms() < end_ms) {
		event_base_loopexit(asy->base, &tick);
		event_base_dispatch(asy->base);
	}
	ck_assert_int_eq(asy->count, count);
}

static void
async_start(struct async *asy)
{
	ck_assert_int_eq(bg_change_start(asy->store, "127.1.0.1:7000",
			     decide_step, on_changed, asy),
	    0);
}

/* Guards against steps of a move that are repeated or skipped when two writers
 * compete, responses are lost or writes are late. */
START_TEST(asynchronous_steps_are_written_once)
{
	struct async asy = {0};
	struct bg_head head;
	uint64_t version;

	asy.base = event_base_new();
	bg_platform_store_init(&asy.store, asy.base, &factory.options, NULL);
	async_start(&asy);
	async_run(&asy, 1);
	ck_assert_int_eq(asy.codes[0], BG_ENOTFOUND);
	ck_assert_int_eq(accept_one("atelier", 6, 0, &version), 0);
	asy.count = 0;
	asy.step = 1;
	async_start(&asy);
	async_start(&asy);
	async_run(&asy, 2);
	ck_assert_int_eq(asy.codes[0] + asy.codes[1], BG_ECONFLICT);
	asy.count = 0;
	async_start(&asy);
	async_run(&asy, 1);
	ck_assert_int_eq(asy.codes[0], 0);
	ck_assert_uint_eq(asy.versions[0], 2);
	asy.count = 0;
	asy.step = 2;
	standin_control(&sti, "{\"lose_next_write_answers\":1}");
	async_start(&asy);
	async_run(&asy, 1);
	ck_assert_int_eq(asy.codes[0], 0);
	ck_assert_uint_eq(asy.versions[0], 3);
	asy.count = 0;
	asy.step = 3;
	standin_control(&sti, "{\"write_delay_ms\":500}");
	async_start(&asy);
	async_run(&asy, 1);
	ck_assert_int_eq(asy.codes[0], 0);
	ck_assert_uint_eq(asy.versions[0], 4);
	standin_control(&sti, "{\"write_delay_ms\":0}");
	head = load_head();
	ck_assert_uint_eq(head.version, 4);
	ck_assert_uint_eq(head.services[0].move.step, 3);
	bg_head_free(&head);
	bg_store_free(asy.store);
	event_base_free(asy.base);
}
END_TEST

/* Guards against a memory leak when the client is freed during a change, and
 * against a callback to an owner that may have been freed. */
START_TEST(client_is_freed_during_a_change)
{
	struct async asy = {0};

	asy.base = event_base_new();
	bg_platform_store_init(&asy.store, asy.base, &factory.options, NULL);
	async_start(&asy);
	event_base_loop(asy.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
	bg_store_free(asy.store);
	event_base_loop(asy.base, EVLOOP_NONBLOCK);
	event_base_free(asy.base);
	ck_assert_int_eq(asy.count, 0);
}
END_TEST

int
main(void)
{
	TCase *pure = tcase_create("pure");
	TCase *live = tcase_create("store");

	tcase_add_test(pure, update_advances_the_version_by_one);
	tcase_add_test(pure, withdraw_restores_earlier_content);
	tcase_add_test(pure, moves_of_a_service_are_sequential);
	tcase_add_test(pure, read_back_distinguishes_own_update);
	tcase_add_test(pure, superseded_update_is_found_by_its_effect);
	tcase_add_test(pure, previous_revision_skips_withdrawn_ones);
	tcase_add_test(pure, history_is_repaired_and_bounded);
	tcase_add_test(pure, needed_revisions_are_not_garbage);
	tcase_add_checked_fixture(live, setup, teardown);
	tcase_set_timeout(live, 60);
	tcase_add_test(live, accept_stores_head_contract_and_history);
	tcase_add_test(live, accept_rejects_what_nodes_would_reject);
	tcase_add_test(live, withdraw_and_garbage_collection);
	tcase_add_test(live, one_of_concurrent_operators_succeeds);
	tcase_add_test(live, one_of_operators_without_version_succeeds);
	tcase_add_test(live, operators_of_different_services_succeed);
	tcase_add_test(live, lost_and_late_responses_are_resolved);
	tcase_add_test(live, outage_is_reported);
	tcase_add_test(live, asynchronous_steps_are_written_once);
	tcase_add_test(live, client_is_freed_during_a_change);
	return run_suite("pure", pure) | run_suite_forked("store", live);
}
