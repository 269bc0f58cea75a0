#ifndef BG_PROXY_GATEKEEPER_H
#define BG_PROXY_GATEKEEPER_H

/** @file
 * Gatekeeper of the backend server on the same VM: admission control in front
 * of the server. All calls to the server, from this node and others, pass
 * through it, and it alone owns the server's slots, queue and connections,
 * including the separate connection of the health probe.
 */

#include <event2/event.h>

#include "burdockgrade/announce.h"
#include "burdockgrade/link.h"
#include "burdockgrade/mesh.h"
#include "burdockgrade/observe.h"
#include "burdockgrade/settings.h"

#include "../limiter/buffers.h"
#include "../retry/retry.h"
#include "server.h"

struct bg_gatekeeper;
struct bg_gate_call;

struct bg_gatekeeper_options {
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_mesh *mesh;
	/** Receives the calls of other nodes; the CALL handler is added to
	 * it. */
	struct bg_link_server *link_server;
	struct bg_observer *observer;  /**< may be NULL */
	struct bg_buffers *buffers;    /**< shared with the ingress */
	struct bg_retry_budget *retry; /**< of this node */
	/** Called once for the announcement that was held last. */
	void (*on_decided)(void *arg, enum bg_announce_result result);
	void *decided_arg;
};

/** @return 0, BG_ENOMEM, BG_EINVAL if the address of the backend server is not
 * valid, or the error of bg_link_server_add_handler */
int bg_gatekeeper_init(struct bg_gatekeeper **out,
    const struct bg_gatekeeper_options *opts, struct bg_error *err);
void bg_gatekeeper_free(struct bg_gatekeeper *gk);

/** @param res valid during the callback only */
typedef void (*bg_gate_fn)(void *arg, struct bg_xcall_res *res);

/**
 * Runs a call at the backend server. The callback is called once, from the
 * event loop, never within this function.
 *
 * @param out valid until the callback or bg_gatekeeper_cancel
 * @param args must stay valid as long as out
 * @return 0 or BG_ENOMEM
 */
int bg_gatekeeper_call(struct bg_gate_call **out, struct bg_gatekeeper *gk,
    const struct bg_xcall_args *args, bg_gate_fn fn, void *arg);
/** Cancels a call whose caller disconnected: a running call frees its slot, a
 * queued one leaves the queue. The callback is not called. */
void bg_gatekeeper_cancel(struct bg_gate_call *call);

/** A request that the backend server is running and that made a call of its
 * own.
 */
struct bg_gate_parent {
	int is_repeat;	 /**< another backend server received it before */
	int has_same_id; /**< the call's id does not extend its own */
};

/**
 * Finds the request that made a call: the running one with the same id, or with
 * an id that the call's id extends by a dot and a suffix.
 *
 * @return 1, or 0 if there is none
 */
int bg_gatekeeper_find_parent(struct bg_gate_parent *out,
    const struct bg_gatekeeper *gk, const char *request_id);
/** Records that the backend server, while running a request, has made a call to
 * another service. The time during which at least one such call is in flight
 * does not count as the server's own time. Ignored for a call without a parent.
 *
 * @param request_id of the call */
void bg_gatekeeper_dependency_begin(
    struct bg_gatekeeper *gk, const char *request_id);
/** Records the end of a dependency call. Calls may overlap; each begin needs
 * one end, in any order.
 * @param is_failed 1 if the call failed. If the request then fails or is slow,
 *     this does not count against the backend server or its version. */
void bg_gatekeeper_dependency_end(
    struct bg_gatekeeper *gk, const char *request_id, int is_failed);

/** Applies an announcement that the backend server made or that a successful
 * probe stands for. */
enum bg_announce_result bg_gatekeeper_announce(
    struct bg_gatekeeper *gk, const struct bg_announcement *ann);
/**
 * Applies what an earlier process of this node announced of the server. Until
 * then, a server that sends heartbeats is not taken for ready. May be called
 * again with a newer record.
 *
 * @param record NULL if there is none
 */
void bg_gatekeeper_restore(
    struct bg_gatekeeper *gk, const struct bg_server_record *record);
/** 1 if the backend server announced that it is draining, or deregistered. A
 * server that is lost without such an announcement is not leaving. */
int bg_gatekeeper_server_is_leaving(const struct bg_gatekeeper *gk);
/** Refuses new calls (1) because this node judges the server's version bad, or
 * accepts them again (0). Queued and running calls are not affected. */
void bg_gatekeeper_set_suspended(struct bg_gatekeeper *gk, int is_suspended);
/** Refuses new calls from now on, because the node is stopping. Queued and
 * running calls are not affected. Of the backend server, only that it leaves is
 * still announced to the mesh. */
void bg_gatekeeper_drain(struct bg_gatekeeper *gk);
/** The data centre of the node may have been emptied or taken back. Queued
 * calls are refused then, running ones are finished. */
void bg_gatekeeper_handle_emptying(struct bg_gatekeeper *gk);
/** Applies the connection and slot limits of a new snapshot. */
void bg_gatekeeper_apply_snapshot(
    struct bg_gatekeeper *gk, const struct bg_snapshot *snap);
/** Calls that run at the backend server. */
uint32_t bg_gatekeeper_running(const struct bg_gatekeeper *gk);
/** Takes the backend server for cold until its next announcement, because it
 * may have turned cold since the last one. Does nothing if the configuration
 * gives no rate for the cold servers of its service.
 * @param reason one word for the log */
void bg_gatekeeper_doubt_warmth(struct bg_gatekeeper *gk, const char *reason);
/** Calls that are not answered yet, running or queued. */
uint32_t bg_gatekeeper_in_flight(const struct bg_gatekeeper *gk);

#endif
