#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/burn.h"
#include "stats/stats.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Guards against damage by statistics that arrive from another process. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct bg_stat stats[4];
	struct bg_burn *brn;
	size_t count;

	bg_stat_decode(stats, &count, 4, (const char *)data, size);
	if (bg_burn_init(&brn) == 0) {
		bg_burn_merge(brn, (const char *)data, size);
		bg_burn_free(brn);
	}
	return 0;
}
