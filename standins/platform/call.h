#ifndef BG_STANDIN_CALL_H
#define BG_STANDIN_CALL_H

/** @file
 * One call of the object API, from its execution to its answer.
 */

#include "platform.h"

enum stage {
	STAGE_DELAYED,	/**< not executed yet */
	STAGE_WAITING,	/**< a watch without a change so far */
	STAGE_EXECUTED, /**< the answer is delayed */
	STAGE_SWALLOWED,
};

enum action {
	ACTION_READ,
	ACTION_LIST,
	ACTION_WATCH,
	ACTION_CREATE,
	ACTION_REPLACE,
	ACTION_SET_STATUS,
	ACTION_DELETE,
};

/** One request. It owns what it needs, since a write takes effect even if its
 * sender is gone by then. */
struct call {
	struct platform *platform;
	evhtp_request_t *request; /**< NULL once it was released */
	struct event *timer;
	struct call *next;
	struct call *prev;
	enum stage stage;
	enum action action;
	int is_lost; /**< executed, but the connection is closed instead */
	char ip[SERVE_IP_BYTES];
	char *kind;
	char *name;  /**< NULL: a list or a watch */
	char *after; /**< of a list, or NULL */
	json_t *body;
	size_t body_bytes;
	int has_condition;
	uint64_t expected_revision;
	uint64_t since;
	uint32_t wait_ms;
	int is_stale;
	evhtp_res code;
	char *answer;
	size_t answer_bytes;
};

/** 1 for calls that change something. */
int call_is_write(const struct call *call);
void call_free(struct call *call);
/** Executes the call; the answer follows now or later. */
void call_execute(struct call *call);
/** Keeps the connection open and never answers. */
void call_swallow(struct call *call);
/** Sets the time of the next stage. */
void call_arm(struct call *call, uint32_t delay_ms);
/** Timer of a call. */
void call_on_timer(evutil_socket_t fd, short what, void *arg);
/** The request was answered, or its sender closed the connection. */
evhtp_res call_on_gone(evhtp_request_t *req, void *arg);

#endif
