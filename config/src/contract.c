#include <stdlib.h>
#include <string.h>

#include "burdockgrade/contract.h"

#include "enum_names.h"
#include "json_read.h"

const char *const BG_CRITICALITY_NAMES[] = {"low", "normal", "high", NULL};
const char *const BG_METHOD_NAMES[] = {
    "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", NULL};

static json_t *
methods_json(uint32_t methods)
{
	json_t *array = json_array();
	size_t i;

	for (i = 0; BG_METHOD_NAMES[i] != NULL; i++)
		if (methods & (1U << i))
			json_array_append_new(
			    array, json_string(BG_METHOD_NAMES[i]));
	return array;
}

static json_t *
route_json(const struct bg_route *rt)
{
	return json_pack("{s:s, s:s, s:o, s:b, s:I, s:I, s:s}", "name",
	    rt->name, "prefix", rt->prefix, "methods",
	    methods_json(rt->methods), "idempotent", rt->is_idempotent,
	    "deadline_ms", (json_int_t)rt->deadline_ms, "slow_ms",
	    (json_int_t)rt->slow_ms, "criticality",
	    BG_CRITICALITY_NAMES[rt->criticality]);
}

static json_t *
routes_json(const struct bg_contract *ctr)
{
	json_t *array = json_array();
	size_t i;

	for (i = 0; i < ctr->route_count; i++) {
		if (json_array_append_new(array, route_json(&ctr->routes[i])) !=
		    0) {
			json_decref(array);
			return NULL;
		}
	}
	return array;
}

static json_t *
dependencies_json(const struct bg_contract *ctr)
{
	json_t *array = json_array();
	size_t i;

	for (i = 0; i < ctr->dependency_count; i++) {
		if (json_array_append_new(
			array, json_string(ctr->dependencies[i])) != 0) {
			json_decref(array);
			return NULL;
		}
	}
	return array;
}

json_t *
bg_contract_to_json(const struct bg_contract *ctr)
{
	/* json_pack() fails if one of the values is NULL. */
	return json_pack("{s:s, s:o, s:o, s:I, s:I, s:b, s:I, s:I, s:I, s:I, "
			 "s:I}",
	    "name", ctr->name, "routes", routes_json(ctr), "dependencies",
	    dependencies_json(ctr), "slots", (json_int_t)ctr->slots,
	    "connections", (json_int_t)ctr->connections, "move_auto_start",
	    ctr->move_auto_start, "take_over_ms", (json_int_t)ctr->take_over_ms,
	    "soak_ms", (json_int_t)ctr->soak_ms, "max_error_permille",
	    (json_int_t)ctr->max_error_permille, "slo_permyriad",
	    (json_int_t)ctr->slo_permyriad, "slo_window_days",
	    (json_int_t)ctr->slo_window_days);
}

int
bg_contract_encode(char **out, const struct bg_contract *ctr)
{
	json_t *value = bg_contract_to_json(ctr);

	*out = NULL;
	if (value == NULL)
		return BG_EINVAL;
	*out = bg_json_encode(value);
	json_decref(value);
	return *out == NULL ? BG_ENOMEM : 0;
}

static void
read_methods(struct bg_json_reader *rdr, uint32_t *out)
{
	const json_t *array = bg_json_array(rdr, "methods", 6);
	const char *name;
	size_t i;
	size_t j;

	*out = 0;
	for (i = 0; array != NULL && i < json_array_size(array); i++) {
		name = json_string_value(json_array_get(array, i));
		for (j = 0; name != NULL && BG_METHOD_NAMES[j] != NULL; j++)
			if (strcmp(name, BG_METHOD_NAMES[j]) == 0)
				break;
		if (name == NULL || BG_METHOD_NAMES[j] == NULL ||
		    (*out & (1U << j)) != 0) {
			bg_json_fail(rdr, "methods", "distinct HTTP methods");
			return;
		}
		*out |= 1U << j;
	}
}

