/* Explains where a request would go now, for operators. Makes the decisions of
 * a call up to its first attempt, on a call that is never started. */

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "call_cost.h"
#include "call_internal.h"

#define PERMILLE 1000

static json_t *
candidate_json(const struct bg_candidate *cand, int is_picked)
{
	const struct bg_member *m = cand->pick.member;
	const struct bg_endpoint *ep = cand->pick.endpoint;
	uint64_t now_ms = bg_clock_now_ms();
	json_t *out = json_pack("{s:s, s:s, s:s, s:s, s:b}", "node", m->address,
	    "server", m->server_id, "data_centre", m->data_centre, "version",
	    m->server_version, "picked", is_picked);

	if (cand->exclusion != BG_EXCLUSION_NONE)
		json_object_set_new(out, "excluded",
		    json_string(bg_exclusion_name(cand->exclusion)));
	if (ep == NULL)
		return out;
	json_object_update_new(out,
	    json_pack("{s:f, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "value",
		cand->pick.value, "wait_us", (json_int_t)cand->pick.wait_us,
		"service_us", (json_int_t)cand->pick.service_us, "load",
		(json_int_t)bg_endpoint_load(ep, now_ms), "slots",
		(json_int_t)(ep->load.slots != 0 ? ep->load.slots : m->slots),
		"work_left_us", (json_int_t)cand->pick.work_left_us,
		"slowness_permille", (json_int_t)cand->pick.slowness_permille,
		"cold_left_ms", (json_int_t)cand->pick.cold_left_ms));
	/* Without a report, the router assumes a usual server. */
	if (ep->reported_ms != 0)
		json_object_set_new(out, "report_age_ms",
		    json_integer((json_int_t)(now_ms - ep->reported_ms)));
	return out;
}

static json_t *
candidates_json(struct bg_call *call, const struct bg_pick *picked)
{
	struct bg_candidate *candidates;
	size_t count = bg_call_candidates(&candidates, call);
	json_t *out = json_array();
	size_t i;

	for (i = 0; i < count; i++)
		json_array_append_new(out,
		    candidate_json(&candidates[i],
			picked != NULL &&
			    picked->member == candidates[i].pick.member));
	free(candidates);
	return out;
}

static json_t *
move_json(const struct bg_call *call)
{
	const struct bg_move *move =
	    bg_versions_get_move(&call->proxy->versions, call->service);

	if (move == NULL || move->state != BG_MOVE_IN_PROGRESS)
		return json_null();
	return json_pack("{s:s, s:I}", "to", move->to, "share_permille",
	    (json_int_t)move->share_permille);
}

/* The outcome for a service of the rule. */
static json_t *
service_json(struct bg_call *call, uint32_t share_permille)
{
	struct bg_proxy *prx = call->proxy;
	struct bg_rand rand = prx->router.rand;
	struct bg_pick pick;
	const char *refusal = NULL;
	int error;

	bg_call_predict_cost(call);
	error = bg_call_pick_server(&pick, call);
	/* The next call shall be picked as if nobody had asked. */
	prx->router.rand = rand;
	if (error == BG_EUNAVAILABLE)
		refusal = "no backend server can be reached";
	else if (error != 0)
		refusal = bg_call_is_emptied(call)
		    ? "the data centres of all backend servers are emptied"
		    : "no backend server is available";
	return json_pack("{s:s, s:I, s:o, s:I, s:s, s:s?, s:o}", "service",
	    call->service, "share_permille", (json_int_t)share_permille, "move",
	    move_json(call), "cost_us",
	    (json_int_t)call->args.extension.cost_us, "cost_by",
	    bg_cost_trait_name(call->cost_trait), "refused", refusal, "servers",
	    candidates_json(call, error == 0 ? &pick : NULL));
}

