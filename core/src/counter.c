#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

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

int
bg_counter_render(char **out, size_t *out_bytes)
{
	const struct bg_counter *ctr;
	FILE *fp;

	*out = NULL;
	if ((fp = open_memstream(out, out_bytes)) == NULL)
		return BG_ENOMEM;
	for (ctr = registry; ctr != NULL; ctr = ctr->next) {
		fprintf(fp, "# HELP %s %s\n# TYPE %s %s\n%s %" PRId64 "\n",
		    ctr->name, ctr->help, ctr->name,
		    ctr->is_gauge ? "gauge" : "counter", ctr->name, ctr->value);
	}
	if (fclose(fp) != 0) {
		free(*out);
		*out = NULL;
		return BG_ENOMEM;
	}
	return 0;
}
