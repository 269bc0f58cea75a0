#ifndef BG_QUOTA_TENURE_H
#define BG_QUOTA_TENURE_H

/** @file
 * Decides who owns a slot, that is a share of the caps of a group of
 * organisations. The owner is written in an object of the store under
 * condition and renews it; who finds it unchanged for longer than that takes it
 * over. So no two nodes own a slot at once, however long a message takes. Pure:
 * takes the time and does no I/O.
 *
 * The times of different nodes are not compared. An owner counts its lease from
 * before it sent the write, another node from when it first saw the result.
 */

#include <stdint.h>

#include "burdockgrade/contract.h"
#include "burdockgrade/table.h"

/** Time for which a write to the store makes a node the owner. Longer than the
 * outages of the store that caps have to outlast. */
#define BG_TENURE_LEASE_MS 20000
/** Interval at which the owner renews it. */
#define BG_TENURE_RENEW_MS 7000

/** The object of a slot, as read from the store. */
struct bg_tenure_record {
	uint64_t revision; /**< 0: there is no object */
	char owner[BG_ADDRESS_BYTES];
	uint64_t process; /**< random, new with each start of the owner */
	int is_released;  /**< the owner has given it up */
};

enum bg_tenure_action {
	BG_TENURE_WAIT,
	BG_TENURE_READ,
	BG_TENURE_WRITE, /**< own record under the condition of the revision
			  * last read; creates the object if that is 0 */
};

struct bg_tenure {
	const char *address; /**< of this node */
	uint64_t process;
	uint64_t process_start_ms;
	struct bg_tenure_record record; /**< last read or written */
	int is_read;			/**< record is known */
	int is_asked;	       /**< by another node, since the last read */
	uint64_t seen_ms;      /**< when the record's revision was first seen */
	uint64_t read_ms;      /**< last read or write */
	uint64_t lease_end_ms; /**< as owner; 0: this node is not the owner */
	uint64_t tenure;       /**< identifies the time as owner; increases with
				* each owner of the slot */
	uint64_t clean_ms;     /**< earlier owners granted nothing after this */
};

void bg_tenure_init(struct bg_tenure *out, const char *address,
    uint64_t process, uint64_t process_start_ms);
/**
 * Decides what to do next.
 *
 * @param rank place of this node among the candidates for the slot, from 0; -1
 *     if it is none
 */
enum bg_tenure_action bg_tenure_next(
    struct bg_tenure *tnr, int rank, uint64_t now_ms);
/** Takes a record that was read, or that a failed condition returned. */
void bg_tenure_observe(struct bg_tenure *tnr,
    const struct bg_tenure_record *record, uint64_t now_ms);
/** The write took effect. @param sent_ms time at which it was sent */
void bg_tenure_written(struct bg_tenure *tnr, uint64_t revision,
    uint64_t sent_ms, uint64_t now_ms);
/** Another node asked this one for tokens, although it is not the owner. The
 * slot may be free, so the record is read again soon. */
void bg_tenure_asked(struct bg_tenure *tnr);
/** 1 if the next read has to show the newest record: after a write whose
 * outcome is not known, or when the slot may have been given up. */
int bg_tenure_needs_exact_read(const struct bg_tenure *tnr);
/** A write failed, or its outcome is unknown: the record is read again. */
void bg_tenure_forget(struct bg_tenure *tnr, uint64_t now_ms);
/** 1 while this node may grant. */
int bg_tenure_is_owner(const struct bg_tenure *tnr, uint64_t now_ms);
/** Ends the ownership. The object is then written with is_released. */
void bg_tenure_release(struct bg_tenure *tnr);

#endif
