#ifndef BG_CONFIG_JSON_READ_H
#define BG_CONFIG_JSON_READ_H

/** @file
 * Strict reading of a JSON object: every key has to be present, of its type,
 * in range and known. The first problem is kept; later calls do nothing.
 */

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/error.h"

struct bg_json_reader {
	const json_t *object;
	const char *label; /**< names the object in messages */
	size_t keys_read;  /**< keys read so far */
	struct bg_error *err;
	int code; /**< 0 or BG_EPROTO */
};

/** Parses text whose top value is an object. @return NULL with err set */
json_t *bg_json_parse(const char *text, size_t text_bytes, const char *label,
    struct bg_error *err);

void bg_json_reader_init(struct bg_json_reader *out, const json_t *object,
    const char *label, struct bg_error *err);
/** Checks that no key was left unread. @return 0 or BG_EPROTO */
int bg_json_reader_finish(struct bg_json_reader *rdr);
/** Records a problem of a value that was read. */
void bg_json_fail(
    struct bg_json_reader *rdr, const char *key, const char *expected);

void bg_json_string(
    struct bg_json_reader *rdr, const char *key, char *out, size_t out_bytes);
void bg_json_u64(struct bg_json_reader *rdr, const char *key, uint64_t *out);
void bg_json_u32(struct bg_json_reader *rdr, const char *key, uint32_t *out);
void bg_json_bool(struct bg_json_reader *rdr, const char *key, int *out);
/** A digest as 16 hexadecimal digits. */
void bg_json_hex(struct bg_json_reader *rdr, const char *key, uint64_t *out);
/** One of count words. @return its index, 0 after a problem */
int bg_json_enum(struct bg_json_reader *rdr, const char *key,
    const char *const *names, size_t count);
/** An array of at most max elements. @return NULL after a problem */
const json_t *bg_json_array(
    struct bg_json_reader *rdr, const char *key, size_t max);
/** @return NULL after a problem */
const json_t *bg_json_object(struct bg_json_reader *rdr, const char *key);

/** Sets an unsigned number. @return 0, or -1 above the range of JSON */
int bg_json_set_u64(json_t *object, const char *key, uint64_t value);
int bg_json_set_hex(json_t *object, const char *key, uint64_t value);
/** Encodes with sorted keys and without spaces. @return NULL: no memory */
char *bg_json_encode(const json_t *value);
/** xxh64 of bg_json_text(). @return 0 or BG_ENOMEM */
int bg_json_digest(uint64_t *out, const json_t *value);

/** Adds the key "check": digest of the other content. @return 0 or -1 */
int bg_json_add_checksum(json_t *object);
/** Removes and verifies the key "check". @return 0 or BG_EPROTO */
int bg_json_verify_checksum(
    json_t *object, const char *label, struct bg_error *err);

#endif
