#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"
#include "burdockgrade/log.h"

#include "mesh/content.h"
#include "mesh/reader.h"

/* A watch is renewed at this interval; each renewal is one call. */
#define WATCH_MS 10000
/* Service objects read at the same time. */
#define FETCHES_MAX 8
#define HEAD_OBJECT "config/head"
#define CONFIG_PREFIX "config/"

static struct bg_counter head_reads =
    BG_COUNTER("burdock_platform_head_reads_total", "Reads of config/head.");
static struct bg_counter service_reads = BG_COUNTER(
    "burdock_platform_service_reads_total", "Reads of service objects.");
static struct bg_counter watches =
    BG_COUNTER("burdock_platform_watches_total", "Watches started.");

struct fetch {
	struct bg_reader *reader;
	struct bg_head_service *service;
	int is_busy;
};

struct bg_reader {
	struct bg_reader_options options;
	struct event *retry;
	struct bg_backoff backoff;
	struct bg_rand rand;
	uint64_t revision;
	int is_following;
	int is_watching;
	int is_reading;
	int is_read_wanted;
	int is_loading;
	int is_load_failed;
	struct bg_head head; /* being loaded */
	size_t next_service;
	size_t busy_count;
	struct fetch fetches[FETCHES_MAX];
};

static void start_watch(struct bg_reader *rdr);
static void start_read(struct bg_reader *rdr);

static void
retry_later(struct bg_reader *rdr)
{
	uint32_t delay_ms = bg_backoff_next_ms(&rdr->backoff, &rdr->rand);
	struct timeval tv = {delay_ms / 1000, (delay_ms % 1000) * 1000};

	if (rdr->is_following && !evtimer_pending(rdr->retry, NULL))
		evtimer_add(rdr->retry, &tv);
}

static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
	struct bg_reader *rdr = arg;

	if (!rdr->is_following)
		return;
	bg_reader_read_head(rdr);
	start_watch(rdr);
}

static void
emit(struct bg_reader *rdr, uint32_t kind, const char *key, uint64_t major,
    char *value)
{
	struct bg_item item = {0};

	item.kind = kind;
	item.key = key;
	item.major = major;
	item.value = value;
	item.value_bytes = (uint32_t)strlen(value);
	rdr->options.item(rdr->options.arg, &item);
	free(value);
}

static void
emit_service(struct bg_reader *rdr, const struct bg_head_service *svc,
    const char *contract_json)
{
	char *value;

	/* A contract that is not JSON is passed on as an empty one, so that
	 * each node refuses the version and reports it. */
	if (bg_head_service_encode(&value, svc, contract_json) == 0 ||
	    bg_head_service_encode(&value, svc, "{}") == 0)
		emit(rdr, BG_ITEM_SERVICE, svc->name, svc->changed, value);
	else
		rdr->is_load_failed = 1;
}

/* Ends a load: the head is announced after its services, so that a child that
 * holds it can build it. */
static void
finish_load(struct bg_reader *rdr)
{
	char *value;

	rdr->is_loading = 0;
	if (rdr->is_load_failed)
		retry_later(rdr);
	else if (bg_head_item_encode(&value, &rdr->head) == 0) {
		emit(rdr, BG_ITEM_HEAD, BG_HEAD_KEY, rdr->head.version, value);
		bg_log_debug("relay", "read version=%llu services=%zu",
		    (unsigned long long)rdr->head.version,
		    rdr->head.service_count);
	}
	bg_head_free(&rdr->head);
	if (rdr->is_read_wanted)
		start_read(rdr);
}

/* 1 if the table holds the service as the head names it, or holds its contract
 * so that only the head's part has to be renewed. */
static int
use_table(struct bg_reader *rdr, const struct bg_head_service *svc)
{
	struct bg_head_service held;
	struct bg_contract contract;
	struct bg_item item;
	char *json;

	if (bg_table_get(
		&item, rdr->options.table, BG_ITEM_SERVICE, svc->name) != 0)
		return 0;
	if (item.major >= svc->changed)
		return 1;
	if (bg_head_service_decode(
		&held, &contract, item.value, item.value_bytes, NULL) != 0 ||
	    held.rev != svc->rev || held.digest != svc->digest ||
	    bg_contract_encode(&json, &contract) != 0)
		return 0;
	emit_service(rdr, svc, json);
	free(json);
	return 1;
}

static void load_more(struct bg_reader *rdr);

static void
on_service(void *arg, const struct bg_platform_answer *ans)
{
	struct fetch *fetch = arg;
	struct bg_reader *rdr = fetch->reader;
	char *json;

	fetch->is_busy = 0;
	rdr->busy_count--;
	if (ans->code == 0 &&
	    (json = strndup(ans->body, ans->body_bytes)) != NULL) {
		emit_service(rdr, fetch->service, json);
		free(json);
	} else {
		bg_log_warn("relay", "service not read name=%s code=%s",
		    fetch->service->name, bg_error_name(ans->code));
		rdr->is_load_failed = 1;
	}
	load_more(rdr);
}

static int
start_fetch(struct bg_reader *rdr, struct bg_head_service *svc)
{
	char key[sizeof("config/service//") + BG_NAME_BYTES + 24];
	struct fetch *fetch = rdr->fetches;

	while (fetch->is_busy)
		fetch++;
	snprintf(key, sizeof(key), "config/service/%s/%llu", svc->name,
	    (unsigned long long)svc->rev);
	fetch->reader = rdr;
	fetch->service = svc;
	if (bg_platform_get(rdr->options.platform, key, on_service, fetch) != 0)
		return BG_EUNAVAILABLE;
	bg_counter_add(&service_reads, 1);
	fetch->is_busy = 1;
	rdr->busy_count++;
	return 0;
}

