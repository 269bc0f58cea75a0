#include <stddef.h>

#include "burdockgrade/counter.h"

#include "metrics.h"

#define CALLS "burdock_calls_total"
#define REFUSED "burdock_refused_total"
#define DISCARDED "burdock_discarded_total"
#define CALL_TIME "burdock_call_seconds_bucket"
#define BACKEND_TIME "burdock_backend_seconds_bucket"
#define QUEUE_TIME "burdock_queue_seconds_bucket"
#define BUCKETS 9

static const uint64_t bucket_bounds_us[BUCKETS - 1] = {
    500, 1000, 2500, 5000, 10000, 50000, 250000, 1000000};

static struct bg_counter calls[] = {
    BG_COUNTER(CALLS "{outcome=\"done\"}", "Calls of customers."),
    BG_COUNTER(CALLS "{outcome=\"not-run\"}", "Calls of customers."),
    BG_COUNTER(CALLS "{outcome=\"unknown\"}", "Calls of customers."),
};

static struct bg_counter refused[BG_REFUSAL_COUNT] = {
    BG_COUNTER(REFUSED "{reason=\"none\"}", "Refused calls."),
    BG_COUNTER(REFUSED "{reason=\"busy\"}", "Refused calls."),
    BG_COUNTER(REFUSED "{reason=\"no-server\"}", "Refused calls."),
    BG_COUNTER(REFUSED "{reason=\"draining\"}", "Refused calls."),
    BG_COUNTER(REFUSED "{reason=\"version\"}", "Refused calls."),
    BG_COUNTER(REFUSED "{reason=\"deadline\"}", "Refused calls."),
    BG_COUNTER(REFUSED "{reason=\"shed\"}", "Refused calls."),
    BG_COUNTER(REFUSED "{reason=\"buffers\"}", "Refused calls."),
    BG_COUNTER(REFUSED "{reason=\"unsynced\"}", "Refused calls."),
    BG_COUNTER(REFUSED "{reason=\"depth\"}", "Refused calls."),
    BG_COUNTER(REFUSED "{reason=\"unreachable\"}", "Refused calls."),
};

static const struct {
	const char *name;
	const char *text;
} refusals[BG_REFUSAL_COUNT] = {
    {"none", "not refused"},
    {"busy", "no slot is free in the time that is left"},
    {"no-server", "no backend server is available"},
    {"draining", "the backend server or its node is leaving"},
    {"version", "the backend server has another version"},
    {"deadline", "the deadline cannot be met"},
    {"shed", "the backend server refused the call"},
    {"buffers", "the buffers of the node are full"},
    {"unsynced", "the node has no configuration yet"},
    {"depth", "too many calls in a chain"},
    {"unreachable", "no backend server can be reached"},
};

static struct bg_counter discarded[BG_DISCARD_COUNT] = {
    BG_COUNTER(DISCARDED "{reason=\"foreign\"}", "Discarded answers."),
    BG_COUNTER(DISCARDED "{reason=\"unframed\"}", "Discarded answers."),
    BG_COUNTER(DISCARDED "{reason=\"truncated\"}", "Discarded answers."),
    BG_COUNTER(DISCARDED "{reason=\"oversized\"}", "Discarded answers."),
};

#define TIME_BUCKETS(n, h)                              \
	{                                               \
		BG_COUNTER(n "{le=\"0.0005\"}", h),     \
		    BG_COUNTER(n "{le=\"0.001\"}", h),  \
		    BG_COUNTER(n "{le=\"0.0025\"}", h), \
		    BG_COUNTER(n "{le=\"0.005\"}", h),  \
		    BG_COUNTER(n "{le=\"0.01\"}", h),   \
		    BG_COUNTER(n "{le=\"0.05\"}", h),   \
		    BG_COUNTER(n "{le=\"0.25\"}", h),   \
		    BG_COUNTER(n "{le=\"1\"}", h),      \
		    BG_COUNTER(n "{le=\"+Inf\"}", h),   \
	}

static struct bg_counter call_time[BUCKETS] =
    TIME_BUCKETS(CALL_TIME, "Time of calls at the ingress.");
static struct bg_counter backend_time[BUCKETS] =
    TIME_BUCKETS(BACKEND_TIME, "Time of calls at the backend server.");

static struct bg_counter queue_time[BUCKETS] =
    TIME_BUCKETS(QUEUE_TIME, "Time that calls waited for a slot.");

static struct bg_counter retries =
    BG_COUNTER("burdock_retries_total", "Repeated attempts.");
static struct bg_counter ejections =
    BG_COUNTER("burdock_ejections_total", "Servers ejected for failures.");
static struct bg_counter canceled =
    BG_COUNTER("burdock_canceled_total", "Calls whose caller disconnected.");
static struct bg_counter invalid = BG_COUNTER(
    "burdock_invalid_requests_total", "Requests that were not accepted.");
static struct bg_counter gate_running =
    BG_GAUGE("burdock_gate_running", "Calls running at the backend server.");
