#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "call.h"

/* Largest value. */
#define VALUE_MAX_BYTES (1u << 20)
/* Objects of one page of a list. */
#define PAGE_OBJECTS 500
#define CONFLICT 409
#define GONE 410

int
call_is_write(const struct call *call)
{
	return call->action != ACTION_READ && call->action != ACTION_LIST &&
	    call->action != ACTION_WATCH;
}

void
call_free(struct call *call)
{
	if (call->timer != NULL)
		event_free(call->timer);
	free(call->kind);
	free(call->name);
	free(call->after);
	json_decref(call->body);
	free(call->answer);
	free(call);
}

static void
watch_remove(struct call *call)
{
	struct platform *plt = call->platform;

	if (call->prev != NULL)
		call->prev->next = call->next;
	else
		plt->watches = call->next;
	if (call->next != NULL)
		call->next->prev = call->prev;
	plt->watch_count--;
	rate_end_wait(&plt->reads, bg_clock_now_ms());
}

void
call_arm(struct call *call, uint32_t delay_ms)
{
	struct timeval tv = {delay_ms / 1000, (delay_ms % 1000) * 1000};

	evtimer_add(call->timer, &tv);
}

void
call_swallow(struct call *call)
{
	call->stage = STAGE_SWALLOWED;
	evtimer_del(call->timer);
}

/* Sends the answer; the release of the request frees the call. */
static void
send_answer(struct call *call)
{
	if (call->request == NULL) {
		call_free(call);
		return;
	}
	if (platform_is_cut(call->platform, call->ip)) {
		call_swallow(call);
		return;
	}
	if (call->is_lost) {
		evhtp_connection_free(call->request->conn);
		return;
	}
	serve_add_header(call->request, "Content-Type", "application/json");
	if (call->platform->closes_connections)
		serve_close_after(call->request);
	if (call->platform->is_chunked)
		serve_reply_chunked(call->request, call->code, call->answer,
		    call->answer_bytes);
	else
		serve_reply(call->request, call->code, call->answer,
		    call->answer_bytes);
}

/* Answers now or after the delay; a lost answer closes the connection from the
 * loop, since libevhtp does not allow it in a request callback. */
static void
finish(struct call *call, evhtp_res code)
{
	uint32_t delay_ms = call->platform->answer_delay_ms;

	call->code = code;
	call->stage = STAGE_EXECUTED;
	if (delay_ms > 0 || call->is_lost)
		call_arm(call, delay_ms);
	else
		send_answer(call);
}

static void
set_answer(struct call *call, json_t *body)
{
	call->answer = json_dumps(body, JSON_COMPACT);
	call->answer_bytes = call->answer == NULL ? 0 : strlen(call->answer);
	json_decref(body);
}

static void
answer_json(struct call *call, evhtp_res code, json_t *body)
{
	set_answer(call, body);
	finish(call, code);
}

static void
answer_error(struct call *call, evhtp_res code, const char *text)
{
	answer_json(call, code, json_pack("{s:s}", "Error", text));
}

/* Revision up to which the call sees all changes. */
static uint64_t
visible_revision(const struct call *call)
{
	const struct platform *plt = call->platform;
	uint64_t now_ms = bg_clock_now_ms();
	uint64_t revision = plt->store.revision;

	if (plt->is_quiet)
		revision = plt->quiet_revision;
	if (call->is_stale && plt->stale_lag_ms > 0) {
		uint64_t old = plt->stale_lag_ms >= now_ms
		    ? 0
		    : store_revision_at(
			  &plt->store, now_ms - plt->stale_lag_ms);

		if (old < revision)
			revision = old;
	}
	return revision;
}

static int
is_reported(
    const struct call *call, const struct change *chg, uint64_t revision)
{
	return chg->revision > call->since && chg->revision <= revision &&
	    change_is_of(chg, call->kind);
}

static int
has_change(const struct call *call)
{
	const struct store *str = &call->platform->store;
	uint64_t revision = visible_revision(call);
	size_t i;

	for (i = str->change_count;
	     i > 0 && str->changes[i - 1].revision > call->since; i--) {
		if (is_reported(call, &str->changes[i - 1], revision))
			return 1;
	}
	return 0;
}

/* 1 if a visible change after change i replaces it. */
static int
is_replaced(const struct call *call, size_t i, uint64_t revision)
{
	const struct store *str = &call->platform->store;
	size_t j;

	for (j = i + 1; j < str->change_count; j++) {
		if (str->changes[j].key == str->changes[i].key &&
		    str->changes[j].revision <= revision)
			return 1;
	}
	return 0;
}

/* The changes in their order. */
static json_t *
collect_events(const struct call *call, uint64_t revision)
{
	const struct platform *plt = call->platform;
	const struct change *chg;
	json_t *events = json_array();
	size_t i;

	for (i = 0; i < plt->store.change_count; i++) {
		chg = &plt->store.changes[i];
		if (!is_reported(call, chg, revision) ||
		    (!plt->sends_every_change &&
			is_replaced(call, i, revision)))
			continue;
		json_array_append_new(events,
		    json_pack("{s:b, s:O}", "Deleted", chg->is_deleted,
			"Object", chg->document));
	}
	return events;
}

