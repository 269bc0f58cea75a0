#include <argp.h>
#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

/* Interval of the arrival timer; calls that fell due in it start together. */
#define ARRIVALS_US 500

enum option_key {
	OPT_SOURCE = 256,
	OPT_DEADLINE,
	OPT_ATTEMPTS,
	OPT_SEED,
	OPT_NAME,
};

static const struct argp_option OPTIONS[] = {
    {"target", 't', "IP:PORT", 0, "A node; may be repeated", 0},
    {"mix", 'm', "FILE", 0, "Kinds of calls as a JSON array", 0},
    {"rate", 'r', "N", 0, "Calls a second (100)", 0},
    {"seconds", 's', "N", 0, "How long calls arrive (10)", 0},
    {"log", 'l', "FILE", 0, "One JSON line for each attempt", 0},
    {"source", OPT_SOURCE, "IP", 0, "Source address of the calls", 0},
    {"deadline-ms", OPT_DEADLINE, "MS", 0, "Deadline of a call (2000)", 0},
    {"attempts", OPT_ATTEMPTS, "N", 0,
	"Send a call again up to N times in all (1)", 0},
    {"seed", OPT_SEED, "N", 0, "Seed of arrivals and choices (7)", 0},
    {"name", OPT_NAME, "TEXT", 0, "Prefix of request ids (load)", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct bg_load_options *opts = state->input;

	switch (key) {
	case 't':
		if (opts->target_count == BG_LOAD_TARGETS_MAX ||
		    strrchr(arg, ':') == NULL)
			argp_error(state, "target %s: expected IP:PORT", arg);
		opts->targets[opts->target_count++] = arg;
		return 0;
	case 'm':
		opts->mix_path = arg;
		return 0;
	case 'r':
		opts->rate = strtod(arg, NULL);
		return 0;
	case 's':
		opts->seconds = strtod(arg, NULL);
		return 0;
	case 'l':
		opts->log_path = arg;
		return 0;
	case OPT_SOURCE:
		opts->source_ip = arg;
		return 0;
	case OPT_DEADLINE:
		opts->deadline_ms = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_ATTEMPTS:
		opts->attempts = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_SEED:
		opts->seed = strtoull(arg, NULL, 10);
		return 0;
	case OPT_NAME:
		opts->name = arg;
		return 0;
	case ARGP_KEY_END:
		if (opts->target_count == 0 || opts->mix_path == NULL ||
		    opts->rate <= 0 || opts->seconds <= 0)
			argp_error(state,
			    "--target, --mix, a rate and seconds are needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static uint64_t
next_gap_us(struct bg_load *load)
{
	double u = ((double)(bg_rand_next(&load->rnd) >> 11) + 1.0) / 0x1p53;

	return (uint64_t)(-log(u) * 1e6 / load->options.rate);
}

static void
on_arrivals(evutil_socket_t fd, short what, void *arg)
{
	struct bg_load *load = arg;
	uint64_t now_us = bg_clock_now_us();
	uint64_t end_us =
	    load->start_us + (uint64_t)(load->options.seconds * 1e6);

	bg_load_free_discarded(load);
	while (load->next_us <= now_us && load->next_us < end_us) {
		bg_load_call(load);
		load->next_us += next_gap_us(load);
	}
	if (load->next_us < end_us)
		return;
	load->is_over = 1;
	event_del(load->arrivals);
	if (load->running == 0)
		event_base_loopbreak(load->base);
}

static int
run(struct bg_load *load)
{
	static const struct timeval interval = {0, ARRIVALS_US};
	struct event_config *cfg = event_config_new();

	/* Without it, arrivals follow a clock that advances in steps of 4 ms.
	 */
	event_config_set_flag(cfg, EVENT_BASE_FLAG_PRECISE_TIMER);
	load->base = event_base_new_with_config(cfg);
	event_config_free(cfg);
	load->arrivals =
	    event_new(load->base, -1, EV_PERSIST, on_arrivals, load);
	load->start_us = bg_clock_now_us();
	load->next_us = load->start_us + next_gap_us(load);
	event_add(load->arrivals, &interval);
	event_base_dispatch(load->base);
	bg_load_print(load);
	bg_load_close(load);
	event_free(load->arrivals);
	event_base_free(load->base);
	return 0;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {OPTIONS, parse_option, NULL,
	    "Sends an open-loop load to nodes and prints what came back.", NULL,
	    NULL, NULL};
	struct bg_load load;

	memset(&load, 0, sizeof(load));
	load.options.rate = 100;
	load.options.seconds = 10;
	load.options.deadline_ms = 2000;
	load.options.attempts = 1;
	load.options.seed = 7;
	load.options.name = "load";
	argp_parse(&argp, argc, argv, 0, NULL, &load.options);
	signal(SIGPIPE, SIG_IGN);
	bg_rand_init(&load.rnd, load.options.seed);
	if (bg_load_mix(&load, load.options.mix_path) != 0)
		return 2;
	if (load.options.log_path != NULL &&
	    (load.log = fopen(load.options.log_path, "w")) == NULL) {
		perror(load.options.log_path);
		return 2;
	}
	run(&load);
	if (load.log != NULL)
		fclose(load.log);
	free(load.latencies_us);
	return 0;
}
