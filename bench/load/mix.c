#include <jansson.h>
#include <string.h>

#include "load.h"

static int
read_kind(struct bg_load_kind *out, json_t *entry)
{
	const char *method;
	const char *path;
	int weight;
	int body_bytes = 0;

	if (json_unpack(entry, "{s:s,s:s,s:i,s?i}", "method", &method, "path",
		&path, "weight", &weight, "body_bytes", &body_bytes) != 0 ||
	    weight <= 0 || strlen(method) >= sizeof(out->method) ||
	    strlen(path) >= sizeof(out->path))
		return -1;
	memset(out, 0, sizeof(*out));
	snprintf(out->method, sizeof(out->method), "%s", method);
	snprintf(out->path, sizeof(out->path), "%s", path);
	out->weight = (uint32_t)weight;
	out->body_bytes = (uint32_t)body_bytes;
	return 0;
}

int
bg_load_mix(struct bg_load *load, const char *path)
{
	json_error_t err;
	json_t *list = json_load_file(path, 0, &err);
	json_t *entry;
	size_t i;

	if (!json_is_array(list) || json_array_size(list) > BG_LOAD_KINDS_MAX ||
	    json_array_size(list) == 0) {
		fprintf(stderr, "%s: expected an array of 1 to %d kinds: %s\n",
		    path, BG_LOAD_KINDS_MAX, list == NULL ? err.text : "");
		json_decref(list);
		return -1;
	}
	json_array_foreach(list, i, entry)
	{
		if (read_kind(&load->kinds[i], entry) != 0) {
			fprintf(stderr,
			    "%s: kind %zu: expected method, path and weight\n",
			    path, i);
			json_decref(list);
			return -1;
		}
		load->weight_sum += load->kinds[i].weight;
		load->kind_count++;
	}
	json_decref(list);
	return 0;
}
