#ifndef BG_RECORD_STORE_H
#define BG_RECORD_STORE_H

/** @file
 * Records of the groups of this node within one memory limit. Pure: the time
 * is a parameter.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/wire_xdr.h"

/** Callers may send a key again within this time. */
#define BG_RECORD_KEEP_MS (24ull * 3600 * 1000)
/** Answers are kept shorter, since they take most of the memory. */
#define BG_ANSWER_KEEP_MS (3600ull * 1000)
/** A quarter of the memory that a node may use for control. */
#define BG_STORE_BYTES (64u << 20)
/** Largest encoded answer: a body of 16 KiB with 4 KiB of headers. */
#define BG_ANSWER_BYTES (20u << 10)

/** States of a record. Of two records with the same grant, the higher state
 * wins: a final outcome replaces unknown, and done replaces not-run. */
enum bg_record_state {
	BG_RECORD_STARTED = 1,
	BG_RECORD_UNKNOWN = 2,
	BG_RECORD_NOT_RUN = 3,
	BG_RECORD_DONE = 4,
};

struct bg_kept_answer;

struct bg_record {
	uint64_t fingerprint; /**< xxh64 of the scoped key */
	uint64_t request_digest;
	uint64_t grant;
	struct bg_kept_answer *answer; /**< NULL if none is kept */
	uint32_t born_s;	       /**< see bg_record_born_s */
	uint8_t state; /**< enum bg_record_state; 0: free slot */
};

/** Time of a grant that was given age_ms ago. Shifted, so that records older
 * than the uptime of this VM have a time as well. */
uint32_t bg_record_born_s(uint64_t now_ms, uint64_t age_ms);
uint64_t bg_record_age_ms(const struct bg_record *rec, uint64_t now_ms);

/** Memory of all groups of a node. */
struct bg_store;

int bg_store_init(struct bg_store **out, size_t limit_bytes);
/** All sets must have been freed before. */
void bg_store_free(struct bg_store *sto);
size_t bg_store_used_bytes(const struct bg_store *sto);
/** Drops answers whose time has passed. */
void bg_store_expire(struct bg_store *sto, uint64_t now_ms);

/** The records of one group. */
struct bg_record_set;

int bg_record_set_init(struct bg_record_set **out, struct bg_store *sto);
void bg_record_set_free(struct bg_record_set *set);
/** Removes all records and gives back their memory. */
void bg_record_set_clear(struct bg_record_set *set);
size_t bg_record_set_count(const struct bg_record_set *set);
/** Finds a record; valid until the next change of the set. */
const struct bg_record *bg_record_set_find(
    const struct bg_record_set *set, uint64_t fingerprint);

/**
 * Merges a record: the higher (grant, state) wins.
 *
 * @param rec its answer member is ignored
 * @param ans may be NULL; kept if it fits, after dropping older answers
 * @return 0, or BG_ELIMIT if a new record does not fit into the memory
 */
int bg_record_set_merge(struct bg_record_set *set, const struct bg_record *rec,
    const struct bg_xanswer *ans, uint64_t now_ms);

/** Removes records older than BG_RECORD_KEEP_MS among the next slots.
 * @param slots number of slots to look at */
void bg_record_set_sweep(
    struct bg_record_set *set, uint64_t now_ms, size_t slots);

/** Lists the fingerprints of all records. @param out free() it */
int bg_record_set_list(
    uint64_t **out, size_t *out_count, const struct bg_record_set *set);

/** Decodes a kept answer. @param out released by xdr_free(xdr_bg_xanswer) */
int bg_kept_answer_decode(
    struct bg_xanswer *out, const struct bg_kept_answer *kept);

#endif
