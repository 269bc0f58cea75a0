#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/change.h"
#include "burdockgrade/document.h"

#include "accepted.h"

int
bg_cli_accepted_read(struct bg_cli_accepted *out,
    const struct bg_store_factory *factory, struct bg_error *err)
{
	uint64_t revision;
	json_t *document;
	int error;

	memset(out, 0, sizeof(*out));
	if ((error = bg_read_document(&document, &revision, factory, err)) != 0)
		return error;
	/* There is no document before the first accept. */
	if (document == NULL)
		return 0;
	if ((error = bg_document_head(&out->head, document, err)) == 0)
		error = bg_document_contracts(
		    &out->contracts, document, &out->head, err);
	json_decref(document);
	if (error != 0)
		bg_cli_accepted_free(out);
	return error;
}

void
bg_cli_accepted_free(struct bg_cli_accepted *acc)
{
	bg_head_free(&acc->head);
	free(acc->contracts);
	acc->contracts = NULL;
}

const struct bg_contract *
bg_cli_accepted_find(const struct bg_cli_accepted *acc, const char *service)
{
	const struct bg_head_service *svc = bg_head_find(&acc->head, service);

	return svc == NULL ? NULL : &acc->contracts[svc - acc->head.services];
}

int
bg_cli_questionnaires_read(struct bg_cli_questionnaires *out, char **out_report,
    const struct bg_cli *cli, struct bg_error *err)
{
	struct bg_error first_error = {0};
	size_t report_bytes;
	char *report;
	FILE *fp;
	size_t i;
	int error;

	*out_report = NULL;
	memset(out, 0, sizeof(*out));
	out->items = calloc(cli->arg_count, sizeof(*out->items));
	fp = open_memstream(out_report, &report_bytes);
	if (out->items == NULL || fp == NULL) {
		bg_error_set(
		    &first_error, BG_ENOMEM, "read", NULL, "out of memory");
		goto done;
	}
	for (i = 0; i < cli->arg_count; i++) {
		error = bg_questionnaire_load(
		    &out->items[i], &report, cli->args[i], err);
		out->count++;
		if (report != NULL)
			fputs(report, fp);
		free(report);
		if (error != 0 && first_error.code == 0)
			first_error = *err;
		/* An unreadable path is invalid input (exit code 2). */
		if (first_error.code == BG_EIO)
			first_error.code = BG_EINVAL;
	}
done:
	if (fp != NULL)
		fclose(fp);
	if (first_error.code == 0 ||
	    (*out_report != NULL && **out_report == '\0')) {
		free(*out_report);
		*out_report = NULL;
	}
	*err = first_error;
	return first_error.code;
}

void
bg_cli_questionnaires_free(struct bg_cli_questionnaires *qns)
{
	free(qns->items);
	memset(qns, 0, sizeof(*qns));
}
