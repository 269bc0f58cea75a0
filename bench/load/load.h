#ifndef BG_LOAD_H
#define BG_LOAD_H

/** @file
 * Open-loop load: calls arrive at random times whatever the answers do, so
 * that a slow system is not spared.
 */

#include <event2/event.h>
#include <event2/http.h>
#include <stdint.h>
#include <stdio.h>

#include "burdockgrade/clock.h"

#define BG_LOAD_TARGETS_MAX 256
#define BG_LOAD_KINDS_MAX 32
#define BG_LOAD_TEXT_BYTES 128

/** One kind of call in the mix. */
struct bg_load_kind {
	char method[8];
	char path[BG_LOAD_TEXT_BYTES]; /**< "%d" is replaced by a number */
	uint32_t weight;
	uint32_t body_bytes;
};

struct bg_load_options {
	const char *targets[BG_LOAD_TARGETS_MAX];
	size_t target_count;
	const char *source_ip;
	const char *mix_path;
	const char *log_path;
	const char *name; /**< prefix of request ids */
	double rate;	  /**< calls a second */
	double seconds;
	uint32_t deadline_ms;
	uint32_t attempts; /**< at most, for not-run and unknown answers */
	uint64_t seed;
};

struct bg_load_connection;

/** Outcome of one attempt, as the customer was told. */
enum bg_load_outcome {
	BG_LOAD_DONE,
	BG_LOAD_NOT_RUN,
	BG_LOAD_UNKNOWN,
	BG_LOAD_NO_ANSWER, /**< connection lost, or time-out */
	BG_LOAD_REFUSED,   /**< no connection, so nothing was sent */
	BG_LOAD_OTHER,	   /**< an answer without an outcome */
	BG_LOAD_OUTCOME_COUNT,
};

struct bg_load {
	struct bg_load_options options;
	struct bg_load_kind kinds[BG_LOAD_KINDS_MAX];
	size_t kind_count;
	uint32_t weight_sum;
	struct event_base *base;
	struct event *arrivals;
	struct bg_rand rnd;
	struct bg_load_connection *idle[BG_LOAD_TARGETS_MAX];
	struct bg_load_connection *discarded;
	FILE *log;
	uint64_t start_us;
	uint64_t next_us;
	uint64_t calls;
	uint64_t sent; /**< attempts */
	uint64_t running;
	uint64_t wrong; /**< foreign or partial answers */
	uint64_t outcomes[BG_LOAD_OUTCOME_COUNT];
	uint32_t *latencies_us; /**< of calls that were done */
	size_t latency_count;
	size_t latency_room;
	int is_over;
};

/** Reads the mix. @return 0 or -1 with a message on standard error */
int bg_load_mix(struct bg_load *load, const char *path);

/** Starts one call. */
void bg_load_call(struct bg_load *load);

/** Frees the connections that failed. Not for callbacks of evhttp. */
void bg_load_free_discarded(struct bg_load *load);

/** Ends the idle connections. */
void bg_load_close(struct bg_load *load);

/** 1 if the body is whole and belongs to the request. */
int bg_load_check_answer(
    const char *request_id, const char *body, size_t body_bytes);

/** Prints the results as one JSON object. */
void bg_load_print(struct bg_load *load);

#endif
