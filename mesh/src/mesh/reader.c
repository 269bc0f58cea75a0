/* Keeps the age of the configuration bounded. The watches of all nodes are
 * cheap and may report a change seconds late. So each node asks one that reads
 * the store exactly for the newest version, every CHECK_INTERVAL_MS. A node
 * begins to read exactly when it is asked, and ends some time after that;
 * freshness.h decides who is asked. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/log.h"

#include "freshness/freshness.h"
#include "mesh/codec.h"
#include "mesh/internal.h"

/* Time from a check to the next one. */
#define CHECK_INTERVAL_MS 500
/* The same after a newer version was heard of: the cheap watch mostly returns
 * the document in this time, and it need not be sent. */
#define DOCUMENT_WAIT_MS 150
/* The first check. Nodes that start at the same time know each other by then,
 * and agree on who is asked. */
#define START_DELAY_MS 2500
/* Time limit of a question to a node, and of the answer's delay there. */
#define ASK_TIMEOUT_MS 350
#define ANSWER_DELAY_MAX_MS 200
#define WATCH_COALESCE_MS 200
/* A node that nobody has asked for this long stops its exact reads. */
#define READ_IDLE_MS 3000
/* Age from which the log has a warning. */
#define WARN_AGE_MS 2000
/* Time for which a node may lack a version that it has heard of. Then the log
 * has a warning, and the node reads the store itself. */
#define BEHIND_MAX_MS 1000

static struct bg_counter checks = BG_COUNTER(
    "burdock_config_checks_total", "Checks for a newer configuration.");
static struct bg_counter failed_checks =
    BG_COUNTER("burdock_config_checks_failed_total",
	"Checks that no reader of the store has answered.");
static struct bg_counter reading =
    BG_GAUGE("burdock_config_reader", "1 if the node reads the store exactly.");

/* A question of another node that waits for an exact read. */
struct question {
	struct bg_reader *reader;
	struct question *prev;
	struct question *next;
	struct bg_rpc *rpc;
	struct event *timer;
	uint64_t config_version;
	int is_document_wanted;
};

struct bg_reader {
	struct bg_mesh *mesh;
	struct bg_freshness freshness;
	struct event *timer;
	struct bg_watcher *watcher; /* exact; NULL if the node does not read */
	struct question *questions;
	uint64_t reading_since_ms;
	uint64_t wanted_ms;  /* last time that the exact reads were needed */
	uint64_t contact_ms; /* last exact answer; 0: none */
	uint64_t newest_version; /* that a node has told of */
	uint64_t behind_ms; /* since when newest_version is not in force; 0: it
			       is */
	int is_warned;
	int is_behind_warned;
	char asked[BG_ADDRESS_BYTES];
};

static void ask_next(struct bg_reader *rdr);

static void
schedule(struct bg_reader *rdr, uint32_t ms)
{
	struct timeval tv = {ms / 1000, (suseconds_t)(ms % 1000) * 1000};

	event_add(rdr->timer, &tv);
}

static uint32_t
read_age_ms(const struct bg_reader *rdr)
{
	uint64_t age_ms = bg_clock_now_ms() - rdr->contact_ms;

	if (rdr->contact_ms == 0 || age_ms > UINT32_MAX)
		return UINT32_MAX;
	return (uint32_t)age_ms;
}

static void
on_object(void *arg, const struct bg_store_object *obj)
{
	struct bg_reader *rdr = arg;

	bg_mesh_config_handle_object(rdr->mesh, obj, rdr->watcher);
}

static void
on_list_end(void *arg)
{
}

static void
question_free(struct question *qst)
{
	if (qst->prev != NULL)
		qst->prev->next = qst->next;
	else
		qst->reader->questions = qst->next;
	if (qst->next != NULL)
		qst->next->prev = qst->prev;
	if (qst->timer != NULL)
		event_free(qst->timer);
	free(qst);
}

static void
reply(struct bg_reader *rdr, struct bg_rpc *rpc, uint64_t known_version,
    int is_document_wanted)
{
	struct bg_xconfig_res res = {0};
	struct bg_packed packed = {0};

	res.config_version = bg_mesh_config_version(rdr->mesh);
	res.age_ms = read_age_ms(rdr);
	if (is_document_wanted && res.config_version > known_version &&
	    bg_gossip_pack_config(&packed, rdr->mesh->gossip) == 0) {
		res.items.items_val = packed.data;
		res.items.items_len = packed.bytes;
		res.raw_bytes = packed.raw_bytes;
		res.items_digest = packed.digest;
	}
	bg_rpc_reply(rpc, (xdrproc_t)xdr_bg_xconfig_res, &res);
	free(packed.data);
}

