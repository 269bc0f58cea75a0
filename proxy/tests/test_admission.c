/* Caps on use at the ingress, with verdicts that the test gives. */

#include <check.h>

#include "burdockgrade/organisations.h"

#include "node.h"
#include "proxy_internal.h"
#include "suite.h"

static const char *const KEY = "alpha-secret";

static struct event_base *base;
static struct node node1;
static struct node node2; /* started by setup_repeat() */
static struct client cl;
static enum bg_quota_verdict verdict;
static enum bg_quota_verdict repeat_verdict;
static bg_quota_fn pending_fn;
static void *pending_arg;
static int asked;
static int canceled;

/* In place of the quota task. */
enum bg_quota_verdict
bg_quota_admit(struct bg_quota_ticket **out, uint32_t *out_retry_after_ms,
    struct bg_quota *quota, const struct bg_organisation *org, bg_quota_fn fn,
    void *arg)
{
	enum bg_quota_verdict given = asked == 0 ? verdict : repeat_verdict;

	asked++;
	*out =
	    given == BG_QUOTA_PENDING ? (struct bg_quota_ticket *)&asked : NULL;
	*out_retry_after_ms = 400;
	pending_fn = fn;
	pending_arg = arg;
	return given;
}

void
bg_quota_cancel(struct bg_quota_ticket *ticket)
{
	canceled += ticket != NULL;
}

static void
setup(void)
{
	static struct bg_service services[1];
	struct bg_organisation_draft orgs[] = {
	    {{"alpha", 0, 0, 1000, 1}, &KEY, 1},
	};
	struct bg_rule rules[] = {
	    make_rule("lookup", "/lookup", 1, 1000, 2),
	    make_rule("open", "/open", 1, 1000, 2),
	};
	struct bg_snapshot_draft draft = {0};
	struct node *server = &node1;

	rules[1].is_public = 1;
	snprintf(services[0].head.name, BG_NAME_BYTES, "atelier");
	draft.version = 1;
	draft.services = services;
	draft.service_count = 1;
	draft.rules = rules;
	draft.rule_count = sizeof(rules) / sizeof(rules[0]);
	ck_assert_int_eq(
	    bg_organisations_init(&draft.organisations, orgs, 1, NULL), 0);
	ck_assert_int_eq(bg_snapshot_assemble(&snapshot, &draft, NULL), 0);
	bg_organisations_release(draft.organisations);
	base = event_base_new();
	node_start(&node1, base);
	snprintf(node1.settings.headers.key, BG_HEADER_NAME_BYTES, "X-Key");
	node1.settings.limits.has_fractional_retry_after = 1;
	node_set_roster(&node1, &server, 1);
	node1.proxy->quota = (struct bg_quota *)&node1;
	client_open(&cl, base, bg_proxy_port(node1.proxy));
	asked = canceled = 0;
	pending_fn = NULL;
}

static void
teardown(void)
{
	client_close(&cl);
	node_stop(&node1);
	bg_snapshot_release(snapshot);
	event_base_free(base);
}

static void
send_request(const char *path)
{
	client_send(
	    &cl, "GET %s HTTP/1.1\r\nHost: x\r\nX-Key: %s\r\n\r\n", path, KEY);
}

static int
get(const char *path)
{
	send_request(path);
	WAIT(base, client_has_response(&cl));
	return client_status(&cl);
}

/* A request over a cap is refused at once, with the time when there will be
 * room, and has not run. */
START_TEST(call_over_a_cap_gets_429)
{
	const char *retry_after;
	double seconds;

	verdict = BG_QUOTA_OVER;
	ck_assert_int_eq(get("/lookup"), 429);
	retry_after = strcasestr(cl.text, "Retry-After: ");
	ck_assert_ptr_nonnull(retry_after);
	seconds = strtod(retry_after + strlen("Retry-After: "), NULL);
	ck_assert(seconds >= 0.4 && seconds <= 0.81);
	ck_assert_int_eq(node1.observed.count, 0);
}
END_TEST

/* Without an owner it is not known that the organisation is over its cap. */
START_TEST(call_without_an_owner_gets_503)
{
	verdict = BG_QUOTA_NO_OWNER;
	ck_assert_int_eq(get("/lookup"), 503);
	ck_assert_int_eq(node1.observed.count, 0);
}
END_TEST

