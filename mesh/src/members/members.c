#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/members.h"

/* Members for which a rebuild allocates memory at first. */
#define INITIAL_CAPACITY 16

static const char FIELD_DC[] = "dc";
static const char FIELD_REGION[] = "region";
static const char FIELD_SERVICE[] = "service";
static const char FIELD_SERVER[] = "server";
static const char FIELD_STARTED[] = "started";
static const char FIELD_LEFT[] = "left";
static const char FIELD_VERSION[] = "version";
static const char FIELD_STATE[] = "state";
static const char FIELD_SLOTS[] = "slots";
static const char FIELD_VERDICT[] = "verdict";
static const char FIELD_GENERATION[] = "generation";
static const char FIELD_STEP[] = "step";

json_t *
bg_member_to_json(const struct bg_member *member)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:I, s:i, s:s, s:i, s:I, s:i, "
			 "s:I, s:I}",
	    FIELD_DC, member->data_centre, FIELD_REGION, member->region,
	    FIELD_SERVICE, member->service, FIELD_SERVER, member->server_id,
	    FIELD_STARTED, (json_int_t)member->server_started_ms, FIELD_LEFT,
	    member->server_has_left, FIELD_VERSION, member->server_version,
	    FIELD_STATE, (int)member->state, FIELD_SLOTS,
	    (json_int_t)member->slots, FIELD_VERDICT, (int)member->verdict,
	    FIELD_GENERATION, (json_int_t)member->verdict_generation,
	    FIELD_STEP, (json_int_t)member->verdict_step);
}

int
bg_member_encode(struct bg_item *out, const struct bg_member *member)
{
	json_t *json = bg_member_to_json(member);
	char *text;

	if (json == NULL)
		return BG_EINVAL;
	text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(json);
	if (text == NULL)
		return BG_ENOMEM;
	memset(out, 0, sizeof(*out));
	out->kind = BG_ITEM_MEMBER;
	out->key = member->address;
	out->major = member->incarnation;
	out->minor = member->seq;
	out->value = text;
	out->value_bytes = (uint32_t)strlen(text);
	return 0;
}

static int
copy_name(char *out, size_t out_bytes, const char *text)
{
	if (strlen(text) >= out_bytes)
		return BG_EPROTO;
	strcpy(out, text); /* NOLINT: the length is checked above */
	return 0;
}

int
bg_member_from_json(struct bg_member *out, const json_t *json)
{
	const char *dc;
	const char *region;
	const char *service;
	const char *id;
	const char *version;
	json_int_t slots;
	json_int_t started_ms = 0;
	json_int_t generation = 0;
	json_int_t step = BG_VERDICT_STEP_UNKNOWN;
	int verdict = BG_VERDICT_NONE;
	int has_left = 0;
	int state;

	if (json_unpack((json_t *)json,
		"{s:s, s:s, s:s, s:s, s?I, s?i, s:s, s:i, s:I, s?i, s?I, "
		"s?I}",
		FIELD_DC, &dc, FIELD_REGION, &region, FIELD_SERVICE, &service,
		FIELD_SERVER, &id, FIELD_STARTED, &started_ms, FIELD_LEFT,
		&has_left, FIELD_VERSION, &version, FIELD_STATE, &state,
		FIELD_SLOTS, &slots, FIELD_VERDICT, &verdict, FIELD_GENERATION,
		&generation, FIELD_STEP, &step) != 0)
		return BG_EPROTO;
	if (state < BG_MEMBER_STARTING || state > BG_MEMBER_LEAVING ||
	    slots < 0 || slots > UINT32_MAX || verdict < BG_VERDICT_NONE ||
	    verdict > BG_VERDICT_IDLE || generation < 0 || started_ms < 0 ||
	    step < 0 || step > UINT32_MAX)
		return BG_EPROTO;
	out->server_started_ms = (uint64_t)started_ms;
	out->server_has_left = has_left != 0;
	out->state = (enum bg_member_state)state;
	out->slots = (uint32_t)slots;
	out->verdict = (enum bg_verdict)verdict;
	out->verdict_generation = (uint64_t)generation;
	out->verdict_step = (uint32_t)step;
	if (copy_name(out->data_centre, sizeof(out->data_centre), dc) != 0 ||
	    copy_name(out->region, sizeof(out->region), region) != 0 ||
	    copy_name(out->service, sizeof(out->service), service) != 0 ||
	    copy_name(out->server_id, sizeof(out->server_id), id) != 0)
		return BG_EPROTO;
	return copy_name(
	    out->server_version, sizeof(out->server_version), version);
}

