#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mesh/content.h"

static int
dump(char **out, json_t *json)
{
	if (json == NULL)
		return BG_ENOMEM;
	*out = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(json);
	return *out == NULL ? BG_ENOMEM : 0;
}

int
bg_head_item_encode(char **out, const struct bg_head *head)
{
	json_t *services = json_object();
	char digest[20];
	size_t i;

	for (i = 0; i < head->service_count; i++)
		json_object_set_new(services, head->services[i].name,
		    json_integer((json_int_t)head->services[i].changed));
	/* jansson's integers are signed, so a digest travels as text. */
	snprintf(digest, sizeof(digest), "%016llx",
	    (unsigned long long)bg_head_digest(head));
	return dump(out,
	    json_pack("{s:I, s:s, s:o}", "version", (json_int_t)head->version,
		"digest", digest, "services", services));
}

/* Decodes the service items that the head names. */
static int
collect(struct bg_service *out, size_t *out_count, const struct bg_table *tbl,
    json_t *services, struct bg_error *err)
{
	struct bg_item item;
	const char *name;
	json_t *changed;
	size_t count = 0;

	json_object_foreach(services, name, changed)
	{
		struct bg_service *svc = &out[count++];

		if (bg_table_get(&item, tbl, BG_ITEM_SERVICE, name) != 0 ||
		    (json_int_t)item.major != json_integer_value(changed))
			return BG_ENOTFOUND;
		if (bg_head_service_decode(&svc->head, &svc->contract,
			item.value, item.value_bytes, err) != 0)
			return BG_EPROTO;
		if (svc->head.changed != item.major ||
		    strcmp(svc->head.name, name) != 0)
			return bg_error_set(err, BG_EPROTO, "build", NULL,
			    "service %s does not match its item", name);
	}
	*out_count = count;
	return 0;
}

static int
compare_services(const void *a, const void *b)
{
	const struct bg_service *sa = a;
	const struct bg_service *sb = b;

	return strcmp(sa->head.name, sb->head.name);
}

static enum bg_build_result
build_from(struct bg_snapshot **out, const struct bg_table *tbl,
    uint64_t version, json_t *json, struct bg_error *err)
{
	struct bg_service *services;
	const char *digest;
	json_int_t stated;
	json_t *names;
	size_t count = 0;
	int error;

	if (json_unpack(json, "{s:I, s:s, s:o}", "version", &stated, "digest",
		&digest, "services", &names) != 0 ||
	    !json_is_object(names) || (uint64_t)stated != version) {
		bg_error_set(err, BG_EPROTO, "build", NULL, "head not valid");
		return BG_BUILD_REFUSED;
	}
	services = calloc(json_object_size(names) + 1, sizeof(*services));
	if (services == NULL)
		return BG_BUILD_INCOMPLETE;
	error = collect(services, &count, tbl, names, err);
	if (error == 0) {
		qsort(services, count, sizeof(*services), compare_services);
		error = bg_snapshot_build(out, version,
		    strtoull(digest, NULL, 16), services, count, err);
	}
	free(services);
	if (error == 0)
		return BG_BUILD_DONE;
	return error == BG_ENOTFOUND || error == BG_ENOMEM ? BG_BUILD_INCOMPLETE
							   : BG_BUILD_REFUSED;
}

enum bg_build_result
bg_content_build(struct bg_snapshot **out, uint64_t *out_version,
    const struct bg_table *tbl, uint64_t held_version, struct bg_error *err)
{
	enum bg_build_result result;
	struct bg_item item;
	json_t *json;

	*out_version = 0;
	if (bg_table_get(&item, tbl, BG_ITEM_HEAD, BG_HEAD_KEY) != 0)
		return BG_BUILD_NONE;
	*out_version = item.major;
	if (item.major <= held_version)
		return BG_BUILD_NONE;
	json = json_loadb(item.value, item.value_bytes, 0, NULL);
	result = build_from(out, tbl, item.major, json, err);
	json_decref(json);
	return result;
}

int
bg_ack_encode(char **out, const struct bg_ack *ack)
{
	return dump(out,
	    json_pack("{s:I, s:I, s:s, s:s}", "v", (json_int_t)ack->version,
		"r", (json_int_t)ack->refused_version, "why",
		ack->refused_reason, "p", ack->parent));
}

int
bg_ack_decode(struct bg_ack *out, const struct bg_item *item)
{
	json_t *json = json_loadb(item->value, item->value_bytes, 0, NULL);
	const char *reason;
	const char *parent;
	json_int_t version;
	json_int_t refused;
	int error = 0;

	memset(out, 0, sizeof(*out));
	if (json_unpack(json, "{s:I, s:I, s:s, s:s}", "v", &version, "r",
		&refused, "why", &reason, "p", &parent) != 0) {
		error = BG_EPROTO;
	} else {
		out->version = (uint64_t)version;
		out->refused_version = (uint64_t)refused;
		snprintf(out->refused_reason, sizeof(out->refused_reason), "%s",
		    reason);
		snprintf(out->parent, sizeof(out->parent), "%s", parent);
	}
	json_decref(json);
	return error;
}

