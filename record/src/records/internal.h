#ifndef BG_RECORDS_INTERNAL_H
#define BG_RECORDS_INTERNAL_H

#include <uthash.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"
#include "burdockgrade/mailbox.h"
#include "burdockgrade/record.h"

#include "group/group.h"
#include "placement/placement.h"
#include "store/store.h"
#include "view/view.h"

/** Interval of retries and checks. */
#define TICK_MS 50

/** What this node knows of the groups of one data centre. */
struct home {
	char name[BG_NAME_BYTES];
	uint64_t version; /**< of the object records/DC; 0: none seen */
	struct bg_views views;
	uint64_t changed_ms[BG_RECORD_GROUPS]; /**< when the epoch changed */
	struct bg_group *groups[BG_RECORD_GROUPS]; /**< that list this node */
	UT_hash_handle hh;
};

enum request_kind { REQUEST_ASK, REQUEST_SERVED, REQUEST_FINISH };

/** What a token of a group points to. */
struct request {
	enum request_kind kind;
	struct bg_records *records;
};

/** A begin of this node. */
struct ask {
	struct request request;
	char *key;
	struct bg_place place;
	uint64_t request_digest;
	uint64_t deadline_ms;
	uint64_t next_ms;
	int in_flight;
	int is_answered;
	uint32_t xid;
	char peer[BG_ADDRESS_BYTES]; /**< empty: the group of this process */
	bg_begin_fn fn;
	void *arg;
	struct bg_begin_result result;
	struct bg_xanswer answer;
	struct ask *prev;
	struct ask *next;
};

/** An outcome on its way to the holder. */
struct finish {
	struct request request;
	char *key;
	struct bg_place place;
	uint64_t grant;
	enum bg_xoutcome outcome;
	int has_answer;
	struct bg_xanswer answer;
	uint64_t deadline_ms;
	uint64_t next_ms;
	int in_flight;
	struct finish *prev;
	struct finish *next;
};

/** A call of another node that the group of this process answers. */
struct served {
	struct request request;
	struct bg_rpc *rpc;
	struct bg_group *group;
};

/** Records on their way to a member. */
struct copy_call {
	struct bg_records *records;
	char data_centre[BG_NAME_BYTES];
	uint32_t group;
	struct bg_record_node to;
	uint64_t write_id;
	uint64_t epoch;
	struct copy_call *prev;
	struct copy_call *next;
};

/** A node that a holder could not reach, or that is not in the roster. */
struct sighting {
	char address[BG_ADDRESS_BYTES];
	uint64_t at_ms;
	UT_hash_handle hh;
};

/** The writer of records/DC; active while this node is the relay. */
struct relay {
	int is_active;
	int is_busy;
	int has_views;
	int has_map;
	int is_dirty;
	uint64_t next_ms;
	uint64_t reread_ms;
	uint64_t idle_ms; /**< without changes the next decision is here */
	uint64_t version; /**< of records/DC; 0: the object does not exist */
	struct bg_views views;
	struct bg_views next;
	char *body; /**< that is being written */
	struct bg_backoff backoff;
	struct bg_view_report reports[BG_RECORD_GROUPS];
	struct sighting *suspects;
	struct sighting *absent;
	uint64_t roster_hash; /**< of the nodes, to see when it settles */
	uint64_t settled_since_ms;
};

struct bg_records {
	struct bg_group_io io; /**< first member */
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_mesh *mesh;
	struct bg_platform *platform;
	struct bg_link_pool *pool;
	struct bg_mailbox *mailbox;
	struct event *tick;
	struct bg_store *store;
	struct bg_rand rand;
	struct bg_record_node self;
	struct home *homes;
	struct bg_record_map map;
	uint64_t map_version;
	uint64_t report_seq;
	struct ask *asks;
	struct finish *finishes;
	struct copy_call *failed_copies;
	struct relay relay;
	void (*drained)(void *arg);
	void *drained_arg;
	uint64_t drain_deadline_ms;
};

/* homes.c */

struct home *bg_records_home(struct bg_records *rcs, const char *name);
/** Takes over a VIEW item: views of a data centre, or the map. */
void bg_records_follow(struct bg_records *rcs, const struct bg_item *item);
/** The group of this process, or NULL. */
struct bg_group *bg_records_group(
    struct bg_records *rcs, const char *data_centre, uint32_t group);
/** Closes all groups, when the process got another incarnation. */
void bg_records_close_groups(struct bg_records *rcs);
/** 1 if no group depends on this node any more. */
int bg_records_is_handed_over(const struct bg_records *rcs);

/* ask.c */

void bg_records_ask_tick(struct bg_records *rcs, uint64_t now_ms);
void bg_records_ask_begun(struct ask *ask, const struct bg_xbegin_res *res);
/** Tries begins and outcomes of a group again after its view changed. */
void bg_records_ask_hurry(
    struct bg_records *rcs, const char *data_centre, uint32_t group);
void bg_records_ask_free(struct bg_records *rcs);

/* tell.c */

void bg_records_finish_tick(struct bg_records *rcs, uint64_t now_ms);
void bg_records_finish_done(struct finish *fin, enum bg_finish_status status);
void bg_records_finish_free(struct bg_records *rcs);

/* serve.c */

int bg_records_serve(struct bg_records *rcs, struct bg_link_server *srv);
void bg_records_served_begun(
    struct served *served, const struct bg_xbegin_res *res);
void bg_records_served_finished(
    struct served *served, enum bg_finish_status status);

/* copies.c */

void bg_records_copy(struct bg_group_io *io, struct bg_group *grp,
    const struct bg_record_node *to, uint64_t write_id,
    const struct bg_xcopy_args *args);
void bg_records_copies_failed(struct bg_records *rcs);

/* relay.c */

void bg_records_relay_tick(struct bg_records *rcs, uint64_t now_ms);
void bg_records_relay_report(
    struct bg_records *rcs, const struct bg_item *item);
void bg_records_relay_free(struct bg_records *rcs);

/* candidates.c */

/** Lists the processes that the relay may choose from. @param out free() it */
int bg_records_candidates(struct bg_view_candidate **out, size_t *out_count,
    struct bg_records *rcs, uint64_t now_ms);
void bg_records_suspect(
    struct bg_records *rcs, const char *address, uint64_t now_ms);
void bg_records_sightings_free(struct sighting **list);

#endif
