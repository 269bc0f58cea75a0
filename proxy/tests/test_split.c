#include <string.h>

#include "split/split.h"
#include "suite.h"

static const struct bg_target TARGETS[] = {{"a", 70}, {"b", 30}};
static const struct bg_target ONE[] = {{"only", 5}};
static const struct bg_target THREE[] = {{"a", 1}, {"b", 0}, {"c", 1}};

static struct bg_rule
rule_of(const char *name, const struct bg_target *targets, size_t count)
{
	struct bg_rule rule = {0};

	rule.name = name;
	rule.targets = targets;
	rule.target_count = count;
	return rule;
}

static int
count_of(struct bg_split *spl, const struct bg_rule *rule, const char *service,
    int calls)
{
	int n = 0;

	while (calls-- > 0)
		n += strcmp(bg_split_next(spl, rule), service) == 0;
	return n;
}

/* The shares must follow the weights exactly, not only on average, and also
 * over few calls. */
START_TEST(shares_follow_the_weights)
{
	struct bg_rule rule = rule_of("r", TARGETS, 2);
	struct bg_split spl;
	int n;

	bg_split_init(&spl, 7);
	n = count_of(&spl, &rule, "b", 10);
	ck_assert_int_ge(n, 2);
	ck_assert_int_le(n, 4);
	n = count_of(&spl, &rule, "b", 1000);
	ck_assert_int_ge(n, 299);
	ck_assert_int_le(n, 301);
	bg_split_free(&spl);
}
END_TEST

/* Routes must not share their credits. */
START_TEST(routes_are_split_independently)
{
	struct bg_rule first = rule_of("first", TARGETS, 2);
	struct bg_rule second = rule_of("second", TARGETS, 2);
	struct bg_split spl;
	int b_first = 0;
	int b_second = 0;
	int i;

	bg_split_init(&spl, 7);
	for (i = 0; i < 100; i++) {
		b_first += count_of(&spl, &first, "b", 1);
		b_second += count_of(&spl, &second, "b", 1);
	}
	ck_assert_int_ge(b_first, 29);
	ck_assert_int_le(b_first, 31);
	ck_assert_int_ge(b_second, 29);
	ck_assert_int_le(b_second, 31);
	bg_split_free(&spl);
}
END_TEST

/* When all nodes get new weights at the same time, their first calls must not
 * all go to the same service. */
START_TEST(nodes_start_with_different_services)
{
	struct bg_rule rule = rule_of("r", TARGETS, 2);
	struct bg_split spl;
	int b = 0;
	int i;

	for (i = 0; i < 100; i++) {
		bg_split_init(&spl, 100 + (uint64_t)i);
		b += count_of(&spl, &rule, "b", 1);
		bg_split_free(&spl);
	}
	ck_assert_int_gt(b, 10);
	ck_assert_int_lt(b, 60);
}
END_TEST

/* Weights of an older configuration must not stay in use. */
START_TEST(new_weights_apply_at_once)
{
	static const struct bg_target new_targets[] = {{"a", 0}, {"b", 1}};
	struct bg_rule rule = rule_of("r", TARGETS, 2);
	struct bg_split spl;

	bg_split_init(&spl, 7);
	count_of(&spl, &rule, "b", 55);
	rule.targets = new_targets;
	ck_assert_int_eq(count_of(&spl, &rule, "b", 20), 20);
	bg_split_free(&spl);
}
END_TEST

START_TEST(single_target_and_zero_weights)
{
	struct bg_rule one = rule_of("one", ONE, 1);
	struct bg_rule three = rule_of("three", THREE, 3);
	struct bg_split spl;

	bg_split_init(&spl, 7);
	ck_assert_int_eq(count_of(&spl, &one, "only", 10), 10);
	ck_assert_int_eq(count_of(&spl, &three, "b", 100), 0);
	bg_split_free(&spl);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("split");

	tcase_add_test(tc, shares_follow_the_weights);
	tcase_add_test(tc, routes_are_split_independently);
	tcase_add_test(tc, nodes_start_with_different_services);
	tcase_add_test(tc, new_weights_apply_at_once);
	tcase_add_test(tc, single_target_and_zero_weights);
	return run_suite("split", tc);
}
