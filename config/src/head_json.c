#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "burdockgrade/snapshot.h"

#include "json_read.h"

/* Indexed by enum bg_move_state. */
static const char *const MOVE_STATE_NAMES[] = {
    "none", "in_progress", "done", "rolled_back"};

static json_t *
move_json(const struct bg_move *mv)
{
	json_t *value;
	int failed;

	value = json_pack("{s:s, s:s, s:s, s:I, s:I, s:b, s:s, s:s}", "state",
	    MOVE_STATE_NAMES[mv->state], "from", mv->from, "to", mv->to, "step",
	    (json_int_t)mv->step, "share_permille",
	    (json_int_t)mv->share_permille, "late", mv->is_late, "reason",
	    mv->reason, "retired", mv->retired);
	if (value == NULL)
		return NULL;
	failed = bg_json_set_u64(value, "generation", mv->generation);
	failed |= bg_json_set_u64(value, "started_ms", mv->started_ms);
	failed |= bg_json_set_u64(value, "deadline_ms", mv->deadline_ms);
	failed |= bg_json_set_u64(value, "step_since_ms", mv->step_since_ms);
	if (failed != 0) {
		json_decref(value);
		return NULL;
	}
	return value;
}

static json_t *
service_json(const struct bg_head_service *svc)
{
	json_t *value;
	int failed;

	value = json_pack("{s:b, s:o}", "withdrawn", svc->is_withdrawn, "move",
	    move_json(&svc->move));
	if (value == NULL)
		return NULL;
	failed = bg_json_set_u64(value, "rev", svc->rev);
	failed |= bg_json_set_u64(value, "changed", svc->changed);
	failed |= bg_json_set_u64(value, "since_ms", svc->since_ms);
	failed |= bg_json_set_hex(value, "digest", svc->digest);
	if (failed != 0) {
		json_decref(value);
		return NULL;
	}
	return value;
}

/* Reads a move; an error is passed on to the reader of the service. */
static void
read_move(
    struct bg_move *out, const json_t *value, struct bg_json_reader *parent)
{
	struct bg_json_reader rdr;

	if (value == NULL)
		return;
	bg_json_reader_init(&rdr, value, "move", parent->err);
	out->state = (enum bg_move_state)bg_json_enum(
	    &rdr, "state", MOVE_STATE_NAMES, 4);
	bg_json_string(&rdr, "from", out->from, sizeof(out->from));
	bg_json_string(&rdr, "to", out->to, sizeof(out->to));
	bg_json_u32(&rdr, "step", &out->step);
	bg_json_u32(&rdr, "share_permille", &out->share_permille);
	bg_json_bool(&rdr, "late", &out->is_late);
	bg_json_string(&rdr, "reason", out->reason, sizeof(out->reason));
	bg_json_string(&rdr, "retired", out->retired, sizeof(out->retired));
	bg_json_u64(&rdr, "generation", &out->generation);
	bg_json_u64(&rdr, "started_ms", &out->started_ms);
	bg_json_u64(&rdr, "deadline_ms", &out->deadline_ms);
	bg_json_u64(&rdr, "step_since_ms", &out->step_since_ms);
	if (bg_json_reader_finish(&rdr) != 0)
		parent->code = rdr.code;
}

/* Reads the fields except the name, which is the key of the object. */
static int
read_service(
    struct bg_head_service *out, const json_t *value, struct bg_error *err)
{
	struct bg_json_reader rdr;

	bg_json_reader_init(&rdr, value, "service", err);
	bg_json_bool(&rdr, "withdrawn", &out->is_withdrawn);
	bg_json_u64(&rdr, "rev", &out->rev);
	bg_json_u64(&rdr, "changed", &out->changed);
	bg_json_u64(&rdr, "since_ms", &out->since_ms);
	bg_json_hex(&rdr, "digest", &out->digest);
	read_move(&out->move, bg_json_object(&rdr, "move"), &rdr);
	return bg_json_reader_finish(&rdr);
}

static json_t *
services_json(const struct bg_head *head)
{
	json_t *value = json_object();
	size_t i;

	for (i = 0; i < head->service_count; i++) {
		if (json_object_set_new(value, head->services[i].name,
			service_json(&head->services[i])) != 0) {
			json_decref(value);
			return NULL;
		}
	}
	return value;
}

