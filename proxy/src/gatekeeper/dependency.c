#include "dependency.h"

void
bg_dependency_begin(struct bg_dependency_time *dep, uint64_t now_us)
{
	if (dep->running++ == 0)
		dep->since_us = now_us;
}

void
bg_dependency_end(
    struct bg_dependency_time *dep, uint64_t now_us, int is_failed)
{
	if (is_failed)
		dep->has_failed = 1;
	if (dep->running > 0 && --dep->running == 0)
		dep->total_us += now_us - dep->since_us;
}

uint64_t
bg_dependency_own_us(
    const struct bg_dependency_time *dep, uint64_t started_us, uint64_t now_us)
{
	uint64_t total_us = now_us - started_us;
	uint64_t spent_us = dep->total_us;

	if (dep->running > 0)
		spent_us += now_us - dep->since_us;
	return spent_us < total_us ? total_us - spent_us : 0;
}
