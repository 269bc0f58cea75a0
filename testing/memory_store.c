#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "memory_store.h"

/* Interval at which pending watches are examined. */
#define WATCH_POLL_MS 20
/* Iterations of memory_store_run(), assumed to be enough to handle all due
 * events, including those that the handlers make due. */
#define RUN_ITERATIONS 50

static void
wake(struct memory_store *mem)
{
	event_active(mem->wakeup, EV_TIMEOUT, 0);
}

struct memory_object *
memory_store_find(struct memory_store *mem, const char *kind, const char *name)
{
	struct memory_object *obj;
	size_t i;

	for (i = 0; i < mem->object_count; i++) {
		obj = &mem->objects[i];
		if (!obj->is_deleted && strcmp(obj->kind, kind) == 0 &&
		    strcmp(obj->name, name) == 0)
			return obj;
	}
	return NULL;
}

/* create_revision is the next revision. Every caller calls touch() next, which
 * gives this revision to the object. */
static struct memory_object *
add_object(struct memory_store *mem, const char *kind, const char *name)
{
	struct memory_object *obj;

	if (mem->object_count == MEMORY_STORE_OBJECTS)
		abort();
	obj = &mem->objects[mem->object_count++];
	memset(obj, 0, sizeof(*obj));
	snprintf(obj->kind, sizeof(obj->kind), "%s", kind);
	snprintf(obj->name, sizeof(obj->name), "%s", name);
	obj->create_revision = mem->revision + 1;
	return obj;
}

static void
touch(struct memory_store *mem, struct memory_object *obj)
{
	obj->revision = ++mem->revision;
	obj->changed_ms = bg_clock_now_ms();
	wake(mem);
}

void
memory_store_set(
    struct memory_store *mem, const char *kind, const char *name, json_t *spec)
{
	struct memory_object *obj = memory_store_find(mem, kind, name);

	if (obj == NULL)
		obj = add_object(mem, kind, name);
	json_decref(obj->spec);
	obj->spec = spec;
	touch(mem, obj);
}

void
memory_store_remove(
    struct memory_store *mem, const char *kind, const char *name)
{
	struct memory_object *obj = memory_store_find(mem, kind, name);

	obj->is_deleted = 1;
	touch(mem, obj);
}

void
memory_store_drop_history(struct memory_store *mem)
{
	mem->history_start = ++mem->revision;
	wake(mem);
}

void
memory_store_resume(struct memory_store *mem)
{
	mem->is_silent = 0;
	mem->is_write_silent = 0;
	wake(mem);
}

static struct bg_store_object
to_store_object(const struct memory_object *obj)
{
	struct bg_store_object out = {0};

	out.kind = obj->kind;
	out.name = obj->name;
	out.revision = obj->revision;
	out.create_revision = obj->create_revision;
	out.spec = obj->spec;
	out.status = obj->status;
	out.is_deleted = obj->is_deleted;
	return out;
}

static void
respond(struct memory_call *call, struct bg_store_response *response)
{
	bg_store_fn fn = call->fn;
	void *arg = call->arg;

	call->is_used = 0;
	fn(arg, response);
}

static void
respond_code(struct memory_call *call, int code, int is_unknown)
{
	struct bg_store_response response = {0};

	response.code = code;
	response.is_outcome_unknown = is_unknown;
	respond(call, &response);
}

static void
respond_object(struct memory_store *mem, struct memory_call *call,
    const struct memory_object *obj, int code)
{
	struct bg_store_response response = {0};
	struct bg_store_object out = to_store_object(obj);

	response.code = code;
	response.revision = mem->revision;
	response.objects = &out;
	response.object_count = 1;
	respond(call, &response);
}

static int
compare_names(const void *a, const void *b)
{
	const struct bg_store_object *x = a;
	const struct bg_store_object *y = b;

	return strcmp(x->name, y->name);
}

static void
handle_list(struct memory_store *mem, struct memory_call *call)
{
	struct bg_store_object out[MEMORY_STORE_OBJECTS] = {{0}};
	struct bg_store_response response = {0};
	size_t count = 0;
	size_t i;

	for (i = 0; i < mem->object_count; i++) {
		if (mem->objects[i].is_deleted ||
		    strcmp(mem->objects[i].kind, call->kind) != 0 ||
		    strcmp(mem->objects[i].name, call->after_name) <= 0)
			continue;
		out[count++] = to_store_object(&mem->objects[i]);
	}
	qsort(out, count, sizeof(out[0]), compare_names);
	response.has_more = count > mem->page_size;
	response.revision = mem->revision;
	response.objects = out;
	response.object_count = response.has_more ? mem->page_size : count;
	respond(call, &response);
}

