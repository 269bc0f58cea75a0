#include <jansson.h>
#include <stdlib.h>

#include "burdockgrade/organisations.h"

#define MILLI 1000.0

static json_t *
organisation_to_json(const struct bg_organisation *org, size_t key_count)
{
	json_t *value = json_pack("{s:s, s:I, s:f, s:I}", "name", org->name,
	    "keys", (json_int_t)key_count, "rate_per_s",
	    (double)org->rate_milli_per_s / MILLI, "burst",
	    (json_int_t)org->burst);

	if (value != NULL && org->has_priority &&
	    json_object_set_new(value, "priority",
		json_integer((json_int_t)org->priority)) != 0) {
		json_decref(value);
		return NULL;
	}
	return value;
}

static json_t *
organisations_to_json(const struct bg_snapshot *snap)
{
	json_t *list = json_array();
	json_t *value;
	size_t i;

	for (i = 0; list != NULL && i < snap->organisation_count; i++) {
		value = organisation_to_json(&snap->organisations[i],
		    bg_organisations_key_count(snap->organisation_set, i));
		if (value == NULL || json_array_append_new(list, value) != 0) {
			json_decref(list);
			return NULL;
		}
	}
	return list;
}

int
bg_organisations_render(char **out, const struct bg_snapshot *snap)
{
	json_t *list =
	    snap == NULL ? json_array() : organisations_to_json(snap);
	json_t *doc = json_pack("{s:b, s:I, s:b, s:o}", "synced", snap != NULL,
	    "version", (json_int_t)(snap == NULL ? 0 : snap->version),
	    "keys_needed", snap != NULL && snap->organisation_set != NULL,
	    "organisations", list);

	*out = doc == NULL ? NULL : json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return *out == NULL ? BG_ENOMEM : 0;
}
