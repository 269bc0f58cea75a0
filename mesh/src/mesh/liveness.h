#ifndef BG_MESH_LIVENESS_H
#define BG_MESH_LIVENESS_H

/** @file
 * Which members of its data centre a root has to mark dead. Pure.
 *
 * A parent marks its own children. The root also finds members that have no
 * living parent: an inner node and its children may die at the same time, and
 * entries of processes that no longer exist return from other data centres.
 */

#include "burdockgrade/members.h"
#include "burdockgrade/table.h"

/** A member without sign of life for this long is marked dead. */
#define BG_DEAD_AFTER_MS 3000

struct bg_suspect {
	char address[BG_ADDRESS_BYTES];
	uint64_t since_ms;
};

struct bg_liveness {
	struct bg_suspect *suspects; /**< sorted by address */
	size_t suspect_count;
};

/** Whether the root has a session with this member. */
typedef int (*bg_is_child_fn)(void *arg, const char *address);

void bg_liveness_init(struct bg_liveness *out);
void bg_liveness_free(struct bg_liveness *lvn);
/** Forgets all suspicions, for a node that stops being root. */
void bg_liveness_reset(struct bg_liveness *lvn);

/** 1 if the member is attached below the root: a child, or its parent by its
 * ACK is a living member. */
int bg_liveness_is_attached(const struct bg_table *tbl,
    const struct bg_roster *ros, const char *root, const struct bg_member *m,
    bg_is_child_fn is_child, void *arg);

/**
 * Updates the suspicions and lists the members to be marked dead.
 *
 * @param out array of at least member_count entries
 * @return number of entries
 */
size_t bg_liveness_check(const struct bg_member **out, struct bg_liveness *lvn,
    const struct bg_table *tbl, const struct bg_roster *ros, const char *root,
    const char *data_centre, bg_is_child_fn is_child, void *arg,
    uint64_t now_ms);

#endif
