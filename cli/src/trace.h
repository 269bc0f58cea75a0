#ifndef BG_CLI_TRACE_H
#define BG_CLI_TRACE_H

/** @file
 * Collects the log lines of one request from the logs of several nodes and
 * sorts them in causal order. The order follows from the protocol: the node of
 * the caller calls one gatekeeper after the other, and each responds before the
 * next is called. Timestamps are not used, since the clocks of VMs differ and
 * jump.
 */

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define BG_TRACE_NODE_BYTES 64
#define BG_TRACE_TIME_BYTES 32

/** A log line of the request. */
struct bg_trace_line {
	char node[BG_TRACE_NODE_BYTES];
	char time[BG_TRACE_TIME_BYTES]; /**< by the clock of the node */
	char *text;			/**< level, category and message */
	uint32_t attempt; /**< gatekeeper call that the line belongs to */
	uint32_t stage;	  /**< rank within the attempt */
	size_t sequence;  /**< number of lines kept before this one */
};

/** Coverage of the logs of a node, in the order in which they were read. */
struct bg_trace_node {
	char node[BG_TRACE_NODE_BYTES];
	char first_time[BG_TRACE_TIME_BYTES];
	char last_time[BG_TRACE_TIME_BYTES];
	size_t line_count;
	uint64_t dropped_lines; /**< lines that the node could not write */
};

struct bg_trace {
	const char *request_id;
	struct bg_trace_line *lines;
	size_t line_count;
	struct bg_trace_node *nodes;
	size_t node_count;
	uint32_t attempt; /**< of the last line of the request in this log */
};

/** @param request_id must outlive the trace */
void bg_trace_init(struct bg_trace *out, const char *request_id);
void bg_trace_free(struct bg_trace *trace);
/**
 * Reads a log. Text before the timestamp of a line, such as the prefix of a log
 * collector, and lines without a timestamp are skipped.
 *
 * @return 0, BG_EIO or BG_ENOMEM
 */
int bg_trace_read_log(struct bg_trace *trace, FILE *fp);
/** Sorts the lines in causal order. Call it after the last log was read. */
void bg_trace_sort(struct bg_trace *trace);

#endif
