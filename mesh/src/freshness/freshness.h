#ifndef BG_MESH_FRESHNESS_H
#define BG_MESH_FRESHNESS_H

/** @file
 * Decides which nodes a node asks whether its configuration is the newest, and
 * when it has to read the store itself. All nodes ask in the same order, so
 * that mostly one of them reads the store exactly. There is no lease: two
 * readers at once do no harm, since versions only rise. No I/O; the caller
 * passes the time.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/members.h"

#define BG_FRESHNESS_CANDIDATES_MAX 8
/** Candidates of any data centre. The others are of that of the node, which may
 * be cut off from the rest. */
#define BG_FRESHNESS_COMMON_CANDIDATES 2
/** An answer that is older does not confirm the configuration. */
#define BG_FRESHNESS_AGE_MAX_MS 1000
/** A node that did not answer is no candidate for this long. */
#define BG_FRESHNESS_RETRY_MS 10000
/** Nodes of which that is remembered; the next one replaces the first. */
#define BG_FRESHNESS_FAILURES_MAX 16
/** Checks without confirmation after which a node reads the store itself,
 * whatever its rank. */
#define BG_FRESHNESS_FAILED_CHECKS_MAX 2
/** If as many nodes answer that they have lost the store, one more would not
 * reach it either, and such a check does not count. */
#define BG_FRESHNESS_LOST_MIN 3

struct bg_freshness_candidate {
	char address[BG_ADDRESS_BYTES];
	uint64_t incarnation;
};

/** A node that did not answer. */
struct bg_freshness_failure {
	struct bg_freshness_candidate node;
	uint64_t retry_ms; /**< no candidate before */
};

struct bg_freshness {
	struct bg_freshness_candidate candidates[BG_FRESHNESS_CANDIDATES_MAX];
	size_t candidate_count;
	size_t next;	     /**< of this check */
	uint32_t lost_count; /**< answers of this check that did not confirm */
	uint32_t failed_checks;
	struct bg_freshness_failure failures[BG_FRESHNESS_FAILURES_MAX];
	size_t next_failure;   /**< to be replaced */
	uint64_t confirmed_ms; /**< time as of which the version in force was
				    the newest; 0: never */
};

/** Position of a node in the order in which nodes are asked; lower ones are
 * asked first. The same on all nodes, and kept over restarts. */
uint64_t bg_freshness_rank(const char *address);
/**
 * Sets the candidates: those members that are not stopping and have the lowest
 * ranks, first of all data centres, then of that of the node. Members that did
 * not answer recently are left out, unless they have restarted.
 */
void bg_freshness_set_candidates(struct bg_freshness *fr,
    const struct bg_roster *ros, const char *data_centre, uint64_t now_ms);
/** Begins a check. */
void bg_freshness_begin(struct bg_freshness *fr);
/**
 * Returns the address of the node to ask next, which may be that of the caller,
 * or NULL if none is left. The check has failed then.
 */
const char *bg_freshness_next(struct bg_freshness *fr);
/**
 * Handles an answer.
 *
 * @param age_ms time since the store confirmed the answer
 * @return 1 if it confirms the configuration, which ends the check
 */
int bg_freshness_handle_answer(
    struct bg_freshness *fr, uint32_t age_ms, uint64_t now_ms);
/** Handles the lack of an answer. */
void bg_freshness_handle_failure(
    struct bg_freshness *fr, const char *address, uint64_t now_ms);
/** 1 if the node has to read the store itself, since the last checks failed for
 * lack of answers. */
int bg_freshness_must_read(const struct bg_freshness *fr);

#endif
