#include <stdlib.h>
#include <string.h>

#include "burdockgrade/document.h"

static const char FIELD_HEAD[] = "head";
static const char FIELD_CONTRACTS[] = "contracts";

json_t *
bg_document_build(
    const struct bg_head *head, const struct bg_contract *contracts)
{
	json_t *contracts_json = json_object();
	size_t i;

	for (i = 0; i < head->service_count; i++) {
		if (json_object_set_new(contracts_json, head->services[i].name,
			bg_contract_to_json(&contracts[i])) != 0) {
			json_decref(contracts_json);
			return NULL;
		}
	}
	return json_pack("{s:o, s:o}", FIELD_HEAD, bg_head_to_json(head),
	    FIELD_CONTRACTS, contracts_json);
}

json_t *
bg_document_with_head(const json_t *doc, const struct bg_head *head)
{
	json_t *contracts = json_object_get(doc, FIELD_CONTRACTS);

	return json_pack("{s:o, s:O}", FIELD_HEAD, bg_head_to_json(head),
	    FIELD_CONTRACTS, contracts);
}

int
bg_document_head(struct bg_head *out, const json_t *doc, struct bg_error *err)
{
	const json_t *head = json_object_get(doc, FIELD_HEAD);

	return bg_head_from_json(out, head, err);
}

static int
read_contract(struct bg_contract *out, const json_t *contracts,
    const char *service, struct bg_error *err)
{
	const json_t *value = json_object_get(contracts, service);

	if (value == NULL)
		return bg_error_set(err, BG_EPROTO, "decode", NULL,
		    "document: service %s: expected a contract", service);
	return bg_contract_from_json(out, value, err);
}

int
bg_document_contracts(struct bg_contract **out, const json_t *doc,
    const struct bg_head *head, struct bg_error *err)
{
	const json_t *contracts = json_object_get(doc, FIELD_CONTRACTS);
	size_t i;
	int error = 0;

	*out = calloc(head->service_count + 1, sizeof(**out));
	if (*out == NULL)
		return bg_error_set(
		    err, BG_ENOMEM, "decode", NULL, "document: out of memory");
	for (i = 0; i < head->service_count && error == 0; i++)
		error = read_contract(
		    &(*out)[i], contracts, head->services[i].name, err);
	if (error != 0) {
		free(*out);
		*out = NULL;
	}
	return error;
}

static int
build_snapshot(struct bg_snapshot **out, const struct bg_head *head,
    const struct bg_contract *contracts, struct bg_error *err)
{
	struct bg_service *services =
	    calloc(head->service_count + 1, sizeof(*services));
	size_t i;
	int error;

	if (services == NULL)
		return bg_error_set(
		    err, BG_ENOMEM, "decode", NULL, "document: out of memory");
	for (i = 0; i < head->service_count; i++) {
		services[i].head = head->services[i];
		services[i].contract = contracts[i];
	}
	error = bg_snapshot_build(out, head->version, bg_head_digest(head),
	    services, head->service_count, err);
	free(services);
	return error;
}

int
bg_document_snapshot(
    struct bg_snapshot **out, const json_t *doc, struct bg_error *err)
{
	struct bg_contract *contracts;
	struct bg_head head;
	int error;

	*out = NULL;
	if ((error = bg_document_head(&head, doc, err)) != 0)
		return error;
	error = bg_document_contracts(&contracts, doc, &head, err);
	if (error == 0) {
		error = build_snapshot(out, &head, contracts, err);
		free(contracts);
	}
	bg_head_free(&head);
	return error;
}
