#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/log.h"

#include "operation.h"

/* Attempts to store a revision when other operators store revisions of the same
 * service. */
#define STORE_ATTEMPTS_MAX 8

static void
revision_name(char out[BG_STORE_NAME_BYTES], const char *service, uint64_t rev)
{
	snprintf(out, BG_STORE_NAME_BYTES, "%s.%" PRIu64, service, rev);
}

static int
compare_revisions(const void *a, const void *b)
{
	const struct bg_revision *x = a;
	const struct bg_revision *y = b;

	return (x->rev > y->rev) - (x->rev < y->rev);
}

/* The revisions of one service among all contracts in the store. */
struct revision_list {
	const char *service;
	struct bg_revision *revs;
	size_t count;
	int error;
};

static void
add_revision(void *arg, const struct bg_store_object *obj)
{
	struct revision_list *list = arg;
	size_t bytes = strlen(list->service);
	struct bg_revision *grown;
	const char *text;
	char *end;
	uint64_t rev;

	if (strncmp(obj->name, list->service, bytes) != 0 ||
	    obj->name[bytes] != '.')
		return;
	text = obj->name + bytes + 1;
	if (text[0] < '1' || text[0] > '9')
		return;
	rev = strtoull(text, &end, 10);
	if (*end != '\0')
		return;
	grown = realloc(list->revs, (list->count + 1) * sizeof(*grown));
	if (grown == NULL) {
		list->error = BG_ENOMEM;
		return;
	}
	list->revs = grown;
	grown[list->count].rev = rev;
	grown[list->count].object_revision = obj->revision;
	list->count++;
}

int
bg_revisions_list(struct bg_revision **out, size_t *out_count,
    struct bg_operation *op, const char *service, struct bg_error *err)
{
	struct revision_list list = {service, NULL, 0, 0};
	int error;

	*out = NULL;
	*out_count = 0;
	error = bg_session_foreach(
	    &op->session, BG_KIND_CONTRACTS, add_revision, &list, err);
	if (error == 0)
		error = list.error;
	if (error != 0) {
		free(list.revs);
		return error;
	}
	if (list.count > 0)
		qsort(list.revs, list.count, sizeof(*list.revs),
		    compare_revisions);
	*out = list.revs;
	*out_count = list.count;
	return 0;
}

static int
is_stored(struct bg_operation *op, const char *name, json_t *spec)
{
	struct bg_session_response response;
	int is_same;

	is_same = bg_operation_get(
		      &response, op, BG_KIND_CONTRACTS, name, NULL) == 0 &&
	    json_equal(response.spec, spec);
	bg_session_response_free(&response);
	return is_same;
}

/* Creates the object of a revision; takes the next number if *rev is in use.
 * Revisions are immutable, so an existing object with the same content is used,
 * whether an earlier write took effect or another operator stored it. */
static int
store_spec(uint64_t *rev, struct bg_operation *op, const char *service,
    json_t *spec, struct bg_error *err)
{
	struct bg_session_response response;
	char name[BG_STORE_NAME_BYTES];
	int error = BG_ECONFLICT;
	int is_unknown;
	int i;

	for (i = 0; i < STORE_ATTEMPTS_MAX; i++) {
		revision_name(name, service, *rev);
		error = bg_session_put(&response, &op->session,
		    BG_KIND_CONTRACTS, name, 0, spec, err);
		is_unknown = response.is_outcome_unknown;
		bg_session_response_free(&response);
		if (error == 0)
			return 0;
		if (error != BG_ECONFLICT && !is_unknown)
			return error;
		if (is_stored(op, name, spec))
			return 0;
		if (error == BG_ECONFLICT)
			(*rev)++;
	}
	return error;
}

int
bg_revision_store(uint64_t *out, struct bg_operation *op,
    const struct bg_contract *ctr, struct bg_error *err)
{
	const struct bg_head_service *svc =
	    bg_head_find(&op->base_head, ctr->name);
	struct bg_revision *revs = NULL;
	json_t *spec = bg_contract_to_json(ctr);
	size_t count;
	int error = BG_EINVAL;

	if (spec == NULL ||
	    (error = bg_revisions_list(&revs, &count, op, ctr->name, err)) != 0)
		goto done;
	*out = svc == NULL ? 1 : svc->rev + 1;
	if (count > 0 && revs[count - 1].rev >= *out)
		*out = revs[count - 1].rev + 1;
	error = store_spec(out, op, ctr->name, spec, err);
done:
	free(revs);
	json_decref(spec);
	return error;
}

int
bg_revision_load(struct bg_contract *out, struct bg_operation *op,
    const char *service, uint64_t rev, struct bg_error *err)
{
	struct bg_session_response response;
	char name[BG_STORE_NAME_BYTES];
	int error;

	revision_name(name, service, rev);
	error = bg_operation_get(&response, op, BG_KIND_CONTRACTS, name, err);
	if (error == 0)
		error = bg_contract_from_json(out, response.spec, err);
	if (error == 0 && strcmp(out->name, service) != 0)
		error = bg_error_set(err, BG_EPROTO, "read", op->session.peer,
		    "%s: contains the contract of another service", name);
	bg_session_response_free(&response);
	return error;
}

int
bg_revision_previous(uint64_t *out, struct bg_operation *op,
    const char *service, uint64_t rev, struct bg_error *err)
{
	uint64_t known = bg_history_previous(&op->history, service, rev);
	struct bg_revision *revs;
	size_t count;
	size_t i;
	int error;

	error = bg_revisions_list(&revs, &count, op, service, err);
	if (error != 0)
		return error;
	*out = 0;
	for (i = 0; i < count && revs[i].rev < rev; i++) {
		*out = revs[i].rev;
		if (revs[i].rev == known)
			break;
	}
	free(revs);
	if (*out == 0)
		return bg_error_set(err, BG_ENOTFOUND, "withdraw", NULL,
		    "service %s: no earlier revision is stored", service);
	return 0;
}

int
bg_revision_is_garbage(const struct bg_revision *revs, size_t count,
    size_t index, uint64_t previous, uint64_t present)
{
	size_t newer = 0;
	size_t i;

	if (revs[index].rev >= present)
		return 0;
	if (revs[index].rev > previous)
		return 1;
	for (i = index + 1; i < count; i++)
		newer += revs[i].rev <= previous || revs[i].rev == present;
	return newer >= BG_REVISIONS_KEPT;
}

void
bg_revisions_collect_garbage(struct bg_operation *op, const char *service,
    uint64_t previous, uint64_t present)
{
	struct bg_revision *revs;
	char name[BG_STORE_NAME_BYTES];
	size_t count;
	size_t i;

	if (bg_revisions_list(&revs, &count, op, service, NULL) != 0)
		return;
	for (i = 0; i < count; i++) {
		if (!bg_revision_is_garbage(revs, count, i, previous, present))
			continue;
		revision_name(name, service, revs[i].rev);
		bg_session_delete(&op->session, BG_KIND_CONTRACTS, name,
		    revs[i].object_revision, NULL);
	}
	free(revs);
}
