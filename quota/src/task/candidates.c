#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "candidates.h"

struct data_centres {
	const char *names[BG_QUOTA_SHARES_MAX];
	size_t count;
};

/* Inserts a name in order, unless it is there. */
static void
add_data_centre(struct data_centres *out, const char *name)
{
	size_t at = 0;

	while (at < out->count && strcmp(out->names[at], name) < 0)
		at++;
	if ((at < out->count && strcmp(out->names[at], name) == 0) ||
	    out->count == BG_QUOTA_SHARES_MAX)
		return;
	memmove(&out->names[at + 1], &out->names[at],
	    (out->count - at) * sizeof(out->names[0]));
	out->names[at] = name;
	out->count++;
}

static void
list_data_centres(struct data_centres *out, const struct bg_roster *ros)
{
	size_t i;

	out->count = 0;
	for (i = 0; i < ros->member_count; i++)
		add_data_centre(out, ros->members[i].data_centre);
}

static uint64_t
weight(const char *address, uint32_t share, uint32_t group)
{
	return XXH64(
	    address, strlen(address), ((uint64_t)share << 32 | group) + 1);
}

/* Inserts an address behind those of greater weight. */
static void
add_candidate(struct bg_candidates *out, uint64_t weights[BG_CANDIDATES_MAX],
    const char *address, uint64_t value)
{
	size_t at = out->count;
	size_t i;

	while (at > 0 && weights[at - 1] < value)
		at--;
	if (at == BG_CANDIDATES_MAX)
		return;
	if (out->count < BG_CANDIDATES_MAX)
		out->count++;
	for (i = out->count - 1; i > at; i--) {
		weights[i] = weights[i - 1];
		memcpy(
		    out->addresses[i], out->addresses[i - 1], BG_ADDRESS_BYTES);
	}
	weights[at] = value;
	snprintf(out->addresses[at], BG_ADDRESS_BYTES, "%s", address);
}

void
bg_candidates_find(struct bg_candidates *out, const struct bg_roster *ros,
    uint32_t share, uint32_t group)
{
	uint64_t weights[BG_CANDIDATES_MAX] = {0};
	const struct bg_member *m;
	struct data_centres dcs;
	const char *dc;
	size_t i;

	out->count = 0;
	list_data_centres(&dcs, ros);
	if (dcs.count == 0)
		return;
	dc = dcs.names[share % dcs.count];
	for (i = 0; i < ros->member_count; i++) {
		m = &ros->members[i];
		if (strcmp(m->data_centre, dc) == 0 &&
		    m->state != BG_MEMBER_LEAVING)
			add_candidate(out, weights, m->address,
			    weight(m->address, share, group));
	}
}

int
bg_candidates_rank(const struct bg_candidates *cands, const char *address)
{
	size_t i;

	for (i = 0; i < cands->count; i++) {
		if (strcmp(cands->addresses[i], address) == 0)
			return (int)i;
	}
	return -1;
}

int
bg_candidates_rank_without(const struct bg_candidates *cands,
    const char *address, const char *gone_address)
{
	int rank = bg_candidates_rank(cands, address);
	int gone = bg_candidates_rank(cands, gone_address);

	return rank > gone && gone >= 0 ? rank - 1 : rank;
}

uint32_t
bg_candidates_home_share(
    const struct bg_roster *ros, const char *data_centre, uint32_t shares)
{
	struct data_centres dcs;
	uint32_t i;

	list_data_centres(&dcs, ros);
	for (i = 0; i < dcs.count; i++) {
		if (strcmp(dcs.names[i], data_centre) == 0)
			return i % shares;
	}
	return 0;
}

uint32_t
bg_candidates_group(const char *organisation, uint32_t groups)
{
	return (
	    uint32_t)(XXH64(organisation, strlen(organisation), 0) % groups);
}
