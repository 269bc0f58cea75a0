#ifndef BG_PROXY_GATE_CALL_H
#define BG_PROXY_GATE_CALL_H

/** @file
 * A call at the gatekeeper, from its admission to its response. Internal to the
 * gatekeeper.
 */

#include "../cost/work.h"
#include "../intake/intake.h"
#include "../limiter/limiter.h"
#include "../metrics/metrics.h"
#include "backend.h"
#include "challenge.h"
#include "dependency.h"
#include "gatekeeper.h"
#include "probe.h"

/** A leaving server accepts calls for this long, since some are on their way to
 * it. Nodes that know that it is leaving send it no more calls. */
#define BG_GATE_DRAIN_GRACE_MS 500

struct bg_gate_call {
	struct bg_limiter_entry entry; /* first member */
	struct bg_intake_entry intake; /* listed while the body arrives */
	struct bg_gatekeeper *gatekeeper;
	struct bg_gate_call *prev;
	struct bg_gate_call *next;
	const struct bg_xcall_args *args;
	struct bg_xcall_args *owned_args; /* NULL: they belong to rpc or to the
					     caller in this process */
	struct bg_rpc *rpc; /* NULL while a piece of the body is awaited */
	struct bg_exchange *exchange;
	struct event *timer;
	bg_gate_fn fn;
	void *arg;
	struct bg_dependency_time dependency;
	uint64_t id; /* identifies the call in BODY messages */
	uint64_t admitted_us;
	uint64_t deadline_us;
	uint32_t start_slowness_permille; /* of the server's machine; 0:
					     unknown */
	uint64_t buffered_bytes; /* body of a call from another node; the
				    ingress accounts for those of this one */
	int is_refused;		 /* the timer delivers the refusal */
	int is_resent;		 /* sent a second time, on a new connection */
	int has_server_room;	 /* by the load that the response reports */
	enum bg_xrefusal refusal;
};

struct bg_gatekeeper {
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_mesh *mesh;
	const struct bg_link_server *link_server;
	struct bg_observer *observer;
	struct bg_backend *backend; /* NULL without a backend server */
	struct bg_probe *probe;	    /* NULL if the server sends heartbeats */
	struct bg_server server;
	struct bg_challenge challenge;
	struct bg_limiter limiter;
	struct bg_work work; /* what calls cost and how fast the server is */
	struct bg_intake intake;
	struct bg_gate_call *calls;
	uint64_t last_call_id;
	struct event *drain_timer; /* end of the grace period in which a leaving
				      server accepts calls */
	uint32_t in_flight;
	uint32_t connect_failures;  /* consecutive */
	struct event *warmup_timer; /* next change of a cold server's limit */
	uint64_t limited_since_us;  /* valid while is_limited */
	int is_limited;		    /* starts of the cold server are limited */
	struct bg_buffers *buffers;
	struct bg_retry_budget *retry;
	struct bg_announcement held; /* last one that waits for the record of an
					earlier process, or for the server's
					status */
	uint64_t held_ms;	     /* monotonic time at which it came */
	int has_held;
	void (*on_decided)(void *arg, enum bg_announce_result result);
	void *decided_arg;
	struct bg_exchange *status_exchange; /* NULL: not being asked */
	struct event *status_timer;
	char status_path[BG_PREFIX_BYTES]; /* empty: the service has none */
	int is_status_path_known;
	int is_recovered; /* what an earlier process announced is known */
	int is_suspended; /* the server's version was judged bad */
	int is_draining;  /* the node is stopping */
	int is_emptied;	  /* emptying.c: so is the data centre */
};

/** @return 0 or BG_ENOMEM */
int bg_gate_call_new(struct bg_gate_call **out, struct bg_gatekeeper *gk,
    const struct bg_xcall_args *args);
void bg_gate_call_free(struct bg_gate_call *call);
/** Sets the timer of the call.
 * @param at_us expiry on the monotonic clock, in microseconds */
void bg_gate_set_timer(struct bg_gate_call *call, uint64_t at_us);
/** Replies from the event loop that the call was not run. */
void bg_gate_refuse(struct bg_gate_call *call, enum bg_xrefusal why);
/** Sends a call that holds a slot to the backend server. */
void bg_gate_send(struct bg_gate_call *call, int needs_new_connection);
/** Starts queued calls while slots are free. */
void bg_gate_start_queued(struct bg_gatekeeper *gk);
/** Refuses the queued calls that are not expected to start in time. */
void bg_gate_refuse_infeasible(struct bg_gatekeeper *gk);
/** Starts or queues a call whose request is complete, or refuses it. */
void bg_gate_admit(struct bg_gate_call *call);
/** Reason for which a call cannot be admitted whatever the load, or
 * BG_XREFUSAL_NONE. */
enum bg_xrefusal bg_gate_find_refusal(
    const struct bg_gatekeeper *gk, const struct bg_xcall_args *args);
/** Refuses the calls that wait for a slot. */
void bg_gate_refuse_queued(struct bg_gatekeeper *gk);
/** Cancel callback of the calls of other nodes; arg is the call. */
void bg_gate_on_rpc_cancel(void *arg);
/** 1 if calls may be sent to the backend server now. */
int bg_gate_accepts_calls(const struct bg_gatekeeper *gk);
/** Decides about the held heartbeat by the status of the server. */
void bg_gate_on_status(struct bg_gatekeeper *gk, int is_serving);
/** Announces the state of the backend server to the mesh. */
void bg_gate_publish(struct bg_gatekeeper *gk);

#endif
