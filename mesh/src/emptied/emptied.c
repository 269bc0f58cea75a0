#include <stdio.h>
#include <string.h>

#include "burdockgrade/emptied.h"
#include "burdockgrade/error.h"

/* Minor of the report that an emptying was taken back. That of an emptying is
 * lower by its time, so that the earlier of two times wins a merge. */
#define TAKEN_BACK_MINOR UINT64_MAX

void
bg_emptied_to_item(struct bg_item *out, const struct bg_emptied *report)
{
	memset(out, 0, sizeof(*out));
	out->kind = BG_ITEM_EMPTIED;
	out->key = report->data_centre;
	out->major = report->revision;
	out->minor = TAKEN_BACK_MINOR;
	if (report->is_emptied)
		out->minor -= report->since_ms == 0 ? 1 : report->since_ms;
}

int
bg_emptied_from_item(struct bg_emptied *out, const struct bg_item *item)
{
	memset(out, 0, sizeof(*out));
	if (strlen(item->key) >= sizeof(out->data_centre))
		return BG_EPROTO;
	snprintf(out->data_centre, sizeof(out->data_centre), "%s", item->key);
	out->revision = item->major;
	out->is_emptied = item->minor != TAKEN_BACK_MINOR;
	out->since_ms = TAKEN_BACK_MINOR - item->minor;
	return 0;
}

static struct bg_emptied *
find(struct bg_emptied_set *set, const char *data_centre)
{
	size_t i;

	for (i = 0; i < set->count; i++) {
		if (strcmp(set->reports[i].data_centre, data_centre) == 0)
			return &set->reports[i];
	}
	return NULL;
}

const struct bg_emptied *
bg_emptied_set_find(const struct bg_emptied_set *set, const char *data_centre)
{
	return find((struct bg_emptied_set *)set, data_centre);
}

static int
is_newer(const struct bg_emptied *report, const struct bg_emptied *known)
{
	struct bg_item a;
	struct bg_item b;

	bg_emptied_to_item(&a, report);
	bg_emptied_to_item(&b, known);
	return bg_item_compare(&a, &b) > 0;
}

static enum bg_emptied_change
find_change(const struct bg_emptied *before, const struct bg_emptied *after)
{
	if (!after->is_emptied)
		return before->is_emptied ? BG_EMPTIED_ENDED
					  : BG_EMPTIED_UNCHANGED;
	if (!before->is_emptied)
		return BG_EMPTIED_STARTED;
	return before->revision != after->revision ? BG_EMPTIED_REPEATED
						   : BG_EMPTIED_UNCHANGED;
}

int
bg_emptied_set_apply(enum bg_emptied_change *out_change,
    struct bg_emptied_set *set, const struct bg_emptied *report)
{
	struct bg_emptied *known = find(set, report->data_centre);

	*out_change = BG_EMPTIED_UNCHANGED;
	if (known == NULL) {
		if (set->count == BG_EMPTIED_MAX)
			return BG_ELIMIT;
		set->reports[set->count++] = *report;
		if (report->is_emptied)
			*out_change = BG_EMPTIED_STARTED;
		return 0;
	}
	if (!is_newer(report, known))
		return 0;
	*out_change = find_change(known, report);
	*known = *report;
	return 0;
}

int
bg_emptied_set_contains(
    const struct bg_emptied_set *set, const char *data_centre)
{
	const struct bg_emptied *report = bg_emptied_set_find(set, data_centre);

	return report != NULL && report->is_emptied;
}

size_t
bg_emptied_set_count(const struct bg_emptied_set *set)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < set->count; i++)
		count += set->reports[i].is_emptied != 0;
	return count;
}