int
bg_member_decode(struct bg_member *out, const struct bg_item *item)
{
	json_t *json;
	int error;

	memset(out, 0, sizeof(*out));
	if (item->kind != BG_ITEM_MEMBER ||
	    copy_name(out->address, sizeof(out->address), item->key) != 0)
		return BG_EPROTO;
	json = json_loadb(item->value, item->value_bytes, 0, NULL);
	if (json == NULL)
		return BG_EPROTO;
	error = bg_member_from_json(out, json);
	json_decref(json);
	out->incarnation = item->major;
	out->seq = item->minor;
	return error;
}

int
bg_roster_init(struct bg_roster *out)
{
	memset(out, 0, sizeof(*out));
	return 0;
}

void
bg_roster_free(struct bg_roster *ros)
{
	free(ros->members);
	free(ros->by_address);
	memset(ros, 0, sizeof(*ros));
}

struct rebuild {
	struct bg_member *members;
	size_t count;
	size_t capacity;
};

static int
add_member(void *arg, const struct bg_item *item)
{
	struct rebuild *rb = arg;
	struct bg_member *grown;

	if (rb->count == rb->capacity) {
		rb->capacity =
		    rb->capacity == 0 ? INITIAL_CAPACITY : 2 * rb->capacity;
		grown = realloc(rb->members, rb->capacity * sizeof(*grown));
		if (grown == NULL)
			return BG_ENOMEM;
		rb->members = grown;
	}
	/* Items that do not decode, for example from another release, are
	 * skipped. */
	if (bg_member_decode(&rb->members[rb->count], item) == 0)
		rb->count++;
	return 0;
}

static int
compare_members(const void *a, const void *b)
{
	const struct bg_member *ma = a;
	const struct bg_member *mb = b;
	int diff = strcmp(ma->service, mb->service);

	return diff != 0 ? diff : strcmp(ma->address, mb->address);
}

static int
compare_addresses(const void *a, const void *b, void *arg)
{
	const struct bg_member *members = arg;

	return strcmp(members[*(const uint32_t *)a].address,
	    members[*(const uint32_t *)b].address);
}

int
bg_roster_rebuild(struct bg_roster *ros, const struct bg_table *tbl)
{
	struct rebuild rb = {NULL, 0, 0};
	uint32_t *by_address = NULL;
	size_t i;
	int error;

	error = bg_table_foreach(tbl, BG_ITEM_MEMBER, add_member, &rb);
	if (error == 0) {
		by_address = malloc((rb.count + 1) * sizeof(*by_address));
		if (by_address == NULL)
			error = BG_ENOMEM;
	}
	if (error != 0) {
		free(rb.members);
		return error;
	}
	if (rb.count > 0)
		qsort(
		    rb.members, rb.count, sizeof(*rb.members), compare_members);
	for (i = 0; i < rb.count; i++)
		by_address[i] = (uint32_t)i;
	qsort_r(by_address, rb.count, sizeof(*by_address), compare_addresses,
	    rb.members);
	free(ros->members);
	free(ros->by_address);
	ros->members = rb.members;
	ros->by_address = by_address;
	ros->member_count = rb.count;
	ros->generation++;
	return 0;
}

size_t
bg_roster_service(const struct bg_member **out, const struct bg_roster *ros,
    const char *service)
{
	size_t low = 0;
	size_t high = ros->member_count;
	size_t end;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (strcmp(ros->members[mid].service, service) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	for (end = low; end < ros->member_count &&
	     strcmp(ros->members[end].service, service) == 0;
	     end++)
		;
	*out = ros->members + low;
	return end - low;
}

const struct bg_member *
bg_roster_find(const struct bg_roster *ros, const char *address)
{
	size_t low = 0;
	size_t high = ros->member_count;

	while (low < high) {
		size_t mid = low + (high - low) / 2;
		const struct bg_member *m = &ros->members[ros->by_address[mid]];
		int diff = strcmp(m->address, address);

		if (diff == 0)
			return m;
		if (diff < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}
