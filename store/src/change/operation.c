#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/document.h"
#include "burdockgrade/log.h"

#include "operation.h"
#include "update.h"

/* Attempts of an operation when changes of other services conflict with it. */
#define ATTEMPTS_MAX 8
/* Attempts of a call that fails with BG_ELIMIT, or of a read that fails with
 * BG_EIO. */
#define CALL_ATTEMPTS_MAX 4
/* Time to find out whether an update took effect. After it, the operator is
 * told that the outcome is unknown. */
#define RESOLVE_TIMEOUT_MS 10000

int
bg_operation_get(struct bg_session_response *out, struct bg_operation *op,
    const char *kind, const char *name, struct bg_error *err)
{
	struct bg_backoff backoff = BG_BACKOFF_INIT;
	struct bg_rand rnd;
	int error;
	int i;

	bg_rand_init(&rnd, 0);
	for (i = 0;; i++) {
		error = bg_session_get(out, &op->session, kind, name, err);
		if ((error != BG_ELIMIT && error != BG_EIO) ||
		    i + 1 == CALL_ATTEMPTS_MAX)
			return error;
		bg_session_response_free(out);
		bg_session_sleep(
		    &op->session, bg_backoff_next_ms(&backoff, &rnd));
	}
}

/* Reads the document in force and its head. Without a document the head is
 * empty and out_document NULL. The caller owns the reference in out_document.
 */
static int
read_head(struct bg_head *out, json_t **out_document, uint64_t *out_revision,
    struct bg_operation *op, struct bg_error *err)
{
	struct bg_session_response response;
	int error;

	bg_head_init(out);
	*out_document = NULL;
	*out_revision = 0;
	error = bg_operation_get(
	    &response, op, BG_KIND_CONFIG, BG_NAME_DOCUMENT, err);
	if (error == 0) {
		*out_revision = response.revision;
		error = bg_document_head(out, response.spec, err);
	}
	if (error == 0)
		*out_document = json_incref(response.spec);
	bg_session_response_free(&response);
	return error == BG_ENOTFOUND ? 0 : error;
}

/* 1 if all contracts of an accept are in force already. */
static int
is_in_force(const struct bg_operation *op)
{
	const struct bg_head_service *svc;
	uint64_t digest;
	size_t i;

	for (i = 0; i < op->contract_count; i++) {
		svc = bg_head_find(&op->base_head, op->contracts[i].name);
		if (svc == NULL || svc->is_withdrawn ||
		    bg_contract_digest(&digest, &op->contracts[i]) != 0 ||
		    digest != svc->digest)
			return 0;
	}
	return op->contract_count > 0;
}

static int
decide_accept(struct bg_operation *op, struct bg_error *err)
{
	size_t i;
	int error = 0;

	for (i = 0; i < op->contract_count && error == 0; i++) {
		error = bg_contract_validate(&op->contracts[i], err);
		if (error == 0)
			error = bg_revision_store(
			    &op->revs[i], op, &op->contracts[i], err);
		if (error == 0)
			error =
			    bg_change_accept(&op->next_head, &op->contracts[i],
				op->revs[i], op->now_wall_ms, err);
	}
	return error;
}

static int
decide_withdraw(struct bg_operation *op, struct bg_error *err)
{
	const struct bg_head_service *svc =
	    bg_head_find(&op->base_head, op->service);
	int error;

	if (svc == NULL)
		return bg_error_set(err, BG_ENOTFOUND, "withdraw", NULL,
		    "service %s: not accepted yet", op->service);
	error =
	    bg_revision_previous(&op->revs[0], op, op->service, svc->rev, err);
	if (error == 0)
		error = bg_revision_load(
		    &op->earlier_contract, op, op->service, op->revs[0], err);
	if (error == 0)
		error = bg_change_withdraw(&op->next_head,
		    &op->earlier_contract, op->revs[0], op->now_wall_ms, err);
	return error;
}

static int
decide(struct bg_operation *op, struct bg_error *err)
{
	if (op->to != NULL)
		return bg_change_move(&op->next_head, op->service, op->to,
		    op->take_over_ms, op->now_wall_ms, err);
	if (op->service != NULL)
		return decide_withdraw(op, err);
	return decide_accept(op, err);
}

