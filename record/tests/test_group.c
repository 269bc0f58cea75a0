#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"

#include "group/group.h"

#define WALL_MS 1700000000000ull
#define NODES 4
#define MESSAGES 64
#define RESULTS 32
#define KEY 77
/* 35 records fit. */
#define SMALL_BYTES 1700

struct node {
	struct bg_group_io io;
	struct bg_store *store;
	struct bg_group *group;
	struct bg_record_node id;
	int is_cut; /* receives and answers nothing */
};

struct message {
	struct node *from;
	struct bg_record_node to; /* the process that was meant */
	uint64_t write_id;
	uint64_t epoch;
	char *bytes;
	u_int byte_count;
};

struct result {
	uint64_t grant;
	uint32_t retry_after_ms;
	uint32_t http_status;
	int count;
	enum bg_xbegin_status status;
	int finished;
	enum bg_finish_status finish;
};

static struct node nodes[NODES];
static struct message queue[MESSAGES];
static size_t queue_count;
static struct result results[RESULTS];
static uint64_t now_ms;
static int reports;

static void
on_copy(struct bg_group_io *io, struct bg_group *grp,
    const struct bg_record_node *to, uint64_t write_id,
    const struct bg_xcopy_args *args)
{
	void *in = (void *)(uintptr_t)args;
	struct message *msg = &queue[queue_count++];
	XDR xdrs;

	ck_assert_uint_le(queue_count, MESSAGES);
	msg->from = (struct node *)io;
	msg->to = *to;
	msg->write_id = write_id;
	msg->epoch = args->epoch;
	msg->byte_count = (u_int)xdr_sizeof((xdrproc_t)xdr_bg_xcopy_args, in);
	msg->bytes = malloc(msg->byte_count);
	xdrmem_create(&xdrs, msg->bytes, msg->byte_count, XDR_ENCODE);
	ck_assert(xdr_bg_xcopy_args(&xdrs, in));
}

static void
on_begun(struct bg_group_io *io, struct bg_group *grp, uint64_t token,
    const struct bg_xbegin_res *res)
{
	struct result *r = &results[token];

	r->count++;
	r->status = res->status;
	r->retry_after_ms = res->retry_after_ms;
	r->grant = res->grant;
	r->http_status = res->answer == NULL ? 0 : res->answer->http_status;
}

static void
on_finished(struct bg_group_io *io, struct bg_group *grp, uint64_t token,
    enum bg_finish_status status)
{
	results[token].finished++;
	results[token].finish = status;
}

static void
on_report(struct bg_group_io *io, struct bg_group *grp)
{
	reports++;
}

static void
node_open(int i, uint64_t incarnation, size_t store_bytes)
{
	struct node *nd = &nodes[i];
	struct bg_group_options opts;

	nd->io.copy = on_copy;
	nd->io.begun = on_begun;
	nd->io.finished = on_finished;
	nd->io.report = on_report;
	nd->is_cut = 0;
	memset(&nd->id, 0, sizeof(nd->id));
	nd->id.address[0] = (char)('0' + i);
	nd->id.incarnation = incarnation;
	memset(&opts, 0, sizeof(opts));
	ck_assert_int_eq(bg_store_init(&nd->store, store_bytes), 0);
	opts.data_centre = "a";
	opts.self = nd->id;
	opts.store = nd->store;
	opts.io = &nd->io;
	ck_assert_int_eq(bg_group_init(&nd->group, &opts), 0);
}

static void
node_close(int i)
{
	bg_group_free(nodes[i].group);
	bg_store_free(nodes[i].store);
	nodes[i].group = NULL;
	nodes[i].store = NULL;
}

static void
setup(size_t store_bytes)
{
	int i;

	memset(results, 0, sizeof(results));
	queue_count = 0;
	reports = 0;
	now_ms = 1000;
	for (i = 0; i < NODES; i++)
		node_open(i, 1, store_bytes);
}

static void
teardown(void)
{
	int i;

	while (queue_count > 0)
		free(queue[--queue_count].bytes);
	for (i = 0; i < NODES; i++)
		node_close(i);
}

