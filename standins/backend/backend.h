#ifndef STANDIN_BACKEND_H
#define STANDIN_BACKEND_H

/** @file
 * A backend server of a test: slots, connections, cold start, load report,
 * drain, shedding, cancellation, deadlines, and faults.
 */

#include <event2/http.h>
#include <stdio.h>

#include "burdockgrade/clock.h"

#include "fault.h"
#include "serve.h"

#define CHAIN_MAX 8
#define ID_BYTES 160
/* The load report can show what was true this many steps ago. */
#define LOAD_HISTORY 256

struct backend_options {
	const char *listen;
	const char *service;
	const char *version;
	const char *log_path;
	const char *node; /**< "ip:port" for calls to dependencies */
	const char *calls[CHAIN_MAX]; /**< paths called for each request */
	size_t call_count;
	uint32_t slots;
	uint32_t connections;
	uint32_t open_delay_ms;
	uint32_t probe_delay_ms;
	uint32_t service_time_us;
	uint32_t cold_start_ms;
	uint32_t answer_bytes;
	uint32_t load_lag_ms;
	uint64_t seed;
};

struct run;

struct backend {
	struct serve serve;
	struct backend_options options;
	struct faults faults;
	struct bg_rand rnd;
	FILE *log;
	uint64_t start_ms;
	uint64_t calls;
	uint64_t shed;
	uint32_t running;
	uint32_t unsent; /**< runs that ended, their answer is being written */
	uint32_t open_connections;
	uint32_t running_max;
	uint32_t connections_max;
	struct {
		uint64_t at_ms;
		uint32_t running;
	} loads[LOAD_HISTORY];
	size_t load_next;
	int is_draining;
};

/** One request that occupies a slot. */
struct run {
	struct backend *backend;
	evhtp_request_t *request; /**< NULL once the caller is gone */
	struct event *timer;
	struct evhttp_connection *dependency;
	char id[ID_BYTES];
	char path[ID_BYTES];
	uint64_t start_us;
	uint64_t deadline_us; /**< 0: none */
	uint32_t depth;
	size_t next_call;
	size_t dripped;
	char *answer;
	size_t answer_bytes;
	int is_failing;
	int is_dependency_failed;
	int is_past_deadline;
};

/** Handles a request of a caller. */
void run_start(struct backend *bke, evhtp_request_t *req);
/** Writes one line of the run log and flushes it. */
void run_log(const struct run *run, const char *event);

/** Ends the run by the answer that the faults ask for. */
void answer_send(struct run *run);
/** Releases the slot and the run. */
void run_finish(struct run *run);
/** Arms the run's timer. */
void run_arm(struct run *run, uint64_t delay_us,
    void (*fn)(evutil_socket_t, short, void *));

/** Value of X-Load now, or what the faults make of it. */
uint32_t load_reported(const struct backend *bke);
void load_record(struct backend *bke);

#endif
