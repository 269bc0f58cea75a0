#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/questionnaire.h"

#include "contract_set.h"

/* Buffer for the text of a dependency cycle. Service names of up to 24 bytes
 * always fit; with longer names, the end of a long one is cut off. */
#define CYCLE_BYTES 512

struct set_check {
	FILE *report;
	/** Contracts in force if the questionnaires were accepted. */
	const struct bg_contract **set;
	size_t set_count;
	int is_partial; /**< services outside of the set may exist */
	size_t problem_count;
	int code; /**< 0 or BG_ENOMEM */
};

static void add_problem(struct set_check *chk,
    const struct bg_questionnaire *qn, uint32_t line, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

static void
add_problem(struct set_check *chk, const struct bg_questionnaire *qn,
    uint32_t line, const char *fmt, ...)
{
	va_list ap;

	fprintf(chk->report, "%s:%u: ", qn->path, line);
	va_start(ap, fmt);
	vfprintf(chk->report, fmt, ap);
	va_end(ap);
	fputc('\n', chk->report);
	chk->problem_count++;
}

static void
check_questionnaire(struct set_check *chk, const struct bg_questionnaire *qn)
{
	const struct bg_contract *ctr = &qn->contract;
	const struct bg_contract *other;
	char cycle[CYCLE_BYTES];
	size_t i;
	int cycle_result;

	/* Not checked in a partial set: a dependency may be outside of it. */
	for (i = 0; i < ctr->dependency_count && !chk->is_partial; i++)
		if (bg_contract_set_find(
			chk->set, chk->set_count, ctr->dependencies[i]) == NULL)
			add_problem(chk, qn, qn->dependencies_line,
			    "dependencies: expected a service that exists, "
			    "found \"%s\"",
			    ctr->dependencies[i]);
	for (i = 0; i < ctr->route_count; i++) {
		other = bg_contract_set_find_conflict(
		    chk->set, chk->set_count, ctr, &ctr->routes[i]);
		if (other != NULL)
			add_problem(chk, qn, qn->route_lines[i],
			    "route.path: expected a path and method that "
			    "service \"%s\" does not have, found \"%s\"",
			    other->name, ctr->routes[i].prefix);
	}
	cycle_result = bg_contract_set_cycle(
	    cycle, sizeof(cycle), chk->set, chk->set_count, ctr->name);
	if (cycle_result < 0)
		chk->code = cycle_result;
	else if (cycle_result)
		add_problem(chk, qn, qn->dependencies_line,
		    "dependencies: expected no cycle, found %s", cycle);
}

/* Index of the first questionnaire of the same service. */
static size_t
find_first_of_service(const struct bg_questionnaire *qns, size_t index)
{
	size_t i;

	for (i = 0; i < index; i++)
		if (strcmp(qns[i].contract.name, qns[index].contract.name) == 0)
			return i;
	return index;
}

static void
check_set(struct set_check *chk, const struct bg_questionnaire *qns,
    size_t count, const struct bg_contract *accepted, size_t accepted_count)
{
	size_t i;
	size_t first;

	for (i = 0; i < count; i++) {
		if ((first = find_first_of_service(qns, i)) == i)
			chk->set[chk->set_count++] = &qns[i].contract;
		else
			add_problem(chk, &qns[i], qns[i].name_line,
			    "name: expected each service once, found \"%s\" "
			    "in %s as well",
			    qns[i].contract.name, qns[first].path);
	}
	for (i = 0; i < accepted_count; i++)
		if (bg_contract_set_find(
			chk->set, chk->set_count, accepted[i].name) == NULL)
			chk->set[chk->set_count++] = &accepted[i];
	for (i = 0; i < count; i++)
		check_questionnaire(chk, &qns[i]);
}

static int
run_check(struct set_check *chk, char **out_report,
    const struct bg_questionnaire *qns, size_t count,
    const struct bg_contract *accepted, size_t accepted_count,
    struct bg_error *err)
{
	size_t report_bytes;

	*out_report = NULL;
	/* One more than needed: calloc may return NULL for 0 elements, which
	 * would be reported as a lack of memory. */
	chk->set = calloc(
	    count + accepted_count + 1, sizeof(const struct bg_contract *));
	chk->report = open_memstream(out_report, &report_bytes);
	if (chk->set == NULL || chk->report == NULL)
		chk->code = BG_ENOMEM;
	else
		check_set(chk, qns, count, accepted, accepted_count);
	if (chk->report != NULL && fclose(chk->report) != 0)
		chk->code = BG_ENOMEM;
	free(chk->set);
	if (chk->code == 0 && chk->problem_count > 0)
		return bg_error_set(err, BG_EINVAL, "validate", NULL, "%.*s",
		    (int)strcspn(*out_report, "\n"), *out_report);
	free(*out_report);
	*out_report = NULL;
	if (chk->code != 0)
		return bg_error_set(
		    err, chk->code, "validate", NULL, "out of memory");
	return 0;
}

int
bg_questionnaire_validate_set(char **out_report,
    const struct bg_questionnaire *qns, size_t count,
    const struct bg_contract *accepted, size_t accepted_count,
    struct bg_error *err)
{
	struct set_check chk = {0};

	return run_check(
	    &chk, out_report, qns, count, accepted, accepted_count, err);
}

int
bg_questionnaire_validate_partial_set(char **out_report,
    const struct bg_questionnaire *qns, size_t count, struct bg_error *err)
{
	struct set_check chk = {0};

	chk.is_partial = 1;
	return run_check(&chk, out_report, qns, count, NULL, 0, err);
}
