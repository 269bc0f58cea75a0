#include <jansson.h>
#include <stdlib.h>

#include "load.h"

static int
compare(const void *a, const void *b)
{
	const uint32_t *x = a;
	const uint32_t *y = b;

	return *x < *y ? -1 : *x > *y;
}

/* Null where nothing was measured. */
static json_t *
percentile(const struct bg_load *load, unsigned permille)
{
	size_t i = load->latency_count * permille / 1000;

	if (load->latency_count == 0)
		return json_null();
	if (i >= load->latency_count)
		i = load->latency_count - 1;
	return json_integer(load->latencies_us[i]);
}

void
bg_load_print(struct bg_load *load)
{
	double elapsed_s = (double)(bg_clock_now_us() - load->start_us) / 1e6;
	json_t *out;

	if (load->latency_count > 0)
		qsort(load->latencies_us, load->latency_count,
		    sizeof(*load->latencies_us), compare);
	out = json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:f,s:o,s:o,s:o}",
	    "calls", (json_int_t)load->calls, "attempts",
	    (json_int_t)load->sent, "done",
	    (json_int_t)load->outcomes[BG_LOAD_DONE], "not_run",
	    (json_int_t)load->outcomes[BG_LOAD_NOT_RUN], "unknown",
	    (json_int_t)load->outcomes[BG_LOAD_UNKNOWN], "no_answer",
	    (json_int_t)load->outcomes[BG_LOAD_NO_ANSWER], "refused",
	    (json_int_t)load->outcomes[BG_LOAD_REFUSED], "other",
	    (json_int_t)load->outcomes[BG_LOAD_OTHER], "wrong",
	    (json_int_t)load->wrong, "seconds", elapsed_s, "p50_us",
	    percentile(load, 500), "p99_us", percentile(load, 990), "max_us",
	    percentile(load, 1000));
	json_dumpf(out, stdout, JSON_COMPACT);
	putchar('\n');
	json_decref(out);
}
