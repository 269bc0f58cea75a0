#ifndef BG_CLI_TRACE_H
#define BG_CLI_TRACE_H

/** @file
 * The lines of one request in the logs of several nodes, in the order of their
 * causes: the caller's node asks one gatekeeper after the other, and each
 * answers before the next is asked. Clocks are not relied on, since those of
 * VMs differ and jump.
 */

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define BG_TRACE_NODE_BYTES 64
#define BG_TRACE_TIME_BYTES 32

/** A log line. */
struct bg_trace_line {
	char node[BG_TRACE_NODE_BYTES];
	char time[BG_TRACE_TIME_BYTES]; /**< of the node's clock */
	char *text;			/**< level, part and message */
	uint32_t attempt;
	uint32_t stage;	 /**< within the attempt */
	size_t sequence; /**< in which it was read */
};

/** What the logs of a node cover. */
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
	uint32_t attempt; /**< of the line that was read last */
};

/** @param request_id must outlive the trace */
void bg_trace_init(struct bg_trace *out, const char *request_id);
void bg_trace_free(struct bg_trace *trace);
/**
 * Reads a log. What stands before a line's time is left out.
 *
 * @return 0, BG_EIO or BG_ENOMEM
 */
int bg_trace_read_log(struct bg_trace *trace, FILE *fp);
/** Puts the lines in order; called after the last log was read. */
void bg_trace_sort(struct bg_trace *trace);

#endif
