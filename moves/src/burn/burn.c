#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/burn.h"

/* Limit at a node: the routes of one service times its versions of three days.
 * Calls that would add another series are dropped. */
#define SERIES_MAX 256
/* Limit of a report: 140 services with 16 routes and two versions each, at most
 * 310 MB. */
#define MERGED_SERIES_MAX 4480

/* Uses 2% of a 30-day error budget within 1 h. */
#define PAGE_FAST_RATE 14.4
/* Uses 5% of it within 6 h. */
#define PAGE_SLOW_RATE 6.0
/* Uses 10% of it within 3 days. */
#define TICKET_RATE 1.0

struct minute {
	uint64_t minute; /* since the Unix epoch */
	uint32_t calls;
	uint32_t bad;
};

#define HOUR_MINUTES 60
#define HOURS (BG_BURN_MINUTES / HOUR_MINUTES)

/* Ring buffer of counts, indexed by minute modulo BG_BURN_MINUTES. Most series
 * have calls in few hours, so an hour is allocated on its first call. */
struct series {
	char service[BG_NAME_BYTES];
	char route[BG_NAME_BYTES];
	char server_version[BG_NAME_BYTES];
	struct minute *hours[HOURS]; /* HOUR_MINUTES each, or NULL */
};

struct bg_burn {
	struct series **series;
	size_t series_count;
};

int
bg_burn_init(struct bg_burn **out)
{
	*out = calloc(1, sizeof(**out));
	return *out == NULL ? BG_ENOMEM : 0;
}

static void
series_free(struct series *srs)
{
	size_t h;

	for (h = 0; h < HOURS; h++)
		free(srs->hours[h]);
	free(srs);
}

void
bg_burn_free(struct bg_burn *brn)
{
	size_t i;

	if (brn == NULL)
		return;
	for (i = 0; i < brn->series_count; i++)
		series_free(brn->series[i]);
	free(brn->series);
	free(brn);
}

static int
matches_series(const struct series *srs, const char *service, const char *route,
    const char *server_version)
{
	return strcmp(srs->service, service) == 0 &&
	    (route[0] == '\0' || strcmp(srs->route, route) == 0) &&
	    (server_version[0] == '\0' ||
		strcmp(srs->server_version, server_version) == 0);
}

static struct series *
add_series(struct bg_burn *brn, const char *service, const char *route,
    const char *server_version)
{
	struct series **grown;
	struct series *srs;

	grown = realloc(
	    brn->series, (brn->series_count + 1) * sizeof(struct series *));
	if (grown == NULL)
		return NULL;
	brn->series = grown;
	if ((srs = calloc(1, sizeof(*srs))) == NULL)
		return NULL;
	snprintf(srs->service, sizeof(srs->service), "%s", service);
	snprintf(srs->route, sizeof(srs->route), "%s", route);
	snprintf(srs->server_version, sizeof(srs->server_version), "%s",
	    server_version);
	brn->series[brn->series_count++] = srs;
	return srs;
}

/* Unlike in matches_series(), an empty route or version is no wildcard here but
 * a series of its own. */
static struct series *
find_or_add_series(struct bg_burn *brn, const char *service, const char *route,
    const char *server_version, size_t max)
{
	struct series *srs;
	size_t i;

	for (i = 0; i < brn->series_count; i++) {
		srs = brn->series[i];
		if (strcmp(srs->service, service) == 0 &&
		    strcmp(srs->route, route) == 0 &&
		    strcmp(srs->server_version, server_version) == 0)
			return srs;
	}
	if (brn->series_count >= max)
		return NULL;
	return add_series(brn, service, route, server_version);
}

/* @param m minute modulo BG_BURN_MINUTES
 * @return NULL if its hour is not allocated */
static const struct minute *
find_minute(const struct series *srs, size_t m)
{
	const struct minute *hour = srs->hours[m / HOUR_MINUTES];

	return hour == NULL ? NULL : &hour[m % HOUR_MINUTES];
}

/* @return NULL if out of memory */
static struct minute *
find_or_alloc_minute(struct series *srs, uint64_t minute)
{
	size_t m = minute % BG_BURN_MINUTES;
	struct minute **hour = &srs->hours[m / HOUR_MINUTES];

	if (*hour == NULL)
		*hour = calloc(HOUR_MINUTES, sizeof(**hour));
	return *hour == NULL ? NULL : &(*hour)[m % HOUR_MINUTES];
}

static void
add_minute(struct series *srs, uint64_t minute, uint32_t calls, uint32_t bad)
{
	struct minute *slot = find_or_alloc_minute(srs, minute);

	/* A later minute reuses the slot; an earlier one is too old. */
	if (slot == NULL || minute < slot->minute)
		return;
	if (minute > slot->minute) {
		slot->minute = minute;
		slot->calls = 0;
		slot->bad = 0;
	}
	slot->calls += calls;
	slot->bad += bad;
}

void
bg_burn_count(struct bg_burn *brn, const char *service, const char *route,
    const char *server_version, uint64_t now_minute, int is_bad)
{
	struct series *srs;

	srs =
	    find_or_add_series(brn, service, route, server_version, SERIES_MAX);
	if (srs != NULL)
		add_minute(srs, now_minute, 1, is_bad ? 1 : 0);
}

