#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"

#include "pages.h"

#define HTTP_OK 200
#define HTTP_ERROR 500
#define HTTP_UNAVAILABLE 503

static const char TEXT[] = "text/plain; charset=utf-8";
static const char JSON[] = "application/json";

static void
reply_rendered(
    struct bg_page *page, int error, const char *content_type, char *text)
{
	bg_page_reply(
	    page, error == 0 ? HTTP_OK : HTTP_ERROR, content_type, text);
}

static void
page_metrics(void *arg, struct bg_page *page)
{
	char *text = NULL;
	size_t bytes;
	int error = bg_counter_render(&text, &bytes);

	reply_rendered(page, error, "text/plain; version=0.0.4", text);
}

static void
page_health(void *arg, struct bg_page *page)
{
	const struct bg_node *node = arg;
	int is_ready = !node->is_stopping && bg_mesh_is_synced(node->mesh);

	bg_page_reply(page, is_ready ? HTTP_OK : HTTP_UNAVAILABLE, TEXT,
	    strdup(is_ready ? "ok\n" : "not ready\n"));
}

/* A request for the status page that waits for the answers of the nodes. */
struct status_request {
	struct bg_node *node;
	struct bg_page *page;
	int is_json;
};

static void
on_state_poll(void *arg, const struct bg_state_summary *summaries, size_t count)
{
	struct status_request *req = arg;
	struct bg_node *node = req->node;
	struct bg_status_input in = {0};
	char *text = NULL;
	int error;

	/* The snapshot is shown only if it is not older than the configuration
	 * in the store. */
	if (bg_mesh_is_synced(node->mesh))
		in.snapshot = bg_mesh_snapshot(node->mesh);
	in.moves = node->moves;
	in.roster = bg_mesh_roster(node->mesh);
	in.summaries = summaries;
	in.summary_count = count;
	in.emptied = bg_mesh_emptied(node->mesh);
	in.now_wall_ms = bg_clock_wall_ms();
	error = req->is_json ? bg_status_render_json(&text, &in)
			     : bg_status_render(&text, &in);
	reply_rendered(req->page, error, req->is_json ? JSON : TEXT, text);
	free(req);
}

static void
request_status(struct bg_node *node, struct bg_page *page, int is_json)
{
	struct status_request *req = calloc(1, sizeof(*req));

	if (req != NULL) {
		req->node = node;
		req->page = page;
		req->is_json = is_json;
	}
	if (req == NULL ||
	    bg_mesh_poll_state(node->mesh, on_state_poll, req) != 0) {
		free(req);
		bg_page_reply(page, HTTP_ERROR, TEXT, NULL);
	}
}

static void
page_status(void *arg, struct bg_page *page)
{
	request_status(arg, page, 0);
}

static void
page_status_json(void *arg, struct bg_page *page)
{
	request_status(arg, page, 1);
}

static void
page_burn(void *arg, struct bg_page *page)
{
	const struct bg_node *node = arg;
	char *text = NULL;
	int error = bg_moves_burn_json(&text, node->moves, bg_clock_wall_ms());

	reply_rendered(page, error, JSON, text);
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
		error = bg_proxy_add_page(
		    node->proxy, PAGES[i].path, PAGES[i].fn, node);
	return error;
}