/* 1 if a watch without a change has waited long enough. */
static int
is_watch_over(struct memory_store *mem, struct memory_call *call)
{
	static const struct timeval interval = {0, WATCH_POLL_MS * 1000};
	uint64_t now_ms = bg_clock_now_ms();

	if (call->watch_end_ms == 0)
		call->watch_end_ms = now_ms + call->query.wait_ms;
	if (now_ms >= call->watch_end_ms)
		return 1;
	event_add(mem->timer, &interval);
	return 0;
}

/* @return 1 if the watch has timed out and was answered */
static int
handle_silent_watch(struct memory_store *mem, struct memory_call *call)
{
	if (call->watch_end_ms == 0)
		call->watch_end_ms = bg_clock_now_ms() + call->query.wait_ms +
		    call->query.timeout_ms;
	if (!is_watch_over(mem, call))
		return 0;
	respond_code(call, BG_ETIMEOUT, 0);
	return 1;
}

static int
is_visible(const struct memory_store *mem, const struct memory_call *call,
    const struct memory_object *obj)
{
	uint32_t lag_ms = call->query.may_be_stale ? mem->stale_lag_ms : 0;

	if (mem->is_deaf)
		return 0;
	return bg_clock_now_ms() - obj->changed_ms >= lag_ms;
}

/* A watch covers all objects of its kind; call->name is ignored, since
 * bg_watcher does not set it.
 * @return 1 if the watch was answered */
static int
handle_watch(struct memory_store *mem, struct memory_call *call)
{
	struct bg_store_object out[MEMORY_STORE_OBJECTS] = {{0}};
	struct bg_store_response response = {0};
	struct memory_object *obj;
	size_t i;

	if (mem->is_watch_silent)
		return handle_silent_watch(mem, call);
	if (call->query.since_revision < mem->history_start) {
		respond_code(call, BG_ESTALE, 0);
		return 1;
	}
	response.revision = mem->revision;
	for (i = 0; i < mem->object_count; i++) {
		obj = &mem->objects[i];
		if (!is_visible(mem, call, obj)) {
			if (obj->revision <= response.revision)
				response.revision = obj->revision - 1;
		} else if (strcmp(obj->kind, call->kind) == 0 &&
		    obj->revision > call->query.since_revision)
			out[response.object_count++] = to_store_object(obj);
	}
	if (mem->skips_changes && response.object_count > 0) {
		response.skipped_count = response.object_count;
		response.object_count = 0;
		respond(call, &response);
		return 1;
	}
	if (response.object_count == 0 && !is_watch_over(mem, call))
		return 0;
	if (mem->is_deaf || (mem->is_stale_ahead && call->query.may_be_stale))
		response.revision = mem->revision;
	response.objects = out;
	respond(call, &response);
	return 1;
}

static int
handle_read(struct memory_store *mem, struct memory_call *call)
{
	struct memory_object *obj;

	if (call->query.wait_ms != 0)
		return handle_watch(mem, call);
	if (call->name[0] == '\0') {
		handle_list(mem, call);
		return 1;
	}
	obj = memory_store_find(mem, call->kind, call->name);
	if (obj == NULL)
		respond_code(call, BG_ENOTFOUND, 0);
	else
		respond_object(mem, call, obj, 0);
	return 1;
}

static void
apply_change(struct memory_store *mem, struct memory_object *obj,
    const struct bg_store_change *change)
{
	json_t **field =
	    change->action == BG_STORE_SET_STATUS ? &obj->status : &obj->spec;

	if (change->action == BG_STORE_REMOVE) {
		obj->is_deleted = 1;
	} else {
		if (json_equal(*field, change->value))
			return;
		json_decref(*field);
		*field = json_incref(change->value);
	}
	touch(mem, obj);
}

static void
handle_write(struct memory_store *mem, struct memory_call *call)
{
	struct memory_object *obj =
	    memory_store_find(mem, call->kind, call->name);
	int is_new = call->change.action == BG_STORE_CREATE;

	if (!is_new && obj == NULL) {
		respond_code(call, BG_ENOTFOUND, 0);
		return;
	}
	if (obj != NULL &&
	    (is_new || obj->revision != call->change.expected_revision)) {
		respond_object(mem, call, obj, BG_ECONFLICT);
		return;
	}
	if (obj == NULL)
		obj = add_object(mem, call->kind, call->name);
	apply_change(mem, obj, &call->change);
	if (mem->lose_write_responses > 0) {
		mem->lose_write_responses--;
		respond_code(call, BG_EIO, 1);
		return;
	}
	respond_object(mem, call, obj, 0);
}