void
bg_burn_window(struct bg_burn_sum *out, const struct bg_burn *brn,
    const char *service, const char *route, const char *server_version,
    uint64_t from_minute, uint64_t to_minute)
{
	const struct minute *slot;
	size_t i;
	size_t m;

	out->calls = 0;
	out->bad = 0;
	for (i = 0; i < brn->series_count; i++) {
		if (!matches_series(
			brn->series[i], service, route, server_version))
			continue;
		for (m = 0; m < BG_BURN_MINUTES; m++) {
			slot = find_minute(brn->series[i], m);
			if (slot == NULL || slot->minute < from_minute ||
			    slot->minute > to_minute)
				continue;
			out->calls += slot->calls;
			out->bad += slot->bad;
		}
	}
}

static json_t *
encode_series(const struct series *srs)
{
	json_t *minutes = json_array();
	const struct minute *slot;
	size_t m;

	for (m = 0; m < BG_BURN_MINUTES; m++) {
		slot = find_minute(srs, m);
		if (slot == NULL || slot->calls == 0)
			continue;
		json_array_append_new(minutes,
		    json_pack("[I,I,I]", (json_int_t)slot->minute,
			(json_int_t)slot->calls, (json_int_t)slot->bad));
	}
	return json_pack("{s:s,s:s,s:s,s:o}", "service", srs->service, "route",
	    srs->route, "version", srs->server_version, "minutes", minutes);
}

int
bg_burn_encode(char **out, const struct bg_burn *brn)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < brn->series_count; i++)
		json_array_append_new(list, encode_series(brn->series[i]));
	*out = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	return *out == NULL ? BG_ENOMEM : 0;
}

struct entry {
	const char *service;
	const char *route;
	const char *version;
	json_t *minutes;
};

static int
decode_minute(struct minute *out, json_t *slot)
{
	json_int_t minute;
	json_int_t calls;
	json_int_t bad;

	if (json_unpack(slot, "[I,I,I]", &minute, &calls, &bad) != 0 ||
	    minute < 0 || calls < 0 || calls > UINT32_MAX || bad < 0 ||
	    bad > calls)
		return BG_EPROTO;
	out->minute = (uint64_t)minute;
	out->calls = (uint32_t)calls;
	out->bad = (uint32_t)bad;
	return 0;
}

static int
decode_entry(struct entry *out, json_t *entry)
{
	struct minute slot;
	json_t *item;
	size_t i;

	if (json_unpack(entry, "{s:s,s:s,s:s,s:o}", "service", &out->service,
		"route", &out->route, "version", &out->version, "minutes",
		&out->minutes) != 0 ||
	    !json_is_array(out->minutes) || out->service[0] == '\0' ||
	    strlen(out->service) >= BG_NAME_BYTES ||
	    strlen(out->route) >= BG_NAME_BYTES ||
	    strlen(out->version) >= BG_NAME_BYTES)
		return BG_EPROTO;
	json_array_foreach(out->minutes, i, item)
	{
		if (decode_minute(&slot, item) != 0)
			return BG_EPROTO;
	}
	return 0;
}

static int
merge_entry(struct bg_burn *brn, const struct entry *ent)
{
	struct series *srs;
	struct minute slot;
	json_t *item;
	size_t i;

	srs = find_or_add_series(
	    brn, ent->service, ent->route, ent->version, MERGED_SERIES_MAX);
	if (srs == NULL)
		return BG_ENOMEM;
	json_array_foreach(ent->minutes, i, item)
	{
		if (decode_minute(&slot, item) == 0)
			add_minute(srs, slot.minute, slot.calls, slot.bad);
	}
	return 0;
}

int
bg_burn_merge(struct bg_burn *brn, const char *json, size_t json_bytes)
{
	json_t *list = json_loadb(json, json_bytes, 0, NULL);
	struct entry ent;
	json_t *item;
	size_t i;
	int error = json_is_array(list) ? 0 : BG_EPROTO;

	/* All entries are checked first, so that nothing of a malformed report
	 * is added. */
	for (i = 0; error == 0 && i < json_array_size(list); i++)
		error = decode_entry(&ent, json_array_get(list, i));
	if (error != 0)
		goto done;
	json_array_foreach(list, i, item)
	{
		decode_entry(&ent, item);
		if ((error = merge_entry(brn, &ent)) != 0)
			goto done;
	}
done:
	json_decref(list);
	return error;
}

void
bg_burn_foreach(const struct bg_burn *brn,
    void (*fn)(void *arg, const char *service, const char *route,
	const char *server_version),
    void *arg)
{
	size_t i;

	for (i = 0; i < brn->series_count; i++)
		fn(arg, brn->series[i]->service, brn->series[i]->route,
		    brn->series[i]->server_version);
}

double
bg_burn_rate(const struct bg_burn_sum *sum, uint32_t slo_permyriad)
{
	double budget = (10000.0 - slo_permyriad) / 10000.0;

	if (sum->calls == 0)
		return 0.0;
	/* An objective of 100% has no budget: any failure gives the maximum
	 * rate. */
	if (budget <= 0.0)
		return sum->bad == 0 ? 0.0 : 1000.0;
	return (double)sum->bad / (double)sum->calls / budget;
}

enum bg_burn_alert
bg_burn_alert(double rate_5m, double rate_1h, double rate_6h, double rate_3d)
{
	/* The short window clears the alert soon after the failures stop. */
	if (rate_1h >= PAGE_FAST_RATE && rate_5m >= PAGE_FAST_RATE)
		return BG_BURN_PAGE;
	if (rate_6h >= PAGE_SLOW_RATE && rate_1h >= PAGE_SLOW_RATE)
		return BG_BURN_PAGE;
	if (rate_3d >= TICKET_RATE && rate_6h >= TICKET_RATE)
		return BG_BURN_TICKET;
	return BG_BURN_OK;
}
