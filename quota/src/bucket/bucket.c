#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"

#include "bucket.h"

#define MICRO_PER_MILLI 1000
#define PERMILLE 1000
/* Parts of what the rule allows in a window beyond the rate, in thousandths.
 * One part raises the rate, so that an organisation that is over its cap all
 * the time gets it as well, the other one is the capacity. The rest is left:
 * clocks of nodes differ in rate, and requests are counted at other moments
 * than here. */
#define EXTRA_RATE_PERMILLE 400
#define EXTRA_CAPACITY_PERMILLE 500
/* A node gets at most this part of the bucket for calls to come, so that the
 * last tokens go to nodes that have calls waiting. */
#define SPARE_DIVISOR 4
/* Bounds of the time after which a node that got too little asks again. Below
 * it, the nodes of an organisation over its cap would ask for each token. */
#define RETRY_MIN_MS 150
#define RETRY_MAX_MS 2000
/* Below this part of its capacity a bucket is nearly empty. */
#define SCARCE_DIVISOR 8
#define LEASES_FIRST 8

void
bg_bucket_limits_init(struct bg_bucket_limits *out,
    const struct bg_quota_rule *rule, uint32_t rate_milli_per_s, uint32_t burst)
{
	uint64_t in_window = (uint64_t)rate_milli_per_s * rule->window_ms;
	uint64_t burst_micro = (uint64_t)burst * BG_QUOTA_MICRO;
	uint64_t extra = in_window / PERMILLE * rule->share_permille;

	extra += burst_micro / PERMILLE * (PERMILLE + rule->share_permille);
	extra += (uint64_t)rule->slack * BG_QUOTA_MICRO;
	out->rate_milli_per_s =
	    (rate_milli_per_s +
		extra / PERMILLE * EXTRA_RATE_PERMILLE / rule->window_ms) /
	    rule->shares;
	out->capacity_micro =
	    extra / PERMILLE * EXTRA_CAPACITY_PERMILLE / rule->shares;
}

void
bg_bucket_init(struct bg_bucket *out, const struct bg_bucket_limits *limits,
    uint64_t level_micro, uint64_t now_ms)
{
	memset(out, 0, sizeof(*out));
	out->limits = *limits;
	out->level_micro = level_micro < limits->capacity_micro
	    ? level_micro
	    : limits->capacity_micro;
	out->refilled_ms = now_ms;
}

void
bg_bucket_start(struct bg_bucket *out, const struct bg_bucket_limits *limits,
    uint32_t window_ms, uint64_t clean_ms, uint64_t now_ms)
{
	uint64_t start_ms = clean_ms + BG_QUOTA_LEASE_MS;

	if (now_ms >= start_ms + window_ms)
		bg_bucket_init(out, limits, limits->capacity_micro, now_ms);
	else
		bg_bucket_init(out, limits, 0, start_ms);
}

void
bg_bucket_free(struct bg_bucket *bucket)
{
	free(bucket->leases);
	memset(bucket, 0, sizeof(*bucket));
}

static uint64_t
leased_micro(const struct bg_bucket *bucket)
{
	uint64_t tokens = 0;
	size_t i;

	for (i = 0; i < bucket->lease_count; i++)
		tokens += bucket->leases[i].kept + bucket->leases[i].instant;
	return tokens * BG_QUOTA_MICRO;
}

uint64_t
bg_bucket_usable_micro(const struct bg_bucket *bucket)
{
	return bucket->level_micro + leased_micro(bucket);
}

/* Adds what the rate gives until a time, as far as there is room. */
static void
refill(struct bg_bucket *bucket, uint64_t now_ms)
{
	uint64_t usable = bg_bucket_usable_micro(bucket);
	uint64_t room = usable < bucket->limits.capacity_micro
	    ? bucket->limits.capacity_micro - usable
	    : 0;
	uint64_t elapsed_ms;
	uint64_t rate = bucket->limits.rate_milli_per_s;

	if (now_ms <= bucket->refilled_ms)
		return;
	elapsed_ms = now_ms - bucket->refilled_ms;
	bucket->refilled_ms = now_ms;
	if (rate == 0)
		return;
	bucket->level_micro +=
	    elapsed_ms > room / rate ? room : elapsed_ms * rate;
}

