#ifndef BG_RECORD_GROUP_INTERNAL_H
#define BG_RECORD_GROUP_INTERNAL_H

#include <uthash.h>

#include "group/group.h"

#define TARGETS_MAX (BG_RECORD_MEMBERS - 1 + BG_RECORD_JOINING)
/** Write id of messages that fill a joining node. */
#define FILL_ID 1
/** Hint for a caller whose key was refused for lack of memory. */
#define FULL_RETRY_MS 5000
/** Write id of messages whose answer does not matter. */
#define UNTRACKED_ID 0

/** A member or joining node that the holder writes to. */
struct target {
	struct bg_record_node node;
	int is_joining;
	int is_complete; /**< joining, has all records, is reported */
	int is_dropped;	 /**< joining, is not written to in this epoch */
	int is_silent;
	uint64_t
	    waiting_since_ms; /**< oldest message without answer; 0: none */
	uint64_t *fill;	      /**< fingerprints to send */
	size_t fill_count;
	size_t fill_at;	  /**< first one that is not confirmed */
	size_t fill_next; /**< first one that was not sent */
	int fill_sent_last;
	int fill_in_flight;
	uint64_t fill_retry_ms;
};

enum write_kind {
	WRITE_START,   /**< grants if all confirm */
	WRITE_CERTIFY, /**< answers not-run if all confirm */
	WRITE_FINISH,
};

/** Records on their way to all targets. */
struct write {
	uint64_t id;
	enum write_kind kind;
	uint64_t fingerprint;
	uint64_t grant;
	uint64_t token; /**< 0: nobody waits for the answer */
	uint32_t run_ms;
	uint32_t pending; /**< bits of targets that have not answered */
	uint32_t flying;  /**< bits of targets with a message under way */
	int is_refused;	  /**< a target had no room */
	uint64_t retry_ms[TARGETS_MAX];
	uint64_t deadline_ms;
	struct write *prev;
	struct write *next;
};

/** A begin that waits for the outcome of a running call. */
struct waiter {
	struct bg_group_request request;
	uint64_t until_ms;
	struct waiter *prev;
	struct waiter *next;
};

/** A call that this holder granted. */
struct running {
	uint64_t fingerprint;
	uint64_t until_ms;
	UT_hash_handle hh;
};

struct bg_group {
	char data_centre[BG_NAME_BYTES];
	uint32_t index;
	struct bg_record_node self;
	struct bg_group_io *io;
	struct bg_store *store;
	struct bg_record_set *set;
	struct bg_view view;
	int is_holder;
	int is_sealed; /**< a member knows a higher epoch */
	uint64_t next_grant;
	uint64_t next_write_id;
	uint64_t next_report_ms;
	uint64_t wall_ms; /**< of the last begin */
	struct target targets[TARGETS_MAX];
	size_t target_count;
	struct write *writes;
	struct waiter *waiters;
	struct running *running;
};

/* write.c */

/** Sends a write to all targets; completes it at once if there are none. */
int bg_write_start(struct bg_group *grp, const struct write *model,
    uint32_t wait_ms, uint64_t now_ms);
/** Ends all writes and waits; nothing of this epoch is granted any more. */
void bg_write_abort_all(struct bg_group *grp, uint64_t now_ms);
void bg_write_forget(struct bg_group *grp, uint64_t token, uint64_t now_ms);
void bg_write_tick(struct bg_group *grp, uint64_t now_ms);
void bg_write_answered(struct bg_group *grp, size_t target, uint64_t write_id,
    const struct bg_xcopy_res *res, uint64_t now_ms);
void bg_write_drop_target(struct bg_group *grp, size_t target, uint64_t now_ms);

/* fill.c */

void bg_fill_init(struct bg_group *grp, uint64_t now_ms);
void bg_fill_free(struct bg_group *grp);
void bg_fill_tick(struct bg_group *grp, uint64_t now_ms);
void bg_fill_answered(struct bg_group *grp, size_t target,
    const struct bg_xcopy_res *res, uint64_t now_ms);

/* group.c */

void bg_group_answer(struct bg_group *grp, uint64_t token,
    enum bg_xbegin_status status, uint32_t retry_after_ms);
void bg_group_granted(struct bg_group *grp, uint64_t token,
    uint64_t fingerprint, uint64_t grant, uint32_t run_ms, uint64_t now_ms);
/** Runs the begins that wait for a key again. */
void bg_group_wake(struct bg_group *grp, uint64_t fingerprint, uint64_t now_ms);
/** Records that a grant was never given. */
void bg_group_withdraw(struct bg_group *grp, uint64_t fingerprint,
    uint64_t grant, uint64_t now_ms);
void bg_group_seal(struct bg_group *grp, uint64_t now_ms);

/** Fills a wire record; release by bg_group_wire_free. */
int bg_group_wire(
    struct bg_xrecord *out, const struct bg_record *rec, uint64_t now_ms);
void bg_group_wire_free(struct bg_xrecord *xrec);
void bg_group_copy_args(struct bg_xcopy_args *out, struct bg_group *grp);
void bg_group_notice(
    struct bg_group *grp, size_t target, int heard, uint64_t now_ms);

#endif
