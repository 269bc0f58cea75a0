#ifndef BG_RECORD_VIEW_H
#define BG_RECORD_VIEW_H

/** @file
 * Views of the record groups of one data centre, and the decision of its relay
 * on the next views. Pure.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/contract.h"
#include "burdockgrade/record.h"

/** Nodes that can be filled at the same time: one for each missing member. */
#define BG_RECORD_JOINING 2

/** All members of a group count as lost after this much silence, if they were
 * not seen to restart. Partitions last minutes; a shorter time could declare a
 * group lost whose members run on the other side of one. */
#define BG_VIEW_LOST_MS (30ull * 60 * 1000)

/** A process; a restarted one has another incarnation and an empty memory. */
struct bg_record_node {
	char address[BG_ADDRESS_BYTES];
	uint64_t incarnation;
};

/** The view of one group. Epoch 0: no view yet. */
struct bg_view {
	uint64_t epoch;
	uint64_t lost_ms; /**< wall clock of the loss of all members, or 0 */
	struct bg_record_node holder;
	struct bg_record_node members[BG_RECORD_MEMBERS];
	size_t member_count;
	struct bg_record_node joining[BG_RECORD_JOINING];
	size_t joining_count;
};

/** The object records/DC. */
struct bg_views {
	struct bg_view groups[BG_RECORD_GROUPS];
};

int bg_record_node_equal(
    const struct bg_record_node *a, const struct bg_record_node *b);
int bg_view_has_member(
    const struct bg_view *view, const struct bg_record_node *node);
int bg_view_has_joining(
    const struct bg_view *view, const struct bg_record_node *node);

/** Encodes as JSON. @param out free() it */
int bg_views_encode(char **out, const struct bg_views *views);
int bg_views_decode(struct bg_views *out, const char *json, size_t json_bytes,
    struct bg_error *err);

/** A process that the relay knows. */
struct bg_view_candidate {
	struct bg_record_node node;
	int is_home;	 /**< in the data centre of the groups */
	int is_alive;	 /**< announced and not marked dead */
	int is_draining; /**< announced that it will stop */
	int is_gone;	 /**< certainly ended, or silent for BG_VIEW_LOST_MS */
	int is_suspect;	 /**< a holder could not reach it a short time ago */
};

/** What the holder of a group reports of its present epoch. */
struct bg_view_report {
	uint64_t epoch;
	struct bg_record_node complete[BG_RECORD_JOINING];
	size_t complete_count;
	struct bg_record_node silent[BG_RECORD_MEMBERS + BG_RECORD_JOINING];
	size_t silent_count;
};

/** @param out free() it */
int bg_view_report_encode(char **out, const struct bg_view_report *rep);
int bg_view_report_decode(
    struct bg_view_report *out, const char *json, size_t json_bytes);

struct bg_view_input {
	const struct bg_view_candidate *candidates;
	size_t candidate_count;
	const struct bg_view_report *reports; /**< BG_RECORD_GROUPS */
	uint64_t now_wall_ms;
};

/**
 * Decides on the next views of all groups.
 *
 * @param out_changed number of groups with a new epoch; 0: nothing to write
 * @return 0 or BG_ENOMEM
 */
int bg_view_decide(struct bg_views *next, size_t *out_changed,
    const struct bg_views *current, const struct bg_view_input *in);

#endif
