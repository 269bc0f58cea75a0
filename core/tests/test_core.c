#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"
#include "burdockgrade/error.h"
#include "burdockgrade/mailbox.h"

#include "suite.h"

/* Guards against a back-off without a ceiling, which would delay recovery. */
START_TEST(backoff_stays_within_bounds)
{
	struct bg_backoff bo = BG_BACKOFF_INIT;
	struct bg_rand rnd;
	uint32_t delay_ms = 0;
	int i;

	bg_rand_init(&rnd, 7);
	for (i = 0; i < 100; i++) {
		delay_ms = bg_backoff_next_ms(&bo, &rnd);
		ck_assert_uint_ge(delay_ms, 50);
		ck_assert_uint_le(delay_ms, 5000);
	}
	ck_assert_uint_ge(delay_ms, 2500);
}
END_TEST

/* Guards against errors that do not say where they occurred. */
START_TEST(error_carries_step_and_peer)
{
	struct bg_error err;

	ck_assert_int_eq(
	    bg_error_set(&err, BG_EIO, "read", "127.0.0.1:1", "code %d", 4),
	    BG_EIO);
	ck_assert_str_eq(err.step, "read");
	ck_assert_str_eq(err.peer, "127.0.0.1:1");
	ck_assert_str_eq(err.message, "code 4");
}
END_TEST

/* Guards against a metrics page without a counter or its type. */
START_TEST(counter_renders_value_and_type)
{
	static struct bg_counter ctr = BG_COUNTER("test_total", "Help text.");
	char *text;
	size_t text_bytes;

	bg_counter_add(&ctr, 2);
	bg_counter_add(&ctr, 3);
	ck_assert_int_eq(bg_counter_render(&text, &text_bytes), 0);
	ck_assert_ptr_nonnull(strstr(text, "# TYPE test_total counter\n"));
	ck_assert_ptr_nonnull(strstr(text, "test_total 5\n"));
	free(text);
}
END_TEST

/* Guards against labels in HELP and TYPE lines, which the exposition format
 * does not allow. */
START_TEST(labels_are_rendered_in_samples_only)
{
	static struct bg_counter ctr =
	    BG_COUNTER("labelled_total{reason=\"x\"}", "Help text.");
	static struct bg_counter other =
	    BG_COUNTER("labelled_total{reason=\"y\"}", "Help text.");
	char *text;
	size_t text_bytes;

	bg_counter_add(&ctr, 1);
	bg_counter_add(&other, 2);
	ck_assert_int_eq(bg_counter_render(&text, &text_bytes), 0);
	ck_assert_ptr_nonnull(strstr(text, "# TYPE labelled_total counter\n"));
	ck_assert_ptr_nonnull(strstr(text, "labelled_total{reason=\"x\"} 1\n"));
	free(text);
}
END_TEST

struct receiver {
	struct bg_mailbox *mailbox;
	int order[4];
	int count;
};

static void
on_message(void *arg, const struct bg_message *msg)
{
	struct receiver *rcv = arg;

	rcv->order[rcv->count++] = msg->type;
	if (msg->type == 1)
		bg_mailbox_post(rcv->mailbox, 3, NULL);
}

/* Guards against messages that are delivered out of order, or from
 * bg_mailbox_post() while a handler is running. */
START_TEST(mailbox_keeps_order)
{
	struct event_base *base = event_base_new();
	struct receiver rcv = {0};

	ck_assert_int_eq(
	    bg_mailbox_init(&rcv.mailbox, base, on_message, &rcv), 0);
	bg_mailbox_post(rcv.mailbox, 1, NULL);
	bg_mailbox_post(rcv.mailbox, 2, NULL);
	while (rcv.count < 3)
		event_base_loop(base, EVLOOP_ONCE);
	ck_assert_int_eq(rcv.order[0], 1);
	ck_assert_int_eq(rcv.order[1], 2);
	ck_assert_int_eq(rcv.order[2], 3);
	bg_mailbox_free(rcv.mailbox);
	event_base_free(base);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("core");

	tcase_add_test(tc, backoff_stays_within_bounds);
	tcase_add_test(tc, error_carries_step_and_peer);
	tcase_add_test(tc, counter_renders_value_and_type);
	tcase_add_test(tc, labels_are_rendered_in_samples_only);
	tcase_add_test(tc, mailbox_keeps_order);
	return run_suite("core", tc);
}
