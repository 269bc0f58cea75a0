#include <stdlib.h>
#include <string.h>

#include "burdockgrade/organisations.h"

#include "contract_set.h"
#include "rule_order.h"

static int
fail(struct bg_error *err, const struct bg_service *svc, const char *expected)
{
	return bg_error_set(err, BG_EINVAL, "snapshot", NULL,
	    "service %.63s: expected %s", svc->head.name, expected);
}

static int
validate_move(const struct bg_service *svc, struct bg_error *err)
{
	const struct bg_move *mv = &svc->head.move;

	if ((unsigned)mv->state > BG_MOVE_ROLLED_BACK)
		return fail(err, svc, "a move state");
	if (mv->share_permille > 1000)
		return fail(err, svc, "a move share of at most 1000");
	if (mv->state != BG_MOVE_NONE && mv->to[0] == '\0')
		return fail(err, svc, "a move with a server version");
	return 0;
}

static int
validate_service(
    const struct bg_service *svc, uint64_t version, struct bg_error *err)
{
	uint64_t digest;
	int error;

	if (strcmp(svc->head.name, svc->contract.name) != 0)
		return fail(err, svc, "the contract of this service");
	if (svc->head.changed > version)
		return fail(err, svc, "no change after the head version");
	if ((error = bg_contract_validate(&svc->contract, err)) != 0)
		return error;
	if ((error = bg_contract_digest(&digest, &svc->contract)) != 0)
		return bg_error_set(
		    err, error, "snapshot", NULL, "contract digest failed");
	if (digest != svc->head.digest)
		return fail(err, svc, "the contract of the digest");
	return validate_move(svc, err);
}

/* Computes the digest of the services, which must be sorted by name, for
 * comparison with that of the head. */
static int
digest_services(uint64_t *out, const struct bg_snapshot *snap)
{
	struct bg_head head;
	size_t i;

	bg_head_init(&head);
	head.services = calloc(snap->service_count + 1, sizeof(*head.services));
	if (head.services == NULL)
		return BG_ENOMEM;
	head.service_count = snap->service_count;
	for (i = 0; i < snap->service_count; i++)
		head.services[i] = snap->services[i].head;
	*out = bg_head_digest(&head);
	bg_head_free(&head);
	return 0;
}

static int
validate_contract_set(const struct bg_snapshot *snap, struct bg_error *err)
{
	const struct bg_contract **set;
	size_t i;
	int error;

	set =
	    calloc(snap->service_count + 1, sizeof(const struct bg_contract *));
	if (set == NULL)
		return bg_error_set(
		    err, BG_ENOMEM, "snapshot", NULL, "out of memory");
	for (i = 0; i < snap->service_count; i++)
		set[i] = &snap->services[i].contract;
	error = bg_contract_set_check(set, snap->service_count, err);
	free(set);
	return error;
}

static int
validate(
    const struct bg_snapshot *snap, uint64_t head_digest, struct bg_error *err)
{
	uint64_t digest;
	size_t i;
	int error;

	for (i = 0; i < snap->service_count; i++) {
		if (i > 0 &&
		    strcmp(snap->services[i - 1].head.name,
			snap->services[i].head.name) == 0)
			return fail(
			    err, &snap->services[i], "each service once");
		error =
		    validate_service(&snap->services[i], snap->version, err);
		if (error != 0)
			return error;
	}
	if ((error = digest_services(&digest, snap)) != 0)
		return bg_error_set(
		    err, error, "snapshot", NULL, "out of memory");
	if (digest != head_digest)
		return bg_error_set(err, BG_EINVAL, "snapshot", NULL,
		    "version %llu: expected the services of the head digest",
		    (unsigned long long)snap->version);
	return validate_contract_set(snap, err);
}

/* Converts the routes of all contracts to rules, which refer to strings of the
 * contracts. @return the number of rules */
static size_t
collect_rules(struct bg_rule *rules, struct bg_target *targets,
    const struct bg_service *services, size_t service_count)
{
	const struct bg_route *rt;
	struct bg_rule *rule;
	size_t n = 0;
	size_t i;
	size_t j;

	for (i = 0; i < service_count; i++) {
		for (j = 0; j < services[i].contract.route_count; j++) {
			rt = &services[i].contract.routes[j];
			rule = &rules[n];
			targets[n].service = services[i].contract.name;
			targets[n].weight = 1;
			rule->name = rt->name;
			rule->host = "";
			rule->prefix = rt->prefix;
			rule->methods = rt->methods;
			rule->is_idempotent = rt->is_idempotent;
			rule->timeout_ms = rt->deadline_ms;
			rule->target_ms = rt->slow_ms;
			rule->priority =
			    (uint32_t)(BG_CRITICALITY_HIGH - rt->criticality);
			rule->attempts = BG_ATTEMPTS_DEFAULT;
			rule->targets = &targets[n];
			rule->target_count = 1;
			n++;
		}
	}
	return n;
}

static int
assemble_contracts(struct bg_snapshot **out, uint64_t version,
    const struct bg_service *services, size_t service_count,
    struct bg_error *err)
{
	struct bg_snapshot_draft draft = {0};
	struct bg_target *targets;
	struct bg_rule *rules;
	size_t max_rules = service_count * BG_ROUTES_MAX + 1;
	int error = BG_ENOMEM;

	rules = calloc(max_rules, sizeof(*rules));
	targets = calloc(max_rules, sizeof(*targets));
	if (rules != NULL && targets != NULL) {
		draft.version = version;
		draft.services = services;
		draft.service_count = service_count;
		draft.rules = rules;
		draft.rule_count =
		    collect_rules(rules, targets, services, service_count);
		error = bg_snapshot_assemble(out, &draft, err);
	}
	free(rules);
	free(targets);
	return error;
}

int
bg_snapshot_build(struct bg_snapshot **out, uint64_t version,
    uint64_t head_digest, const struct bg_service *services,
    size_t service_count, struct bg_error *err)
{
	struct bg_snapshot sorted = {0};
	int error;

	*out = NULL;
	sorted.version = version;
	sorted.service_count = service_count;
	sorted.services = calloc(service_count + 1, sizeof(*services));
	if (sorted.services == NULL)
		return bg_error_set(
		    err, BG_ENOMEM, "snapshot", NULL, "out of memory");
	if (service_count > 0)
		memcpy(sorted.services, services,
		    service_count * sizeof(*services));
	qsort(sorted.services, service_count, sizeof(*services),
	    bg_service_compare);
	if ((error = validate(&sorted, head_digest, err)) == 0)
		error = assemble_contracts(
		    out, version, sorted.services, service_count, err);
	free(sorted.services);
	return error;
}

struct bg_snapshot *
bg_snapshot_acquire(struct bg_snapshot *snap)
{
	if (snap != NULL)
		snap->reference_count++;
	return snap;
}

void
bg_snapshot_release(struct bg_snapshot *snap)
{
	if (snap == NULL || --snap->reference_count > 0)
		return;
	free(snap->services);
	free(snap->rules);
	free(snap->targets);
	free(snap->strings);
	bg_organisations_release(snap->organisation_set);
	free(snap);
}

const struct bg_service *
bg_snapshot_service(const struct bg_snapshot *snap, const char *name)
{
	size_t low = 0;
	size_t high = snap->service_count;
	size_t mid;
	int order;

	while (low < high) {
		mid = low + (high - low) / 2;
		order = strcmp(snap->services[mid].head.name, name);
		if (order == 0)
			return &snap->services[mid];
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}
