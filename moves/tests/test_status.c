#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "status/status.h"

#include "suite.h"

#define NOW_MS 1000000

static struct bg_service service;
static struct bg_status_view view;
static struct bg_status_line line;

static void
add_summary(const char *data_centre, uint64_t confirmed, uint64_t written_ms)
{
	struct bg_state_summary *sum = &view.summaries[view.summary_count++];

	memset(sum, 0, sizeof(*sum));
	snprintf(sum->data_centre, sizeof(sum->data_centre), "%s", data_centre);
	sum->confirmed_version = confirmed;
	sum->written_ms = written_ms;
}

static void
setup(enum bg_move_state state)
{
	memset(&service, 0, sizeof(service));
	snprintf(
	    service.head.name, sizeof(service.head.name), "%s", "catalogue");
	service.head.changed = 7;
	service.head.move.state = state;
	service.head.move.generation = 2;
	snprintf(service.head.move.from, sizeof(service.head.move.from), "%s",
	    "1.0");
	snprintf(
	    service.head.move.to, sizeof(service.head.move.to), "%s", "2.0");
	memset(&view, 0, sizeof(view));
	view.now_ms = NOW_MS;
	add_summary("bureau", 7, NOW_MS);
	add_summary("entrepot", 7, NOW_MS - 1000);
}

/* Guards against "done" while a reachable node lacks the configuration. */
START_TEST(done_needs_every_reachable_data_centre)
{
	setup(BG_MOVE_DONE);
	bg_status_line(&line, &service, &view, 0);
	ck_assert_str_eq(line.state, "done");
	ck_assert_str_eq(line.server_version, "2.0");
	view.summaries[1].confirmed_version = 6;
	bg_status_line(&line, &service, &view, 0);
	ck_assert_str_eq(line.state, "in progress");
	ck_assert_str_eq(line.server_version, "2.0");
}
END_TEST

/* Guards against a stale summary that is not visible in the age. */
START_TEST(partitioned_data_centre_shows_in_the_age)
{
	setup(BG_MOVE_DONE);
	view.summaries[1].confirmed_version = 5;
	view.summaries[1].written_ms = NOW_MS - 60000;
	bg_status_line(&line, &service, &view, 0);
	ck_assert_str_eq(line.state, "done");
	ck_assert_uint_eq(line.age_ms, 60000);
}
END_TEST

/* Guards against "done" on a node without any summary. */
START_TEST(no_summary_is_never_done)
{
	setup(BG_MOVE_DONE);
	view.summary_count = 0;
	bg_status_line(&line, &service, &view, 0);
	ck_assert_str_eq(line.state, "in progress");
}
END_TEST

/* Guards against "rolled back" while a node may still send calls to the
 * version, and against a change from "done" to "in progress" of an older
 * version. */
START_TEST(rolled_back_needs_confirmation_and_names_the_version)
{
	setup(BG_MOVE_ROLLED_BACK);
	bg_status_line(&line, &service, &view, 0);
	ck_assert_str_eq(line.state, "rolled back");
	ck_assert_str_eq(line.server_version, "2.0");
	ck_assert_str_eq(line.serving, "1.0");
	view.summaries[0].confirmed_version = 6;
	bg_status_line(&line, &service, &view, 0);
	ck_assert_str_eq(line.state, "in progress");
	ck_assert_str_eq(line.server_version, "2.0");
	ck_assert_str_eq(line.note, "rolling-back");
}
END_TEST

/* Guards against "done" although this node knows the version to be bad. */
START_TEST(bad_generation_ends_done)
{
	setup(BG_MOVE_DONE);
	bg_status_line(&line, &service, &view, 2);
	ck_assert_str_eq(line.state, "in progress");
	ck_assert_str_eq(line.note, "rolling-back");
	bg_status_line(&line, &service, &view, 1);
	ck_assert_str_eq(line.state, "done");
}
END_TEST

/* Guards against "done" for a configuration that was withdrawn. */
START_TEST(withdrawn_configuration_is_rolled_back)
{
	setup(BG_MOVE_DONE);
	service.head.is_withdrawn = 1;
	bg_status_line(&line, &service, &view, 0);
	ck_assert_str_eq(line.state, "rolled back");
	ck_assert_str_eq(line.note, "withdrawn");
}
END_TEST

/* Guards against a refused configuration that is shown without a reason. */
START_TEST(refusal_is_shown_with_its_reason)
{
	setup(BG_MOVE_DONE);
	view.summaries[0].confirmed_version = 6;
	view.summaries[0].refused_version = 7;
	snprintf(view.summaries[0].refused_reason,
	    sizeof(view.summaries[0].refused_reason), "%s",
	    "route without service");
	bg_status_line(&line, &service, &view, 0);
	ck_assert_str_eq(line.state, "in progress");
	ck_assert_str_eq(line.note, "refused");
	ck_assert_str_eq(line.reason, "route without service");
}
END_TEST

/* Guards against an emptied data centre that the operators do not see, and
 * calls that seem to have ended there because no node answered. */
START_TEST(emptied_data_centres_are_shown)
{
	struct bg_emptied_set emptied = {0};
	struct bg_status_input in = {0};
	char *text;

	setup(BG_MOVE_DONE);
	view.summaries[0].member_count = 2;
	view.summaries[0].running_calls = 3;
	emptied.count = 3;
	emptied.reports[0].is_emptied = emptied.reports[1].is_emptied = 1;
	snprintf(emptied.reports[0].data_centre, BG_NAME_BYTES, "bureau");
	snprintf(emptied.reports[1].data_centre, BG_NAME_BYTES, "entrepot");
	snprintf(emptied.reports[2].data_centre, BG_NAME_BYTES, "taken-back");
	in.summaries = view.summaries;
	in.summary_count = view.summary_count;
	in.emptied = &emptied;
	ck_assert_int_eq(bg_status_render(&text, &in), 0);
	ck_assert_ptr_nonnull(strstr(text,
	    "# emptied data_centre=bureau since=1970-01-01T00:00:00Z "
	    "running=3 nodes=2\n"));
	ck_assert_ptr_nonnull(strstr(text,
	    "# emptied data_centre=entrepot since=1970-01-01T00:00:00Z "
	    "running=unknown nodes=0\n"));
	ck_assert_ptr_null(strstr(text, "taken-back"));
	free(text);
	ck_assert_int_eq(bg_status_render_json(&text, &in), 0);
	ck_assert_ptr_nonnull(strstr(text,
	    "\"emptied\":[{\"data_centre\":\"bureau\",\"since_ms\":0,"
	    "\"running\":3,\"nodes\":2}"));
	free(text);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("status");

	tcase_add_test(tc, done_needs_every_reachable_data_centre);
	tcase_add_test(tc, partitioned_data_centre_shows_in_the_age);
	tcase_add_test(tc, no_summary_is_never_done);
	tcase_add_test(
	    tc, rolled_back_needs_confirmation_and_names_the_version);
	tcase_add_test(tc, bad_generation_ends_done);
	tcase_add_test(tc, withdrawn_configuration_is_rolled_back);
	tcase_add_test(tc, refusal_is_shown_with_its_reason);
	tcase_add_test(tc, emptied_data_centres_are_shown);
	return run_suite("status", tc);
}
