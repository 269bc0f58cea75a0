#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "freshness/freshness.h"

static struct bg_freshness_candidate *
find(struct bg_freshness *fr, const char *address)
{
	size_t i;

	for (i = 0; i < fr->candidate_count; i++) {
		if (strcmp(fr->candidates[i].address, address) == 0)
			return &fr->candidates[i];
	}
	return NULL;
}

uint64_t
bg_freshness_rank(const char *address)
{
	return XXH64(address, strlen(address), 0);
}

static int
has_failed(const struct bg_freshness *fr, const struct bg_member *member,
    uint64_t now_ms)
{
	const struct bg_freshness_failure *failure;
	size_t i;

	for (i = 0; i < BG_FRESHNESS_FAILURES_MAX; i++) {
		failure = &fr->failures[i];
		if (now_ms < failure->retry_ms &&
		    failure->node.incarnation == member->incarnation &&
		    strcmp(failure->node.address, member->address) == 0)
			return 1;
	}
	return 0;
}

/* @param data_centre NULL: any
 * @return the first member that may become a candidate, or NULL */
static const struct bg_member *
find_first(struct bg_freshness *fr, const struct bg_roster *ros,
    const char *data_centre, uint64_t now_ms)
{
	const struct bg_member *first = NULL;
	const struct bg_member *m;
	uint64_t first_rank = UINT64_MAX;
	uint64_t rank;
	size_t i;

	for (i = 0; i < ros->member_count; i++) {
		m = &ros->members[i];
		if (m->state == BG_MEMBER_LEAVING ||
		    (data_centre != NULL &&
			strcmp(m->data_centre, data_centre) != 0))
			continue;
		rank = bg_freshness_rank(m->address);
		if (rank >= first_rank || find(fr, m->address) != NULL ||
		    has_failed(fr, m, now_ms))
			continue;
		first = m;
		first_rank = rank;
	}
	return first;
}

static void
add_candidates(struct bg_freshness *fr, const struct bg_roster *ros,
    const char *data_centre, size_t limit, uint64_t now_ms)
{
	struct bg_freshness_candidate *candidate;
	const struct bg_member *m;

	while (fr->candidate_count < limit &&
	    (m = find_first(fr, ros, data_centre, now_ms)) != NULL) {
		candidate = &fr->candidates[fr->candidate_count++];
		snprintf(candidate->address, sizeof(candidate->address), "%s",
		    m->address);
		candidate->incarnation = m->incarnation;
	}
}

void
bg_freshness_set_candidates(struct bg_freshness *fr,
    const struct bg_roster *ros, const char *data_centre, uint64_t now_ms)
{
	fr->candidate_count = 0;
	add_candidates(fr, ros, NULL, BG_FRESHNESS_COMMON_CANDIDATES, now_ms);
	add_candidates(
	    fr, ros, data_centre, BG_FRESHNESS_CANDIDATES_MAX, now_ms);
}

void
bg_freshness_begin(struct bg_freshness *fr)
{
	fr->next = 0;
	fr->lost_count = 0;
}

const char *
bg_freshness_next(struct bg_freshness *fr)
{
	if (fr->next < fr->candidate_count)
		return fr->candidates[fr->next++].address;
	if (fr->lost_count >= BG_FRESHNESS_LOST_MIN)
		fr->failed_checks = 0;
	else
		fr->failed_checks++;
	return NULL;
}

int
bg_freshness_handle_answer(
    struct bg_freshness *fr, uint32_t age_ms, uint64_t now_ms)
{
	if (age_ms > BG_FRESHNESS_AGE_MAX_MS) {
		fr->lost_count++;
		return 0;
	}
	if (now_ms - age_ms > fr->confirmed_ms)
		fr->confirmed_ms = now_ms - age_ms;
	fr->failed_checks = 0;
	return 1;
}

void
bg_freshness_handle_failure(
    struct bg_freshness *fr, const char *address, uint64_t now_ms)
{
	struct bg_freshness_candidate *candidate = find(fr, address);
	struct bg_freshness_failure *failure;

	if (candidate == NULL)
		return;
	failure = &fr->failures[fr->next_failure];
	failure->node = *candidate;
	failure->retry_ms = now_ms + BG_FRESHNESS_RETRY_MS;
	fr->next_failure = (fr->next_failure + 1) % BG_FRESHNESS_FAILURES_MAX;
}

int
bg_freshness_must_read(const struct bg_freshness *fr)
{
	return fr->failed_checks >= BG_FRESHNESS_FAILED_CHECKS_MAX;
}
