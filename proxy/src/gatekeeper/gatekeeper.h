#ifndef BG_PROXY_GATEKEEPER_H
#define BG_PROXY_GATEKEEPER_H

/** @file
 * Gatekeeper of the backend server beside this node: its slots, queue and
 * connections have no other owner.
 */

#include <event2/event.h>

#include "burdockgrade/announce.h"
#include "burdockgrade/link.h"
#include "burdockgrade/mesh.h"
#include "burdockgrade/observe.h"
#include "burdockgrade/settings.h"

#include "../limiter/buffers.h"
#include "server.h"

struct bg_gatekeeper;
struct bg_gate_call;

struct bg_gatekeeper_options {
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_mesh *mesh;
	struct bg_link_server *server; /**< CALL is registered here */
	struct bg_observer *observer;  /**< may be NULL */
	struct bg_buffers *buffers;    /**< shared with the ingress */
};

int bg_gatekeeper_init(struct bg_gatekeeper **out,
    const struct bg_gatekeeper_options *opts, struct bg_error *err);
void bg_gatekeeper_free(struct bg_gatekeeper *gk);

/** @param res valid during the callback only */
typedef void (*bg_gate_fn)(void *arg, struct bg_xcall_res *res);

/**
 * Runs a call at the backend server. The callback runs once, from the loop,
 * never within this function.
 *
 * @param args must stay valid until the callback or the cancel
 */
int bg_gatekeeper_call(struct bg_gate_call **out, struct bg_gatekeeper *gk,
    const struct bg_xcall_args *args, bg_gate_fn fn, void *arg);
/** The caller is gone: frees the slot at once; the callback does not run. */
void bg_gatekeeper_cancel(struct bg_gate_call *call);

/** A dependency call of a running request entered at this node. */
void bg_gatekeeper_dependency_begin(
    struct bg_gatekeeper *gk, const char *request_id);
void bg_gatekeeper_dependency_end(
    struct bg_gatekeeper *gk, const char *request_id, int is_failed);

/** Takes what the backend server says of itself. */
enum bg_announce_result bg_gatekeeper_announce(
    struct bg_gatekeeper *gk, const struct bg_announcement *ann);
/** 1 if the backend server said that it has left. */
int bg_gatekeeper_server_is_leaving(const struct bg_gatekeeper *gk);
/** Refuses calls while the server's version is found bad here. */
void bg_gatekeeper_set_suspended(struct bg_gatekeeper *gk, int is_suspended);
/** Refuses new calls from now on. */
void bg_gatekeeper_drain(struct bg_gatekeeper *gk);
/** Takes the limits of a new snapshot. */
void bg_gatekeeper_apply_snapshot(
    struct bg_gatekeeper *gk, const struct bg_snapshot *snap);
/** Calls running or queued. */
uint32_t bg_gatekeeper_in_flight(const struct bg_gatekeeper *gk);

#endif
