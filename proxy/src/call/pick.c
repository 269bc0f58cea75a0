#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "call_cost.h"
#include "call_internal.h"
#include "cold_call.h"

/* The gatekeeper of this node is called without a link. */
static int
is_reachable(void *arg, const char *address)
{
	struct bg_proxy *prx = arg;
	struct bg_link *link;

	if (strcmp(address, bg_mesh_address(prx->mesh)) == 0)
		return 1;
	return bg_link_pool_get(&link, prx->links, address, NULL) == 0 &&
	    bg_link_is_connected(link) && !bg_link_is_suspect(link);
}

/* Number of servers of the new version that receive its share of the calls, so
 * that each is as busy as it will be with all calls. */
static uint32_t
new_version_server_max(
    const struct bg_pick_query *q, const struct bg_move *move)
{
	uint32_t count = 0;
	size_t i;

	for (i = 0; i < q->member_count; i++)
		count += q->members[i].state == BG_MEMBER_READY &&
		    strcmp(q->members[i].server_version, move->to) == 0;
	return (count * move->share_permille + 999) / 1000;
}

static void
set_times(struct bg_pick_query *out, const struct bg_call *call)
{
	const struct bg_service *svc =
	    bg_snapshot_service(call->snapshot, call->service);
	uint64_t now_us = bg_clock_now_us();

	out->now_ms = bg_clock_now_ms();
	out->wall_ms = bg_clock_wall_ms();
	if (svc != NULL) {
		out->cold.duration_ms = svc->warmup_ms;
		out->cold.rate_milli_per_s = svc->warmup_milli_per_s;
	}
	out->left_us = bg_call_left_us(call);
	out->target_us = out->left_us;
	if (call->target_us != 0)
		out->target_us =
		    call->target_us > now_us ? call->target_us - now_us : 0;
}

/* @param avoid has room for BG_CALL_AVOID_MAX; used by the query */
static void
fill_query(struct bg_pick_query *out, const char **avoid, struct bg_call *call,
    const struct bg_version_choice *choice)
{
	struct bg_proxy *prx = call->proxy;
	size_t i;

	memset(out, 0, sizeof(*out));
	out->member_count = bg_roster_service(
	    &out->members, bg_mesh_roster(prx->mesh), call->service);
	out->route = call->rule->name;
	out->data_centre = prx->settings->node.data_centre;
	out->own_address = bg_mesh_address(prx->mesh);
	out->body_bytes = call->args.body.body_len;
	out->only_version = choice->only;
	out->except_version = choice->except;
	if (choice->move != NULL &&
	    choice->move->state == BG_MOVE_IN_PROGRESS) {
		out->verdict_version = choice->move->to;
		out->verdict_generation = choice->move->generation;
		out->server_max = new_version_server_max(out, choice->move);
	}
	out->is_reachable = is_reachable;
	out->arg = prx;
	for (i = 0; i < call->avoid_count; i++)
		avoid[i] = call->avoid[i];
	out->avoid = avoid;
	out->avoid_count = call->avoid_count;
	out->emptied = bg_mesh_emptied(prx->mesh);
	set_times(out, call);
	bg_call_fill_cost(out, call);
}

static int
pick(struct bg_pick *out, struct bg_call *call,
    const struct bg_version_choice *choice)
{
	const char *avoid[BG_CALL_AVOID_MAX];
	struct bg_pick_query q;

	fill_query(&q, avoid, call, choice);
	return bg_router_pick(out, &call->proxy->router, &q);
}

size_t
bg_call_candidates(struct bg_candidate **out, struct bg_call *call)
{
	const char *avoid[BG_CALL_AVOID_MAX];
	struct bg_version_choice choice;
	struct bg_pick_query q;

	bg_versions_choose(
	    &choice, &call->proxy->versions, call->service, call->rule);
	fill_query(&q, avoid, call, &choice);
	*out = calloc(q.member_count + 1, sizeof(**out));
	if (*out == NULL)
		return 0;
	bg_router_evaluate(*out, &call->proxy->router, &q);
	return q.member_count;
}

