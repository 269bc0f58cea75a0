#ifndef BURDOCKGRADE_TOML_H
#define BURDOCKGRADE_TOML_H

/** @file
 * Reader of TOML files that validates every key.
 *
 * The getters of values return 1 if a value is present and valid, and store it.
 * Otherwise they return 0 and leave *out unchanged. They record a problem for a
 * value of the wrong type or out of range and for an absent key that is
 * required. They accept NULL as a table, which has no keys.
 *
 * bg_toml_finish() adds a problem for each key that no getter asked for, and
 * reports all problems in the order of their lines.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/error.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Largest file; far more than a settings file or a questionnaire needs. */
#define BG_TOML_MAX_BYTES (1024 * 1024)
#define BG_TOML_KEY_BYTES 96
#define BG_TOML_MESSAGE_BYTES 160

/** A parsed file and the problems that were found in it. */
struct bg_toml;
/** A table of a file, valid as long as its struct bg_toml. */
struct bg_toml_table;

struct bg_toml_problem {
	uint32_t line;	 /**< from 1; 0 if the file could not be read */
	uint32_t column; /**< from 1, in characters */
	/** Dotted path of the key, or "file" for the file as a whole. */
	char key[BG_TOML_KEY_BYTES];
	/** "expected ..., found ..."; what was found may be the message of the
	 * TOML parser. */
	char message[BG_TOML_MESSAGE_BYTES];
};

/** Whether an absent key is a problem. */
enum bg_toml_presence {
	BG_TOML_OPTIONAL,
	BG_TOML_REQUIRED,
};

/**
 * Reads and parses a file. A file that cannot be read, is too large or empty,
 * or is not TOML in UTF-8 yields a document with one problem and an empty root
 * table; no further problems are recorded in it.
 *
 * @return 0 or BG_ENOMEM
 */
int bg_toml_load(struct bg_toml **out, const char *path);
/**
 * As bg_toml_load(), from memory.
 *
 * @param name replaces the path in messages
 */
int bg_toml_parse(struct bg_toml **out, const char *name, const char *text,
    size_t text_bytes);
void bg_toml_free(struct bg_toml *doc);

const struct bg_toml_table *bg_toml_root(const struct bg_toml *doc);
/** Returns a sub-table, or NULL if it is absent or not a table. */
const struct bg_toml_table *bg_toml_subtable(struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key,
    enum bg_toml_presence presence);
/** Number of tables in an array of tables; 0 if it is absent or of another
 * type. */
size_t bg_toml_table_count(struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, enum bg_toml_presence presence);
/** Returns one table of an array of tables, or NULL if there is none at this
 * index. */
const struct bg_toml_table *bg_toml_table_at(struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key, size_t index);

/** Gets a string of 1 to out_bytes - 1 bytes without control characters. */
int bg_toml_string(char *out, size_t out_bytes, struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key,
    enum bg_toml_presence presence);
/** Gets an integer from min to max. */
int bg_toml_u32(uint32_t *out, struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key, uint32_t min,
    uint32_t max, enum bg_toml_presence presence);
/** Gets a boolean as 0 or 1. */
int bg_toml_bool(int *out, struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, enum bg_toml_presence presence);
/**
 * Gets a string that has to be one of a list.
 *
 * @param out index in values
 * @param values permitted strings, terminated by NULL
 */
int bg_toml_enum(int *out, struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, const char *const *values, enum bg_toml_presence presence);
/**
 * Gets an integer or decimal number as a fixed-point number.
 *
 * @param out the number multiplied by scale
 * @param scale a power of ten; more decimal places than it holds are a problem
 * @param min lower bound of *out
 * @param max upper bound of *out
 */
int bg_toml_scaled(uint32_t *out, struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key, uint32_t scale,
    uint32_t min, uint32_t max, enum bg_toml_presence presence);
/** Length of an array; 0 if it is absent, not an array or longer than max. */
size_t bg_toml_array_count(struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, size_t max, enum bg_toml_presence presence);
/** Gets one string of an array, as bg_toml_string(). Returns 0 without a
 * problem if there is no element at this index. */
int bg_toml_string_at(char *out, size_t out_bytes, struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key, size_t index);

/** 1 if the table has the key, with a value of any type. Does not count as
 * asking for the key. */
int bg_toml_has(const struct bg_toml_table *tbl, const char *key);
/**
 * Records a problem at a key, or at the table if the key is absent.
 *
 * @param tbl not NULL
 * @param fmt format of a message that begins with "expected"
 */
void bg_toml_fail(struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
/** As bg_toml_fail(), at one element of an array. */
void bg_toml_fail_at(struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key, size_t index, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));
/** Line of a key, or of the table if the key is absent. @param tbl not NULL */
uint32_t bg_toml_line(const struct bg_toml_table *tbl, const char *key);

/** Accepts keys that no getter asks for, in files whose owner may add keys that
 * this reader does not know. */
void bg_toml_allow_unknown(struct bg_toml *doc);

/**
 * Adds a problem for each unknown key and sorts the problems. Called once,
 * after the last getter.
 *
 * @param err message has a line "FILE:LINE: KEY: expected ..." for each of the
 *     first problems that fit, then the number of the others
 * @return 0 if there are no problems, BG_EINVAL if there are, BG_EIO if the
 *     file could not be read, or BG_ENOMEM if memory ran out here or in a
 *     getter
 */
int bg_toml_finish(struct bg_toml *doc, struct bg_error *err);
/** Sets *out to all problems and returns their number. Complete and sorted by
 * line after bg_toml_finish(). */
size_t bg_toml_problems(
    const struct bg_toml_problem **out, const struct bg_toml *doc);
/**
 * Formats all problems, one line each.
 *
 * @param out to be freed with free(); NULL on error
 * @return 0 or BG_ENOMEM
 */
int bg_toml_report(char **out, const struct bg_toml *doc);
/**
 * Calls bg_toml_finish(), and bg_toml_report() if that fails.
 *
 * @param out_report to be freed with free(); NULL if there are no problems or
 *     memory ran out
 */
int bg_toml_finish_report(
    char **out_report, struct bg_toml *doc, struct bg_error *err);

#ifdef __cplusplus
}
#endif

#endif
