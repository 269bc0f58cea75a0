/* How the news of an emptied data centre reaches the nodes:
 *  1. An operator creates an object in the store, named after the data centre;
 *     its removal takes the data centre back.
 *  2. The node that reads the store exactly for the others (reader.c) watches
 *     these objects and pushes each change to peers, which forward it.
 *  3. What the pushes miss comes with the comparison of tables (gossip.c).
 *  4. Every node lists the objects when it starts, and has a cheap watch with a
 *     long wait. It may be seconds late, but needs neither peers nor a reader
 *     that follows these objects, which one of an earlier build does not. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/log.h"

#include "emptied/trust.h"
#include "mesh/internal.h"

/* Delay before the next exact watch, so that changes in quick succession cost
 * one call. */
#define COALESCE_MS 50
/* Wait of the exact watch. With the time limit of its answer, a connection that
 * has gone silent costs 2.5 s of the 5 s in which the news must be known. */
#define EXACT_WAIT_MS 2000
/* Wait of the cheap watches. Their changes come from peers as well, so that a
 * connection that has gone silent matters less than the number of calls. It
 * stays below the store's shortest history of 20 s. */
#define CHEAP_WAIT_MS 10000
/* Peers whose tables are compared at once after a pause: one of them may be
 * unreachable, or have paused too. */
#define CONFIRMING_PEERS 3

static struct bg_counter emptied_gauge = BG_GAUGE(
    "burdock_emptied_data_centres", "Data centres emptied by operators.");
static struct bg_counter changes = BG_COUNTER("burdock_emptied_changes_total",
    "Data centres emptied or taken back, as this node learned.");
static struct bg_counter doubts = BG_COUNTER("burdock_emptied_doubts_total",
    "Pauses after which calls wait until it is known what is emptied.");

/* A watcher of the objects, and the names in its last list. */
struct listing {
	struct bg_emptying *emptying;
	struct bg_watcher *watcher; /* NULL: not reading */
	char names[BG_EMPTIED_MAX][BG_NAME_BYTES];
	size_t count;
};

struct bg_emptying {
	struct bg_mesh *mesh;
	const char *kind;
	struct bg_emptied_set set;
	struct bg_trust trust;
	struct listing cheap;
	struct listing exact; /* while this node reads for the others */
	uint64_t revision;    /* up to which the store was read exactly; 0: it
				 was not */
};

const struct bg_emptied_set *
bg_mesh_emptied(const struct bg_mesh *mesh)
{
	static const struct bg_emptied_set none;

	return mesh->emptying == NULL ? &none : &mesh->emptying->set;
}

enum bg_admission
bg_mesh_admission(const struct bg_mesh *mesh)
{
	const struct bg_emptying *emp = mesh->emptying;

	if (emp == NULL)
		return BG_ADMISSION_OPEN;
	if (bg_emptied_set_contains(&emp->set, mesh->self.data_centre))
		return BG_ADMISSION_EMPTIED;
	return bg_trust_holds(&emp->trust, bg_clock_now_ms())
	    ? BG_ADMISSION_OPEN
	    : BG_ADMISSION_UNKNOWN;
}

static void
record_change(struct bg_emptying *emp, const struct bg_emptied *report,
    enum bg_emptied_change change)
{
	static const char *const texts[] = {
	    [BG_EMPTIED_STARTED] = "data centre emptied",
	    [BG_EMPTIED_REPEATED] = "data centre emptied again",
	    [BG_EMPTIED_ENDED] = "data centre taken back",
	};

	if (change == BG_EMPTIED_UNCHANGED)
		return;
	bg_counter_add(&changes, 1);
	bg_counter_set(
	    &emptied_gauge, (int64_t)bg_emptied_set_count(&emp->set));
	/* A warning: the log drops those last. */
	bg_log_warn("emptying", "%s dc=%s revision=%" PRIu64 " own=%d",
	    texts[change], report->data_centre, report->revision,
	    strcmp(report->data_centre, emp->mesh->self.data_centre) == 0);
}

