#include <event2/buffer.h>
#include <event2/http.h>

#include <arpa/inet.h>
#include <stdio.h>

#include "proxy.h"

#define ERROR_BYTES 256

static void
answer(struct evhttp_request *req, int status, const char *text)
{
	struct evbuffer *body = evbuffer_new();

	evbuffer_add_printf(body, "%s\n", text);
	evhttp_send_reply(req, status, NULL, body);
	evbuffer_free(body);
}

static void
on_control(struct evhttp_request *req, void *arg)
{
	struct proxy *prx = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t bytes = evbuffer_get_length(in);
	char error[ERROR_BYTES] = "not JSON";
	static struct rules rules;
	json_t *root;

	root =
	    json_loadb((const char *)evbuffer_pullup(in, -1), bytes, 0, NULL);
	if (root == NULL ||
	    rules_read(&rules, root, error, sizeof(error)) != 0) {
		json_decref(root);
		answer(req, HTTP_BADREQUEST, error);
		return;
	}
	json_decref(root);
	prx->rules = rules;
	proxy_apply(prx);
	answer(req, HTTP_OK, "ok");
}

static void
on_stats(struct evhttp_request *req, void *arg)
{
	struct proxy *prx = arg;
	char text[ERROR_BYTES];

	snprintf(text, sizeof(text),
	    "{\"accepted\":%llu,\"cut\":%llu,\"rules\":%zu}",
	    (unsigned long long)prx->accepted, (unsigned long long)prx->cut,
	    prx->rules.count);
	answer(req, HTTP_OK, text);
}

int
control_init(struct proxy *prx, const char *address)
{
	struct sockaddr_in sin;
	char ip[INET_ADDRSTRLEN];

	if (parse_address(&sin, address) != 0) {
		fprintf(stderr, "--control %s: expected IP:PORT\n", address);
		return -1;
	}
	inet_ntop(AF_INET, &sin.sin_addr, ip, sizeof(ip));
	prx->control = evhttp_new(prx->base);
	if (prx->control == NULL ||
	    evhttp_bind_socket(prx->control, ip, ntohs(sin.sin_port)) != 0) {
		perror(address);
		return -1;
	}
	evhttp_set_cb(prx->control, "/control", on_control, prx);
	evhttp_set_cb(prx->control, "/stats", on_stats, prx);
	return 0;
}