/* End of the tokens of any lease that ends first. */
static uint64_t
first_end_ms(const struct bg_bucket *bucket)
{
	const struct bg_lease *lease;
	uint64_t first = UINT64_MAX;
	size_t i;

	for (i = 0; i < bucket->lease_count; i++) {
		lease = &bucket->leases[i];
		if (lease->kept != 0 && lease->kept_end_ms < first)
			first = lease->kept_end_ms;
		if (lease->instant != 0 && lease->instant_end_ms < first)
			first = lease->instant_end_ms;
	}
	return first;
}

/* Ends the tokens whose time is over. A lease without tokens is dropped once
 * a late ask of its holder would find nothing that it could keep. */
static void
end_leases(struct bg_bucket *bucket, uint64_t now_ms)
{
	struct bg_lease *lease;
	size_t i = 0;

	while (i < bucket->lease_count) {
		lease = &bucket->leases[i];
		if (lease->kept_end_ms <= now_ms)
			lease->kept = 0;
		if (lease->instant_end_ms <= now_ms)
			lease->instant = 0;
		if (lease->kept_end_ms <= now_ms &&
		    lease->instant_end_ms <= now_ms)
			*lease = bucket->leases[--bucket->lease_count];
		else
			i++;
	}
}

/* Room that the end of a lease makes is refilled from that moment only. */
static void
advance_leases(struct bg_bucket *bucket, uint64_t now_ms)
{
	uint64_t end_ms;

	while ((end_ms = first_end_ms(bucket)) <= now_ms) {
		refill(bucket, end_ms);
		end_leases(bucket, end_ms);
	}
	refill(bucket, now_ms);
	end_leases(bucket, now_ms);
}

static void
use_limits(struct bg_bucket *bucket, const struct bg_bucket_limits *limits)
{
	uint64_t leased = leased_micro(bucket);
	uint64_t room = leased < limits->capacity_micro
	    ? limits->capacity_micro - leased
	    : 0;

	bucket->limits = *limits;
	bucket->lower_due_ms = 0;
	if (bucket->level_micro > room)
		bucket->level_micro = room;
}

static void
advance(struct bg_bucket *bucket, uint64_t now_ms)
{
	if (bucket->lower_due_ms != 0 && now_ms >= bucket->lower_due_ms) {
		advance_leases(bucket, bucket->lower_due_ms);
		use_limits(bucket, &bucket->lower);
	}
	advance_leases(bucket, now_ms);
}

void
bg_bucket_set_limits(struct bg_bucket *bucket,
    const struct bg_bucket_limits *limits, uint32_t delay_ms, uint64_t now_ms)
{
	advance(bucket, now_ms);
	if (limits->rate_milli_per_s >= bucket->limits.rate_milli_per_s &&
	    limits->capacity_micro >= bucket->limits.capacity_micro) {
		use_limits(bucket, limits);
		return;
	}
	bucket->lower = *limits;
	if (bucket->lower_due_ms == 0)
		bucket->lower_due_ms = now_ms +
		    (delay_ms > BG_QUOTA_LEASE_MS ? delay_ms - BG_QUOTA_LEASE_MS
						  : 0);
	advance(bucket, now_ms);
}

const struct bg_bucket_limits *
bg_bucket_last_limits(const struct bg_bucket *bucket)
{
	return bucket->lower_due_ms != 0 ? &bucket->lower : &bucket->limits;
}

static struct bg_lease *
find_lease(struct bg_bucket *bucket, uint64_t holder)
{
	size_t i;

	for (i = 0; i < bucket->lease_count; i++) {
		if (bucket->leases[i].holder == holder)
			return &bucket->leases[i];
	}
	return NULL;
}

