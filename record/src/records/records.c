#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/error.h"
#include "burdockgrade/log.h"

#include "records/internal.h"

/* A peer in another region answers within 100 ms. */
#define CONNECT_TIMEOUT_MS 1000

static struct bg_counter store_bytes = BG_GAUGE(
    "burdock_record_store_bytes", "Memory used for records of groups.");

static void
on_begun(struct bg_group_io *io, struct bg_group *grp, uint64_t token,
    const struct bg_xbegin_res *res)
{
	struct request *req = (struct request *)(uintptr_t)token;

	if (req->kind == REQUEST_ASK)
		bg_records_ask_begun((struct ask *)req, res);
	else
		bg_records_served_begun((struct served *)req, res);
}

static void
on_finished(struct bg_group_io *io, struct bg_group *grp, uint64_t token,
    enum bg_finish_status status)
{
	struct request *req = (struct request *)(uintptr_t)token;

	if (req->kind == REQUEST_FINISH)
		bg_records_finish_done((struct finish *)req, status);
	else
		bg_records_served_finished((struct served *)req, status);
}

static void
on_report(struct bg_group_io *io, struct bg_group *grp)
{
	struct bg_records *rcs = (struct bg_records *)io;
	struct bg_view_report rep;
	struct bg_item item;
	char key[BG_KEY_BYTES];
	char *value;

	bg_group_report(&rep, grp);
	if (bg_view_report_encode(&value, &rep) != 0)
		return;
	snprintf(key, sizeof(key), "%s/%u", bg_group_data_centre(grp),
	    bg_group_index(grp));
	memset(&item, 0, sizeof(item));
	item.kind = BG_ITEM_GROUP;
	item.key = key;
	item.major = rep.epoch;
	item.minor = ++rcs->report_seq;
	item.value = value;
	item.value_bytes = (uint32_t)strlen(value);
	if (bg_mesh_publish(rcs->mesh, &item) != 0)
		bg_log_warn("record", "report not published key=%s", key);
	free(value);
}

static void
on_item(void *arg, const struct bg_item *item)
{
	struct bg_records *rcs = arg;

	if (item->kind == BG_ITEM_VIEW)
		bg_records_follow(rcs, item);
	else if (item->kind == BG_ITEM_GROUP)
		bg_records_relay_report(rcs, item);
}

static void
on_roster(void *arg, const struct bg_roster *ros)
{
	struct bg_records *rcs = arg;

	rcs->relay.is_dirty = 1;
}

/* Delivers answers in a turn of their own. */
static void
on_message(void *arg, const struct bg_message *msg)
{
	struct bg_records *rcs = arg;

	bg_records_copies_failed(rcs);
	bg_records_ask_tick(rcs, bg_clock_now_ms());
}

static void
check_incarnation(struct bg_records *rcs)
{
	uint64_t incarnation = bg_mesh_incarnation(rcs->mesh);

	if (incarnation == rcs->self.incarnation)
		return;
	/* Views name this process by its incarnation; what it held under the
	 * earlier one counts as lost. */
	bg_records_close_groups(rcs);
	rcs->self.incarnation = incarnation;
}

static void
tick_groups(struct bg_records *rcs, uint64_t now_ms)
{
	struct home *home;
	struct home *tmp;
	size_t i;

	HASH_ITER(hh, rcs->homes, home, tmp)
	{
		for (i = 0; i < BG_RECORD_GROUPS; i++) {
			if (home->groups[i] != NULL)
				bg_group_tick(home->groups[i], now_ms);
		}
	}
}

static void
check_drain(struct bg_records *rcs, uint64_t now_ms)
{
	void (*done)(void *) = rcs->drained;

	if (done == NULL ||
	    (!bg_records_is_handed_over(rcs) &&
		now_ms < rcs->drain_deadline_ms))
		return;
	rcs->drained = NULL;
	done(rcs->drained_arg);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct bg_records *rcs = arg;
	uint64_t now_ms = bg_clock_now_ms();

	check_incarnation(rcs);
	bg_store_expire(rcs->store, now_ms);
	tick_groups(rcs, now_ms);
	bg_records_ask_tick(rcs, now_ms);
	bg_records_finish_tick(rcs, now_ms);
	bg_records_relay_tick(rcs, now_ms);
	bg_counter_set(&store_bytes, (int64_t)bg_store_used_bytes(rcs->store));
	check_drain(rcs, now_ms);
}

