#include <math.h>
#include <stdio.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/error.h"
#include "cost/predictor.h"
#include "cost/server_load.h"
#include "cost/work.h"
#include "suite.h"

#define MEAN_US 100000
#define HEAVY 7
#define CALLS 2000
#define NOW_MS 1000000

static struct bg_rand rnd;
static struct bg_work work;
static struct bg_predictor prd;

static void
setup(void)
{
	bg_rand_init(&rnd, 11);
	memset(&work, 0, sizeof(work));
	memset(&prd, 0, sizeof(prd));
}

/* One call in fifty costs HEAVY times as much as the others. */
static uint32_t
heavy_tailed_us(void)
{
	uint32_t us = MEAN_US / 2 + (uint32_t)bg_rand_below(&rnd, MEAN_US);

	return bg_rand_below(&rnd, 50) == 0 ? us * HEAVY : us;
}

static void
learn_route(double speed)
{
	struct bg_work_sample smp = {"r", MEAN_US, 0, 0, 1000};
	int i;

	bg_slowness_report(&work.pace.slowness, 1000, NOW_MS);
	for (i = 0; i < CALLS; i++) {
		smp.own_us = (uint64_t)(heavy_tailed_us() * speed);
		smp.slot_us = smp.own_us;
		bg_work_record(&work, &smp);
	}
}

static double
left_us(uint64_t elapsed_us)
{
	struct bg_work_left sum = {0, 0};

	bg_work_add_running(&sum, &work, "r", MEAN_US, elapsed_us, NOW_MS);
	return sum.total_us;
}

/* Guards against counting a call that has run for three means as nearly done.
 */
START_TEST(a_call_that_ran_long_will_run_longer)
{
	learn_route(1);
	ck_assert_double_lt(left_us(MEAN_US), MEAN_US);
	ck_assert_double_gt(left_us(3 * MEAN_US), 2 * MEAN_US);
}
END_TEST

/* Guards against starts being expected at the rate of all slots, while heavy
 * calls hold some of them: calls would queue there in vain. */
START_TEST(heavy_calls_slow_the_rate_of_starts)
{
	struct bg_work_left usual = {0, 0};
	struct bg_work_left heavy = {0, 0};
	int i;

	learn_route(1);
	for (i = 0; i < 12; i++) {
		bg_work_add_running(
		    &usual, &work, "r", MEAN_US, MEAN_US / 2, NOW_MS);
		bg_work_add_running(&heavy, &work, "r", MEAN_US,
		    i < 6 ? 3 * MEAN_US : MEAN_US / 2, NOW_MS);
	}
	ck_assert_uint_gt(bg_work_start_interval_us(&heavy),
	    bg_work_start_interval_us(&usual) * 3 / 2);
	ck_assert_double_gt(heavy.total_us, usual.total_us * 2);
}
END_TEST

/* Guards against the speed being lost in the tail, or counted twice. */
START_TEST(learns_the_speed_of_a_server)
{
	learn_route(1.6);
	ck_assert_double_gt(bg_pace_speed(&work.pace), 1.3);
	ck_assert_double_lt(bg_pace_speed(&work.pace), 1.9);
	ck_assert_uint_gt(
	    bg_work_slot_us(&work, "r", MEAN_US, NOW_MS), MEAN_US * 3 / 2);
	ck_assert_uint_lt(
	    bg_work_slot_us(&work, "r", MEAN_US, NOW_MS), MEAN_US * 2);
}
END_TEST

/* Guards against a usual server that is taken for a slow one, since the
 * slowness of its machine counts as its speed. */
START_TEST(slowness_of_the_machine_is_no_speed)
{
	struct bg_pace pace = {0};
	int i;

	for (i = 0; i < CALLS; i++)
		bg_pace_record(&pace, MEAN_US,
		    i % 2 == 0 ? MEAN_US : MEAN_US * 5 / 2,
		    i % 2 == 0 ? 1000 : 2500);
	ck_assert_double_eq_tol(bg_pace_speed(&pace), 1, 0.01);
}
END_TEST

