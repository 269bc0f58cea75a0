#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "mesh/internal.h"

/* Dead members are needed this long as candidates of last resort. */
#define FORGET_MS BG_MEMBER_LAST_RESORT_MS

static struct bg_counter deaths =
    BG_COUNTER("burdock_mesh_deaths_total", "Members marked dead here.");
static struct bg_counter refutations = BG_COUNTER(
    "burdock_mesh_refutations_total", "Own dead marks that were refuted.");

static void
publish_member(struct bg_mesh *mesh, const struct bg_member *member)
{
	struct bg_item item;

	if (bg_member_encode(&item, member) != 0)
		return;
	bg_mesh_merge(mesh, &item);
	free((char *)item.value);
}

void
bg_mesh_announce(struct bg_mesh *mesh)
{
	mesh->me.seq++;
	publish_member(mesh, &mesh->me);
	mesh->me_cursor = bg_table_cursor(mesh->table);
}

void
bg_mesh_raise_incarnation(struct bg_mesh *mesh, uint64_t known)
{
	if (known < mesh->me.incarnation)
		return;
	bg_log_warn("mesh", "incarnation raised known=%" PRIu64, known);
	mesh->me.incarnation = known + 1;
	mesh->me.seq = 0;
	mesh->ack_seq = 0;
	bg_mesh_announce(mesh);
	bg_mesh_confirm(mesh);
}

void
bg_mesh_refute(struct bg_mesh *mesh)
{
	struct bg_item item;

	if (bg_table_get(
		&item, mesh->table, BG_ITEM_MEMBER, mesh->me.address) != 0)
		return;
	if (item.major > mesh->me.incarnation) {
		bg_mesh_raise_incarnation(mesh, item.major);
		return;
	}
	if (item.major == mesh->me.incarnation &&
	    item.minor > 2 * mesh->me.seq) {
		bg_counter_add(&refutations, 1);
		bg_log_info("mesh", "refuted seq=%" PRIu64, item.minor / 2);
		mesh->me.seq = item.minor / 2;
		bg_mesh_announce(mesh);
	}
}

void
bg_mesh_confirm(struct bg_mesh *mesh)
{
	struct bg_item item = {0};
	char *value;

	snprintf(mesh->ack.parent, sizeof(mesh->ack.parent), "%s",
	    mesh->parent != NULL && bg_uplink_is_attached(mesh->parent)
		? bg_uplink_address(mesh->parent)
		: "");
	if (bg_ack_encode(&value, &mesh->ack) != 0)
		return;
	item.kind = BG_ITEM_ACK;
	item.key = mesh->me.address;
	item.major = mesh->me.incarnation;
	item.minor = ++mesh->ack_seq;
	item.value = value;
	item.value_bytes = (uint32_t)strlen(value);
	bg_mesh_merge(mesh, &item);
	free(value);
}

void
bg_mesh_mark_dead(
    struct bg_mesh *mesh, const char *address, uint64_t incarnation)
{
	struct bg_member member;
	struct bg_item item;

	if (bg_table_get(&item, mesh->table, BG_ITEM_MEMBER, address) != 0 ||
	    bg_member_decode(&member, &item) != 0)
		return;
	if (member.is_dead || member.incarnation != incarnation)
		return;
	member.is_dead = 1;
	bg_counter_add(&deaths, 1);
	bg_log_warn("mesh", "dead member=%s seq=%" PRIu64, address, member.seq);
	publish_member(mesh, &member);
}

struct prefix_search {
	const char *prefix;
	char found[BG_KEY_BYTES + 1];
};

static int
match_prefix(void *arg, const struct bg_item *item)
{
	struct prefix_search *search = arg;
	size_t bytes = strlen(search->prefix);

	if (strncmp(item->key, search->prefix, bytes) != 0 ||
	    item->key[bytes] != '/')
		return 0;
	snprintf(search->found, sizeof(search->found), "%s", item->key);
	return 1;
}

/* Statistics are keyed "ADDRESS/SERVICE". */
static void
forget_stats(struct bg_mesh *mesh, const char *address)
{
	struct prefix_search search = {address, ""};

	while (bg_table_each(
		   mesh->table, BG_ITEM_STAT, match_prefix, &search) == 1)
		bg_table_forget(mesh->table, BG_ITEM_STAT, search.found);
}

void
bg_mesh_forget_dead(struct bg_mesh *mesh, uint64_t now_ms)
{
	size_t i;

	for (i = 0; i < mesh->roster.member_count; i++) {
		const struct bg_member *m = &mesh->roster.members[i];

		if (!m->is_dead || now_ms - m->dead_observed_ms < FORGET_MS)
			continue;
		bg_log_info("mesh", "forgotten member=%s", m->address);
		forget_stats(mesh, m->address);
		bg_table_forget(mesh->table, BG_ITEM_ACK, m->address);
		bg_table_forget(mesh->table, BG_ITEM_MEMBER, m->address);
	}
}
