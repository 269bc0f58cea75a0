#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/change.h"

#include "state.h"

/* A revision that disappears between the reads of head and contract belongs to
 * a head that was replaced; the new one is read then. */
#define READS_MAX 3
#define KEY_BYTES 192

static int
read_head(struct bg_head *out, const struct bg_platform_options *opts,
    struct bg_error *err)
{
	struct bg_platform_answer answer = {0};
	int error;

	bg_head_init(out);
	error = bg_platform_get_wait(&answer, opts, BG_KEY_HEAD, err);
	if (error == 0)
		error =
		    bg_head_decode(out, answer.body, answer.body_bytes, err);
	bg_platform_answer_free(&answer);
	/* Nothing was accepted yet. */
	return error == BG_ENOTFOUND ? 0 : error;
}

static int
read_contract(struct bg_contract *out, const struct bg_head_service *svc,
    const struct bg_platform_options *opts, struct bg_error *err)
{
	struct bg_platform_answer answer = {0};
	char key[KEY_BYTES];
	int error;

	snprintf(key, sizeof(key), BG_KEY_SERVICE "%s/%" PRIu64, svc->name,
	    svc->rev);
	error = bg_platform_get_wait(&answer, opts, key, err);
	if (error == 0)
		error = bg_contract_decode(
		    out, answer.body, answer.body_bytes, err);
	bg_platform_answer_free(&answer);
	return error;
}

static int
read_once(struct bg_cli_state *out, const struct bg_platform_options *opts,
    struct bg_error *err)
{
	size_t i;
	int error;

	memset(out, 0, sizeof(*out));
	if ((error = read_head(&out->head, opts, err)) != 0)
		return error;
	out->contracts =
	    calloc(out->head.service_count + 1, sizeof(*out->contracts));
	if (out->contracts == NULL)
		return bg_error_set(
		    err, BG_ENOMEM, "read", NULL, "out of memory");
	for (i = 0; error == 0 && i < out->head.service_count; i++)
		error = read_contract(
		    &out->contracts[i], &out->head.services[i], opts, err);
	return error;
}

int
bg_cli_state_read(struct bg_cli_state *out,
    const struct bg_platform_options *opts, struct bg_error *err)
{
	int error = 0;
	int i;

	for (i = 0; i < READS_MAX; i++) {
		if ((error = read_once(out, opts, err)) == 0)
			return 0;
		bg_cli_state_free(out);
		if (error != BG_ENOTFOUND)
			return error;
	}
	return error;
}

void
bg_cli_state_free(struct bg_cli_state *state)
{
	bg_head_free(&state->head);
	free(state->contracts);
	state->contracts = NULL;
}

const struct bg_contract *
bg_cli_state_find(const struct bg_cli_state *state, const char *service)
{
	const struct bg_head_service *svc = bg_head_find(&state->head, service);

	return svc == NULL ? NULL
			   : &state->contracts[svc - state->head.services];
}

int
bg_cli_files_read(struct bg_cli_files *out, char **out_report,
    const struct bg_cli *cli, struct bg_error *err)
{
	struct bg_error first = {0};
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
		bg_error_set(&first, BG_ENOMEM, "read", NULL, "out of memory");
		goto done;
	}
	for (i = 0; i < cli->arg_count; i++) {
		error = bg_questionnaire_load(
		    &out->items[i], &report, cli->args[i], err);
		out->count++;
		if (report != NULL)
			fputs(report, fp);
		free(report);
		if (error != 0 && first.code == 0)
			first = *err;
		/* A wrong path is wrong input, not a failure. */
		if (first.code == BG_EIO)
			first.code = BG_EINVAL;
	}
done:
	if (fp != NULL)
		fclose(fp);
	if (first.code == 0 || (*out_report != NULL && **out_report == '\0')) {
		free(*out_report);
		*out_report = NULL;
	}
	*err = first;
	return first.code;
}

void
bg_cli_files_free(struct bg_cli_files *files)
{
	free(files->items);
	memset(files, 0, sizeof(*files));
}