/* Makes a view from a text: members, '+', joining; the first one holds. */
static void
make_view(struct bg_view *out, uint64_t epoch, const char *text)
{
	int is_joining = 0;

	memset(out, 0, sizeof(*out));
	out->epoch = epoch;
	out->holder = nodes[text[0] - '0'].id;
	for (; *text != '\0'; text++) {
		if (*text == '+')
			is_joining = 1;
		else if (is_joining)
			out->joining[out->joining_count++] =
			    nodes[*text - '0'].id;
		else
			out->members[out->member_count++] =
			    nodes[*text - '0'].id;
	}
}

static void
adopt(int node, uint64_t epoch, const char *text)
{
	struct bg_view view;

	make_view(&view, epoch, text);
	bg_group_adopt(nodes[node].group, &view, now_ms);
}

static void
adopt_all(uint64_t epoch, const char *text)
{
	int i;

	for (i = 0; i < NODES; i++)
		adopt(i, epoch, text);
}

/* Delivers the first message, or reports it as lost. */
static void
deliver(int is_lost)
{
	struct message msg = queue[0];
	struct bg_xcopy_args args;
	struct bg_xcopy_res res;
	struct node *to = &nodes[msg.to.address[0] - '0'];
	XDR xdrs;

	memmove(queue, queue + 1, --queue_count * sizeof(queue[0]));
	if (is_lost || to->is_cut || to->group == NULL)
		bg_group_copied(msg.from->group, &msg.to, msg.write_id,
		    msg.epoch, NULL, now_ms);
	else {
		memset(&args, 0, sizeof(args));
		xdrmem_create(&xdrs, msg.bytes, msg.byte_count, XDR_DECODE);
		ck_assert(xdr_bg_xcopy_args(&xdrs, &args));
		bg_group_copy(&res, to->group, &args, now_ms);
		xdr_free((xdrproc_t)xdr_bg_xcopy_args, (char *)&args);
		bg_group_copied(msg.from->group, &msg.to, msg.write_id,
		    msg.epoch, &res, now_ms);
	}
	free(msg.bytes);
}

static void
run(uint64_t ms)
{
	uint64_t end_ms = now_ms + ms;
	int i;

	do {
		while (queue_count > 0)
			deliver(0);
		now_ms += 50;
		for (i = 0; i < NODES; i++) {
			if (nodes[i].group != NULL && !nodes[i].is_cut)
				bg_group_tick(nodes[i].group, now_ms);
		}
	} while (now_ms < end_ms);
	while (queue_count > 0)
		deliver(0);
}

static void
begin_at(int node, uint64_t token, uint64_t fingerprint, uint64_t created_ms)
{
	struct bg_group_request req;

	memset(&results[token], 0, sizeof(results[token]));
	req.token = token;
	req.fingerprint = fingerprint;
	req.request_digest = 5;
	req.created_ms = created_ms;
	req.wait_ms = 1000;
	bg_group_begin(nodes[node].group, &req, now_ms, WALL_MS);
}

static void
expect(uint64_t token, enum bg_xbegin_status status)
{
	ck_assert_int_eq(results[token].count, 1);
	ck_assert_int_eq(results[token].status, status);
}

static void
finish_at(int node, uint64_t token, uint64_t grant, enum bg_xoutcome outcome)
{
	struct bg_xanswer ans;

	memset(&ans, 0, sizeof(ans));
	ans.http_status = 201;
	results[token].finished = 0;
	bg_group_finish(
	    nodes[node].group, token, KEY, grant, outcome, &ans, now_ms);
}

/* Guards against a grant before every member and joining node has the key. */
START_TEST(grant_waits_for_all)
{
	setup(BG_STORE_BYTES);
	adopt_all(1, "012+3");
	begin_at(0, 1, KEY, 0);
	ck_assert_uint_ge(queue_count, 3);
	deliver(0);
	deliver(0);
	ck_assert_int_eq(results[1].count, 0);
	run(100);
	expect(1, BG_XBEGIN_GRANTED);
	ck_assert_uint_eq(bg_group_record_count(nodes[3].group), 1);
	teardown();
}
END_TEST

/* Guards against a grant by a holder that was replaced without its knowledge:
 * a member that knows a higher epoch refuses. */
START_TEST(replaced_holder_grants_nothing)
{
	setup(BG_STORE_BYTES);
	adopt_all(1, "012");
	adopt(1, 2, "12");
	begin_at(1, 1, KEY, 0);
	adopt(2, 2, "12");
	run(200);
	expect(1, BG_XBEGIN_GRANTED);
	begin_at(0, 2, KEY, 0);
	run(200);
	expect(2, BG_XBEGIN_UNKNOWN);
	ck_assert_uint_gt(results[2].retry_after_ms, 0);
	teardown();
}
END_TEST

