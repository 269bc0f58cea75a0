#include "burdockgrade/counter.h"

#include "cost_metrics.h"

#define RATIO "burdock_slot_time_ratio_bucket"
#define RATIO_HELP "Time for which calls held a slot, of the expected time."
#define BUCKETS 5
#define PERMILLE 1000

static const uint64_t bucket_bounds_permille[BUCKETS - 1] = {
    500, 1000, 2000, 4000};

static struct bg_counter ratio[BUCKETS] = {
    BG_COUNTER(RATIO "{le=\"0.5\"}", RATIO_HELP),
    BG_COUNTER(RATIO "{le=\"1\"}", RATIO_HELP),
    BG_COUNTER(RATIO "{le=\"2\"}", RATIO_HELP),
    BG_COUNTER(RATIO "{le=\"4\"}", RATIO_HELP),
    BG_COUNTER(RATIO "{le=\"+Inf\"}", RATIO_HELP),
};
static struct bg_counter expected_total =
    BG_COUNTER("burdock_slot_expected_microseconds_total",
	"Time for which calls were expected to hold a slot.");
static struct bg_counter actual_total =
    BG_COUNTER("burdock_slot_microseconds_total",
	"Time for which calls with an expected time held a slot.");
static struct bg_counter work_left = BG_GAUGE(
    "burdock_work_left_microseconds", "Work left at the server for each slot.");
static struct bg_counter slowness = BG_GAUGE("burdock_server_slowness_permille",
    "Time that work takes on the server's machine now, of the usual.");
static struct bg_counter speed = BG_GAUGE("burdock_server_speed_permille",
    "Time that work takes at the server, of that at other servers.");
static struct bg_counter invalid_load = BG_COUNTER(
    "burdock_invalid_server_load_total", "Load headers that were not read.");
static struct bg_counter handed_back = BG_COUNTER("burdock_handed_back_total",
    "Calls handed back because the server's machine was slow.");
static struct bg_counter full_resets = BG_COUNTER("burdock_full_resets_total",
    "Connections that the server reset because it was full.");

void
bg_cost_metrics_observe_slot_time(uint64_t expected_us, uint64_t slot_us)
{
	size_t i;

	if (expected_us == 0)
		return;
	bg_counter_add(&expected_total, (int64_t)expected_us);
	bg_counter_add(&actual_total, (int64_t)slot_us);
	for (i = 0; i < BUCKETS - 1; i++)
		bg_counter_add(&ratio[i],
		    slot_us * PERMILLE / expected_us <=
			bucket_bounds_permille[i]);
	bg_counter_add(&ratio[BUCKETS - 1], 1);
}

void
bg_cost_metrics_set_server(uint32_t work_left_us, uint32_t slowness_permille,
    const struct bg_pace *pace)
{
	bg_counter_set(&work_left, work_left_us);
	bg_counter_set(&slowness, slowness_permille);
	bg_counter_set(&speed, (int64_t)(bg_pace_speed(pace) * PERMILLE));
}

void
bg_cost_metrics_count_invalid_load(void)
{
	bg_counter_add(&invalid_load, 1);
}

void
bg_cost_metrics_count_handed_back(void)
{
	bg_counter_add(&handed_back, 1);
}

void
bg_cost_metrics_count_full_reset(void)
{
	bg_counter_add(&full_resets, 1);
}
