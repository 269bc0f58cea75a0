#ifndef BURDOCKGRADE_COUNTER_H
#define BURDOCKGRADE_COUNTER_H

/** @file
 * Counters and gauges of the process, rendered in the text exposition format.
 *
 * Counters live in static storage of the part that owns them and are linked
 * into one registry on first use, so that counting is one addition.
 */

#include <stddef.h>
#include <stdint.h>

struct bg_counter {
	const char *name; /**< for example "burdock_calls_total" */
	const char *help;
	int is_gauge;
	int64_t value;
	struct bg_counter *next;
	int registered;
};

/** Initializer of a static counter. */
#define BG_COUNTER(n, h)                \
	{                               \
		(n), (h), 0, 0, NULL, 0 \
	}
/** Initializer of a static gauge. */
#define BG_GAUGE(n, h)                  \
	{                               \
		(n), (h), 1, 0, NULL, 0 \
	}

void bg_counter_add(struct bg_counter *ctr, int64_t delta);
void bg_counter_set(struct bg_counter *ctr, int64_t value);

/**
 * Renders all registered counters.
 *
 * @param out buffer to be freed with free()
 * @return 0 or BG_ENOMEM
 */
int bg_counter_render(char **out, size_t *out_bytes);

#endif
