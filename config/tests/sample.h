#ifndef BG_CONFIG_SAMPLE_H
#define BG_CONFIG_SAMPLE_H

#include <stdio.h>
#include <string.h>

#include "burdockgrade/snapshot.h"

static inline struct bg_route *
sample_add_route(struct bg_contract *ctr, const char *name, const char *prefix,
    uint32_t methods)
{
	struct bg_route *rt = &ctr->routes[ctr->route_count++];

	snprintf(rt->name, sizeof(rt->name), "%s", name);
	snprintf(rt->prefix, sizeof(rt->prefix), "%s", prefix);
	rt->methods = methods;
	rt->is_idempotent = methods != BG_METHOD_POST;
	rt->deadline_ms = 1000;
	rt->slow_ms = 200;
	rt->criticality = BG_CRITICALITY_NORMAL;
	return rt;
}

/* A valid contract with the routes GET /NAME and POST /NAME/jobs. */
static inline void
sample_contract(struct bg_contract *out, const char *name)
{
	char prefix[BG_PREFIX_BYTES];

	memset(out, 0, sizeof(*out));
	snprintf(out->name, sizeof(out->name), "%s", name);
	snprintf(prefix, sizeof(prefix), "/%s", name);
	sample_add_route(out, "read", prefix, BG_METHOD_GET);
	snprintf(prefix, sizeof(prefix), "/%s/jobs", name);
	sample_add_route(out, "jobs", prefix, BG_METHOD_POST);
	out->slots = 6;
	out->connections = 120;
	out->move_auto_start = 1;
	out->take_over_ms = 60000;
	out->soak_ms = 600000;
	out->max_error_permille = 10;
	out->slo_permyriad = 9990;
	out->slo_window_days = 30;
}

static inline void
sample_add_dependency(struct bg_contract *ctr, const char *name)
{
	snprintf(ctr->dependencies[ctr->dependency_count++], BG_NAME_BYTES,
	    "%s", name);
}

/* A service with the head entry that an accept gives it. */
static inline void
sample_service(struct bg_service *out, const char *name, uint64_t changed)
{
	memset(out, 0, sizeof(*out));
	sample_contract(&out->contract, name);
	snprintf(out->head.name, sizeof(out->head.name), "%s", name);
	out->head.rev = 1;
	out->head.changed = changed;
	out->head.since_ms = 1790000000000;
	bg_contract_digest(&out->head.digest, &out->contract);
}

#endif