static void
answer(struct question *qst)
{
	struct bg_reader *rdr = qst->reader;
	struct bg_rpc *rpc = qst->rpc;
	uint64_t version = qst->config_version;
	int is_document_wanted = qst->is_document_wanted;

	question_free(qst);
	reply(rdr, rpc, version, is_document_wanted);
}

static void
on_contact(void *arg)
{
	struct bg_reader *rdr = arg;

	rdr->contact_ms = bg_clock_now_ms();
	while (rdr->questions != NULL)
		answer(rdr->questions);
}

static void
notify_reading(const struct bg_mesh *mesh, int is_reading)
{
	size_t i;

	for (i = 0; i < mesh->listener_count; i++) {
		if (mesh->listeners[i].reading != NULL)
			mesh->listeners[i].reading(
			    mesh->listeners[i].arg, is_reading);
	}
}

int
bg_mesh_is_reading(const struct bg_mesh *mesh)
{
	return mesh->reader->watcher != NULL;
}

static int
start_reading(struct bg_reader *rdr)
{
	struct bg_mesh *mesh = rdr->mesh;
	struct bg_watcher_options opts = {0};

	opts.base = mesh->base;
	opts.store = mesh->store;
	opts.kind = mesh->config->kind;
	opts.coalesce_ms = WATCH_COALESCE_MS;
	opts.is_exact = 1;
	opts.wait_ms = BG_WATCHER_EXACT_WAIT_MS;
	opts.timeout_ms = BG_WATCHER_EXACT_TIMEOUT_MS;
	opts.handler.object = on_object;
	opts.handler.list_end = on_list_end;
	opts.handler.contact = on_contact;
	opts.handler.arg = rdr;
	if (bg_watcher_init(&rdr->watcher, &opts) != 0)
		return BG_ENOMEM;
	rdr->reading_since_ms = bg_clock_now_ms();
	bg_counter_set(&reading, 1);
	bg_log_info("config", "reads the store exactly");
	notify_reading(mesh, 1);
	return 0;
}

static void
stop_reading(struct bg_reader *rdr)
{
	bg_watcher_free(rdr->watcher);
	rdr->watcher = NULL;
	rdr->contact_ms = 0;
	bg_counter_set(&reading, 0);
	bg_log_info("config", "no longer reads the store exactly");
	notify_reading(rdr->mesh, 0);
}

/* 1 if nobody needs the exact reads, or if the cheap watches show as well that
 * the store cannot be reached; they show when it can. */
static int
is_reading_idle(const struct bg_reader *rdr)
{
	return bg_clock_now_ms() - rdr->wanted_ms > READ_IDLE_MS ||
	    (!bg_watcher_is_reachable(rdr->watcher) &&
		!bg_mesh_is_store_reachable(rdr->mesh));
}

/* Starts the exact reads, or keeps them up. While the cheap watches show that
 * the store cannot be reached, none are started. */
static void
want_reading(struct bg_reader *rdr)
{
	rdr->wanted_ms = bg_clock_now_ms();
	if (rdr->watcher == NULL && rdr->mesh->store != NULL &&
	    bg_mesh_is_store_reachable(rdr->mesh))
		start_reading(rdr);
}

/* 1 if the exact reads began so recently that an answer may still come. */
static int
is_read_expected(const struct bg_reader *rdr)
{
	return rdr->watcher != NULL && rdr->contact_ms == 0 &&
	    bg_watcher_is_reachable(rdr->watcher) &&
	    bg_clock_now_ms() - rdr->reading_since_ms < ANSWER_DELAY_MAX_MS;
}

static void
on_question_timer(evutil_socket_t fd, short what, void *arg)
{
	answer(arg);
}

static void
on_question_canceled(void *arg)
{
	struct question *qst = arg;
	struct bg_rpc *rpc = qst->rpc;

	question_free(qst);
	bg_rpc_drop(rpc);
}

