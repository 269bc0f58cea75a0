#ifndef BG_MESH_CONTENT_H
#define BG_MESH_CONTENT_H

/** @file
 * Contents of HEAD, SERVICE and ACK items and the way from a table to a
 * snapshot. Pure.
 */

#include "burdockgrade/mesh.h"
#include "burdockgrade/snapshot.h"
#include "burdockgrade/table.h"

/** Key of the one HEAD item. */
#define BG_HEAD_KEY "head"

/** Encodes the value of the HEAD item: version, digest and the `changed`
 * version of each service; the services travel as items of their own.
 * @param out free() it */
int bg_head_item_encode(char **out, const struct bg_head *head);

enum bg_build_result {
	BG_BUILD_NONE,	     /**< no head, or not newer than what is held */
	BG_BUILD_INCOMPLETE, /**< items of the head's services are missing */
	BG_BUILD_REFUSED,    /**< complete, but not valid; reason in err */
	BG_BUILD_DONE,
};

/**
 * Builds the snapshot of the table's head.
 *
 * @param held_version version in force; only newer ones are built
 * @param out_version version of the head in the table
 */
enum bg_build_result bg_content_build(struct bg_snapshot **out,
    uint64_t *out_version, const struct bg_table *tbl, uint64_t held_version,
    struct bg_error *err);

/** What a node confirms to its relay. */
struct bg_ack {
	uint64_t version; /**< in force, 0: none */
	uint64_t refused_version;
	char refused_reason[BG_REASON_BYTES];
	char parent[BG_ADDRESS_BYTES]; /**< empty: root, or not attached */
};

/** @param out free() it */
int bg_ack_encode(char **out, const struct bg_ack *ack);
int bg_ack_decode(struct bg_ack *out, const struct bg_item *item);

/** Highest version that a member of the table refused, or 0. */
uint64_t bg_content_refused(const struct bg_table *tbl);

/** Reduces the ACK items of a data centre's live members. */
void bg_content_summarize(struct bg_summary *out, const struct bg_table *tbl,
    const struct bg_roster *ros, const char *data_centre);

#endif
