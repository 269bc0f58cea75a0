/* Fuzzes the decoders of contracts, heads and documents. */

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/document.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* A decoded contract must be unchanged by encoding and decoding. */
static void
check_contract(const struct bg_contract *ctr)
{
	struct bg_contract copy;
	char *json;

	if (bg_contract_encode(&json, ctr) != 0 ||
	    bg_contract_decode(&copy, json, strlen(json), NULL) != 0 ||
	    memcmp(&copy, ctr, sizeof(copy)) != 0)
		abort();
	free(json);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct bg_snapshot *snap;
	struct bg_contract ctr;
	struct bg_error err;
	struct bg_head head;
	json_t *doc;

	if (bg_contract_decode(&ctr, (const char *)data, size, &err) == 0) {
		check_contract(&ctr);
		bg_contract_validate(&ctr, &err);
	}
	if (bg_head_decode(&head, (const char *)data, size, &err) == 0)
		bg_head_free(&head);
	doc = json_loadb((const char *)data, size, 0, NULL);
	if (bg_document_snapshot(&snap, doc, &err) == 0)
		bg_snapshot_release(snap);
	json_decref(doc);
	return 0;
}