static struct bg_counter gate_queued =
    BG_GAUGE("burdock_gate_queued", "Calls waiting at the gatekeeper.");
static struct bg_counter gate_limit =
    BG_GAUGE("burdock_gate_limit", "Adaptive limit of running calls.");

static struct bg_counter fair_passed_over =
    BG_COUNTER("burdock_gate_fair_passed_over_total",
	"Starts of a call of another organisation than the order by target "
	"gives.");
static struct bg_counter reserve_held_back =
    BG_COUNTER("burdock_gate_reserved_total",
	"Times that a free slot was left to urgent calls.");

static struct bg_counter buffered = BG_GAUGE(
    "burdock_buffered_bytes", "Bytes that the node holds for callers.");
static struct bg_counter connections =
    BG_GAUGE("burdock_ingress_connections", "Open connections of callers.");

#define CLOSED "burdock_ingress_closed_total"
#define CLOSED_HELP "Connections of callers closed for the sake of others."

static struct bg_counter closed[BG_CLOSE_COUNT] = {
    BG_COUNTER(CLOSED "{reason=\"stalled\"}", CLOSED_HELP),
    BG_COUNTER(CLOSED "{reason=\"replaced\"}", CLOSED_HELP),
    BG_COUNTER(CLOSED "{reason=\"refused\"}", CLOSED_HELP),
};
static struct bg_counter cold_left = BG_GAUGE(
    "burdock_server_cold_left_ms", "Time until the backend server is warm.");
static struct bg_counter cold_periods = BG_COUNTER(
    "burdock_server_cold_total", "Times that the backend server turned cold.");
static struct bg_counter cold_refused =
    BG_COUNTER("burdock_cold_refused_total{at=\"gatekeeper\"}",
	"Calls refused since the servers are cold.");
static struct bg_counter cold_unsent =
    BG_COUNTER("burdock_cold_refused_total{at=\"ingress\"}",
	"Calls refused since the servers are cold.");

const char *
bg_refusal_text(enum bg_xrefusal reason)
{
	return refusals[reason].text;
}

const char *
bg_refusal_name(enum bg_xrefusal reason)
{
	return refusals[reason].name;
}

static void
observe_duration(struct bg_counter *buckets, uint64_t duration_us)
{
	size_t i;

	/* In the text exposition format, buckets are cumulative. */
	for (i = 0; i < BUCKETS - 1; i++)
		bg_counter_add(&buckets[i], duration_us <= bucket_bounds_us[i]);
	bg_counter_add(&buckets[BUCKETS - 1], 1);
}

void
bg_metrics_count_call(enum bg_xoutcome outcome, uint64_t duration_us)
{
	bg_counter_add(&calls[outcome], 1);
	observe_duration(call_time, duration_us);
}

void
bg_metrics_count_refused(enum bg_xrefusal reason)
{
	bg_counter_add(&refused[reason], 1);
}

void
bg_metrics_count_discarded(enum bg_discard_reason reason)
{
	bg_counter_add(&discarded[reason], 1);
}

void
bg_metrics_count_retry(void)
{
	bg_counter_add(&retries, 1);
}

void
bg_metrics_count_ejection(void)
{
	bg_counter_add(&ejections, 1);
}

void
bg_metrics_count_canceled(void)
{
	bg_counter_add(&canceled, 1);
}

void
bg_metrics_count_invalid_request(void)
{
	bg_counter_add(&invalid, 1);
}

void
bg_metrics_set_gatekeeper(uint32_t running, uint32_t queued, uint32_t limit)
{
	bg_counter_set(&gate_running, running);
	bg_counter_set(&gate_queued, queued);
	bg_counter_set(&gate_limit, limit);
}

void
bg_metrics_set_fairness(uint64_t passed_over, uint64_t held_back)
{
	bg_counter_set(&fair_passed_over, (int64_t)passed_over);
	bg_counter_set(&reserve_held_back, (int64_t)held_back);
}

void
bg_metrics_set_cold_left(uint32_t left_ms)
{
	bg_counter_set(&cold_left, left_ms);
}

void
bg_metrics_count_cold_period(void)
{
	bg_counter_add(&cold_periods, 1);
}

void
bg_metrics_count_cold_refused(void)
{
	bg_counter_add(&cold_refused, 1);
}

void
bg_metrics_count_cold_unsent(void)
{
	bg_counter_add(&cold_unsent, 1);
}

void
bg_metrics_set_buffered_bytes(uint64_t bytes)
{
	bg_counter_set(&buffered, (int64_t)bytes);
}

void
bg_metrics_count_closed(enum bg_close_reason reason)
{
	bg_counter_add(&closed[reason], 1);
}

void
bg_metrics_set_connections(uint32_t count)
{
	bg_counter_set(&connections, count);
}

void
bg_metrics_observe_backend_time(uint64_t duration_us)
{
	observe_duration(backend_time, duration_us);
}

void
bg_metrics_observe_queue_time(uint64_t duration_us)
{
	observe_duration(queue_time, duration_us);
}
