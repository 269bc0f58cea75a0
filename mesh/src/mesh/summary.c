#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "mesh/internal.h"

/* Changes are put together for this long, so that a version that reaches many
 * members costs few summaries. */
#define COALESCE_MS 200
/* An unchanged summary is renewed, since its age is shown in the status. Each
 * renewal is one exchange with every node. */
#define RENEW_MS 5000

static int
is_same(const struct bg_summary *a, const struct bg_summary *b)
{
	return a->member_count == b->member_count &&
	    a->synced_count == b->synced_count &&
	    a->confirmed_version == b->confirmed_version &&
	    a->refused_version == b->refused_version &&
	    a->is_leased == b->is_leased &&
	    strcmp(a->refused_by, b->refused_by) == 0 &&
	    strcmp(a->refused_reason, b->refused_reason) == 0;
}

static void
publish(struct bg_mesh *mesh, const struct bg_summary *sum)
{
	struct bg_item known = {0};
	struct bg_item item = {0};
	char *value;

	if (bg_summary_encode(&value, sum) != 0)
		return;
	bg_table_get(
	    &known, mesh->table, BG_ITEM_SUMMARY, mesh->me.data_centre);
	item.kind = BG_ITEM_SUMMARY;
	item.key = mesh->me.data_centre;
	item.major = bg_mesh_term(mesh);
	/* A root without lease may be behind in terms; its summary still has
	 * to follow the one that is known. */
	if (!sum->is_leased && known.major > item.major)
		item.major = known.major;
	item.minor = known.major == item.major ? known.minor + 1 : 1;
	item.value = value;
	item.value_bytes = (uint32_t)strlen(value);
	bg_mesh_merge(mesh, &item);
	free(value);
}

void
bg_mesh_summary_tick(struct bg_mesh *mesh, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - mesh->summary_written_ms;
	struct bg_summary sum;

	if (!bg_mesh_is_root(mesh) || age_ms < COALESCE_MS)
		return;
	if (!mesh->is_summary_due && age_ms < RENEW_MS)
		return;
	mesh->is_summary_due = 0;
	bg_content_summarize(
	    &sum, mesh->table, &mesh->roster, mesh->me.data_centre);
	sum.is_leased = bg_mesh_is_relay(mesh);
	sum.written_ms = bg_clock_wall_ms();
	snprintf(sum.root, sizeof(sum.root), "%s", mesh->me.address);
	if (is_same(&sum, &mesh->summary) && age_ms < RENEW_MS)
		return;
	mesh->summary = sum;
	mesh->summary_written_ms = now_ms;
	publish(mesh, &sum);
}