/* Lets a question wait for the first exact read. @return 0 or BG_ENOMEM */
static int
hold_question(struct bg_reader *rdr, struct bg_rpc *rpc,
    const struct bg_xconfig_args *args)
{
	static const struct timeval delay = {0, ANSWER_DELAY_MAX_MS * 1000};
	struct question *qst = calloc(1, sizeof(*qst));

	if (qst == NULL)
		return BG_ENOMEM;
	qst->timer = evtimer_new(rdr->mesh->base, on_question_timer, qst);
	if (qst->timer == NULL) {
		free(qst);
		return BG_ENOMEM;
	}
	qst->reader = rdr;
	qst->rpc = rpc;
	qst->config_version = args->config_version;
	qst->is_document_wanted = args->is_document_wanted != 0;
	qst->next = rdr->questions;
	if (qst->next != NULL)
		qst->next->prev = qst;
	rdr->questions = qst;
	event_add(qst->timer, &delay);
	bg_rpc_on_cancel(rpc, on_question_canceled, qst);
	return 0;
}

static void
handle_config(void *arg, struct bg_rpc *rpc, void *data)
{
	struct bg_reader *rdr = arg;
	const struct bg_xconfig_args *args = data;

	want_reading(rdr);
	if (is_read_expected(rdr) && hold_question(rdr, rpc, args) == 0)
		return;
	reply(rdr, rpc, args->config_version, args->is_document_wanted != 0);
}

static int
is_document_wanted(const struct bg_reader *rdr)
{
	return rdr->newest_version > bg_mesh_config_version(rdr->mesh) &&
	    rdr->newest_version != rdr->mesh->refused_version;
}

/* Logs once that the configuration is not confirmed, and once that it is. */
static void
update_warning(struct bg_reader *rdr)
{
	uint64_t age_ms = bg_clock_now_ms() - rdr->freshness.confirmed_ms;
	int is_old = age_ms > WARN_AGE_MS;

	if (is_old == rdr->is_warned)
		return;
	rdr->is_warned = is_old;
	if (is_old)
		bg_log_warn("config",
		    "not confirmed version=%" PRIu64 " age_ms=%" PRIu64,
		    bg_mesh_config_version(rdr->mesh), age_ms);
	else
		bg_log_info("config", "confirmed version=%" PRIu64,
		    bg_mesh_config_version(rdr->mesh));
}

static void
end_behind(struct bg_reader *rdr)
{
	if (rdr->is_behind_warned)
		bg_log_info("config",
		    "caught up version=%" PRIu64 " behind_ms=%" PRIu64,
		    bg_mesh_config_version(rdr->mesh),
		    bg_clock_now_ms() - rdr->behind_ms);
	rdr->behind_ms = 0;
	rdr->is_behind_warned = 0;
}

static void
warn_behind(struct bg_reader *rdr)
{
	if (rdr->is_behind_warned)
		return;
	rdr->is_behind_warned = 1;
	bg_log_warn("config",
	    "behind version=%" PRIu64 " newest=%" PRIu64 " told_by=%s",
	    bg_mesh_config_version(rdr->mesh), rdr->newest_version, rdr->asked);
}

/* A peer may tell of a version and not be able to send its document. A node
 * that lacks it for too long reads the store itself, unless it has refused the
 * version. */
static void
check_behind(struct bg_reader *rdr)
{
	uint64_t now_ms = bg_clock_now_ms();

	if (rdr->newest_version <= bg_mesh_config_version(rdr->mesh)) {
		end_behind(rdr);
		return;
	}
	if (rdr->behind_ms == 0)
		rdr->behind_ms = now_ms;
	if (now_ms - rdr->behind_ms < BEHIND_MAX_MS)
		return;
	warn_behind(rdr);
	if (is_document_wanted(rdr))
		want_reading(rdr);
}

static void
end_check(struct bg_reader *rdr, uint32_t next_ms)
{
	update_warning(rdr);
	check_behind(rdr);
	schedule(rdr, next_ms);
}

static void
fail_check(struct bg_reader *rdr)
{
	bg_counter_add(&failed_checks, 1);
	if (bg_freshness_must_read(&rdr->freshness)) {
		want_reading(rdr);
		bg_freshness_handle_answer(
		    &rdr->freshness, read_age_ms(rdr), bg_clock_now_ms());
	}
	end_check(rdr, CHECK_INTERVAL_MS);
}

/* This node is the one to ask. */
static void
ask_self(struct bg_reader *rdr)
{
	want_reading(rdr);
	if (bg_freshness_handle_answer(
		&rdr->freshness, read_age_ms(rdr), bg_clock_now_ms()) ||
	    is_read_expected(rdr))
		end_check(rdr, CHECK_INTERVAL_MS);
	else
		ask_next(rdr);
}