int
bg_call_pick_server(struct bg_pick *out, struct bg_call *call)
{
	struct bg_versions *versions = &call->proxy->versions;
	struct bg_version_choice choice;
	struct bg_version_choice fallback;
	int error;

	bg_versions_choose(&choice, versions, call->service, call->rule);
	error = pick(out, call, &choice);
	/* A call does not queue at a server of the new version if one of the
	 * old version can take it. Without one, it queues all the same. */
	if (error == 0 && !(choice.is_new && out->wait_us > 0))
		return 0;
	if (bg_versions_choose_fallback(
		&fallback, versions, call->service, &choice) != 0)
		return error;
	if (error == 0) {
		struct bg_pick old;

		if (pick(&old, call, &fallback) == 0)
			*out = old;
		return 0;
	}
	return pick(out, call, &fallback);
}

int
bg_call_is_emptied(const struct bg_call *call)
{
	struct bg_mesh *mesh = call->proxy->mesh;
	const struct bg_emptied_set *emptied = bg_mesh_emptied(mesh);
	const struct bg_member *m;
	size_t count;
	size_t i;

	if (emptied->count == 0 || call->service == NULL)
		return 0;
	count = bg_roster_service(&m, bg_mesh_roster(mesh), call->service);
	for (i = 0; i < count; i++) {
		if (m[i].state == BG_MEMBER_READY &&
		    bg_emptied_set_contains(emptied, m[i].data_centre))
			return 1;
	}
	return 0;
}

void
bg_call_avoid(struct bg_call *call, const char *address)
{
	if (call->avoid_count == BG_CALL_AVOID_MAX)
		return;
	snprintf(
	    call->avoid[call->avoid_count++], BG_ADDRESS_BYTES, "%s", address);
}

void
bg_call_record_attempt(
    struct bg_call *call, int code, const struct bg_xcall_res *res)
{
	uint64_t now_ms = bg_clock_now_ms();
	struct bg_load load;

	if (code != 0) {
		bg_endpoint_failed(call->endpoint, now_ms);
		return;
	}
	load.running = res->load.running;
	load.queued = res->load.queued;
	load.slots = res->load.slots;
	load.wait_us = res->load.wait_us;
	load.service_us = res->load.service_us;
	load.bad_permille = res->load.bad_permille;
	load.intake_wait_us = res->load.intake_wait_us;
	load.intake_bytes_per_ms = res->load.intake_bytes_per_ms;
	load.work_left_us = res->load_extension.work_left_us;
	load.slowness_permille = res->load_extension.slowness_permille;
	load.slowness_age_ms = res->load_extension.slowness_age_ms;
	load.cold_left_ms = res->load_extension.cold_left_ms;
	load.cold_starts_milli_per_s =
	    res->load_extension.cold_starts_milli_per_s;
	load.cold_starts_left = res->load_extension.cold_starts_left;
	bg_endpoint_answered(call->endpoint, call->rule->name, &load, now_ms);
	bg_call_learn_cost(call, res);
	if (res->outcome != BG_XOUTCOME_NOT_RUN)
		return;
	switch (res->refusal) {
	case BG_XREFUSAL_NO_SERVER:
	case BG_XREFUSAL_DRAINING:
	case BG_XREFUSAL_VERSION:
		bg_endpoint_set_not_ready(call->endpoint, now_ms);
		break;
	default:
		break;
	}
}

int
bg_call_is_hopeless(struct bg_call *call, const struct bg_pick *pick)
{
	uint64_t now_us = bg_clock_now_us();
	uint64_t useful_us = bg_call_left_us(call);

	/* A running request waits for a dependency call, so a late answer is
	 * better than none. */
	if (!call->is_dependency && call->target_us > now_us)
		useful_us = call->target_us - now_us;
	if (!bg_cold_call_is_hopeless(pick, call->picks, useful_us))
		return 0;
	call->cold_left_ms = pick->cold_left_ms;
	bg_metrics_count_cold_unsent();
	bg_log_info("call",
	    "not sent request=%s reason=cold service=%s picks=%u wait_us=%llu "
	    "cold_left_ms=%u",
	    call->args.request_id, call->service, call->picks,
	    (unsigned long long)pick->wait_us, pick->cold_left_ms);
	return 1;
}
