#include <check.h>
#include <signal.h>

#include "node.h"

static struct event_base *base;
static struct node one;
static struct node two;
static struct client cl;

static void
setup(void)
{
	struct node *self = &one;

	base = event_base_new();
	build_snapshot();
	node_start(&one, base);
	node_knows(&one, &self, 1);
	client_open(&cl, base, bg_proxy_port(one.proxy));
}

static void
teardown(void)
{
	client_close(&cl);
	node_stop(&one);
	event_base_free(base);
}

/* Calls entering at node one are served by node two only. */
static void
setup_remote(void)
{
	struct node *other = &two;

	setup();
	node_start(&two, base);
	node_knows(&one, &other, 1);
}

static void
teardown_remote(void)
{
	node_stop(&two);
	teardown();
}

static void
get(const char *path)
{
	client_send(&cl, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path);
	WAIT(base, client_has_answer(&cl));
}

static void
post_keyed(const char *path)
{
	client_send(&cl,
	    "POST %s HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k1\r\n"
	    "Content-Length: 4\r\n\r\nbolt",
	    path);
	WAIT(base, client_has_answer(&cl));
}

START_TEST(lookup_is_served)
{
	setup();
	get("/lookup?q=1");
	ck_assert_int_eq(client_status(&cl), 200);
	ck_assert(client_has(&cl, "Burdock-Outcome: done"));
	ck_assert(client_has(&cl, "Burdock-Request-Id: "));
	ck_assert_str_eq(client_body(&cl), "hello");
	ck_assert(strstr(one.backend.last_head, "GET /lookup?q=1 ") != NULL);
	ck_assert(strstr(one.backend.last_head, "X-Deadline-Ms: ") != NULL);
	ck_assert(strstr(one.backend.last_head, "X-Call-Depth: 1\r") != NULL);
	get("/lookup");
	ck_assert_int_eq(client_status(&cl), 200);
	ck_assert_int_eq(one.observed.count, 2);
	ck_assert_int_eq(one.observed.failed, 0);
	teardown();
}
END_TEST

START_TEST(lookup_is_served_by_another_node)
{
	setup_remote();
	get("/lookup");
	ck_assert_int_eq(client_status(&cl), 200);
	ck_assert_str_eq(client_body(&cl), "hello");
	ck_assert_int_eq(one.backend.requests, 0);
	ck_assert_int_eq(two.backend.requests, 1);
	teardown_remote();
}
END_TEST

/* Guards against a keyed call without its record, or a record that is left
 * open. */
START_TEST(keyed_call_is_recorded)
{
	setup_remote();
	post_keyed("/cut");
	ck_assert_int_eq(client_status(&cl), 200);
	ck_assert_int_eq(two.backend.requests, 1);
	ck_assert_str_eq(two.backend.last_body, "bolt");
	ck_assert_str_eq(one.records.last_key, "atelier/cut/k1");
	ck_assert_int_eq(one.records.finishes, 1);
	ck_assert_int_eq(one.records.last_outcome, BG_XOUTCOME_DONE);
	ck_assert_uint_eq(one.records.last_http_status, 200);
	teardown_remote();
}
END_TEST

START_TEST(missing_key_is_refused)
{
	setup();
	client_send(&cl,
	    "POST /cut HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbolt");
	WAIT(base, client_has_answer(&cl));
	ck_assert_int_eq(client_status(&cl), 400);
	ck_assert(client_has(&cl, "Burdock-Outcome: not-run"));
	ck_assert_int_eq(one.backend.requests, 0);
	teardown();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("proxy");
	TCase *tc = tcase_create("process");
	SRunner *runner;
	int failed;

	signal(SIGPIPE, SIG_IGN);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, lookup_is_served);
	tcase_add_test(tc, lookup_is_served_by_another_node);
	tcase_add_test(tc, keyed_call_is_recorded);
	tcase_add_test(tc, missing_key_is_refused);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
