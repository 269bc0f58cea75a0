#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/counter.h"
#include "burdockgrade/error.h"

static struct bg_counter *registry;

static void
register_once(struct bg_counter *ctr)
{
	if (ctr->registered)
		return;
	ctr->registered = 1;
	ctr->next = registry;
	registry = ctr;
}

void
bg_counter_add(struct bg_counter *ctr, int64_t delta)
{
	register_once(ctr);
	ctr->value += delta;
}

void
bg_counter_set(struct bg_counter *ctr, int64_t value)
{
	register_once(ctr);
	ctr->value = value;
}

/* Length of the name of the metric family, which is the name without labels. */
static size_t
family_bytes(const struct bg_counter *ctr)
{
	return strcspn(ctr->name, "{");
}

static int
is_same_family(const struct bg_counter *a, const struct bg_counter *b)
{
	return family_bytes(a) == family_bytes(b) &&
	    strncmp(a->name, b->name, family_bytes(a)) == 0;
}

static int
is_first_of_family(const struct bg_counter *ctr)
{
	const struct bg_counter *other;

	for (other = registry; other != ctr; other = other->next) {
		if (is_same_family(other, ctr))
			return 0;
	}
	return 1;
}

/* The exposition format requires all samples of a family in one group, after
 * its HELP and TYPE lines. */
static void
render_family(FILE *fp, const struct bg_counter *first)
{
	const struct bg_counter *ctr;
	int name_bytes = (int)family_bytes(first);

	fprintf(fp, "# HELP %.*s %s\n# TYPE %.*s %s\n", name_bytes, first->name,
	    first->help, name_bytes, first->name,
	    first->is_gauge ? "gauge" : "counter");
	for (ctr = first; ctr != NULL; ctr = ctr->next) {
		if (is_same_family(ctr, first))
			fprintf(fp, "%s %" PRId64 "\n", ctr->name, ctr->value);
	}
}

int
bg_counter_render(char **out, size_t *out_bytes)
{
	const struct bg_counter *ctr;
	FILE *fp;

	*out = NULL;
	if ((fp = open_memstream(out, out_bytes)) == NULL)
		return BG_ENOMEM;
	for (ctr = registry; ctr != NULL; ctr = ctr->next) {
		if (is_first_of_family(ctr))
			render_family(fp, ctr);
	}
	if (fclose(fp) != 0) {
		free(*out);
		*out = NULL;
		return BG_ENOMEM;
	}
	return 0;
}