/* Gets the contract that a service has after the update. */
static int
load_contract(struct bg_contract *out, struct bg_operation *op,
    const struct bg_head_service *svc, struct bg_error *err)
{
	size_t i;

	for (i = 0; i < op->contract_count; i++) {
		if (strcmp(op->contracts[i].name, svc->name) == 0) {
			*out = op->contracts[i];
			return 0;
		}
	}
	if (op->service != NULL && strcmp(op->service, svc->name) == 0) {
		*out = op->earlier_contract;
		return 0;
	}
	return bg_revision_load(out, op, svc->name, svc->rev, err);
}

/* Gets the contracts that all services have after the update. The caller frees
 * the array, also after an error. */
static int
load_contracts(
    struct bg_contract **out, struct bg_operation *op, struct bg_error *err)
{
	size_t i;
	int error = 0;

	*out = calloc(op->next_head.service_count + 1, sizeof(**out));
	if (*out == NULL)
		return bg_error_set(
		    err, BG_ENOMEM, "validate", NULL, "out of memory");
	for (i = 0; i < op->next_head.service_count && error == 0; i++)
		error = load_contract(
		    &(*out)[i], op, &op->next_head.services[i], err);
	return error;
}

/* Builds the document that every node will read, and validates it as a node
 * does, so that no configuration is published that nodes would reject. */
static int
build_document(json_t **out, struct bg_operation *op, struct bg_error *err)
{
	struct bg_contract *contracts;
	struct bg_snapshot *snap;
	int error;

	*out = NULL;
	if (op->to != NULL && op->base_document != NULL) {
		/* A move changes only the head. */
		*out = bg_document_with_head(op->base_document, &op->next_head);
		return *out == NULL ? BG_ENOMEM : 0;
	}
	error = load_contracts(&contracts, op, err);
	if (error == 0 &&
	    (*out = bg_document_build(&op->next_head, contracts)) == NULL)
		error = bg_error_set(err, BG_EINVAL, "write", NULL,
		    "cannot encode the configuration");
	free(contracts);
	if (error == 0 && (error = bg_document_snapshot(&snap, *out, err)) == 0)
		bg_snapshot_release(snap);
	return error;
}

int
bg_operation_has_effect(
    const struct bg_operation *op, const struct bg_head *head)
{
	const struct bg_head_service *svc;
	size_t i;

	if (op->service != NULL) {
		if ((svc = bg_head_find(head, op->service)) == NULL)
			return 0;
		if (op->to != NULL)
			return svc->move.started_ms == op->now_wall_ms &&
			    strcmp(svc->move.to, op->to) == 0;
		return svc->is_withdrawn && svc->rev == op->revs[0];
	}
	for (i = 0; i < op->contract_count; i++) {
		svc = bg_head_find(head, op->contracts[i].name);
		if (svc == NULL || svc->rev != op->revs[i])
			return 0;
	}
	return 1;
}

/* Reads the head back to find out whether a write took effect. A later update
 * by another writer replaces writer and nonce, but not the effect of the write.
 */
static int
resolve_write(
    enum bg_update_state *out, struct bg_operation *op, struct bg_error *err)
{
	struct bg_head head;
	json_t *document;
	uint64_t revision;
	int error;

	error = read_head(&head, &document, &revision, op, err);
	json_decref(document);
	if (error != 0)
		return error;
	*out = bg_update_state(
	    &head, revision, op->base_revision, op->operator_name, op->nonce);
	if (*out == BG_UPDATE_SUPERSEDED && bg_operation_has_effect(op, &head))
		*out = BG_UPDATE_APPLIED;
	bg_head_free(&head);
	return 0;
}

/* Writes the document and resolves a lost response by reading the head back.
 * While the document is unchanged, it is written again on the same condition,
 * so that at most one of the writes takes effect. */
static int
write_until_resolved(
    struct bg_operation *op, json_t *document, struct bg_error *err)
{
	struct bg_backoff backoff = BG_BACKOFF_INIT;
	struct bg_session_response response;
	uint64_t deadline_ms = bg_clock_now_ms() + RESOLVE_TIMEOUT_MS;
	enum bg_update_state state;
	struct bg_rand rnd;
	int is_outcome_unknown = 0;
	int limit_errors = 0;
	int error;

