#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/change.h"
#include "burdockgrade/document.h"
#include "burdockgrade/log.h"

#include "update.h"

/* Attempts to write one update. Each one follows a read that shows the document
 * unchanged. */
#define WRITE_ATTEMPTS_MAX 4

struct async_change {
	struct bg_store *store;
	bg_change_decide_fn decide;
	bg_change_done_fn done;
	void *arg;
	char writer[BG_NAME_BYTES];
	char nonce[BG_NONCE_BYTES];
	uint64_t base_revision;
	uint64_t version; /* of the head with the update */
	json_t *document;
	int write_count;
	int is_outcome_unknown; /* of a write so far */
};

static void
finish(struct async_change *chg, int code, uint64_t version)
{
	bg_change_done_fn done = chg->done;
	void *arg = chg->arg;

	json_decref(chg->document);
	free(chg);
	/* The client was freed, and arg may have been freed with it. */
	if (code != BG_ECANCELED)
		done(arg, code, code == 0 ? version : 0);
}

static void on_written(void *arg, const struct bg_store_response *response);

static void
write_document(struct async_change *chg)
{
	struct bg_store_change change = {0};
	int error;

	if (chg->write_count++ == WRITE_ATTEMPTS_MAX) {
		finish(chg, BG_ETIMEOUT, 0);
		return;
	}
	change.action = BG_STORE_REPLACE;
	change.kind = BG_KIND_CONFIG;
	change.name = BG_NAME_DOCUMENT;
	change.expected_revision = chg->base_revision;
	change.value = chg->document;
	error = bg_store_write(chg->store, &change, on_written, chg);
	if (error != 0)
		finish(chg, error, 0);
}

static int
read_document(struct async_change *chg, bg_store_fn fn)
{
	struct bg_store_query query = {0};

	query.kind = BG_KIND_CONFIG;
	query.name = BG_NAME_DOCUMENT;
	return bg_store_read(chg->store, &query, fn, chg);
}

/* Receives the document read back after a lost response. An unchanged document
 * does not prove that the write was lost: it may still take effect. The same
 * update is therefore written again on the same condition, so that only one of
 * the two writes can take effect. */
static void
on_read_back(void *arg, const struct bg_store_response *response)
{
	struct async_change *chg = arg;
	enum bg_update_state state;
	struct bg_head head;

	if (response->code != 0) {
		finish(chg, response->code, 0);
		return;
	}
	if (bg_document_head(&head, response->objects[0].spec, NULL) != 0) {
		finish(chg, BG_EPROTO, 0);
		return;
	}
	state = bg_update_state(&head, response->objects[0].revision,
	    chg->base_revision, chg->writer, chg->nonce);
	bg_head_free(&head);
	if (state == BG_UPDATE_PENDING)
		write_document(chg);
	else
		finish(chg, state == BG_UPDATE_APPLIED ? 0 : BG_ECONFLICT,
		    chg->version);
}

static void
on_written(void *arg, const struct bg_store_response *response)
{
	struct async_change *chg = arg;
	int error;

	chg->is_outcome_unknown |= response->is_outcome_unknown;
	if (response->code == 0 || response->code == BG_ECANCELED ||
	    !chg->is_outcome_unknown) {
		finish(chg, response->code, chg->version);
		return;
	}
	bg_log_info("change",
	    "write outcome unknown, reading back writer=%s code=%s",
	    chg->writer, bg_error_name(response->code));
	if ((error = read_document(chg, on_read_back)) != 0)
		finish(chg, error, 0);
}

/* Computes the document to write. @return 0, or -1 if there is nothing to
 * write, with the reason in code */
static int
decide(struct async_change *chg, const json_t *document, int *code)
{
	struct bg_error err = {0};
	struct bg_head head;
	uint64_t base_version;

	if ((*code = bg_document_head(&head, document, &err)) != 0)
		return -1;
	base_version = head.version;
	chg->version = base_version;
	*code = chg->decide(chg->arg, &head, &err);
	if (*code == 0 && head.version != base_version) {
		bg_update_finalize(
		    &head, base_version, chg->writer, chg->nonce);
		chg->version = head.version;
		chg->document = bg_document_with_head(document, &head);
		if (chg->document == NULL)
			*code = BG_ENOMEM;
	}
	bg_head_free(&head);
	return chg->document == NULL ? -1 : 0;
}

static void
on_document(void *arg, const struct bg_store_response *response)
{
	struct async_change *chg = arg;
	int code = response->code;

	if (code != 0) {
		finish(chg, code, 0);
		return;
	}
	chg->base_revision = response->objects[0].revision;
	if (decide(chg, response->objects[0].spec, &code) == 0)
		write_document(chg);
	else
		finish(chg, code, chg->version);
}

int
bg_change_start(struct bg_store *store, const char *writer,
    bg_change_decide_fn decide_fn, bg_change_done_fn done, void *arg)
{
	struct async_change *chg = calloc(1, sizeof(*chg));
	int error;

	if (chg == NULL)
		return BG_ENOMEM;
	chg->store = store;
	chg->decide = decide_fn;
	chg->done = done;
	chg->arg = arg;
	snprintf(chg->writer, sizeof(chg->writer), "%s", writer);
	bg_update_nonce(chg->nonce);
	if ((error = read_document(chg, on_document)) != 0)
		free(chg);
	return error;
}