/* Revision that a watch reports as that of its answer. */
static uint64_t
reported_revision(const struct call *call, uint64_t revision)
{
	const struct platform *plt = call->platform;
	uint64_t last = call->since;
	size_t i;

	if (plt->watch_at == WATCH_AT_NOW ||
	    (plt->is_quiet && plt->is_at_now_if_quiet))
		return plt->store.revision;
	if (plt->watch_at == WATCH_AT_DATA)
		return revision;
	for (i = 0; i < plt->store.change_count; i++) {
		if (is_reported(call, &plt->store.changes[i], revision))
			last = plt->store.changes[i].revision;
	}
	return last;
}

static void
answer_watch(struct call *call)
{
	uint64_t revision = visible_revision(call);

	answer_json(call, EVHTP_RES_OK,
	    json_pack("{s:o, s:I}", "events", collect_events(call, revision),
		"At", (json_int_t)reported_revision(call, revision)));
}

static void
wake_stale_watches(struct platform *plt)
{
	struct call *call;
	struct call *next;

	for (call = plt->watches; call != NULL; call = next) {
		next = call->next;
		if (!has_change(call) || platform_is_cut(plt, call->ip))
			continue;
		watch_remove(call);
		answer_watch(call);
	}
}

static void
on_lag_end(evutil_socket_t fd, short what, void *arg)
{
	wake_stale_watches(arg);
}

static void
schedule_stale_watches(struct platform *plt)
{
	struct timeval tv = {
	    plt->stale_lag_ms / 1000, (plt->stale_lag_ms % 1000) * 1000};

	if (plt->stale_lag_ms > 0)
		event_base_once(
		    plt->serve.base, -1, EV_TIMEOUT, on_lag_end, plt, &tv);
}

static void
wake_watches(struct platform *plt, const struct object *obj)
{
	struct call *call;
	struct call *next;

	for (call = plt->watches; call != NULL; call = next) {
		next = call->next;
		if (!object_is_of(obj, call->kind) ||
		    platform_is_cut(plt, call->ip) || !has_change(call))
			continue;
		watch_remove(call);
		answer_watch(call);
	}
	schedule_stale_watches(plt);
}

static void
start_watch(struct call *call)
{
	struct platform *plt = call->platform;

	if (call->request == NULL) {
		call_free(call);
		return;
	}
	if (call->since < plt->store.history_from ||
	    call->since > plt->store.revision) {
		answer_json(call, GONE,
		    json_pack("{s:I}", "At", (json_int_t)plt->store.revision));
		return;
	}
	if (has_change(call) || call->wait_ms == 0) {
		answer_watch(call);
		return;
	}
	call->stage = STAGE_WAITING;
	call->prev = NULL;
	call->next = plt->watches;
	if (call->next != NULL)
		call->next->prev = call;
	plt->watches = call;
	plt->watch_count++;
	rate_begin_wait(&plt->reads);
	call_arm(call, call->wait_ms);
}

static void
execute_list(struct call *call)
{
	struct store *str = &call->platform->store;
	const struct object *obj;
	json_t *items = json_array();
	size_t page_objects = call->platform->page_objects != 0
	    ? call->platform->page_objects
	    : PAGE_OBJECTS;
	int has_more = 0;

	store_sort(str);
	for (obj = str->objects; obj != NULL; obj = obj->hh.next) {
		if (obj->is_deleted || !object_is_of(obj, call->kind) ||
		    (call->after != NULL &&
			strcmp(object_name(obj), call->after) <= 0))
			continue;
		if ((has_more = json_array_size(items) == page_objects))
			break;
		json_array_append_new(items, object_json(obj));
	}
	answer_json(call, EVHTP_RES_OK,
	    json_pack("{s:o, s:b, s:I}", "items", items, "HasMore", has_more,
		"At", (json_int_t)str->revision));
}

static struct object *
find_object(const struct call *call)
{
	struct object *obj;
	char *key;

	if (asprintf(&key, "%s/%s", call->kind, call->name) < 0)
		return NULL;
	obj = store_find(&call->platform->store, key);
	free(key);
	return obj;
}

static void
execute_read(struct call *call)
{
	const struct object *obj = find_object(call);

	if (obj == NULL)
		answer_error(call, EVHTP_RES_NOTFOUND, "no such object");
	else
		answer_json(call, EVHTP_RES_OK, object_json(obj));
}

/* Checks the condition of a write. @return 200 or the refusal */
static evhtp_res
check_condition(const struct call *call, const struct object *obj)
{
	if (call->body_bytes > VALUE_MAX_BYTES)
		return EVHTP_RES_ENTOOLARGE;
	if (call->action == ACTION_CREATE)
		return obj == NULL ? EVHTP_RES_OK : (evhtp_res)CONFLICT;
	if (obj == NULL)
		return EVHTP_RES_NOTFOUND;
	if (call->has_condition && obj->revision != call->expected_revision)
		return (evhtp_res)CONFLICT;
	return EVHTP_RES_OK;
}

