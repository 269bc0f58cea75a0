#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "history.h"

static int
read_text(char *out, size_t out_bytes, const json_t *value, const char *name)
{
	const json_t *text = json_object_get(value, name);

	if (!json_is_string(text) || json_string_length(text) >= out_bytes)
		return BG_EPROTO;
	memcpy(out, json_string_value(text), json_string_length(text) + 1);
	return 0;
}

static int
read_number(uint64_t *out, const json_t *value, const char *name)
{
	const json_t *number = json_object_get(value, name);

	if (!json_is_integer(number) || json_integer_value(number) < 0)
		return BG_EPROTO;
	*out = (uint64_t)json_integer_value(number);
	return 0;
}

static int
read_entry(struct bg_history_entry *out, const json_t *value)
{
	memset(out, 0, sizeof(*out));
	if (read_number(&out->version, value, "version") != 0 ||
	    read_number(&out->time_ms, value, "time_ms") != 0 ||
	    read_number(&out->rev, value, "rev") != 0 ||
	    read_text(out->service, sizeof(out->service), value, "service") !=
		0 ||
	    read_text(out->action, sizeof(out->action), value, "action") != 0 ||
	    read_text(out->operator_name, sizeof(out->operator_name), value,
		"operator") != 0 ||
	    read_text(out->to, sizeof(out->to), value, "to") != 0)
		return BG_EPROTO;
	return 0;
}

int
bg_history_decode(struct bg_history *out, const json_t *json)
{
	const json_t *changes = json_object_get(json, "changes");
	struct bg_history_entry entry;
	size_t i;
	int error = json_is_array(changes) ? 0 : BG_EPROTO;

	memset(out, 0, sizeof(*out));
	for (i = 0; error == 0 && i < json_array_size(changes); i++) {
		error = read_entry(&entry, json_array_get(changes, i));
		if (error == 0)
			error = bg_history_add(out, &entry);
	}
	if (error != 0)
		bg_history_free(out);
	return error;
}

void
bg_history_free(struct bg_history *hist)
{
	free(hist->entries);
	memset(hist, 0, sizeof(*hist));
}

json_t *
bg_history_encode(const struct bg_history *hist)
{
	const struct bg_history_entry *e;
	json_t *changes = json_array();
	size_t i;

	for (i = 0; i < hist->entry_count; i++) {
		e = &hist->entries[i];
		json_array_append_new(changes,
		    json_pack("{s:I,s:I,s:s,s:s,s:s,s:I,s:s}", "version",
			(json_int_t)e->version, "time_ms",
			(json_int_t)e->time_ms, "service", e->service, "action",
			e->action, "operator", e->operator_name, "rev",
			(json_int_t)e->rev, "to", e->to));
	}
	return json_pack("{s:o}", "changes", changes);
}

int
bg_history_add(struct bg_history *hist, const struct bg_history_entry *entry)
{
	struct bg_history_entry *grown;
	size_t pos = hist->entry_count;

	grown =
	    realloc(hist->entries, (hist->entry_count + 1) * sizeof(*grown));
	if (grown == NULL)
		return BG_ENOMEM;
	hist->entries = grown;
	while (pos > 0 && grown[pos - 1].version > entry->version)
		pos--;
	memmove(&grown[pos + 1], &grown[pos],
	    (hist->entry_count - pos) * sizeof(*grown));
	grown[pos] = *entry;
	hist->entry_count++;
	if (hist->entry_count > BG_HISTORY_MAX) {
		hist->entry_count--;
		memmove(grown, grown + 1, hist->entry_count * sizeof(*grown));
	}
	return 0;
}

/* Finds the last entry that put a revision of the service in force, or NULL. */
static const struct bg_history_entry *
find_last(const struct bg_history *hist, const char *service)
{
	size_t i;

	for (i = hist->entry_count; i > 0; i--) {
		if (hist->entries[i - 1].rev != 0 &&
		    strcmp(hist->entries[i - 1].service, service) == 0)
			return &hist->entries[i - 1];
	}
	return NULL;
}

static int
is_missing(const struct bg_history *hist, const struct bg_head_service *svc)
{
	const struct bg_history_entry *last = find_last(hist, svc->name);

	if (last != NULL)
		return last->rev != svc->rev;
	/* An entry that was dropped because of its age is not missing. */
	return hist->entry_count < BG_HISTORY_MAX ||
	    svc->changed > hist->entries[0].version;
}

int
bg_history_repair(struct bg_history *hist, const struct bg_head *head)
{
	const struct bg_head_service *svc;
	struct bg_history_entry entry;
	int added = 0;
	size_t i;
	int error;

	for (i = 0; i < head->service_count; i++) {
		svc = &head->services[i];
		if (!is_missing(hist, svc))
			continue;
		memset(&entry, 0, sizeof(entry));
		entry.version = svc->changed;
		entry.time_ms = svc->since_ms;
		entry.rev = svc->rev;
		snprintf(entry.service, sizeof(entry.service), "%s", svc->name);
		snprintf(entry.action, sizeof(entry.action), "%s",
		    svc->is_withdrawn ? "withdraw" : "accept");
		snprintf(entry.operator_name, sizeof(entry.operator_name), "%s",
		    svc->changed == head->version ? head->writer : "unknown");
		if ((error = bg_history_add(hist, &entry)) != 0)
			return error;
		added++;
	}
	return added;
}

uint64_t
bg_history_previous(
    const struct bg_history *hist, const char *service, uint64_t rev)
{
	uint64_t stack[BG_HISTORY_MAX];
	const struct bg_history_entry *e;
	size_t depth = 0;
	size_t i;
	size_t pos;

	for (i = 0; i < hist->entry_count; i++) {
		e = &hist->entries[i];
		if (e->rev == 0 || strcmp(e->service, service) != 0)
			continue;
		/* A withdrawal pops the revisions above the one it restores. */
		for (pos = depth; pos > 0 && stack[pos - 1] != e->rev; pos--)
			continue;
		if (strcmp(e->action, "withdraw") == 0 && pos > 0)
			depth = pos;
		else
			stack[depth++] = e->rev;
	}
	return depth >= 2 && stack[depth - 1] == rev ? stack[depth - 2] : 0;
}
