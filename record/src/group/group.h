#ifndef BG_RECORD_GROUP_H
#define BG_RECORD_GROUP_H

/** @file
 * One record group at one node: holder, member or joining by its view. Pure:
 * the time is a parameter, messages leave through struct bg_group_io.
 */

#include <stddef.h>
#include <stdint.h>

#include "store/store.h"
#include "view/view.h"

/** A member that does not confirm for this long is reported to the relay. */
#define BG_GROUP_SILENT_MS 2000
/** Pause before a begin is tried again when the state of its key could not be
 * determined; a view change takes several hundred milliseconds. */
#define BG_GROUP_RETRY_MS 200

enum bg_finish_status {
	BG_FINISH_RETRY = 0,  /**< not the holder, or members did not confirm */
	BG_FINISH_STORED = 1, /**< all members have the outcome */
	BG_FINISH_REFUSED = 2, /**< the grant is not known or was superseded */
};

struct bg_group;
struct bg_group_io;

/** Effects of a group. First member of what implements it. */
struct bg_group_io {
	/** Sends records; answer by bg_group_copied, never from here. */
	void (*copy)(struct bg_group_io *io, struct bg_group *grp,
	    const struct bg_record_node *to, uint64_t write_id,
	    const struct bg_xcopy_args *args);
	/** Answers a begin. */
	void (*begun)(struct bg_group_io *io, struct bg_group *grp,
	    uint64_t token, const struct bg_xbegin_res *res);
	/** Answers a finish. */
	void (*finished)(struct bg_group_io *io, struct bg_group *grp,
	    uint64_t token, enum bg_finish_status status);
	/** Complete or silent nodes changed; see bg_group_report. */
	void (*report)(struct bg_group_io *io, struct bg_group *grp);
};

struct bg_group_options {
	const char *data_centre;
	uint32_t group;
	struct bg_record_node self;
	struct bg_store *store;
	struct bg_group_io *io;
};

/** A request to run the call of a key. */
struct bg_group_request {
	uint64_t token;
	uint64_t fingerprint;
	uint64_t request_digest;
	uint64_t created_ms; /**< wall clock from the key, or 0 */
	uint32_t wait_ms;
};

int bg_group_init(struct bg_group **out, const struct bg_group_options *opts);
/** Answers nothing that is pending. */
void bg_group_free(struct bg_group *grp);
/** Answers what is pending, then frees. */
void bg_group_close(struct bg_group *grp, uint64_t now_ms);

const struct bg_view *bg_group_view(const struct bg_group *grp);
uint32_t bg_group_index(const struct bg_group *grp);
const char *bg_group_data_centre(const struct bg_group *grp);
size_t bg_group_record_count(const struct bg_group *grp);
int bg_group_is_holder(const struct bg_group *grp);
/** 1 while the view lists this node as member or joining. */
int bg_group_is_listed(const struct bg_group *grp);

/** Adopts a committed view if its epoch is higher than the one known. */
void bg_group_adopt(
    struct bg_group *grp, const struct bg_view *view, uint64_t now_ms);

/** Starts a begin; `begun` runs once, at once or later. */
void bg_group_begin(struct bg_group *grp, const struct bg_group_request *req,
    uint64_t now_ms, uint64_t now_wall_ms);
/** Gives up a begin whose caller is gone; `begun` does not run. */
void bg_group_forget(struct bg_group *grp, uint64_t token, uint64_t now_ms);

/** Stores an outcome; `finished` runs once, at once or later. */
void bg_group_finish(struct bg_group *grp, uint64_t token, uint64_t fingerprint,
    uint64_t grant, enum bg_xoutcome outcome, const struct bg_xanswer *ans,
    uint64_t now_ms);

/** Handles records from the holder. */
void bg_group_copy(struct bg_xcopy_res *out, struct bg_group *grp,
    const struct bg_xcopy_args *args, uint64_t now_ms);

/**
 * Takes the answer to a copy.
 *
 * @param epoch of the message that is answered
 * @param res NULL if no answer came
 */
void bg_group_copied(struct bg_group *grp, const struct bg_record_node *from,
    uint64_t write_id, uint64_t epoch, const struct bg_xcopy_res *res,
    uint64_t now_ms);

/** Repeats messages, ends waits, expires records. Call every 50 ms. */
void bg_group_tick(struct bg_group *grp, uint64_t now_ms);

/** What the holder reports to the relay. */
void bg_group_report(struct bg_view_report *out, const struct bg_group *grp);

#endif