static void
load_more(struct bg_reader *rdr)
{
	struct bg_head_service *svc;

	while (rdr->next_service < rdr->head.service_count &&
	    rdr->busy_count < FETCHES_MAX && !rdr->is_load_failed) {
		svc = &rdr->head.services[rdr->next_service++];
		if (!rdr->options.is_whole && use_table(rdr, svc))
			continue;
		if (start_fetch(rdr, svc) != 0)
			rdr->is_load_failed = 1;
	}
	if (rdr->busy_count == 0 && rdr->is_loading)
		finish_load(rdr);
}

static void
load(struct bg_reader *rdr, const struct bg_platform_answer *ans)
{
	struct bg_error err;

	if (bg_head_decode(&rdr->head, ans->body, ans->body_bytes, &err) != 0) {
		bg_log_error("relay", "head not valid reason=%s", err.message);
		return;
	}
	rdr->is_loading = 1;
	rdr->is_load_failed = 0;
	rdr->next_service = 0;
	load_more(rdr);
}

static uint64_t
version_of(const struct bg_platform_answer *ans)
{
	json_t *json = json_loadb(ans->body, ans->body_bytes, 0, NULL);
	json_int_t version =
	    json_integer_value(json_object_get(json, "version"));

	json_decref(json);
	return (uint64_t)version;
}

static void
on_head(void *arg, const struct bg_platform_answer *ans)
{
	struct bg_reader *rdr = arg;
	int is_absent = ans->code == BG_ENOTFOUND;
	uint64_t version = ans->code == 0 ? version_of(ans) : 0;

	rdr->is_reading = 0;
	rdr->options.head(rdr->options.arg, is_absent ? 0 : ans->code, version);
	if (ans->code == 0) {
		bg_backoff_reset(&rdr->backoff);
		if (rdr->is_following && !rdr->is_loading)
			load(rdr, ans);
		else if (rdr->is_following)
			rdr->is_read_wanted = 1;
	} else if (!is_absent)
		retry_later(rdr);
	if (rdr->is_read_wanted && !rdr->is_loading)
		start_read(rdr);
}

static void
start_read(struct bg_reader *rdr)
{
	rdr->is_read_wanted = 0;
	if (rdr->is_reading) {
		rdr->is_read_wanted = 1;
		return;
	}
	if (bg_platform_get(rdr->options.platform, HEAD_OBJECT, on_head, rdr) !=
	    0) {
		retry_later(rdr);
		return;
	}
	bg_counter_add(&head_reads, 1);
	rdr->is_reading = 1;
}

void
bg_reader_read_head(struct bg_reader *rdr)
{
	start_read(rdr);
}

int
bg_reader_is_reading(const struct bg_reader *rdr)
{
	return rdr->is_reading;
}

/* 1 if the answer of a watch names the head. */
static int
names_head(json_t *json)
{
	json_t *changed = json_object_get(json, "changed");
	json_t *entry;
	const char *key;
	size_t i;

	json_array_foreach(changed, i, entry)
	{
		key = json_string_value(json_object_get(entry, "key"));
		if (key != NULL && strcmp(key, HEAD_OBJECT) == 0)
			return 1;
	}
	return 0;
}

static void
on_watch(void *arg, const struct bg_platform_answer *ans)
{
	struct bg_reader *rdr = arg;
	json_t *json;

	rdr->is_watching = 0;
	if (!rdr->is_following)
		return;
	if (ans->code != 0) {
		retry_later(rdr);
		return;
	}
	bg_backoff_reset(&rdr->backoff);
	json = json_loadb(ans->body, ans->body_bytes, 0, NULL);
	rdr->revision =
	    (uint64_t)json_integer_value(json_object_get(json, "revision"));
	if (names_head(json))
		bg_reader_read_head(rdr);
	json_decref(json);
	start_watch(rdr);
}

static void
start_watch(struct bg_reader *rdr)
{
	if (rdr->is_watching)
		return;
	if (bg_platform_watch(rdr->options.platform, CONFIG_PREFIX,
		rdr->revision, WATCH_MS, on_watch, rdr) != 0) {
		retry_later(rdr);
		return;
	}
	bg_counter_add(&watches, 1);
	rdr->is_watching = 1;
}

void
bg_reader_follow(struct bg_reader *rdr, int is_on)
{
	if (rdr->is_following == is_on)
		return;
	rdr->is_following = is_on;
	if (!is_on) {
		evtimer_del(rdr->retry);
		return;
	}
	bg_backoff_reset(&rdr->backoff);
	start_watch(rdr);
	bg_reader_read_head(rdr);
}

int
bg_reader_init(struct bg_reader **out, const struct bg_reader_options *opts)
{
	static const struct bg_backoff backoff = BG_BACKOFF_INIT;
	struct bg_reader *rdr;

	if ((rdr = calloc(1, sizeof(*rdr))) == NULL)
		return BG_ENOMEM;
	rdr->options = *opts;
	rdr->backoff = backoff;
	bg_rand_init(&rdr->rand, 0);
	rdr->retry = evtimer_new(opts->base, on_retry, rdr);
	if (rdr->retry == NULL) {
		free(rdr);
		return BG_ENOMEM;
	}
	*out = rdr;
	return 0;
}

void
bg_reader_free(struct bg_reader *rdr)
{
	if (rdr == NULL)
		return;
	event_free(rdr->retry);
	bg_head_free(&rdr->head);
	free(rdr);
}
