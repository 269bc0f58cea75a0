#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "crest.h"

/* Half-life of the counts. A crest lasts for seconds; single refusals are soon
 * forgotten. */
#define COUNT_HALF_LIFE_MS 500.0
/* Below this share, refusals are the chance of a moment, and a caller comes
 * back as soon as a slot is expected. From the second one on, the whole time
 * that the caller allows is used. */
#define CREST_SHARE_MIN 0.05
#define CREST_SHARE_FULL 0.25
/* Fewer calls than this say nothing about the share. */
#define CALLS_MIN 4.0
/* Callers wait for up to this part of the time they have left. */
#define WAIT_DIVISOR 3
#define COME_BACK_MAX_MS 3000
/* Priorities from this one on use the whole time, higher ones a part of it. */
#define LAST_PRIORITY 2

static uint64_t
service_tag(const char *service)
{
	return XXH64(service, strlen(service), 0) | 1;
}

static double
decay(const struct bg_crest_service *svc, uint64_t now_ms)
{
	return exp2(-(double)(now_ms - svc->updated_ms) / COUNT_HALF_LIFE_MS);
}

/* Finds a service, or replaces the one that was updated least recently. */
static struct bg_crest_service *
get_service(struct bg_crest *crs, uint64_t tag)
{
	struct bg_crest_service *oldest = &crs->services[0];
	size_t i;

	for (i = 0; i < BG_CREST_SERVICES; i++) {
		if (crs->services[i].tag == tag)
			return &crs->services[i];
		if (crs->services[i].updated_ms < oldest->updated_ms)
			oldest = &crs->services[i];
	}
	memset(oldest, 0, sizeof(*oldest));
	oldest->tag = tag;
	return oldest;
}

void
bg_crest_record(
    struct bg_crest *crs, const char *service, int is_refused, uint64_t now_ms)
{
	struct bg_crest_service *svc = get_service(crs, service_tag(service));
	double factor = decay(svc, now_ms);

	svc->calls = svc->calls * factor + 1;
	svc->refused = svc->refused * factor + (is_refused != 0);
	svc->updated_ms = now_ms;
}

double
bg_crest_refused_share(
    const struct bg_crest *crs, const char *service, uint64_t now_ms)
{
	uint64_t tag = service_tag(service);
	const struct bg_crest_service *svc;
	size_t i;

	for (i = 0; i < BG_CREST_SERVICES; i++) {
		svc = &crs->services[i];
		if (svc->tag == tag &&
		    svc->calls * decay(svc, now_ms) >= CALLS_MIN)
			return svc->refused / svc->calls;
	}
	return 0;
}

/* Part of the caller's time that is used, 0 to 1. */
static double
used_part(const struct bg_come_back *in)
{
	double part = (in->refused_share - CREST_SHARE_MIN) /
	    (CREST_SHARE_FULL - CREST_SHARE_MIN);

	if (part <= 0)
		return 0;
	if (part > 1)
		part = 1;
	if (in->priority < LAST_PRIORITY)
		part *= (in->priority + 1.0) / (LAST_PRIORITY + 1.0);
	return part;
}

uint32_t
bg_come_back_ms(const struct bg_come_back *in, struct bg_rand *rnd)
{
	uint32_t longest_ms = in->left_ms / WAIT_DIVISOR;
	uint32_t spare_ms =
	    in->left_ms > in->needs_ms ? in->left_ms - in->needs_ms : 0;
	uint32_t end_ms = 2 * in->room_ms;

	if (longest_ms > spare_ms)
		longest_ms = spare_ms;
	if (longest_ms > COME_BACK_MAX_MS)
		longest_ms = COME_BACK_MAX_MS;
	if (longest_ms > end_ms)
		end_ms += (uint32_t)((longest_ms - end_ms) * used_part(in));
	return in->room_ms +
	    (uint32_t)bg_rand_below(rnd, end_ms - in->room_ms + 1);
}