	bg_rand_init(&rnd, 0);
	for (;;) {
		error = bg_session_put(&response, &op->session, BG_KIND_CONFIG,
		    BG_NAME_DOCUMENT, op->base_revision, document, err);
		is_outcome_unknown |= response.is_outcome_unknown;
		bg_session_response_free(&response);
		if (error == BG_ELIMIT && ++limit_errors < CALL_ATTEMPTS_MAX) {
			bg_session_sleep(
			    &op->session, bg_backoff_next_ms(&backoff, &rnd));
			continue;
		}
		if (error == 0 || !is_outcome_unknown)
			return error;
		state = BG_UPDATE_PENDING;
		while ((error = resolve_write(&state, op, err)) != 0 &&
		    bg_clock_now_ms() < deadline_ms)
			bg_session_sleep(
			    &op->session, bg_backoff_next_ms(&backoff, &rnd));
		if (error == 0 && state == BG_UPDATE_APPLIED)
			return 0;
		if (error == 0 && state == BG_UPDATE_SUPERSEDED)
			return bg_error_set(err, BG_ECONFLICT, "write",
			    op->session.peer,
			    "another operator changed the configuration");
		if (bg_clock_now_ms() >= deadline_ms)
			return bg_error_set(err, BG_ETIMEOUT, "write",
			    op->session.peer,
			    "no response: the update may have taken effect");
	}
}

static int
write_document(struct bg_operation *op, struct bg_error *err)
{
	json_t *document;
	int error;

	if ((error = build_document(&document, op, err)) == 0) {
		error = write_until_resolved(op, document, err);
		op->has_conflict = error == BG_ECONFLICT;
	}
	json_decref(document);
	if (op->has_conflict)
		bg_error_set(err, error, "write", op->session.peer,
		    "another operator changed the configuration");
	return error;
}

static void
reset_attempt(struct bg_operation *op)
{
	json_decref(op->base_document);
	op->base_document = NULL;
	bg_head_free(&op->base_head);
	bg_head_free(&op->next_head);
	bg_history_free(&op->history);
}

/* Hash of the revisions and move generations of the services concerned. A
 * change of one of these services by another operator changes it. */
static uint64_t
services_fingerprint(const struct bg_operation *op)
{
	const struct bg_head_service *svc;
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < op->contract_count; i++) {
		svc = bg_head_find(&op->base_head, op->contracts[i].name);
		sum = sum * 31 + (svc == NULL ? 0 : svc->rev);
	}
	if (op->service != NULL &&
	    (svc = bg_head_find(&op->base_head, op->service)) != NULL)
		sum = svc->rev * 31 + svc->move.generation;
	return sum;
}

/* @return 0, or BG_ECONFLICT if the operation would overwrite a change that the
 * operator has not seen */
static int
check_base(struct bg_operation *op, int attempt, struct bg_error *err)
{
	if (op->expected_version != 0 &&
	    op->base_head.version != op->expected_version)
		return bg_error_set(err, BG_ECONFLICT, "read", op->session.peer,
		    "planned against version %" PRIu64 ", but version %" PRIu64
		    " is in force",
		    op->expected_version, op->base_head.version);
	if (attempt == 0)
		op->initial_fingerprint = services_fingerprint(op);
	else if (services_fingerprint(op) != op->initial_fingerprint)
		return bg_error_set(err, BG_ECONFLICT, "read", op->session.peer,
		    "another operator changed the service");
	return 0;
}

/* One attempt: read, decide, validate, write. */
static int
run_attempt(struct bg_operation *op, int attempt, struct bg_error *err)
{
	int error;

	reset_attempt(op);
	op->has_conflict = 0;
	error = read_head(
	    &op->base_head, &op->base_document, &op->base_revision, op, err);
	if (error != 0)
		return error;
	if ((op->is_unchanged = is_in_force(op)))
		return 0;
	if ((error = check_base(op, attempt, err)) != 0 ||
	    (error = bg_operation_read_history(op, err)) != 0 ||
	    (error = bg_head_copy(&op->next_head, &op->base_head)) != 0 ||
	    (error = decide(op, err)) != 0)
		return error;
	bg_update_finalize(&op->next_head, op->base_head.version,
	    op->operator_name, op->nonce);
	return write_document(op, err);
}