static json_t *
services_json(struct bg_call *call)
{
	const struct bg_rule *rule = call->rule;
	json_t *out = json_array();
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < rule->target_count; i++)
		sum += rule->targets[i].weight;
	for (i = 0; i < rule->target_count; i++) {
		call->service = rule->targets[i].service;
		json_array_append_new(out,
		    service_json(call,
			(uint32_t)((uint64_t)rule->targets[i].weight *
			    PERMILLE / (sum == 0 ? 1 : sum))));
	}
	return out;
}

static const struct bg_organisation *
find_organisation(const struct bg_snapshot *snap, const char *name)
{
	size_t i;

	for (i = 0; i < snap->organisation_count; i++) {
		if (strcmp(snap->organisations[i].name, name) == 0)
			return &snap->organisations[i];
	}
	return NULL;
}

/* @return why a caller of the organisation is refused, or NULL */
static const char *
check_organisation(struct bg_call *call, const char *name)
{
	if (call->snapshot->organisation_set == NULL || call->rule->is_public)
		return NULL;
	if (name[0] == '\0')
		return "the route is not public, and no organisation was given";
	call->organisation = find_organisation(call->snapshot, name);
	return call->organisation == NULL
	    ? "no organisation in force has this name"
	    : NULL;
}

static json_t *
organisation_json(const struct bg_organisation *org)
{
	if (org == NULL)
		return json_null();
	return json_pack("{s:s, s:I, s:I}", "name", org->name,
	    "rate_milli_per_s", (json_int_t)org->rate_milli_per_s, "burst",
	    (json_int_t)org->burst);
}

static json_t *
rule_json(const struct bg_call *call)
{
	const struct bg_rule *rule = call->rule;

	return json_pack("{s:s, s:b, s:I, s:I, s:I, s:I}", "name", rule->name,
	    "idempotent", rule->is_idempotent, "timeout_ms",
	    (json_int_t)rule->timeout_ms, "target_ms",
	    (json_int_t)rule->target_ms, "attempts", (json_int_t)rule->attempts,
	    "priority",
	    (json_int_t)bg_access_priority(call->organisation, rule));
}

static void
set_deadlines(struct bg_call *call)
{
	const struct bg_rule *rule = call->rule;

	call->start_us = bg_clock_now_us();
	call->deadline_us = call->start_us + (uint64_t)rule->timeout_ms * 1000;
	if (rule->target_ms != 0)
		call->target_us =
		    call->start_us + (uint64_t)rule->target_ms * 1000;
}

/* @param call its proxy and snapshot are set */
static json_t *
explain(struct bg_call *call, const struct bg_explain_query *query)
{
	json_t *out = json_pack("{s:b, s:I}", "synced", 1, "version",
	    (json_int_t)call->snapshot->version);
	const char *refusal;
	int error = bg_snapshot_route(&call->rule, call->snapshot, query->host,
	    query->method, query->path);

	if (error != 0) {
		json_object_set_new(out, "refused",
		    json_string(error == BG_EINVAL
			    ? "the route does not allow this method"
			    : "no route has this path"));
		return out;
	}
	refusal = check_organisation(call, query->organisation);
	set_deadlines(call);
	json_object_set_new(out, "route", rule_json(call));
	json_object_set_new(
	    out, "organisation", organisation_json(call->organisation));
	if (refusal != NULL) {
		json_object_set_new(out, "refused", json_string(refusal));
		return out;
	}
	call->args.path = (char *)query->path;
	call->args.extension.organisation =
	    (char *)(call->organisation == NULL ? ""
						: call->organisation->name);
	json_object_set_new(out, "services", services_json(call));
	return out;
}

int
bg_proxy_explain(
    char **out, struct bg_proxy *prx, const struct bg_explain_query *query)
{
	struct bg_snapshot *snap = bg_mesh_snapshot(prx->mesh);
	struct bg_call call;
	json_t *root;

	memset(&call, 0, sizeof(call));
	call.proxy = prx;
	call.snapshot = snap;
	if (snap == NULL || !bg_mesh_is_synced(prx->mesh))
		root = json_pack("{s:b}", "synced", 0);
	else
		root = explain(&call, query);
	*out = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return *out == NULL ? BG_ENOMEM : 0;
}