static int
read_route(struct bg_route *out, const json_t *value, struct bg_error *err)
{
	struct bg_json_reader rdr;

	bg_json_reader_init(&rdr, value, "route", err);
	bg_json_string(&rdr, "name", out->name, sizeof(out->name));
	bg_json_string(&rdr, "prefix", out->prefix, sizeof(out->prefix));
	read_methods(&rdr, &out->methods);
	bg_json_bool(&rdr, "idempotent", &out->is_idempotent);
	bg_json_u32(&rdr, "deadline_ms", &out->deadline_ms);
	bg_json_u32(&rdr, "slow_ms", &out->slow_ms);
	out->criticality = (enum bg_criticality)bg_json_enum(
	    &rdr, "criticality", BG_CRITICALITY_NAMES, BG_CRITICALITY_HIGH + 1);
	return bg_json_reader_finish(&rdr);
}

static int
read_routes(struct bg_json_reader *rdr, struct bg_contract *out)
{
	const json_t *array = bg_json_array(rdr, "routes", BG_ROUTES_MAX);
	size_t i;

	for (i = 0; array != NULL && i < json_array_size(array); i++) {
		if (read_route(&out->routes[i], json_array_get(array, i),
			rdr->err) != 0)
			return rdr->code = BG_EPROTO;
		out->route_count++;
	}
	return rdr->code;
}

static void
read_dependencies(struct bg_json_reader *rdr, struct bg_contract *out)
{
	const json_t *array =
	    bg_json_array(rdr, "dependencies", BG_DEPENDENCIES_MAX);
	const json_t *value;
	size_t i;

	for (i = 0; array != NULL && i < json_array_size(array); i++) {
		value = json_array_get(array, i);
		if (!json_is_string(value) ||
		    json_string_length(value) >= BG_NAME_BYTES) {
			bg_json_fail(rdr, "dependencies", "service names");
			return;
		}
		memcpy(out->dependencies[out->dependency_count++],
		    json_string_value(value), json_string_length(value) + 1);
	}
}

int
bg_contract_from_json(
    struct bg_contract *out, const json_t *value, struct bg_error *err)
{
	struct bg_json_reader rdr;
	int error;

	memset(out, 0, sizeof(*out));
	bg_json_reader_init(&rdr, value, "contract", err);
	bg_json_string(&rdr, "name", out->name, sizeof(out->name));
	read_routes(&rdr, out);
	read_dependencies(&rdr, out);
	bg_json_u32(&rdr, "slots", &out->slots);
	bg_json_u32(&rdr, "connections", &out->connections);
	bg_json_bool(&rdr, "move_auto_start", &out->move_auto_start);
	bg_json_u32(&rdr, "take_over_ms", &out->take_over_ms);
	bg_json_u32(&rdr, "soak_ms", &out->soak_ms);
	bg_json_u32(&rdr, "max_error_permille", &out->max_error_permille);
	bg_json_u32(&rdr, "slo_permyriad", &out->slo_permyriad);
	bg_json_u32(&rdr, "slo_window_days", &out->slo_window_days);
	if ((error = bg_json_reader_finish(&rdr)) != 0)
		memset(out, 0, sizeof(*out));
	return error;
}

int
bg_contract_decode(struct bg_contract *out, const char *json, size_t json_bytes,
    struct bg_error *err)
{
	json_t *value = bg_json_parse(json, json_bytes, "contract", err);
	int error;

	memset(out, 0, sizeof(*out));
	if (value == NULL)
		return BG_EPROTO;
	error = bg_contract_from_json(out, value, err);
	json_decref(value);
	return error;
}

int
bg_contract_digest(uint64_t *out, const struct bg_contract *ctr)
{
	json_t *value = bg_contract_to_json(ctr);
	int error;

	if (value == NULL)
		return BG_EINVAL;
	error = bg_json_digest(out, value);
	json_decref(value);
	return error;
}