static int
max_refused(void *arg, const struct bg_item *item)
{
	uint64_t *highest = arg;
	struct bg_ack ack;

	if (bg_ack_decode(&ack, item) == 0 && ack.refused_version > *highest)
		*highest = ack.refused_version;
	return 0;
}

uint64_t
bg_content_refused(const struct bg_table *tbl)
{
	uint64_t highest = 0;

	bg_table_each(tbl, BG_ITEM_ACK, max_refused, &highest);
	return highest;
}

/* Adds one live member to the summary. */
static void
count_member(struct bg_summary *sum, const struct bg_table *tbl,
    const struct bg_member *m)
{
	struct bg_item item;
	struct bg_ack ack;

	sum->member_count++;
	memset(&ack, 0, sizeof(ack));
	if (bg_table_get(&item, tbl, BG_ITEM_ACK, m->address) == 0 &&
	    item.major == m->incarnation)
		bg_ack_decode(&ack, &item);
	/* A node that starts takes no calls from customers before it holds a
	 * version at or above the confirmed one, so it takes nothing back. */
	if (ack.version != 0)
		sum->synced_count++;
	if (ack.version != 0 && ack.version < sum->confirmed_version)
		sum->confirmed_version = ack.version;
	if (ack.refused_version > sum->refused_version) {
		sum->refused_version = ack.refused_version;
		snprintf(
		    sum->refused_by, sizeof(sum->refused_by), "%s", m->address);
		snprintf(sum->refused_reason, sizeof(sum->refused_reason), "%s",
		    ack.refused_reason);
	}
}

void
bg_content_summarize(struct bg_summary *out, const struct bg_table *tbl,
    const struct bg_roster *ros, const char *data_centre)
{
	size_t i;

	memset(out, 0, sizeof(*out));
	snprintf(out->data_centre, sizeof(out->data_centre), "%s", data_centre);
	out->confirmed_version = UINT64_MAX;
	for (i = 0; i < ros->member_count; i++) {
		const struct bg_member *m = &ros->members[i];

		if (!m->is_dead && strcmp(m->data_centre, data_centre) == 0)
			count_member(out, tbl, m);
	}
	if (out->synced_count == 0)
		out->confirmed_version = 0;
}

int
bg_summary_encode(char **out, const struct bg_summary *sum)
{
	return dump(out,
	    json_pack("{s:s, s:I, s:I, s:I, s:I, s:s, s:s, s:I, s:b, s:s}",
		"dc", sum->data_centre, "members",
		(json_int_t)sum->member_count, "synced",
		(json_int_t)sum->synced_count, "version",
		(json_int_t)sum->confirmed_version, "refused",
		(json_int_t)sum->refused_version, "by", sum->refused_by, "why",
		sum->refused_reason, "ms", (json_int_t)sum->written_ms,
		"leased", sum->is_leased != 0, "root", sum->root));
}

static int
unpack_summary(struct bg_summary *out, json_t *json)
{
	json_int_t members;
	json_int_t synced;
	json_int_t version;
	json_int_t refused;
	json_int_t written;
	const char *dc;
	const char *by;
	const char *why;
	const char *root;

	if (json_unpack(json,
		"{s:s, s:I, s:I, s:I, s:I, s:s, s:s, s:I, s:b, s:s}", "dc", &dc,
		"members", &members, "synced", &synced, "version", &version,
		"refused", &refused, "by", &by, "why", &why, "ms", &written,
		"leased", &out->is_leased, "root", &root) != 0)
		return BG_EPROTO;
	out->member_count = (uint32_t)members;
	out->synced_count = (uint32_t)synced;
	out->confirmed_version = (uint64_t)version;
	out->refused_version = (uint64_t)refused;
	out->written_ms = (uint64_t)written;
	snprintf(out->data_centre, sizeof(out->data_centre), "%s", dc);
	snprintf(out->refused_by, sizeof(out->refused_by), "%s", by);
	snprintf(out->refused_reason, sizeof(out->refused_reason), "%s", why);
	snprintf(out->root, sizeof(out->root), "%s", root);
	return 0;
}

int
bg_summary_decode(struct bg_summary *out, const struct bg_item *item)
{
	json_t *json = json_loadb(item->value, item->value_bytes, 0, NULL);
	int error;

	memset(out, 0, sizeof(*out));
	error = unpack_summary(out, json);
	json_decref(json);
	return error;
}