static int
follow_known(void *arg, const struct bg_item *item)
{
	on_item(arg, item);
	return 0;
}

static int
open_parts(struct bg_records *rcs, const struct bg_records_options *opts)
{
	static const struct timeval tick = {0, TICK_MS * 1000};
	struct bg_link_options link = BG_LINK_OPTIONS_INIT;
	int error;

	link.local_ip = opts->settings->node.address;
	link.connect_timeout_ms = CONNECT_TIMEOUT_MS;
	if ((error = bg_store_init(&rcs->store, BG_STORE_BYTES)) != 0 ||
	    (error = bg_link_pool_init(&rcs->pool, rcs->base, &link)) != 0 ||
	    (error = bg_mailbox_init(
		 &rcs->mailbox, rcs->base, on_message, rcs)) != 0)
		return error;
	rcs->tick = event_new(rcs->base, -1, EV_PERSIST, on_tick, rcs);
	if (rcs->tick == NULL || event_add(rcs->tick, &tick) != 0)
		return BG_ENOMEM;
	return bg_records_serve(rcs, opts->server);
}

int
bg_records_init(struct bg_records **out, const struct bg_records_options *opts,
    struct bg_error *err)
{
	struct bg_mesh_listener listener = {
	    NULL, on_roster, on_item, NULL, NULL};
	struct bg_backoff backoff = BG_BACKOFF_INIT;
	struct bg_records *rcs;
	int error;

	assert(opts->version == BG_RECORDS_OPTIONS_VERSION);
	if ((rcs = calloc(1, sizeof(*rcs))) == NULL)
		return BG_ENOMEM;
	rcs->io.copy = bg_records_copy;
	rcs->io.begun = on_begun;
	rcs->io.finished = on_finished;
	rcs->io.report = on_report;
	rcs->base = opts->base;
	rcs->settings = opts->settings;
	rcs->mesh = opts->mesh;
	rcs->platform = opts->platform;
	rcs->relay.backoff = backoff;
	bg_rand_init(&rcs->rand, 0);
	snprintf(rcs->self.address, sizeof(rcs->self.address), "%s",
	    bg_mesh_address(opts->mesh));
	rcs->self.incarnation = bg_mesh_incarnation(opts->mesh);
	listener.arg = rcs;
	error = open_parts(rcs, opts);
	if (error == 0)
		error = bg_mesh_listen(opts->mesh, &listener);
	if (error != 0) {
		bg_records_free(rcs);
		return bg_error_set(
		    err, error, "start records", NULL, "cannot start");
	}
	bg_table_each(
	    bg_mesh_table(rcs->mesh), BG_ITEM_VIEW, follow_known, rcs);
	bg_table_each(
	    bg_mesh_table(rcs->mesh), BG_ITEM_GROUP, follow_known, rcs);
	*out = rcs;
	return 0;
}

void
bg_records_free(struct bg_records *rcs)
{
	struct home *home;
	struct home *tmp;

	if (rcs == NULL)
		return;
	if (rcs->tick != NULL)
		event_free(rcs->tick);
	bg_records_close_groups(rcs);
	if (rcs->pool != NULL)
		bg_link_pool_free(rcs->pool);
	rcs->pool = NULL;
	bg_records_ask_free(rcs);
	bg_records_finish_free(rcs);
	bg_records_copies_failed(rcs);
	bg_records_relay_free(rcs);
	HASH_ITER(hh, rcs->homes, home, tmp)
	{
		HASH_DEL(rcs->homes, home);
		free(home);
	}
	if (rcs->mailbox != NULL)
		bg_mailbox_free(rcs->mailbox);
	bg_store_free(rcs->store);
	free(rcs);
}

void
bg_records_drain(struct bg_records *rcs, uint32_t bound_ms,
    void (*done)(void *arg), void *arg)
{
	rcs->drained = done;
	rcs->drained_arg = arg;
	rcs->drain_deadline_ms = bg_clock_now_ms() + bound_ms;
	rcs->relay.is_dirty = 1;
}
