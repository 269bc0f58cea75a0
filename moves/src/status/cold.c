#include <inttypes.h>

#include "cold.h"

/* Remaining warm-up of a server in ms; 0: it is warm, leaves, or is unknown. */
static uint64_t
left_ms(
    const struct bg_snapshot *snap, const struct bg_member *m, uint64_t now_ms)
{
	const struct bg_service *svc = bg_snapshot_service(snap, m->service);
	uint64_t age_ms = now_ms - m->server_started_ms;

	if (svc == NULL || svc->warmup_milli_per_s == 0 ||
	    m->state != BG_MEMBER_READY || m->server_started_ms == 0 ||
	    m->server_started_ms > now_ms)
		return 0;
	return age_ms < svc->warmup_ms ? svc->warmup_ms - age_ms : 0;
}

void
bg_status_print_cold(FILE *fp, const struct bg_snapshot *snap,
    const struct bg_roster *ros, uint64_t now_ms)
{
	const struct bg_member *m;
	uint64_t ms;
	size_t i;

	for (i = 0; i < ros->member_count; i++) {
		m = &ros->members[i];
		if ((ms = left_ms(snap, m, now_ms)) != 0)
			fprintf(fp,
			    "# cold %s node=%s dc=%s left=%" PRIu64 "ms\n",
			    m->service, m->address, m->data_centre, ms);
	}
}

json_t *
bg_status_cold_json(const struct bg_snapshot *snap, const struct bg_roster *ros,
    uint64_t now_ms)
{
	json_t *out = json_array();
	const struct bg_member *m;
	uint64_t ms;
	size_t i;

	for (i = 0; i < ros->member_count; i++) {
		m = &ros->members[i];
		if ((ms = left_ms(snap, m, now_ms)) != 0)
			json_array_append_new(out,
			    json_pack("{s:s, s:s, s:s, s:I}", "service",
				m->service, "node", m->address, "data_centre",
				m->data_centre, "left_ms", (json_int_t)ms));
	}
	return out;
}