static void
collect_garbage(struct bg_operation *op)
{
	const struct bg_head_service *svc;
	size_t i;

	for (i = 0; i < op->contract_count; i++) {
		svc = bg_head_find(&op->base_head, op->contracts[i].name);
		bg_revisions_collect_garbage(op, op->contracts[i].name,
		    svc == NULL ? 0 : svc->rev, op->revs[i]);
	}
}

static int
run_attempts(
    uint64_t *out_version, struct bg_operation *op, struct bg_error *err)
{
	int error;
	int i = 0;

	do
		error = run_attempt(op, i, err);
	while (op->has_conflict && ++i < ATTEMPTS_MAX);
	if (error != 0)
		return error;
	*out_version =
	    op->is_unchanged ? op->base_head.version : op->next_head.version;
	if (!op->is_unchanged) {
		bg_operation_write_history(op);
		collect_garbage(op);
	}
	return 0;
}

static int
run_operation(uint64_t *out_version, struct bg_operation *op,
    const struct bg_store_factory *factory, const char *operator_name,
    struct bg_error *err)
{
	int error;

	if (operator_name == NULL || operator_name[0] == '\0')
		return bg_error_set(
		    err, BG_EINVAL, "change", NULL, "operator name is missing");
	snprintf(
	    op->operator_name, sizeof(op->operator_name), "%s", operator_name);
	bg_update_nonce(op->nonce);
	op->now_wall_ms = bg_clock_wall_ms();
	if ((error = bg_session_init(&op->session, factory, err)) != 0)
		return error;
	error = run_attempts(out_version, op, err);
	reset_attempt(op);
	bg_session_free(&op->session);
	return error;
}

static int
check_contracts(const struct bg_contract *contracts, size_t contract_count,
    struct bg_error *err)
{
	size_t i;
	size_t j;

	if (contract_count == 0 || contract_count > BG_ACCEPT_MAX)
		return bg_error_set(err, BG_EINVAL, "accept", NULL,
		    "expected 1 to %d services", BG_ACCEPT_MAX);
	for (i = 0; i < contract_count; i++) {
		for (j = 0; j < i; j++) {
			if (strcmp(contracts[i].name, contracts[j].name) == 0)
				return bg_error_set(err, BG_EINVAL, "accept",
				    NULL, "service %s: given more than once",
				    contracts[i].name);
		}
	}
	return 0;
}

int
bg_operation_accept(uint64_t *out_version,
    const struct bg_store_factory *factory, const struct bg_contract *contracts,
    size_t contract_count, uint64_t expected_version, const char *operator_name,
    struct bg_error *err)
{
	struct bg_operation *op;
	int error = check_contracts(contracts, contract_count, err);

	if (error != 0)
		return error;
	if ((op = calloc(1, sizeof(*op))) == NULL)
		return BG_ENOMEM;
	op->contracts = contracts;
	op->contract_count = contract_count;
	op->expected_version = expected_version;
	error = run_operation(out_version, op, factory, operator_name, err);
	free(op);
	return error;
}

int
bg_operation_withdraw(uint64_t *out_version,
    const struct bg_store_factory *factory, const char *service,
    uint64_t expected_version, const char *operator_name, struct bg_error *err)
{
	struct bg_operation *op = calloc(1, sizeof(*op));
	int error;

	if (op == NULL)
		return BG_ENOMEM;
	op->service = service;
	op->expected_version = expected_version;
	error = run_operation(out_version, op, factory, operator_name, err);
	free(op);
	return error;
}

int
bg_operation_move(uint64_t *out_version, const struct bg_store_factory *factory,
    const char *service, const char *to, uint32_t take_over_ms,
    const char *operator_name, struct bg_error *err)
{
	struct bg_operation *op = calloc(1, sizeof(*op));
	int error;

	if (op == NULL)
		return BG_ENOMEM;
	op->service = service;
	op->to = to;
	op->take_over_ms = take_over_ms;
	error = run_operation(out_version, op, factory, operator_name, err);
	free(op);
	return error;
}
