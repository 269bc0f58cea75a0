#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform.h"

/* The platform sustains several hundred writes and about 2,000 reads a second
 * (section 1.4 of docs/design.md). */
#define WRITES_PER_S 500
#define READS_PER_S 2000
/* Above this a body is not even read; 413 is answered from 1 MB on. */
#define BODY_MAX_BYTES (4u << 20)

enum {
	OPT_WRITES = 256,
	OPT_READS,
};

struct arguments {
	const char *listen;
	uint32_t writes_per_s;
	uint32_t reads_per_s;
};

const char *argp_program_version = "bg-platform 0.1.0";

static const struct argp_option options[] = {
    {"listen", 'l', "IP:PORT", 0, "Address; port 0 takes a free one", 0},
    {"writes-per-s", OPT_WRITES, "N", 0, "Write limit, default 500; 0: none",
	0},
    {"reads-per-s", OPT_READS, "N", 0,
	"Limit of reads and waiting watches, default 2000; 0: none", 0},
    {0},
};

static uint32_t
parse_number(const char *text, struct argp_state *state)
{
	char *end;
	unsigned long value = strtoul(text, &end, 10);

	if (text[0] < '0' || text[0] > '9' || *end != '\0' ||
	    value > UINT32_MAX)
		argp_error(state, "%s: expected a number", text);
	return (uint32_t)value;
}

static error_t
parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *args = state->input;

	switch (key) {
	case 'l':
		args->listen = arg;
		return 0;
	case OPT_WRITES:
		args->writes_per_s = parse_number(arg, state);
		return 0;
	case OPT_READS:
		args->reads_per_s = parse_number(arg, state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {options, parse, NULL,
    "Stand-in for the platform: an object API with versions, conditional "
    "updates and watches. Switches: POST /control; counts: GET /stats.",
    NULL, NULL, NULL};

int
main(int argc, char **argv)
{
	/* Static, so that what it refers to counts as reachable at exit. */
	static struct platform plt;
	struct arguments args = {"127.0.0.1:0", WRITES_PER_S, READS_PER_S};

	argp_err_exit_status = 2;
	argp_parse(&argp, argc, argv, 0, NULL, &args);
	plt.writes.limit = args.writes_per_s;
	plt.reads.limit = args.reads_per_s;
	if (serve_init(&plt.serve) != 0 ||
	    serve_listen(&plt.serve, args.listen, platform_on_request, &plt) !=
		0)
		return 1;
	evhtp_set_max_body_size(plt.serve.htp, BODY_MAX_BYTES);
	event_base_dispatch(plt.serve.base);
	return 0;
}