/* Guards against a second run after the holder died between grant and
 * outcome. */
START_TEST(new_holder_knows_every_grant)
{
	setup(BG_STORE_BYTES);
	adopt_all(1, "012");
	begin_at(0, 1, KEY, 0);
	run(100);
	expect(1, BG_XBEGIN_GRANTED);
	node_close(0);
	adopt(1, 2, "12");
	adopt(2, 2, "12");
	begin_at(1, 2, KEY, 0);
	run(1200);
	expect(2, BG_XBEGIN_RUNNING);
	run(30000);
	begin_at(1, 3, KEY, 0);
	expect(3, BG_XBEGIN_UNKNOWN);
	ck_assert_uint_eq(results[3].retry_after_ms, 0);
	/* A late outcome is still taken. */
	finish_at(1, 1, results[1].grant, BG_XOUTCOME_DONE);
	run(100);
	ck_assert_int_eq(results[1].finish, BG_FINISH_STORED);
	begin_at(1, 4, KEY, 0);
	expect(4, BG_XBEGIN_DONE);
	ck_assert_uint_eq(results[4].http_status, 201);
	teardown();
}
END_TEST

/* Guards against a node that becomes a member without all records. */
START_TEST(joining_node_is_filled_before_the_report)
{
	struct bg_view_report rep;
	uint64_t i;

	setup(BG_STORE_BYTES);
	adopt_all(1, "01");
	for (i = 0; i < 1300; i++) {
		begin_at(0, 1, 1000 + i, 0);
		while (queue_count > 0)
			deliver(0);
	}
	adopt_all(2, "01+2");
	bg_group_report(&rep, nodes[0].group);
	ck_assert_uint_eq(rep.complete_count, 0);
	bg_group_tick(nodes[0].group, now_ms);
	deliver(0);
	bg_group_report(&rep, nodes[0].group);
	ck_assert_uint_eq(rep.complete_count, 0);
	run(300);
	bg_group_report(&rep, nodes[0].group);
	ck_assert_uint_eq(rep.epoch, 2);
	ck_assert_uint_eq(rep.complete_count, 1);
	ck_assert_uint_eq(bg_group_record_count(nodes[2].group), 1300);
	ck_assert_int_gt(reports, 0);
	teardown();
}
END_TEST

/* Guards against a filled node that is never promoted because the relay that
 * knew of it was replaced. */
START_TEST(report_is_repeated)
{
	int first;

	setup(BG_STORE_BYTES);
	adopt_all(1, "01+2");
	run(300);
	first = reports;
	ck_assert_int_ge(first, 1);
	run(10500);
	ck_assert_int_ge(reports, first + 2);
	teardown();
}
END_TEST

/* Guards against grants that wait for a joining node that is gone, and against
 * the promotion of a node that is no longer written to. */
START_TEST(silent_joining_node_is_dropped)
{
	struct bg_view_report rep;

	setup(BG_STORE_BYTES);
	adopt_all(1, "01+2");
	nodes[2].is_cut = 1;
	run(BG_GROUP_SILENT_MS + 200);
	begin_at(0, 1, KEY, 0);
	run(100);
	expect(1, BG_XBEGIN_GRANTED);
	nodes[2].is_cut = 0;
	run(1000);
	bg_group_report(&rep, nodes[0].group);
	ck_assert_uint_eq(rep.complete_count, 0);
	ck_assert_uint_eq(rep.silent_count, 1);
	teardown();
}
END_TEST

/* Guards against a grant without a node that was reported as complete and may
 * be a member of the next view. */
START_TEST(complete_joining_node_is_never_skipped)
{
	struct bg_view_report rep;

	setup(BG_STORE_BYTES);
	adopt_all(1, "01+2");
	run(200);
	bg_group_report(&rep, nodes[0].group);
	ck_assert_uint_eq(rep.complete_count, 1);
	nodes[2].is_cut = 1;
	begin_at(0, 1, 11, 0);
	run(BG_GROUP_SILENT_MS + 500);
	expect(1, BG_XBEGIN_UNKNOWN);
	begin_at(0, 2, KEY, 0);
	run(2000);
	expect(2, BG_XBEGIN_UNKNOWN);
	bg_group_report(&rep, nodes[0].group);
	ck_assert_uint_eq(rep.silent_count, 1);
	teardown();
}
END_TEST