START_TEST(call_is_sent_once_it_is_admitted)
{
	verdict = BG_QUOTA_PENDING;
	send_request("/lookup");
	WAIT(base, pending_fn != NULL);
	ck_assert_int_eq(node1.observed.count, 0);
	pending_fn(pending_arg, BG_QUOTA_ADMITTED, 0);
	WAIT(base, client_has_response(&cl));
	ck_assert_int_eq(client_status(&cl), 200);
	ck_assert_int_eq(asked, 1);
	ck_assert_int_eq(canceled, 0);
}
END_TEST

/* The verdict must not reach a call whose caller has disconnected. */
START_TEST(caller_that_leaves_withdraws_its_call)
{
	verdict = BG_QUOTA_PENDING;
	send_request("/lookup");
	WAIT(base, pending_fn != NULL);
	client_close(&cl);
	WAIT(base, canceled == 1);
}
END_TEST

/* A call that waits for its verdict ends at its deadline. */
START_TEST(call_that_waits_too_long_is_refused)
{
	verdict = BG_QUOTA_PENDING;
	ck_assert_int_eq(get("/lookup"), 503);
	ck_assert(client_has_header(&cl, "Burdock-Outcome: not-run"));
	ck_assert_int_eq(canceled, 1);
	ck_assert_int_eq(node1.observed.count, 0);
}
END_TEST

/* Two servers close the connection, so that the call may have run. */
static void
setup_repeat(enum bg_quota_verdict repeat)
{
	struct node *both[] = {&node1, &node2};

	verdict = BG_QUOTA_ADMITTED;
	repeat_verdict = repeat;
	node_start(&node2, base);
	node_set_roster(&node1, both, 2);
	node1.backend.mode = node2.backend.mode = BACKEND_CLOSE;
}

static void
assert_unknown_after_one_attempt(void)
{
	ck_assert_int_eq(client_status(&cl), 502);
	ck_assert(client_has_header(&cl, "Burdock-Outcome: unknown"));
	ck_assert(!client_has_header(&cl, "Retry-After"));
	ck_assert_int_eq(node1.backend.requests + node2.backend.requests, 1);
	node_stop(&node2);
}

START_TEST(repeat_over_a_cap_is_not_made)
{
	setup_repeat(BG_QUOTA_OVER);
	(void)get("/lookup");
	ck_assert_int_eq(asked, 2);
	assert_unknown_after_one_attempt();
}
END_TEST

/* A 429 would promise that the call has not run. */
START_TEST(repeat_that_is_refused_later_promises_nothing)
{
	setup_repeat(BG_QUOTA_PENDING);
	send_request("/lookup");
	WAIT(base, asked == 2);
	pending_fn(pending_arg, BG_QUOTA_OVER, 400);
	WAIT(base, client_has_response(&cl));
	assert_unknown_after_one_attempt();
}
END_TEST

START_TEST(repeat_is_made_once_it_is_admitted)
{
	setup_repeat(BG_QUOTA_PENDING);
	send_request("/lookup");
	WAIT(base, asked == 2);
	ck_assert_int_eq(node1.backend.requests + node2.backend.requests, 1);
	node1.backend.mode = node2.backend.mode = BACKEND_OK;
	pending_fn(pending_arg, BG_QUOTA_ADMITTED, 0);
	WAIT(base, client_has_response(&cl));
	ck_assert_int_eq(client_status(&cl), 200);
	ck_assert_int_eq(node1.backend.requests + node2.backend.requests, 2);
	node_stop(&node2);
}
END_TEST

/* Calls without an organisation are not counted. */
START_TEST(public_route_is_not_counted)
{
	verdict = BG_QUOTA_OVER;
	ck_assert_int_eq(get("/open"), 200);
	ck_assert_int_eq(asked, 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("admission");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, call_over_a_cap_gets_429);
	tcase_add_test(tc, call_without_an_owner_gets_503);
	tcase_add_test(tc, call_is_sent_once_it_is_admitted);
	tcase_add_test(tc, caller_that_leaves_withdraws_its_call);
	tcase_add_test(tc, call_that_waits_too_long_is_refused);
	tcase_add_test(tc, repeat_over_a_cap_is_not_made);
	tcase_add_test(tc, repeat_that_is_refused_later_promises_nothing);
	tcase_add_test(tc, repeat_is_made_once_it_is_admitted);
	tcase_add_test(tc, public_route_is_not_counted);
	return run_suite("admission", tc);
}
