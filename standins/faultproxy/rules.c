#include <stdio.h>
#include <string.h>

#include "rules.h"

static int
read_prefix(char out[PREFIX_BYTES], const char *text)
{
	if (strlen(text) >= PREFIX_BYTES)
		return -1;
	snprintf(out, PREFIX_BYTES, "%s", text);
	return 0;
}

static int
read_rule(struct rule *out, json_t *entry, char *error, size_t error_bytes)
{
	struct faults *flt = &out->faults;
	const char *source = "";
	const char *target = "";
	json_int_t rate = 0;
	json_int_t cut = 0;
	json_error_t err;
	int duplicate = 0;

	memset(out, 0, sizeof(*out));
	if (json_unpack_ex(entry, &err, JSON_STRICT,
		"{s?s,s?s,s?F,s?F,s?I,s?I,s?i,s?b,s?b,s?b,s?b}", "source",
		&source, "target", &target, "delay_ms", &flt->delay_ms,
		"jitter_ms", &flt->jitter_ms, "bytes_per_s", &rate,
		"cut_after_bytes", &cut, "duplicate_permille", &duplicate,
		"partition", &flt->is_partitioned, "refuse", &flt->is_refused,
		"drop", &out->drops, "silence", &out->silences) != 0) {
		snprintf(error, error_bytes, "rule: %s", err.text);
		return -1;
	}
	if (rate < 0 || cut < 0 || duplicate < 0 || duplicate > 1000 ||
	    flt->delay_ms < 0 || flt->jitter_ms < 0 ||
	    read_prefix(out->source, source) != 0 ||
	    read_prefix(out->target, target) != 0) {
		snprintf(error, error_bytes, "rule: value out of range");
		return -1;
	}
	flt->bytes_per_s = (uint64_t)rate;
	flt->cut_after_bytes = (uint64_t)cut;
	flt->duplicate_permille = (uint32_t)duplicate;
	return 0;
}

int
rules_read(struct rules *out, json_t *root, char *error, size_t error_bytes)
{
	json_t *list = json_object_get(root, "rules");
	json_t *entry;
	size_t i;

	out->count = 0;
	if (!json_is_array(list) || json_array_size(list) > RULES_MAX) {
		snprintf(error, error_bytes,
		    "expected \"rules\", an array of at most %d", RULES_MAX);
		return -1;
	}
	json_array_foreach(list, i, entry)
	{
		if (read_rule(&out->list[i], entry, error, error_bytes) != 0)
			return -1;
		out->count++;
	}
	return 0;
}

static int
has_prefix(const char *text, const char *prefix)
{
	return strncmp(text, prefix, strlen(prefix)) == 0;
}

static int
is_match(const struct rule *rule, const char *source, const char *target)
{
	return has_prefix(source, rule->source) &&
	    has_prefix(target, rule->target);
}

void
rules_faults(struct faults *out, const struct rules *rules, const char *source,
    const char *target)
{
	const struct faults *flt;
	size_t i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < rules->count; i++) {
		if (!is_match(&rules->list[i], source, target))
			continue;
		flt = &rules->list[i].faults;
		out->delay_ms += flt->delay_ms;
		out->jitter_ms += flt->jitter_ms;
		if (flt->bytes_per_s != 0)
			out->bytes_per_s = flt->bytes_per_s;
		if (flt->cut_after_bytes != 0)
			out->cut_after_bytes = flt->cut_after_bytes;
		if (flt->duplicate_permille != 0)
			out->duplicate_permille = flt->duplicate_permille;
		out->is_partitioned |= flt->is_partitioned;
		out->is_refused |= flt->is_refused;
	}
}

int
rules_drop(const struct rules *rules, const char *source, const char *target)
{
	size_t i;

	for (i = 0; i < rules->count; i++) {
		if (rules->list[i].drops &&
		    is_match(&rules->list[i], source, target))
			return 1;
	}
	return 0;
}

int
rules_silence(const struct rules *rules, const char *source, const char *target)
{
	size_t i;

	for (i = 0; i < rules->count; i++) {
		if (rules->list[i].silences &&
		    is_match(&rules->list[i], source, target))
			return 1;
	}
	return 0;
}