/* Guards against a group that stays closed after an unanswered write: the
 * grant is withdrawn and the key can be granted with a higher number. */
START_TEST(unconfirmed_grant_is_withdrawn)
{
	uint64_t first;

	setup(BG_STORE_BYTES);
	adopt_all(1, "01");
	begin_at(0, 1, 11, 0);
	run(100);
	first = results[1].grant;
	nodes[1].is_cut = 1;
	begin_at(0, 2, KEY, 0);
	run(1500);
	expect(2, BG_XBEGIN_UNKNOWN);
	nodes[1].is_cut = 0;
	begin_at(0, 3, KEY, 0);
	run(200);
	expect(3, BG_XBEGIN_GRANTED);
	ck_assert_uint_gt(results[3].grant, first + 1);
	teardown();
}
END_TEST

/* Fills the store of the holder; returns the status of the first refusal. */
static enum bg_xbegin_status
fill_store(int node)
{
	uint64_t i;

	for (i = 0; i < 100; i++) {
		begin_at(node, 1, 1000 + i, 0);
		run(50);
		if (results[1].status != BG_XBEGIN_GRANTED)
			break;
	}
	return results[1].status;
}

/* Guards against memory without bound, and against "unknown" where all members
 * prove that the key did not run. */
START_TEST(full_store_says_not_run_with_proof)
{
	setup(SMALL_BYTES);
	adopt_all(1, "01");
	ck_assert_int_eq(fill_store(0), BG_XBEGIN_NOT_RUN);
	ck_assert_uint_gt(results[1].retry_after_ms, 0);
	teardown();
}
END_TEST

/* Guards against "not-run" for a key that another holder granted meanwhile:
 * without the confirmation of all members the state is unknown. */
START_TEST(full_store_without_proof_says_unknown)
{
	setup(SMALL_BYTES);
	adopt_all(1, "01");
	fill_store(0);
	nodes[1].is_cut = 1;
	begin_at(0, 2, KEY, 0);
	run(1500);
	expect(2, BG_XBEGIN_UNKNOWN);
	nodes[1].is_cut = 0;
	adopt(1, 2, "1");
	begin_at(0, 3, KEY, 0);
	run(1500);
	expect(3, BG_XBEGIN_UNKNOWN);
	teardown();
}
END_TEST

/* Guards against the proof of a restarted process, which cannot know what its
 * predecessor granted as the holder of a later view. */
START_TEST(restarted_member_proves_nothing)
{
	struct bg_view view;

	setup(SMALL_BYTES);
	make_view(&view, 1, "01");
	adopt_all(1, "01");
	fill_store(0);
	node_close(1);
	node_open(1, 2, BG_STORE_BYTES);
	bg_group_adopt(nodes[1].group, &view, now_ms);
	begin_at(0, 2, KEY, 0);
	run(1500);
	expect(2, BG_XBEGIN_UNKNOWN);
	teardown();
}
END_TEST

/* Guards against a restarted process that counts as the member it was. */
START_TEST(restarted_member_confirms_nothing)
{
	struct bg_view view;

	setup(BG_STORE_BYTES);
	make_view(&view, 1, "01");
	adopt_all(1, "01");
	node_close(1);
	node_open(1, 2, BG_STORE_BYTES);
	bg_group_adopt(nodes[1].group, &view, now_ms);
	begin_at(0, 1, KEY, 0);
	run(1500);
	expect(1, BG_XBEGIN_UNKNOWN);
	teardown();
}
END_TEST

/* Guards against a second run of a key whose record was lost or has expired,
 * and against a refusal of keys created after the loss. */
START_TEST(lost_records_close_old_keys)
{
	struct bg_view view;

	setup(BG_STORE_BYTES);
	make_view(&view, 1, "01");
	view.lost_ms = WALL_MS - 3600 * 1000;
	bg_group_adopt(nodes[0].group, &view, now_ms);
	bg_group_adopt(nodes[1].group, &view, now_ms);
	begin_at(0, 1, 11, 0);
	expect(1, BG_XBEGIN_UNKNOWN);
	begin_at(0, 2, 12, view.lost_ms - 1);
	expect(2, BG_XBEGIN_UNKNOWN);
	begin_at(0, 3, 13, WALL_MS - 1000);
	run(100);
	expect(3, BG_XBEGIN_GRANTED);
	/* A time in the future says nothing. */
	begin_at(0, 4, 14, WALL_MS + 3600 * 1000);
	expect(4, BG_XBEGIN_UNKNOWN);
	begin_at(0, 5, 15, WALL_MS - BG_RECORD_KEEP_MS - 1);
	expect(5, BG_XBEGIN_UNKNOWN);
	teardown();
}
END_TEST

