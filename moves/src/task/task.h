#ifndef BG_MOVES_TASK_H
#define BG_MOVES_TASK_H

#include "burdockgrade/burn.h"
#include "burdockgrade/lease.h"
#include "burdockgrade/moves.h"

#include "plan/plan.h"
#include "stats/stats.h"
#include "status/status.h"

/* A root or holder that is older than this saw its sources from their first
 * report; a younger one takes what it finds as the starting point. */
#define BG_MOVES_SETTLED_MS 5000

/* Interval of statistics, verdicts and steps. */
#define BG_MOVES_TICK_MS 1000

/** What this node knows of the move of one service while it is watched. */
struct bg_watch {
	char service[BG_NAME_BYTES];
	/* As root of the data centre: from STAT items. */
	struct bg_stat_sum *own;
	struct bg_judge own_judge;
	/* As move holder: from DCSTAT items. */
	struct bg_stat_sum *all;
	struct bg_judge all_judge;
	uint32_t calls_per_s;	  /**< of both versions, smoothed */
	uint32_t busy_millislots; /**< of both versions, smoothed */
	struct bg_watch *next;
};

struct bg_moves {
	struct bg_observer observer; /**< first member: the vtable */
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_mesh *mesh;
	struct bg_platform *platform;
	struct event *tick;
	struct bg_burn *burn;
	struct bg_stat stat; /**< of the backend server beside this node */
	uint64_t stat_seq;
	int is_stat_changed;
	uint64_t dcstat_seq;
	uint64_t root_since_ms;	  /**< monotonic; 0: not the root */
	uint64_t holder_since_ms; /**< monotonic; 0: not the move holder */
	struct bg_watch *watches;
	struct bg_lease lease; /**< lease/moves */
	int is_lease_busy;
	int is_change_busy;
	char change_service[BG_NAME_BYTES];
	struct bg_move change_from; /**< state that the change starts from */
	struct bg_move change_to;
};

/** Finds or adds the watch of a service. @return NULL if out of memory */
struct bg_watch *bg_watch_find(struct bg_moves *mvs, const char *service);
void bg_watch_free_all(struct bg_moves *mvs);
/** Adds the report of an item to the sums of its services.
 * @param is_data_centre 1 for DCSTAT, 0 for STAT
 * @param role_since_ms since when this node is root or move holder */
void bg_watch_take(struct bg_moves *mvs, const struct bg_item *item,
    int is_data_centre, uint64_t role_since_ms);

/** Publishes this node's STAT item if it changed. */
void bg_moves_publish_stat(struct bg_moves *mvs);
/** As root: sums STAT items, judges, publishes DCSTAT and MARK. */
void bg_moves_judge_data_centre(struct bg_moves *mvs);
/** Publishes a MARK unless this generation is marked already. */
void bg_moves_mark(struct bg_moves *mvs, const struct bg_move *move,
    const char *service, const char *reason);
/** As move holder: judges over all data centres and advances moves. */
void bg_moves_hold(struct bg_moves *mvs);
/** Renews or takes the lease of the move holder. */
void bg_moves_lease(struct bg_moves *mvs);

#endif
