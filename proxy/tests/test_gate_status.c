#include <string.h>

#include "gatekeeper/gate_status.h"
#include "suite.h"

#define ID_HEADER "X-Instance-Id"

/* Decides about a response with the id of the sender; NULL: without one. */
static int
is_serving(int code, uint32_t http_status, const char *sender)
{
	struct bg_xheader header = {ID_HEADER, (char *)sender};
	struct bg_exchange_result res;

	memset(&res, 0, sizeof(res));
	res.code = code;
	res.http_status = http_status;
	res.headers = &header;
	res.header_count = sender != NULL;
	return bg_gate_status_is_serving(&res, ID_HEADER, "a");
}

/* Guards against a server that says that it leaves, or does not respond, and is
 * used. */
START_TEST(only_a_success_counts)
{
	ck_assert(is_serving(0, 200, "a"));
	ck_assert(is_serving(0, 200, NULL));
	ck_assert(!is_serving(0, 503, "a"));
	ck_assert(!is_serving(0, 404, "a"));
	ck_assert(!is_serving(BG_EUNAVAILABLE, 0, NULL));
	ck_assert(!is_serving(BG_EIO, 200, "a"));
}
END_TEST

/* Guards against the status of the next server at the same address. */
START_TEST(other_server_does_not_speak_for_it)
{
	ck_assert(!is_serving(0, 200, "b"));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("gate_status");

	tcase_add_test(tc, only_a_success_counts);
	tcase_add_test(tc, other_server_does_not_speak_for_it);
	return run_suite("gate_status", tc);
}
