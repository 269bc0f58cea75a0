#ifndef BG_PROXY_INTAKE_H
#define BG_PROXY_INTAKE_H

/** @file
 * Receiver-driven flow control of request bodies that other nodes send to this
 * gatekeeper. The link of a VM can be the scarcest resource of its server: if
 * every caller sends its body at once, small calls and control messages wait
 * behind megabytes, and bodies arrive for calls that are over.
 *
 * Callers therefore send a body in pieces, each of which the gatekeeper asks
 * for. The bytes in flight are bounded by a window, so that a small message
 * waits for a window at most. Bodies are received in the order of priority and
 * target, those that miss their target last, and one that would arrive too late
 * is refused before it is sent. No I/O; the caller passes the time.
 */

#include <stdint.h>

/** A body to receive; embedded in the owner's struct. */
struct bg_intake_entry {
	struct bg_intake_entry *prev;
	struct bg_intake_entry *next;
	int is_late;	    /**< misses its target; received after all others */
	uint32_t priority;  /**< 0 is received first */
	uint64_t target_us; /**< the earliest is received first; 0: none */
	uint64_t latest_us; /**< a later arrival of the body is useless */
	uint32_t body_bytes;
	uint32_t received_bytes;
	uint32_t granted_bytes; /**< of the piece in flight; 0: none */
	int is_listed;
};

struct bg_intake {
	struct bg_intake_entry *head; /**< by is_late, priority, target */
	struct bg_intake_entry *tail;
	uint32_t window_bytes;	  /**< limit of the bytes in flight */
	uint32_t piece_bytes;	  /**< largest piece */
	uint32_t granted_bytes;	  /**< in flight */
	double bytes_per_us;	  /**< measured rate of arrival */
	double max_bytes_per_us;  /**< rate of the link */
	uint64_t sample_start_us; /**< of the current rate sample; 0: none */
	uint64_t sample_bytes;
};

/** @param link_mbps rate of the link in Mbit/s; 0: unknown */
void bg_intake_init(struct bg_intake *out, uint32_t link_mbps);
/**
 * Adds a body unless it is not expected to arrive in time.
 *
 * @return 1 if it was added, else 0
 */
int bg_intake_add(
    struct bg_intake *itk, struct bg_intake_entry *entry, uint64_t now_us);
/** Removes a body, complete or not. Does nothing for one that is not listed. */
void bg_intake_remove(struct bg_intake *itk, struct bg_intake_entry *entry);
/** Grants the next piece, whose size is granted_bytes of the result.
 * @return NULL if the window is full or no body waits */
struct bg_intake_entry *bg_intake_grant(struct bg_intake *itk, uint64_t now_us);
/** Records the arrival of the granted piece.
 * @param bytes at most granted_bytes */
void bg_intake_receive(struct bg_intake *itk, struct bg_intake_entry *entry,
    uint32_t bytes, uint64_t now_us);
/** A body that has not begun to arrive and is not expected to arrive in time,
 * because more urgent ones came. @return NULL if there is none */
struct bg_intake_entry *bg_intake_find_infeasible(
    const struct bg_intake *itk, uint64_t now_us);
/** Expected time in which a body arrives on an idle link, in microseconds. */
uint64_t bg_intake_transfer_us(const struct bg_intake *itk, uint32_t bytes);
/** Expected time until the bytes in flight have arrived, in microseconds. */
uint64_t bg_intake_flight_us(const struct bg_intake *itk);
/** Expected time until all listed bodies have arrived, in microseconds. */
uint64_t bg_intake_backlog_us(const struct bg_intake *itk);
/** Rate at which bodies arrive, in bytes a millisecond. */
uint32_t bg_intake_bytes_per_ms(const struct bg_intake *itk);

#endif