/* Guards against estimates for servers that do not report their slowness, whose
 * deployments must not change. */
START_TEST(is_unknown_without_a_report)
{
	ck_assert_int_eq(bg_work_is_known(&work), 0);
	ck_assert_uint_eq(bg_work_slot_us(&work, "r", 0, NOW_MS), 0);
}
END_TEST

/* Guards against acting on slowness of the past: a server that was slow 900 ms
 * ago is nearly as good as any other. */
START_TEST(slowness_fades_to_the_usual)
{
	struct bg_slowness slw = {0};
	int i;

	for (i = 0; i < 400; i++)
		bg_slowness_report(&slw, 1000, NOW_MS - 1000);
	bg_slowness_report(&slw, 2500, NOW_MS);
	ck_assert_double_gt(bg_slowness_permille(&slw, NOW_MS + 50), 2200);
	ck_assert_double_lt(bg_slowness_permille(&slw, NOW_MS + 900), 1250);
	/* Reports that overtook each other. */
	bg_slowness_report(&slw, 9000, NOW_MS - 1);
	ck_assert_double_lt(bg_slowness_permille(&slw, NOW_MS), 2600);
}
END_TEST

/* Records calls whose cost depends on the organisation. */
static void
learn_organisations(double heavy_factor)
{
	struct bg_cost_query q = {"r", "light", "/", 0};
	char path[32];
	int i;

	for (i = 0; i < CALLS; i++) {
		snprintf(path, sizeof(path), "/%d", i);
		q.path = path;
		q.organisation = i % 4 == 0 ? "heavy" : "light";
		bg_predictor_record(&prd, &q,
		    (uint64_t)(heavy_tailed_us() *
			(i % 4 == 0 ? heavy_factor : 1)));
	}
}

/* Guards against a call that has run far beyond all others and is expected to
 * end soon: nothing is known of such a call but that it has not ended. */
START_TEST(call_beyond_all_others_runs_as_long_again)
{
	struct bg_shape shape = {0};
	int i;

	for (i = 0; i < CALLS; i++)
		bg_shape_record(&shape, 1);
	ck_assert_double_ge(bg_shape_residual(&shape, 20), 20);
}
END_TEST

/* Cell of an organisation in a table that knows no other. */
static int
cell_of(const char *organisation)
{
	static struct bg_predictor fresh;
	struct bg_cost_query q = {"r", organisation, "/", 0};
	int i;

	memset(&fresh, 0, sizeof(fresh));
	bg_predictor_record(&fresh, &q, MEAN_US);
	for (i = 0; i < BG_PREDICTOR_CELLS; i++) {
		if (fresh.cells[BG_COST_ORGANISATION][i].tag != 0)
			return i;
	}
	return -1;
}

/* Guards against organisations that call once and displace what is known of one
 * that calls all the time. */
START_TEST(rare_value_does_not_displace_a_frequent_one)
{
	struct bg_cost_query q = {"r", "frequent", "/", 0};
	int cell = cell_of("frequent");
	char rare[16] = "";
	uint64_t tag;
	int i;

	for (i = 0; cell_of(rare) != cell || i == 0; i++)
		snprintf(rare, sizeof(rare), "rare-%d", i);
	for (i = 0; i < 20; i++)
		bg_predictor_record(&prd, &q, MEAN_US);
	tag = prd.cells[BG_COST_ORGANISATION][cell].tag;
	q.organisation = rare;
	bg_predictor_record(&prd, &q, MEAN_US);
	ck_assert(prd.cells[BG_COST_ORGANISATION][cell].tag == tag);
	for (i = 0; i < 20; i++)
		bg_predictor_record(&prd, &q, MEAN_US);
	ck_assert(prd.cells[BG_COST_ORGANISATION][cell].tag != tag);
}
END_TEST

/* Guards against a cost that follows from the organisation not being seen,
 * while many paths that are used once fill the table. */
