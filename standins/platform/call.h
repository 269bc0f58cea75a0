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

/** One request. It owns what it needs, since a write takes effect even if its
 * sender is gone by then. */
struct call {
	struct platform *platform;
	evhtp_request_t *request; /**< NULL once it was released */
	struct event *timer;
	struct call *next;
	struct call *prev;
	enum stage stage;
	htp_method method;
	int is_watch;
	int is_lost; /**< executed, but the connection is closed instead */
	char ip[SERVE_IP_BYTES];
	char *key; /**< NULL: a list */
	char *prefix;
	char *body;
	size_t body_bytes;
	int has_if_match;
	uint64_t if_match;
	int if_none_match;
	uint64_t since;
	uint32_t timeout_ms;
	evhtp_res code;
	uint64_t version;
	char *answer;
	size_t answer_bytes;
};

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