static void
on_reply(void *arg, int code, void *result)
{
	struct bg_reader *rdr = arg;
	const struct bg_xconfig_res *res = result;
	uint64_t now_ms = bg_clock_now_ms();
	int was_wanted = is_document_wanted(rdr);
	struct bg_packed packed;

	if (code == BG_ECANCELED)
		return;
	if (code != 0) {
		bg_log_debug("config", "no answer peer=%s code=%s", rdr->asked,
		    bg_error_name(code));
		bg_freshness_handle_failure(
		    &rdr->freshness, rdr->asked, now_ms);
		ask_next(rdr);
		return;
	}
	packed.data = res->items.items_val;
	packed.bytes = res->items.items_len;
	packed.raw_bytes = res->raw_bytes;
	packed.digest = res->items_digest;
	bg_gossip_merge(rdr->mesh->gossip, &packed, rdr->asked);
	if (res->config_version > rdr->newest_version)
		rdr->newest_version = res->config_version;
	if (!bg_freshness_handle_answer(&rdr->freshness, res->age_ms, now_ms)) {
		ask_next(rdr);
		return;
	}
	end_check(rdr,
	    !was_wanted && is_document_wanted(rdr) ? DOCUMENT_WAIT_MS
						   : CHECK_INTERVAL_MS);
}

/* @return 0 or an error code, after which on_reply does not run */
static int
ask_peer(struct bg_reader *rdr)
{
	struct bg_xconfig_args args;
	struct bg_link *link;
	int error;

	args.config_version = bg_mesh_config_version(rdr->mesh);
	args.is_document_wanted = (u_int)is_document_wanted(rdr);
	error = bg_link_pool_get(&link, rdr->mesh->links, rdr->asked, NULL);
	if (error != 0)
		return error;
	return bg_link_call(NULL, link, BG_PROC_CONFIG,
	    (xdrproc_t)xdr_bg_xconfig_args, &args,
	    (xdrproc_t)xdr_bg_xconfig_res, sizeof(struct bg_xconfig_res),
	    ASK_TIMEOUT_MS, on_reply, rdr);
}

/* Asks the next candidate of the check. */
static void
ask_next(struct bg_reader *rdr)
{
	uint64_t now_ms = bg_clock_now_ms();
	const char *address;

	while ((address = bg_freshness_next(&rdr->freshness)) != NULL) {
		if (strcmp(address, rdr->mesh->self.address) == 0) {
			ask_self(rdr);
			return;
		}
		snprintf(rdr->asked, sizeof(rdr->asked), "%s", address);
		if (ask_peer(rdr) == 0)
			return;
		bg_freshness_handle_failure(
		    &rdr->freshness, rdr->asked, now_ms);
	}
	fail_check(rdr);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct bg_reader *rdr = arg;
	struct bg_mesh *mesh = rdr->mesh;

	if (rdr->watcher != NULL && is_reading_idle(rdr))
		stop_reading(rdr);
	bg_counter_add(&checks, 1);
	bg_freshness_set_candidates(&rdr->freshness, &mesh->roster,
	    mesh->self.data_centre, bg_clock_now_ms());
	bg_freshness_begin(&rdr->freshness);
	ask_next(rdr);
}

void
bg_reader_start(struct bg_reader *rdr)
{
	if (rdr->mesh->store == NULL)
		return;
	rdr->freshness.confirmed_ms = bg_clock_now_ms();
	schedule(rdr, START_DELAY_MS);
}

int
bg_reader_init(struct bg_reader **out, struct bg_mesh *mesh)
{
	struct bg_rpc_handler handler = {BG_PROC_CONFIG,
	    (xdrproc_t)xdr_bg_xconfig_args, sizeof(struct bg_xconfig_args),
	    handle_config, NULL};
	struct bg_reader *rdr;

	if ((rdr = calloc(1, sizeof(*rdr))) == NULL)
		return BG_ENOMEM;
	rdr->mesh = mesh;
	handler.arg = rdr;
	rdr->timer = evtimer_new(mesh->base, on_timer, rdr);
	if (rdr->timer == NULL ||
	    bg_link_server_add_handler(mesh->server, &handler) != 0) {
		bg_reader_free(rdr);
		return BG_ENOMEM;
	}
	*out = rdr;
	return 0;
}

void
bg_reader_free(struct bg_reader *rdr)
{
	struct bg_rpc *rpc;

	if (rdr == NULL)
		return;
	bg_watcher_free(rdr->watcher);
	while (rdr->questions != NULL) {
		rpc = rdr->questions->rpc;
		question_free(rdr->questions);
		bg_rpc_drop(rpc);
	}
	if (rdr->timer != NULL)
		event_free(rdr->timer);
	free(rdr);
}
