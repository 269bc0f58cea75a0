#ifndef BG_CONFIG_JSON_READ_H
#define BG_CONFIG_JSON_READ_H

/** @file
 * Strict reading of JSON objects, and canonical encoding for digests. An object
 * is valid if every key is present, of the expected type, in range and known.
 * The reader keeps the first error; later calls do nothing.
 */

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/error.h"

struct bg_json_reader {
	const json_t *object;
	const char *label; /**< names the object in messages */
	size_t keys_read;
	struct bg_error *err;
	int code; /**< 0 or BG_EPROTO */
};

/** Parses text that must hold a JSON object. Duplicate keys are an error.
 * @return a new reference, or NULL with BG_EPROTO in err */
json_t *bg_json_parse(const char *text, size_t text_bytes, const char *label,
    struct bg_error *err);

/** Starts to read an object, which must outlive the reader.
 * @param label names the object in messages */
void bg_json_reader_init(struct bg_json_reader *out, const json_t *object,
    const char *label, struct bg_error *err);
/** Checks that every key of the object was read. @return 0 or BG_EPROTO */
int bg_json_reader_finish(struct bg_json_reader *rdr);
/** Records an error of a value, unless there is one already.
 * @param expected text that follows "expected" in the message */
void bg_json_fail(
    struct bg_json_reader *rdr, const char *key, const char *expected);

/* The functions below read the value of one key. After an error *out is not
 * valid. */

/** Reads a string of at most out_bytes - 1 bytes. */
void bg_json_string(
    struct bg_json_reader *rdr, const char *key, char *out, size_t out_bytes);
/** Reads an integer from 0 to INT64_MAX. */
void bg_json_u64(struct bg_json_reader *rdr, const char *key, uint64_t *out);
void bg_json_u32(struct bg_json_reader *rdr, const char *key, uint32_t *out);
void bg_json_bool(struct bg_json_reader *rdr, const char *key, int *out);
/** Reads a digest of 16 hexadecimal digits in lower case. */
void bg_json_hex(struct bg_json_reader *rdr, const char *key, uint64_t *out);
/** Reads one of count names. @return its index, 0 on error */
int bg_json_enum(struct bg_json_reader *rdr, const char *key,
    const char *const *names, size_t count);
/** Reads an array of at most max elements.
 * @return a borrowed reference, or NULL on error */
const json_t *bg_json_array(
    struct bg_json_reader *rdr, const char *key, size_t max);
/** Reads an object. @return a borrowed reference, or NULL on error */
const json_t *bg_json_object(struct bg_json_reader *rdr, const char *key);

/** Sets an integer. @return 0, or -1 if it is above INT64_MAX or memory is
 * exhausted */
int bg_json_set_u64(json_t *object, const char *key, uint64_t value);
/** Sets a string of 16 hexadecimal digits.
 * @return 0, or -1 if memory is exhausted */
int bg_json_set_hex(json_t *object, const char *key, uint64_t value);
/** Encodes an object with sorted keys and without spaces.
 * @return text to be freed by the caller, or NULL if memory is exhausted */
char *bg_json_encode(const json_t *value);
/** Computes the xxh64 digest (seed 0) of bg_json_encode().
 * @return 0 or BG_ENOMEM */
int bg_json_digest(uint64_t *out, const json_t *value);

/** Adds the key "check" with the digest of the other keys.
 * @return 0, or -1 if memory is exhausted */
int bg_json_add_checksum(json_t *object);
/** Removes the key "check" and compares it with the digest of the other keys.
 * @return 0, BG_EPROTO or BG_ENOMEM, with the reason in err */
int bg_json_verify_checksum(
    json_t *object, const char *label, struct bg_error *err);

#endif