static void
apply(struct bg_emptying *emp, const struct bg_emptied *report)
{
	enum bg_emptied_change change;

	if (bg_emptied_set_apply(&change, &emp->set, report) != 0)
		bg_log_error("emptying", "not applied dc=%s reason=limit",
		    report->data_centre);
	record_change(emp, report, change);
}

void
bg_emptying_handle_item(struct bg_mesh *mesh, const struct bg_item *item)
{
	struct bg_emptied report;

	if (mesh->emptying == NULL)
		return;
	if (bg_emptied_from_item(&report, item) != 0) {
		bg_log_warn(
		    "emptying", "ignored key=%s reason=invalid", item->key);
		return;
	}
	apply(mesh->emptying, &report);
}

/* Applies what the store showed, and passes it on to peers. */
static void
handle_stored(struct bg_emptying *emp, const struct bg_emptied *report)
{
	struct bg_mesh *mesh = emp->mesh;
	struct bg_item item;
	int error;

	apply(emp, report);
	bg_emptied_to_item(&item, report);
	error = bg_mesh_is_reading(mesh) ? bg_mesh_publish(mesh, &item)
					 : bg_mesh_merge_stored(mesh, &item);
	if (error != 0)
		bg_log_error("emptying", "not shared dc=%s code=%s",
		    report->data_centre, bg_error_name(error));
}

/* 1 if the emptying is known already, with the time of an earlier report. */
static int
is_known(const struct bg_emptying *emp, const struct bg_emptied *report)
{
	const struct bg_emptied *known =
	    bg_emptied_set_find(&emp->set, report->data_centre);

	return known != NULL && known->revision >= report->revision &&
	    report->is_emptied;
}

static void
add_listed(struct listing *lst, const char *name)
{
	if (lst->count < BG_EMPTIED_MAX)
		snprintf(lst->names[lst->count++], BG_NAME_BYTES, "%s", name);
}

static int
is_listed(const struct listing *lst, const char *name)
{
	size_t i;

	for (i = 0; i < lst->count; i++) {
		if (strcmp(lst->names[i], name) == 0)
			return 1;
	}
	return 0;
}

/* The revision that created an object identifies the emptying; other changes of
 * the object do not matter. */
static void
on_object(void *arg, const struct bg_store_object *obj)
{
	struct listing *lst = arg;
	struct bg_emptied report = {0};

	if (strlen(obj->name) >= sizeof(report.data_centre)) {
		bg_log_warn(
		    "emptying", "ignored name=%s reason=invalid", obj->name);
		return;
	}
	snprintf(
	    report.data_centre, sizeof(report.data_centre), "%s", obj->name);
	report.is_emptied = !obj->is_deleted;
	if (report.is_emptied) {
		report.revision = obj->create_revision;
		report.since_ms = bg_clock_wall_ms();
		add_listed(lst, obj->name);
	} else
		report.revision = obj->revision;
	if (!is_known(lst->emptying, &report))
		handle_stored(lst->emptying, &report);
}

static void
on_list_begin(void *arg)
{
	struct listing *lst = arg;

	lst->count = 0;
}

static void
confirm_by_store(const struct listing *lst)
{
	struct bg_emptying *emp = lst->emptying;

	if (emp->revision < bg_watcher_revision(lst->watcher))
		emp->revision = bg_watcher_revision(lst->watcher);
	bg_trust_confirm_by_store(&emp->trust);
}

/* Takes back the data centres whose objects the list lacks: they were removed
 * while no watch was open. Emptyings after the list are kept. */
static void
on_list_end(void *arg)
{
	struct listing *lst = arg;
	struct bg_emptying *emp = lst->emptying;
	struct bg_emptied report = {0};
	size_t i;

	for (i = 0; i < emp->set.count; i++) {
		report.revision = bg_watcher_revision(lst->watcher);
		if (!emp->set.reports[i].is_emptied ||
		    emp->set.reports[i].revision > report.revision ||
		    is_listed(lst, emp->set.reports[i].data_centre))
			continue;
		snprintf(report.data_centre, sizeof(report.data_centre), "%s",
		    emp->set.reports[i].data_centre);
		handle_stored(emp, &report);
	}
	confirm_by_store(lst);
}

