#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "proxy.h"

#define SCRIPT_STEPS_MAX 256

/* One step of a script: rules that hold from a time on. */
struct step {
	struct proxy *proxy;
	struct event *timer;
	struct rules *rules;
};

struct options {
	const char *maps[MAPS_MAX];
	size_t map_count;
	const char *control;
	const char *script;
	uint64_t seed;
};

static const struct argp_option OPTIONS[] = {
    {"map", 'm', "LISTEN=TARGET[,rpc]", 0,
	"Forward connections; rpc marks ONC RPC messages", 0},
    {"control", 'c', "IP:PORT", 0, "POST /control sets rules, GET /stats", 0},
    {"script", 's', "FILE", 0, "JSON: [{\"at_ms\": N, \"rules\": [...]}, ...]",
	0},
    {"seed", 'S', "N", 0, "Seed of jitter and duplication (7)", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *opts = state->input;

	switch (key) {
	case 'm':
		if (opts->map_count == MAPS_MAX)
			argp_error(state, "more than %d maps", MAPS_MAX);
		opts->maps[opts->map_count++] = arg;
		return 0;
	case 'c':
		opts->control = arg;
		return 0;
	case 's':
		opts->script = arg;
		return 0;
	case 'S':
		opts->seed = strtoull(arg, NULL, 10);
		return 0;
	case ARGP_KEY_END:
		if (opts->map_count == 0)
			argp_error(state, "at least one --map is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
on_step(evutil_socket_t fd, short what, void *arg)
{
	struct step *step = arg;

	step->proxy->rules = *step->rules;
	proxy_apply(step->proxy);
}

static int
add_step(struct step *step, struct proxy *prx, json_t *entry)
{
	json_int_t at_ms = json_integer_value(json_object_get(entry, "at_ms"));
	struct timeval tv = {at_ms / 1000, at_ms % 1000 * 1000};
	char error[256];

	step->proxy = prx;
	step->rules = calloc(1, sizeof(*step->rules));
	step->timer = evtimer_new(prx->base, on_step, step);
	if (step->rules == NULL || step->timer == NULL)
		return -1;
	if (rules_read(step->rules, entry, error, sizeof(error)) != 0) {
		fprintf(stderr, "script: %s\n", error);
		return -1;
	}
	return evtimer_add(step->timer, &tv);
}

static int
load_script(struct step *steps, struct proxy *prx, const char *path)
{
	json_error_t err;
	json_t *list = json_load_file(path, 0, &err);
	json_t *entry;
	size_t i;
	int error = -1;

	if (!json_is_array(list) || json_array_size(list) > SCRIPT_STEPS_MAX) {
		fprintf(stderr, "%s: expected an array of steps: %s\n", path,
		    err.text);
		goto done;
	}
	json_array_foreach(list, i, entry)
	{
		if (add_step(&steps[i], prx, entry) != 0)
			goto done;
	}
	error = 0;
done:
	json_decref(list);
	return error;
}

static void
on_stop(evutil_socket_t signo, short what, void *arg)
{
	event_base_loopbreak(arg);
}

static int
run(struct proxy *prx, struct step *steps, const struct options *opts)
{
	struct event *stop =
	    evsignal_new(prx->base, SIGTERM, on_stop, prx->base);
	size_t i;
	int error = 1;

	event_add(stop, NULL);
	for (i = 0; i < opts->map_count; i++) {
		if (proxy_map(prx, opts->maps[i]) != 0)
			goto done;
	}
	if (opts->control != NULL && control_init(prx, opts->control) != 0)
		goto done;
	if (opts->script != NULL && load_script(steps, prx, opts->script) != 0)
		goto done;
	printf("ready\n");
	fflush(stdout);
	event_base_dispatch(prx->base);
	error = 0;
done:
	event_free(stop);
	proxy_free(prx);
	for (i = 0; i < SCRIPT_STEPS_MAX; i++) {
		free(steps[i].rules);
		if (steps[i].timer != NULL)
			event_free(steps[i].timer);
	}
	return error;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {OPTIONS, parse_option, NULL,
	    "Forwards TCP connections and injects faults.", NULL, NULL, NULL};
	static struct step steps[SCRIPT_STEPS_MAX];
	static struct options opts;
	static struct proxy prx;
	struct event_config *cfg = event_config_new();
	int error;

	opts.seed = 7;
	argp_parse(&argp, argc, argv, 0, NULL, &opts);
	signal(SIGPIPE, SIG_IGN);
	/* Delays of 1 ms need timers that are finer than that. */
	event_config_set_flag(cfg, EVENT_BASE_FLAG_PRECISE_TIMER);
	prx.base = event_base_new_with_config(cfg);
	event_config_free(cfg);
	bg_rand_init(&prx.rnd, opts.seed);
	error = run(&prx, steps, &opts);
	event_base_free(prx.base);
	return error;
}
