#include <stdio.h>
#include <string.h>

#include "platform.h"

static int
set_outage(struct platform *plt, const json_t *value)
{
	if (json_is_boolean(value))
		plt->outage = json_is_true(value) ? OUTAGE_REFUSE : OUTAGE_NONE;
	else if (json_is_string(value) &&
	    strcmp(json_string_value(value), "silent") == 0)
		plt->outage = OUTAGE_SILENT;
	else
		return -1;
	return 0;
}

static int
set_number(uint32_t *out, const json_t *value)
{
	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    json_integer_value(value) > UINT32_MAX)
		return -1;
	*out = (uint32_t)json_integer_value(value);
	return 0;
}

static int
set_prefixes(char out[][PREFIX_BYTES], size_t *count, const json_t *value)
{
	const json_t *item;
	size_t i;

	if (!json_is_array(value) || json_array_size(value) > CUTS_MAX)
		return -1;
	for (i = 0; i < json_array_size(value); i++) {
		item = json_array_get(value, i);
		if (!json_is_string(item) || json_string_length(item) == 0 ||
		    json_string_length(item) >= PREFIX_BYTES)
			return -1;
	}
	*count = json_array_size(value);
	for (i = 0; i < *count; i++)
		snprintf(out[i], PREFIX_BYTES, "%s",
		    json_string_value(json_array_get(value, i)));
	return 0;
}

static int
set_flag(int *out, const json_t *value)
{
	if (!json_is_boolean(value))
		return -1;
	*out = json_is_true(value);
	return 0;
}

static int
set_watch_at(struct platform *plt, const json_t *value)
{
	static const char *const names[] = {"data", "now", "change"};
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (json_is_string(value) &&
		    strcmp(json_string_value(value), names[i]) == 0) {
			plt->watch_at = (enum watch_at)i;
			return 0;
		}
	}
	return -1;
}

/* Switches of how the answers look, and of what watches report. */
static int
set_answer_switch(struct platform *plt, const char *name, const json_t *value)
{
	if (strcmp(name, "watch_at") == 0)
		return set_watch_at(plt, value);
	if (strcmp(name, "every_change") == 0)
		return set_flag(&plt->sends_every_change, value);
	if (strcmp(name, "chunked") == 0)
		return set_flag(&plt->is_chunked, value);
	if (strcmp(name, "close") == 0)
		return set_flag(&plt->closes_connections, value);
	if (strcmp(name, "at_now_if_quiet") == 0)
		return set_flag(&plt->is_at_now_if_quiet, value);
	if (strcmp(name, "page_objects") == 0)
		return set_number(&plt->page_objects, value);
	if (strcmp(name, "quiet") == 0 && json_is_boolean(value)) {
		platform_set_quiet(plt, json_is_true(value));
		return 0;
	}
	if (strcmp(name, "compact") == 0 && json_is_true(value)) {
		platform_compact(plt);
		return 0;
	}
	return -1;
}

static int
set_switch(struct platform *plt, const char *name, const json_t *value)
{
	if (strcmp(name, "outage") == 0)
		return set_outage(plt, value);
	if (strcmp(name, "delay_ms") == 0)
		return set_number(&plt->delay_ms, value);
	if (strcmp(name, "write_delay_ms") == 0)
		return set_number(&plt->write_delay_ms, value);
	if (strcmp(name, "answer_delay_ms") == 0)
		return set_number(&plt->answer_delay_ms, value);
	if (strcmp(name, "stale_lag_ms") == 0)
		return set_number(&plt->stale_lag_ms, value);
	if (strcmp(name, "lose_next_write_answers") == 0)
		return set_number(&plt->lose_next_write_answers, value);
	if (strcmp(name, "reads_per_s") == 0)
		return set_number(&plt->reads.limit, value);
	if (strcmp(name, "writes_per_s") == 0)
		return set_number(&plt->writes.limit, value);
	if (strcmp(name, "cut") == 0)
		return set_prefixes(plt->cuts, &plt->cut_count, value);
	if (strcmp(name, "refuse") == 0)
		return set_prefixes(plt->refused, &plt->refused_count, value);
	if (strcmp(name, "jitter_ms") == 0)
		return set_number(&plt->jitter_ms, value);
	if (strcmp(name, "drop_history") == 0 && json_is_true(value)) {
		platform_drop_history(plt);
		return 0;
	}
	if (strcmp(name, "mute_open_connections") == 0 && json_is_true(value)) {
		plt->is_mute_due = 1;
		return 0;
	}
	return set_answer_switch(plt, name, value);
}

/* The answer to the command itself leaves first. */
static const struct timeval mute_delay = {0, 20000};

static void
mute(evutil_socket_t fd, short what, void *arg)
{
	struct platform *plt = arg;

	serve_mute_open(&plt->serve);
}

void
platform_control(struct platform *plt, evhtp_request_t *req)
{
	json_t *body = serve_read_json(req);
	json_t *value;
	const char *name;
	char text[128];

	if (body == NULL)
		return;
	json_object_foreach(body, name, value)
	{
		if (set_switch(plt, name, value) == 0)
			continue;
		snprintf(text, sizeof(text), "%s: unknown or invalid\n", name);
		serve_reply(req, EVHTP_RES_BADREQ, text, strlen(text));
		json_decref(body);
		return;
	}
	json_decref(body);
	platform_review_watches(plt);
	serve_reply_json(req, EVHTP_RES_OK, json_object());
	if (plt->is_mute_due)
		event_base_once(
		    plt->serve.base, -1, EV_TIMEOUT, mute, plt, &mute_delay);
	plt->is_mute_due = 0;
}

void
platform_stats(struct platform *plt, evhtp_request_t *req)
{
	serve_reply_json(req, EVHTP_RES_OK,
	    json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "reads",
		(json_int_t)plt->reads.total, "stale_reads",
		(json_int_t)plt->stale_reads, "writes",
		(json_int_t)plt->writes.total, "watches",
		(json_int_t)plt->watch_count, "rejected",
		(json_int_t)plt->reads.rejected +
		    (json_int_t)plt->writes.rejected,
		"highest_reads_per_s", (json_int_t)plt->reads.highest,
		"highest_writes_per_s", (json_int_t)plt->writes.highest,
		"lost_answers", (json_int_t)plt->lost_answers, "objects",
		(json_int_t)HASH_COUNT(plt->store.objects), "revision",
		(json_int_t)plt->store.revision));
}
