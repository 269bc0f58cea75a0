#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/change.h"
#include "burdockgrade/clock.h"
#include "burdockgrade/document.h"

#include "contracts.h"

static int
decode(struct bg_config_source *src, struct bg_snapshot **out,
    const json_t *doc, struct bg_error *err)
{
	return bg_document_snapshot(out, doc, err);
}

static uint64_t
version(struct bg_config_source *src, const json_t *doc)
{
	struct bg_head head;
	uint64_t number;

	if (bg_document_head(&head, doc, NULL) != 0)
		return 0;
	number = head.version;
	bg_head_free(&head);
	return number;
}

static struct bg_config_source source = {
    BG_KIND_CONFIG, BG_NAME_DOCUMENT, decode, version};

struct bg_config_source *
bg_contracts_source(void)
{
	return &source;
}

/* A step that is being written to the store. */
struct pending_step {
	char service[BG_NAME_BYTES];
	struct bg_move from;
	struct bg_move to;
	void (*done)(void *arg, int code);
	void *arg;
};

/* Applies the step unless the move is no longer the one that the step was
 * computed from. */
static int
apply_step(void *arg, struct bg_head *head, struct bg_error *err)
{
	const struct pending_step *pending = arg;
	const struct bg_head_service *svc =
	    bg_head_find(head, pending->service);

	if (svc == NULL || svc->move.generation != pending->from.generation ||
	    svc->move.state != pending->from.state ||
	    svc->move.step != pending->from.step)
		return bg_error_set(err, BG_ECONFLICT, "move", NULL,
		    "the move changed before the step was written");
	return bg_change_move_state(
	    head, pending->service, &pending->to, bg_clock_wall_ms(), err);
}

static void
on_step_written(void *arg, int code, uint64_t version_number)
{
	struct pending_step pending = *(struct pending_step *)arg;

	free(arg);
	pending.done(pending.arg, code);
}

static int
write_step(struct bg_move_writer *writer, const char *service,
    const struct bg_move *from, const struct bg_move *to,
    void (*done)(void *arg, int code), void *arg)
{
	struct bg_contracts_writer *wtr = (struct bg_contracts_writer *)writer;
	struct pending_step *pending = calloc(1, sizeof(*pending));
	int error;

	if (pending == NULL)
		return BG_ENOMEM;
	snprintf(pending->service, sizeof(pending->service), "%s", service);
	pending->from = *from;
	pending->to = *to;
	pending->done = done;
	pending->arg = arg;
	error = bg_change_start(
	    wtr->store, wtr->name, apply_step, on_step_written, pending);
	if (error != 0)
		free(pending);
	return error;
}

void
bg_contracts_writer_init(
    struct bg_contracts_writer *out, struct bg_store *store, const char *name)
{
	out->writer.write = write_step;
	out->store = store;
	out->name = name;
}

void
bg_contracts_update_moves(struct bg_moves *mvs, const struct bg_snapshot *snap)
{
	const struct bg_service *svc;
	struct bg_move_policy policy;
	size_t i;

	for (i = 0; i < snap->service_count; i++) {
		svc = &snap->services[i];
		memset(&policy, 0, sizeof(policy));
		policy.take_over_ms = svc->contract.take_over_ms;
		policy.soak_ms = svc->contract.soak_ms;
		policy.first_share_permille = BG_MOVE_FIRST_SHARE_PERMILLE;
		policy.max_error_permille = svc->contract.max_error_permille;
		policy.is_auto_start = svc->contract.move_auto_start;
		bg_moves_set(mvs, svc->head.name, &svc->head.move, &policy);
	}
}
