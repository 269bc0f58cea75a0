#ifndef BG_TEST_STUB_SNAPSHOT_H
#define BG_TEST_STUB_SNAPSHOT_H

/* Stands in for config/src until it lands. */

#include <string.h>

#include "burdockgrade/snapshot.h"

struct bg_snapshot *
bg_snapshot_acquire(struct bg_snapshot *snap)
{
	snap->references++;
	return snap;
}

void
bg_snapshot_release(struct bg_snapshot *snap)
{
	snap->references--;
}

const struct bg_service *
bg_snapshot_service(const struct bg_snapshot *snap, const char *name)
{
	size_t i;

	for (i = 0; i < snap->service_count; i++) {
		if (strcmp(snap->services[i].head.name, name) == 0)
			return &snap->services[i];
	}
	return NULL;
}

int
bg_snapshot_route(const struct bg_service **out_service,
    const struct bg_route **out_route, const struct bg_snapshot *snap,
    const char *method, const char *path)
{
	const struct bg_contract *ctr;
	size_t i;
	size_t j;

	for (i = 0; i < snap->service_count; i++) {
		ctr = &snap->services[i].contract;
		for (j = 0; j < ctr->route_count; j++) {
			if (strncmp(path, ctr->routes[j].prefix,
				strlen(ctr->routes[j].prefix)) != 0)
				continue;
			if (ctr->routes[j].methods == BG_METHOD_GET &&
			    strcmp(method, "GET") != 0)
				return BG_EINVAL;
			*out_service = &snap->services[i];
			*out_route = &ctr->routes[j];
			return 0;
		}
	}
	return BG_ENOTFOUND;
}

#endif