json_t *
bg_head_to_json(const struct bg_head *head)
{
	json_t *value = json_pack("{s:s, s:s, s:o}", "writer", head->writer,
	    "nonce", head->nonce, "services", services_json(head));

	if (value != NULL &&
	    (bg_json_set_u64(value, "version", head->version) != 0 ||
		bg_json_add_checksum(value) != 0)) {
		json_decref(value);
		return NULL;
	}
	return value;
}

int
bg_head_encode(char **out, const struct bg_head *head)
{
	json_t *value = bg_head_to_json(head);

	*out = NULL;
	if (value == NULL)
		return BG_EINVAL;
	*out = bg_json_encode(value);
	json_decref(value);
	return *out == NULL ? BG_ENOMEM : 0;
}

static int
read_services(struct bg_head *out, const json_t *value, struct bg_error *err)
{
	struct bg_head_service *svc;
	const char *name;
	json_t *entry;

	json_object_foreach((json_t *)value, name, entry)
	{
		if (strlen(name) >= BG_NAME_BYTES || name[0] == '\0')
			return bg_error_set(err, BG_EPROTO, "decode", NULL,
			    "head: services: expected service names");
		if ((svc = bg_head_add(out, name)) == NULL)
			return bg_error_set(err, BG_ENOMEM, "decode", NULL,
			    "head: out of memory");
		if (read_service(svc, entry, err) != 0)
			return BG_EPROTO;
	}
	return 0;
}

static int
read_head(struct bg_head *out, json_t *value, struct bg_error *err)
{
	struct bg_json_reader rdr;
	const json_t *services;
	int error;

	if ((error = bg_json_verify_checksum(value, "head", err)) != 0)
		return error;
	bg_json_reader_init(&rdr, value, "head", err);
	bg_json_u64(&rdr, "version", &out->version);
	bg_json_string(&rdr, "writer", out->writer, sizeof(out->writer));
	bg_json_string(&rdr, "nonce", out->nonce, sizeof(out->nonce));
	services = bg_json_object(&rdr, "services");
	if ((error = bg_json_reader_finish(&rdr)) != 0)
		return error;
	return read_services(out, services, err);
}

int
bg_head_from_json(
    struct bg_head *out, const json_t *value, struct bg_error *err)
{
	/* The copy is shallow: only its checksum key is removed. */
	json_t *copy = json_copy((json_t *)value);
	int error;

	bg_head_init(out);
	if (copy == NULL)
		return bg_error_set(
		    err, BG_EPROTO, "decode", NULL, "head: expected an object");
	if ((error = read_head(out, copy, err)) != 0)
		bg_head_free(out);
	json_decref(copy);
	return error;
}

int
bg_head_decode(struct bg_head *out, const char *json, size_t json_bytes,
    struct bg_error *err)
{
	json_t *value = bg_json_parse(json, json_bytes, "head", err);
	int error;

	bg_head_init(out);
	if (value == NULL)
		return BG_EPROTO;
	error = bg_head_from_json(out, value, err);
	json_decref(value);
	return error;
}

/* Hashes a number in little-endian order, so that the digest is the same on all
 * machines. */
static void
update_u64(XXH64_state_t *state, uint64_t value)
{
	unsigned char bytes[8];
	size_t i;

	for (i = 0; i < sizeof(bytes); i++)
		bytes[i] = (unsigned char)(value >> (8 * i));
	XXH64_update(state, bytes, sizeof(bytes));
}

uint64_t
bg_head_digest(const struct bg_head *head)
{
	const struct bg_head_service *svc;
	XXH64_state_t *state = XXH64_createState();
	uint64_t digest;
	size_t i;

	if (state == NULL)
		return 0;
	XXH64_reset(state, 0);
	for (i = 0; i < head->service_count; i++) {
		svc = &head->services[i];
		XXH64_update(state, svc->name, strlen(svc->name) + 1);
		update_u64(state, svc->changed);
		update_u64(state, svc->digest);
	}
	digest = XXH64_digest(state);
	XXH64_freeState(state);
	return digest;
}