static void
refuse_write(struct call *call, evhtp_res code, const struct object *obj)
{
	if (code == (evhtp_res)CONFLICT && obj != NULL)
		answer_json(call, code, object_json(obj));
	else
		answer_error(call, code, "refused");
}

/* @return the object as it is now; a deleted one too */
static struct object *
apply_write(struct call *call, struct object *obj)
{
	struct store *str = &call->platform->store;
	char *key;

	switch (call->action) {
	case ACTION_DELETE:
		store_delete(str, obj);
		return obj;
	case ACTION_SET_STATUS:
		store_set_status(
		    str, obj, json_object_get(call->body, "Status"));
		return obj;
	default:
		if (asprintf(&key, "%s/%s", call->kind, call->name) < 0)
			return NULL;
		obj = store_put(str, key, json_object_get(call->body, "Spec"));
		free(key);
		return obj;
	}
}

static void
execute_write(struct call *call)
{
	struct platform *plt = call->platform;
	struct object *obj = find_object(call);
	evhtp_res code = check_condition(call, obj);
	uint64_t before = plt->store.revision;

	if (code != EVHTP_RES_OK) {
		refuse_write(call, code, obj);
		return;
	}
	if ((obj = apply_write(call, obj)) == NULL) {
		answer_error(call, EVHTP_RES_SERVERR, "out of memory");
		return;
	}
	if (plt->store.revision != before)
		wake_watches(plt, obj);
	if (plt->lose_next_write_answers > 0) {
		plt->lose_next_write_answers--;
		plt->lost_answers++;
		call->is_lost = 1;
	}
	if (obj->is_deleted)
		answer_json(call, EVHTP_RES_OK,
		    json_pack("{s:I}", "At", (json_int_t)obj->revision));
	else
		answer_json(call, EVHTP_RES_OK, object_json(obj));
}

void
call_execute(struct call *call)
{
	switch (call->action) {
	case ACTION_WATCH:
		start_watch(call);
		break;
	case ACTION_LIST:
		execute_list(call);
		break;
	case ACTION_READ:
		execute_read(call);
		break;
	default:
		execute_write(call);
		break;
	}
}

void
call_on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct call *call = arg;

	switch (call->stage) {
	case STAGE_DELAYED:
		call_execute(call);
		break;
	case STAGE_WAITING:
		watch_remove(call);
		answer_watch(call);
		break;
	case STAGE_EXECUTED:
		send_answer(call);
		break;
	case STAGE_SWALLOWED:
		break;
	}
}

evhtp_res
call_on_gone(evhtp_request_t *req, void *arg)
{
	struct call *call = arg;

	call->request = NULL;
	if (call->stage == STAGE_DELAYED)
		return EVHTP_RES_OK;
	if (call->stage == STAGE_WAITING)
		watch_remove(call);
	call_free(call);
	return EVHTP_RES_OK;
}

static int
has_prefix(char prefixes[][PREFIX_BYTES], size_t count, const char *ip)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strncmp(ip, prefixes[i], strlen(prefixes[i])) == 0)
			return 1;
	}
	return 0;
}

int
platform_is_cut(const struct platform *plt, const char *ip)
{
	return has_prefix((char(*)[PREFIX_BYTES])plt->cuts, plt->cut_count, ip);
}

int
platform_is_refused(const struct platform *plt, const char *ip)
{
	return has_prefix(
	    (char(*)[PREFIX_BYTES])plt->refused, plt->refused_count, ip);
}

void
platform_drop_history(struct platform *plt)
{
	platform_compact(plt);
	/* The next change begins the new history. */
	plt->store.history_from = ++plt->store.revision;
}

void
platform_compact(struct platform *plt)
{
	struct call *call;

	plt->store.history_from = plt->store.revision;
	while ((call = plt->watches) != NULL) {
		watch_remove(call);
		call->is_lost = 1;
		finish(call, GONE);
	}
}

void
platform_set_quiet(struct platform *plt, int is_quiet)
{
	plt->quiet_revision = plt->store.revision;
	plt->is_quiet = is_quiet;
	if (!is_quiet)
		wake_stale_watches(plt);
}

void
platform_review_watches(struct platform *plt)
{
	struct call *call;
	struct call *next;

	for (call = plt->watches; call != NULL; call = next) {
		next = call->next;
		if (plt->outage == OUTAGE_REFUSE ||
		    platform_is_refused(plt, call->ip)) {
			watch_remove(call);
			finish(call, EVHTP_RES_SERVUNAVAIL);
		} else if (plt->outage == OUTAGE_SILENT ||
		    platform_is_cut(plt, call->ip)) {
			watch_remove(call);
			call_swallow(call);
		}
	}
	wake_stale_watches(plt);
}
