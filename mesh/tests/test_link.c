#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/link.h"

#include "suite.h"

/* Timeout of run_until, so that a lost event fails the test instead of blocking
 * it. */
#define LOOP_TIMEOUT_MS 5000

struct fixture {
	struct event_base *base;
	struct bg_link_server *server;
	struct bg_link *link;
	struct bg_rpc *pending_rpc;
	int calls;
	int replies;
	int closes;
	int cancels;
	int last_code;
	uint64_t last_version;
	char address[BG_ADDRESS_BYTES];
};

static struct fixture fx;

static void
handle_sync(void *arg, struct bg_rpc *rpc, void *args)
{
	struct bg_xsync_args *sync = args;
	struct bg_xsync_res res = {0};

	res.config_version = sync->config_version;
	fx.calls++;
	bg_rpc_reply(rpc, (xdrproc_t)xdr_bg_xsync_res, &res);
}

static void
on_cancel(void *arg)
{
	fx.cancels++;
	bg_rpc_drop(arg);
	fx.pending_rpc = NULL;
}

static void
defer_state_reply(void *arg, struct bg_rpc *rpc, void *args)
{
	fx.calls++;
	fx.pending_rpc = rpc;
	bg_rpc_on_cancel(rpc, on_cancel, rpc);
}

static void
on_reply(void *arg, int code, void *res)
{
	struct bg_xsync_res *sync = res;

	fx.replies++;
	fx.last_code = code;
	fx.last_version = sync == NULL ? 0 : sync->config_version;
}

static void
on_close(void *arg)
{
	fx.closes++;
}

static void
setup(void)
{
	struct bg_link_options opts = BG_LINK_OPTIONS_INIT;
	struct bg_rpc_handler sync = {BG_PROC_SYNC,
	    (xdrproc_t)xdr_bg_xsync_args, sizeof(struct bg_xsync_args),
	    handle_sync, NULL};
	struct bg_rpc_handler state = {
	    BG_PROC_STATE, NULL, 0, defer_state_reply, NULL};

	memset(&fx, 0, sizeof(fx));
	fx.base = event_base_new();
	ck_assert_int_eq(
	    bg_link_server_init(&fx.server, fx.base, "127.0.0.1:0", NULL), 0);
	bg_link_server_add_handler(fx.server, &sync);
	bg_link_server_add_handler(fx.server, &state);
	snprintf(fx.address, sizeof(fx.address), "127.0.0.1:%u",
	    bg_link_server_port(fx.server));
	ck_assert_int_eq(bg_link_init(&fx.link, fx.base, fx.address, &opts,
			     on_close, NULL, NULL),
	    0);
}

static void
teardown(void)
{
	bg_link_free(fx.link);
	bg_link_server_free(fx.server);
	if (fx.pending_rpc != NULL)
		bg_rpc_drop(fx.pending_rpc);
	event_base_free(fx.base);
}

static void
run_until(const int *counter, int value)
{
	uint64_t end_ms = bg_clock_now_ms() + LOOP_TIMEOUT_MS;
	struct timeval step = {0, 10000};

	while (*counter < value && bg_clock_now_ms() < end_ms) {
		event_base_loopexit(fx.base, &step);
		event_base_dispatch(fx.base);
	}
	ck_assert_int_ge(*counter, value);
}

static int
call_sync(uint64_t version, uint32_t timeout_ms)
{
	struct bg_xsync_args args;

	memset(&args, 0, sizeof(args));
	args.address = "127.0.0.1:1";
	args.config_version = version;
	return bg_link_call(NULL, fx.link, BG_PROC_SYNC,
	    (xdrproc_t)xdr_bg_xsync_args, &args, (xdrproc_t)xdr_bg_xsync_res,
	    sizeof(struct bg_xsync_res), timeout_ms, on_reply, NULL);
}

/* Sends a call to which the server does not reply. */
static int
call_state(uint32_t *out_xid, uint32_t timeout_ms)
{
	return bg_link_call(out_xid, fx.link, BG_PROC_STATE, NULL, NULL,
	    (xdrproc_t)xdr_bg_xstate_res, sizeof(struct bg_xstate_res),
	    timeout_ms, on_reply, NULL);
}

/* Guards against replies that do not reach their call or decode wrongly. */
START_TEST(call_receives_its_reply)
{
	setup();
	ck_assert_int_eq(call_sync(41, 1000), 0);
	run_until(&fx.replies, 1);
	ck_assert_int_eq(fx.last_code, 0);
	ck_assert_uint_eq(fx.last_version, 41);
	teardown();
}
END_TEST

/* Guards against replies that a peer doesn't read and that nobody counts, and
 * against a count that stays when its connection is closed. */
START_TEST(replies_that_were_not_read_are_counted)
{
	struct bg_xstate_res res = {0};

	setup();
	res.refused_reason = (char *)"";
	ck_assert_int_eq(call_state(NULL, 1000), 0);
	run_until(&fx.calls, 1);
	ck_assert_uint_eq(bg_link_server_output_bytes(fx.server), 0);
	bg_rpc_reply(fx.pending_rpc, (xdrproc_t)xdr_bg_xstate_res, &res);
	fx.pending_rpc = NULL;
	ck_assert_uint_gt(bg_link_server_output_bytes(fx.server), 0);
	run_until(&fx.replies, 1);
	ck_assert_uint_eq(bg_link_server_output_bytes(fx.server), 0);
	teardown();
}
END_TEST

