#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"

#include "trace.h"

#define LOG_LINE_BYTES 2048
#define REQUEST_ID_BYTES 160
/* Attempt of the line that ends the request at the caller's node; sorts last.
 */
#define ATTEMPT_LAST UINT32_MAX

/* Causal order of the lines of an attempt, which are recognised by the start of
 * their message. */
static const struct {
	const char *prefix; /* category and start of the message */
	uint32_t stage;
	int is_last;
} STAGES[] = {
    {"call sent", 0, 0},
    {"gatekeeper connection silent", 1, 0},
    {"gatekeeper another server", 1, 0},
    {"gatekeeper refused", 2, 0},
    {"gatekeeper ended", 2, 0},
    {"gatekeeper canceled", 3, 0},
    {"call abandoned", 4, 0},
    {"call not repeated", 5, 0},
    {"call canceled", 6, 1},
    {"call ended", 7, 1},
};

void
bg_trace_init(struct bg_trace *out, const char *request_id)
{
	memset(out, 0, sizeof(*out));
	out->request_id = request_id;
}

void
bg_trace_free(struct bg_trace *trace)
{
	size_t i;

	for (i = 0; i < trace->line_count; i++)
		free(trace->lines[i].text);
	free(trace->lines);
	free(trace->nodes);
	memset(trace, 0, sizeof(*trace));
}

/* Finds the timestamp, such as "2026-12-04T10:00:00.000Z", in a line.
 * @return NULL if there is none */
static const char *
find_timestamp(const char *line)
{
	const char *p;

	for (p = strchr(line, 'T'); p != NULL; p = strchr(p + 1, 'T')) {
		if (p - line >= 10 && p[-3] == '-' && p[-6] == '-' &&
		    strlen(p) > 14 && p[3] == ':' && p[6] == ':' &&
		    p[13] == 'Z')
			return p - 10;
	}
	return NULL;
}

/* Copies the value of a "key=value" field, which ends at a space.
 * @return 0 or BG_ENOTFOUND */
static int
find_field(char *out, size_t out_bytes, const char *text, const char *key)
{
	size_t key_bytes = strlen(key);
	const char *p = text;

	while ((p = strstr(p, key)) != NULL) {
		if (p != text && p[-1] == ' ' && p[key_bytes] == '=') {
			p += key_bytes + 1;
			snprintf(
			    out, out_bytes, "%.*s", (int)strcspn(p, " "), p);
			return 0;
		}
		p += key_bytes;
	}
	return BG_ENOTFOUND;
}

static struct bg_trace_node *
find_or_add_node(struct bg_trace *trace, const char *name)
{
	struct bg_trace_node *nodes;
	size_t i;

	for (i = 0; i < trace->node_count; i++) {
		if (strcmp(trace->nodes[i].node, name) == 0)
			return &trace->nodes[i];
	}
	nodes = realloc(trace->nodes, (i + 1) * sizeof(*nodes));
	if (nodes == NULL)
		return NULL;
	trace->nodes = nodes;
	trace->node_count++;
	memset(&nodes[i], 0, sizeof(nodes[i]));
	snprintf(nodes[i].node, sizeof(nodes[i].node), "%s", name);
	return &nodes[i];
}

static int
count_log_line(struct bg_trace *trace, const struct bg_trace_line *line)
{
	struct bg_trace_node *node = find_or_add_node(trace, line->node);
	char dropped[24];

	if (node == NULL)
		return BG_ENOMEM;
	if (node->line_count++ == 0)
		snprintf(node->first_time, sizeof(node->first_time), "%s",
		    line->time);
	snprintf(node->last_time, sizeof(node->last_time), "%s", line->time);
	if (strstr(line->text, " log dropped ") != NULL &&
	    find_field(dropped, sizeof(dropped), line->text, "lines") == 0)
		node->dropped_lines += strtoull(dropped, NULL, 10);
	return 0;
}

static void
set_position(struct bg_trace *trace, struct bg_trace_line *line)
{
	const char *category = strchr(line->text, ' ');
	char number[16];
	size_t i;

	if (find_field(number, sizeof(number), line->text, "pick") == 0 ||
	    find_field(number, sizeof(number), line->text, "attempt") == 0)
		trace->attempt = (uint32_t)strtoul(number, NULL, 10);
	line->attempt = trace->attempt;
	for (i = 0; category != NULL && i < sizeof(STAGES) / sizeof(STAGES[0]);
	     i++) {
		if (strncmp(category + 1, STAGES[i].prefix,
			strlen(STAGES[i].prefix)) != 0)
			continue;
		line->stage = STAGES[i].stage;
		if (STAGES[i].is_last)
			line->attempt = ATTEMPT_LAST;
	}
}

static int
append_line(struct bg_trace *trace, struct bg_trace_line *line)
{
	struct bg_trace_line *lines =
	    realloc(trace->lines, (trace->line_count + 1) * sizeof(*lines));

	if (lines == NULL)
		return BG_ENOMEM;
	trace->lines = lines;
	line->sequence = trace->line_count;
	set_position(trace, line);
	if ((line->text = strdup(line->text)) == NULL)
		return BG_ENOMEM;
	lines[trace->line_count++] = *line;
	return 0;
}

static int
read_line(struct bg_trace *trace, char *text)
{
	struct bg_trace_line line = {0};
	char request[REQUEST_ID_BYTES];
	const char *start = find_timestamp(text);
	int text_offset = 0;
	int error;

	text[strcspn(text, "\n")] = '\0';
	if (start == NULL ||
	    sscanf(start, "%31s %63s %n", line.time, line.node, &text_offset) <
		2)
		return 0;
	line.text = (char *)start + text_offset;
	if ((error = count_log_line(trace, &line)) != 0)
		return error;
	if (find_field(request, sizeof(request), line.text, "request") != 0 ||
	    strcmp(request, trace->request_id) != 0)
		return 0;
	return append_line(trace, &line);
}

int
bg_trace_read_log(struct bg_trace *trace, FILE *fp)
{
	char text[LOG_LINE_BYTES];
	int error;

	trace->attempt = 0;
	while (fgets(text, sizeof(text), fp) != NULL) {
		if ((error = read_line(trace, text)) != 0)
			return error;
	}
	return ferror(fp) ? BG_EIO : 0;
}

static int
compare_lines(const void *a, const void *b)
{
	const struct bg_trace_line *x = a;
	const struct bg_trace_line *y = b;

	if (x->attempt != y->attempt)
		return x->attempt < y->attempt ? -1 : 1;
	if (x->stage != y->stage)
		return x->stage < y->stage ? -1 : 1;
	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

void
bg_trace_sort(struct bg_trace *trace)
{
	if (trace->line_count > 0)
		qsort(trace->lines, trace->line_count, sizeof(*trace->lines),
		    compare_lines);
}
