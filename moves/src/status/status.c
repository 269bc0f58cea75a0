#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "status.h"

void
bg_status_view_init(struct bg_status_view *out,
    const struct bg_state_summary *summaries, size_t count,
    uint64_t now_wall_ms)
{
	memset(out, 0, sizeof(*out));
	out->now_ms = now_wall_ms;
	if (count > BG_DATA_CENTRES_MAX)
		count = BG_DATA_CENTRES_MAX;
	if (count > 0)
		memcpy(out->summaries, summaries, count * sizeof(*summaries));
	out->summary_count = count;
}

static uint64_t
summary_age_ms(const struct bg_state_summary *sum, uint64_t now_ms)
{
	return now_ms > sum->written_ms ? now_ms - sum->written_ms : 0;
}

int
bg_status_is_confirmed(const struct bg_status_view *view, uint64_t version)
{
	const struct bg_state_summary *sum;
	size_t fresh = 0;
	size_t i;

	for (i = 0; i < view->summary_count; i++) {
		sum = &view->summaries[i];
		if (summary_age_ms(sum, view->now_ms) >
		    BG_STATUS_SUMMARY_MAX_AGE_MS)
			continue;
		fresh++;
		if (sum->confirmed_version < version)
			return 0;
	}
	return fresh > 0;
}

static const struct bg_state_summary *
find_refusal(const struct bg_status_view *view, uint64_t version)
{
	size_t i;

	for (i = 0; i < view->summary_count; i++) {
		if (view->summaries[i].refused_version >= version)
			return &view->summaries[i];
	}
	return NULL;
}

static uint64_t
oldest_summary_age_ms(const struct bg_status_view *view)
{
	uint64_t oldest = 0;
	uint64_t age_ms;
	size_t i;

	for (i = 0; i < view->summary_count; i++) {
		age_ms = summary_age_ms(&view->summaries[i], view->now_ms);
		if (age_ms > oldest)
			oldest = age_ms;
	}
	return oldest;
}

static const char *
version_or_dash(const char *server_version)
{
	return server_version[0] == '\0' ? "-" : server_version;
}

static void
describe_move(struct bg_status_line *out, const struct bg_move *move,
    int confirmed, uint64_t bad_generation)
{
	out->server_version = version_or_dash(move->to);
	out->serving = version_or_dash(
	    move->state == BG_MOVE_DONE ? move->to : move->from);
	switch (move->state) {
	case BG_MOVE_NONE:
	case BG_MOVE_DONE:
		out->state = confirmed ? "done" : "in progress";
		break;
	case BG_MOVE_IN_PROGRESS:
		out->state = "in progress";
		out->since_ms = move->started_ms;
		out->is_late = move->is_late;
		break;
	case BG_MOVE_ROLLED_BACK:
		out->state = confirmed ? "rolled back" : "in progress";
		out->note = confirmed ? NULL : "rolling-back";
		out->reason = move->reason;
		return;
	}
	/* Nodes stop using a bad version at once; the head is updated later. */
	if (bad_generation >= move->generation && bad_generation != 0) {
		out->state = "in progress";
		out->note = "rolling-back";
	}
}

void
bg_status_line(struct bg_status_line *out, const struct bg_service *svc,
    const struct bg_status_view *view, uint64_t bad_generation)
{
	const struct bg_head_service *head = &svc->head;
	const struct bg_state_summary *refusal;
	int confirmed = bg_status_is_confirmed(view, head->changed);

	memset(out, 0, sizeof(*out));
	out->service = head->name;
	out->config_version = head->changed;
	out->since_ms = head->since_ms;
	out->age_ms = oldest_summary_age_ms(view);
	describe_move(out, &head->move, confirmed, bad_generation);
	if (head->is_withdrawn && confirmed &&
	    strcmp(out->state, "done") == 0) {
		out->state = "rolled back";
		out->note = "withdrawn";
	}
	if ((refusal = find_refusal(view, head->changed)) != NULL &&
	    !confirmed) {
		out->note = "refused";
		out->reason = refusal->refused_reason;
	}
}
