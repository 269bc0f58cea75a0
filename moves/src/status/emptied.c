#include <string.h>

#include "burdockgrade/clock.h"

#include "emptied.h"

/* Latest poll of a data centre, or NULL if none of its nodes responded to it:
 * what runs there is unknown then. */
static const struct bg_state_summary *
find_summary(const struct bg_status_input *in, const char *data_centre)
{
	size_t i;

	for (i = 0; i < in->summary_count; i++) {
		if (in->summaries[i].member_count > 0 &&
		    strcmp(in->summaries[i].data_centre, data_centre) == 0)
			return &in->summaries[i];
	}
	return NULL;
}

static void
print_one(FILE *fp, const struct bg_emptied *report,
    const struct bg_state_summary *sum)
{
	char since[BG_RFC3339_BYTES];

	bg_clock_format(since, report->since_ms);
	fprintf(fp, "# emptied data_centre=%s since=%s ", report->data_centre,
	    since);
	if (sum == NULL)
		fputs("running=unknown nodes=0\n", fp);
	else
		fprintf(fp, "running=%u nodes=%u\n", sum->running_calls,
		    sum->member_count);
}

void
bg_status_print_emptied(FILE *fp, const struct bg_status_input *in)
{
	const struct bg_emptied *report;
	size_t i;

	for (i = 0; in->emptied != NULL && i < in->emptied->count; i++) {
		report = &in->emptied->reports[i];
		if (report->is_emptied)
			print_one(
			    fp, report, find_summary(in, report->data_centre));
	}
}

static json_t *
one_json(const struct bg_emptied *report, const struct bg_state_summary *sum)
{
	return json_pack("{s:s,s:I,s:o,s:i}", "data_centre",
	    report->data_centre, "since_ms", (json_int_t)report->since_ms,
	    "running",
	    sum == NULL ? json_null() : json_integer(sum->running_calls),
	    "nodes", sum == NULL ? 0 : (int)sum->member_count);
}

json_t *
bg_status_emptied_json(const struct bg_status_input *in)
{
	const struct bg_emptied *report;
	json_t *out = json_array();
	size_t i;

	for (i = 0; in->emptied != NULL && i < in->emptied->count; i++) {
		report = &in->emptied->reports[i];
		if (report->is_emptied)
			json_array_append_new(out,
			    one_json(
				report, find_summary(in, report->data_centre)));
	}
	return out;
}
