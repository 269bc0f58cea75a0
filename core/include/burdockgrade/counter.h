#ifndef BURDOCKGRADE_COUNTER_H
#define BURDOCKGRADE_COUNTER_H

/** @file
 * Counters and gauges of the process, rendered in the Prometheus text
 * exposition format.
 *
 * Counters are static variables of the modules that use them. The first use
 * links a counter into a global registry, so that a later increment is a single
 * addition. Counters that were never used are not rendered.
 */

#include <stddef.h>
#include <stdint.h>

struct bg_counter {
	const char *name; /**< with its labels, for example
			       "burdock_calls_total{outcome=\"done\"}" */
	const char *help; /**< text of the HELP line of the metric */
	int is_gauge;
	int64_t value;
	struct bg_counter *next; /**< next in the registry */
	int registered;
};

/** Initializer of a static counter with name n and help text h. */
#define BG_COUNTER(n, h)                \
	{                               \
		(n), (h), 0, 0, NULL, 0 \
	}
/** Initializer of a static gauge with name n and help text h. */
#define BG_GAUGE(n, h)                  \
	{                               \
		(n), (h), 1, 0, NULL, 0 \
	}

void bg_counter_add(struct bg_counter *ctr, int64_t delta);
void bg_counter_set(struct bg_counter *ctr, int64_t value);

/**
 * Renders all registered counters.
 *
 * @param out NUL-terminated text, to be freed with free(); NULL on error
 * @param out_bytes length of the text
 * @return 0 or BG_ENOMEM
 */
int bg_counter_render(char **out, size_t *out_bytes);

#endif