/* Guards against an outcome of an earlier grant that frees a running key. */
START_TEST(old_outcome_is_refused)
{
	uint64_t first;

	setup(BG_STORE_BYTES);
	adopt_all(1, "01");
	begin_at(0, 1, KEY, 0);
	run(100);
	first = results[1].grant;
	finish_at(0, 1, first, BG_XOUTCOME_NOT_RUN);
	run(100);
	begin_at(0, 2, KEY, 0);
	run(100);
	expect(2, BG_XBEGIN_GRANTED);
	finish_at(0, 3, first, BG_XOUTCOME_NOT_RUN);
	ck_assert_int_eq(results[3].finish, BG_FINISH_REFUSED);
	begin_at(0, 4, KEY, 0);
	run(100);
	ck_assert_int_eq(results[4].count, 0);
	teardown();
}
END_TEST

/* Guards against a grant to a caller that has hung up, which would leave the
 * key unknown. */
START_TEST(forgotten_begin_is_withdrawn)
{
	setup(BG_STORE_BYTES);
	adopt_all(1, "01");
	begin_at(0, 1, KEY, 0);
	bg_group_forget(nodes[0].group, 1, now_ms);
	run(100);
	ck_assert_int_eq(results[1].count, 0);
	begin_at(0, 2, KEY, 0);
	run(100);
	expect(2, BG_XBEGIN_GRANTED);
	teardown();
}
END_TEST

/* Guards against two waiting callers that are both granted after not-run. */
START_TEST(one_of_two_waiters_is_granted)
{
	setup(BG_STORE_BYTES);
	adopt_all(1, "01");
	begin_at(0, 1, KEY, 0);
	run(100);
	begin_at(0, 2, KEY, 0);
	begin_at(0, 3, KEY, 0);
	finish_at(0, 1, results[1].grant, BG_XOUTCOME_NOT_RUN);
	run(100);
	ck_assert_int_eq(results[2].count + results[3].count, 1);
	run(1500);
	ck_assert_int_eq((results[2].status == BG_XBEGIN_GRANTED) +
		(results[3].status == BG_XBEGIN_GRANTED),
	    1);
	teardown();
}
END_TEST

/* Guards against records that stay behind at a node that left the group and
 * take memory there. */
START_TEST(removed_member_drops_its_records)
{
	setup(BG_STORE_BYTES);
	adopt_all(1, "012");
	begin_at(0, 1, KEY, 0);
	run(100);
	ck_assert_uint_eq(bg_group_record_count(nodes[2].group), 1);
	adopt_all(2, "01");
	ck_assert_uint_eq(bg_group_record_count(nodes[2].group), 0);
	ck_assert_uint_eq(bg_group_record_count(nodes[1].group), 1);
	teardown();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("group");
	TCase *tc = tcase_create("group");
	SRunner *runner;
	int failed;

	tcase_add_test(tc, grant_waits_for_all);
	tcase_add_test(tc, replaced_holder_grants_nothing);
	tcase_add_test(tc, new_holder_knows_every_grant);
	tcase_add_test(tc, joining_node_is_filled_before_the_report);
	tcase_add_test(tc, report_is_repeated);
	tcase_add_test(tc, silent_joining_node_is_dropped);
	tcase_add_test(tc, complete_joining_node_is_never_skipped);
	tcase_add_test(tc, unconfirmed_grant_is_withdrawn);
	tcase_add_test(tc, full_store_says_not_run_with_proof);
	tcase_add_test(tc, full_store_without_proof_says_unknown);
	tcase_add_test(tc, restarted_member_proves_nothing);
	tcase_add_test(tc, restarted_member_confirms_nothing);
	tcase_add_test(tc, lost_records_close_old_keys);
	tcase_add_test(tc, old_outcome_is_refused);
	tcase_add_test(tc, forgotten_begin_is_withdrawn);
	tcase_add_test(tc, one_of_two_waiters_is_granted);
	tcase_add_test(tc, removed_member_drops_its_records);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
