#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"
#include "burdockgrade/watcher.h"

#include "progress.h"

/* Wait of a watch. A connection that went silent, or a response that was lost,
 * is detected only after this time plus the client's timeout. */
#define DEFAULT_WATCH_MS 2000
/* Wait of a watch while the store is unreachable. It is short because only the
 * response shows that the store is reachable again. */
#define UNREACHABLE_WATCH_MS 300
/* Wait of a watch that only asks for the changes so far. */
#define FIRST_WATCH_MS 1
/* Delay after a failed call. It doubles with each further failure up to the
 * maximum. The random jitter keeps the nodes of a fleet from all calling at the
 * same moment. */
#define RETRY_MS 150
#define RETRY_MAX_MS 300
#define RETRY_JITTER_MS 250

struct bg_watcher {
	struct event_base *base;
	struct bg_store *store;
	struct event *timer;
	struct bg_watcher_handler handler;
	struct bg_rand rand;
	const char *kind;
	struct bg_progress progress;
	uint64_t passed_revision; /* progress.revision before the answer that is
				     being processed, or was last */
	uint32_t coalesce_ms;
	int is_exact;
	uint32_t wait_ms;
	uint32_t timeout_ms;
	int is_first_watch; /* it is to be answered at once */
	int is_watching;    /* the next call is a watch, not a list */
	int has_listed;	    /* a list has been completed */
	int is_reachable;
	uint32_t retry_ms;   /* delay after the next failure, without jitter */
	int is_call_pending; /* the store will run on_response */
	int is_freed;
	char last_name[BG_STORE_NAME_BYTES]; /* of the last page of a list */
};

static void on_response(void *arg, const struct bg_store_response *response);

static void
watcher_release(struct bg_watcher *wat)
{
	if (wat->timer != NULL)
		event_free(wat->timer);
	free(wat);
}

static void
schedule_call(struct bg_watcher *wat, uint32_t ms)
{
	struct timeval tv = {ms / 1000, (suseconds_t)(ms % 1000) * 1000};

	event_add(wat->timer, &tv);
}

static uint32_t
next_retry_ms(struct bg_watcher *wat)
{
	uint32_t ms = wat->retry_ms;

	wat->retry_ms = ms * 2 > RETRY_MAX_MS ? RETRY_MAX_MS : ms * 2;
	return ms + (uint32_t)bg_rand_below(&wat->rand, RETRY_JITTER_MS);
}

static void
set_reachable(struct bg_watcher *wat, int is_reachable, int code)
{
	if (wat->is_reachable == is_reachable)
		return;
	wat->is_reachable = is_reachable;
	if (is_reachable)
		bg_log_info("store", "reachable again kind=%s at=%llu",
		    wat->kind, (unsigned long long)wat->progress.revision);
	else
		bg_log_warn("store", "unreachable kind=%s at=%llu reason=%s",
		    wat->kind, (unsigned long long)wat->progress.revision,
		    bg_error_name(code));
	if (wat->handler.reachable != NULL)
		wat->handler.reachable(wat->handler.arg, is_reachable);
}

static uint32_t
next_wait_ms(const struct bg_watcher *wat)
{
	if (wat->is_first_watch)
		return FIRST_WATCH_MS;
	return wat->is_reachable ? wat->wait_ms : UNREACHABLE_WATCH_MS;
}

/* A list must not be stale, since the watches that follow apply their changes
 * to it. A watch may be where a change may be reported seconds late: a stale
 * read costs a tenth. */
static void
start_call(struct bg_watcher *wat)
{
	struct bg_store_query query = {0};
	int error;

	query.kind = wat->kind;
	query.timeout_ms = wat->timeout_ms;
	if (wat->is_watching) {
		query.since_revision = wat->progress.revision;
		query.wait_ms = next_wait_ms(wat);
		query.may_be_stale = !wat->is_exact;
	} else if (wat->last_name[0] != '\0')
		query.after_name = wat->last_name;
	error = bg_store_read(wat->store, &query, on_response, wat);
	wat->is_call_pending = error == 0;
	if (error != 0 && error != BG_ECANCELED) {
		set_reachable(wat, 0, error);
		schedule_call(wat, next_retry_ms(wat));
	}
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	start_call(arg);
}

static void
deliver_objects(
    struct bg_watcher *wat, const struct bg_store_response *response)
{
	size_t i;

	for (i = 0; i < response->object_count; i++)
		wat->handler.object(wat->handler.arg, &response->objects[i]);
}

static void
notify_contact(struct bg_watcher *wat)
{
	if (wat->handler.contact != NULL)
		wat->handler.contact(wat->handler.arg);
}

