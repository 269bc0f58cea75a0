#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "update.h"

void
bg_update_nonce(char out[BG_NONCE_BYTES])
{
	struct bg_rand rnd;
	uint64_t high;

	bg_rand_init(&rnd, 0);
	high = bg_rand_next(&rnd);
	snprintf(out, BG_NONCE_BYTES, "%016" PRIx64 "%016" PRIx64, high,
	    bg_rand_next(&rnd));
}

void
bg_update_finalize(struct bg_head *head, uint64_t base_version,
    const char *writer, const char *nonce)
{
	size_t i;

	head->version = base_version + 1;
	for (i = 0; i < head->service_count; i++) {
		if (head->services[i].changed > head->version)
			head->services[i].changed = head->version;
	}
	snprintf(head->writer, sizeof(head->writer), "%s", writer);
	snprintf(head->nonce, sizeof(head->nonce), "%s", nonce);
}

enum bg_update_state
bg_update_state(const struct bg_head *head, uint64_t revision,
    uint64_t base_revision, const char *writer, const char *nonce)
{
	if (strcmp(head->nonce, nonce) == 0 &&
	    strcmp(head->writer, writer) == 0)
		return BG_UPDATE_APPLIED;
	return revision == base_revision ? BG_UPDATE_PENDING
					 : BG_UPDATE_SUPERSEDED;
}
