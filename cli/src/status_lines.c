#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node.h"

/* The states defined in docs/status-text.md. */
static const char *const STATES[] = {"done", "in progress", "rolled back"};

/* Begin the comments on emptied data centres and cold backend servers, as in
 * docs/status-text.md. */
#define EMPTIED_COMMENT "# emptied "
#define COLD_COMMENT "# cold "

static const char *
match_state(const char *text, size_t *out_len)
{
	size_t i;

	for (i = 0; i < sizeof(STATES) / sizeof(STATES[0]); i++) {
		*out_len = strlen(STATES[i]);
		if (strncmp(text, STATES[i], *out_len) == 0 &&
		    (text[*out_len] == ' ' || text[*out_len] == '\0'))
			return STATES[i];
	}
	return NULL;
}

static struct bg_cli_status_line *
append_line(struct bg_cli_status_lines *lines)
{
	struct bg_cli_status_line *grown;

	grown = realloc(lines->items, (lines->count + 1) * sizeof(*grown));
	if (grown == NULL)
		return NULL;
	lines->items = grown;
	memset(&grown[lines->count], 0, sizeof(*grown));
	return &grown[lines->count++];
}

/* Copies a line without its " age=..." field.
 * @return NULL if out of memory */
static char *
copy_without_age(const char *text)
{
	const char *age = strstr(text, " age=");
	char *out = strdup(text);
	char *field;

	if (age == NULL || out == NULL)
		return out;
	field = out + (age - text);
	age += 1 + strcspn(age + 1, " ");
	memmove(field, age, strlen(age) + 1);
	return out;
}

static int
parse_line(struct bg_cli_status_lines *out, const char *text)
{
	struct bg_cli_status_line *line;
	const char *config;
	size_t len;

	if ((line = append_line(out)) == NULL)
		return BG_ENOMEM;
	if ((line->state = match_state(text, &len)) == NULL ||
	    sscanf(text + len, " %63s", line->service) != 1 ||
	    (config = strstr(text, " config=")) == NULL)
		return BG_EPROTO;
	line->config_version = strtoull(config + strlen(" config="), NULL, 10);
	line->text = strdup(text);
	line->text_without_age = copy_without_age(text);
	return line->text == NULL || line->text_without_age == NULL ? BG_ENOMEM
								    : 0;
}

/* Keeps a comment. @return 0 or BG_ENOMEM */
static int
add_comment(json_t **comments, const char *text)
{
	if (*comments == NULL)
		*comments = json_array();
	return json_array_append_new(*comments, json_string(text)) == 0
	    ? 0
	    : BG_ENOMEM;
}

static int
begins_with(const char *text, const char *prefix)
{
	return strncmp(text, prefix, strlen(prefix)) == 0;
}

static int
parse_text(struct bg_cli_status_lines *out, const char *body)
{
	char *copy = strdup(body);
	char *save = NULL;
	char *text;
	int error = copy == NULL ? BG_ENOMEM : 0;

	out->is_synced = 1;
	for (text = copy == NULL ? NULL : strtok_r(copy, "\n", &save);
	     text != NULL && error == 0; text = strtok_r(NULL, "\n", &save)) {
		if (begins_with(text, EMPTIED_COMMENT))
			error = add_comment(&out->emptied, text);
		else if (begins_with(text, COLD_COMMENT))
			error = add_comment(&out->cold, text);
		else if (text[0] == '#')
			out->is_synced &= strstr(text, "not synced") == NULL;
		else
			error = parse_line(out, text);
	}
	free(copy);
	return error;
}

static int
parse_service(struct bg_cli_status_lines *out, const json_t *value)
{
	const char *state = json_string_value(json_object_get(value, "state"));
	const char *name = json_string_value(json_object_get(value, "service"));
	const json_t *config = json_object_get(value, "config");
	struct bg_cli_status_line *line;
	json_t *copy;
	size_t len;

	if (state == NULL || name == NULL || !json_is_integer(config))
		return BG_EPROTO;
	if ((line = append_line(out)) == NULL)
		return BG_ENOMEM;
	if ((line->state = match_state(state, &len)) == NULL)
		return BG_EPROTO;
	snprintf(line->service, sizeof(line->service), "%s", name);
	line->config_version = (uint64_t)json_integer_value(config);
	line->text = json_dumps(value, JSON_COMPACT);
	copy = json_copy((json_t *)value);
	json_object_del(copy, "age_ms");
	line->text_without_age = json_dumps(copy, JSON_COMPACT);
	json_decref(copy);
	return line->text == NULL || line->text_without_age == NULL ? BG_ENOMEM
								    : 0;
}

static int
parse_json(struct bg_cli_status_lines *out, const char *body)
{
	json_t *root = json_loads(body, 0, NULL);
	const json_t *services = json_object_get(root, "services");
	size_t i;
	int error = json_is_array(services) ? 0 : BG_EPROTO;

	out->is_synced = json_is_true(json_object_get(root, "synced"));
	out->emptied = json_incref(json_object_get(root, "emptied"));
	out->cold = json_incref(json_object_get(root, "cold"));
	for (i = 0; error == 0 && i < json_array_size(services); i++)
		error = parse_service(out, json_array_get(services, i));
	json_decref(root);
	return error;
}

int
bg_cli_status_lines_parse(
    struct bg_cli_status_lines *out, const char *body, int is_json)
{
	int error;

	memset(out, 0, sizeof(*out));
	error = is_json ? parse_json(out, body) : parse_text(out, body);
	if (error != 0)
		bg_cli_status_lines_free(out);
	return error;
}

void
bg_cli_status_lines_free(struct bg_cli_status_lines *lines)
{
	size_t i;

	for (i = 0; i < lines->count; i++) {
		free(lines->items[i].text_without_age);
		free(lines->items[i].text);
	}
	free(lines->items);
	json_decref(lines->emptied);
	json_decref(lines->cold);
	memset(lines, 0, sizeof(*lines));
}

const struct bg_cli_status_line *
bg_cli_status_lines_find(
    const struct bg_cli_status_lines *lines, const char *service)
{
	size_t i;

	for (i = 0; i < lines->count; i++)
		if (strcmp(lines->items[i].service, service) == 0)
			return &lines->items[i];
	return NULL;
}
