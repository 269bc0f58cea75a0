#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"

#include "pages.h"

#define HTTP_OK 200
#define HTTP_ERROR 500
#define HTTP_UNAVAILABLE 503

static int
page_metrics(void *arg, char **out, const char **content_type)
{
	size_t bytes;

	*content_type = "text/plain; version=0.0.4";
	return bg_counter_render(out, &bytes) == 0 ? HTTP_OK : HTTP_ERROR;
}

static int
page_health(void *arg, char **out, const char **content_type)
{
	const struct bg_node *node = arg;
	int is_good = !node->is_stopping && bg_mesh_is_synced(node->mesh);

	*content_type = "text/plain";
	*out = strdup(is_good ? "ok\n" : "not ready\n");
	return is_good ? HTTP_OK : HTTP_UNAVAILABLE;
}

/* A node shows what it holds only once it knows the floor. */
static struct bg_snapshot *
shown_snapshot(const struct bg_node *node)
{
	return bg_mesh_is_synced(node->mesh) ? bg_mesh_snapshot(node->mesh)
					     : NULL;
}

static int
page_status(void *arg, char **out, const char **content_type)
{
	const struct bg_node *node = arg;

	*content_type = "text/plain; charset=utf-8";
	return bg_status_render(out, shown_snapshot(node),
		   bg_mesh_table(node->mesh), bg_clock_wall_ms()) == 0
	    ? HTTP_OK
	    : HTTP_ERROR;
}

static int
page_status_json(void *arg, char **out, const char **content_type)
{
	const struct bg_node *node = arg;

	*content_type = "application/json";
	return bg_status_render_json(out, shown_snapshot(node),
		   bg_mesh_table(node->mesh), bg_clock_wall_ms()) == 0
	    ? HTTP_OK
	    : HTTP_ERROR;
}

static int
page_burn(void *arg, char **out, const char **content_type)
{
	const struct bg_node *node = arg;

	*content_type = "application/json";
	return bg_moves_burn_json(out, node->moves, bg_clock_wall_ms()) == 0
	    ? HTTP_OK
	    : HTTP_ERROR;
}

int
bg_pages_init(struct bg_node *node)
{
	static const struct {
		const char *path;
		bg_page_fn fn;
	} PAGES[] = {
	    {"/status", page_status},
	    {"/status.json", page_status_json},
	    {"/metrics", page_metrics},
	    {"/health", page_health},
	    {"/burn", page_burn},
	};
	size_t i;
	int error = 0;

	for (i = 0; error == 0 && i < sizeof(PAGES) / sizeof(PAGES[0]); i++)
		error = bg_proxy_page(
		    node->proxy, PAGES[i].path, PAGES[i].fn, node);
	return error;
}
