#ifndef BURDOCKGRADE_TOML_H
#define BURDOCKGRADE_TOML_H

/** @file
 * Reader of TOML files in which every key is checked.
 *
 * The getters record a problem for a value of the wrong type or out of range
 * and mark the key as known. bg_toml_finish() adds a problem for each key that
 * no getter asked for and reports all problems in the order of their lines.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/error.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A larger file is certainly not a settings file or a questionnaire. */
#define BG_TOML_MAX_BYTES (1024 * 1024)
#define BG_TOML_KEY_BYTES 96
#define BG_TOML_MESSAGE_BYTES 160

/** A parsed file and the problems found in it. */
struct bg_toml;
/** A table of a file; lives as long as the file. */
struct bg_toml_table;

struct bg_toml_problem {
	uint32_t line;	 /**< from 1; 0: the file could not be read */
	uint32_t column; /**< from 1, counted in characters */
	char key[BG_TOML_KEY_BYTES]; /**< dotted, "file" for the whole file */
	/** "expected ..., found ..." or the parser's explanation */
	char message[BG_TOML_MESSAGE_BYTES];
};

/** How a getter treats an absent key. */
enum bg_toml_presence {
	BG_TOML_OPTIONAL,
	BG_TOML_REQUIRED,
};

/**
 * Reads a file. A file that is missing, too large, empty, not UTF-8 or not
 * TOML gives a document with one problem and an empty root table.
 *
 * @return 0 or BG_ENOMEM
 */
int bg_toml_load(struct bg_toml **out, const char *path);
/** The same from memory. @param name stands for the path in messages */
int bg_toml_parse(struct bg_toml **out, const char *name, const char *text,
    size_t text_bytes);
void bg_toml_free(struct bg_toml *doc);

const struct bg_toml_table *bg_toml_root(const struct bg_toml *doc);
/** A sub-table. @return NULL if it is absent or not a table */
const struct bg_toml_table *bg_toml_subtable(struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key,
    enum bg_toml_presence presence);
/** Number of tables of an array of tables; 0 if absent or another type. */
size_t bg_toml_table_count(struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, enum bg_toml_presence presence);
/** One table of an array of tables, or NULL. */
const struct bg_toml_table *bg_toml_table_at(struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key, size_t index);

/** The getters below return 1 if the value was present and valid and was
 * stored, else 0; *out then keeps its value. */

/** A string of 1 to out_bytes - 1 bytes without control characters. */
int bg_toml_string(char *out, size_t out_bytes, struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key,
    enum bg_toml_presence presence);
int bg_toml_u32(uint32_t *out, struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key, uint32_t min,
    uint32_t max, enum bg_toml_presence presence);
int bg_toml_bool(int *out, struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, enum bg_toml_presence presence);
/** One of a list of words. @param words ends with NULL @param out index */
int bg_toml_enum(int *out, struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, const char *const *values, enum bg_toml_presence presence);
/**
 * An integer or decimal number, stored times scale.
 *
 * @param scale a power of ten; a number with more digits is a problem
 * @param min, max already scaled
 */
int bg_toml_scaled(uint32_t *out, struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key, uint32_t scale,
    uint32_t min, uint32_t max, enum bg_toml_presence presence);
/** Length of an array; 0 if absent or another type. */
size_t bg_toml_array_count(struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, size_t max, enum bg_toml_presence presence);
/** One string of an array, as bg_toml_string. */
int bg_toml_string_at(char *out, size_t out_bytes, struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key, size_t index);

/** 1 if the table has the key, whatever its type. */
int bg_toml_has(const struct bg_toml_table *tbl, const char *key);
/**
 * Records a problem at a key, or at the table itself if the key is absent.
 *
 * @param fmt what was expected, begins with "expected"
 */
void bg_toml_fail(struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
/** Records a problem at one element of an array. */
void bg_toml_fail_at(struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, size_t index, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));
/** Line of a key, of the table if the key is absent. */
uint32_t bg_toml_line(const struct bg_toml_table *tbl, const char *key);

/** Keys that no getter asked for are no problem: the file belongs to someone
 * else, who may add some. */
void bg_toml_allow_unknown(struct bg_toml *doc);

/**
 * Adds the unknown keys and closes the list of problems.
 *
 * @param err message has one "FILE:LINE: KEY: expected ..." line for each
 *     problem as far as they fit, then the number of the others
 * @return 0, BG_EIO if the file could not be read, or BG_EINVAL
 */
int bg_toml_finish(struct bg_toml *doc, struct bg_error *err);
/** All problems, sorted by line; complete after bg_toml_finish(). */
size_t bg_toml_problems(
    const struct bg_toml_problem **out, const struct bg_toml *doc);
/** The complete text of the problems. @param out free() it
 * @return 0 or BG_ENOMEM */
int bg_toml_report(char **out, const struct bg_toml *doc);
/** bg_toml_finish(), and the report if there are problems.
 * @param out_report free() it; NULL without problems */
int bg_toml_finish_report(
    char **out_report, struct bg_toml *doc, struct bg_error *err);

#ifdef __cplusplus
}
#endif

#endif