/* Guards against a refused connection that is reported as BG_EIO, which means
 * that the call may have run. */
START_TEST(refused_connection_fails_with_unavailable)
{
	setup();
	bg_link_free(fx.link);
	fx.link = NULL;
	bg_link_server_stop_listening(fx.server);
	{
		struct bg_link_options opts = BG_LINK_OPTIONS_INIT;

		ck_assert_int_eq(bg_link_init(&fx.link, fx.base, fx.address,
				     &opts, on_close, NULL, NULL),
		    0);
	}
	ck_assert_int_eq(call_sync(1, 1000), 0);
	run_until(&fx.closes, 1);
	ck_assert_int_eq(fx.last_code, BG_EUNAVAILABLE);
	teardown();
}
END_TEST

/* Guards against a connection lost after the write that is reported as
 * BG_EUNAVAILABLE, which means that the call has not run, and against a handler
 * that is not notified of the disconnect. */
START_TEST(connection_lost_after_write_fails_with_io)
{
	setup();
	ck_assert_int_eq(call_state(NULL, 0), 0);
	run_until(&fx.calls, 1);
	bg_link_server_free(fx.server);
	fx.server = NULL;
	run_until(&fx.closes, 1);
	ck_assert_int_eq(fx.last_code, BG_EIO);
	ck_assert_int_eq(fx.cancels, 1);
	teardown();
}
END_TEST

/* Guards against a caller that waits forever for a peer that never replies. */
START_TEST(call_without_reply_times_out)
{
	setup();
	ck_assert_int_eq(call_state(NULL, 50), 0);
	run_until(&fx.replies, 1);
	ck_assert_int_eq(fx.last_code, BG_ETIMEOUT);
	teardown();
}
END_TEST

/* Guards against a call that waits for its timeout, or forever, since the peer
 * cannot encode its reply. */
START_TEST(reply_that_cannot_be_encoded_ends_the_call)
{
	struct bg_xstate_res res = {0};
	char too_long[200];

	memset(too_long, 'x', sizeof(too_long) - 1);
	too_long[sizeof(too_long) - 1] = '\0';
	res.refused_reason = too_long;
	setup();
	ck_assert_int_eq(call_state(NULL, 0), 0);
	run_until(&fx.calls, 1);
	bg_rpc_reply(fx.pending_rpc, (xdrproc_t)xdr_bg_xstate_res, &res);
	fx.pending_rpc = NULL;
	run_until(&fx.replies, 1);
	ck_assert_int_eq(fx.last_code, BG_EPROTO);
	ck_assert_int_eq(call_sync(41, 1000), 0);
	run_until(&fx.replies, 2);
	ck_assert_int_eq(fx.last_code, 0);
	ck_assert_int_eq(fx.closes, 0);
	teardown();
}
END_TEST

/* Guards against a handler that keeps working on a call after its caller
 * canceled it. */
START_TEST(cancel_reaches_the_handler)
{
	uint32_t xid;

	setup();
	ck_assert_int_eq(call_state(&xid, 0), 0);
	run_until(&fx.calls, 1);
	bg_link_cancel(fx.link, xid);
	run_until(&fx.cancels, 1);
	ck_assert_int_eq(fx.replies, 0);
	teardown();
}
END_TEST

/* Guards against pending calls whose callback never runs because their link was
 * freed. */
START_TEST(free_fails_pending_calls)
{
	setup();
	ck_assert_int_eq(call_state(NULL, 0), 0);
	run_until(&fx.calls, 1);
	bg_link_free(fx.link);
	fx.link = NULL;
	ck_assert_int_eq(fx.replies, 1);
	ck_assert_int_eq(fx.last_code, BG_ECANCELED);
	teardown();
}
END_TEST

/* Guards against a link that becomes suspect although its peer is responsive:
 * while no reply is expected, and while the peer works on a call for longer
 * than the ping timeout. */
START_TEST(responsive_peer_is_not_suspect)
{
	struct timeval pause = {
	    0, (BG_LINK_PING_IDLE_MS + BG_LINK_PING_TIMEOUT_MS) * 2000};

	setup();
	ck_assert_int_eq(call_sync(1, 1000), 0);
	run_until(&fx.replies, 1);
	event_base_loopexit(fx.base, &pause);
	event_base_dispatch(fx.base);
	ck_assert_int_eq(bg_link_is_suspect(fx.link), 0);
	/* The peer replies to pings while it works on a call. */
	ck_assert_int_eq(call_state(NULL, 0), 0);
	event_base_loopexit(fx.base, &pause);
	event_base_dispatch(fx.base);
	ck_assert_int_eq(bg_link_is_suspect(fx.link), 0);
	ck_assert_int_eq(fx.closes, 0);
	teardown();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("link");

	tcase_add_test(tc, call_receives_its_reply);
	tcase_add_test(tc, replies_that_were_not_read_are_counted);
	tcase_add_test(tc, refused_connection_fails_with_unavailable);
	tcase_add_test(tc, connection_lost_after_write_fails_with_io);
	tcase_add_test(tc, call_without_reply_times_out);
	tcase_add_test(tc, reply_that_cannot_be_encoded_ends_the_call);
	tcase_add_test(tc, cancel_reaches_the_handler);
	tcase_add_test(tc, free_fails_pending_calls);
	tcase_add_test(tc, responsive_peer_is_not_suspect);
	return run_suite("link", tc);
}
