#include "gatekeeper/gate_status.h"
#include "suite.h"

#define ID_HEADER "X-Instance-Id"

/* Decides about a response with the id of the sender; NULL: without one. */
static int
is_serving(int code, uint32_t http_status, const char *sender)
{
	struct bg_xheader header = {ID_HEADER, (char *)sender};
	struct bg_exchange_result res = {.code = code,
	    .http_status = http_status,
	    .headers = &header,
	    .header_count = sender != NULL};

	return bg_gate_status_is_serving(&res, ID_HEADER, "a");
}

/* Guards against a server that is used although it says that it leaves, does
 * not respond, or has another one at its address. */
START_TEST(only_a_success_of_the_server_counts)
{
	ck_assert(is_serving(0, 200, "a"));
	ck_assert(is_serving(0, 200, NULL));
	ck_assert(!is_serving(0, 503, "a"));
	ck_assert(!is_serving(0, 404, "a"));
	ck_assert(!is_serving(BG_EUNAVAILABLE, 0, NULL));
	ck_assert(!is_serving(BG_EIO, 200, "a"));
	ck_assert(!is_serving(0, 200, "b"));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("gate_status");

	tcase_add_test(tc, only_a_success_of_the_server_counts);
	return run_suite("gate_status", tc);
}