/* @return 1 if the call was answered */
static int
handle_call(struct memory_store *mem, struct memory_call *call)
{
	/* Saved because the response releases the slot of the call, which the
	 * callback may use for a new one. */
	json_t *value = call->change.value;

	if (mem->is_silent || (call->is_write && mem->is_write_silent))
		return 0;
	if (mem->fail_code != 0) {
		if (call->is_write)
			json_decref(value);
		respond_code(call, mem->fail_code, 0);
		return 1;
	}
	if (!call->is_write)
		return handle_read(mem, call);
	handle_write(mem, call);
	json_decref(value);
	return 1;
}

static void
on_wakeup(evutil_socket_t fd, short what, void *arg)
{
	struct memory_store *mem = arg;
	size_t i;

	for (i = 0; i < MEMORY_STORE_CALLS; i++) {
		if (mem->calls[i].is_used &&
		    handle_call(mem, &mem->calls[i]) == 1)
			wake(mem);
	}
}

static struct memory_call *
add_call(struct memory_store *mem, const char *kind, const char *name,
    bg_store_fn fn, void *arg)
{
	struct memory_call *call;
	size_t i;

	for (i = 0; i < MEMORY_STORE_CALLS; i++) {
		call = &mem->calls[i];
		if (call->is_used)
			continue;
		memset(call, 0, sizeof(*call));
		call->is_used = 1;
		call->fn = fn;
		call->arg = arg;
		snprintf(call->kind, sizeof(call->kind), "%s", kind);
		snprintf(call->name, sizeof(call->name), "%s",
		    name == NULL ? "" : name);
		wake(mem);
		return call;
	}
	return NULL;
}

static int
memory_read(struct bg_store *store, const struct bg_store_query *query,
    bg_store_fn fn, void *arg)
{
	struct memory_store *mem = (struct memory_store *)store;
	struct memory_call *call =
	    add_call(mem, query->kind, query->name, fn, arg);

	if (call == NULL)
		return BG_ELIMIT;
	call->query = *query;
	if (query->after_name != NULL)
		snprintf(call->after_name, sizeof(call->after_name), "%s",
		    query->after_name);
	if (query->may_be_stale)
		mem->stale_reads++;
	else
		mem->reads++;
	return 0;
}

static int
memory_write(struct bg_store *store, const struct bg_store_change *change,
    bg_store_fn fn, void *arg)
{
	struct memory_store *mem = (struct memory_store *)store;
	struct memory_call *call =
	    add_call(mem, change->kind, change->name, fn, arg);

	if (call == NULL)
		return BG_ELIMIT;
	call->is_write = 1;
	call->change = *change;
	/* The caller may change its value before the write is applied. */
	call->change.value = json_deep_copy(change->value);
	mem->writes++;
	return 0;
}

/* Does nothing: the test owns the store and releases it with
 * memory_store_clear(). */
static void
memory_free(struct bg_store *store)
{
}

void
memory_store_init(struct memory_store *out, struct event_base *base)
{
	memset(out, 0, sizeof(*out));
	out->store.read = memory_read;
	out->store.write = memory_write;
	out->store.free = memory_free;
	out->store.peer = "memory";
	out->base = base;
	out->page_size = MEMORY_STORE_OBJECTS;
	out->wakeup = event_new(base, -1, 0, on_wakeup, out);
	out->timer = evtimer_new(base, on_wakeup, out);
	if (out->wakeup == NULL || out->timer == NULL)
		abort();
}

void
memory_store_cancel(struct memory_store *mem, const void *arg)
{
	size_t i;

	for (i = 0; i < MEMORY_STORE_CALLS; i++) {
		if (!mem->calls[i].is_used || mem->calls[i].arg != arg)
			continue;
		if (mem->calls[i].is_write)
			json_decref(mem->calls[i].change.value);
		respond_code(&mem->calls[i], BG_ECANCELED, 0);
	}
}

void
memory_store_clear(struct memory_store *mem)
{
	size_t i;

	for (i = 0; i < MEMORY_STORE_CALLS; i++) {
		if (!mem->calls[i].is_used)
			continue;
		if (mem->calls[i].is_write)
			json_decref(mem->calls[i].change.value);
		respond_code(&mem->calls[i], BG_ECANCELED, 0);
	}
	for (i = 0; i < mem->object_count; i++) {
		json_decref(mem->objects[i].spec);
		json_decref(mem->objects[i].status);
	}
	event_free(mem->wakeup);
	event_free(mem->timer);
}

void
memory_store_run(struct memory_store *mem)
{
	int i;

	for (i = 0; i < RUN_ITERATIONS; i++)
		event_base_loop(mem->base, EVLOOP_NONBLOCK);
}