/* @return NULL if memory is exhausted */
static struct bg_lease *
add_lease(struct bg_bucket *bucket, uint64_t holder)
{
	size_t room =
	    bucket->lease_room == 0 ? LEASES_FIRST : 2 * bucket->lease_room;
	struct bg_lease *lease;

	if (bucket->lease_count == bucket->lease_room) {
		lease = reallocarray(bucket->leases, room, sizeof(*lease));
		if (lease == NULL)
			return NULL;
		bucket->leases = lease;
		bucket->lease_room = room;
	}
	lease = &bucket->leases[bucket->lease_count++];
	memset(lease, 0, sizeof(*lease));
	lease->holder = holder;
	return lease;
}

static int
is_scarce(const struct bg_bucket *bucket)
{
	return bucket->level_micro <
	    bucket->limits.capacity_micro / SCARCE_DIVISOR;
}

/* Tokens for calls to come would mostly end unused while others need them, so
 * a bucket that is nearly empty gives none. */
static uint32_t
tokens_to_grant(const struct bg_bucket *bucket, const struct bg_bucket_ask *ask)
{
	uint64_t whole = bucket->level_micro / BG_QUOTA_MICRO;
	uint64_t spare;

	if (whole <= ask->waiting)
		return (uint32_t)whole;
	spare = is_scarce(bucket) ? 0 : (whole - ask->waiting) / SPARE_DIVISOR;
	return ask->waiting +
	    (uint32_t)(spare < ask->spare ? spare : ask->spare);
}

/* Time until the bucket has a token again. */
static uint32_t
retry_after_ms(const struct bg_bucket *bucket)
{
	uint64_t missing = bucket->level_micro >= BG_QUOTA_MICRO
	    ? 0
	    : BG_QUOTA_MICRO - bucket->level_micro;
	uint64_t ms = bucket->limits.rate_milli_per_s == 0
	    ? RETRY_MAX_MS
	    : missing / bucket->limits.rate_milli_per_s;

	if (ms < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return ms > RETRY_MAX_MS ? RETRY_MAX_MS : (uint32_t)ms;
}

int
bg_bucket_ask(struct bg_bucket_grant *out, struct bg_bucket *bucket,
    const struct bg_bucket_ask *ask, uint64_t now_ms)
{
	struct bg_lease *lease;
	uint32_t granted;

	memset(out, 0, sizeof(*out));
	advance(bucket, now_ms);
	lease = find_lease(bucket, ask->holder);
	if (lease != NULL && ask->seq <= lease->seq)
		return 0;
	if (lease == NULL && (lease = add_lease(bucket, ask->holder)) == NULL)
		return BG_ENOMEM;
	granted = tokens_to_grant(bucket, ask);
	out->kept = ask->held < lease->kept ? ask->held : lease->kept;
	out->granted = granted;
	if (granted < ask->waiting)
		out->retry_after_ms = retry_after_ms(bucket);
	/* The holder has dropped or used what earlier asks gave it for waiting
	 * calls. */
	lease->seq = ask->seq;
	lease->instant = granted < ask->waiting ? granted : ask->waiting;
	lease->kept = out->kept + granted - lease->instant;
	lease->instant_end_ms = now_ms + BG_QUOTA_ASK_TIMEOUT_MS;
	bucket->level_micro -= (uint64_t)granted * BG_QUOTA_MICRO;
	out->valid_ms =
	    is_scarce(bucket) ? BG_QUOTA_SHORT_LEASE_MS : BG_QUOTA_LEASE_MS;
	/* Without this reply the holder uses what it kept until the end that it
	 * was told before. */
	if (lease->kept_end_ms < now_ms + out->valid_ms)
		lease->kept_end_ms = now_ms + out->valid_ms;
	return 0;
}

int
bg_bucket_is_full(struct bg_bucket *bucket, uint64_t now_ms)
{
	advance(bucket, now_ms);
	return bucket->lease_count == 0 &&
	    bucket->level_micro >= bucket->limits.capacity_micro;
}
