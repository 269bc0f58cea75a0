#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "view/view.h"

/* The object lists each node once; groups refer to nodes by index. This keeps
 * the 64 groups of a data centre near 4 KiB. */

int
bg_record_node_equal(
    const struct bg_record_node *a, const struct bg_record_node *b)
{
	return a->incarnation == b->incarnation &&
	    strcmp(a->address, b->address) == 0;
}

static int
has_node(const struct bg_record_node *list, size_t count,
    const struct bg_record_node *node)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (bg_record_node_equal(&list[i], node))
			return 1;
	}
	return 0;
}

int
bg_view_has_member(
    const struct bg_view *view, const struct bg_record_node *node)
{
	return has_node(view->members, view->member_count, node);
}

int
bg_view_has_joining(
    const struct bg_view *view, const struct bg_record_node *node)
{
	return has_node(view->joining, view->joining_count, node);
}

static json_t *
encode_node(const struct bg_record_node *node)
{
	return json_pack("[s,I]", node->address, (json_int_t)node->incarnation);
}

static json_int_t
node_index(json_t *nodes, const struct bg_record_node *node)
{
	const json_t *entry;
	size_t i;

	json_array_foreach(nodes, i, entry)
	{
		if ((uint64_t)json_integer_value(json_array_get(entry, 1)) ==
			node->incarnation &&
		    strcmp(json_string_value(json_array_get(entry, 0)),
			node->address) == 0)
			return (json_int_t)i;
	}
	json_array_append_new(nodes, encode_node(node));
	return (json_int_t)json_array_size(nodes) - 1;
}

static json_t *
encode_indexes(json_t *nodes, const struct bg_record_node *list, size_t count)
{
	json_t *out = json_array();
	size_t i;

	for (i = 0; i < count; i++)
		json_array_append_new(
		    out, json_integer(node_index(nodes, &list[i])));
	return out;
}

int
bg_views_encode(char **out, const struct bg_views *views)
{
	const struct bg_view *view;
	json_t *nodes = json_array();
	json_t *groups = json_array();
	json_t *root;
	size_t i;

	for (i = 0; i < BG_RECORD_GROUPS; i++) {
		view = &views->groups[i];
		json_array_append_new(groups,
		    json_pack("[I,I,I,o,o]", (json_int_t)view->epoch,
			(json_int_t)view->lost_ms,
			view->epoch == 0 ? (json_int_t)0
					 : node_index(nodes, &view->holder),
			encode_indexes(
			    nodes, view->members, view->member_count),
			encode_indexes(
			    nodes, view->joining, view->joining_count)));
	}
	root = json_pack("{s:o,s:o}", "groups", groups, "nodes", nodes);
	*out = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return *out == NULL ? BG_ENOMEM : 0;
}

static int
decode_node(struct bg_record_node *out, const json_t *entry)
{
	const char *address = json_string_value(json_array_get(entry, 0));
	const json_t *incarnation = json_array_get(entry, 1);

	if (address == NULL || strlen(address) >= sizeof(out->address) ||
	    !json_is_integer(incarnation))
		return BG_EPROTO;
	memset(out, 0, sizeof(*out));
	snprintf(out->address, sizeof(out->address), "%s", address);
	out->incarnation = (uint64_t)json_integer_value(incarnation);
	return 0;
}

static int
decode_index(
    struct bg_record_node *out, const json_t *nodes, const json_t *index)
{
	if (!json_is_integer(index) || json_integer_value(index) < 0)
		return BG_EPROTO;
	return decode_node(
	    out, json_array_get(nodes, (size_t)json_integer_value(index)));
}

static int
decode_list(struct bg_record_node *out, size_t *out_count, size_t max,
    const json_t *nodes, const json_t *list)
{
	size_t i;
	int error = 0;

	*out_count = json_array_size(list);
	if (!json_is_array(list) || *out_count > max)
		return BG_EPROTO;
	for (i = 0; error == 0 && i < *out_count; i++)
		error = nodes == NULL
		    ? decode_node(&out[i], json_array_get(list, i))
		    : decode_index(&out[i], nodes, json_array_get(list, i));
	return error;
}

static int
decode_view(struct bg_view *out, const json_t *nodes, const json_t *entry)
{
	const json_t *epoch = json_array_get(entry, 0);
	const json_t *lost = json_array_get(entry, 1);
	int error;

	if (!json_is_integer(epoch) || !json_is_integer(lost))
		return BG_EPROTO;
	out->epoch = (uint64_t)json_integer_value(epoch);
	out->lost_ms = (uint64_t)json_integer_value(lost);
	if (out->epoch == 0)
		return 0;
	error = decode_index(&out->holder, nodes, json_array_get(entry, 2));
	if (error == 0)
		error = decode_list(out->members, &out->member_count,
		    BG_RECORD_MEMBERS, nodes, json_array_get(entry, 3));
	if (error == 0)
		error = decode_list(out->joining, &out->joining_count,
		    BG_RECORD_JOINING, nodes, json_array_get(entry, 4));
	if (error == 0 && !bg_view_has_member(out, &out->holder))
		error = BG_EPROTO;
	return error;
}

int
bg_views_decode(struct bg_views *out, const char *json, size_t json_bytes,
    struct bg_error *err)
{
	json_t *root = json_loadb(json, json_bytes, 0, NULL);
	const json_t *nodes = json_object_get(root, "nodes");
	const json_t *groups = json_object_get(root, "groups");
	size_t i;
	int error = 0;

	memset(out, 0, sizeof(*out));
	if (json_array_size(groups) != BG_RECORD_GROUPS ||
	    !json_is_array(nodes))
		error = BG_EPROTO;
	for (i = 0; error == 0 && i < BG_RECORD_GROUPS; i++)
		error = decode_view(
		    &out->groups[i], nodes, json_array_get(groups, i));
	json_decref(root);
	if (error != 0)
		return bg_error_set(err, error, "decode record views", NULL,
		    "not valid views of record groups");
	return 0;
}

static json_t *
encode_list(const struct bg_record_node *list, size_t count)
{
	json_t *out = json_array();
	size_t i;

	for (i = 0; i < count; i++)
		json_array_append_new(out, encode_node(&list[i]));
	return out;
}

int
bg_view_report_encode(char **out, const struct bg_view_report *rep)
{
	json_t *root =
	    json_pack("{s:I,s:o,s:o}", "epoch", (json_int_t)rep->epoch,
		"complete", encode_list(rep->complete, rep->complete_count),
		"silent", encode_list(rep->silent, rep->silent_count));

	*out = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return *out == NULL ? BG_ENOMEM : 0;
}

int
bg_view_report_decode(
    struct bg_view_report *out, const char *json, size_t json_bytes)
{
	json_t *root = json_loadb(json, json_bytes, 0, NULL);
	const json_t *epoch = json_object_get(root, "epoch");
	int error = BG_EPROTO;

	memset(out, 0, sizeof(*out));
	if (json_is_integer(epoch)) {
		out->epoch = (uint64_t)json_integer_value(epoch);
		error = decode_list(out->complete, &out->complete_count,
		    BG_RECORD_JOINING, NULL, json_object_get(root, "complete"));
		if (error == 0)
			error = decode_list(out->silent, &out->silent_count,
			    BG_RECORD_MEMBERS + BG_RECORD_JOINING, NULL,
			    json_object_get(root, "silent"));
	}
	json_decref(root);
	return error;
}
