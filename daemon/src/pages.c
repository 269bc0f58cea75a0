#include <event2/buffer.h>
#include <event2/http.h>

#include <stdlib.h>
#include <string.h>

#include "burdockgrade/counter.h"

#include "node.h"
#include "pages.h"

struct bg_pages {
	struct evhttp *http;
};

int
bg_page_metrics(void *arg, char **out, const char **content_type)
{
	size_t bytes;

	*content_type = "text/plain; version=0.0.4";
	return bg_counter_render(out, &bytes) == 0 ? HTTP_OK : HTTP_INTERNAL;
}

int
bg_page_health(void *arg, char **out, const char **content_type)
{
	const struct bg_node *node = arg;
	int is_good =
	    node->stop_started_ms == 0 && bg_mesh_is_synced(node->mesh);

	*content_type = "text/plain";
	*out = strdup(is_good ? "ok\n" : "not ready\n");
	return is_good ? HTTP_OK : HTTP_SERVUNAVAIL;
}

static void
send_page(struct evhttp_request *req, int status, char *text, const char *type)
{
	struct evbuffer *body = evbuffer_new();

	if (text != NULL && body != NULL)
		evbuffer_add(body, text, strlen(text));
	evhttp_add_header(
	    evhttp_request_get_output_headers(req), "Content-Type", type);
	evhttp_send_reply(req, status, NULL, body);
	if (body != NULL)
		evbuffer_free(body);
	free(text);
}

static void
serve_metrics(struct evhttp_request *req, void *arg)
{
	const char *type;
	char *text = NULL;
	int status = bg_page_metrics(arg, &text, &type);

	send_page(req, status, text, type);
}

static void
serve_health(struct evhttp_request *req, void *arg)
{
	const char *type;
	char *text = NULL;
	int status = bg_page_health(arg, &text, &type);

	send_page(req, status, text, type);
}

int
bg_pages_init(struct bg_pages **out, struct bg_node *node, struct bg_error *err)
{
	const char *ip = node->settings.node.address;
	struct bg_pages *pages;

	if ((pages = calloc(1, sizeof(*pages))) == NULL)
		return BG_ENOMEM;
	pages->http = evhttp_new(node->base);
	if (pages->http == NULL ||
	    evhttp_bind_socket(
		pages->http, ip, node->settings.node.customer_port) != 0) {
		bg_pages_free(pages);
		return bg_error_set(
		    err, BG_EIO, "listen", ip, "cannot bind customer port");
	}
	evhttp_set_cb(pages->http, "/metrics", serve_metrics, node);
	evhttp_set_cb(pages->http, "/health", serve_health, node);
	*out = pages;
	return 0;
}

void
bg_pages_free(struct bg_pages *pages)
{
	if (pages == NULL)
		return;
	if (pages->http != NULL)
		evhttp_free(pages->http);
	free(pages);
}
