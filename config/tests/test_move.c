#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/snapshot.h"

#include "suite.h"

static void
set_move(struct bg_move *out, enum bg_move_state state, const char *from,
    const char *to)
{
	out->state = state;
	snprintf(out->from, sizeof(out->from), "%s", from);
	snprintf(out->to, sizeof(out->to), "%s", to);
}

/* Guards against an automatic move to an old version: after the rollback from
 * 3.0 to 2.0, traffic moved to the servers that still ran 1.0. */
START_TEST(earlier_versions_stay_retired)
{
	struct bg_move first = {0};
	struct bg_move second = {0};

	set_move(&first, BG_MOVE_DONE, "1.0", "2.0");
	bg_move_retire_versions(&second, &first);
	set_move(&second, BG_MOVE_ROLLED_BACK, "2.0", "3.0");
	ck_assert(bg_move_is_retired(&second, "1.0"));
	ck_assert(bg_move_is_retired(&second, "2.0"));
	ck_assert(bg_move_is_retired(&second, "3.0"));
	ck_assert(!bg_move_is_retired(&second, "4.0"));
	ck_assert(!bg_move_is_retired(&second, "1"));
	ck_assert(!bg_move_is_retired(&second, ""));
	ck_assert_str_eq(bg_move_serving_version(&second), "2.0");
}
END_TEST

/* Guards against a list of retired versions that overflows its field or drops
 * the latest versions. */
START_TEST(retired_list_keeps_the_latest_versions)
{
	struct bg_move last = {0};
	struct bg_move next = {0};
	char name[BG_NAME_BYTES];
	int i;

	for (i = 0; i < 100; i++) {
		snprintf(name, sizeof(name), "2026.12.%d", i);
		set_move(&last, BG_MOVE_DONE, "", name);
		bg_move_retire_versions(&next, &last);
		last = next;
	}
	ck_assert(strlen(next.retired) < BG_RETIRED_BYTES);
	ck_assert(bg_move_is_retired(&next, "2026.12.99"));
	ck_assert(bg_move_is_retired(&next, "2026.12.90"));
	ck_assert(!bg_move_is_retired(&next, "2026.12.0"));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("move");

	tcase_add_test(tc, earlier_versions_stay_retired);
	tcase_add_test(tc, retired_list_keeps_the_latest_versions);
	return run_suite("move", tc);
}
