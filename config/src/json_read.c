#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "json_read.h"

/* Digits of a 64-bit digest. */
#define HEX_DIGITS 16

json_t *
bg_json_parse(const char *text, size_t text_bytes, const char *label,
    struct bg_error *err)
{
	json_error_t json_err;
	json_t *value;

	value = json_loadb(text, text_bytes, JSON_REJECT_DUPLICATES, &json_err);
	if (value == NULL) {
		bg_error_set(err, BG_EPROTO, "decode", NULL,
		    "%s: line %d, column %d: %.120s", label, json_err.line,
		    json_err.column, json_err.text);
		return NULL;
	}
	if (!json_is_object(value)) {
		bg_error_set(err, BG_EPROTO, "decode", NULL,
		    "%s: expected an object", label);
		json_decref(value);
		return NULL;
	}
	return value;
}

void
bg_json_reader_init(struct bg_json_reader *out, const json_t *object,
    const char *label, struct bg_error *err)
{
	memset(out, 0, sizeof(*out));
	out->object = object;
	out->label = label;
	out->err = err;
	if (!json_is_object(object))
		bg_json_fail(out, "value", "an object");
}

void
bg_json_fail(struct bg_json_reader *rdr, const char *key, const char *expected)
{
	if (rdr->code == 0)
		rdr->code = bg_error_set(rdr->err, BG_EPROTO, "decode", NULL,
		    "%s: %s: expected %s", rdr->label, key, expected);
}

int
bg_json_reader_finish(struct bg_json_reader *rdr)
{
	if (rdr->code == 0 && json_object_size(rdr->object) != rdr->keys_read)
		bg_json_fail(rdr, "value", "no other keys");
	return rdr->code;
}

/* @return the value of a key, or NULL if it is absent or an error occurred */
static const json_t *
read_value(struct bg_json_reader *rdr, const char *key)
{
	const json_t *value;

	if (rdr->code != 0)
		return NULL;
	if ((value = json_object_get(rdr->object, key)) == NULL)
		bg_json_fail(rdr, key, "the key to be present");
	rdr->keys_read++;
	return value;
}

void
bg_json_string(
    struct bg_json_reader *rdr, const char *key, char *out, size_t out_bytes)
{
	const json_t *value = read_value(rdr, key);

	if (value == NULL)
		return;
	if (!json_is_string(value) || json_string_length(value) >= out_bytes) {
		bg_json_fail(rdr, key, "a string that is not too long");
		return;
	}
	memcpy(out, json_string_value(value), json_string_length(value) + 1);
}

void
bg_json_u64(struct bg_json_reader *rdr, const char *key, uint64_t *out)
{
	const json_t *value = read_value(rdr, key);

	if (value == NULL)
		return;
	if (!json_is_integer(value) || json_integer_value(value) < 0) {
		bg_json_fail(rdr, key, "an unsigned integer");
		return;
	}
	*out = (uint64_t)json_integer_value(value);
}

void
bg_json_u32(struct bg_json_reader *rdr, const char *key, uint32_t *out)
{
	uint64_t value = 0;

	bg_json_u64(rdr, key, &value);
	if (value > UINT32_MAX) {
		bg_json_fail(rdr, key, "an integer of 32 bits");
		return;
	}
	*out = (uint32_t)value;
}

void
bg_json_bool(struct bg_json_reader *rdr, const char *key, int *out)
{
	const json_t *value = read_value(rdr, key);

	if (value == NULL)
		return;
	if (!json_is_boolean(value)) {
		bg_json_fail(rdr, key, "true or false");
		return;
	}
	*out = json_is_true(value) ? 1 : 0;
}

void
bg_json_hex(struct bg_json_reader *rdr, const char *key, uint64_t *out)
{
	char text[HEX_DIGITS + 1] = "";

	bg_json_string(rdr, key, text, sizeof(text));
	if (strspn(text, "0123456789abcdef") != HEX_DIGITS) {
		bg_json_fail(rdr, key, "16 hexadecimal digits");
		return;
	}
	*out = strtoull(text, NULL, 16);
}

int
bg_json_enum(struct bg_json_reader *rdr, const char *key,
    const char *const *names, size_t count)
{
	const json_t *value = read_value(rdr, key);
	size_t i;

	for (i = 0; json_is_string(value) && i < count; i++)
		if (strcmp(json_string_value(value), names[i]) == 0)
			return (int)i;
	bg_json_fail(rdr, key, "a known word");
	return 0;
}

const json_t *
bg_json_array(struct bg_json_reader *rdr, const char *key, size_t max)
{
	const json_t *value = read_value(rdr, key);

	if (value == NULL)
		return NULL;
	if (!json_is_array(value) || json_array_size(value) > max) {
		bg_json_fail(rdr, key, "an array that is not too long");
		return NULL;
	}
	return value;
}

const json_t *
bg_json_object(struct bg_json_reader *rdr, const char *key)
{
	const json_t *value = read_value(rdr, key);

	if (value != NULL && !json_is_object(value)) {
		bg_json_fail(rdr, key, "an object");
		return NULL;
	}
	return value;
}

int
bg_json_set_u64(json_t *object, const char *key, uint64_t value)
{
	if (value > INT64_MAX)
		return -1;
	return json_object_set_new(
	    object, key, json_integer((json_int_t)value));
}

int
bg_json_set_hex(json_t *object, const char *key, uint64_t value)
{
	char text[HEX_DIGITS + 1];

	snprintf(text, sizeof(text), "%016" PRIx64, value);
	return json_object_set_new(object, key, json_string(text));
}

char *
bg_json_encode(const json_t *value)
{
	return json_dumps(value, JSON_SORT_KEYS | JSON_COMPACT);
}

int
bg_json_digest(uint64_t *out, const json_t *value)
{
	char *text = bg_json_encode(value);

	if (text == NULL)
		return BG_ENOMEM;
	*out = XXH64(text, strlen(text), 0);
	free(text);
	return 0;
}

int
bg_json_add_checksum(json_t *object)
{
	uint64_t digest;

	if (bg_json_digest(&digest, object) != 0)
		return -1;
	return bg_json_set_hex(object, "check", digest);
}

int
bg_json_verify_checksum(json_t *object, const char *label, struct bg_error *err)
{
	struct bg_json_reader rdr;
	uint64_t expected = 0;
	uint64_t digest;

	bg_json_reader_init(&rdr, object, label, err);
	bg_json_hex(&rdr, "check", &expected);
	if (rdr.code != 0)
		return rdr.code;
	json_object_del(object, "check");
	if (bg_json_digest(&digest, object) != 0)
		return bg_error_set(
		    err, BG_ENOMEM, "decode", NULL, "%s: out of memory", label);
	if (digest != expected)
		return bg_error_set(err, BG_EPROTO, "decode", NULL,
		    "%s: check: expected the digest of the content", label);
	return 0;
}