static void
process_page(struct bg_watcher *wat, const struct bg_store_response *response)
{
	if (wat->last_name[0] == '\0') {
		/* The watch reports changes made after the first page. */
		bg_progress_handle_list(&wat->progress, response->revision);
		if (wat->handler.list_begin != NULL)
			wat->handler.list_begin(wat->handler.arg);
	}
	deliver_objects(wat, response);
	if (response->has_more && response->object_count > 0) {
		snprintf(wat->last_name, sizeof(wat->last_name), "%s",
		    response->objects[response->object_count - 1].name);
		schedule_call(wat, 0);
		return;
	}
	wat->last_name[0] = '\0';
	wat->is_watching = 1;
	wat->has_listed = 1;
	wat->handler.list_end(wat->handler.arg);
	notify_contact(wat);
	schedule_call(wat, 0);
}

/* Highest revision of the changes of an answer, or 0. Changes that could not be
 * decoded have that of the answer, or they would be reported again at once. */
static uint64_t
reported_revision(const struct bg_store_response *response)
{
	uint64_t revision = 0;
	size_t i;

	if (response->skipped_count > 0)
		return response->revision;
	for (i = 0; i < response->object_count; i++) {
		if (response->objects[i].revision > revision)
			revision = response->objects[i].revision;
	}
	return revision;
}

static void
process_events(struct bg_watcher *wat, const struct bg_store_response *response)
{
	bg_progress_handle_watch(&wat->progress, reported_revision(response),
	    response->revision, bg_clock_now_ms());
	deliver_objects(wat, response);
	notify_contact(wat);
	schedule_call(wat, response->object_count > 0 ? wat->coalesce_ms : 0);
}

static void
restart_list(struct bg_watcher *wat)
{
	wat->is_watching = 0;
	wat->last_name[0] = '\0';
}

static void
on_response(void *arg, const struct bg_store_response *response)
{
	struct bg_watcher *wat = arg;

	wat->is_call_pending = 0;
	if (wat->is_freed) {
		watcher_release(wat);
		return;
	}
	switch (response->code) {
	case 0:
		wat->passed_revision = wat->progress.revision;
		set_reachable(wat, 1, 0);
		wat->is_first_watch = 0;
		wat->retry_ms = RETRY_MS;
		if (wat->is_watching)
			process_events(wat, response);
		else
			process_page(wat, response);
		break;
	case BG_ESTALE:
		bg_log_info("store",
		    "watch history expired, listing again kind=%s at=%llu",
		    wat->kind, (unsigned long long)wat->progress.revision);
		restart_list(wat);
		schedule_call(wat, 0);
		break;
	case BG_ECANCELED:
		break;
	default:
		set_reachable(wat, 0, response->code);
		/* The store may hold back watches; it answers a list at once.
		 */
		if (!wat->is_watching || wat->is_exact)
			restart_list(wat);
		schedule_call(wat, next_retry_ms(wat));
		break;
	}
}

int
bg_watcher_init(struct bg_watcher **out, const struct bg_watcher_options *opts)
{
	struct bg_watcher *wat;

	if ((wat = calloc(1, sizeof(*wat))) == NULL)
		return BG_ENOMEM;
	wat->base = opts->base;
	wat->store = opts->store;
	wat->kind = opts->kind;
	wat->coalesce_ms = opts->coalesce_ms;
	wat->is_exact = opts->is_exact;
	wat->wait_ms = opts->wait_ms != 0 ? opts->wait_ms : DEFAULT_WATCH_MS;
	wat->timeout_ms = opts->timeout_ms;
	bg_progress_handle_list(&wat->progress, opts->since_revision);
	wat->is_watching = wat->is_first_watch = wat->progress.revision != 0;
	wat->handler = opts->handler;
	wat->is_reachable = 1;
	wat->retry_ms = RETRY_MS;
	bg_rand_init(&wat->rand, 0);
	if ((wat->timer = evtimer_new(opts->base, on_timer, wat)) == NULL) {
		free(wat);
		return BG_ENOMEM;
	}
	schedule_call(wat, 0);
	*out = wat;
	return 0;
}

void
bg_watcher_free(struct bg_watcher *wat)
{
	if (wat == NULL)
		return;
	event_del(wat->timer);
	wat->is_freed = 1;
	/* The callback of a pending call frees the watcher. */
	if (!wat->is_call_pending)
		watcher_release(wat);
}

int
bg_watcher_is_reachable(const struct bg_watcher *wat)
{
	return wat->is_reachable;
}

uint64_t
bg_watcher_revision(const struct bg_watcher *wat)
{
	return wat->progress.proven_revision;
}

uint64_t
bg_watcher_passed_revision(const struct bg_watcher *wat)
{
	return wat->passed_revision;
}

const char *
bg_watcher_read_name(const struct bg_watcher *wat)
{
	if (!wat->is_watching)
		return "list";
	return wat->is_exact ? "exact-watch" : "stale-watch";
}

int
bg_watcher_has_listed(const struct bg_watcher *wat)
{
	return wat->has_listed;
}
