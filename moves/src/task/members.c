#include <string.h>
#include <xxhash.h>

#include "burdockgrade/clock.h"

#include "task.h"

static void
count_verdict(
    struct bg_plan_input *in, const struct bg_member *m, uint32_t step)
{
	int is_of_step = m->verdict_step == step ||
	    m->verdict_step == BG_VERDICT_STEP_UNKNOWN;

	in->bad_new += m->verdict == BG_VERDICT_BAD;
	if (!is_of_step)
		return;
	in->bad_in_step += m->verdict == BG_VERDICT_BAD;
	in->good_new += m->verdict == BG_VERDICT_GOOD;
	in->idle_new += m->verdict == BG_VERDICT_IDLE;
}

/* Counts the ready servers of a service by version and verdict. */
static void
count_servers(struct bg_plan_input *in, const struct bg_moves *mvs,
    const struct bg_tracked_move *trk)
{
	const struct bg_member *m;
	size_t count = bg_roster_service(
	    &m, bg_mesh_roster(mvs->options.mesh), trk->service);
	size_t i;

	for (i = 0; i < count; i++) {
		if (m[i].state != BG_MEMBER_READY)
			continue;
		if (strcmp(m[i].server_version, trk->move.to) != 0) {
			in->ready_old++;
			continue;
		}
		in->ready_new++;
		if (m[i].verdict_generation == trk->move.generation)
			count_verdict(in, &m[i], trk->move.step);
	}
}

/* Age of the move. Only its age when this process first saw it comes from the
 * wall clock, since the clocks of nodes differ and may jump. */
static uint64_t
move_age_ms(const struct bg_tracked_move *trk, uint64_t now_ms)
{
	return trk->initial_age_ms + (now_ms - trk->first_seen_ms);
}

void
bg_moves_plan_input(struct bg_plan_input *out, const struct bg_moves *mvs,
    const struct bg_tracked_move *trk, uint64_t now_ms)
{
	uint64_t age = move_age_ms(trk, now_ms);

	memset(out, 0, sizeof(*out));
	count_servers(out, mvs, trk);
	out->step_age_ms = now_ms - trk->step_seen_ms;
	out->left_ms =
	    age < trk->policy.take_over_ms ? trk->policy.take_over_ms - age : 0;
	out->now_wall_ms = bg_clock_wall_ms();
	if (trk->move.generation == mvs->judge.generation &&
	    mvs->judge.reason[0] != '\0')
		out->reason = mvs->judge.reason;
}

/* Rank of this node in the order of nodes for a service. The order is by hash
 * of the address, seeded with the service. */
uint32_t
bg_moves_node_rank(const struct bg_moves *mvs, const char *service)
{
	const struct bg_roster *ros = bg_mesh_roster(mvs->options.mesh);
	const char *self = bg_mesh_address(mvs->options.mesh);
	uint64_t seed = XXH64(service, strlen(service), 0);
	uint64_t own = XXH64(self, strlen(self), seed);
	uint32_t rank = 0;
	size_t i;

	for (i = 0; i < ros->member_count; i++)
		rank += XXH64(ros->members[i].address,
			    strlen(ros->members[i].address), seed) < own;
	return rank;
}

/* Finds the version to move to: that of the latest ready server, by
 * incarnation, whose version was not tried before. */
const char *
bg_moves_find_candidate(const struct bg_tracked_move *trk)
{
	const struct bg_member *newest = NULL;
	const struct bg_member *m;
	size_t count = bg_roster_service(
	    &m, bg_mesh_roster(trk->moves->options.mesh), trk->service);
	size_t i;

	for (i = 0; i < count; i++) {
		if (m[i].state != BG_MEMBER_READY ||
		    bg_move_is_retired(&trk->move, m[i].server_version))
			continue;
		if (newest == NULL || m[i].incarnation > newest->incarnation)
			newest = &m[i];
	}
	return newest == NULL ? NULL : newest->server_version;
}
