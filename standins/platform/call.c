#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "call.h"

/* Largest value. */
#define VALUE_MAX_BYTES (1u << 20)
#define PRECONDITION_REQUIRED 428

void
call_free(struct call *call)
{
	if (call->timer != NULL)
		event_free(call->timer);
	free(call->key);
	free(call->prefix);
	free(call->body);
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
	char etag[32];

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
	if (call->version != 0) {
		snprintf(etag, sizeof(etag), "\"%" PRIu64 "\"", call->version);
		serve_add_header(call->request, "ETag", etag);
	}
	serve_add_header(call->request, "Content-Type", "application/json");
	serve_reply(
	    call->request, call->code, call->answer, call->answer_bytes);
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

static int
starts_with(const char *text, const char *prefix)
{
	return strncmp(text, prefix, strlen(prefix)) == 0;
}

static int
has_change(const struct call *call)
{
	const struct object *obj;

	for (obj = call->platform->store.objects; obj != NULL;
	     obj = obj->hh.next) {
		if (obj->version > call->since &&
		    starts_with(obj->key, call->prefix))
			return 1;
	}
	return 0;
}

static void
answer_watch(struct call *call)
{
	const struct store *str = &call->platform->store;
	const struct object *obj;
	json_t *changed = json_array();

	for (obj = str->objects; obj != NULL; obj = obj->hh.next) {
		if (obj->version <= call->since ||
		    !starts_with(obj->key, call->prefix))
			continue;
		json_array_append_new(changed,
		    json_pack("{s:s,s:I,s:b}", "key", obj->key, "version",
			(json_int_t)obj->version, "deleted",
			obj->value == NULL));
	}
	set_answer(call,
	    json_pack("{s:I,s:o}", "revision", (json_int_t)str->revision,
		"changed", changed));
	finish(call, EVHTP_RES_OK);
}

static void
wake_watches(struct platform *plt, const char *key)
{
	struct call *call;
	struct call *next;

	for (call = plt->watches; call != NULL; call = next) {
		next = call->next;
		if (!starts_with(key, call->prefix) ||
		    platform_is_cut(plt, call->ip))
			continue;
		watch_remove(call);
		answer_watch(call);
	}
}

static void
start_watch(struct call *call)
{
	struct platform *plt = call->platform;

	/* A store that lost its state has a lower revision: report all. */
	if (call->since > plt->store.revision)
		call->since = 0;
	if (call->request == NULL) {
		call_free(call);
		return;
	}
	if (has_change(call) || call->timeout_ms == 0) {
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
	call_arm(call, call->timeout_ms);
}

static void
execute_list(struct call *call)
{
	struct store *str = &call->platform->store;
	const struct object *obj;
	json_t *objects = json_array();

	store_sort(str);
	for (obj = str->objects; obj != NULL; obj = obj->hh.next) {
		if (obj->value == NULL || !starts_with(obj->key, call->prefix))
			continue;
		json_array_append_new(objects,
		    json_pack("{s:s,s:I}", "key", obj->key, "version",
			(json_int_t)obj->version));
	}
	set_answer(call,
	    json_pack("{s:I,s:o}", "revision", (json_int_t)str->revision,
		"objects", objects));
	finish(call, EVHTP_RES_OK);
}

static void
execute_get(struct call *call)
{
	const struct object *obj =
	    store_find(&call->platform->store, call->key);

	if (obj == NULL) {
		finish(call, EVHTP_RES_NOTFOUND);
		return;
	}
	if ((call->answer = malloc(obj->value_bytes + 1)) == NULL) {
		finish(call, EVHTP_RES_SERVERR);
		return;
	}
	memcpy(call->answer, obj->value, obj->value_bytes + 1);
	call->answer_bytes = obj->value_bytes;
	call->version = obj->version;
	finish(call, EVHTP_RES_OK);
}

/* Checks the condition of a write. @return 200 or the refusal */
static evhtp_res
check_condition(const struct call *call, const struct object *obj)
{
	if (call->body_bytes > VALUE_MAX_BYTES)
		return EVHTP_RES_ENTOOLARGE;
	if (!call->has_if_match && !call->if_none_match)
		return PRECONDITION_REQUIRED;
	if (call->method == htp_method_DELETE && obj == NULL)
		return EVHTP_RES_NOTFOUND;
	if (call->if_none_match)
		return obj == NULL ? EVHTP_RES_OK : EVHTP_RES_PRECONDFAIL;
	return obj != NULL && obj->version == call->if_match
	    ? EVHTP_RES_OK
	    : EVHTP_RES_PRECONDFAIL;
}

static void
execute_write(struct call *call)
{
	struct platform *plt = call->platform;
	struct object *obj = store_find(&plt->store, call->key);
	evhtp_res code = check_condition(call, obj);

	if (code != EVHTP_RES_OK) {
		finish(call, code);
		return;
	}
	if (call->method == htp_method_DELETE)
		call->version = store_delete(&plt->store, obj);
	else
		call->version = store_put(
		    &plt->store, call->key, call->body, call->body_bytes);
	if (call->version == 0) {
		finish(call, EVHTP_RES_SERVERR);
		return;
	}
	wake_watches(plt, call->key);
	if (plt->lose_next_write_answers > 0) {
		plt->lose_next_write_answers--;
		plt->lost_answers++;
		call->is_lost = 1;
	}
	finish(call, EVHTP_RES_OK);
}

void
call_execute(struct call *call)
{
	if (call->is_watch)
		start_watch(call);
	else if (call->key == NULL)
		execute_list(call);
	else if (call->method == htp_method_GET)
		execute_get(call);
	else
		execute_write(call);
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

int
platform_is_cut(const struct platform *plt, const char *ip)
{
	size_t i;

	for (i = 0; i < plt->cut_count; i++) {
		if (starts_with(ip, plt->cuts[i]))
			return 1;
	}
	return 0;
}

void
platform_review_watches(struct platform *plt)
{
	struct call *call;
	struct call *next;

	for (call = plt->watches; call != NULL; call = next) {
		next = call->next;
		if (plt->outage == OUTAGE_REFUSE) {
			watch_remove(call);
			finish(call, EVHTP_RES_SERVUNAVAIL);
		} else if (plt->outage == OUTAGE_SILENT ||
		    platform_is_cut(plt, call->ip)) {
			watch_remove(call);
			call_swallow(call);
		}
	}
}
