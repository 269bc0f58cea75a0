#include <stdlib.h>
#include <string.h>

#include "burdockgrade/organisations.h"

#include "rule_order.h"

static int
fail(struct bg_error *err, const char *subject, const char *problem)
{
	return bg_error_set(
	    err, BG_EINVAL, "snapshot", NULL, "%.63s: %s", subject, problem);
}

static int
out_of_memory(struct bg_error *err)
{
	return bg_error_set(err, BG_ENOMEM, "snapshot", NULL, "out of memory");
}

int
bg_service_compare(const void *a, const void *b)
{
	const struct bg_service *x = a;
	const struct bg_service *y = b;

	return strcmp(x->head.name, y->head.name);
}

static int
compare_rules(const void *a, const void *b)
{
	return bg_rule_compare(a, b);
}

/* Size of the buffer for the strings of all rules and targets. */
static size_t
strings_bytes(const struct bg_snapshot_draft *draft)
{
	const struct bg_rule *rule;
	size_t bytes = 1;
	size_t i;
	size_t j;

	for (i = 0; i < draft->rule_count; i++) {
		rule = &draft->rules[i];
		bytes += strlen(rule->name) + strlen(rule->host) +
		    strlen(rule->prefix) + 3;
		for (j = 0; j < rule->target_count; j++)
			bytes += strlen(rule->targets[j].service) + 1;
	}
	return bytes;
}

static size_t
count_targets(const struct bg_snapshot_draft *draft)
{
	size_t total = 0;
	size_t i;

	for (i = 0; i < draft->rule_count; i++)
		total += draft->rules[i].target_count;
	return total;
}

/* Copies a string to the snapshot's buffer and advances the position. */
static const char *
copy_string(char **pos, const char *text)
{
	char *copy = *pos;
	size_t bytes = strlen(text) + 1;

	memcpy(copy, text, bytes);
	*pos += bytes;
	return copy;
}

static void
copy_rules(struct bg_snapshot *snap, const struct bg_snapshot_draft *draft)
{
	struct bg_target *target = snap->targets;
	struct bg_rule *rule;
	char *pos = snap->strings;
	size_t i;
	size_t j;

	for (i = 0; i < draft->rule_count; i++) {
		rule = &snap->rules[i];
		*rule = draft->rules[i];
		rule->name = copy_string(&pos, rule->name);
		rule->host = copy_string(&pos, rule->host);
		rule->prefix = copy_string(&pos, rule->prefix);
		for (j = 0; j < rule->target_count; j++) {
			target[j] = draft->rules[i].targets[j];
			target[j].service =
			    copy_string(&pos, target[j].service);
		}
		rule->targets = target;
		target += rule->target_count;
	}
	snap->rule_count = draft->rule_count;
}

static int
allocate(struct bg_snapshot *snap, const struct bg_snapshot_draft *draft)
{
	snap->services =
	    calloc(draft->service_count + 1, sizeof(*snap->services));
	snap->rules = calloc(draft->rule_count + 1, sizeof(*snap->rules));
	snap->targets =
	    calloc(count_targets(draft) + 1, sizeof(*snap->targets));
	snap->strings = malloc(strings_bytes(draft));
	return snap->services == NULL || snap->rules == NULL ||
		snap->targets == NULL || snap->strings == NULL
	    ? BG_ENOMEM
	    : 0;
}

static int
check_rule(const struct bg_snapshot *snap, const struct bg_rule *rule,
    struct bg_error *err)
{
	uint64_t weight = 0;
	size_t i;

	if (rule->prefix[0] != '/')
		return fail(err, rule->name, "expected a path prefix");
	if (rule->timeout_ms == 0 || rule->attempts == 0)
		return fail(
		    err, rule->name, "expected a timeout and attempts above 0");
	for (i = 0; i < rule->target_count; i++) {
		weight += rule->targets[i].weight;
		if (bg_snapshot_service(snap, rule->targets[i].service) == NULL)
			return fail(err, rule->targets[i].service,
			    "a route refers to this service, which does not "
			    "exist");
	}
	if (weight == 0)
		return fail(
		    err, rule->name, "expected a target with a weight above 0");
	return 0;
}

/* 1 if an earlier rule of the same host and path conflicts with the rule. Rules
 * of one host and path are neighbours in the sort order. */
static int
has_conflict(const struct bg_snapshot *snap, size_t index)
{
	const struct bg_rule *rule = &snap->rules[index];
	const struct bg_rule *earlier;
	size_t i;

	for (i = index; i > 0; i--) {
		earlier = &snap->rules[i - 1];
		if (bg_rule_compare_key(earlier, rule->host, rule->prefix,
			bg_prefix_bytes(rule->prefix)) != 0)
			return 0;
		if (bg_rule_conflicts(earlier, rule))
			return 1;
	}
	return 0;
}

static int
check_rules(const struct bg_snapshot *snap, struct bg_error *err)
{
	size_t i;
	int error;

	for (i = 0; i < snap->rule_count; i++) {
		if ((error = check_rule(snap, &snap->rules[i], err)) != 0)
			return error;
		if (has_conflict(snap, i))
			return fail(err, snap->rules[i].name,
			    "another route has the same host, path and method");
	}
	return 0;
}

int
bg_snapshot_assemble(struct bg_snapshot **out,
    const struct bg_snapshot_draft *draft, struct bg_error *err)
{
	struct bg_snapshot *snap;
	int error;

	*out = NULL;
	if ((snap = calloc(1, sizeof(*snap))) == NULL)
		return out_of_memory(err);
	snap->reference_count = 1;
	snap->version = draft->version;
	snap->limits = draft->limits;
	snap->organisation_set = bg_organisations_acquire(draft->organisations);
	snap->organisations = bg_organisations_items(
	    snap->organisation_set, &snap->organisation_count);
	if (allocate(snap, draft) != 0) {
		bg_snapshot_release(snap);
		return out_of_memory(err);
	}
	if (draft->service_count > 0)
		memcpy(snap->services, draft->services,
		    draft->service_count * sizeof(*snap->services));
	snap->service_count = draft->service_count;
	qsort(snap->services, snap->service_count, sizeof(*snap->services),
	    bg_service_compare);
	copy_rules(snap, draft);
	qsort(
	    snap->rules, snap->rule_count, sizeof(*snap->rules), compare_rules);
	if ((error = check_rules(snap, err)) != 0) {
		bg_snapshot_release(snap);
		return error;
	}
	*out = snap;
	return 0;
}
