#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "contract_set.h"

const struct bg_contract *
bg_contract_set_find(
    const struct bg_contract *const *set, size_t count, const char *name)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (strcmp(set[i]->name, name) == 0)
			return set[i];
	return NULL;
}

const struct bg_contract *
bg_contract_set_find_conflict(const struct bg_contract *const *set,
    size_t count, const struct bg_contract *ctr, const struct bg_route *rt)
{
	const struct bg_route *other;
	size_t i;
	size_t j;

	for (i = 0; i < count; i++) {
		if (strcmp(set[i]->name, ctr->name) == 0)
			continue;
		for (j = 0; j < set[i]->route_count; j++) {
			other = &set[i]->routes[j];
			if ((other->methods & rt->methods) != 0 &&
			    strcmp(other->prefix, rt->prefix) == 0)
				return set[i];
		}
	}
	return NULL;
}

int
bg_contract_set_check(
    const struct bg_contract *const *set, size_t count, struct bg_error *err)
{
	const struct bg_contract *ctr;
	const struct bg_contract *other;
	size_t i;
	size_t j;

	for (i = 0; i < count; i++) {
		ctr = set[i];
		for (j = 0; j < ctr->dependency_count; j++)
			if (bg_contract_set_find(
				set, count, ctr->dependencies[j]) == NULL)
				return bg_error_set(err, BG_EINVAL, "validate",
				    NULL,
				    "service %s: dependency %s: expected a "
				    "service that exists",
				    ctr->name, ctr->dependencies[j]);
		for (j = 0; j < ctr->route_count; j++) {
			other = bg_contract_set_find_conflict(
			    set, count, ctr, &ctr->routes[j]);
			if (other != NULL)
				return bg_error_set(err, BG_EINVAL, "validate",
				    NULL,
				    "service %s: route %s: expected a path "
				    "and method that %s does not have",
				    ctr->name, ctr->routes[j].name,
				    other->name);
		}
	}
	return 0;
}

/* Breadth-first search for the shortest cycle through the target. */
struct cycle_search {
	const struct bg_contract *const *set;
	size_t count;
	const char *target;
	/* For each service the index of the one that depends on it, plus 1; 0:
	 * not reached yet. */
	size_t *predecessor;
	size_t *queue;
	size_t queue_length;
};

static void
enqueue(struct cycle_search *cs, size_t from, const char *name)
{
	size_t i;

	for (i = 0; i < cs->count; i++) {
		if (strcmp(cs->set[i]->name, name) != 0 ||
		    cs->predecessor[i] != 0)
			continue;
		cs->predecessor[i] = from + 1;
		cs->queue[cs->queue_length++] = i;
	}
}

/* Follows the predecessors from the target back to itself and writes the cycle
 * in forward order. Of a longer cycle only the last BG_DEPENDENCIES_MAX
 * services are written, after "...". */
static void
write_path(
    char *out, size_t out_bytes, const struct cycle_search *cs, size_t start)
{
	size_t chain[BG_DEPENDENCIES_MAX];
	size_t depth = 0;
	size_t idx = start;
	size_t len;

	do {
		idx = cs->predecessor[idx] - 1;
		chain[depth++] = idx;
	} while (idx != start && depth < BG_DEPENDENCIES_MAX);
	len = (size_t)snprintf(out, out_bytes, "%s", cs->target);
	if (idx == start)
		depth--;
	else
		len += (size_t)snprintf(out + len, out_bytes - len, " -> ...");
	while (depth-- > 0 && len < out_bytes)
		len += (size_t)snprintf(out + len, out_bytes - len, " -> %s",
		    cs->set[chain[depth]]->name);
	if (len < out_bytes)
		snprintf(out + len, out_bytes - len, " -> %s", cs->target);
}

/* @return 1 if there is a cycle, else 0 */
static int
search_cycle(struct cycle_search *cs, char *out_path, size_t out_path_bytes)
{
	const struct bg_contract *ctr;
	size_t start = 0;
	size_t head;
	size_t j;

	while (
	    start < cs->count && strcmp(cs->set[start]->name, cs->target) != 0)
		start++;
	if (start == cs->count)
		return 0;
	for (j = 0; j < cs->set[start]->dependency_count; j++)
		enqueue(cs, start, cs->set[start]->dependencies[j]);
	for (head = 0; head < cs->queue_length; head++) {
		if (cs->queue[head] == start) {
			write_path(out_path, out_path_bytes, cs, start);
			return 1;
		}
		ctr = cs->set[cs->queue[head]];
		for (j = 0; j < ctr->dependency_count; j++)
			enqueue(cs, cs->queue[head], ctr->dependencies[j]);
	}
	return 0;
}

int
bg_contract_set_cycle(char *out_path, size_t out_path_bytes,
    const struct bg_contract *const *set, size_t count, const char *name)
{
	struct cycle_search cs = {set, count, name, NULL, NULL, 0};
	int found = BG_ENOMEM;

	cs.predecessor = calloc(count + 1, sizeof(*cs.predecessor));
	cs.queue = calloc(count + 1, sizeof(*cs.queue));
	if (cs.predecessor != NULL && cs.queue != NULL)
		found = search_cycle(&cs, out_path, out_path_bytes);
	free(cs.predecessor);
	free(cs.queue);
	return found;
}
