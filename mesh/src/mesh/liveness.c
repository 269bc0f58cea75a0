#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mesh/content.h"
#include "mesh/liveness.h"

void
bg_liveness_init(struct bg_liveness *out)
{
	memset(out, 0, sizeof(*out));
}

void
bg_liveness_free(struct bg_liveness *lvn)
{
	bg_liveness_reset(lvn);
}

void
bg_liveness_reset(struct bg_liveness *lvn)
{
	free(lvn->suspects);
	memset(lvn, 0, sizeof(*lvn));
}

int
bg_liveness_is_attached(const struct bg_table *tbl, const struct bg_roster *ros,
    const char *root, const struct bg_member *m, bg_is_child_fn is_child,
    void *arg)
{
	const struct bg_member *parent;
	struct bg_item item;
	struct bg_ack ack;

	if (strcmp(m->address, root) == 0 || is_child(arg, m->address))
		return 1;
	if (bg_table_get(&item, tbl, BG_ITEM_ACK, m->address) != 0 ||
	    item.major != m->incarnation || bg_ack_decode(&ack, &item) != 0)
		return 0;
	if (ack.parent[0] == '\0' || strcmp(ack.parent, root) == 0)
		return 0;
	parent = bg_roster_find(ros, ack.parent);
	return parent != NULL && !parent->is_dead &&
	    strcmp(parent->data_centre, m->data_centre) == 0;
}

static int
compare_suspects(const void *a, const void *b)
{
	const struct bg_suspect *sa = a;
	const struct bg_suspect *sb = b;

	return strcmp(sa->address, sb->address);
}

static uint64_t
suspected_since(
    const struct bg_liveness *lvn, const char *address, uint64_t now_ms)
{
	const struct bg_suspect *found;
	struct bg_suspect wanted;

	if (lvn->suspect_count == 0)
		return now_ms;
	snprintf(wanted.address, sizeof(wanted.address), "%s", address);
	found = bsearch(&wanted, lvn->suspects, lvn->suspect_count,
	    sizeof(wanted), compare_suspects);
	return found == NULL ? now_ms : found->since_ms;
}

size_t
bg_liveness_check(const struct bg_member **out, struct bg_liveness *lvn,
    const struct bg_table *tbl, const struct bg_roster *ros, const char *root,
    const char *data_centre, bg_is_child_fn is_child, void *arg,
    uint64_t now_ms)
{
	struct bg_suspect *suspects;
	size_t suspect_count = 0;
	size_t count = 0;
	size_t i;

	suspects = malloc((ros->member_count + 1) * sizeof(*suspects));
	if (suspects == NULL)
		return 0;
	for (i = 0; i < ros->member_count; i++) {
		const struct bg_member *m = &ros->members[i];
		struct bg_suspect *s = &suspects[suspect_count];

		if (m->is_dead || strcmp(m->data_centre, data_centre) != 0 ||
		    bg_liveness_is_attached(tbl, ros, root, m, is_child, arg))
			continue;
		memcpy(s->address, m->address, sizeof(s->address));
		s->since_ms = suspected_since(lvn, m->address, now_ms);
		if (now_ms - s->since_ms >= BG_DEAD_AFTER_MS)
			out[count++] = m;
		else
			suspect_count++;
	}
	qsort(suspects, suspect_count, sizeof(*suspects), compare_suspects);
	free(lvn->suspects);
	lvn->suspects = suspects;
	lvn->suspect_count = suspect_count;
	return count;
}
