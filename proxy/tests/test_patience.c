#include <string.h>

#include "call/patience.h"
#include "suite.h"

#define LONGEST_MS 1500

static struct bg_patience pat;

static void
setup(void)
{
	memset(&pat, 0, sizeof(pat));
	ck_assert_uint_eq(bg_patience_request(&pat, "r", LONGEST_MS, 1000), 0);
}

/* Guards against new requests whose deadlines differ a little and that are
 * taken for returning ones. */
START_TEST(new_requests_have_no_age)
{
	ck_assert_uint_eq(bg_patience_request(&pat, "r", 1275, 1001), 0);
	ck_assert_uint_eq(bg_patience_request(&pat, "r", 1400, 1002), 0);
	ck_assert_uint_eq(bg_patience_request(&pat, "r", 0, 1003), 0);
}
END_TEST

/* Guards against demand above capacity in which callers that were refused and
 * came back, too late for their target, take the slots of new requests (bench:
 * Bélanger trouble-1, four in ten calls of the catalogue). */
START_TEST(returning_request_has_an_age)
{
	uint32_t age_ms = bg_patience_request(&pat, "r", 900, 1001);

	ck_assert_uint_ge(age_ms, 300);
	ck_assert_uint_le(age_ms, 600);
}
END_TEST

START_TEST(routes_are_apart)
{
	ck_assert_uint_eq(bg_patience_request(&pat, "other", 400, 1001), 0);
}
END_TEST

/* Guards against callers that give less from some time on, after which every
 * request would be taken for a returning one. */
START_TEST(shorter_deadlines_become_usual)
{
	uint64_t now_ms;

	for (now_ms = 2000; now_ms < 25000; now_ms += 100)
		bg_patience_request(&pat, "r", 500, now_ms);
	ck_assert_uint_eq(bg_patience_request(&pat, "r", 500, now_ms), 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("patience");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, new_requests_have_no_age);
	tcase_add_test(tc, returning_request_has_an_age);
	tcase_add_test(tc, routes_are_apart);
	tcase_add_test(tc, shorter_deadlines_become_usual);
	return run_suite("patience", tc);
}
