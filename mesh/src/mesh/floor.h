#ifndef BG_MESH_FLOOR_H
#define BG_MESH_FLOOR_H

/** @file
 * The floor rule of section 4 of docs/design.md: a node without state serves
 * customers only once it knows the lowest version it may serve. Pure.
 */

#include <stdint.h>

/** Value of floor_version in SYNC when nothing is known; others are the
 * version plus one, so that an empty platform (version 0) can be told. */
#define BG_FLOOR_WIRE_NONE 0

/** want_floor in SYNC. A process asks once: any read after that is late enough
 * for it. An inner node asks anew for children that came in the meantime. */
enum bg_floor_want {
	BG_FLOOR_NO = 0,
	BG_FLOOR_YES = 1,
	BG_FLOOR_ANEW = 2,
};

/** What a node knows of its floor. */
struct bg_floor {
	int is_known;
	uint64_t version;
};

/** An answer of a parent that may carry the floor. */
struct bg_floor_answer {
	uint64_t wire;	       /**< floor_version of the reply */
	int was_asked;	       /**< the call asked for it */
	int is_leased;	       /**< the root answered under a lease */
	uint32_t remaining_ms; /**< of that lease */
	uint64_t term;
	uint64_t highest_term; /**< that the node has seen */
};

/** The node's own read of the head. The floor never goes down. */
void bg_floor_own_read(struct bg_floor *flr, uint64_t version);
/** @return 1 if the answer settles the floor */
int bg_floor_answered(
    struct bg_floor *flr, const struct bg_floor_answer *answer);
/** 1 if a snapshot of this version may be put in force. */
int bg_floor_allows(const struct bg_floor *flr, uint64_t version);

/** Reads of the head on behalf of others: a read settles exactly the requests
 * that arrived before it started. Counts instead of times, so that no two
 * events can be mistaken for simultaneous ones. */
struct bg_floor_reads {
	uint64_t requested; /**< number of the last request */
	uint64_t started;   /**< requests covered by the read under way */
	uint64_t settled;   /**< requests covered by the last good read */
	uint64_t version;   /**< of the last good read */
	int is_reading;
};

/** A request arrives. @return its number */
uint64_t bg_floor_request(struct bg_floor_reads *rds);
/** 1 if a read has to start now. */
int bg_floor_read_is_due(const struct bg_floor_reads *rds);
void bg_floor_read_started(struct bg_floor_reads *rds);
void bg_floor_read_done(
    struct bg_floor_reads *rds, int is_good, uint64_t version);
/** Wire value for a request. @param is_valid the lease is held, or the root's
 * lease known here has not run out */
uint64_t bg_floor_reply(
    const struct bg_floor_reads *rds, uint64_t request, int is_valid);

#endif