START_TEST(finds_the_trait_that_predicts)
{
	struct bg_cost_query q = {"r", "heavy", "/new", 0};
	struct bg_cost_prediction heavy;
	struct bg_cost_prediction light;

	learn_organisations(5);
	bg_predictor_predict(&heavy, &prd, &q);
	q.organisation = "light";
	bg_predictor_predict(&light, &prd, &q);
	ck_assert_int_eq(heavy.trait, BG_COST_ORGANISATION);
	ck_assert_uint_gt(heavy.cost_us, light.cost_us * 3);
}
END_TEST

/* Guards against noise being taken for a trait that predicts cost. */
START_TEST(uses_the_mean_where_nothing_predicts)
{
	struct bg_cost_query q = {"r", "heavy", "/new", 0};
	struct bg_cost_prediction out;

	bg_predictor_predict(&out, &prd, &q);
	ck_assert_uint_eq(out.cost_us, 0);
	learn_organisations(1);
	bg_predictor_predict(&out, &prd, &q);
	ck_assert_int_eq(out.trait, -1);
	ck_assert_uint_eq(out.cost_us, out.route_mean_us);
	ck_assert_uint_gt(out.cost_us, MEAN_US * 9 / 10);
	ck_assert_uint_lt(out.cost_us, MEAN_US * 3 / 2);
}
END_TEST

/* Guards against a server's bytes being taken for a load that they do not
 * give. */
/* Guards against hashes that reach a part of the table only, so that values
 * displace each other in a table that is half empty. */
START_TEST(values_are_spread_over_all_cells)
{
	struct bg_cost_query q = {"lookup", "", "/lookup", 0};
	char organisation[16];
	int used = 0;
	int i;

	q.organisation = organisation;
	for (i = 0; i < 20 * BG_PREDICTOR_CELLS; i++) {
		snprintf(organisation, sizeof(organisation), "org-%d", i);
		bg_predictor_record(&prd, &q, MEAN_US);
	}
	for (i = 0; i < BG_PREDICTOR_CELLS; i++)
		used += prd.cells[BG_COST_ORGANISATION][i].tag != 0;
	ck_assert_int_eq(used, BG_PREDICTOR_CELLS);
}
END_TEST

START_TEST(parses_the_load_header)
{
	static const char *const invalid[] = {"", "3,0", "3,0,", "3,0,12,x",
	    "3,0,12,250,1", "-1,0,12", "3,0,12 5", "3,0,12,99999999999"};
	struct bg_server_load load;
	size_t i;

	ck_assert_int_eq(bg_server_load_parse(&load, "3,1,12"), 0);
	ck_assert_uint_eq(load.waiting, 1);
	ck_assert_uint_eq(load.slots, 12);
	ck_assert_uint_eq(load.slowness_permille, 0);
	ck_assert_int_eq(bg_server_load_parse(&load, " 3, 0, 12, 250 "), 0);
	ck_assert_uint_eq(load.running, 3);
	ck_assert_uint_eq(load.slowness_permille, 2500);
	ck_assert_int_eq(bg_server_load_parse(&load, "3,0,12,0"), 0);
	ck_assert_uint_gt(load.slowness_permille, 0);
	for (i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++)
		ck_assert_int_eq(
		    bg_server_load_parse(&load, invalid[i]), BG_EINVAL);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("cost");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, a_call_that_ran_long_will_run_longer);
	tcase_add_test(tc, heavy_calls_slow_the_rate_of_starts);
	tcase_add_test(tc, learns_the_speed_of_a_server);
	tcase_add_test(tc, slowness_of_the_machine_is_no_speed);
	tcase_add_test(tc, is_unknown_without_a_report);
	tcase_add_test(tc, slowness_fades_to_the_usual);
	tcase_add_test(tc, call_beyond_all_others_runs_as_long_again);
	tcase_add_test(tc, rare_value_does_not_displace_a_frequent_one);
	tcase_add_test(tc, finds_the_trait_that_predicts);
	tcase_add_test(tc, uses_the_mean_where_nothing_predicts);
	tcase_add_test(tc, values_are_spread_over_all_cells);
	tcase_add_test(tc, parses_the_load_header);
	return run_suite("cost", tc);
}
