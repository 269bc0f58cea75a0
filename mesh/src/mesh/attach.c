#include <stdio.h>
#include <string.h>

#include "mesh/attach.h"

void
bg_attach_init(struct bg_attach *out, uint64_t seed, uint64_t now_ms)
{
	static const struct bg_backoff backoff = BG_BACKOFF_INIT;

	memset(out, 0, sizeof(*out));
	out->backoff = backoff;
	bg_rand_init(&out->rand, seed);
	out->unattached_since_ms = now_ms;
}

int
bg_attach_is_avoided(
    const struct bg_attach *att, const char *address, uint64_t now_ms)
{
	size_t i;

	for (i = 0; i < BG_ATTACH_FAILED_MAX; i++) {
		if (att->failed[i].until_ms > now_ms &&
		    strcmp(att->failed[i].address, address) == 0)
			return 1;
	}
	return 0;
}

static int
is_own_live(const struct bg_attach_input *in, const struct bg_member *m)
{
	return !m->is_dead && m->state != BG_MEMBER_LEAVING &&
	    strcmp(m->data_centre, in->settings->node.data_centre) == 0 &&
	    strcmp(m->address, in->self) != 0;
}

/* The live member of the data centre with the lowest address. */
static const char *
lowest_member(const struct bg_attach *att, const struct bg_attach_input *in)
{
	size_t i;

	for (i = 0; i < in->roster->member_count; i++) {
		const struct bg_member *m =
		    &in->roster->members[in->roster->by_address[i]];

		if (is_own_live(in, m) &&
		    !bg_attach_is_avoided(att, m->address, in->now_ms))
			return m->address;
	}
	return NULL;
}

/* Any live member: it is a parent or redirects to one. A random choice spreads
 * the children of a lost parent. */
static const char *
random_member(struct bg_attach *att, const struct bg_attach_input *in)
{
	const char *chosen = NULL;
	uint64_t seen = 0;
	size_t i;

	for (i = 0; i < in->roster->member_count; i++) {
		const struct bg_member *m = &in->roster->members[i];

		if (!is_own_live(in, m) ||
		    bg_attach_is_avoided(att, m->address, in->now_ms))
			continue;
		if (bg_rand_below(&att->rand, ++seen) == 0)
			chosen = m->address;
	}
	return chosen;
}

static const char *
next_seed(struct bg_attach *att, const struct bg_attach_input *in)
{
	size_t count = in->settings->mesh.seed_count;
	size_t i;

	for (i = 0; i < count; i++) {
		const char *seed =
		    in->settings->mesh.seeds[att->next_seed++ % count];

		if (strcmp(seed, in->self) != 0 &&
		    !bg_attach_is_avoided(att, seed, in->now_ms))
			return seed;
	}
	return NULL;
}

static int
may_lead(const struct bg_attach *att, const struct bg_attach_input *in)
{
	const char *lowest = lowest_member(att, in);

	if (!in->is_platform_down ||
	    in->now_ms - att->unattached_since_ms < BG_ATTACH_LEAD_MS)
		return 0;
	return lowest == NULL || strcmp(in->self, lowest) < 0;
}

int
bg_attach_hint(char out[BG_ADDRESS_BYTES], struct bg_attach *att,
    const struct bg_attach_input *in)
{
	if (att->hint[0] == '\0' || in->now_ms < att->not_before_ms)
		return 0;
	snprintf(out, BG_ADDRESS_BYTES, "%s", att->hint);
	att->hint[0] = '\0';
	return strcmp(out, in->self) != 0;
}

enum bg_attach_action
bg_attach_next(char out[BG_ADDRESS_BYTES], struct bg_attach *att,
    const struct bg_attach_input *in)
{
	const char *chosen = NULL;

	if (in->now_ms < att->not_before_ms)
		return BG_ATTACH_WAIT;
	if (bg_attach_hint(out, att, in))
		return BG_ATTACH_TRY;
	if (may_lead(att, in))
		return BG_ATTACH_LEAD;
	/* Without platform all choose the same member, so that one tree
	 * grows instead of many. */
	chosen = in->is_platform_down ? lowest_member(att, in)
				      : random_member(att, in);
	if (chosen == NULL)
		chosen = next_seed(att, in);
	if (chosen == NULL)
		return BG_ATTACH_WAIT;
	snprintf(out, BG_ADDRESS_BYTES, "%s", chosen);
	return BG_ATTACH_TRY;
}

void
bg_attach_failed(struct bg_attach *att, const char *address, uint32_t retry_ms,
    uint64_t now_ms)
{
	uint32_t delay_ms = bg_backoff_next_ms(&att->backoff, &att->rand);
	size_t slot = att->failed_next++ % BG_ATTACH_FAILED_MAX;

	/* A parent that asked to wait is alive; it is not avoided. */
	if (retry_ms != 0) {
		att->not_before_ms =
		    now_ms + retry_ms + bg_rand_below(&att->rand, retry_ms);
		return;
	}
	snprintf(att->failed[slot].address, sizeof(att->failed[slot].address),
	    "%s", address);
	att->failed[slot].until_ms = now_ms + BG_ATTACH_AVOID_MS;
	att->not_before_ms = now_ms + delay_ms;
}

void
bg_attach_redirected(
    struct bg_attach *att, const char *address, uint64_t now_ms)
{
	if (address[0] == '\0' || bg_attach_is_avoided(att, address, now_ms))
		return;
	snprintf(att->hint, sizeof(att->hint), "%s", address);
	att->not_before_ms = now_ms;
}

void
bg_attach_succeeded(struct bg_attach *att)
{
	bg_backoff_reset(&att->backoff);
	att->hint[0] = '\0';
	att->not_before_ms = 0;
}

void
bg_attach_lost(struct bg_attach *att, uint64_t now_ms)
{
	att->unattached_since_ms = now_ms;
	att->not_before_ms = now_ms;
}