/* Changes up to now were reported, if the watch is exact. */
static void
on_contact(void *arg)
{
	struct listing *lst = arg;

	if (lst == &lst->emptying->exact)
		confirm_by_store(lst);
}

static void
start_listing(struct listing *lst)
{
	struct bg_emptying *emp = lst->emptying;
	struct bg_watcher_options opts = {0};

	opts.base = emp->mesh->base;
	opts.store = emp->mesh->store;
	opts.kind = emp->kind;
	opts.coalesce_ms = COALESCE_MS;
	opts.wait_ms = CHEAP_WAIT_MS;
	if (lst == &emp->exact) {
		opts.is_exact = 1;
		opts.since_revision = emp->revision;
		opts.wait_ms = EXACT_WAIT_MS;
		opts.timeout_ms = BG_WATCHER_EXACT_TIMEOUT_MS;
	}
	opts.handler.object = on_object;
	opts.handler.list_begin = on_list_begin;
	opts.handler.list_end = on_list_end;
	opts.handler.contact = on_contact;
	opts.handler.arg = lst;
	if (bg_watcher_init(&lst->watcher, &opts) != 0)
		bg_log_error("emptying", "store not read reason=memory");
}

static void
stop_listing(struct listing *lst)
{
	bg_watcher_free(lst->watcher);
	lst->watcher = NULL;
}

static void
on_reading(void *arg, int is_reading)
{
	struct bg_emptying *emp = arg;

	stop_listing(&emp->exact);
	if (is_reading)
		start_listing(&emp->exact);
}

static int
is_store_reachable(const struct bg_emptying *emp)
{
	return emp->cheap.watcher != NULL &&
	    bg_watcher_is_reachable(emp->cheap.watcher);
}

static int
apply_item(void *arg, const struct bg_item *item)
{
	bg_emptying_handle_item(arg, item);
	return 0;
}

void
bg_emptying_handle_comparison(struct bg_mesh *mesh)
{
	struct bg_emptying *emp = mesh->emptying;

	if (emp == NULL || !emp->trust.is_doubted)
		return;
	/* The peer's items are in the table, but not processed yet. */
	if (bg_table_foreach(mesh->table, BG_ITEM_EMPTIED, apply_item, mesh) ==
	    0)
		bg_trust_confirm_by_peer(&emp->trust, is_store_reachable(emp));
}

void
bg_emptying_tick(struct bg_mesh *mesh)
{
	struct bg_emptying *emp = mesh->emptying;
	uint64_t tick_ms;
	int i;

	if (emp == NULL)
		return;
	tick_ms = emp->trust.tick_ms;
	if (!bg_trust_tick(&emp->trust, bg_clock_now_ms()))
		return;
	bg_counter_add(&doubts, 1);
	bg_log_warn("emptying", "in doubt after a pause ms=%" PRIu64,
	    emp->trust.tick_ms - tick_ms);
	for (i = 0; i < CONFIRMING_PEERS; i++)
		bg_gossip_compare_members(mesh->gossip);
}

int
bg_emptying_init(struct bg_mesh *mesh, const char *kind)
{
	struct bg_mesh_listener listener = {
	    NULL, NULL, NULL, NULL, on_reading, NULL};
	struct bg_emptying *emp;

	if (kind == NULL)
		return 0;
	if ((emp = calloc(1, sizeof(*emp))) == NULL)
		return BG_ENOMEM;
	mesh->emptying = emp;
	emp->mesh = mesh;
	emp->kind = kind;
	emp->cheap.emptying = emp->exact.emptying = emp;
	listener.arg = emp;
	return bg_mesh_add_listener(mesh, &listener);
}

void
bg_emptying_start(struct bg_mesh *mesh)
{
	struct bg_emptying *emp = mesh->emptying;

	if (emp == NULL)
		return;
	bg_trust_init(&emp->trust, bg_clock_now_ms());
	if (mesh->store != NULL)
		start_listing(&emp->cheap);
}

void
bg_emptying_free(struct bg_emptying *emp)
{
	if (emp == NULL)
		return;
	stop_listing(&emp->cheap);
	stop_listing(&emp->exact);
	free(emp);
}
