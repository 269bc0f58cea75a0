#include <stdio.h>
#include <string.h>

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

static int
has_run_longer(const struct bg_member *a, const struct bg_member *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation < b->incarnation;
	return strcmp(a->address, b->address) < 0;
}

/* @param data_centre NULL: any
 * @return the first member that is no candidate yet, or NULL */
static const struct bg_member *
find_first(struct bg_freshness *fr, const struct bg_roster *ros,
    const char *data_centre)
{
	const struct bg_member *first = NULL;
	const struct bg_member *m;
	size_t i;

	for (i = 0; i < ros->member_count; i++) {
		m = &ros->members[i];
		if (m->state == BG_MEMBER_LEAVING ||
		    (data_centre != NULL &&
			strcmp(m->data_centre, data_centre) != 0) ||
		    (first != NULL && !has_run_longer(m, first)))
			continue;
		if (find(fr, m->address) == NULL)
			first = m;
	}
	return first;
}

static void
add_candidates(struct bg_freshness *fr, const struct bg_roster *ros,
    const char *data_centre, size_t limit)
{
	struct bg_freshness_candidate *candidate;
	const struct bg_member *m;

	while (fr->candidate_count < limit &&
	    (m = find_first(fr, ros, data_centre)) != NULL) {
		candidate = &fr->candidates[fr->candidate_count++];
		memset(candidate, 0, sizeof(*candidate));
		snprintf(candidate->address, sizeof(candidate->address), "%s",
		    m->address);
		candidate->incarnation = m->incarnation;
	}
}

void
bg_freshness_set_candidates(struct bg_freshness *fr,
    const struct bg_roster *ros, const char *data_centre)
{
	struct bg_freshness before = *fr;
	struct bg_freshness_candidate *same;
	size_t i;

	if (fr->candidate_count > 0 && fr->roster_generation == ros->generation)
		return;
	fr->roster_generation = ros->generation;
	fr->candidate_count = 0;
	add_candidates(fr, ros, NULL, BG_FRESHNESS_COMMON_CANDIDATES);
	add_candidates(fr, ros, data_centre, BG_FRESHNESS_CANDIDATES_MAX);
	for (i = 0; i < before.candidate_count; i++) {
		same = find(fr, before.candidates[i].address);
		/* A restarted node is asked again. */
		if (same != NULL &&
		    same->incarnation == before.candidates[i].incarnation)
			same->retry_ms = before.candidates[i].retry_ms;
	}
}

void
bg_freshness_begin(struct bg_freshness *fr)
{
	fr->next = 0;
	fr->lost_count = 0;
}

const char *
bg_freshness_next(struct bg_freshness *fr, uint64_t now_ms)
{
	struct bg_freshness_candidate *candidate;

	while (fr->next < fr->candidate_count) {
		candidate = &fr->candidates[fr->next++];
		if (now_ms >= candidate->retry_ms)
			return candidate->address;
	}
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

	if (candidate != NULL)
		candidate->retry_ms = now_ms + BG_FRESHNESS_RETRY_MS;
}

int
bg_freshness_must_read(const struct bg_freshness *fr)
{
	return fr->failed_checks >= BG_FRESHNESS_FAILED_CHECKS_MAX;
}
