#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/log.h"

#include "operation.h"

/* Attempts to write the history when other writers change it. */
#define WRITE_ATTEMPTS_MAX 5

static int
read_history(struct bg_operation *op, struct bg_error *err)
{
	struct bg_session_response response;
	int error;

	bg_history_free(&op->history);
	op->history_revision = 0;
	error = bg_operation_get(
	    &response, op, BG_KIND_CONFIG, BG_NAME_HISTORY, err);
	if (error == 0) {
		op->history_revision = response.revision;
		/* An invalid history must not prevent changes. */
		if (bg_history_decode(&op->history, response.spec) != 0)
			bg_log_warn("change",
			    "invalid history replaced revision=%llu",
			    (unsigned long long)response.revision);
	}
	bg_session_response_free(&response);
	return error == BG_ENOTFOUND ? 0 : error;
}

static int
write_history(struct bg_operation *op)
{
	struct bg_session_response response;
	json_t *spec = bg_history_encode(&op->history);
	int error;

	if (spec == NULL)
		return BG_ENOMEM;
	error = bg_session_put(&response, &op->session, BG_KIND_CONFIG,
	    BG_NAME_HISTORY, op->history_revision, spec, NULL);
	if (error == 0)
		op->history_revision = response.revision;
	bg_session_response_free(&response);
	json_decref(spec);
	return error;
}

int
bg_operation_read_history(struct bg_operation *op, struct bg_error *err)
{
	int added;
	int error;
	int i;

	for (i = 0; i < WRITE_ATTEMPTS_MAX; i++) {
		if ((error = read_history(op, err)) != 0)
			return error;
		added = bg_history_repair(&op->history, &op->base_head);
		if (added <= 0)
			return added;
		bg_log_info("change",
		    "missing history entries added entries=%d", added);
		/* Stored before the next update, which may overwrite the head
		 * that the entries were derived from. */
		if ((error = write_history(op)) == 0)
			return 0;
	}
	return bg_error_set(err, error, "history", op->session.peer,
	    "cannot store missing entries of the history");
}

static void
fill_entry(struct bg_history_entry *out, const struct bg_operation *op,
    const char *service)
{
	memset(out, 0, sizeof(*out));
	out->version = op->next_head.version;
	out->time_ms = op->now_wall_ms;
	snprintf(out->service, sizeof(out->service), "%s", service);
	snprintf(out->operator_name, sizeof(out->operator_name), "%s",
	    op->operator_name);
}

static int
add_entries(struct bg_operation *op)
{
	struct bg_history_entry entry;
	size_t i;
	int error = 0;

	for (i = 0; i < op->contract_count && error == 0; i++) {
		fill_entry(&entry, op, op->contracts[i].name);
		snprintf(entry.action, sizeof(entry.action), "accept");
		entry.rev = op->revs[i];
		error = bg_history_add(&op->history, &entry);
	}
	if (op->service == NULL || error != 0)
		return error;
	fill_entry(&entry, op, op->service);
	snprintf(entry.action, sizeof(entry.action), "%s",
	    op->to == NULL ? "withdraw" : "move");
	if (op->to == NULL)
		entry.rev = op->revs[0];
	else
		snprintf(entry.to, sizeof(entry.to), "%s", op->to);
	return bg_history_add(&op->history, &entry);
}

static int
has_entries(const struct bg_operation *op)
{
	size_t i;

	for (i = 0; i < op->history.entry_count; i++) {
		if (op->history.entries[i].version == op->next_head.version)
			return 1;
	}
	return 0;
}

void
bg_operation_write_history(struct bg_operation *op)
{
	int error = BG_ECONFLICT;
	int i;

	/* Read again after a conflict or a lost response. An entry of this
	 * version belongs to this operation, even if another writer added it as
	 * a missing one. */
	for (i = 0; i < WRITE_ATTEMPTS_MAX && error != 0; i++) {
		if (i > 0 && read_history(op, NULL) != 0)
			break;
		if (has_entries(op))
			return;
		if (add_entries(op) != 0)
			break;
		error = write_history(op);
	}
	if (error != 0)
		bg_log_warn("change",
		    "history entry not written, left to the next writer "
		    "code=%s",
		    bg_error_name(error));
}
