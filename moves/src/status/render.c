#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "cold.h"
#include "emptied.h"
#include "status.h"

/* Replaces spaces and unprintable characters by '_', so that scripts can split
 * the line at spaces. The only other spaces within a field are those of the
 * states "in progress" and "rolled back". Service names contain none
 * (bg_is_name()), but server versions are printed as the server reports
 * them, without a check. */
static void
print_reason(FILE *fp, const char *reason)
{
	const char *c;

	fputs(" reason=", fp);
	for (c = reason; *c != '\0'; c++)
		fputc(*c > ' ' && *c < 0x7f ? *c : '_', fp);
}

/* since= is the start of the state, by the wall clock. age= is the age of the
 * oldest summary that the line is based on, not the time since then. */
static void
print_line(FILE *fp, const struct bg_status_line *line)
{
	char since[BG_RFC3339_BYTES];

	bg_clock_format(since, line->since_ms);
	fprintf(fp,
	    "%s %s version=%s config=%" PRIu64 " since=%s age=%" PRIu64
	    "s serving=%s",
	    line->state, line->service, line->server_version,
	    line->config_version, since, line->age_ms / 1000, line->serving);
	if (line->is_late)
		fputs(" late", fp);
	if (line->note != NULL)
		fprintf(fp, " note=%s", line->note);
	if (line->reason != NULL && line->reason[0] != '\0')
		print_reason(fp, line->reason);
	fputc('\n', fp);
}

/* Computes the line of a service. The move that mvs tracks, if any, replaces
 * that of the configuration, since a store may keep moves in objects of their
 * own (platform/src/rollout).
 *
 * @param copy set to the service with this move; out refers to its strings, so
 *     it must stay valid as long as out is used */
static void
build_line(struct bg_status_line *out, struct bg_service *copy,
    const struct bg_service *svc, const struct bg_status_view *view,
    const struct bg_moves *mvs)
{
	const struct bg_move *move = bg_moves_get(mvs, svc->head.name);

	*copy = *svc;
	if (move != NULL)
		copy->head.move = *move;
	bg_status_line(
	    out, copy, view, bg_moves_bad_generation(mvs, svc->head.name));
}

int
bg_status_render(char **out, const struct bg_status_input *in)
{
	const struct bg_snapshot *snap = in->snapshot;
	struct bg_status_view view;
	struct bg_status_line line;
	struct bg_service copy;
	size_t out_bytes;
	size_t i;
	FILE *fp;

	*out = NULL;
	if ((fp = open_memstream(out, &out_bytes)) == NULL)
		return BG_ENOMEM;
	bg_status_view_init(
	    &view, in->summaries, in->summary_count, in->now_wall_ms);
	if (snap == NULL)
		fputs("# not synced: this node knows no version yet\n", fp);
	bg_status_print_emptied(fp, in);
	if (snap != NULL && in->roster != NULL)
		bg_status_print_cold(fp, snap, in->roster, in->now_wall_ms);
	for (i = 0; snap != NULL && i < snap->service_count; i++) {
		build_line(&line, &copy, &snap->services[i], &view, in->moves);
		print_line(fp, &line);
	}
	return fclose(fp) == 0 ? 0 : BG_ENOMEM;
}

static json_t *
line_json(const struct bg_status_line *line)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:b,s:s?,s:s?}", "state",
	    line->state, "service", line->service, "version",
	    line->server_version, "serving", line->serving, "config",
	    (json_int_t)line->config_version, "since_ms",
	    (json_int_t)line->since_ms, "age_ms", (json_int_t)line->age_ms,
	    "late", line->is_late, "note", line->note, "reason", line->reason);
}

static json_t *
summary_json(const struct bg_state_summary *sum)
{
	return json_pack("{s:s,s:i,s:i,s:I,s:I,s:s,s:s,s:I}", "data_centre",
	    sum->data_centre, "members", (int)sum->member_count, "synced",
	    (int)sum->synced_count, "confirmed",
	    (json_int_t)sum->confirmed_version, "refused",
	    (json_int_t)sum->refused_version, "refused_by", sum->refused_by,
	    "refused_reason", sum->refused_reason, "written_ms",
	    (json_int_t)sum->written_ms);
}

static json_t *
cold_json(const struct bg_status_input *in)
{
	if (in->snapshot == NULL || in->roster == NULL)
		return json_array();
	return bg_status_cold_json(in->snapshot, in->roster, in->now_wall_ms);
}

int
bg_status_render_json(char **out, const struct bg_status_input *in)
{
	const struct bg_snapshot *snap = in->snapshot;
	struct bg_status_view view;
	struct bg_status_line line;
	struct bg_service copy;
	json_t *services = json_array();
	json_t *centres = json_array();
	json_t *root;
	size_t i;

	bg_status_view_init(
	    &view, in->summaries, in->summary_count, in->now_wall_ms);
	for (i = 0; snap != NULL && i < snap->service_count; i++) {
		build_line(&line, &copy, &snap->services[i], &view, in->moves);
		json_array_append_new(services, line_json(&line));
	}
	for (i = 0; i < view.summary_count; i++)
		json_array_append_new(
		    centres, summary_json(&view.summaries[i]));
	root = json_pack("{s:b,s:I,s:o,s:o,s:o,s:o}", "synced", snap != NULL,
	    "version", (json_int_t)(snap == NULL ? 0 : snap->version),
	    "services", services, "data_centres", centres, "emptied",
	    bg_status_emptied_json(in), "cold", cold_json(in));
	*out = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return *out == NULL ? BG_ENOMEM : 0;
}
